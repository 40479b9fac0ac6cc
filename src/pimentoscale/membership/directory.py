"""The directory of members that a node has received announcements of."""

from collections import defaultdict
from collections.abc import Iterator

from pimentoscale.membership.member import Member, MemberState

GONE_RETENTION_S = 600.0


class Directory:
    """Keeps the latest announcement of each member, in whatever order they arrive.

    `changes` counts the announcements that were applied. While it is unchanged, so
    are the members that are not gone.
    """

    __slots__ = ("_gone_at", "_members", "_zones", "changes")

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        self._gone_at: dict[str, float] = {}
        self._zones: dict[str, set[str]] = defaultdict(set)
        self.changes = 0

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members.values())

    def find(self, *, instance: str) -> Member | None:
        """Return the latest announcement of an instance."""
        return self._members.get(instance)

    def list_zone(self, *, zone: str) -> list[str]:
        """Return the instances of a zone that are not gone."""
        return sorted(self._zones.get(zone, ()))

    def list_zones(self) -> list[str]:
        """Return the zones that have a member which is not gone."""
        return sorted(zone for zone, names in self._zones.items() if names)

    def apply(self, member: Member, *, now: float) -> bool:
        """Apply an announcement; return False if it is not newer than the kept one."""
        current = self._members.get(member.instance)
        if current is not None and member.precedence <= current.precedence:
            return False
        self._members[member.instance] = member
        self.changes += 1
        if current is not None:
            self._zones[current.zone].discard(member.instance)
        if member.state is not MemberState.GONE:
            self._zones[member.zone].add(member.instance)
        if member.state is MemberState.GONE:
            self._gone_at[member.instance] = now
        else:
            self._gone_at.pop(member.instance, None)
        return True

    def remove_expired(self, *, now: float) -> int:
        """Remove members gone for `GONE_RETENTION_S`; return how many."""
        expired = [
            name for name, at in self._gone_at.items() if now - at > GONE_RETENTION_S
        ]
        for name in expired:
            del self._gone_at[name]
            del self._members[name]
        return len(expired)
