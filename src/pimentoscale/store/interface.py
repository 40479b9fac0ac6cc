"""The interface of a record store with topics.

A keyed topic keeps the newest record of each key.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from pimentoscale.settings import Address


class StoreError(Exception):
    """The store did not answer, or not as expected; a write may have taken effect."""


class StoreGapError(StoreError):
    """The store does not have the requested records; the oldest is at `first_offset`.

    They are no longer kept, or were lost with an earlier era.
    """

    def __init__(self, message: str, *, first_offset: int) -> None:
        super().__init__(message)
        self.first_offset = first_offset


@dataclass(slots=True, kw_only=True, frozen=True, order=True)
class Position:
    """A place in a topic: offsets are given out again in each new era of the store."""

    era: int
    offset: int


def format_position(position: Position) -> str:
    """Return a position as text for logs."""
    return f"offset {position.offset} of era {position.era}"


@dataclass(slots=True, kw_only=True, frozen=True)
class KeyedRecord:
    """The record of one key; `value` is empty if the key was deleted.

    `crosses_era` tells that it took the place of a record of an earlier era, so that it
    may be older than that one.
    """

    key: bytes
    value: bytes
    position: Position
    crosses_era: bool = False


@dataclass(slots=True, kw_only=True)
class RecordPage:
    """Records in order from `first_offset` on; `next_offset` follows the last one.

    `is_complete` tells that the store had no later record.
    """

    era: int
    first_offset: int
    next_offset: int
    records: list[bytes] = field(default_factory=list)
    is_complete: bool = True


@dataclass(slots=True, kw_only=True)
class NewestPage:
    """The newest record of each key; later records follow from `next_position` on."""

    items: list[KeyedRecord]
    next_position: Position


class RecordStore(Protocol):
    """Client of a record store; each call to the store can raise `StoreError`.

    `calls` counts the calls made, by kind: `append`, `read` and `newest`.
    """

    calls: Counter[str]

    @property
    def era(self) -> int:
        """Return the era of the store, 0 if it is not known."""

    @property
    def has_unconfirmed_era(self) -> bool:
        """Return whether an era was stated that another answer has to confirm."""

    def watch_era(self, on_rise: Callable[[], None]) -> None:
        """Have a function called when the store has returned from an older copy."""

    async def append(self, *, topic: str, records: list[bytes]) -> int:
        """Append all records or none, and return the offset of the first."""

    async def read(self, *, topic: str, offset: int, wait_ms: int) -> RecordPage:
        """Return the records from an offset on; wait up to `wait_ms` for the first.

        Raises `StoreGapError` if the store does not have the record at `offset`.
        """

    async def read_newest(self, *, topic: str) -> NewestPage:
        """Return the newest record of each key of a keyed topic."""

    async def put(self, *, topic: str, key: bytes, value: bytes) -> int:
        """Append one record to a keyed topic and return its offset.

        An empty value deletes the key.
        """

    def use_address(self, address: Address) -> None:
        """Send all later calls to this address."""

    def decode_keyed(self, data: bytes, *, position: Position) -> KeyedRecord:
        """Decode a record of a keyed topic.

        Raises `StoreError` if it is malformed.
        """
