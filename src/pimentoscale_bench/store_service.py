"""The records of the stand-in for the platform's store, in memory, and its faults."""

import asyncio
import base64
import contextlib
import random
import struct
from bisect import bisect_left, bisect_right
from collections import defaultdict
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any

# Limits of the platform's store: items and bytes of a page of newest records, kilobytes
# of a read, and bytes of a record that a node appends.
MAX_NEWEST_ITEMS = 500
MAX_NEWEST_BYTES = 1024 * 1024
MAX_READ_KB = 1024
MAX_RECORD_BYTES = 256 * 1024
KILOBYTE = 1024
# An answer is sent in up to this many parts.
MAX_PARTS = 4
KEYED_PREFIX = "keyed."
LENGTH = struct.Struct(">I")
OFFSETS = struct.Struct(">QQ")
FIRST_ERA = 1


class StoreGoneError(Exception):
    """The requested offset is not kept: deleted, or beyond the end."""


class StoreConditionError(Exception):
    """The partition's end is not the offset that the writer expects."""


@dataclass(slots=True, kw_only=True)
class StoreFaults:
    """The faults that are injected now.

    `is_down` answers every call with 503, and `reject_status` with that status if it
    is not 0. While `is_silent` is set no call is answered, and none of those in
    progress ever will be. `delay_ms` delays every call. The next `lost_answers` appends
    are done and answered with 504; `late_ms` delays them. Records expire after
    `retention_s`.
    """

    is_down: bool = False
    is_silent: bool = False
    reject_status: int = 0
    delay_ms: int = 0
    lost_answers: int = 0
    late_ms: int = 0
    retention_s: float = 3600.0


@dataclass(slots=True, kw_only=True, frozen=True)
class _Change:
    """An append to a keyed topic, with the newest record of the key before it."""

    appended_at: float
    key: bytes
    former: tuple[bytes, int] | None


@dataclass(slots=True, kw_only=True)
class _Partition:
    """The records that are kept, and when each record was ever appended."""

    records: list[bytes] = field(default_factory=list)
    appended_at: list[float] = field(default_factory=list)
    newest: dict[bytes, tuple[bytes, int]] = field(default_factory=dict)
    changes: list[_Change] = field(default_factory=list)
    arrived: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def first(self) -> int:
        """Return the offset of the first retained record."""
        return len(self.appended_at) - len(self.records)

    @property
    def end(self) -> int:
        """Return the offset of the next record."""
        return len(self.appended_at)


class StoreService:
    """An in-memory log store, with one partition for each topic.

    `faults` are the current faults, and `appends` counts the appends done. `era` rises
    with each return from an older copy, and `silences` with each time without answers.
    `seed` determines the parts in which answers are sent.
    """

    def __init__(self, *, seed: int = 1) -> None:
        self.faults = StoreFaults()
        self._rng = random.Random(seed)
        self._topics: dict[str, _Partition] = defaultdict(_Partition)
        self.appends = 0
        self.era = FIRST_ERA
        self.silences = 0

    def append(
        self, topic: str, records: list[bytes], *, at: int | None, now: float
    ) -> int:
        """Append records and return the offset of the first.

        Raises `StoreConditionError` if `at` is given and is not the partition's end.
        """
        partition = self._topics[topic]
        if at is not None and at != partition.end:
            raise StoreConditionError
        first = partition.end
        for record in records:
            if topic.startswith(KEYED_PREFIX):
                _update_newest(partition, record, now=now)
            partition.records.append(record)
            partition.appended_at.append(now)
        partition.arrived.set()
        partition.arrived = asyncio.Event()
        self.appends += 1
        return first

    async def read(
        self, topic: str, offset: int, wait_ms: int, *, max_kb: int = MAX_READ_KB
    ) -> bytes:
        """Return a page of records, in the format of the platform's protocol.

        Waits up to `wait_ms` for a record at `offset`. The page has at most `max_kb`
        kilobytes, or one record. Raises `StoreGoneError` if the record at `offset` is
        no longer retained, or if the log ends before it.
        """
        partition = self._topics[topic]
        if offset == partition.end and wait_ms > 0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_ms / 1000):
                    await partition.arrived.wait()
        if not partition.first <= offset <= partition.end:
            raise StoreGoneError
        start = offset - partition.first
        body = bytearray(OFFSETS.pack(partition.end, partition.first))
        for record in partition.records[start:]:
            size = len(body) + LENGTH.size + len(record)
            if len(body) > OFFSETS.size and size > max_kb * KILOBYTE:
                break
            body += LENGTH.pack(len(record)) + record
        return bytes(body)

    def describe_newest(self, topic: str, *, after: str = "") -> dict[str, Any]:
        """Return a page of the newest record of each key, from after a key on."""
        partition = self._topics[topic]
        items: list[dict[str, Any]] = []
        size = 0
        for key, (value, offset) in sorted(partition.newest.items()):
            text = key.decode("utf-8", "replace")
            if text <= after:
                continue
            size += len(value)
            is_full = len(items) == MAX_NEWEST_ITEMS or size > MAX_NEWEST_BYTES
            if items and is_full:
                return _make_newest_page(items, partition, has_more=True)
            data = base64.b64encode(value).decode()
            items.append({"key": text, "value": data, "offset": offset})
        return _make_newest_page(items, partition, has_more=False)

    def split_answer(self, data: bytes) -> list[bytes]:
        """Return the parts of random sizes in which an answer is sent."""
        count = self._rng.randint(1, MAX_PARTS)
        ends = sorted(self._rng.randint(0, len(data)) for _ in range(count - 1))
        return [data[start:end] for start, end in pairwise([0, *ends, len(data)])]

    def list_keys(self, topic: str) -> list[bytes]:
        """Return the keys of a keyed topic."""
        return sorted(self._topics[topic].newest)

    def get_first(self, topic: str) -> int:
        """Return the offset of the first retained record."""
        return self._topics[topic].first

    def get_end(self, topic: str) -> int:
        """Return the offset of the next record."""
        return self._topics[topic].end

    def expire(self, *, now: float) -> None:
        """Drop the records that are older than the retention period."""
        limit = now - self.faults.retention_s
        for partition in self._topics.values():
            first = partition.first
            _drop_oldest(partition, bisect_left(partition.appended_at, limit) - first)

    def set_faults(self, faults: StoreFaults) -> None:
        """Change the injected faults."""
        if faults.is_silent and not self.faults.is_silent:
            self.silences += 1
        self.faults = faults

    def return_older_copy(self, *, since: float) -> int:
        """Lose all records appended after `since`; return how many these are.

        Their offsets are given out again. Calls in progress get no answer.
        """
        lost = sum(_undo(partition, since) for partition in self._topics.values())
        self.era += 1
        self.silences += 1
        return lost

    def truncate(self) -> None:
        """Drop all records of the log; the newest record of each key stays."""
        for partition in self._topics.values():
            partition.records.clear()


def _make_newest_page(
    items: list[dict[str, Any]], partition: _Partition, *, has_more: bool
) -> dict[str, Any]:
    return {"items": items, "has_more": has_more, "end_offset": partition.end}


def _drop_oldest(partition: _Partition, count: int) -> None:
    if count > 0:
        del partition.records[:count]


def _undo(partition: _Partition, since: float) -> int:
    """Remove the records appended after `since`; return how many these are."""
    end = bisect_right(partition.appended_at, since)
    lost = partition.end - end
    del partition.records[max(0, end - partition.first) :]
    del partition.appended_at[end:]
    while partition.changes and partition.changes[-1].appended_at > since:
        change = partition.changes.pop()
        if change.former is None:
            partition.newest.pop(change.key, None)
        else:
            partition.newest[change.key] = change.former
    return lost


def _update_newest(partition: _Partition, record: bytes, *, now: float) -> None:
    """Set the newest value of a record's key; an empty value removes the key."""
    key_end = 1 + record[0]
    key, value = record[1:key_end], record[key_end:]
    former = partition.newest.get(key)
    partition.changes.append(_Change(appended_at=now, key=key, former=former))
    if value:
        partition.newest[key] = (value, partition.end)
    else:
        partition.newest.pop(key, None)


def split_records(body: bytes) -> list[bytes]:
    """Return the records of an append's body, each prefixed with its length."""
    records: list[bytes] = []
    position = 0
    while position < len(body):
        (size,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        records.append(body[position : position + size])
        position += size
    return records
