"""Limits for callers, played against a small model of trees of calls."""

import random

import pytest

from pimentoscale.admission import RootRequestLimiter
from pimentoscale.admission.root_limiter import LEAST_ANSWERS, PRESSURE_HOLD_S
from tests.tree_model import Count, Tree, TreeModel

# Base load: 0.57 of what the narrow service's 14 slots can do in calls of 30 ms.
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
    # Uses nothing that others use.
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
WORTH = {"bid": 3, "view": 1, "photo": 1}
SEEDS = range(1, 6)


def play(*, seed: int, surge: float, shares_pressure: bool) -> dict[str, Count]:
    model = TreeModel(
        trees=TREES,
        slots=14,
        call_s=0.03,
        source=random.Random(seed),
        shares_pressure=shares_pressure,
        surge=surge,
        surge_from=4.0,
        surge_until=16.0,
    )
    return model.run(seconds=20.0)


def find_worth(counts: dict[str, Count]) -> float:
    earned = sum(WORTH[name] * count.good for name, count in counts.items())
    asked = sum(WORTH[name] * count.asked for name, count in counts.items())
    return earned / asked


@pytest.mark.parametrize("surge", [2.0, 2.5, 3.5])
def test_less_important_trees_make_room_for_one_with_less_time(surge: float) -> None:
    alone = [play(seed=seed, surge=surge, shares_pressure=False) for seed in SEEDS]
    told = [play(seed=seed, surge=surge, shares_pressure=True) for seed in SEEDS]
    worth = [sum(map(find_worth, played)) / len(SEEDS) for played in (alone, told)]
    assert worth[1] > worth[0]
    bids = [sum(item["bid"].share for item in played) for played in (alone, told)]
    assert bids[1] > 1.2 * bids[0]


@pytest.mark.parametrize("surge", [2.0, 3.5])
def test_tree_that_uses_nothing_full_makes_no_room(surge: float) -> None:
    for seed in SEEDS:
        counts = play(seed=seed, surge=surge, shares_pressure=True)
        assert counts["photo"].refused <= 0.02 * counts["photo"].asked


def test_calm_load_is_refused_nothing() -> None:
    counts = play(seed=1, surge=1.0, shares_pressure=True)
    assert sum(count.refused for count in counts.values()) == 0


def observe(
    limits: RootRequestLimiter,
    count: int,
    *,
    elapsed_s: float,
    importance: int,
    now: float,
) -> float:
    """Let a route's requests end one after the other; return the time then."""
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


def test_pressure_ends_when_it_is_not_told_again() -> None:
    limits = RootRequestLimiter(capacity=100)
    now = observe(limits, LEAST_ANSWERS, elapsed_s=0.1, importance=0, now=0.0)
    now = observe(limits, 100, elapsed_s=0.3, importance=0, now=now)
    before = limits.get_limit("r")
    limits.note_degraded_route(1, now=now - 2 * PRESSURE_HOLD_S)
    now = observe(limits, 20, elapsed_s=0.3, importance=0, now=now)
    assert limits.get_limit("r") == before
    for _ in range(30):
        limits.note_degraded_route(1, now=now)
        now = observe(limits, 1, elapsed_s=0.3, importance=0, now=now)
    cut = limits.get_limit("r")
    assert cut is not None and before is not None
    assert cut < before


@pytest.mark.parametrize("importance", [1, 2])
def test_no_room_is_made_for_what_is_not_more_important(importance: int) -> None:
    limits = RootRequestLimiter(capacity=100)
    now = observe(limits, LEAST_ANSWERS, elapsed_s=0.1, importance=importance, now=0.0)
    for _ in range(100):
        limits.note_degraded_route(1, now=now)
        now = observe(limits, 1, elapsed_s=0.3, importance=importance, now=now)
    assert limits.get_limit("r") == 200


def test_route_is_strained_while_its_answers_are_late() -> None:
    limits = RootRequestLimiter(capacity=100)
    now = observe(limits, 60, elapsed_s=0.5, importance=7, now=0.0)
    assert limits.get_degraded_importance(now=now) is None
    now = observe(limits, 60, elapsed_s=0.9, importance=7, now=now)
    assert limits.get_degraded_importance(now=now) == 7
    assert limits.get_degraded_importance(now=now + 2 * PRESSURE_HOLD_S) is None
