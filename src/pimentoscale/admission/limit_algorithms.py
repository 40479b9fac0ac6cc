"""Control laws that find how many calls an upstream takes at once."""

from collections.abc import Callable
from typing import Protocol

import msgspec

BACKOFF_RATIO = 0.8
BACKOFF_PAUSE_S = 0.2
GRADIENT_SMOOTHING = 0.05
GRADIENT_TOLERANCE = 1.5
BASELINE_GROWTH = 1.0005


class Sample(msgspec.Struct, kw_only=True, frozen=True):
    """One ended call as a law sees it."""

    kind: str
    service_ms: float
    in_flight: int
    is_overload: bool


class LimitAlgorithm(Protocol):
    """Finds the limit from samples."""

    def get_limit(self) -> float:
        """Return the calls that may run at once."""

    def observe(self, sample: Sample, *, now: float) -> None:
        """Learn from one ended call."""


LimitAlgorithmMaker = Callable[[int, int], LimitAlgorithm]
_LIMIT_ALGORITHMS: dict[str, LimitAlgorithmMaker] = {}


def register_limit_algorithm(
    name: str,
) -> Callable[[LimitAlgorithmMaker], LimitAlgorithmMaker]:
    """Register a maker of limit algorithms; it gets the slots and the least limit."""

    def register(maker: LimitAlgorithmMaker) -> LimitAlgorithmMaker:
        _LIMIT_ALGORITHMS[name] = maker
        return maker

    return register


def make_limit_algorithm(*, name: str, slots: int, min_limit: int) -> LimitAlgorithm:
    """Return a new limit algorithm; raises `KeyError` for an unknown name."""
    return _LIMIT_ALGORITHMS[name](slots, min(min_limit, slots))


@register_limit_algorithm("fixed")
class FixedLimit:
    """The slots that the upstream declares, whatever happens."""

    __slots__ = ("_slots",)

    def __init__(self, slots: int, min_limit: int) -> None:
        self._slots = max(slots, min_limit)

    def get_limit(self) -> float:
        """Return the declared slots."""
        return float(self._slots)

    def observe(self, sample: Sample, *, now: float) -> None:
        """Learn nothing."""


@register_limit_algorithm("unlimited")
class UnlimitedLimit(FixedLimit):
    """No limit at all, as a baseline."""

    __slots__ = ()

    def get_limit(self) -> float:
        """Return a limit that no load reaches."""
        return 1e9


@register_limit_algorithm("aimd")
class AimdLimit:
    """Additive increase, multiplicative decrease on the upstream's own overload.

    One decrease per pause, so that the many calls that one overload ends count
    once. Since the increase is one call per limit of good answers, and only
    while the limit is in use, the law swings within a fifth of the true limit.
    """

    __slots__ = ("_decreased", "_limit", "_min_limit", "_slots")

    def __init__(self, slots: int, min_limit: int) -> None:
        self._slots = slots
        self._min_limit = min_limit
        self._limit = float(slots)
        self._decreased = 0.0

    def get_limit(self) -> float:
        """Return the current limit."""
        return self._limit

    def observe(self, sample: Sample, *, now: float) -> None:
        """Decrease on overload; increase on a good answer at the limit."""
        if sample.is_overload:
            if now - self._decreased >= BACKOFF_PAUSE_S:
                self._limit = max(self._min_limit, self._limit * BACKOFF_RATIO)
                self._decreased = now
        elif sample.in_flight * 2 >= self._limit:
            self._limit = min(self._slots, self._limit + 1 / self._limit)


@register_limit_algorithm("gradient")
class GradientLimit:
    """Follows the ratio of the best service time to the present one, per kind."""

    __slots__ = ("_baselines", "_limit", "_min_limit", "_slots")

    def __init__(self, slots: int, min_limit: int) -> None:
        self._slots = slots
        self._min_limit = min_limit
        self._limit = float(slots)
        self._baselines: dict[str, float] = {}

    def get_limit(self) -> float:
        """Return the current limit."""
        return self._limit

    def observe(self, sample: Sample, *, now: float) -> None:
        """Move towards the limit that the ratio of times asks for."""
        known = self._baselines.get(sample.kind, sample.service_ms)
        baseline = min(known * BASELINE_GROWTH, sample.service_ms)
        self._baselines[sample.kind] = baseline
        ratio = GRADIENT_TOLERANCE * baseline / max(sample.service_ms, 1e-3)
        gradient = 0.5 if sample.is_overload else max(0.5, min(1.0, ratio))
        wanted = self._limit * gradient + self._limit**0.5
        self._limit += GRADIENT_SMOOTHING * (wanted - self._limit)
        self._limit = max(self._min_limit, min(self._slots, self._limit))
