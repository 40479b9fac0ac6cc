"""Hybrid logical clock: wall time that never contradicts cause and effect."""

COUNTER_BITS = 16


class HybridClock:
    """Stamps are milliseconds of wall time shifted left, plus a counter."""

    __slots__ = ("_last",)

    def __init__(self) -> None:
        self._last = 0

    def tick(self, *, now_ms: int) -> int:
        """Return a stamp later than every earlier one of this process."""
        self._last = max(self._last + 1, now_ms << COUNTER_BITS)
        return self._last

    def observe(self, *, stamp: int, now_ms: int) -> None:
        """Take note of another process's stamp, so that later ones follow it.

        A stamp far ahead of this clock is not followed, so that one wrong wall
        clock can't carry all others away.
        """
        limit = (now_ms + MAX_AHEAD_MS) << COUNTER_BITS
        if self._last < stamp <= limit:
            self._last = stamp


MAX_AHEAD_MS = 60_000


def get_milliseconds(stamp: int) -> int:
    """Return the wall time in a stamp, in milliseconds since the epoch."""
    return stamp >> COUNTER_BITS
