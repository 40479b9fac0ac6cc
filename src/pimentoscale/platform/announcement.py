"""What a target says of itself, decoded into an announcement of an upstream."""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from pimentoscale.membership.upstream import UpstreamAnnouncement
from pimentoscale.settings import Address

PATH_PREFIX = b"/v1/instances/"
MAX_ANNOUNCEMENT_BYTES = 64 * 1024

Text = Annotated[str, Meta(min_length=1, max_length=256)]


class _Beat(msgspec.Struct):
    service: Text
    address: Text
    zone: Text
    version: str
    slots: Annotated[int, Meta(ge=1)]
    state: Literal["ready", "draining"]
    # Grows with each call of one start of the target.
    sequence: Annotated[int, Meta(ge=0)]
    # How much longer the target is slow after its start.
    cold_remaining_s: Annotated[float, Meta(ge=0)] = 0.0
    # Unix milliseconds of the target's start.
    born: Annotated[int, Meta(ge=0)] = 0


_DECODER = msgspec.json.Decoder(_Beat)


def decode_announcement(
    *, path: bytes, body: bytes
) -> Result[UpstreamAnnouncement, str]:
    """Return the announcement, or why the bytes are none."""
    identity = decode_identity(path)
    if identity is None:
        return Err("the path names no instance")
    try:
        beat = _DECODER.decode(body)
        host, _, port = beat.address.rpartition(":")
        address = msgspec.convert({"host": host, "port": int(port)}, Address)
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as error:
        return Err(str(error))
    return Ok(
        UpstreamAnnouncement(
            identity=identity,
            service=beat.service,
            address=address,
            zone=beat.zone,
            slots=beat.slots,
            is_draining=beat.state == "draining",
            warm_up_s=beat.cold_remaining_s,
            started_ms=beat.born,
            sequence=beat.sequence,
        )
    )


def decode_identity(path: bytes) -> str | None:
    """Return the identity that a path names, or None."""
    name = path.removeprefix(PATH_PREFIX)
    if name == path or not name or b"/" in name or len(name) > 256:
        return None
    try:
        return name.decode("ascii")
    except UnicodeDecodeError:
        return None
