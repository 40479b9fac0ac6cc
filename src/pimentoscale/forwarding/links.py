"""Manages the streams that this node opens to other nodes."""

import asyncio
import math
from collections.abc import Callable
from heapq import nsmallest
from typing import Any

from pimentoscale.forwarding.state import SidecarState
from pimentoscale.logs import get_logger
from pimentoscale.membership import Member
from pimentoscale.membership.tree import rank_root
from pimentoscale.stream import (
    Announcements,
    CallerRoutes,
    CheckStore,
    DegradedRoute,
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

# How long a request waits for a stream that is being opened; connecting and the
# exchange of hello frames take two round trips.
CONNECT_TIMEOUT_S = 0.3
# How long a notice to another zone is tried, and the pause between two tries.
NOTICE_TIMEOUT_S = 1.0
RETRY_S = 0.05
# A reader of the store keeps streams to this many nodes of each other zone: those that
# read the store there, unless they fail.
ZONE_CONTACTS = 2
# How often a reader chooses these nodes anew.
CONTACT_PERIOD_S = 2.0
# Half of the time without a frame after which a stream is closed.
HEARTBEAT_PERIOD_S = 1.0
# Streams to other zones are closed when unused for this time: heartbeats cost bytes.
IDLE_TIMEOUT_S = 10.0
MAX_AGE_MS = 86_400_000

log = get_logger("links")


class Links:
    """Keeps streams to all nodes of this node's zone, and to others while in use."""

    def __init__(self, *, state: SidecarState) -> None:
        self._state = state
        self._peers: dict[str, Peer] = {}
        # Streams to members that have left, which still wait for answers.
        self._retired: set[Peer] = set()
        self._up: dict[str, asyncio.Event] = {}
        self._used_at: dict[str, float] = {}
        # Nodes of other zones to which streams are kept though no request uses them.
        self._contacts: set[str] = set()
        self._contacts_chosen_at = -CONTACT_PERIOD_S
        self.on_version: Callable[[Hello, int], None] | None = None
        self.on_draining_state: Callable[[str, bool], None] | None = None
        self.on_routes: Callable[[list[str]], None] | None = None
        self.on_stream_up: Callable[[str], None] | None = None
        self.on_records_received: Callable[[Hello, TopicRecords], None] | None = None
        self.on_hold: Callable[[HoldRecord], HeldRecord] | None = None
        # Handlers of further frames by their type.
        self.notice_handlers: dict[type[Frame], Callable[[Hello, Any], None]] = {}

    def build_heartbeat(self) -> Heartbeat:
        """Return the heartbeat to send."""
        return Heartbeat(
            version=self._state.version,
            offset=0,
            held=0,
            age_ms=0,
            parent="",
            draining=self._state.is_draining,
            clock=0,
        )

    def update_member(self, member: Member, *, now: float) -> None:
        """Add or update a member; open a stream to it if it is in this node's zone."""
        name = member.instance
        peer = self._peers.get(name)
        if peer is not None and peer.address != member.stream:
            self.remove_member(name)
        if member.zone == self._state.settings.zone:
            self._open(member, now)

    def remove_member(self, name: str) -> None:
        """Close the stream to a member, if there is one, once it is not in use.

        A member leaves while its target may still run requests.
        """
        peer = self._peers.pop(name, None)
        self._up.pop(name, None)
        if peer is None:
            return
        if peer.in_progress:
            self._retired.add(peer)
            log.info("stream to %s kept for %d requests", name, peer.in_progress)
        peer.retire()

    async def get(self, member: Member, *, expires_at: float, now: float) -> Peer:
        """Return the stream to a member once it is up and known to be received.

        Raises `PeerUnreachableError` if it is not up within `CONNECT_TIMEOUT_S`, if the
        other side gives no sign of life, or once the event loop's clock reaches
        `expires_at`.
        """
        peer = self._open(member, now)
        if not peer.is_up:
            try:
                event = self._up[member.instance]
                async with asyncio.timeout_at(min(expires_at, now + CONNECT_TIMEOUT_S)):
                    await event.wait()
            except TimeoutError as error:
                raise PeerUnreachableError(member.instance) from error
        await peer.confirm(expires_at=expires_at)
        return peer

    def is_up(self, name: str) -> bool:
        """Return whether the stream to a member is up."""
        peer = self._peers.get(name)
        return peer is not None and peer.is_up

    def is_receiving(self, name: str, *, now: float) -> bool:
        """Return whether a frame of a member is arriving in parts."""
        peer = self._peers.get(name)
        return peer is not None and peer.is_receiving(now=now)

    def close_idle(self, *, now: float) -> None:
        """Close the streams to other zones unused for longer than `IDLE_TIMEOUT_S`."""
        for name in list(self._peers):
            member = self._state.members.get(name)
            is_own_zone = (
                member is not None and member.zone == self._state.settings.zone
            )
            is_kept = is_own_zone or name in self._contacts
            if not is_kept and self._is_idle(name, now):
                self.remove_member(name)

    def _is_idle(self, name: str, now: float) -> bool:
        is_unused = now - self._used_at[name] > IDLE_TIMEOUT_S
        return is_unused and not self._peers[name].in_progress

    def choose_contacts(self, *, reads_store: bool, now: float) -> None:
        """Keep streams to some nodes of each other zone if this node reads the store.

        Versions come and go on them while the store leaves all readers of a zone
        without answers.
        """
        if not reads_store:
            self._contacts.clear()
            return
        if now - self._contacts_chosen_at < CONTACT_PERIOD_S:
            return
        self._contacts_chosen_at = now
        self._contacts.clear()
        for members in self._list_contacts().values():
            for member in members:
                self._contacts.add(member.instance)
                self._used_at.setdefault(member.instance, -math.inf)
                self._connect(member)

    def _list_contacts(self) -> dict[str, list[Member]]:
        """Return the nodes of each other zone that read the store, unless they fail."""
        zones: dict[str, list[Member]] = {}
        for member in self._state.members.values():
            if member.zone != self._state.settings.zone:
                zones.setdefault(member.zone, []).append(member)
        return {
            zone: nsmallest(ZONE_CONTACTS, members, key=_rank_member)
            for zone, members in zones.items()
        }

    def close(self) -> None:
        """Close all streams."""
        for peer in [*self._peers.values(), *self._retired]:
            peer.stop()
        self._peers.clear()
        self._up.clear()

    def count_up(self) -> int:
        """Return how many streams are up."""
        return sum(peer.is_up for peer in self._peers.values())

    def on_up(self, *, remote: Hello, peer: Peer) -> None:
        """Resume the requests that wait for the stream."""
        name = self._find_name(peer)
        log.info("stream to %s is up", remote.instance)
        if name is not None:
            self._up[name].set()
            if self.on_stream_up is not None:
                self.on_stream_up(name)

    def on_down(self, *, peer: Peer) -> None:
        """Mark a stream as down."""
        if peer.remote is None:
            self._retired.discard(peer)
        name = self._find_name(peer)
        log.info("stream to %s is lost", name or peer.address)
        if name is not None:
            self._up[name].clear()

    def on_heartbeat(self, *, remote: Hello, frame: Heartbeat) -> None:
        """Handle the version and the draining state that a peer reports."""
        if frame.version > self._state.version and self.on_version is not None:
            self.on_version(remote, frame.version)
        if self.on_draining_state is not None:
            self.on_draining_state(remote.instance, frame.draining)

    def on_draining(self, *, remote: Hello) -> None:
        """Mark a peer as about to stop."""
        if self.on_draining_state is not None:
            self.on_draining_state(remote.instance, True)

    def on_records(self, *, frame: Records) -> None:
        """Ignore the frame: a sidecar's configuration comes from the store."""

    def on_announcements(self, *, frame: Announcements, peer: Peer) -> None:
        """Ignore the frame: members are registered in the store."""

    def on_caller_routes(self, *, frame: CallerRoutes) -> None:
        """Pass on the caller routes that a peer has identified."""
        if self.on_routes is not None:
            self.on_routes(frame.routes)

    def on_topic_records(self, *, remote: Hello, frame: TopicRecords) -> None:
        """Pass on records of the store's topics."""
        if self.on_records_received is not None:
            self.on_records_received(remote, frame)

    def on_hold_record(self, *, frame: HoldRecord) -> HeldRecord | None:
        """Hold a record for the other side, and answer what is held of it."""
        return self.on_hold(frame) if self.on_hold is not None else None

    def on_notice(self, *, remote: Hello, frame: Frame) -> None:
        """Pass on a frame for which there is a handler."""
        handle = self.notice_handlers.get(type(frame))
        if handle is not None:
            handle(remote, frame)

    def send(self, name: str, frame: Frame) -> None:
        """Send a frame to a member; drop it if the stream is not up."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.send(frame)

    def send_caller_routes(self, routes: list[str]) -> None:
        """Send caller routes to all nodes to which there is a stream."""
        frame = CallerRoutes(routes=routes)
        for peer in self._peers.values():
            peer.send(frame)

    def send_degraded_route(self, importance: int, *, now: float) -> None:
        """Send the importance of a route degraded here to all nodes of the own zone.

        Those of other zones get it if requests go there.
        """
        frame = DegradedRoute(importance=importance)
        for name, peer in self._peers.items():
            if name not in self._contacts or not self._is_idle(name, now):
                peer.send(frame)

    def send_zone_heartbeats(self) -> None:
        """Send heartbeats to nodes of other zones now, as after a change of version."""
        for name, peer in self._peers.items():
            member = self._state.members.get(name)
            if member is not None and member.zone != self._state.settings.zone:
                peer.send(self.build_heartbeat())

    async def send_store_check(self, *, now: float) -> None:
        """Ask the readers of the store to check on it.

        In other zones the contacts are asked, with streams that are opened for it if
        need be; they ask the others of their zone if they have no answer either.
        """
        frame = CheckStore()
        own_zone = self._state.settings.zone
        for name, member in self._state.members.items():
            if member.zone == own_zone:
                self.send(name, frame)
        ends_at = now + NOTICE_TIMEOUT_S
        sending = [
            self.send_once_up(member, frame, ends_at=ends_at)
            for members in self._list_contacts().values()
            for member in members
        ]
        await asyncio.gather(*sending)

    async def send_once_up(
        self, member: Member, frame: Frame, *, ends_at: float
    ) -> None:
        """Send a frame on a stream that may have to be opened for it."""
        loop = asyncio.get_running_loop()
        while (now := loop.time()) < ends_at:
            try:
                peer = await self.get(member, expires_at=ends_at, now=now)
            except PeerUnreachableError:
                await asyncio.sleep(RETRY_S)
                continue
            peer.send(frame)
            return
        log.info(
            "%s not sent to %s: no stream in %.1f s",
            type(frame).__name__,
            member.instance,
            NOTICE_TIMEOUT_S,
        )

    def on_slow_call(self, *, remote: Hello, frame: SlowCall) -> None:
        """Ignore the frame: run times come with the responses."""

    def touch(self, name: str, *, now: float) -> None:
        """Note that the stream to a member is in use."""
        if name in self._used_at:
            self._used_at[name] = now

    def find_peer(self, name: str) -> Peer | None:
        """Return the stream to a member if it is up."""
        peer = self._peers.get(name)
        return peer if peer is not None and peer.is_up else None

    def _open(self, member: Member, now: float) -> Peer:
        self._used_at[member.instance] = now
        return self._connect(member)

    def _connect(self, member: Member) -> Peer:
        name = member.instance
        peer = self._peers.get(name)
        if peer is None:
            peer = Peer(
                address=member.stream,
                hello=self._state.make_hello,
                observer=self,
                heartbeat_period_s=HEARTBEAT_PERIOD_S,
            )
            self._peers[name] = peer
            self._up[name] = asyncio.Event()
            peer.start()
        return peer

    def _find_name(self, peer: Peer) -> str | None:
        for name, candidate in self._peers.items():
            if candidate is peer:
                return name
        return None


def _rank_member(member: Member) -> tuple[int, int]:
    return rank_root(member.instance)
