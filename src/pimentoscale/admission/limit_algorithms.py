"""Algorithms that adapt the concurrency limit of an upstream."""

from collections.abc import Callable
from typing import Protocol

import msgspec

BACKOFF_RATIO = 0.8
BACKOFF_INTERVAL_S = 0.2
GRADIENT_SMOOTHING = 0.05
GRADIENT_TOLERANCE = 1.5
BASELINE_GROWTH = 1.0005


class Sample(msgspec.Struct, kw_only=True, frozen=True):
    """The measurements of one ended call; `in_flight` includes the call itself.

    `calls` is how many calls of the upstream to other services are in progress.
    """

    kind: str
    service_ms: float
    in_flight: int
    is_overload: bool
    calls: int = 0


class LimitAlgorithm(Protocol):
    """Adapts a concurrency limit to the samples of ended calls."""

    def get_limit(self) -> float:
        """Return the concurrency limit."""

    def observe(self, sample: Sample, *, now: float) -> None:
        """Update the limit from one ended call."""


LimitAlgorithmFactory = Callable[[int, int], LimitAlgorithm]
_LIMIT_ALGORITHMS: dict[str, LimitAlgorithmFactory] = {}


def register_limit_algorithm(
    name: str,
) -> Callable[[LimitAlgorithmFactory], LimitAlgorithmFactory]:
    """Register a factory that takes the declared slots and the least limit."""

    def register(factory: LimitAlgorithmFactory) -> LimitAlgorithmFactory:
        _LIMIT_ALGORITHMS[name] = factory
        return factory

    return register


def make_limit_algorithm(*, name: str, slots: int, min_limit: int) -> LimitAlgorithm:
    """Return a new limit algorithm; raise `KeyError` for an unknown name."""
    return _LIMIT_ALGORITHMS[name](slots, min(min_limit, slots))


@register_limit_algorithm("fixed")
class FixedLimit:
    """A constant limit: the slots that the upstream declares."""

    __slots__ = ("_slots",)

    def __init__(self, slots: int, min_limit: int) -> None:
        self._slots = max(slots, min_limit)

    def get_limit(self) -> float:
        """Return the declared slots."""
        return float(self._slots)

    def observe(self, sample: Sample, *, now: float) -> None:
        """Ignore the sample."""


@register_limit_algorithm("unlimited")
class NoLimit(FixedLimit):
    """No limit, as a baseline for comparison."""

    __slots__ = ()

    def get_limit(self) -> float:
        """Return a limit above any load."""
        return 1e9


@register_limit_algorithm("aimd")
class AimdLimit:
    """Additive increase, multiplicative decrease on overload reported by the upstream.

    The limit is decreased at most once per `BACKOFF_INTERVAL_S`, so that the many calls
    that fail in one overload count as one. It grows by one per `limit` successful calls
    and only while at least half of it is in use; so it oscillates within a fifth of the
    upstream's true limit.
    """

    __slots__ = ("_decreased_at", "_limit", "_min_limit", "_slots")

    def __init__(self, slots: int, min_limit: int) -> None:
        self._slots = slots
        self._min_limit = min_limit
        self._limit = float(slots)
        self._decreased_at = 0.0

    def get_limit(self) -> float:
        """Return the current limit."""
        return self._limit

    def observe(self, sample: Sample, *, now: float) -> None:
        """Decrease on overload; increase on success while the limit is in use."""
        if sample.is_overload:
            if now - self._decreased_at >= BACKOFF_INTERVAL_S:
                self._limit = max(self._min_limit, self._limit * BACKOFF_RATIO)
                self._decreased_at = now
        elif sample.in_flight * 2 >= self._limit:
            self._limit = min(self._slots, self._limit + 1 / self._limit)


@register_limit_algorithm("gradient")
class GradientLimit:
    """Scales the limit by the ratio of the baseline service time to the latest one.

    Each kind has its own baseline: the shortest service time, which slowly drifts up.
    """

    __slots__ = ("_baselines_ms", "_limit", "_min_limit", "_slots")

    def __init__(self, slots: int, min_limit: int) -> None:
        self._slots = slots
        self._min_limit = min_limit
        self._limit = float(slots)
        self._baselines_ms: dict[str, float] = {}

    def get_limit(self) -> float:
        """Return the current limit."""
        return self._limit

    def observe(self, sample: Sample, *, now: float) -> None:
        """Move the limit towards the one that the service times suggest."""
        previous_ms = self._baselines_ms.get(sample.kind, sample.service_ms)
        baseline_ms = min(previous_ms * BASELINE_GROWTH, sample.service_ms)
        self._baselines_ms[sample.kind] = baseline_ms
        ratio = GRADIENT_TOLERANCE * baseline_ms / max(sample.service_ms, 1e-3)
        gradient = 0.5 if sample.is_overload else max(0.5, min(1.0, ratio))
        desired = self._limit * gradient + self._limit**0.5
        self._limit += GRADIENT_SMOOTHING * (desired - self._limit)
        self._limit = max(self._min_limit, min(self._slots, self._limit))
