"""What a node remembers of the calls that run at most once through it."""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass

from pimentoscale.call import Answer, Header
from pimentoscale.errors import CallError
from pimentoscale.outcome import Outcome

MAX_ENTRIES = 50_000
MAX_KEPT_BODY_BYTES = 64 * 1024
KEPT_MARGIN_MS = 60_000


@dataclass(slots=True, kw_only=True, frozen=True)
class KeptAnswer:
    """An answer as it is given again to duplicates; `body` is None if too large."""

    outcome: Outcome
    status: int
    headers: list[Header]
    body: bytes | None
    error: CallError | None
    ticket: str


@dataclass(slots=True, kw_only=True, eq=False)
class HomeEntry:
    """One call: running until `ended` is done."""

    key: str
    expires_ms: int
    ended: "asyncio.Future[KeptAnswer]"
    replacement: str = ""


class HomeLedger:
    """Remembers each call until no ticket can name it any more."""

    __slots__ = ("_entries",)

    def __init__(self) -> None:
        self._entries: dict[str, HomeEntry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def is_full(self) -> bool:
        """Tell whether no further call can be remembered."""
        return len(self._entries) >= MAX_ENTRIES

    def find(self, *, key: str) -> HomeEntry | None:
        """Return the entry of a call that was submitted here before."""
        return self._entries.get(key)

    def open(self, *, key: str, expires_ms: int) -> HomeEntry:
        """Remember a new call; it must not be here yet."""
        assert key not in self._entries
        ended = asyncio.get_running_loop().create_future()
        entry = HomeEntry(key=key, expires_ms=expires_ms, ended=ended)
        self._entries[key] = entry
        return entry

    def reopen(self, *, key: str) -> None:
        """Forget a call that did not run, so that it may be submitted again."""
        self._entries.pop(key, None)

    def remove_expired(self, *, now_ms: int) -> int:
        """Drop the calls whose tickets expired long ago; return how many."""
        dropped = list(self._find_expired(now_ms))
        for key in dropped:
            del self._entries[key]
        return len(dropped)

    def _find_expired(self, now_ms: int) -> Iterator[str]:
        for key, entry in self._entries.items():
            is_over = now_ms > entry.expires_ms + KEPT_MARGIN_MS
            if is_over and entry.ended.done():
                yield key


def keep_answer(answer: Answer, body: bytes | None) -> KeptAnswer:
    """Return the answer in the form in which duplicates get it."""
    is_small = body is not None and len(body) <= MAX_KEPT_BODY_BYTES
    return KeptAnswer(
        outcome=answer.outcome,
        status=answer.status,
        headers=answer.headers,
        body=body if is_small else None,
        error=answer.error,
        ticket=answer.ticket,
    )
