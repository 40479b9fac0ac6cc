"""The rate limit that an upstream states: how requests are spaced, queued, refused."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentoscale.admission import (
    Entry,
    Length,
    StatedRateLimit,
    UrgencyAdmission,
    Verdict,
)
from pimentoscale.admission.rate_limit import BURST_S, END_S, MIN_RATE
from pimentoscale.errors import ErrorKind
from pimentoscale.forwarding.entries import make_target_limit
from pimentoscale.http import HttpResponse
from pimentoscale.platform.messages import MAX_RATE_LIMIT, PlatformMessages

SLOTS = 100


def make_entry(name: str, *, start_by: float, importance: int = 1) -> Entry:
    return Entry(
        request=name,
        caller="",
        kind="r",
        importance=importance,
        length=Length.SHORT,
        depth=0,
        work_ms=0,
        deadline=start_by + 10,
        due=start_by,
        start_by=start_by,
    )


@pytest.fixture
def admission() -> UrgencyAdmission:
    return UrgencyAdmission(algorithm=make_target_limit(SLOTS))


@given(
    rates=st.lists(st.floats(0, 200), min_size=1, max_size=5),
    steps=st.lists(st.floats(0, 0.2), min_size=20, max_size=200),
)
def test_requests_of_any_pattern_stay_within_the_highest_rate_stated(
    rates: list[float], steps: list[float]
) -> None:
    limit = StatedRateLimit()
    now = 100.0
    limit.record(rates[0], now=now)
    sent: list[float] = []
    for index, step in enumerate(steps):
        now += step
        limit.record(rates[index * len(rates) // len(steps)], now=now)
        while limit.try_send(now=now):
            sent.append(now)
    most = max(MIN_RATE, *rates)
    for at in sent:
        window = [other for other in sent if at <= other <= at + 1.0]
        assert len(window) <= most * (1 + BURST_S) + 1 + 1e-6


def test_limit_ends_only_after_answers_without_it_for_some_time() -> None:
    limit = StatedRateLimit()
    limit.record(2.0, now=0.0)
    assert not limit.record(None, now=END_S / 2)
    assert limit.stated == 2.0
    assert limit.record(None, now=END_S)
    assert limit.stated is None
    assert all(limit.try_send(now=END_S) for _ in range(1000))


def test_limit_heard_of_from_a_node_holds_only_until_the_upstream_answers() -> None:
    limit = StatedRateLimit()
    assert limit.adopt(3.0, now=0.0)
    assert limit.stated == 3.0
    assert limit.record(None, now=END_S)
    assert not limit.adopt(3.0, now=END_S + 1)
    assert limit.stated is None
    limit.reset()
    assert limit.adopt(4.0, now=END_S + 2)


def test_limit_of_zero_still_lets_some_requests_through() -> None:
    limit = StatedRateLimit()
    limit.record(0.0, now=0.0)
    sent = [now / 10 for now in range(200) if limit.try_send(now=now / 10)]
    assert 1 <= sum(at < 4.0 for at in sent) <= 5


def test_raised_limit_lets_waiting_requests_start_sooner() -> None:
    limit = StatedRateLimit()
    limit.record(1.0, now=0.0)
    before_s = limit.estimate_wait_s(ahead=9, now=0.0)
    limit.record(10.0, now=0.0)
    assert before_s == pytest.approx(10.0)
    assert limit.estimate_wait_s(ahead=9, now=0.0) == pytest.approx(1.0)


def test_request_that_would_wait_too_long_for_the_limit_is_refused_at_once(
    admission: UrgencyAdmission,
) -> None:
    admission.rate_limit.record(10.0, now=0.0)
    verdicts = [
        admission.offer(make_entry(f"r{index}", start_by=1.0), now=0.0)
        for index in range(30)
    ]
    assert [item.verdict for item in verdicts[:10]] == [Verdict.WAIT] * 10
    refused = verdicts[10:]
    assert {item.verdict for item in refused} == {Verdict.REFUSE}
    for item in refused:
        assert item.error is not None
        assert item.error.kind is ErrorKind.RATE_LIMITED
        # The time in which the limit lets through those that wait, and one more.
        assert item.error.retry_after_ms == pytest.approx(1100, abs=1)


def test_more_important_request_takes_the_place_of_one_that_waits_for_the_limit(
    admission: UrgencyAdmission,
) -> None:
    admission.rate_limit.record(10.0, now=0.0)
    for index in range(10):
        admission.offer(make_entry(f"r{index}", start_by=1.0), now=0.0)
    decision = admission.offer(make_entry("x", start_by=1.0, importance=2), now=0.0)
    assert decision.verdict is Verdict.WAIT
    assert [item.entry.request for item in decision.displaced] == ["r9"]


def test_requests_that_a_new_limit_holds_up_are_refused_and_the_others_start(
    admission: UrgencyAdmission,
) -> None:
    for index in range(SLOTS + 20):
        admission.offer(make_entry(f"r{index}", start_by=1.0), now=0.0)
    waiting = admission.queued
    assert waiting > 10
    admission.rate_limit.record(10.0, now=0.0)
    assert len(admission.refuse_late(now=0.0).expired) == waiting - 10
    # No slot is free, so nothing is to be done when the limit allows the next one.
    assert admission.get_send_delay_s(now=5.0) is None


def test_waiting_requests_start_at_the_stated_rate(
    admission: UrgencyAdmission,
) -> None:
    rng = random.Random(1)
    admission.rate_limit.record(20.0, now=0.0)
    started: list[float] = []
    now = 0.0
    while now < 10.0:
        now += rng.expovariate(60.0)
        decision = admission.offer(make_entry("r", start_by=now + 0.5), now=now)
        started += [now] * (decision.verdict is Verdict.START)
        started += [now] * len(admission.start_waiting(now=now).started)
        admission.running = 0
    assert 180 <= len(started) <= 203


@pytest.mark.parametrize(
    ("value", "rate"),
    [
        (b"37.2", 37.2),
        (b"5", 5.0),
        (b"0", 0.0),
        (b" 8.50 ", 8.5),
        (b"9" * 30, MAX_RATE_LIMIT),
        (b"", None),
        (b"-1", None),
        (b"1e3", None),
        (b"nan", None),
        (b"inf", None),
        (b"1.2.3", None),
        (b"37,2", None),
        (b"9" * 40, None),
    ],
)
def test_stated_limit_is_decoded_or_named_as_a_fault(
    value: bytes, rate: float | None
) -> None:
    response = HttpResponse(
        status=200, headers=[(b"attempt-id", b"a"), (b"server-limit", value)]
    )
    answer = PlatformMessages().read_answer(response, "a")
    assert answer.rate_limit == rate
    assert bool(answer.rate_limit_fault) == (rate is None)
