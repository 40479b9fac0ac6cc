"""The pool of connections that a node opens to other nodes."""

import asyncio
from collections.abc import Callable
from enum import Enum

from pimentoscale.configuration import ConfigurationReplica
from pimentoscale.logs import get_logger
from pimentoscale.membership import Member, MemberState
from pimentoscale.node.state import NodeState
from pimentoscale.settings import Address
from pimentoscale.stream import (
    Announcements,
    CallerRoutes,
    Frame,
    Heartbeat,
    HeldRecord,
    Hello,
    HoldRecord,
    Peer,
    PeerUnreachableError,
    Records,
    SlowCall,
    TopicRecords,
)
from pimentoscale.stream.frames import PROTOCOL_VERSION
from pimentoscale.timeline import EventName

WAIT_UP_TIMEOUT_S = 0.5
IDLE_TIMEOUT_S = 60.0
MAX_CONFIRMATION_AGE_MS = 86_400_000

log = get_logger("peers")


class TrafficClass(Enum):
    """Class of the traffic to a node: short calls, long calls or control frames.

    Each class has a connection of its own, so that bulk bodies never cause
    head-of-line blocking of short calls.
    """

    SHORT = "short"
    LONG = "long"
    CONTROL = "control"


PeerKey = tuple[str, TrafficClass]
UpWatcher = Callable[[Hello, Peer], None]
DrainingWatcher = Callable[[Hello], None]


class PeerPool:
    """Opens and keeps one connection for each node and traffic class in use.

    A connection that is replaced or no longer needed is retired: it closes once the
    calls in progress on it are answered.

    Other parts append their callbacks to the lists of watchers. The three `get_`
    callbacks supply the fields of the heartbeats that this node sends.
    """

    def __init__(self, *, state: NodeState, replica: ConfigurationReplica) -> None:
        self._state = state
        self._replica = replica
        self._peers: dict[PeerKey, Peer] = {}
        # Connections that still wait for answers, but take no new calls.
        self._retired: set[Peer] = set()
        self._incarnations: dict[PeerKey, int] = {}
        self._up_events: dict[PeerKey, asyncio.Event] = {}
        self._used_at: dict[PeerKey, float] = {}
        self.up_watchers: list[UpWatcher] = []
        self.down_watchers: list[Callable[[Peer], None]] = []
        self.record_watchers: list[Callable[[Records], None]] = []
        self.announcement_watchers: list[Callable[[Announcements, Peer], None]] = []
        self.slow_call_watchers: list[Callable[[Hello, SlowCall], None]] = []
        self.draining_watchers: list[DrainingWatcher] = []
        self.heartbeat_watchers: list[Callable[[Hello, Heartbeat], None]] = []
        self.get_subtree_offset: Callable[[], int] = lambda: 0
        self.get_parent: Callable[[], str | None] = lambda: None
        self.get_confirmation_age_ms: Callable[[], int] = lambda: (
            MAX_CONFIRMATION_AGE_MS
        )

    def build_hello(self) -> Hello:
        """Return the first frame that this node sends on a connection."""
        return Hello(
            protocol=PROTOCOL_VERSION,
            instance=self._state.identity.instance,
            incarnation=self._state.identity.incarnation,
            zone=self._state.zone,
        )

    def build_heartbeat(self) -> Heartbeat:
        """Return a heartbeat with this node's current state."""
        return Heartbeat(
            version=self._state.version,
            offset=self._replica.fold.next_offset,
            held=self.get_subtree_offset(),
            age_ms=self.get_confirmation_age_ms(),
            parent=self.get_parent() or "",
            draining=self._state.is_draining,
            clock=self._state.tick(),
        )

    def open(self, member: Member, traffic_class: TrafficClass) -> Peer:
        """Return the connection to a member, opening it if there is none."""
        key = (member.instance, traffic_class)
        self._used_at[key] = asyncio.get_running_loop().time()
        peer = self._peers.get(key)
        if peer is not None and self._incarnations[key] == member.incarnation:
            return peer
        if peer is not None:
            self._retire(key)
        address = self._state.settings.addresses.get(member.instance, member.stream)
        self._incarnations[key] = member.incarnation
        return self._start(key, address)

    def open_address(self, address: Address) -> Peer:
        """Return the control connection to an address whose member is unknown."""
        key = (str(address), TrafficClass.CONTROL)
        self._incarnations[key] = 0
        return self._peers.get(key) or self._start(key, address)

    async def wait_up(self, member: Member, traffic_class: TrafficClass) -> Peer:
        """Return the connection once it is up.

        Raises `PeerUnreachableError` if it does not come up within
        `WAIT_UP_TIMEOUT_S`, or if the process there is another incarnation.
        """
        peer = self.open(member, traffic_class)
        if not peer.is_up:
            event = self._up_events[(member.instance, traffic_class)]
            try:
                async with asyncio.timeout(WAIT_UP_TIMEOUT_S):
                    await event.wait()
            except TimeoutError as error:
                raise PeerUnreachableError(member.instance) from error
        remote = peer.remote
        if remote is None or remote.incarnation != member.incarnation:
            raise PeerUnreachableError(f"{member.instance} is another incarnation")
        return peer

    def close(self, instance: str) -> None:
        """Close the connections to a member that is gone, once they are not in use.

        A member may be announced as gone by mistake, while it runs calls.
        """
        for traffic_class in TrafficClass:
            if (instance, traffic_class) in self._peers:
                self._retire((instance, traffic_class))

    def close_idle(self, *, now: float) -> int:
        """Close connections for calls that were idle for `IDLE_TIMEOUT_S`.

        This bounds the connections to the targets in use. A connection that is down
        is kept: it reconnects, which shows that its target is usable again. Return
        how many were closed.
        """
        idle = [
            key
            for key, peer in self._peers.items()
            if key[1] is not TrafficClass.CONTROL
            and peer.is_up
            and not peer.in_progress
            and now - self._used_at[key] > IDLE_TIMEOUT_S
        ]
        for key in idle:
            self._retire(key)
        return len(idle)

    def close_all(self) -> None:
        """Close all connections."""
        for peer in [*self._peers.values(), *self._retired]:
            peer.stop()

    def count_up(self) -> int:
        """Return how many connections are up."""
        return sum(peer.is_up for peer in self._peers.values())

    def on_records(self, *, frame: Records) -> None:
        """Pass configuration records on to the watchers."""
        for watch in self.record_watchers:
            watch(frame)

    def on_announcements(self, *, frame: Announcements, peer: Peer) -> None:
        """Pass announcements of members on to the watchers."""
        for watch in self.announcement_watchers:
            watch(frame, peer)

    def on_slow_call(self, *, remote: Hello, frame: SlowCall) -> None:
        """Pass on to the watchers that a target's upstream answers late."""
        for watch in self.slow_call_watchers:
            watch(remote, frame)

    def on_topic_records(self, *, remote: Hello, frame: TopicRecords) -> None:
        """Ignore the frame: this interface has its own log."""

    def on_hold_record(self, *, frame: HoldRecord) -> HeldRecord | None:
        """Ignore the frame: only sidecars hold records for each other."""
        return None

    def on_caller_routes(self, *, frame: CallerRoutes) -> None:
        """Ignore the frame: on this interface each call names its kind."""

    def on_heartbeat(self, *, remote: Hello, frame: Heartbeat) -> None:
        """Handle a heartbeat from the other side."""
        self._state.observe(frame.clock)
        for watch in self.heartbeat_watchers:
            watch(remote, frame)
        if frame.draining:
            self.on_draining(remote=remote)

    def on_notice(self, *, remote: Hello, frame: Frame) -> None:
        """Ignore the frame: only nodes on the users' platform send such frames."""

    def on_draining(self, *, remote: Hello) -> None:
        """Notify the watchers that a node is draining, if it was alive so far."""
        member = self._state.directory.find(instance=remote.instance)
        is_change = member is not None and member.state is MemberState.ALIVE
        if is_change:
            for watch in self.draining_watchers:
                watch(remote)

    def on_up(self, *, remote: Hello, peer: Peer) -> None:
        """Record that a peer is up, and wake the tasks that wait for it."""
        self._state.record(EventName.PEER_UP, detail=remote.instance)
        for key, candidate in self._peers.items():
            if candidate is peer:
                self._up_events[key].set()
        for watch in self.up_watchers:
            watch(remote, peer)

    def on_down(self, *, peer: Peer) -> None:
        """Record that the connection to a peer was lost."""
        self._retired.discard(peer)
        self._state.record(EventName.PEER_DOWN, detail=str(peer.address))
        for key, candidate in self._peers.items():
            if candidate is peer:
                self._up_events[key].clear()
        for watch in self.down_watchers:
            watch(peer)

    def find_instance(self, peer: Peer) -> str | None:
        """Return the instance that a peer connects to, if it is in the pool."""
        for (instance, _), candidate in self._peers.items():
            if candidate is peer:
                return instance
        return None

    def _retire(self, key: PeerKey) -> None:
        # Remove it before closing it: otherwise on_down would report the target as
        # lost, although only the connection was closed.
        peer = self._peers.pop(key)
        if peer.in_progress:
            self._retired.add(peer)
            log.info("stream to %s kept for %d calls", key[0], peer.in_progress)
        peer.retire()

    def _start(self, key: PeerKey, address: Address) -> Peer:
        peer = Peer(address=address, hello=self.build_hello, observer=self)
        self._peers[key] = peer
        self._up_events[key] = asyncio.Event()
        peer.start()
        return peer
