"""Time-outs that pass over no answer that has come before them.

A process that was suspended, or got no processor, finds its time-outs expired and what
came meanwhile unread, and its event loop handles the timers first.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

# A time-out that is noticed this late shows that the process did not run.
LATE_S = 0.02
# The process reads for this long then, before the time-out takes effect. It is less
# than the entry node waits longer than the one beside the target.
READING_S = 0.1
# A time-out that is noticed in time may still be the first thing after a pause: the
# process reads once what has come.
ONE_READING_S = 0.002


class Expiry:
    """Calls `on_expired` once a time is reached on the event loop's clock.

    It reads first what came before, and for longer if it did not run then.
    """

    __slots__ = ("_expires_at", "_loop", "_on_expired", "_timer")

    def __init__(self, *, expires_at: float, on_expired: Callable[[], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self._on_expired = on_expired
        # A time that has passed already was not missed.
        self._expires_at = max(expires_at, self._loop.time())
        self._timer = self._loop.call_at(self._expires_at, self._expire)

    def cancel(self) -> None:
        """Call back no more."""
        self._timer.cancel()

    def _expire(self) -> None:
        is_late = self._loop.time() - self._expires_at > LATE_S
        delay_s = READING_S if is_late else ONE_READING_S
        self._timer = self._loop.call_later(delay_s, self._on_expired)


@asynccontextmanager
async def expire_at(when: float) -> AsyncIterator[None]:
    """Raise `TimeoutError` in the context at a time, like `asyncio.timeout_at`."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as timeout:
        expiry = Expiry(
            expires_at=when, on_expired=lambda: timeout.reschedule(loop.time())
        )
        try:
            yield
        finally:
            expiry.cancel()
