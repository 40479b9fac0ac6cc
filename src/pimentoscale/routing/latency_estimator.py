"""Estimates the latency of each kind of call, and when an answer is late."""

from dataclasses import dataclass

MEAN_SMOOTHING = 0.1
DEVIATION_SMOOTHING = 0.2
LATE_DEVIATIONS = 4.0
MIN_LATE_MS = 2.0
MIN_SAMPLES = 10


@dataclass(slots=True, kw_only=True)
class _Estimate:
    """The smoothed latency of a kind and its mean deviation, in milliseconds."""

    mean_ms: float
    deviation_ms: float = 0.0
    samples: int = 0


class LatencyEstimator:
    """Estimates the mean latency of each kind and its deviation.

    A call is late after the mean plus `LATE_DEVIATIONS` mean deviations, as TCP
    computes its retransmission time-out.
    """

    __slots__ = ("_estimates",)

    def __init__(self) -> None:
        self._estimates: dict[str, _Estimate] = {}

    def record_answer(self, *, kind: str, latency_ms: float) -> None:
        """Update the estimate of a kind from an answered call."""
        estimate = self._estimates.setdefault(kind, _Estimate(mean_ms=latency_ms))
        error = latency_ms - estimate.mean_ms
        estimate.mean_ms += MEAN_SMOOTHING * error
        estimate.deviation_ms += DEVIATION_SMOOTHING * (
            abs(error) - estimate.deviation_ms
        )
        estimate.samples += 1

    def get_average_ms(self, kind: str) -> float:
        """Return the mean latency of a kind in milliseconds; 0 without answers."""
        estimate = self._estimates.get(kind)
        return estimate.mean_ms if estimate is not None else 0.0

    def get_late_ms(self, kind: str) -> float | None:
        """Return the time in milliseconds after which a call of a kind is late.

        Returns None before the kind has `MIN_SAMPLES` answers.
        """
        estimate = self._estimates.get(kind)
        if estimate is None or estimate.samples < MIN_SAMPLES:
            return None
        return max(
            MIN_LATE_MS, estimate.mean_ms + LATE_DEVIATIONS * estimate.deviation_ms
        )
