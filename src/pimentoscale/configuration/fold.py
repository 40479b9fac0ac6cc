"""The fold of the configuration topic into versions.

The fold is deterministic: every node that applies the same records in log order
computes the same versions, verdicts and snapshot digests.
"""

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
from pimentoscale.decoding import decode

MAX_VERDICTS = 4096
MAX_HISTORY_ENTRIES = 256


class Rejection(Enum):
    """The reason for rejecting a patch."""

    STALE_BASE = "stale_base"
    BASE_AHEAD = "base_ahead"
    ANOTHER_PENDING = "another_pending"
    FAILED_CHECK = "failed_check"
    NO_CONSENT = "no_consent"


@dataclass(slots=True, kw_only=True, frozen=True)
class PatchVerdict:
    """The outcome of a patch: the version that it made, or why it was rejected."""

    patch: str
    version: int = 0
    rejection: Rejection | None = None
    detail: str = ""

    @property
    def is_in_force(self) -> bool:
        """Return whether the patch took effect."""
        return self.rejection is None


@dataclass(slots=True, kw_only=True, frozen=True)
class HistoryEntry:
    """One version of the history, with its patch, submitter, time and message."""

    version: int
    patch: str
    submitter: str
    message: str
    at_ms: int
    offset: int
    change: Patch


@dataclass(slots=True, kw_only=True)
class PendingPatch:
    """A patch that passed its checks; the zones in `missing` have yet to consent."""

    record: PatchRecord
    result: Configuration
    offset: int
    missing: list[str]


@dataclass(slots=True, kw_only=True)
class FoldState:
    """The state of the fold; a snapshot encodes all of it."""

    version: int = 0
    configuration: Configuration = field(default_factory=Configuration)
    pending: PendingPatch | None = None
    verdicts: dict[str, PatchVerdict] = field(default_factory=dict)
    history: list[HistoryEntry] = field(default_factory=list)


_STATE_DECODER = msgspec.msgpack.Decoder(FoldState)


class Fold:
    """Derives configuration versions from the records of the log.

    `next_offset` is the offset of the next record to apply, and
    `last_snapshot_offset` that of the last snapshot record, -1 before the first.
    `skipped_records` counts records that can't be decoded and snapshots that are
    damaged, `snapshot_mismatches` snapshots that contradict this fold.
    """

    def __init__(self) -> None:
        self._state = FoldState()
        self.next_offset = 0
        self.last_snapshot_offset = -1
        self.skipped_records = 0
        self.snapshot_mismatches = 0

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
        """Return the patch that waits for consents, if any."""
        return self._state.pending

    @property
    def history(self) -> list[HistoryEntry]:
        """Return the latest versions, oldest first."""
        return self._state.history

    def find_verdict(self, *, patch: str) -> PatchVerdict | None:
        """Return the verdict on a patch; None if undecided or no longer retained."""
        return self._state.verdicts.get(patch)

    def apply(self, *, offset: int, data: bytes) -> None:
        """Apply the record at `offset`, unless it was applied before."""
        if offset < self.next_offset:
            return
        match decode_record(data):
            case Ok(record):
                self._apply_record(record, offset)
            case Err(_):
                self.skipped_records += 1
        self.next_offset = offset + 1

    def install_snapshot(self, record: SnapshotRecord) -> bool:
        """Replace the state by a snapshot ahead of it; return whether it was replaced.

        The version never decreases, and a snapshot with a wrong digest is ignored.
        """
        if record.offset <= self.next_offset:
            return False
        if compute_digest(record.state) != record.digest:
            self.skipped_records += 1
            return False
        decoded = decode(_STATE_DECODER, record.state)
        if isinstance(decoded, Err):
            self.skipped_records += 1
            return False
        state = decoded.ok_value
        if state.version < self.version:
            self.snapshot_mismatches += 1
            return False
        self._state = state
        self.next_offset = record.offset
        return True

    def make_snapshot(self, *, instance: str) -> SnapshotRecord:
        """Return a snapshot of the state before `next_offset`."""
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
                self.last_snapshot_offset = offset
                self._compare_snapshot(record)

    def _apply_patch(self, record: PatchRecord, offset: int) -> None:
        pending = self._state.pending
        is_pending = pending is not None and pending.record.id == record.id
        if is_pending or record.id in self._state.verdicts:
            return
        base = record.patch.base
        if base < self.version:
            detail = self._describe_successor(base)
            self._reject(record.id, Rejection.STALE_BASE, detail)
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
        del state.history[:-MAX_HISTORY_ENTRIES]
        self._record_verdict(PatchVerdict(patch=record.id, version=state.version))

    def _compare_snapshot(self, record: SnapshotRecord) -> None:
        """Count a mismatch if a snapshot of this offset differs from this fold."""
        if record.offset != self.next_offset:
            return
        own = compute_digest(msgspec.msgpack.encode(self._state))
        if own != record.digest:
            self.snapshot_mismatches += 1

    def _describe_successor(self, base: int) -> str:
        """Describe the patch that replaced version `base`, if still in the history."""
        for entry in self._state.history:
            if entry.version == base + 1:
                return f"{entry.patch} by {entry.submitter} made version {base + 1}"
        return f"version {self.version} is in force"

    def _reject(self, patch: str, rejection: Rejection, detail: str) -> None:
        verdict = PatchVerdict(patch=patch, rejection=rejection, detail=detail)
        self._record_verdict(verdict)

    def _record_verdict(self, verdict: PatchVerdict) -> None:
        verdicts = self._state.verdicts
        verdicts[verdict.patch] = verdict
        while len(verdicts) > MAX_VERDICTS:
            del verdicts[next(iter(verdicts))]


def compute_digest(state: bytes) -> bytes:
    """Return the digest of a snapshot's state."""
    return xxhash.xxh3_128_digest(state)
