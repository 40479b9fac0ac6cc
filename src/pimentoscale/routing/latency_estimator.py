"""How long each kind of call usually takes, and when one is late."""

from dataclasses import dataclass

MEAN_SMOOTHING = 0.1
DEVIATION_SMOOTHING = 0.2
DEVIATIONS = 4.0
LEAST_LATE_MS = 2.0
LEAST_SAMPLES = 10


@dataclass(slots=True, kw_only=True)
class _Usual:
    """The smoothed time of a kind and its mean deviation, in milliseconds."""

    mean_ms: float
    deviation_ms: float = 0.0
    samples: int = 0


class LatencyEstimator:
    """Learns the usual time of each kind.

    A call is late after the mean plus some deviations, as in the rule for TCP's
    retransmission time-out.
    """

    __slots__ = ("_usual",)

    def __init__(self) -> None:
        self._usual: dict[str, _Usual] = {}

    def note_answer(self, *, kind: str, latency_ms: float) -> None:
        """Learn from the time that an answered call took."""
        usual = self._usual.setdefault(kind, _Usual(mean_ms=latency_ms))
        error = latency_ms - usual.mean_ms
        usual.mean_ms += MEAN_SMOOTHING * error
        usual.deviation_ms += DEVIATION_SMOOTHING * (abs(error) - usual.deviation_ms)
        usual.samples += 1

    def get_late_ms(self, kind: str) -> float | None:
        """Return after how long a call of a kind is late; None if not known yet."""
        usual = self._usual.get(kind)
        if usual is None or usual.samples < LEAST_SAMPLES:
            return None
        return max(LEAST_LATE_MS, usual.mean_ms + DEVIATIONS * usual.deviation_ms)
