"""Limits for callers' requests, run against a small model of trees of calls."""

import random

import pytest

from pimentoscale.admission import RootRequestLimiter
from pimentoscale.admission.root_limiter import DEGRADED_HOLD_S, MIN_ANSWERS
from tests.tree_model import Count, Tree, TreeModel

# Base load: 0.57 of the capacity of the small service, 14 slots with calls of 30 ms.
TREES = [
    Tree(
        name="bid",
        importance=2,
        rank=1.0,
        rate=10.7,
        work_s=0.14,
        calls=10,
        objective_s=1.0,
        timeout_s=1.0,
    ),
    Tree(
        name="view",
        importance=0,
        rank=0.0,
        rate=29.0,
        work_s=0.13,
        calls=5,
        objective_s=1.5,
        timeout_s=6.0,
    ),
    # Uses no service that the other trees use.
    Tree(
        name="photo",
        importance=0,
        rank=0.0,
        rate=8.0,
        work_s=0.26,
        calls=0,
        objective_s=0.8,
        timeout_s=3.0,
    ),
]
VALUE_PER_ANSWER = {"bid": 3, "view": 1, "photo": 1}
SEEDS = range(1, 6)


def run_model(
    *, seed: int, surge: float, shares_degraded_routes: bool
) -> dict[str, Count]:
    model = TreeModel(
        trees=TREES,
        slots=14,
        call_s=0.03,
        rng=random.Random(seed),
        shares_degraded_routes=shares_degraded_routes,
        surge=surge,
        surge_from=4.0,
        surge_until=16.0,
    )
    return model.run(seconds=20.0)


def get_value_ratio(counts: dict[str, Count]) -> float:
    value = sum(VALUE_PER_ANSWER[name] * count.good for name, count in counts.items())
    possible = sum(
        VALUE_PER_ANSWER[name] * count.arrived for name, count in counts.items()
    )
    return value / possible


@pytest.mark.parametrize("surge", [2.0, 2.5, 3.5])
def test_less_important_trees_yield_to_one_with_a_shorter_objective(
    surge: float,
) -> None:
    separate = [
        run_model(seed=seed, surge=surge, shares_degraded_routes=False)
        for seed in SEEDS
    ]
    shared = [
        run_model(seed=seed, surge=surge, shares_degraded_routes=True) for seed in SEEDS
    ]
    values = [
        sum(map(get_value_ratio, runs)) / len(SEEDS) for runs in (separate, shared)
    ]
    assert values[1] > values[0]
    bid_shares = [
        sum(item["bid"].share for item in runs) for runs in (separate, shared)
    ]
    assert bid_shares[1] > 1.2 * bid_shares[0]


@pytest.mark.parametrize("surge", [2.0, 3.5])
def test_tree_that_uses_no_overloaded_service_does_not_yield(surge: float) -> None:
    for seed in SEEDS:
        counts = run_model(seed=seed, surge=surge, shares_degraded_routes=True)
        assert counts["photo"].refused <= 0.02 * counts["photo"].arrived


def test_base_load_is_not_refused() -> None:
    counts = run_model(seed=1, surge=1.0, shares_degraded_routes=True)
    assert sum(count.refused for count in counts.values()) == 0


def observe(
    limits: RootRequestLimiter,
    count: int,
    *,
    elapsed_s: float,
    importance: int,
    now: float,
) -> float:
    """End requests of a route one after the other; return the time of the last."""
    for _ in range(count):
        now += 0.05
        limits.try_start("r")
        limits.observe(
            "r",
            elapsed_s=elapsed_s,
            objective_s=1.0,
            failed=False,
            rank=0.0,
            importance=importance,
            now=now,
        )
        limits.end("r")
    return now


def test_degraded_route_expires_unless_announced_again() -> None:
    limits = RootRequestLimiter(capacity=100)
    now = observe(limits, MIN_ANSWERS, elapsed_s=0.1, importance=0, now=0.0)
    now = observe(limits, 100, elapsed_s=0.3, importance=0, now=now)
    before = limits.get_limit("r")
    limits.record_degraded_route(1, now=now - 2 * DEGRADED_HOLD_S)
    now = observe(limits, 20, elapsed_s=0.3, importance=0, now=now)
    assert limits.get_limit("r") == before
    for _ in range(30):
        limits.record_degraded_route(1, now=now)
        now = observe(limits, 1, elapsed_s=0.3, importance=0, now=now)
    cut = limits.get_limit("r")
    assert cut is not None and before is not None
    assert cut < before


@pytest.mark.parametrize("importance", [1, 2])
def test_route_does_not_yield_to_one_that_is_not_more_important(
    importance: int,
) -> None:
    limits = RootRequestLimiter(capacity=100)
    now = observe(limits, MIN_ANSWERS, elapsed_s=0.1, importance=importance, now=0.0)
    for _ in range(100):
        limits.record_degraded_route(1, now=now)
        now = observe(limits, 1, elapsed_s=0.3, importance=importance, now=now)
    assert limits.get_limit("r") == 200


def test_route_is_degraded_while_its_answers_are_late() -> None:
    limits = RootRequestLimiter(capacity=100)
    now = observe(limits, 60, elapsed_s=0.5, importance=7, now=0.0)
    assert limits.get_degraded_importance(now=now) is None
    now = observe(limits, 60, elapsed_s=0.9, importance=7, now=now)
    assert limits.get_degraded_importance(now=now) == 7
    assert limits.get_degraded_importance(now=now + 2 * DEGRADED_HOLD_S) is None
