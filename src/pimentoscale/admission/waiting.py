"""Calls that wait for a slot, in the order in which they should get one."""

from collections import Counter

import msgspec
from sortedcontainers import SortedKeyList

from pimentoscale.admission.shares import Length

Rank = tuple[int, int, int, int, int]


class Entry(msgspec.Struct, kw_only=True, eq=False):
    """A call under admission control.

    `deadline`, `due`, `arrived` and `started` are on the process's monotonic clock, in
    seconds; `due` is the time by which an answer is worth most. `expected_ms` is the
    run time by which a waiting call was counted.
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
    expected_ms: float = 0.0
    rank: Rank = (0, 0, 0, 0, 0)


def _get_rank(entry: Entry) -> Rank:
    return entry.rank


class WaitingCalls:
    """A queue by importance, then depth, then fairness between callers.

    Among equally important calls of one depth, a caller's further calls stand
    behind the other callers' first ones.
    """

    __slots__ = ("_callers", "_entries", "_sequence")

    def __init__(self) -> None:
        self._entries: SortedKeyList[Entry] = SortedKeyList(key=_get_rank)
        self._callers: Counter[str] = Counter()
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, entry: Entry) -> int:
        """Add a call and return how many stand before it."""
        self._sequence += 1
        entry.rank = (
            -entry.importance,
            -entry.depth,
            self._callers[entry.caller],
            -entry.work_ms,
            self._sequence,
        )
        self._callers[entry.caller] += 1
        self._entries.add(entry)
        position: int = self._entries.bisect_key_left(entry.rank)
        return position

    def remove(self, entry: Entry) -> bool:
        """Remove a call; return False if it is not here."""
        try:
            self._entries.remove(entry)
        except ValueError:
            return False
        self._forget_caller(entry)
        return True

    def get_first(self) -> Entry | None:
        """Return the call that should start next."""
        return self._entries[0] if self._entries else None

    def get_last(self) -> Entry | None:
        """Return the call that should be given up first."""
        return self._entries[-1] if self._entries else None

    def _forget_caller(self, entry: Entry) -> None:
        self._callers[entry.caller] -= 1
        if self._callers[entry.caller] <= 0:
            del self._callers[entry.caller]
