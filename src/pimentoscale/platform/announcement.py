"""Decoding of a target's announcement of itself."""

import re
from typing import Annotated, Literal

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from pimentoscale.decoding import MAX_INTEGER, decode
from pimentoscale.membership.member import Slots
from pimentoscale.membership.upstream import MAX_STARTED_MS, UpstreamAnnouncement
from pimentoscale.platform.names import NAME_PATTERN
from pimentoscale.settings import Address

PATH_PREFIX = b"/v1/instances/"
MAX_ANNOUNCEMENT_BYTES = 64 * 1024
MAX_COLD_S = 86_400

Text = Annotated[str, Meta(min_length=1, max_length=256)]
Name = Annotated[str, Meta(min_length=1, max_length=256, pattern=NAME_PATTERN)]


class _Announcement(msgspec.Struct):
    service: Name
    address: Text
    zone: Text
    version: str
    slots: Slots
    state: Literal["ready", "draining"]
    # Increases with each announcement since the target started.
    sequence: Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
    # How long the target remains slow after its start.
    cold_remaining_s: Annotated[float, Meta(ge=0, le=MAX_COLD_S)] = 0.0
    # When the target started, in Unix milliseconds.
    born: Annotated[int, Meta(ge=0, le=MAX_STARTED_MS)] = 0


_DECODER = msgspec.json.Decoder(_Announcement)


def decode_announcement(
    *, path: bytes, body: bytes
) -> Result[UpstreamAnnouncement, str]:
    """Return the announcement, or the reason why it is malformed."""
    identity = decode_identity(path)
    if identity is None:
        return Err("the path has no instance name")
    announcement = decode(_DECODER, body)
    if isinstance(announcement, Err):
        return announcement
    decoded = announcement.ok_value
    host, _, port = decoded.address.rpartition(":")
    try:
        address = msgspec.convert({"host": host, "port": int(port)}, Address)
    except (msgspec.ValidationError, ValueError) as error:
        return Err(str(error))
    return Ok(
        UpstreamAnnouncement(
            identity=identity,
            service=decoded.service,
            address=address,
            zone=decoded.zone,
            slots=decoded.slots,
            is_draining=decoded.state == "draining",
            warm_up_s=decoded.cold_remaining_s,
            started_ms=decoded.born,
            sequence=decoded.sequence,
        )
    )


def decode_identity(path: bytes) -> str | None:
    """Return the identity of the instance in a path, or None if there is none."""
    name = path.removeprefix(PATH_PREFIX)
    if name == path or not name or b"/" in name or len(name) > 256:
        return None
    try:
        identity = name.decode("ascii")
    except UnicodeDecodeError:
        return None
    return identity if re.match(NAME_PATTERN, identity) else None
