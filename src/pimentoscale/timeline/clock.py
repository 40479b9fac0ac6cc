"""Hybrid logical clock: timestamps near wall time that respect causal order."""

COUNTER_BITS = 16
MAX_CLOCK_SKEW_MS = 60_000


class HybridClock:
    """Issues timestamps: wall time in ms in the high bits, a counter in the low."""

    __slots__ = ("_last",)

    def __init__(self) -> None:
        self._last = 0

    def tick(self, *, now_ms: int) -> int:
        """Return a timestamp greater than all earlier ones issued or observed."""
        self._last = max(self._last + 1, now_ms << COUNTER_BITS)
        return self._last

    def observe(self, *, timestamp: int, now_ms: int) -> None:
        """Advance to another process's timestamp, so that later ones exceed it.

        A timestamp more than MAX_CLOCK_SKEW_MS ahead of the wall time is ignored, so
        that one wrong wall clock can't advance the clocks of all processes.
        """
        limit = (now_ms + MAX_CLOCK_SKEW_MS) << COUNTER_BITS
        if self._last < timestamp <= limit:
            self._last = timestamp


def extract_wall_ms(timestamp: int) -> int:
    """Return the wall time of a timestamp in milliseconds since the Unix epoch."""
    return timestamp >> COUNTER_BITS
