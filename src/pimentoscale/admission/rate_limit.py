"""Keeps the requests sent to an upstream within the rate that it states.

Designed for an upstream in trouble that states how many requests a second it takes from
all nodes together. Every request to it passes the node beside it, so the limit is kept
there, without any exchange between nodes.
"""

import math

# Requests that may be sent at once after a pause, as the time in which the limit allows
# them.
BURST_S = 0.1
# A limit has ended once answers have come without it for this time: answers may
# overtake each other.
END_S = 0.5
# A limit below this still lets some requests through; without their answers the end of
# the limit would not be noticed.
MIN_RATE = 0.5


class StatedRateLimit:
    """Spaces requests by a token bucket that fills at the rate stated by an upstream.

    `stated` is the rate in requests a second, as the upstream states it, or None.
    """

    __slots__ = ("_has_answered", "_last_stated_at", "_tokens", "_updated_at", "stated")

    def __init__(self) -> None:
        self.stated: float | None = None
        self._has_answered = False
        self._last_stated_at = 0.0
        self._tokens = 0.0
        self._updated_at = 0.0

    def record(self, rate: float | None, *, now: float) -> bool:
        """Apply what an answer states; return whether the limit is another one now."""
        self._has_answered = True
        if rate is not None:
            self._last_stated_at = now
        elif now - self._last_stated_at < END_S:
            return False
        return self._set(rate, now)

    def adopt(self, rate: float, *, now: float) -> bool:
        """Apply a rate that another node has heard of, until the upstream answers.

        A restarted node does not know what the upstream stated before. Returns whether
        the limit is another one now.
        """
        if self._has_answered:
            return False
        self._last_stated_at = now
        return self._set(rate, now)

    def reset(self) -> None:
        """Forget the limit, as when another upstream has started."""
        self.stated = None
        self._has_answered = False

    def try_send(self, *, now: float) -> bool:
        """Count a request that is sent now; return False if it has to wait."""
        if self.stated is None:
            return True
        self._fill(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def estimate_wait_s(self, *, ahead: int, now: float) -> float:
        """Return in how many seconds a request may be sent after `ahead` others."""
        if self.stated is None:
            return 0.0
        self._fill(now)
        return max(0.0, (ahead + 1 - self._tokens) / self._get_rate())

    def _set(self, rate: float | None, now: float) -> bool:
        if rate == self.stated:
            return False
        if self.stated is None:
            # What was sent shortly before is not counted, so nothing is sent at once.
            self._tokens = 0.0
            self._updated_at = now
        else:
            self._fill(now)
        self.stated = rate
        return True

    def _fill(self, now: float) -> None:
        rate = self._get_rate()
        filled = self._tokens + rate * max(0.0, now - self._updated_at)
        self._tokens = min(filled, max(1.0, rate * BURST_S))
        self._updated_at = now

    def _get_rate(self) -> float:
        return math.inf if self.stated is None else max(MIN_RATE, self.stated)
