"""Room for large bodies that other nodes are about to forward to this one.

Many nodes may send large bodies to one target at the same moment, and a stream can't be
paused for one of them without holding up all others. So a node asks before it sends a
large body, and what finds no room is refused while it has not run.
"""

import asyncio
from collections import deque

from pimentoscale.memory import Holding, MemoryAccount
from pimentoscale.memory.account import COPIES

# Larger bodies are sent to another node only after it has room for them.
LARGE_BODY_BYTES = 1024 * 1024
# How long room is kept for a body that does not come.
RESERVATION_S = 3.0


class BodyReservations:
    """Room reserved on one stream, in the order in which the bodies come."""

    __slots__ = ("_account", "_reserved")

    def __init__(self, *, account: MemoryAccount) -> None:
        self._account = account
        self._reserved: deque[Holding] = deque()

    def reserve(self, size: int) -> bool:
        """Reserve room for a body; return False if there is none."""
        if size < 0:
            return False
        loop = asyncio.get_running_loop()
        holding = Holding(label="body", on_evict=lambda: None, now=loop.time())
        if not self._account.try_reserve(holding, COPIES * size):
            return False
        self._reserved.append(holding)
        loop.call_later(RESERVATION_S, self._expire, holding)
        return True

    def take(self, size: int) -> Holding | None:
        """Return the room of a body that has come, which the caller releases."""
        if size <= LARGE_BODY_BYTES:
            return None
        for holding in self._reserved:
            if holding.size == COPIES * size:
                self._reserved.remove(holding)
                return holding
        return None

    def close(self) -> None:
        """Release all that is reserved."""
        while self._reserved:
            self._account.release(self._reserved.popleft())

    def _expire(self, holding: Holding) -> None:
        if holding in self._reserved:
            self._reserved.remove(holding)
            self._account.release(holding)
