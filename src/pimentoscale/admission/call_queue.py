"""The queue of calls that wait for a slot, by priority."""

import math
from collections import Counter

import msgspec
from sortedcontainers import SortedKeyList

from pimentoscale.admission.slot_shares import Length

SortKey = tuple[int, int, int, int, int]


class Entry(msgspec.Struct, kw_only=True, eq=False):
    """A call under admission control.

    `deadline`, `due`, `start_by`, `arrived` and `started` are on the process's
    monotonic clock, in seconds. `due`, which `UrgencyAdmission` uses, is the time by
    which an answer is worth most; it is not after `deadline`. `start_by` is how long
    the call may wait for an upstream that states a rate limit. `depth` is the call's
    depth in its tree of calls, and `work_ms` the upstream time already spent on that
    tree. `expected_ms` is the estimated run time with which a waiting call counts
    towards the backlog.
    """

    request: str
    caller: str
    kind: str
    importance: int
    length: Length
    depth: int
    work_ms: int
    deadline: float
    arrived: float = 0.0
    started: float = 0.0
    due: float = 0.0
    start_by: float = math.inf
    expected_ms: float = 0.0
    sort_key: SortKey = (0, 0, 0, 0, 0)


def _get_sort_key(entry: Entry) -> SortKey:
    return entry.sort_key


class CallQueue:
    """A priority queue by importance, then depth, then fairness between callers.

    Among equally important calls of one depth, the more calls its caller already has in
    the queue, the later a call starts. So the further calls of a caller with many calls
    start after the first calls of the others.
    """

    __slots__ = ("_calls_by_caller", "_entries", "_sequence")

    def __init__(self) -> None:
        self._entries: SortedKeyList[Entry] = SortedKeyList(key=_get_sort_key)
        self._calls_by_caller: Counter[str] = Counter()
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, entry: Entry) -> int:
        """Add a call and return the number of calls ahead of it."""
        self._sequence += 1
        entry.sort_key = (
            -entry.importance,
            -entry.depth,
            self._calls_by_caller[entry.caller],
            -entry.work_ms,
            self._sequence,
        )
        self._calls_by_caller[entry.caller] += 1
        self._entries.add(entry)
        position: int = self._entries.bisect_key_left(entry.sort_key)
        return position

    def remove(self, entry: Entry) -> bool:
        """Remove a call; return False if it is not in the queue."""
        try:
            self._entries.remove(entry)
        except ValueError:
            return False
        self._remove_from_caller(entry)
        return True

    def get_first(self) -> Entry | None:
        """Return the call to start next, or None if the queue is empty."""
        return self._entries[0] if self._entries else None

    def get_last(self) -> Entry | None:
        """Return the call to displace first, or None if the queue is empty."""
        return self._entries[-1] if self._entries else None

    def _remove_from_caller(self, entry: Entry) -> None:
        self._calls_by_caller[entry.caller] -= 1
        if self._calls_by_caller[entry.caller] <= 0:
            del self._calls_by_caller[entry.caller]
