"""The fold of the configuration stream, the same for every reader."""

from dataclasses import dataclass, field
from enum import Enum

import msgspec
import xxhash
from result import Err, Ok

from pimentoscale.configuration.model import Configuration
from pimentoscale.configuration.patch import Patch, apply_patch
from pimentoscale.configuration.records import (
    Consent,
    Lapse,
    PatchRecord,
    Record,
    SnapshotRecord,
    decode_record,
)

KEPT_VERDICTS = 4096
KEPT_HISTORY = 256


class Rejection(Enum):
    """Why a patch did not take effect."""

    STALE_BASE = "stale_base"
    BASE_AHEAD = "base_ahead"
    ANOTHER_PENDING = "another_pending"
    FAILED_CHECK = "failed_check"
    NO_CONSENT = "no_consent"


@dataclass(slots=True, kw_only=True, frozen=True)
class PatchVerdict:
    """What became of a patch: a version in force, or the reason against it."""

    patch: str
    version: int = 0
    rejection: Rejection | None = None
    detail: str = ""

    @property
    def is_in_force(self) -> bool:
        """Tell whether the patch took effect."""
        return self.rejection is None


@dataclass(slots=True, kw_only=True, frozen=True)
class HistoryEntry:
    """Who brought a version into force, when and why."""

    version: int
    patch: str
    submitter: str
    message: str
    at_ms: int
    offset: int
    change: Patch


@dataclass(slots=True, kw_only=True)
class PendingPatch:
    """A patch that passed its checks and waits for consents."""

    record: PatchRecord
    result: Configuration
    offset: int
    missing: list[str]


@dataclass(slots=True, kw_only=True)
class FoldState:
    """All that the fold keeps; what a snapshot carries."""

    version: int = 0
    configuration: Configuration = field(default_factory=Configuration)
    pending: PendingPatch | None = None
    verdicts: dict[str, PatchVerdict] = field(default_factory=dict)
    history: list[HistoryEntry] = field(default_factory=list)


class Fold:
    """Folds records in log order into versions.

    `next_offset` is that of the first record not yet folded, `last_snapshot` that of
    the latest snapshot; `skipped` counts
    records that are damaged or foreign, `disputed` snapshots that disagree.
    """

    def __init__(self) -> None:
        self._state = FoldState()
        self.next_offset = 0
        self.last_snapshot = -1
        self.skipped = 0
        self.disputed = 0

    @property
    def version(self) -> int:
        """Return the number of the version in force; 0 before the first."""
        return self._state.version

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self._state.configuration

    @property
    def pending(self) -> PendingPatch | None:
        """Return the patch that waits for consents."""
        return self._state.pending

    @property
    def history(self) -> list[HistoryEntry]:
        """Return the latest versions, oldest first."""
        return self._state.history

    def find_verdict(self, *, patch: str) -> PatchVerdict | None:
        """Return what became of a patch, if that is decided."""
        return self._state.verdicts.get(patch)

    def apply(self, *, offset: int, data: bytes) -> None:
        """Fold the record at `offset`; one folded before changes nothing."""
        if offset < self.next_offset:
            return
        match decode_record(data):
            case Ok(record):
                self._apply_record(record, offset)
            case Err(_):
                self.skipped += 1
        self.next_offset = offset + 1

    def take_snapshot(self, record: SnapshotRecord) -> bool:
        """Adopt a snapshot that is ahead of this fold; return True if adopted.

        State never goes backwards, and a snapshot with a wrong digest is ignored.
        """
        if record.offset <= self.next_offset:
            return False
        if compute_digest(record.state) != record.digest:
            self.skipped += 1
            return False
        try:
            state = msgspec.msgpack.decode(record.state, type=FoldState)
        except (msgspec.DecodeError, UnicodeDecodeError):
            self.skipped += 1
            return False
        if state.version < self.version:
            self.disputed += 1
            return False
        self._state = state
        self.next_offset = record.offset
        return True

    def make_snapshot(self, *, instance: str) -> SnapshotRecord:
        """Return a snapshot of all that is folded."""
        state = msgspec.msgpack.encode(self._state)
        return SnapshotRecord(
            offset=self.next_offset,
            digest=compute_digest(state),
            state=state,
            instance=instance,
        )

    def _apply_record(self, record: Record, offset: int) -> None:
        match record:
            case PatchRecord():
                self._apply_patch(record, offset)
            case Consent():
                self._apply_consent(record, offset)
            case Lapse():
                self._apply_lapse(record)
            case SnapshotRecord():
                self.last_snapshot = offset
                self._compare_snapshot(record)

    def _apply_patch(self, record: PatchRecord, offset: int) -> None:
        pending = self._state.pending
        is_pending = pending is not None and pending.record.id == record.id
        if is_pending or record.id in self._state.verdicts:
            return
        base = record.patch.base
        if base < self.version:
            winner = self._name_successor(base)
            self._reject(record.id, Rejection.STALE_BASE, winner)
        elif base > self.version:
            detail = f"version {self.version} is in force"
            self._reject(record.id, Rejection.BASE_AHEAD, detail)
        elif pending is not None:
            detail = f"{pending.record.id} by {pending.record.submitter} is pending"
            self._reject(record.id, Rejection.ANOTHER_PENDING, detail)
        else:
            self._check_patch(record, offset)

    def _check_patch(self, record: PatchRecord, offset: int) -> None:
        current = self._state.configuration
        match apply_patch(configuration=current, patch=record.patch):
            case Ok(result):
                missing = sorted(result.zones)
                self._state.pending = PendingPatch(
                    record=record, result=result, offset=offset, missing=missing
                )
            case Err(faults):
                detail = "; ".join(map(str, faults))
                self._reject(record.id, Rejection.FAILED_CHECK, detail)

    def _apply_consent(self, record: Consent, offset: int) -> None:
        pending = self._state.pending
        if pending is None or pending.record.id != record.patch:
            return
        if record.zone in pending.missing:
            pending.missing.remove(record.zone)
        if not pending.missing:
            self._bring_into_force(pending, offset)

    def _apply_lapse(self, record: Lapse) -> None:
        pending = self._state.pending
        if pending is not None and pending.record.id == record.patch:
            self._state.pending = None
            zones = ", ".join(pending.missing)
            self._reject(record.patch, Rejection.NO_CONSENT, f"missing: {zones}")

    def _bring_into_force(self, pending: PendingPatch, offset: int) -> None:
        state = self._state
        state.version += 1
        state.configuration = pending.result
        state.pending = None
        record = pending.record
        entry = HistoryEntry(
            version=state.version,
            patch=record.id,
            submitter=record.submitter,
            message=record.message,
            at_ms=record.at_ms,
            offset=offset,
            change=record.patch,
        )
        state.history.append(entry)
        del state.history[:-KEPT_HISTORY]
        self._decide(PatchVerdict(patch=record.id, version=state.version))

    def _compare_snapshot(self, record: SnapshotRecord) -> None:
        """Count a snapshot of this very offset that differs from this fold."""
        if record.offset != self.next_offset:
            return
        own = compute_digest(msgspec.msgpack.encode(self._state))
        if own != record.digest:
            self.disputed += 1

    def _name_successor(self, base: int) -> str:
        for entry in self._state.history:
            if entry.version == base + 1:
                return f"{entry.patch} by {entry.submitter} made version {base + 1}"
        return f"version {self.version} is in force"

    def _reject(self, patch: str, rejection: Rejection, detail: str) -> None:
        verdict = PatchVerdict(patch=patch, rejection=rejection, detail=detail)
        self._decide(verdict)

    def _decide(self, verdict: PatchVerdict) -> None:
        verdicts = self._state.verdicts
        verdicts[verdict.patch] = verdict
        while len(verdicts) > KEPT_VERDICTS:
            del verdicts[next(iter(verdicts))]


def compute_digest(state: bytes) -> bytes:
    """Return the digest of a snapshot's state."""
    return xxhash.xxh3_128_digest(state)
