"""The fold together with the records that others may ask for."""

from collections import deque
from collections.abc import Sequence

from result import Ok

from pimentoscale.configuration.fold import Fold
from pimentoscale.configuration.records import (
    SnapshotRecord,
    decode_record,
    encode_record,
)

KEPT_RECORDS = 2048
MAX_PAGE = 256


class ConfigurationFeed:
    """Takes records from the log or a peer and gives them on."""

    __slots__ = ("_kept", "_kept_from", "fold", "snapshots_seen")

    def __init__(self) -> None:
        self.fold = Fold()
        self.snapshots_seen = 0
        self._kept: deque[bytes] = deque()
        self._kept_from = 0

    def take(self, *, first: int, records: Sequence[bytes], snapshot: bytes) -> bool:
        """Fold what is new; return False if records before `first` are missing."""
        if snapshot:
            self._adopt(snapshot)
        if first > self.fold.next_offset and not self._rebuild(first, records):
            return False
        for offset, data in enumerate(records, start=first):
            if offset == self.fold.next_offset:
                self.fold.apply(offset=offset, data=data)
                if self.fold.last_snapshot == offset:
                    self.snapshots_seen += 1
                self._keep(offset, data)
        return True

    def can_give(self, *, offset: int) -> bool:
        """Tell whether all records from an offset on are kept."""
        return self._kept_from <= offset

    def get_records(self, *, offset: int) -> list[bytes]:
        """Return a page of records from an offset on that is kept."""
        start = offset - self._kept_from
        return [
            self._kept[index]
            for index in range(start, min(len(self._kept), start + MAX_PAGE))
        ]

    def _rebuild(self, first: int, records: Sequence[bytes]) -> bool:
        """Bridge a gap by the latest usable snapshot among the records."""
        for data in reversed(records):
            match decode_record(data):
                case Ok(SnapshotRecord() as record):
                    if record.offset >= first and self._adopt(encode_record(record)):
                        return True
        return False

    def _adopt(self, snapshot: bytes) -> bool:
        match decode_record(snapshot):
            case Ok(SnapshotRecord() as record):
                is_adopted = self.fold.take_snapshot(record)
                if is_adopted:
                    self._kept.clear()
                    self._kept_from = self.fold.next_offset
                return is_adopted
        return False

    def _keep(self, offset: int, data: bytes) -> None:
        if not self._kept:
            self._kept_from = offset
        self._kept.append(data)
        while len(self._kept) > KEPT_RECORDS:
            self._kept.popleft()
            self._kept_from += 1
