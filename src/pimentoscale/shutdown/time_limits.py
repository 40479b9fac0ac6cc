"""The time by which a stopping node ends the requests in progress."""

import asyncio
import math
from types import TracebackType


class TimeLimits:
    """Ends all requests in progress at `stop_at`, on the event loop's clock.

    It is infinite until the node stops.
    """

    __slots__ = ("_timeouts", "stop_at")

    def __init__(self) -> None:
        self._timeouts: set[asyncio.Timeout] = set()
        self.stop_at = math.inf

    def limit(self) -> "_LimitedContext":
        """Raise `TimeoutError` in the returned context if the node stops in it."""
        when = None if math.isinf(self.stop_at) else self.stop_at
        return _LimitedContext(
            timeout=asyncio.timeout_at(when), timeouts=self._timeouts
        )

    def set_stop(self, stop_at: float) -> None:
        """Set when the requests in progress end, and those that come until then."""
        if stop_at == self.stop_at:
            return
        self.stop_at = stop_at
        for timeout in self._timeouts:
            # One that has just expired can't be changed.
            if not timeout.expired():
                timeout.reschedule(stop_at)


class _LimitedContext:
    """A time-out that is in a set while its context is in progress.

    It is a class since each request enters one at each of its nodes: with a generator
    and `asynccontextmanager` that took half as much processor time again.
    """

    __slots__ = ("_timeout", "_timeouts")

    def __init__(
        self, *, timeout: asyncio.Timeout, timeouts: set[asyncio.Timeout]
    ) -> None:
        self._timeout = timeout
        self._timeouts = timeouts

    async def __aenter__(self) -> None:
        await self._timeout.__aenter__()
        self._timeouts.add(self._timeout)

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._timeouts.discard(self._timeout)
        await self._timeout.__aexit__(kind, error, trace)
