"""One member of the system as announced."""

import sys
from dataclasses import dataclass, replace
from enum import Enum

import msgspec
from result import Err, Ok, Result

from pimentoscale.settings import Address


class MemberState(Enum):
    """States in the order in which they follow each other in an incarnation."""

    ALIVE = "alive"
    DRAINING = "draining"
    GONE = "gone"


_RANKS = {state: rank for rank, state in enumerate(MemberState)}


@dataclass(slots=True, kw_only=True, frozen=True)
class Member:
    """A node and its upstream.

    Every start is a new incarnation. Within one, a member that is wrongly called
    gone refutes it with a higher sequence.
    """

    instance: str
    incarnation: int
    sequence: int
    state: MemberState
    zone: str
    service: str
    slots: int
    http: Address
    stream: Address

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Return the key by which the later announcement of a member is known."""
        return (self.incarnation, self.sequence, _RANKS[self.state])


_DECODER = msgspec.msgpack.Decoder(Member)


def _share_parts(member: Member) -> Member:
    """Return the member with the texts that many members have kept only once.

    A node keeps all members of the system, so this saves memory by the megabyte.
    """
    http, stream = member.http, member.stream
    if http.host == stream.host:
        stream = Address(host=http.host, port=stream.port)
    return replace(
        member,
        zone=sys.intern(member.zone),
        service=sys.intern(member.service),
        stream=stream,
    )


def encode_member(member: Member) -> bytes:
    """Return the announcement's bytes."""
    return msgspec.msgpack.encode(member)


def encode_roster(members: list[Member]) -> bytes:
    """Return the bytes of a record that announces several members."""
    return msgspec.msgpack.encode(members)


def decode_roster(data: bytes) -> Result[list[Member], str]:
    """Return the members that a record announces, or why the bytes are none."""
    try:
        members = msgspec.msgpack.decode(data, type=list[Member])
        return Ok([_share_parts(member) for member in members])
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(str(error))


def decode_member(data: bytes) -> Result[Member, str]:
    """Return the member, or why the bytes are no announcement."""
    try:
        return Ok(_share_parts(_DECODER.decode(data)))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(str(error))
