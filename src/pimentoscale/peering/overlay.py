"""The overlay of nodes: the directory of members and the tree of the zone."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from result import Err, Ok

from pimentoscale.decoding import MAX_INTEGER
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
from pimentoscale.peering.peers import PeerPool, TrafficClass
from pimentoscale.stream import Announcements, Connection, Hello, Peer
from pimentoscale.timeline import EventName

GONE_TIMEOUT_S = 4.0
MAX_MEMBERS_PER_FRAME = 512

MemberWatcher = Callable[[Member], None]

log = get_logger("members")


class Overlay:
    """Distributes announcements of members over the tree, and detects lost members.

    Only its parent and its children in the tree monitor a node, so the cost of
    failure detection per node does not grow with the zone.
    """

    def __init__(self, *, state: NodeState, peers: PeerPool) -> None:
        self._state = state
        self._peers = peers
        self._lost_at: dict[str, float] = {}
        self._children: dict[Connection, str] = {}
        self._parent: str | None = None
        self._links: dict[str, Peer] = {}
        self._links_version = -1
        self.watchers: list[MemberWatcher] = []
        self.own_watchers: list[MemberWatcher] = []
        peers.get_parent = lambda: self._parent
        peers.up_watchers.append(self._handle_up)
        peers.down_watchers.append(self._handle_down)
        peers.draining_watchers.append(self._handle_draining)
        peers.announcement_watchers.append(self._handle_peer_announcements)

    @property
    def is_root(self) -> bool:
        """Return whether this node is its zone's root."""
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
        """Return the connection to the parent; None if there is none."""
        return self._links.get(self._parent) if self._parent else None

    def list_links(self) -> list[Peer]:
        """Return the connection to the parent or, for a root, to other zones' roots."""
        return list(self._links.values())

    def announce_own(self, member: Member) -> None:
        """Distribute a changed announcement of this node itself."""
        self._state.own = member
        self._apply(member, None)
        for watch in self.own_watchers:
            watch(member)

    def add_first_peer(self, peer: Peer) -> None:
        """Link to a node from the settings until the directory has other members."""
        self._links[str(peer.address)] = peer

    def add_child(self, connection: Connection, remote: Hello) -> None:
        """Add a node that has subscribed here, and send it all members."""
        self._children[connection] = remote.instance
        self._lost_at.pop(remote.instance, None)
        for frame in self._make_announcements():
            connection.send(frame)

    def remove_child(self, connection: Connection) -> None:
        """Remove a child that has another parent now."""
        self._children.pop(connection, None)

    def remove_connection(self, connection: Connection) -> None:
        """Remove a closed connection; a child without another counts as lost."""
        instance = self._children.pop(connection, None)
        if instance is not None and instance not in self._children.values():
            self._lost_at[instance] = asyncio.get_running_loop().time()

    def handle_announcements(self, frame: Announcements, source: object) -> None:
        """Apply announcements of members from a neighbour in the tree."""
        for data in frame.members:
            match decode_member(data):
                case Ok(member):
                    self._apply(member, source)
                case Err(reason):
                    self._state.metrics.count("bad_announcements")
                    log.warning("invalid announcement skipped: %s", reason)

    def apply_member(self, member: Member) -> None:
        """Apply an announcement of a member from the log."""
        self._apply(member, None)

    def update(self, *, now: float) -> None:
        """Declare lost members gone, and recompute the links if members changed."""
        directory = self._state.directory
        self._declare_gone(now)
        directory.remove_expired(now=now)
        if directory.changes == self._links_version:
            return
        self._links_version = directory.changes
        own = self._state.identity.instance
        zone = directory.list_zone(zone=self._state.zone)
        self._parent = find_parent(own, zone)
        neighbours = {self._parent} if self._parent else set(self._find_roots())
        if len(directory) <= 1:
            neighbours |= self._links.keys()
        for name in neighbours - self._links.keys():
            self._open_link(name)
        for name in self._links.keys() - neighbours:
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
            peer = self._peers.open(member, TrafficClass.CONTROL)
            self._links[instance] = peer
            if not peer.is_up:
                self._lost_at[instance] = asyncio.get_running_loop().time()

    def _apply(self, member: Member, source: object) -> None:
        own = self._state.own
        if member.instance == own.instance and member.precedence > own.precedence:
            self._refute(member)
            return
        now = asyncio.get_running_loop().time()
        previous = self._state.directory.find(instance=member.instance)
        if not self._state.directory.apply(member, now=now):
            return
        self._record_event(member, previous)
        if member.state is MemberState.GONE:
            self._peers.close(member.instance)
            self._links.pop(member.instance, None)
        elif member.instance in self._links:
            self._open_link(member.instance)
        for watch in self.watchers:
            watch(member)
        self._forward(member, source)

    def _refute(self, member: Member) -> None:
        """Refute a wrong announcement of this node by one that takes precedence."""
        own = self._state.own
        sequence = member.sequence + 1
        incarnation = max(own.incarnation, member.incarnation)
        if max(sequence, incarnation) > MAX_INTEGER:
            # No other node would take the announcement that refutes it.
            log.warning(
                "announcement of this node ignored: incarnation=%d sequence=%d",
                member.incarnation,
                member.sequence,
            )
            return
        log.info("refuting an announcement of this node as %s", member.state.value)
        self.announce_own(replace(own, incarnation=incarnation, sequence=sequence))

    def _record_event(self, member: Member, previous: Member | None) -> None:
        names = {
            MemberState.ALIVE: EventName.MEMBER_JOINED,
            MemberState.DRAINING: EventName.MEMBER_DRAINING,
            MemberState.GONE: EventName.MEMBER_GONE,
        }
        if previous is None or previous.precedence != member.precedence:
            self._state.record(names[member.state], detail=member.instance)

    def _forward(self, member: Member, source: object) -> None:
        frame = Announcements(members=[encode_member(member)])
        for connection in self._children:
            if connection is not source:
                connection.send(frame)
        for peer in self._links.values():
            if peer is not source:
                peer.send(frame)

    def _make_announcements(self) -> list[Announcements]:
        members = [encode_member(member) for member in self._state.directory]
        return [
            Announcements(members=members[start : start + MAX_MEMBERS_PER_FRAME])
            for start in range(0, len(members), MAX_MEMBERS_PER_FRAME)
        ]

    def _handle_peer_announcements(self, frame: Announcements, peer: Peer) -> None:
        self.handle_announcements(frame, peer)

    def _handle_up(self, remote: Hello, peer: Peer) -> None:
        self._lost_at.pop(remote.instance, None)
        if peer in self._links.values():
            peer.send(Announcements(members=[encode_member(self._state.own)]))

    def _handle_down(self, peer: Peer) -> None:
        for instance, link in self._links.items():
            if link is peer:
                self._lost_at[instance] = asyncio.get_running_loop().time()

    def _handle_draining(self, remote: Hello) -> None:
        member = self._state.directory.find(instance=remote.instance)
        if member is not None and member.incarnation == remote.incarnation:
            self._apply(replace(member, state=MemberState.DRAINING), None)

    def _declare_gone(self, now: float) -> None:
        """Declare neighbours gone that were lost for `GONE_TIMEOUT_S`.

        Only those of this node's zone are declared; one that still runs refutes it.
        """
        for instance, lost_at in list(self._lost_at.items()):
            if now - lost_at < GONE_TIMEOUT_S:
                continue
            del self._lost_at[instance]
            member = self._state.directory.find(instance=instance)
            if member is None or member.state is MemberState.GONE:
                continue
            if member.zone == self._state.zone:
                log.info("member %s declared gone", instance)
                self._apply(replace(member, state=MemberState.GONE), None)
