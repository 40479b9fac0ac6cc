"""Choice of targets, probation and hedging."""

import asyncio
import random

import pytest

from pimentoscale.admission import Load
from pimentoscale.call import Answer, Body
from pimentoscale.configuration import Policy
from pimentoscale.dispatch.router import _discard_others, _wait_first_answer
from pimentoscale.outcome import Outcome
from pimentoscale.routing import (
    ChoiceRequest,
    HedgeBudget,
    LatencyEstimator,
    Target,
    Targets,
    make_choice,
)
from pimentoscale.routing.hedging import INITIAL_TOKENS

KIND = "catalogue.check"
REQUEST = ChoiceRequest(kind=KIND, zone="a", out_of_zone_ms=2)


def make_target(name: str, zone: str = "a") -> Target:
    return Target(instance=name, zone=zone, service="catalogue", slots=10)


def make_load(in_flight: int = 0, admitted: int = 0) -> Load:
    return Load(in_flight=in_flight, limit=10, queue_ms=0, admitted=admitted)


def answer(target: Target, latency_ms: float, times: int = 20) -> None:
    for _ in range(times):
        target.record_answer(
            kind=KIND, latency_ms=latency_ms, load=make_load(), now=0.0
        )


@pytest.fixture
def targets() -> Targets:
    targets = Targets()
    for target in (make_target("near"), make_target("far", zone="b")):
        targets.add(target)
    return targets


def test_unusable_target_is_no_candidate(targets: Targets) -> None:
    for target in targets:
        target.is_usable = target.instance != "near"
    candidates = targets.list_candidates(importance=50, attempted=(), now=0.0)
    assert [target.instance for target in candidates] == ["far"]


def test_targets_not_attempted_go_first(targets: Targets) -> None:
    candidates = targets.list_candidates(importance=50, attempted={"near"}, now=0.0)
    assert [target.instance for target in candidates] == ["far"]


def test_target_that_admits_only_more_important_calls_is_no_candidate(
    targets: Targets,
) -> None:
    for target in targets:
        target.record_refusal(load=make_load(admitted=60), now=0.0)
    assert targets.list_candidates(importance=50, attempted=(), now=0.05) == []
    assert len(targets.list_candidates(importance=60, attempted=(), now=0.05)) == 2
    assert len(targets.list_candidates(importance=50, attempted=(), now=0.5)) == 2


def test_own_zone_is_chosen_until_another_zone_is_faster(targets: Targets) -> None:
    choice = make_choice(name="two_choices", rng=random.Random(1))
    near, far = list(targets)
    for target in (near, far):
        answer(target, 10.0)
    chosen = {choice.choose([near, far], REQUEST, now=0.0) for _ in range(50)}
    assert chosen == {near}
    near.record_slow_call(kind=KIND, late_ms=40.0, now=0.0)
    chosen = {choice.choose([near, far], REQUEST, now=0.0) for _ in range(50)}
    assert chosen == {far}


def test_slow_target_goes_on_probation_but_not_all_at_once(targets: Targets) -> None:
    near, far = list(targets)
    answer(near, 100.0)
    answer(far, 10.0)
    assert targets.start_probation_if_slow(near, kind=KIND, policy=Policy(), now=0.0)
    assert near.is_on_probation(now=0.5)
    assert not near.is_on_probation(now=5.0)
    answer(near, 10.0)
    answer(far, 100.0)
    assert not targets.start_probation_if_slow(far, kind=KIND, policy=Policy(), now=0.5)


def test_call_is_late_after_more_than_the_mean_latency() -> None:
    estimator = LatencyEstimator()
    assert estimator.get_late_ms(KIND) is None
    for number in range(100):
        estimator.record_answer(kind=KIND, latency_ms=10.0 + number % 3)
    late_ms = estimator.get_late_ms(KIND)
    assert late_ms is not None
    assert 12.0 < late_ms < 16.0


def test_hedges_stay_within_their_part_of_the_calls() -> None:
    budget = HedgeBudget()
    hedges = 0
    for _ in range(1000):
        budget.record_call(hedges_per_call=0.05)
        hedges += budget.spend()
    assert hedges <= 50 + INITIAL_TOKENS


def test_old_high_latency_no_longer_counts() -> None:
    target = make_target("near")
    answer(target, 100.0)
    target.record_answer(kind=KIND, latency_ms=10.0, load=make_load(), now=10.0)
    assert target.get_latency_ms(KIND, now=10.0) < 15.0


def test_answers_of_other_attempts_are_given_up() -> None:
    given_up: list[str] = []

    async def make_attempt(name: str, outcome: Outcome) -> Answer:
        body = Body(on_discard=lambda: given_up.append(name))
        return Answer(outcome=outcome, status=200, headers=[], body=body)

    async def run() -> None:
        attempts = {
            asyncio.create_task(make_attempt("first", Outcome.FAILED)),
            asyncio.create_task(make_attempt("second", Outcome.ANSWERED)),
        }
        kept = await _wait_first_answer(attempts)
        _discard_others(attempts, kept)
        assert kept.outcome is Outcome.ANSWERED
        assert given_up == ["first"]

    asyncio.run(run())
