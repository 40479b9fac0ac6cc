"""How organisations share too little room, at the roots and in a target's queue."""

import heapq
import itertools
import random
from collections import Counter

import pytest

from pimentoscale.admission import (
    Entry,
    Length,
    RootRequestLimiter,
    UrgencyAdmission,
    Verdict,
    make_limit_algorithm,
)

# Each request is due a little later than the one before.
NUMBERS = itertools.count()
WORK_S = 0.3
SLOTS = 20
SMALL = [f"s{index}" for index in range(10)]
# Demand for room of each small organisation and of the large one, in slots.
SMALL_DEMAND = 1.2


def play_roots(
    *, large_demand: float, rank: float = 1.0, large_rank: float = 1.0, seed: int = 1
) -> tuple[Counter[str], Counter[str]]:
    """Return what each organisation asked for, and what was let in."""
    rng = random.Random(seed)
    limiter = RootRequestLimiter(capacity=SLOTS // 2)
    demands = dict.fromkeys(SMALL, SMALL_DEMAND) | {"large": large_demand}
    names, weights = list(demands), list(demands.values())
    rate = sum(weights) / WORK_S
    ends: list[tuple[float, str]] = []
    asked: Counter[str] = Counter()
    served: Counter[str] = Counter()
    now = 0.0
    while now < 60.0:
        now += rng.expovariate(rate)
        while ends and ends[0][0] <= now:
            limiter.end("r", organisation=heapq.heappop(ends)[1])
        name = rng.choices(names, weights)[0]
        asked[name] += 1
        own_rank = large_rank if name == "large" else rank
        if limiter.try_start("r", organisation=name, rank=own_rank):
            served[name] += 1
            heapq.heappush(ends, (now + WORK_S * rng.uniform(0.5, 1.5), name))
    return asked, served


def get_small_share(asked: Counter[str], served: Counter[str]) -> float:
    return sum(served[name] for name in SMALL) / sum(asked[name] for name in SMALL)


@pytest.mark.parametrize("seed", range(3))
def test_one_at_seven_and_a_half_times_its_usual_slows_nobody(seed: int) -> None:
    usual = get_small_share(*play_roots(large_demand=4.0, seed=seed))
    asked, served = play_roots(large_demand=7.5 * 4.0, seed=seed)
    assert get_small_share(asked, served) >= usual - 0.05
    shares = [served[name] / asked[name] for name in SMALL]
    average = sum(served.values()) / sum(asked.values())
    assert min(shares) >= average / 4
    # What the others leave idle is used.
    assert served["large"] * WORK_S / 60.0 >= 0.8 * (SLOTS - len(SMALL) * SMALL_DEMAND)


def test_idle_room_is_there_for_one_alone() -> None:
    limiter = RootRequestLimiter(capacity=SLOTS // 2)
    started = [limiter.try_start("r", organisation="a") for _ in range(SLOTS)]
    assert all(started)
    assert not limiter.try_start("r", organisation="a")
    # A newcomer has a place at once, and the next one is not for the one that has more
    # than its part.
    assert limiter.try_start("r", organisation="b")
    limiter.end("r", organisation="a")
    assert not limiter.try_start("r", organisation="a")


def test_more_important_organisation_finds_room_that_others_leave() -> None:
    limiter = RootRequestLimiter(capacity=SLOTS // 2)
    names = [f"o{index}" for index in range(2 * SLOTS)]
    started = [limiter.try_start("r", organisation=name, rank=0.0) for name in names]
    assert not all(started)
    assert limiter.try_start("r", organisation="urgent", rank=1.0)


def test_memory_does_not_grow_with_organisations_that_ask_nothing() -> None:
    limiter = RootRequestLimiter(capacity=SLOTS)
    for index in range(1000):
        assert limiter.try_start("r", organisation=f"o{index}")
        limiter.end("r", organisation=f"o{index}")
    assert not limiter._routes["r"].by_organisation


def make_entry(name: str, *, importance: int = 1) -> Entry:
    deadline = 1.0 + 0.0001 * next(NUMBERS)
    return Entry(
        request=name,
        caller=name.partition("-")[0],
        kind="r",
        importance=importance,
        length=Length.SHORT,
        depth=0,
        work_ms=0,
        deadline=deadline,
        due=deadline / 2,
    )


def fill_queue(*, per_caller: dict[str, int]) -> UrgencyAdmission:
    """Return a queue in front of one slot that is in use for long."""
    algorithm = make_limit_algorithm(name="fixed", slots=1, min_limit=1)
    admission = UrgencyAdmission(algorithm=algorithm)
    first = make_entry("first-0")
    assert admission.offer(first, now=0.0).verdict is Verdict.START
    for caller, count in per_caller.items():
        for index in range(count):
            admission.offer(make_entry(f"{caller}-{index}"), now=0.0)
    return admission


def test_displaced_is_a_request_of_the_organisation_that_has_the_most_waiting() -> None:
    admission = fill_queue(per_caller={"few": 3, "many": 30})
    displaced: Counter[str] = Counter()
    for index in range(40):
        decision = admission.offer(make_entry(f"few-{100 + index}"), now=0.0)
        displaced.update(item.entry.caller for item in decision.displaced)
        if decision.verdict is Verdict.REFUSE:
            break
    assert displaced["many"] > 0
    assert displaced["few"] <= 1


def test_less_important_organisation_is_displaced_first() -> None:
    admission = fill_queue(per_caller={"many": 45})
    waiting = admission.queued
    decision = admission.offer(make_entry("other-0", importance=2), now=0.0)
    assert decision.verdict is Verdict.WAIT
    while not decision.displaced:
        waiting = admission.queued
        decision = admission.offer(
            make_entry(f"other-{waiting}", importance=2), now=0.0
        )
    assert {item.entry.caller for item in decision.displaced} == {"many"}
