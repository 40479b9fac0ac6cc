"""A node's replica of the configuration log."""

from collections import deque
from collections.abc import Sequence

from result import Ok

from pimentoscale.configuration.fold import Fold
from pimentoscale.configuration.records import (
    SnapshotRecord,
    decode_record,
    encode_record,
)

MAX_RETAINED_RECORDS = 2048
MAX_PAGE_RECORDS = 256


class ConfigurationReplica:
    """Applies records from the log or a peer, and retains recent ones for peers."""

    __slots__ = ("_first_offset", "_records", "fold", "snapshots_seen")

    def __init__(self) -> None:
        self.fold = Fold()
        self.snapshots_seen = 0
        self._records: deque[bytes] = deque()
        self._first_offset = 0

    def apply(self, *, first: int, records: Sequence[bytes], snapshot: bytes) -> bool:
        """Apply the new records; return False if records before `first` are missing."""
        if snapshot:
            self._install_snapshot(snapshot)
        if first > self.fold.next_offset and not self._bridge_gap(first, records):
            return False
        for offset, data in enumerate(records, start=first):
            if offset == self.fold.next_offset:
                self.fold.apply(offset=offset, data=data)
                if self.fold.last_snapshot_offset == offset:
                    self.snapshots_seen += 1
                self._retain(offset, data)
        return True

    def has_records_from(self, *, offset: int) -> bool:
        """Return whether all records from an offset on are retained."""
        return self._first_offset <= offset

    def get_records(self, *, offset: int) -> list[bytes]:
        """Return one page of records from an offset on, which must be retained."""
        start = offset - self._first_offset
        return [
            self._records[index]
            for index in range(start, min(len(self._records), start + MAX_PAGE_RECORDS))
        ]

    def _bridge_gap(self, first: int, records: Sequence[bytes]) -> bool:
        """Install the latest usable snapshot among records that follow a gap."""
        for data in reversed(records):
            match decode_record(data):
                case Ok(SnapshotRecord() as record):
                    if record.offset >= first and self._install_snapshot(
                        encode_record(record)
                    ):
                        return True
        return False

    def _install_snapshot(self, snapshot: bytes) -> bool:
        match decode_record(snapshot):
            case Ok(SnapshotRecord() as record):
                is_installed = self.fold.install_snapshot(record)
                if is_installed:
                    self._records.clear()
                    self._first_offset = self.fold.next_offset
                return is_installed
        return False

    def _retain(self, offset: int, data: bytes) -> None:
        if not self._records:
            self._first_offset = offset
        self._records.append(data)
        while len(self._records) > MAX_RETAINED_RECORDS:
            self._records.popleft()
            self._first_offset += 1
