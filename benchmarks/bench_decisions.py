"""Benchmarks of admission and routing, and a bound on the growth of admission."""

import random
import time
from collections.abc import Callable

import pytest
from pytest_benchmark.fixture import BenchmarkFixture

from pimentoscale.admission import Admission, Entry, Length, make_limit_algorithm
from pimentoscale.configuration import Policy
from pimentoscale.routing import ChoiceRequest, Target, make_choice

# Ratio of the logarithms of the two queue lengths compared: log(10_000) / log(10).
MAX_COST_RATIO = 4.0
REPEATS = 2000


def make_entry(number: int) -> Entry:
    return Entry(
        request=str(number),
        caller=str(number % 50),
        kind="k",
        importance=number % 100,
        length=Length.SHORT,
        depth=0,
        work_ms=0,
        deadline=1e9,
    )


def make_queued_admission(queued: int) -> Admission:
    policy = Policy(queue_factor=1e6, ramp_s=0)
    algorithm = make_limit_algorithm(name="fixed", slots=1, min_limit=1)
    admission = Admission(algorithm=algorithm, policy=policy, long_share=0.5, now=0.0)
    for number in range(queued + 1):
        admission.offer(make_entry(number), now=0.0)
    return admission


def make_targets(count: int) -> list[Target]:
    return [
        Target(instance=f"i-{n}", zone="z", service="s", slots=10) for n in range(count)
    ]


def measure_s(step: Callable[[], object]) -> float:
    """Return the lowest mean time of a step over several batches, in seconds."""
    times_s = []
    for _ in range(5):
        started = time.perf_counter()
        for _ in range(REPEATS):
            step()
        times_s.append((time.perf_counter() - started) / REPEATS)
    return min(times_s)


def offer_and_withdraw(admission: Admission) -> None:
    entry = make_entry(50)
    admission.offer(entry, now=0.0)
    admission.withdraw(entry)


@pytest.mark.parametrize("queued", [10, 100, 1000, 10_000])
def bench_admit(benchmark: BenchmarkFixture, queued: int) -> None:
    benchmark(offer_and_withdraw, make_queued_admission(queued))


@pytest.mark.parametrize("count", [4, 40, 400])
def bench_choose(benchmark: BenchmarkFixture, count: int) -> None:
    choice = make_choice(name="two_choices", rng=random.Random(1))
    request = ChoiceRequest(kind="k", zone="z", out_of_zone_ms=2)
    targets = make_targets(count)
    benchmark(lambda: choice.choose(targets, request, now=0.0))


def bench_admission_grows_no_faster_than_a_logarithm() -> None:
    short, long = make_queued_admission(10), make_queued_admission(10_000)
    ratio = measure_s(lambda: offer_and_withdraw(long)) / measure_s(
        lambda: offer_and_withdraw(short)
    )
    assert ratio <= MAX_COST_RATIO
