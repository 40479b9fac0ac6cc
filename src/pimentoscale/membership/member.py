"""One member of the system as announced."""

from dataclasses import dataclass
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
        """Return the key by which the later word on a member is known."""
        return (self.incarnation, self.sequence, _RANKS[self.state])


_DECODER = msgspec.msgpack.Decoder(Member)


def encode_member(member: Member) -> bytes:
    """Return the announcement's bytes."""
    return msgspec.msgpack.encode(member)


def encode_roster(members: list[Member]) -> bytes:
    """Return the bytes of a record that announces several members."""
    return msgspec.msgpack.encode(members)


def decode_roster(data: bytes) -> Result[list[Member], str]:
    """Return the members that a record announces, or why the bytes are none."""
    try:
        return Ok(msgspec.msgpack.decode(data, type=list[Member]))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(str(error))


def decode_member(data: bytes) -> Result[Member, str]:
    """Return the member, or why the bytes are no announcement."""
    try:
        return Ok(_DECODER.decode(data))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(str(error))
