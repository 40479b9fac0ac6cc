"""The limit of roots after a shortage at a service far below has ended.

Load: nine in ten answers are bad for six seconds, whatever the limit, as when a service
below sheds more than half of its calls. Then all answers are good again.
"""

import heapq
import random
from statistics import median

import pytest

from pimentoscale.admission import RootRequestLimiter

WORK_S = 0.5
BAD_SHARE = 0.9
SHORTAGE_FROM_S = 10.0
SHORTAGE_S = 6.0
# The users' stated aim for the end of a shortage.
RECOVERY_S = 2.0
SERVED_SHARE = 0.9
GIVE_UP_S = 40.0
SEEDS = range(20)


def measure_recovery_s(*, rate: float, rank: float, capacity: int, seed: int) -> float:
    """Return for how long after the shortage less than `SERVED_SHARE` is let in."""
    rng = random.Random(seed)
    limiter = RootRequestLimiter(capacity=capacity)
    ends: list[float] = []
    arrivals: list[tuple[float, bool]] = []
    shortage_ends = SHORTAGE_FROM_S + SHORTAGE_S
    now = 0.0
    while now < shortage_ends + GIVE_UP_S:
        now += rng.expovariate(rate)
        while ends and ends[0] <= now:
            ended = heapq.heappop(ends)
            is_short = SHORTAGE_FROM_S <= ended < shortage_ends
            limiter.end("r")
            limiter.observe(
                "r",
                elapsed_s=WORK_S,
                objective_s=1.5,
                failed=is_short and rng.random() < BAD_SHARE,
                rank=rank,
                now=ended,
            )
        is_let_in = limiter.try_start("r")
        if is_let_in:
            heapq.heappush(ends, now + WORK_S)
        arrivals.append((now, is_let_in))
    # A window of a second, or of ten requests if these take longer.
    window_s = max(1.0, 10 / rate)
    after = [item for item in arrivals if item[0] >= shortage_ends]
    first = 0
    for last, (time, _) in enumerate(after):
        while after[first][0] < time - window_s:
            first += 1
        window = after[first : last + 1]
        if time < shortage_ends + window_s:
            continue
        if sum(let_in for _, let_in in window) >= SERVED_SHARE * len(window):
            return max(0.0, time - window_s - shortage_ends)
    return GIVE_UP_S


@pytest.mark.parametrize("rank", [0.0, 1.0])
@pytest.mark.parametrize(
    ("rate", "capacity"), [(4.0, 39), (15.0, 39), (40.0, 39), (400.0, 400)]
)
def test_requests_are_let_in_again_soon_after_a_shortage(
    rate: float, capacity: int, rank: float
) -> None:
    times = [
        measure_recovery_s(rate=rate, rank=rank, capacity=capacity, seed=seed)
        for seed in SEEDS
    ]
    assert median(times) <= RECOVERY_S


def measure_lasting_shortage(*, rank: float, seed: int) -> tuple[float, float]:
    """Return goodput and the share of bad answers while demand is twice the room.

    More than `room` concurrent requests fail in proportion, as in a service below that
    sheds what is too much.
    """
    rng = random.Random(seed)
    limiter = RootRequestLimiter(capacity=39)
    room = 10
    rate = 2 * room / WORK_S
    ends: list[float] = []
    good = bad = 0
    now = 0.0
    while now < 60.0:
        now += rng.expovariate(rate)
        while ends and ends[0] <= now:
            running = len(ends)
            ended = heapq.heappop(ends)
            failed = rng.random() < max(0.0, 1 - room / running)
            limiter.end("r")
            limiter.observe(
                "r",
                elapsed_s=WORK_S,
                objective_s=1.5,
                failed=failed,
                rank=rank,
                now=ended,
            )
            if now > 15.0:
                good += not failed
                bad += failed
        if limiter.try_start("r"):
            heapq.heappush(ends, now + WORK_S * rng.uniform(0.8, 1.2))
    return good / (45.0 * room / WORK_S), bad / (good + bad)


@pytest.mark.parametrize(
    ("rank", "most_bad"),
    # The share of bad answers at which a limit is cut, by importance.
    [(0.0, 0.2), (1.0, 0.6)],
)
def test_shortage_that_lasts_does_not_return(rank: float, most_bad: float) -> None:
    results = [measure_lasting_shortage(rank=rank, seed=seed) for seed in SEEDS]
    assert median(item[0] for item in results) >= 0.8
    assert median(item[1] for item in results) <= most_bad


def measure_bad_share_of_trees(*, demand: float, rank: float, seed: int) -> float:
    """Return the share of bad answers while demand exceeds the room for long.

    Each request makes eight calls in turn of a service below that all nodes share, and
    fails with the first call that is shed. `demand` is that in units of the room.
    """
    calls, nodes, room = 8, 24, 60
    rng = random.Random(seed)
    limiters = [RootRequestLimiter(capacity=84) for _ in range(nodes)]
    # When a call ends, the node of its request, and its number in the request.
    ends: list[tuple[float, int, int]] = []
    good = bad = 0
    now = 0.0
    while now < 30.0:
        now += rng.expovariate(demand * room / WORK_S)
        while ends and ends[0][0] <= now:
            is_shed = rng.random() < max(0.0, 1 - room / len(ends))
            ended, node, number = heapq.heappop(ends)
            if not is_shed and number < calls:
                call_s = WORK_S / calls * rng.uniform(0.6, 1.4)
                heapq.heappush(ends, (ended + call_s, node, number + 1))
                continue
            limiters[node].end("r")
            limiters[node].observe(
                "r",
                elapsed_s=WORK_S * number / calls,
                objective_s=1.5,
                failed=is_shed,
                rank=rank,
                now=ended,
            )
            if now > 8.0:
                good += not is_shed
                bad += is_shed
        node = rng.randrange(nodes)
        if limiters[node].try_start("r"):
            call_s = WORK_S / calls * rng.uniform(0.6, 1.4)
            heapq.heappush(ends, (now + call_s, node, 1))
    return bad / (good + bad)


@pytest.mark.parametrize("demand", [2.0, 4.0])
@pytest.mark.parametrize(("rank", "most_bad"), [(0.0, 0.2), (1.0, 0.6)])
def test_few_good_answers_do_not_end_a_shortage_that_lasts(
    rank: float, most_bad: float, demand: float
) -> None:
    shares = [
        measure_bad_share_of_trees(demand=demand, rank=rank, seed=seed)
        for seed in range(6)
    ]
    assert median(shares) <= most_bad


def measure_bad_share_of_steep_shortage(
    *, demand: float, rank: float, seed: int
) -> float:
    """Return the share of bad answers while a full service fails nearly all at once.

    Cuts alone then make all answers good for a while. All nodes share the service.
    """
    nodes, room, steepness = 24, 60, 4.0
    rng = random.Random(seed)
    limiters = [RootRequestLimiter(capacity=84) for _ in range(nodes)]
    ends: list[tuple[float, int]] = []
    good = bad = 0
    now = 0.0
    while now < 30.0:
        now += rng.expovariate(demand * room / WORK_S)
        while ends and ends[0][0] <= now:
            excess = len(ends) / room - 1
            ended, node = heapq.heappop(ends)
            failed = rng.random() < steepness * excess
            limiters[node].end("r")
            limiters[node].observe(
                "r",
                elapsed_s=WORK_S,
                objective_s=1.5,
                failed=failed,
                rank=rank,
                now=ended,
            )
            if now > 8.0:
                good += not failed
                bad += failed
        node = rng.randrange(nodes)
        if limiters[node].try_start("r"):
            heapq.heappush(ends, (now + WORK_S * rng.uniform(0.8, 1.2), node))
    return bad / (good + bad)


@pytest.mark.parametrize("demand", [2.0, 4.0])
@pytest.mark.parametrize(("rank", "most_bad"), [(0.0, 0.2), (1.0, 0.6)])
def test_success_of_cuts_does_not_end_a_shortage_that_lasts(
    rank: float, most_bad: float, demand: float
) -> None:
    shares = [
        measure_bad_share_of_steep_shortage(demand=demand, rank=rank, seed=seed)
        for seed in range(4)
    ]
    assert median(shares) <= most_bad


if __name__ == "__main__":
    for rank in (0.0, 1.0):
        for rate, capacity in ((4.0, 39), (15.0, 39), (40.0, 39), (400.0, 400)):
            times = [
                measure_recovery_s(rate=rate, rank=rank, capacity=capacity, seed=seed)
                for seed in SEEDS
            ]
            print(rank, rate, round(median(times), 2), round(max(times), 2))
        results = [measure_lasting_shortage(rank=rank, seed=seed) for seed in SEEDS]
        print(
            "lasting",
            round(median(item[0] for item in results), 3),
            round(median(item[1] for item in results), 3),
        )
