"""Division of the slots between short and long calls."""

import math
from enum import Enum

PEAK_HALF_LIFE_S = 5.0


class Length(Enum):
    """The two classes of kinds, each of which has a share of the slots."""

    SHORT = "short"
    LONG = "long"


class SlotShares:
    """Counts the running calls of each class and decides whether one more may start.

    Short calls may borrow every slot that long calls leave idle, since they release
    it within milliseconds. Long calls may borrow only the slots above the recent peak
    of short calls, since they hold a slot for too long to return it on demand.
    """

    __slots__ = ("_long_share", "_peak", "_peak_at", "running")

    def __init__(self, *, long_share: float) -> None:
        self._long_share = long_share
        self._peak = 0.0
        self._peak_at = 0.0
        self.running = {Length.SHORT: 0, Length.LONG: 0}

    @property
    def total(self) -> int:
        """Return the number of running calls of both classes."""
        return self.running[Length.SHORT] + self.running[Length.LONG]

    def set_long_share(self, share: float) -> None:
        """Set the share of the slots that belongs to long calls, from 0 to 1."""
        self._long_share = share

    def get_share(self, length: Length, *, limit: int) -> int:
        """Return the slots in the share of a class; each class has at least one."""
        long = min(max(1, round(limit * self._long_share)), max(1, limit - 1))
        return long if length is Length.LONG else max(1, limit - long)

    def may_start(self, length: Length, *, limit: int, now: float) -> bool:
        """Return whether one more call of the class may start."""
        if self.total >= limit:
            return False
        if self.is_under_share(length, limit=limit) or length is Length.SHORT:
            return True
        reserve = math.ceil(self._get_decayed_peak(now)) + 1
        reserve = min(reserve, self.get_share(Length.SHORT, limit=limit))
        return self.running[Length.LONG] < limit - reserve

    def is_under_share(self, length: Length, *, limit: int) -> bool:
        """Return whether the class runs fewer calls than its share has slots."""
        return self.running[length] < self.get_share(length, limit=limit)

    def start(self, length: Length, *, now: float) -> None:
        """Count a call that starts."""
        self.running[length] += 1
        if length is Length.SHORT:
            peak = self._get_decayed_peak(now)
            self._peak = max(peak, float(self.running[Length.SHORT]))
            self._peak_at = now

    def end(self, length: Length) -> None:
        """Count a call that ends."""
        self.running[length] -= 1

    def _get_decayed_peak(self, now: float) -> float:
        elapsed = max(0.0, now - self._peak_at)
        return self._peak * math.exp2(-elapsed / PEAK_HALF_LIFE_S)
