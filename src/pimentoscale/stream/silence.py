"""Rules for streams on which nothing is received."""

import asyncio
from collections.abc import Callable

from pimentoscale.stream.connection import Connection

HEARTBEAT_TIMEOUT_S = 2.0
# A silent connection is kept for this long while calls or queries that must not be sent
# again wait for their answers: the other side may only be paused, or cut off for a
# moment.
SILENT_WORK_TIMEOUT_S = 8.0
# Something received within this time shows that the other side still receives. Longer
# than the pauses on a stream in use, much shorter than the time-out of heartbeats.
FRESH_S = 0.25
# How long a sign of life is waited for; it takes one round trip.
SIGN_OF_LIFE_TIMEOUT_S = 0.3
FINISH_POLL_S = 0.02


class SignOfLife:
    """Waits until something is received, with one question for all that wait."""

    __slots__ = ("_asked_at", "_received")

    def __init__(self) -> None:
        self._received: asyncio.Future[None] | None = None
        self._asked_at = 0.0

    async def wait(
        self, *, ask: Callable[[], None], expires_at: float, now: float
    ) -> bool:
        """Return whether something is received in time.

        The time ends `SIGN_OF_LIFE_TIMEOUT_S` after the question, which may be that of
        an earlier call, or at `expires_at` on the event loop's clock.
        """
        if self._received is None:
            self._received = asyncio.get_running_loop().create_future()
            self._asked_at = now
            ask()
        received = self._received
        expires_at = min(expires_at, self._asked_at + SIGN_OF_LIFE_TIMEOUT_S)
        await asyncio.wait({received}, timeout=max(0.0, expires_at - now))
        if not received.done():
            # If this process was paused, what has been received is read only now.
            await asyncio.sleep(0)
        return received.done()

    def record(self) -> None:
        """Let all that wait go on."""
        if self._received is not None:
            self._received.set_result(None)
            self._received = None


def is_timed_out(connection: Connection, *, is_working: bool, now: float) -> bool:
    """Return whether an accepted connection is to be closed for its silence.

    While the other side waits for answers, or may not have read the last one yet, it is
    kept up to `SILENT_WORK_TIMEOUT_S`: that side may only be paused.
    """
    is_read = connection.answered_at < connection.last_received_at
    limit_s = HEARTBEAT_TIMEOUT_S
    if is_working or not is_read:
        limit_s = SILENT_WORK_TIMEOUT_S
    return now - connection.last_received_at > limit_s


async def finish_connections(
    list_open: Callable[[], list[Connection]], *, ends_at: float
) -> None:
    """Finish connections, and wait until the other sides have closed them.

    Those on which nothing was received for `HEARTBEAT_TIMEOUT_S` are not waited for.
    The wait ends at `ends_at` on the event loop's clock.
    """
    loop = asyncio.get_running_loop()
    for connection in list_open():
        connection.finish()
    while loop.time() < ends_at:
        heard_since = loop.time() - HEARTBEAT_TIMEOUT_S
        if all(item.last_received_at < heard_since for item in list_open()):
            return
        await asyncio.sleep(FINISH_POLL_S)
