"""Members of the system, and the encoding of their announcements."""

import sys
from dataclasses import dataclass, replace
from enum import Enum
from typing import Annotated

import msgspec
from msgspec import Meta
from result import Result

from pimentoscale.decoding import MAX_INTEGER, decode
from pimentoscale.membership.upstream import parse_start
from pimentoscale.settings import Address

# The name of an instance is the key of its record; a key's length is one byte.
MAX_NAME_BYTES = 255
MAX_SLOTS = 1_000_000

InstanceName = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_BYTES)]
Number = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
Slots = Annotated[int, Meta(ge=1, le=MAX_SLOTS)]


class MemberState(Enum):
    """States of a member, in the order that they take within an incarnation."""

    ALIVE = "alive"
    DRAINING = "draining"
    GONE = "gone"


_RANKS = {state: rank for rank, state in enumerate(MemberState)}


@dataclass(slots=True, kw_only=True, frozen=True)
class Member:
    """The announcement of a node and its upstream.

    Every start of the node is a new incarnation. Within one, a member that was
    wrongly declared gone refutes this with a higher sequence. `upstream` identifies the
    start of the upstream, empty if that is not known.
    """

    instance: InstanceName
    incarnation: Number
    sequence: Number
    state: MemberState
    zone: str
    service: str
    slots: Slots
    http: Address
    stream: Address
    upstream: str = ""

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Return the order key: of two announcements of a member the greater wins."""
        return (self.incarnation, self.sequence, _RANKS[self.state])

    @property
    def upstream_order(self) -> tuple[int, int, int]:
        """Return the order key over restarts of the node, by its upstream's state.

        Once an upstream leaves, no announcement of the same start is newer.
        """
        start = parse_start(self.upstream)
        return (start[1] if start else 0, _RANKS[self.state], self.sequence)


_DECODER = msgspec.msgpack.Decoder(Member)
_ROSTER_DECODER = msgspec.msgpack.Decoder(list[Member])


def _intern_texts(member: Member) -> Member:
    """Return the member with its zone, service and host stored only once.

    A node keeps all members of the system, and many share these strings: interning
    them saves megabytes.
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
    """Return the encoded announcement."""
    return msgspec.msgpack.encode(member)


def encode_roster(members: list[Member]) -> bytes:
    """Return an encoded record that announces several members."""
    return msgspec.msgpack.encode(members)


def decode_roster(data: bytes) -> Result[list[Member], str]:
    """Return the members that a record announces, or why it can't be decoded."""
    members = decode(_ROSTER_DECODER, data)
    return members.map(lambda items: [_intern_texts(item) for item in items])


def decode_member(data: bytes) -> Result[Member, str]:
    """Return the announced member, or why the bytes can't be decoded."""
    return decode(_DECODER, data).map(_intern_texts)
