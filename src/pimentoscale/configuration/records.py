"""The records of the configuration stream, and their bytes."""

from typing import Any

import msgspec
from result import Err, Ok, Result

from pimentoscale.configuration.patch import Patch


class PatchRecord(msgspec.Struct, frozen=True, kw_only=True, tag="patch"):
    """A patch as submitted. `at_ms` is the submitter's clock, for people only."""

    id: str
    patch: Patch
    submitter: str
    message: str
    at_ms: int


class Consent(msgspec.Struct, frozen=True, kw_only=True, tag="consent"):
    """The live nodes of `zone` hold the patch."""

    patch: str
    zone: str
    instance: str


class Lapse(msgspec.Struct, frozen=True, kw_only=True, tag="lapse"):
    """The patch's time for consents is over.

    Its place in the log decides, not a clock: whatever consents stand before it
    count, and no later ones.
    """

    patch: str
    instance: str


class SnapshotRecord(msgspec.Struct, frozen=True, kw_only=True, tag="snapshot"):
    """The fold of all records before `offset`, with its digest."""

    offset: int
    digest: bytes
    state: bytes
    instance: str


Record = PatchRecord | Consent | Lapse | SnapshotRecord

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: "msgspec.msgpack.Decoder[Any]" = msgspec.msgpack.Decoder(Record)


def encode_record(record: Record) -> bytes:
    """Return the record's bytes for the log."""
    return _ENCODER.encode(record)


def decode_record(data: bytes) -> Result[Record, str]:
    """Return the record, or why the bytes are none."""
    try:
        return Ok(_DECODER.decode(data))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(str(error))
