"""The time by which a stopping node ends the requests in progress."""

import asyncio
import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


class TimeLimits:
    """Ends all requests in progress at `stop_at`, on the event loop's clock.

    It is infinite until the node stops.
    """

    __slots__ = ("_timeouts", "stop_at")

    def __init__(self) -> None:
        self._timeouts: set[asyncio.Timeout] = set()
        self.stop_at = math.inf

    @asynccontextmanager
    async def limit(self) -> AsyncIterator[None]:
        """Raise `TimeoutError` in the context if the node stops in it."""
        when = None if math.isinf(self.stop_at) else self.stop_at
        async with asyncio.timeout_at(when) as timeout:
            self._timeouts.add(timeout)
            try:
                yield
            finally:
                self._timeouts.discard(timeout)

    def set_stop(self, stop_at: float) -> None:
        """Set when the requests in progress end, and those that come until then."""
        if stop_at == self.stop_at:
            return
        self.stop_at = stop_at
        for timeout in self._timeouts:
            # One that has just expired can't be changed.
            if not timeout.expired():
                timeout.reschedule(stop_at)
