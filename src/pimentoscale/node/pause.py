"""Detection of process pauses, after which the state of the node may be stale."""

import asyncio

from pimentoscale.logs import get_logger

TICK_PERIOD_S = 0.1
PAUSE_THRESHOLD_S = 1.0
CATCH_UP_TIMEOUT_S = 1.0

log = get_logger("pause")


class PauseDetector:
    """Detects a pause by the time since the last tick.

    After a pause, calls wait until the process has caught up with its peers or the
    log. After `CATCH_UP_TIMEOUT_S` seconds they are served all the same, and answers
    mark the configuration version as unconfirmed once its lease has ended.
    """

    def __init__(self, *, now: float) -> None:
        self._last_tick = now
        self._resumed_at = now
        self._is_current = asyncio.Event()
        self._is_current.set()
        self.pause_count = 0

    def is_stale(self, *, now: float) -> bool:
        """Return whether the process was paused and has not caught up yet."""
        if now - self._last_tick > PAUSE_THRESHOLD_S:
            self._is_current.clear()
        return not self._is_current.is_set()

    def tick(self, *, now: float) -> bool:
        """Record the time of a tick; return whether a pause has just ended."""
        was_paused = now - self._last_tick > PAUSE_THRESHOLD_S
        if was_paused:
            self.pause_count += 1
            self._resumed_at = now
            self._is_current.clear()
            log.warning("process was paused for %.1f s", now - self._last_tick)
        self._last_tick = now
        return was_paused

    def confirm(self, *, requested_at: float) -> None:
        """Mark the process as current after the answer to a request.

        `requested_at` is when the request was sent. An answer to a request from
        before the end of a pause may itself be stale, so it is ignored.
        """
        if requested_at >= self._resumed_at:
            self._is_current.set()

    async def wait_until_current(self) -> None:
        """Wait until the process has caught up, at most `CATCH_UP_TIMEOUT_S`."""
        try:
            async with asyncio.timeout(CATCH_UP_TIMEOUT_S):
                await self._is_current.wait()
        except TimeoutError:
            log.warning("not caught up in time; the version served may be outdated")
            self._is_current.set()
