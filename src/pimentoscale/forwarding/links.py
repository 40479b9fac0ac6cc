"""The streams that a node opens to other nodes."""

import asyncio
from collections.abc import Callable

from pimentoscale.forwarding.state import SidecarState
from pimentoscale.logs import get_logger
from pimentoscale.membership import Member
from pimentoscale.stream import (
    Announcements,
    CallersRoutes,
    Heartbeat,
    Hello,
    Peer,
    PeerUnreachableError,
    Records,
    Slow,
    Strained,
)

# How long a request waits for a stream that is being opened; a connect and a greeting
# take two round trips.
CONNECT_WAIT_S = 0.3
# Half of the time after which a silent stream is closed.
HEARTBEAT_PERIOD_S = 1.0
# Streams to other zones are closed when unused for so long: heartbeats cost bytes.
IDLE_CLOSE_S = 10.0
MAX_AGE_MS = 86_400_000

log = get_logger("links")


class Links:
    """Keeps streams to the nodes of the own zone, and to others while used."""

    def __init__(self, *, state: SidecarState) -> None:
        self._state = state
        self._peers: dict[str, Peer] = {}
        self._up: dict[str, asyncio.Event] = {}
        self._used_at: dict[str, float] = {}
        self.on_version: Callable[[Hello, int], None] | None = None
        self.on_draining: Callable[[str, bool], None] | None = None
        self.on_routes_found: Callable[[list[str]], None] | None = None

    def describe(self) -> Heartbeat:
        """Return the heartbeat to send."""
        return Heartbeat(
            version=self._state.version,
            offset=0,
            held=0,
            age_ms=0,
            parent="",
            draining=self._state.is_leaving,
            clock=0,
        )

    def follow(self, member: Member, *, now: float) -> None:
        """Take in a member: keep a stream to it if it is of the own zone."""
        name = member.instance
        known = self._peers.get(name)
        if known is not None and known.address != member.stream:
            self.drop(name)
        if member.zone == self._state.settings.zone:
            self._open(member, now)

    def drop(self, name: str) -> None:
        """Close the stream to a member that is gone."""
        peer = self._peers.pop(name, None)
        self._up.pop(name, None)
        if peer is not None:
            peer.stop()

    async def get(self, member: Member, *, now: float) -> Peer:
        """Return the stream to a member once it is up.

        Raises `PeerUnreachableError` if it does not come up in time.
        """
        peer = self._open(member, now)
        if not peer.is_up:
            try:
                event = self._up[member.instance]
                await asyncio.wait_for(event.wait(), CONNECT_WAIT_S)
            except TimeoutError as error:
                raise PeerUnreachableError(member.instance) from error
        return peer

    def is_up(self, name: str) -> bool:
        """Tell whether the stream to a member is up."""
        peer = self._peers.get(name)
        return peer is not None and peer.is_up

    def close_idle(self, *, now: float) -> None:
        """Close the streams to other zones that have not been used for long."""
        for name in list(self._peers):
            member = self._state.members.get(name)
            is_near = member is not None and member.zone == self._state.settings.zone
            if not is_near and now - self._used_at[name] > IDLE_CLOSE_S:
                self.drop(name)

    def close(self) -> None:
        """Close all streams."""
        for name in list(self._peers):
            self.drop(name)

    def count_up(self) -> int:
        """Return how many streams are up."""
        return sum(peer.is_up for peer in self._peers.values())

    def on_up(self, *, remote: Hello, peer: Peer) -> None:
        """Wake whoever waits for the peer."""
        name = self._find(peer)
        log.info("stream to %s is up", remote.instance)
        if name is not None:
            self._up[name].set()

    def on_down(self, *, peer: Peer) -> None:
        """Take note that a stream was lost."""
        name = self._find(peer)
        log.info("stream to %s is lost", name or peer.address)
        if name is not None:
            self._up[name].clear()

    def on_heartbeat(self, *, remote: Hello, frame: Heartbeat) -> None:
        """Take note of what the other side holds."""
        if frame.version > self._state.version and self.on_version is not None:
            self.on_version(remote, frame.version)
        if self.on_draining is not None:
            self.on_draining(remote.instance, frame.draining)

    def on_leaving(self, *, remote: Hello) -> None:
        """Take note that the other side is about to stop."""
        if self.on_draining is not None:
            self.on_draining(remote.instance, True)

    def on_records(self, *, frame: Records) -> None:
        """Ignore: configuration records of the product's own log."""

    def on_announcements(self, *, frame: Announcements, peer: Peer) -> None:
        """Ignore: members are announced in the store."""

    def on_callers_routes(self, *, frame: CallersRoutes) -> None:
        """Pass on which routes callers use."""
        if self.on_routes_found is not None:
            self.on_routes_found(frame.routes)

    def send_callers_routes(self, routes: list[str]) -> None:
        """Tell the nodes to which there is a stream which routes callers use."""
        frame = CallersRoutes(routes=routes)
        for peer in self._peers.values():
            peer.send(frame)

    def send_strained(self, importance: int) -> None:
        """Tell the nodes to which there is a stream that a route is strained here."""
        frame = Strained(importance=importance)
        for peer in self._peers.values():
            peer.send(frame)

    def on_slow(self, *, remote: Hello, frame: Slow) -> None:
        """Ignore: run times come with answers."""

    def find_peer(self, name: str) -> Peer | None:
        """Return the stream to a member if it is up."""
        peer = self._peers.get(name)
        return peer if peer is not None and peer.is_up else None

    def _open(self, member: Member, now: float) -> Peer:
        name = member.instance
        self._used_at[name] = now
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

    def _find(self, peer: Peer) -> str | None:
        for name, known in self._peers.items():
            if known is peer:
                return name
        return None
