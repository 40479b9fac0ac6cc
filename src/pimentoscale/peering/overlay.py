"""Keeps the directory of members and the node's place in its zone's tree."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from result import Err, Ok

from pimentoscale.logs import get_logger
from pimentoscale.membership import (
    Member,
    MemberState,
    decode_member,
    encode_member,
    find_parent,
    find_root,
)
from pimentoscale.node.state import NodeState
from pimentoscale.peering.peers import Lane, PeerPool
from pimentoscale.stream import Announcements, Connection, Hello, Peer
from pimentoscale.timeline import EventName

GONE_AFTER_S = 4.0
MAX_ANNOUNCEMENTS = 512

MemberWatcher = Callable[[Member], None]

log = get_logger("members")


class Overlay:
    """Passes announcements of members over the tree, and finds members that are gone.

    A node is watched by its parent and its children in the tree, and by nobody
    else, so the cost of membership does not grow with the zone.
    """

    def __init__(self, *, state: NodeState, peers: PeerPool) -> None:
        self._state = state
        self._peers = peers
        self._lost_at: dict[str, float] = {}
        self._children: dict[Connection, str] = {}
        self._parent: str | None = None
        self._links: dict[str, Peer] = {}
        self._planned_at = -1
        self.watchers: list[MemberWatcher] = []
        self.own_watchers: list[MemberWatcher] = []
        peers.get_parent = lambda: self._parent
        peers.up_watchers.append(self._note_up)
        peers.down_watchers.append(self._note_down)
        peers.leaving_watchers.append(self._note_leaving)
        peers.announcement_watchers.append(self._take_from_peer)

    @property
    def is_root(self) -> bool:
        """Tell whether this node is its zone's root."""
        return self._parent is None

    @property
    def parent(self) -> str | None:
        """Return the instance of the parent in the tree."""
        return self._parent

    @property
    def children(self) -> list[str]:
        """Return the instances of the children that are connected."""
        return sorted(self._children.values())

    def get_parent_peer(self) -> Peer | None:
        """Return the connection to the parent, if there is a parent."""
        return self._links.get(self._parent) if self._parent else None

    def list_links(self) -> list[Peer]:
        """Return the connections to the parent and to other zones' roots."""
        return list(self._links.values())

    def announce_own(self, member: Member) -> None:
        """Spread a changed announcement of this node itself."""
        self._state.own = member
        self._apply(member, None)
        for watch in self.own_watchers:
            watch(member)

    def add_first_peer(self, peer: Peer) -> None:
        """Link to a node from the settings, until the directory knows better."""
        self._links[str(peer.address)] = peer

    def add_child(self, connection: Connection, remote: Hello) -> None:
        """Take note that a node has subscribed here, and tell it all members."""
        self._children[connection] = remote.instance
        self._lost_at.pop(remote.instance, None)
        for frame in self._describe_all():
            connection.send(frame)

    def drop_child(self, connection: Connection) -> None:
        """Take note that a node has found another parent."""
        self._children.pop(connection, None)

    def remove_connection(self, connection: Connection) -> None:
        """Take note that an accepted connection has closed."""
        instance = self._children.pop(connection, None)
        if instance is not None and instance not in self._children.values():
            self._lost_at[instance] = asyncio.get_running_loop().time()

    def take_announcements(self, frame: Announcements, source: object) -> None:
        """Take in announcements of members from a neighbour."""
        for data in frame.members:
            match decode_member(data):
                case Ok(member):
                    self._apply(member, source)
                case Err(reason):
                    self._state.metrics.count("bad_announcements")
                    log.warning("announcement of a member skipped: %s", reason)

    def take_member(self, member: Member) -> None:
        """Take in a announcement of a member from the log."""
        self._apply(member, None)

    def plan(self, *, now: float) -> None:
        """Find this node's parent and links anew if members have changed."""
        directory = self._state.directory
        self._declare_gone(now)
        directory.forget_gone(now=now)
        if directory.changes == self._planned_at:
            return
        self._planned_at = directory.changes
        own = self._state.identity.instance
        zone = directory.list_zone(zone=self._state.zone)
        self._parent = find_parent(own, zone)
        wanted = {self._parent} if self._parent else set(self._find_roots())
        if len(directory) <= 1:
            wanted |= self._links.keys()
        for name in wanted - self._links.keys():
            self._open_link(name)
        for name in self._links.keys() - wanted:
            del self._links[name]

    def _find_roots(self) -> list[str]:
        """Return the roots of the other zones."""
        directory = self._state.directory
        others = [zone for zone in directory.list_zones() if zone != self._state.zone]
        roots = [find_root(directory.list_zone(zone=zone)) for zone in others]
        return [root for root in roots if root is not None]

    def _open_link(self, instance: str) -> None:
        member = self._state.directory.find(instance=instance)
        if member is not None:
            peer = self._peers.open(member, Lane.CONTROL)
            self._links[instance] = peer
            if not peer.is_up:
                self._lost_at[instance] = asyncio.get_running_loop().time()

    def _apply(self, member: Member, source: object) -> None:
        own = self._state.own
        if member.instance == own.instance and member.precedence > own.precedence:
            self._refute(member)
            return
        now = asyncio.get_running_loop().time()
        known = self._state.directory.find(instance=member.instance)
        if not self._state.directory.apply(member, now=now):
            return
        self._record(member, known)
        if member.state is MemberState.GONE:
            self._peers.close(member.instance)
            self._links.pop(member.instance, None)
        elif member.instance in self._links:
            self._open_link(member.instance)
        for watch in self.watchers:
            watch(member)
        self._pass_on(member, source)

    def _refute(self, member: Member) -> None:
        """Overrule a wrong announcement of this node itself."""
        own = self._state.own
        sequence = member.sequence + 1
        incarnation = max(own.incarnation, member.incarnation)
        log.info("refuting: %s", member.state.value)
        self.announce_own(replace(own, incarnation=incarnation, sequence=sequence))

    def _record(self, member: Member, known: Member | None) -> None:
        names = {
            MemberState.ALIVE: EventName.MEMBER_JOINED,
            MemberState.DRAINING: EventName.MEMBER_DRAINING,
            MemberState.GONE: EventName.MEMBER_GONE,
        }
        if known is None or known.precedence != member.precedence:
            self._state.record(names[member.state], detail=member.instance)

    def _pass_on(self, member: Member, source: object) -> None:
        frame = Announcements(members=[encode_member(member)])
        for connection in self._children:
            if connection is not source:
                connection.send(frame)
        for peer in self._links.values():
            if peer is not source:
                peer.send(frame)

    def _describe_all(self) -> list[Announcements]:
        members = [encode_member(member) for member in self._state.directory]
        return [
            Announcements(members=members[start : start + MAX_ANNOUNCEMENTS])
            for start in range(0, len(members), MAX_ANNOUNCEMENTS)
        ]

    def _take_from_peer(self, frame: Announcements, peer: Peer) -> None:
        self.take_announcements(frame, peer)

    def _note_up(self, remote: Hello, peer: Peer) -> None:
        self._lost_at.pop(remote.instance, None)
        if peer in self._links.values():
            peer.send(Announcements(members=[encode_member(self._state.own)]))

    def _note_down(self, peer: Peer) -> None:
        for instance, link in self._links.items():
            if link is peer:
                self._lost_at[instance] = asyncio.get_running_loop().time()

    def _note_leaving(self, remote: Hello) -> None:
        known = self._state.directory.find(instance=remote.instance)
        if known is not None and known.incarnation == remote.incarnation:
            self._apply(replace(known, state=MemberState.DRAINING), None)

    def _declare_gone(self, now: float) -> None:
        """Call a lost neighbour of this zone gone; it may refute that."""
        for instance, at in list(self._lost_at.items()):
            if now - at < GONE_AFTER_S:
                continue
            del self._lost_at[instance]
            known = self._state.directory.find(instance=instance)
            if known is None or known.state is MemberState.GONE:
                continue
            if known.zone == self._state.zone:
                log.info("%s is gone", instance)
                self._apply(replace(known, state=MemberState.GONE), None)
