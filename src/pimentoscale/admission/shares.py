"""Shares of the slots for short and long kinds."""

import math
from enum import Enum

PEAK_HALF_LIFE_S = 5.0


class Length(Enum):
    """The two classes of kinds that hold shares of the slots."""

    SHORT = "short"
    LONG = "long"


class Shares:
    """How many calls of each class run, and whether one more may.

    Short calls may borrow all that long ones leave idle, since they give it back
    within milliseconds. Long calls may borrow only what is above the recent peak
    of short ones, since they could not give it back at once.
    """

    __slots__ = ("_long_share", "_peak", "_peak_at", "running")

    def __init__(self, *, long_share: float) -> None:
        self._long_share = long_share
        self._peak = 0.0
        self._peak_at = 0.0
        self.running = {Length.SHORT: 0, Length.LONG: 0}

    @property
    def total(self) -> int:
        """Return the calls that run, of both classes."""
        return self.running[Length.SHORT] + self.running[Length.LONG]

    def set_long_share(self, share: float) -> None:
        """Take over a changed configuration."""
        self._long_share = share

    def get_owned(self, length: Length, *, limit: int) -> int:
        """Return the slots that belong to a class; each class has at least one."""
        long = min(max(1, round(limit * self._long_share)), max(1, limit - 1))
        return long if length is Length.LONG else max(1, limit - long)

    def may_start(self, length: Length, *, limit: int, now: float) -> bool:
        """Tell whether one more call of the class may run."""
        if self.total >= limit:
            return False
        if self.is_under_share(length, limit=limit) or length is Length.SHORT:
            return True
        reserve = math.ceil(self._decay_peak(now)) + 1
        reserve = min(reserve, self.get_owned(Length.SHORT, limit=limit))
        return self.running[Length.LONG] < limit - reserve

    def is_under_share(self, length: Length, *, limit: int) -> bool:
        """Tell whether the class runs fewer calls than it owns slots."""
        return self.running[length] < self.get_owned(length, limit=limit)

    def start(self, length: Length, *, now: float) -> None:
        """Count a call that starts."""
        self.running[length] += 1
        if length is Length.SHORT:
            peak = self._decay_peak(now)
            self._peak = max(peak, float(self.running[Length.SHORT]))
            self._peak_at = now

    def end(self, length: Length) -> None:
        """Count a call that ended."""
        self.running[length] -= 1

    def _decay_peak(self, now: float) -> float:
        elapsed = max(0.0, now - self._peak_at)
        return self._peak * math.exp2(-elapsed / PEAK_HALF_LIFE_S)
