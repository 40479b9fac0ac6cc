"""Benchmarks of admission and routing, and a bound on the growth of admission."""

import random
import time
from collections.abc import Callable

import pytest
from pytest_benchmark.fixture import BenchmarkFixture

from pimentoscale.admission import Admission, Entry, Length, make_limit_algorithm
from pimentoscale.configuration import Policy
from pimentoscale.limits import QuotaGate
from pimentoscale.organisations import (
    AccessPolicy,
    Organisation,
    OrganisationRegistry,
    RegistryBuilder,
)
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


def make_registry(keys: int) -> OrganisationRegistry:
    builder = RegistryBuilder()
    for number in range(keys):
        name = f"organisation-{number}"
        organisation = Organisation(name=name, importance=1, rate_limit=1e9, burst=1e9)
        builder.add(organisation, [f"key-{number}"])
    return builder.build()


@pytest.mark.parametrize("keys", [80, 8_000, 80_000])
def bench_key_look_up_and_quota_check(benchmark: BenchmarkFixture, keys: int) -> None:
    registry = make_registry(keys)
    policy = AccessPolicy(revocation_s=5.0)
    policy.confirmation.record(0.0)
    gate = QuotaGate(phase=0.5)
    gate.apply_shares({}, now=0.0)

    def decide() -> None:
        access = policy.check(
            registry, b"key-7", is_public=False, is_call=False, now=1.0
        )
        assert access.organisation is not None
        assert gate.admit(access.organisation, now=1.0) is None

    benchmark(decide)


def bench_cost_of_a_key_does_not_grow_with_their_number() -> None:
    registries = [make_registry(80), make_registry(80_000)]
    few, many = [
        measure_s(lambda registry=registry: registry.find(b"key-7"))  # type: ignore[misc]
        for registry in registries
    ]
    assert many <= MAX_COST_RATIO * few
