"""Admission control: importance, slot shares, deadlines and displacement."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentoscale.admission import (
    Admission,
    Entry,
    Length,
    Verdict,
    make_limit_algorithm,
)
from pimentoscale.configuration import Policy
from pimentoscale.errors import ErrorKind

SLOTS = 4


def make_admission(slots: int = SLOTS, queue_factor: float = 1.0) -> Admission:
    policy = Policy(queue_factor=queue_factor, ramp_s=0)
    algorithm = make_limit_algorithm(name="fixed", slots=slots, min_limit=1)
    return Admission(algorithm=algorithm, policy=policy, long_share=0.5, now=0.0)


def make_entry(
    importance: int = 50,
    length: Length = Length.SHORT,
    deadline: float = 100.0,
    depth: int = 0,
    caller: str = "a",
) -> Entry:
    return Entry(
        request="r",
        caller=caller,
        kind="k",
        importance=importance,
        length=length,
        depth=depth,
        work_ms=0,
        deadline=deadline,
    )


@pytest.fixture
def full_admission() -> Admission:
    admission = make_admission()
    for _ in range(SLOTS):
        admission.offer(make_entry(), now=0.0)
    return admission


def test_runs_up_to_the_limit_then_waits(full_admission: Admission) -> None:
    assert full_admission.running == SLOTS
    assert full_admission.offer(make_entry(), now=0.0).verdict is Verdict.WAIT


def test_more_important_arrival_displaces_the_least_important(
    full_admission: Admission,
) -> None:
    waiting = [make_entry(importance=20 + n) for n in range(SLOTS)]
    for entry in waiting:
        full_admission.offer(entry, now=0.0)
    decision = full_admission.offer(make_entry(importance=90), now=0.0)
    assert decision.verdict is Verdict.WAIT
    assert [refusal.entry for refusal in decision.displaced] == [waiting[0]]
    assert decision.displaced[0].error.kind is ErrorKind.DISPLACED


def test_important_short_call_displaces_a_waiting_long_one(
    full_admission: Admission,
) -> None:
    long_call = make_entry(importance=10, length=Length.LONG)
    full_admission.offer(long_call, now=0.0)
    for _ in range(SLOTS - 1):
        full_admission.offer(make_entry(importance=90), now=0.0)
    decision = full_admission.offer(make_entry(importance=90), now=0.0)
    assert [refusal.entry for refusal in decision.displaced] == [long_call]


def test_after_a_refusal_nothing_less_important_is_admitted(
    full_admission: Admission,
) -> None:
    for _ in range(SLOTS):
        full_admission.offer(make_entry(importance=90), now=0.0)
    assert (
        full_admission.offer(make_entry(importance=90), now=0.0).verdict
        is Verdict.REFUSE
    )
    low = make_entry(importance=10, length=Length.LONG)
    assert full_admission.offer(low, now=0.05).verdict is Verdict.REFUSE


def test_deeper_call_starts_first_among_equals(full_admission: Admission) -> None:
    shallow, deep = make_entry(), make_entry(depth=3)
    full_admission.offer(shallow, now=0.0)
    full_admission.offer(deep, now=0.0)
    running = make_entry()
    dequeued = full_admission.release(running, is_overload=False, now=1.0)
    assert dequeued.started == [deep]


def test_runaway_caller_does_not_delay_the_others(full_admission: Admission) -> None:
    for _ in range(3):
        full_admission.offer(make_entry(caller="runaway"), now=0.0)
    other = make_entry(caller="b")
    full_admission.offer(other, now=0.0)
    first = full_admission.release(make_entry(), is_overload=False, now=1.0)
    second = full_admission.release(make_entry(), is_overload=False, now=1.0)
    assert other in first.started + second.started


def test_call_that_cannot_meet_its_deadline_is_refused(
    full_admission: Admission,
) -> None:
    full_admission.release(make_entry(), is_overload=False, now=5.0)
    full_admission.offer(make_entry(), now=5.0)
    decision = full_admission.offer(make_entry(deadline=5.1), now=5.0)
    assert decision.verdict is Verdict.REFUSE


def test_long_calls_leave_slots_for_the_recent_peak_of_short_ones() -> None:
    admission = make_admission(slots=8)
    shorts = [make_entry() for _ in range(3)]
    for entry in shorts:
        admission.offer(entry, now=0.0)
    for entry in shorts:
        admission.release(entry, is_overload=False, now=0.01)
    verdicts = [
        admission.offer(make_entry(length=Length.LONG), now=0.02).verdict
        for _ in range(8)
    ]
    assert verdicts.count(Verdict.START) == 4
    assert admission.offer(make_entry(), now=0.03).verdict is Verdict.START


def test_short_calls_borrow_what_long_ones_leave_idle() -> None:
    admission = make_admission(slots=8)
    verdicts = [admission.offer(make_entry(), now=0.0).verdict for _ in range(8)]
    assert verdicts == [Verdict.START] * 8


def test_cold_start_ramps() -> None:
    algorithm = make_limit_algorithm(name="fixed", slots=40, min_limit=2)
    admission = Admission(
        algorithm=algorithm, policy=Policy(ramp_s=10), long_share=0.5, now=0.0
    )
    limits = [admission.get_limit(now=at) for at in (0.0, 5.0, 10.0)]
    assert limits == [10, 25, 40]


@given(seed=st.integers(0, 2**32))
def test_no_refusal_while_something_less_important_waits(seed: int) -> None:
    rng = random.Random(seed)
    admission = make_admission(slots=3)
    waiting: list[Entry] = []
    running: list[Entry] = []
    for step in range(80):
        now = step / 1000
        if running and rng.random() < 0.3:
            ended = running.pop(rng.randrange(len(running)))
            dequeued = admission.release(ended, is_overload=False, now=now)
            running += dequeued.started
            waiting = [entry for entry in waiting if entry not in dequeued.started]
            continue
        length = rng.choice(list(Length))
        entry = make_entry(importance=rng.randrange(4) * 25, length=length)
        decision = admission.offer(entry, now=now)
        displaced = [refusal.entry for refusal in decision.displaced]
        # Fairness between callers may displace a call of equal importance.
        assert all(item.importance <= entry.importance for item in displaced)
        waiting = [item for item in waiting if item not in displaced]
        if decision.verdict is Verdict.START:
            running.append(entry)
        elif decision.verdict is Verdict.WAIT:
            waiting.append(entry)
        else:
            assert all(item.importance >= entry.importance for item in waiting)
        assert admission.running <= 3
