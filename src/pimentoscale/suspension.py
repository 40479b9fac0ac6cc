"""Finds out that this machine was suspended.

The steady clock stands still meanwhile; only the boot-time clock shows the gap. The
time of day is not used, since it may be set.
"""

import time

# Two readings of the clocks in a row differ by far less.
SUSPENDED_S = 0.5


class SuspensionDetector:
    """Compares the boot-time clock with the steady clock."""

    __slots__ = ("_offset",)

    def __init__(self, *, now: float, boot_time: float) -> None:
        self._offset = boot_time - now

    def check(self, *, now: float, boot_time: float) -> float:
        """Return the seconds of a suspension since the last check, or 0."""
        gap_s = boot_time - now - self._offset
        self._offset = boot_time - now
        return gap_s if gap_s > SUSPENDED_S else 0.0


def read_boot_time() -> float:
    """Return the seconds since the machine started, suspensions included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
