"""Finds out that the process was paused, before it acts on what it knew."""

import asyncio

from pimentoscale.logs import get_logger

TICK_S = 0.1
PAUSE_S = 1.0
CATCH_UP_S = 1.0

log = get_logger("pause")


class PauseDetector:
    """Compares the present time with that of the last tick.

    After a pause calls wait until the process has caught up with its peers or the
    log, for at most `CATCH_UP_S` seconds; then it serves with its version marked as
    unconfirmed.
    """

    def __init__(self, *, now: float) -> None:
        self._last_tick = now
        self._resumed_at = now
        self._is_current = asyncio.Event()
        self._is_current.set()
        self.pauses = 0

    def is_stale(self, *, now: float) -> bool:
        """Tell whether the process was paused and has not caught up yet."""
        if now - self._last_tick > PAUSE_S:
            self._is_current.clear()
        return not self._is_current.is_set()

    def tick(self, *, now: float) -> bool:
        """Take note of the time; return True if a pause has just ended."""
        was_paused = now - self._last_tick > PAUSE_S
        if was_paused:
            self.pauses += 1
            self._resumed_at = now
            self._is_current.clear()
            log.warning("paused for %.1f s", now - self._last_tick)
        self._last_tick = now
        return was_paused

    def confirm(self, *, asked_at: float) -> None:
        """Let calls go on, given an answer to what was asked at `asked_at`.

        An answer that was on its way during the pause proves nothing.
        """
        if asked_at >= self._resumed_at:
            self._is_current.set()

    async def wait_until_current(self) -> None:
        """Wait until the process has caught up, or the wait is over."""
        try:
            await asyncio.wait_for(self._is_current.wait(), CATCH_UP_S)
        except TimeoutError:
            log.warning("not caught up, serving unconfirmed")
            self._is_current.set()
