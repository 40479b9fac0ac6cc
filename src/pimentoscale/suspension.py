"""Detection of suspensions of the machine.

The monotonic clock stops during a suspension and the boot-time clock runs on, so the
gap between the two grows. The time of day is not used, since it may be set.
"""

import time

# Reading the two clocks one after the other shifts the offset by far less.
MIN_SUSPENSION_S = 0.5


class SuspensionDetector:
    """Detects suspensions by the offset of the boot-time from the monotonic clock."""

    __slots__ = ("_offset",)

    def __init__(self, *, now: float, boot_time: float) -> None:
        self._offset = boot_time - now

    def check(self, *, now: float, boot_time: float) -> float:
        """Return the seconds of suspension since the last check, or 0 if none."""
        gap_s = boot_time - now - self._offset
        self._offset = boot_time - now
        return gap_s if gap_s > MIN_SUSPENSION_S else 0.0


def read_suspended_s() -> float:
    """Return how long the machine has been suspended since it booted."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()


def read_boot_time() -> float:
    """Return the seconds since the machine booted, including suspensions."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
