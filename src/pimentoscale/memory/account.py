"""Bounds the bytes that a node holds for all its clients together.

Designed for many clients whose requests are legal one by one: large bodies that stop
short of their end, or answers that nobody reads. The account knows the memory of the
machine. Once it is full, what has held the most bytes for the longest time goes first:
so those that make no progress give way, and ordinary requests, which are small and
short, do not.

What has arrived whole may have run and can't give way; it counts until its answer is
sent.
"""

import math
import sys
from collections.abc import Callable

from pimentoscale.logs import get_logger

MEGABYTE = 1024 * 1024
# Memory of a node that holds nothing for clients, with its members and estimates.
BASE_MB = 64
# Part of the memory for clients if that is less than the base.
MIN_SHARE = 0.25
# A body is held once more while it is sent to a target or to another node.
COPIES = 2
# Age that is counted for what has just arrived, so that size tells then.
MIN_AGE_S = 0.1
# Least time between two log lines.
LOG_PERIOD_S = 1.0

log = get_logger("memory")


class Holding:
    """Bytes held for one client; `on_evict` gives them up."""

    __slots__ = ("_on_evict", "is_evictable", "label", "since", "size")

    def __init__(self, *, label: str, on_evict: Callable[[], None], now: float) -> None:
        self._on_evict = on_evict
        self.label = label
        self.since = now
        self.size = 0
        self.is_evictable = True

    def evict(self) -> None:
        """Give up the bytes: the owner refuses the request or closes the connection."""
        self.is_evictable = False
        self._on_evict()


class MemoryAccount:
    """The holdings of all clients, within a capacity in bytes.

    `on_evicted` is called with the label of each holding that gave way.
    """

    __slots__ = (
        "_evicted",
        "_holdings",
        "_logged_at",
        "capacity",
        "held",
        "on_evicted",
    )

    def __init__(self, *, capacity: int) -> None:
        self.capacity = capacity
        self.held = 0
        self._holdings: set[Holding] = set()
        self._evicted = 0
        self._logged_at = -math.inf
        self.on_evicted: Callable[[str], None] = lambda label: None

    def grow(self, holding: Holding, size: int, *, now: float) -> bool:
        """Count further bytes; return False if the holding gave way itself."""
        holding.size += size
        self.held += size
        self._holdings.add(holding)
        while self.held > self.capacity:
            victim = self._find_victim(now)
            if victim is None:
                # Nothing but what may have run is left: the newest gives way.
                victim = holding
            self._evict(victim, now)
            if victim is holding:
                return False
        return True

    def try_reserve(self, holding: Holding, size: int) -> bool:
        """Count bytes that are about to come if there is room for them."""
        if self.held + size > self.capacity:
            return False
        holding.is_evictable = False
        holding.size += size
        self.held += size
        self._holdings.add(holding)
        return True

    def release(self, holding: Holding) -> None:
        """Count a holding no more."""
        self._holdings.discard(holding)
        self.held -= holding.size
        holding.size = 0

    def _find_victim(self, now: float) -> Holding | None:
        """Return the holding that has held the most bytes for the longest time."""
        candidates = (item for item in self._holdings if item.is_evictable)
        return max(
            candidates,
            key=lambda item: item.size * (now - item.since + MIN_AGE_S),
            default=None,
        )

    def _evict(self, holding: Holding, now: float) -> None:
        size = holding.size
        self.release(holding)
        holding.evict()
        self._evicted += 1
        self.on_evicted(holding.label)
        if now - self._logged_at < LOG_PERIOD_S:
            return
        self._logged_at = now
        log.warning(
            "%s given up: bytes=%d age_s=%.2f held=%d capacity=%d given_up=%d",
            holding.label,
            size,
            now - holding.since,
            self.held,
            self.capacity,
            self._evicted,
        )


def make_account(memory_mb: int) -> MemoryAccount:
    """Return the account of a process that may take this much memory; 0 is any."""
    if not memory_mb:
        return MemoryAccount(capacity=sys.maxsize)
    for_clients_mb = max(memory_mb - BASE_MB, memory_mb * MIN_SHARE)
    return MemoryAccount(capacity=int(for_clients_mb * MEGABYTE))
