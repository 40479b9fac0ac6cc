"""The connections of a node to other nodes."""

import asyncio
from collections.abc import Callable
from enum import Enum

from pimentoscale.configuration import ConfigurationFeed
from pimentoscale.logs import get_logger
from pimentoscale.membership import Member, MemberState
from pimentoscale.node.state import NodeState
from pimentoscale.settings import Address
from pimentoscale.stream import (
    Announcements,
    CallersRoutes,
    Heartbeat,
    Hello,
    Peer,
    PeerUnreachableError,
    Records,
    SlowCall,
)
from pimentoscale.stream.frames import PROTOCOL_VERSION
from pimentoscale.timeline import EventName

CONNECT_WAIT_S = 0.5
IDLE_CLOSE_S = 60.0
MAX_AGE_MS = 86_400_000

log = get_logger("peers")


class Lane(Enum):
    """Connections to one node; bulk bodies never stand before short calls."""

    SHORT = "short"
    LONG = "long"
    CONTROL = "control"


Lookup = tuple[str, Lane]
UpWatcher = Callable[[Hello, Peer], None]
LeavingWatcher = Callable[[Hello], None]


class PeerPool:
    """Opens and keeps connections, one for each node and lane that is used."""

    def __init__(self, *, state: NodeState, feed: ConfigurationFeed) -> None:
        self._state = state
        self._feed = feed
        self._peers: dict[Lookup, Peer] = {}
        self._incarnations: dict[Lookup, int] = {}
        self._up: dict[Lookup, asyncio.Event] = {}
        self._used_at: dict[Lookup, float] = {}
        self.up_watchers: list[UpWatcher] = []
        self.down_watchers: list[Callable[[Peer], None]] = []
        self.record_watchers: list[Callable[[Records], None]] = []
        self.announcement_watchers: list[Callable[[Announcements, Peer], None]] = []
        self.slow_watchers: list[Callable[[Hello, SlowCall], None]] = []
        self.leaving_watchers: list[LeavingWatcher] = []
        self.heartbeat_watchers: list[Callable[[Hello, Heartbeat], None]] = []
        self.get_held: Callable[[], int] = lambda: 0
        self.get_parent: Callable[[], str | None] = lambda: None
        self.get_age_ms: Callable[[], int] = lambda: MAX_AGE_MS

    def greet(self) -> Hello:
        """Return this node's greeting."""
        return Hello(
            protocol=PROTOCOL_VERSION,
            instance=self._state.identity.instance,
            incarnation=self._state.identity.incarnation,
            zone=self._state.zone,
        )

    def build_heartbeat(self) -> Heartbeat:
        """Return the heartbeat to send."""
        return Heartbeat(
            version=self._state.version,
            offset=self._feed.fold.next_offset,
            held=self.get_held(),
            age_ms=self.get_age_ms(),
            parent=self.get_parent() or "",
            draining=self._state.is_draining,
            clock=self._state.tick(),
        )

    def open(self, member: Member, lane: Lane) -> Peer:
        """Return the connection to a member, opening it if there is none."""
        lookup = (member.instance, lane)
        self._used_at[lookup] = asyncio.get_running_loop().time()
        peer = self._peers.get(lookup)
        if peer is not None and self._incarnations[lookup] == member.incarnation:
            return peer
        if peer is not None:
            peer.stop()
        address = self._state.settings.addresses.get(member.instance, member.stream)
        self._incarnations[lookup] = member.incarnation
        return self._start(lookup, address)

    def open_address(self, address: Address) -> Peer:
        """Return the control connection to a node known by its address only."""
        lookup = (str(address), Lane.CONTROL)
        self._incarnations[lookup] = 0
        return self._peers.get(lookup) or self._start(lookup, address)

    async def wait_up(self, member: Member, lane: Lane) -> Peer:
        """Return the connection once it is up.

        Raises `PeerUnreachableError` if it does not come up in time, or the
        process there is another incarnation.
        """
        peer = self.open(member, lane)
        if not peer.is_up:
            event = self._up[(member.instance, lane)]
            try:
                await asyncio.wait_for(event.wait(), CONNECT_WAIT_S)
            except TimeoutError as error:
                raise PeerUnreachableError(member.instance) from error
        remote = peer.remote
        if remote is None or remote.incarnation != member.incarnation:
            raise PeerUnreachableError(f"{member.instance} is another incarnation")
        return peer

    def close(self, instance: str) -> None:
        """Close the connections to a member that is gone."""
        for lane in Lane:
            peer = self._peers.pop((instance, lane), None)
            if peer is not None:
                peer.stop()

    def close_idle(self, *, now: float) -> int:
        """Close the connections for calls that have long not been used.

        So a node holds connections for what it calls now, not for all it has ever
        called. One that is down is kept, so that its target is found usable again.
        """
        idle = [
            lookup
            for lookup, peer in self._peers.items()
            if lookup[1] is not Lane.CONTROL
            and peer.is_up
            and now - self._used_at[lookup] > IDLE_CLOSE_S
        ]
        for lookup in idle:
            # Out of the book first: closing it says nothing about the target.
            self._peers.pop(lookup).stop()
        return len(idle)

    def close_all(self) -> None:
        """Close all connections."""
        for peer in self._peers.values():
            peer.stop()

    def count_up(self) -> int:
        """Return how many connections are up."""
        return sum(peer.is_up for peer in self._peers.values())

    def on_records(self, *, frame: Records) -> None:
        """Pass configuration records on to whoever folds them."""
        for watch in self.record_watchers:
            watch(frame)

    def on_announcements(self, *, frame: Announcements, peer: Peer) -> None:
        """Pass announcements of members on to whoever keeps the directory."""
        for watch in self.announcement_watchers:
            watch(frame, peer)

    def on_slow_call(self, *, remote: Hello, frame: SlowCall) -> None:
        """Pass on that a target's upstream answers late."""
        for watch in self.slow_watchers:
            watch(remote, frame)

    def on_callers_routes(self, *, frame: CallersRoutes) -> None:
        """Ignore: kinds of the product's own interface are told by their names."""

    def on_heartbeat(self, *, remote: Hello, frame: Heartbeat) -> None:
        """Take note of a heartbeat from the other side."""
        self._state.observe(frame.clock)
        for watch in self.heartbeat_watchers:
            watch(remote, frame)
        if frame.draining:
            self.on_leaving(remote=remote)

    def on_leaving(self, *, remote: Hello) -> None:
        """Take note that a node drains."""
        known = self._state.directory.find(instance=remote.instance)
        is_news = known is not None and known.state is MemberState.ALIVE
        if is_news:
            for watch in self.leaving_watchers:
                watch(remote)

    def on_up(self, *, remote: Hello, peer: Peer) -> None:
        """Wake whoever waits for the peer."""
        self._state.record(EventName.PEER_UP, detail=remote.instance)
        for lookup, known in self._peers.items():
            if known is peer:
                self._up[lookup].set()
        for watch in self.up_watchers:
            watch(remote, peer)

    def on_down(self, *, peer: Peer) -> None:
        """Take note that a peer was lost."""
        self._state.record(EventName.PEER_DOWN, detail=str(peer.address))
        for lookup, known in self._peers.items():
            if known is peer:
                self._up[lookup].clear()
        for watch in self.down_watchers:
            watch(peer)

    def find_instance(self, peer: Peer) -> str | None:
        """Return the instance that a peer connects to."""
        for (instance, _), known in self._peers.items():
            if known is peer:
                return instance
        return None

    def _start(self, lookup: Lookup, address: Address) -> Peer:
        peer = Peer(address=address, hello=self.greet, observer=self)
        self._peers[lookup] = peer
        self._up[lookup] = asyncio.Event()
        peer.start()
        return peer
