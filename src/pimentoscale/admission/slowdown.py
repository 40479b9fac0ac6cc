"""Uses what a target tells about how slow its work is at present.

Designed for targets that share their machines: a neighbour's load slows them down for
fractions of a second, which shows in their run times only after the next runs there
have ended. A target that tells its slowdown is judged by it at once; without told
figures all estimates are those of the run times alone.
"""

# The weight of a told slowdown halves in this time: neighbours' load changes several
# times a second.
SLOWDOWN_HALF_LIFE_S = 0.5
# Weight of one run in the relation between slowdown and run time.
SLOPE_SMOOTHING = 0.02
# Runs before the relation is used.
SLOPE_MIN_RUNS = 50
# With less variance of the slowdown than this, the relation is noise.
SLOPE_MIN_VARIANCE = 0.005
# The slowdown of a target that works as usual.
USUAL_SLOWDOWN = 1.0


def decay_slowdown(slowdown: float, *, age_s: float) -> float:
    """Return the slowdown to expect some time after it was told; 0 if never told."""
    if slowdown <= 0:
        return 0.0
    weight = 2.0 ** (-max(0.0, age_s) / SLOWDOWN_HALF_LIFE_S)
    return float(USUAL_SLOWDOWN + (slowdown - USUAL_SLOWDOWN) * weight)


class SlowdownEstimate:
    """The slowdown that one target told last; 0 while it has told none."""

    __slots__ = ("_told_at", "_value")

    def __init__(self) -> None:
        self._value = 0.0
        self._told_at = 0.0

    def record(self, slowdown: float, *, now: float) -> None:
        """Store a told slowdown; 1 is usual and 2 half as fast."""
        self._value = slowdown
        self._told_at = now

    def get(self, *, now: float) -> float:
        """Return the slowdown to expect now; it decays to the usual one with age."""
        return decay_slowdown(self._value, age_s=now - self._told_at)


class SlowdownSlope:
    """How many milliseconds one unit of slowdown adds to the runs of one route.

    Only a target's own work is slowed down, not the calls that it waits for, so the
    slope is learned from runs at different slowdowns.
    """

    __slots__ = ("_mean", "_mean_ms", "_products", "_runs", "_squares")

    def __init__(self) -> None:
        self._runs = 0
        self._mean = 0.0
        self._mean_ms = 0.0
        self._squares = 0.0
        self._products = 0.0

    def record(self, *, run_ms: float, slowdown: float) -> None:
        """Add one run; runs without a told slowdown are passed over."""
        if slowdown <= 0:
            return
        self._runs += 1
        weight = max(SLOPE_SMOOTHING, 1 / self._runs)
        self._mean += weight * (slowdown - self._mean)
        self._mean_ms += weight * (run_ms - self._mean_ms)
        self._squares += weight * (slowdown * slowdown - self._squares)
        self._products += weight * (slowdown * run_ms - self._products)

    def estimate_excess_ms(self, slowdown: float) -> float:
        """Return by how much a run at a slowdown differs from the average run."""
        variance = self._squares - self._mean * self._mean
        if (
            slowdown <= 0
            or self._runs < SLOPE_MIN_RUNS
            or variance < SLOPE_MIN_VARIANCE
        ):
            return 0.0
        slope_ms = (self._products - self._mean * self._mean_ms) / variance
        slope_ms = min(self._mean_ms, max(0.0, slope_ms))
        return slope_ms * (slowdown - self._mean)
