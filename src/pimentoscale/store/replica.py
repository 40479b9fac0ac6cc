"""The newest record of each key of a topic, as far as this node has received them."""

from collections.abc import Callable, Iterable
from dataclasses import replace

from pimentoscale.logs import get_logger
from pimentoscale.store.interface import KeyedRecord, Position, format_position
from pimentoscale.store.unapplied import UnappliedRecords

START = Position(era=0, offset=0)

RecordHandler = Callable[[KeyedRecord], None]

log = get_logger("store")


class TopicReplica:
    """Holds the newest record of each key; an older one never replaces a newer one.

    Records come from the store or from other nodes, in any order. All records before
    `next_position` have been applied, or are among the `unapplied`; it is None until
    the topic was read once. A record of an earlier era than `next_position` is not in
    the store any more.
    """

    __slots__ = ("_records", "next_position", "topic", "unapplied")

    def __init__(self, *, topic: str) -> None:
        self.topic = topic
        self.next_position: Position | None = None
        self.unapplied = UnappliedRecords(topic=topic)
        self._records: dict[bytes, KeyedRecord] = {}

    def apply(
        self,
        records: Iterable[KeyedRecord],
        *,
        source: str,
        handle: RecordHandler,
        now: float,
    ) -> list[KeyedRecord]:
        """Hold and handle the records newer than the held ones; return the held ones.

        One that raises is left to be read again, and the others go on.
        """
        newer: list[KeyedRecord] = []
        for record in sorted(records, key=_get_position):
            try:
                is_newer = self._hold(record, source=source)
                if is_newer:
                    newer.append(self._records[record.key])
                if is_newer or self._is_held_unapplied(record):
                    handle(self._records[record.key])
            except Exception as error:
                self.unapplied.add(record, error, source=source, now=now)
            else:
                self.unapplied.discard(record.position)
        return newer

    def _hold(self, record: KeyedRecord, *, source: str) -> bool:
        """Hold a record if it is newer than the held one; return whether it is."""
        held = self._records.get(record.key)
        if held is None or record.position > held.position:
            if held is not None and record.position.era > held.position.era:
                record = replace(record, crosses_era=True)
            self.unapplied.discard_key(record.key)
            self._records[record.key] = record
            return True
        if record.position < held.position:
            log.info(
                "topic %s: record of %r at %s from %s ignored: %s is held",
                self.topic,
                record.key[:64],
                format_position(record.position),
                source,
                format_position(held.position),
            )
        return False

    def _is_held_unapplied(self, record: KeyedRecord) -> bool:
        held = self._records[record.key]
        return record.position == held.position and record.position in self.unapplied

    def advance(self, next_position: Position) -> None:
        """Note that all records before a position have been received.

        They must have been passed to `apply` before.
        """
        self.next_position = max(self.next_position or START, next_position)

    def find(self, key: bytes) -> KeyedRecord | None:
        """Return the newest record of a key if the store has it."""
        record = self._records.get(key)
        return None if record is None or self._is_lost(record) else record

    def list_since(self, position: Position) -> list[KeyedRecord]:
        """Return the held records from a position on, in order."""
        found = [item for item in self._records.values() if item.position >= position]
        return sorted(found, key=_get_position)

    def list_lost_keys(self) -> list[bytes]:
        """Return the keys whose records the store has lost."""
        return [key for key, item in self._records.items() if self._is_lost(item)]

    def _is_lost(self, record: KeyedRecord) -> bool:
        era = self.next_position.era if self.next_position else START.era
        return record.position.era < era


def _get_position(record: KeyedRecord) -> Position:
    return record.position
