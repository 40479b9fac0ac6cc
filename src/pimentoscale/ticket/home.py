"""The ledger of the calls that run at most once through a node, their home."""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass

from pimentoscale.call import Answer, Header
from pimentoscale.errors import CallError
from pimentoscale.outcome import Outcome

MAX_ENTRIES = 50_000
MAX_STORED_BODY_BYTES = 64 * 1024
RETENTION_MARGIN_MS = 60_000


@dataclass(slots=True, kw_only=True, frozen=True)
class StoredAnswer:
    """An answer stored for duplicates of its call; `body` is None if too large."""

    outcome: Outcome
    status: int
    headers: list[Header]
    body: bytes | None
    error: CallError | None
    ticket: str


@dataclass(slots=True, kw_only=True, eq=False)
class HomeEntry:
    """One call, which is in flight until `result` is done.

    `replacement` is the ticket that replaces a vetoed one, else empty.
    """

    key: str
    expires_ms: int
    result: "asyncio.Future[StoredAnswer]"
    replacement: str = ""


class HomeLedger:
    """The calls of which this node is the home.

    A call is kept while it is in flight, and for `RETENTION_MARGIN_MS` after its
    ticket expired. By then its ticket can't start another run.
    """

    __slots__ = ("_entries",)

    def __init__(self) -> None:
        self._entries: dict[str, HomeEntry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def is_full(self) -> bool:
        """Return whether the ledger has reached `MAX_ENTRIES`."""
        return len(self._entries) >= MAX_ENTRIES

    def find(self, *, key: str) -> HomeEntry | None:
        """Return the entry of a call; None if it was not submitted here before."""
        return self._entries.get(key)

    def add(self, *, key: str, expires_ms: int) -> HomeEntry:
        """Add a call, which must not have an entry yet."""
        assert key not in self._entries
        result = asyncio.get_running_loop().create_future()
        entry = HomeEntry(key=key, expires_ms=expires_ms, result=result)
        self._entries[key] = entry
        return entry

    def remove(self, *, key: str) -> None:
        """Remove a call that did not run, so that it can be submitted again."""
        self._entries.pop(key, None)

    def remove_expired(self, *, now_ms: int) -> int:
        """Remove the ended calls past their retention; return their number."""
        dropped = list(self._list_expired(now_ms))
        for key in dropped:
            del self._entries[key]
        return len(dropped)

    def _list_expired(self, now_ms: int) -> Iterator[str]:
        for key, entry in self._entries.items():
            is_past_retention = now_ms > entry.expires_ms + RETENTION_MARGIN_MS
            if is_past_retention and entry.result.done():
                yield key


def make_stored_answer(answer: Answer, body: bytes | None) -> StoredAnswer:
    """Return the answer as it is stored for duplicates.

    `body` is the content of the answer's body, None if there is none to store. A
    body of more than `MAX_STORED_BODY_BYTES` is not stored.
    """
    is_small = body is not None and len(body) <= MAX_STORED_BODY_BYTES
    return StoredAnswer(
        outcome=answer.outcome,
        status=answer.status,
        headers=answer.headers,
        body=body if is_small else None,
        error=answer.error,
        ticket=answer.ticket,
    )
