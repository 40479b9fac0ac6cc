"""The records of the configuration topic and their encoding."""

from typing import Any

import msgspec
from result import Err, Ok, Result

from pimentoscale.configuration.patch import Patch, find_fault
from pimentoscale.decoding import decode


class PatchRecord(msgspec.Struct, frozen=True, kw_only=True, tag="patch"):
    """A submitted patch; `at_ms` is its submitter's Unix time, for display only."""

    id: str
    patch: Patch
    submitter: str
    message: str
    at_ms: int


class Consent(msgspec.Struct, frozen=True, kw_only=True, tag="consent"):
    """Consent of a zone: all its live nodes hold the patch."""

    patch: str
    zone: str
    instance: str


class Lapse(msgspec.Struct, frozen=True, kw_only=True, tag="lapse"):
    """End of the time in which zones may consent to the patch.

    Its position in the log decides, not a clock: consents before it count, later
    ones don't.
    """

    patch: str
    instance: str


class SnapshotRecord(msgspec.Struct, frozen=True, kw_only=True, tag="snapshot"):
    """The encoded state after all records before `offset`, with its digest."""

    offset: int
    digest: bytes
    state: bytes
    instance: str


Record = PatchRecord | Consent | Lapse | SnapshotRecord

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: "msgspec.msgpack.Decoder[Any]" = msgspec.msgpack.Decoder(Record)


def encode_record(record: Record) -> bytes:
    """Return the encoded record."""
    return _ENCODER.encode(record)


def decode_record(data: bytes) -> Result[Record, str]:
    """Return the decoded record, or why the bytes can't be decoded."""
    decoded = decode(_DECODER, data)
    match decoded:
        case Ok(PatchRecord(patch=patch)):
            fault = find_fault(patch.set)
            return Err(fault) if fault else decoded
    return decoded
