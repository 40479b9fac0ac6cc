"""The rule by which a stopping node takes requests, answers them and ends."""

import asyncio
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentoscale.shutdown import Shutdown, TimeLimits
from pimentoscale.shutdown.rule import REPLY_S

STARTED = 100.0
GRACES_S = st.floats(min_value=0.5, max_value=300.0)


@pytest.fixture
def stopping() -> Shutdown:
    return make_shutdown(6.0)


def make_shutdown(grace_s: float) -> Shutdown:
    shutdown = Shutdown()
    shutdown.begin(grace_s=grace_s, now=STARTED)
    return shutdown


def test_node_that_does_not_stop_takes_everything_and_limits_nothing() -> None:
    shutdown = Shutdown()
    assert not shutdown.has_begun
    assert shutdown.may_take(expected_s=1000.0, now=STARTED)
    assert shutdown.limit_deadline(1e9) == 1e9
    assert math.isinf(shutdown.answers_due_at)
    assert not shutdown.may_end(owed=0, now=1e9, earliest_s=0.0)


@given(grace_s=GRACES_S)
def test_no_request_is_given_up_before_the_last_sixth_of_any_grace(
    grace_s: float,
) -> None:
    shutdown = make_shutdown(grace_s)
    last_sixth = STARTED + grace_s * 5 / 6
    assert last_sixth < shutdown.answers_due_at < shutdown.ends_at
    assert shutdown.ends_at < STARTED + grace_s
    assert not shutdown.may_end(owed=1, now=last_sixth, earliest_s=0.0)
    assert shutdown.may_end(owed=1, now=shutdown.ends_at, earliest_s=0.0)


@given(
    grace_s=GRACES_S,
    elapsed_s=st.floats(min_value=0, max_value=400),
    expected_s=st.floats(min_value=0, max_value=60),
)
def test_request_is_taken_only_if_it_is_expected_to_end_in_time(
    grace_s: float, elapsed_s: float, expected_s: float
) -> None:
    shutdown = make_shutdown(grace_s)
    now = STARTED + elapsed_s
    if shutdown.may_take(expected_s=expected_s, now=now):
        assert now + expected_s < shutdown.limit_deadline(math.inf)
        assert shutdown.limit_deadline(math.inf) <= shutdown.answers_due_at - REPLY_S


def test_node_that_owes_an_answer_does_not_end(stopping: Shutdown) -> None:
    assert not stopping.may_end(owed=1, now=STARTED + 4, earliest_s=2.0)
    assert stopping.may_end(owed=0, now=STARTED + 4, earliest_s=2.0)
    assert not stopping.may_end(owed=0, now=STARTED + 1, earliest_s=2.0)


def test_node_that_ends_next_takes_nothing(stopping: Shutdown) -> None:
    assert stopping.may_take(expected_s=0.0, now=STARTED + 1)
    stopping.is_closed = True
    assert not stopping.may_take(expected_s=0.0, now=STARTED + 1)


def test_grace_period_that_changes_during_the_stop_moves_its_end(
    stopping: Shutdown,
) -> None:
    before = stopping.answers_due_at
    stopping.set_grace(9.0)
    assert stopping.answers_due_at == pytest.approx(before + 3.0, abs=0.1)


def test_time_limit_that_has_just_expired_does_not_end_the_stop() -> None:
    async def run() -> None:
        limits = TimeLimits()
        loop = asyncio.get_running_loop()

        async def wait() -> None:
            async with limits.limit():
                await asyncio.sleep(60)

        waiting = asyncio.create_task(wait())
        await asyncio.sleep(0)
        limits.set_stop(loop.time())
        await asyncio.sleep(0)
        # The time-out has fired, and the task has not handled it yet.
        limits.set_stop(loop.time() + 1)
        with pytest.raises(TimeoutError):
            await waiting

    asyncio.run(run())
