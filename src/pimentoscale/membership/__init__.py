"""Members: their announcements, the directory of them, and the zone's tree."""

from pimentoscale.membership.directory import Directory
from pimentoscale.membership.member import (
    Member,
    MemberState,
    decode_member,
    decode_roster,
    encode_member,
    encode_roster,
)
from pimentoscale.membership.tree import find_parent, find_root

__all__ = [
    "Directory",
    "Member",
    "MemberState",
    "decode_member",
    "decode_roster",
    "encode_member",
    "encode_roster",
    "find_parent",
    "find_root",
]
