"""What an upstream takes well, learned on a model of it without a network."""

import random
from statistics import mean

import pytest

from pimentoscale.admission import make_limit_algorithm
from pimentoscale.admission.limit_algorithms import Sample
from tests.capacity_model import Result, Upstream

SLOTS = 60
SEEDS = range(3)


def play(
    name: str, upstream: Upstream, *, seed: int = 1, seconds: float = 40
) -> Result:
    algorithm = make_limit_algorithm(name=name, slots=SLOTS, min_limit=SLOTS * 3 // 4)
    return upstream.run(algorithm, seconds=seconds, rng=random.Random(seed))


def make_upstream(**changes: object) -> Upstream:
    fields: dict[str, object] = {
        "slots": SLOTS,
        "knee": 24,
        "decline": 0.5,
        "work_s": 0.1,
        "objective_s": 0.5,
        # Light first; then 1.3 times what it does at its knee.
        "rate": lambda time: 80.0 if time < 5 else 312.0,
    }
    return Upstream(**{**fields, **changes})  # type: ignore[arg-type]


def test_upstream_with_a_knee_serves_more_with_a_learned_limit() -> None:
    learned = mean(play("learned", make_upstream(), seed=seed).share for seed in SEEDS)
    present = mean(play("aimd", make_upstream(), seed=seed).share for seed in SEEDS)
    assert learned >= present + 0.2


def test_upstream_without_a_knee_loses_nothing() -> None:
    upstream = make_upstream(knee=SLOTS, decline=0.0, rate=lambda time: 500.0)
    learned = mean(play("learned", upstream, seed=seed).share for seed in SEEDS)
    fixed = mean(play("fixed", upstream, seed=seed).share for seed in SEEDS)
    assert learned >= fixed - 0.03


def test_slow_service_below_does_not_shrink_the_limit() -> None:
    upstream = make_upstream(
        knee=SLOTS,
        decline=0.0,
        objective_s=3.0,
        rate=lambda time: 60.0 if time < 5 else 150.0,
        call_s=lambda time: 0.05 if time < 15 else 0.6,
    )
    result = play("learned", upstream)
    assert result.get_limit_at(35.0) >= 0.9 * SLOTS
    gradient = play("gradient", upstream)
    assert gradient.get_limit_at(35.0) < result.get_limit_at(35.0)


@pytest.mark.parametrize("factor", [0.5, 2.0])
def test_change_of_speed_is_followed_within_seconds(factor: float) -> None:
    # Below what it takes at any of the speeds.
    upstream = make_upstream(
        knee=SLOTS,
        decline=0.0,
        rate=lambda time: 150.0,
        speed=lambda time: 1.0 if time < 15 else factor,
    )
    algorithm = make_limit_algorithm(name="learned", slots=SLOTS, min_limit=1)
    result = upstream.run(algorithm, seconds=20.0, rng=random.Random(1))
    speed = algorithm.speed  # type: ignore[attr-defined]
    assert result.get_limit_at(19.9) >= 0.9 * SLOTS
    assert speed == pytest.approx(factor, rel=0.3)


def test_limit_grows_again_once_the_knee_is_gone() -> None:
    algorithm = make_limit_algorithm(name="learned", slots=SLOTS, min_limit=1)
    load = make_upstream()
    rng = random.Random(2)
    load.run(algorithm, seconds=20.0, rng=rng)
    assert algorithm.get_limit() < 0.7 * SLOTS
    calm = make_upstream(knee=SLOTS, decline=0.0, rate=lambda time: 500.0)
    # Time goes on from where it was.
    shifted = Shifted(algorithm, offset_s=20.0)
    calm.run(shifted, seconds=20.0, rng=rng)
    assert algorithm.get_limit() >= 0.85 * SLOTS


def test_random_sheds_do_not_cut_the_limit_below_its_minimum() -> None:
    algorithm = make_limit_algorithm(name="learned", slots=SLOTS, min_limit=45)
    for index in range(2000):
        sample = Sample(
            kind="k", service_ms=100, in_flight=40, is_overload=index % 2 == 0
        )
        algorithm.observe(sample, now=index * 0.01)
    assert algorithm.get_limit() >= 0.55 * 45
    assert algorithm._limit >= 45  # type: ignore[attr-defined]


class Shifted:
    """Passes samples on at later times."""

    def __init__(self, algorithm: object, *, offset_s: float) -> None:
        self._algorithm = algorithm
        self._offset_s = offset_s

    def get_limit(self) -> float:
        limit: float = self._algorithm.get_limit()  # type: ignore[attr-defined]
        return limit

    def observe(self, sample: object, *, now: float) -> None:
        self._algorithm.observe(  # type: ignore[attr-defined]
            sample, now=now + self._offset_s
        )


if __name__ == "__main__":
    loads = {
        "knee at 0.4, overload 1.3": make_upstream(),
        "knee at 0.4, no decline": make_upstream(decline=0.0),
        "no knee, load 0.83": make_upstream(
            knee=SLOTS, decline=0.0, rate=lambda time: 500.0
        ),
        "slow service below": make_upstream(
            knee=SLOTS,
            decline=0.0,
            objective_s=1.0,
            rate=lambda time: 60.0 if time < 5 else 150.0,
            call_s=lambda time: 0.05 if time < 15 else 0.6,
        ),
        "half speed from 15 s": make_upstream(
            knee=SLOTS,
            decline=0.0,
            rate=lambda time: 250.0,
            speed=lambda time: 1.0 if time < 15 else 0.5,
        ),
    }
    for label, upstream in loads.items():
        row = []
        for name in ("fixed", "aimd", "gradient", "learned"):
            results = [play(name, upstream, seed=seed) for seed in SEEDS]
            share = mean(item.share for item in results)
            limit = mean(item.get_limit_at(39.0) for item in results)
            row.append(f"{name} {share:.3f} (limit {limit:.0f})")
        print(label, "|", " | ".join(row))
