"""Takes configuration records in, and gives them on over the zone's tree."""

import asyncio
import itertools
import math
from collections.abc import Callable

from pimentoscale.configuration import Configuration, ConfigurationFeed, encode_record
from pimentoscale.logs import get_logger
from pimentoscale.node.pause import PauseDetector
from pimentoscale.node.state import NodeState
from pimentoscale.peering.overlay import Overlay
from pimentoscale.peering.peers import MAX_AGE_MS, Lane, PeerPool
from pimentoscale.stream import (
    Connection,
    FetchRecords,
    Heartbeat,
    Hello,
    Peer,
    Records,
)
from pimentoscale.timeline import EventName

LEASE_S = 3.0
MAX_QUERIES = 64

log = get_logger("configuration")


class Distribution:
    """Folds records from whoever has them and passes them on to the children."""

    def __init__(
        self,
        *,
        state: NodeState,
        peers: PeerPool,
        overlay: Overlay,
        pauses: PauseDetector,
    ) -> None:
        self._state = state
        self._peers = peers
        self._overlay = overlay
        self._pauses = pauses
        self._feed: ConfigurationFeed = state.feed
        self._held: dict[Connection, int] = {}
        self._zones: dict[Connection, str] = {}
        self._confirmed_at = -math.inf
        self._queries: dict[int, float] = {}
        self._numbers = itertools.count(1)
        self.changed = asyncio.Event()
        self.has_version = asyncio.Event()
        self.configuration_watchers: list[Callable[[Configuration], None]] = []
        peers.get_held = self.get_zone_held
        peers.get_age_ms = self._get_age_ms
        peers.heartbeat_watchers.append(self._note_heartbeat)
        peers.record_watchers.append(self._take_from_peer)
        peers.up_watchers.append(self._note_up)

    def take_page(self, *, first: int, records: list[bytes], asked_at: float) -> bool:
        """Take in records from the log; return False if earlier ones are missing."""
        self._confirmed_at = max(self._confirmed_at, asked_at)
        self._pauses.confirm(asked_at=asked_at)
        return self._take(first=first, records=records, snapshot=b"")

    def _take(self, *, first: int, records: list[bytes], snapshot: bytes) -> bool:
        fold = self._feed.fold
        before, version = fold.next_offset, fold.version
        if not self._feed.take(first=first, records=records, snapshot=snapshot):
            return False
        if fold.next_offset > before:
            self._spread(before)
        if fold.version > version:
            self._bring_into_force()
        return True

    def is_confirmed(self, *, now: float) -> bool:
        """Tell whether the version was confirmed within the lease."""
        return now - self._confirmed_at <= LEASE_S

    def catch_up(self) -> None:
        """Ask the parent for what this node may have missed."""
        peer = self._overlay.get_parent_peer()
        if peer is not None:
            self._fetch(peer)

    def take_fetch(
        self, connection: Connection, remote: Hello, frame: FetchRecords
    ) -> None:
        """Give a child the records that it lacks, and from now on all new ones."""
        if connection not in self._held:
            self._overlay.add_child(connection, remote)
        self._held[connection] = frame.offset
        self._zones[connection] = remote.zone
        connection.send(self._get_records(frame.offset, query=frame.query))

    def take_heartbeat(
        self, connection: Connection, remote: Hello, frame: Heartbeat
    ) -> None:
        """Take note of what a child's part of the tree holds."""
        if connection not in self._held:
            return
        if remote.zone == self._state.zone and not self._is_parent_of(frame):
            self._overlay.drop_child(connection)
            self.remove_connection(connection)
            return
        self._held[connection] = frame.held
        self.changed.set()
        if frame.offset > self._feed.fold.next_offset:
            member = self._state.directory.find(instance=remote.instance)
            if member is not None:
                self._fetch(self._peers.open(member, Lane.CONTROL))

    def _is_parent_of(self, frame: Heartbeat) -> bool:
        """Tell whether the sender follows this node.

        One that has found another parent is not waited for: two nodes that waited
        for each other would hold up every consent.
        """
        return frame.parent == self._state.identity.instance

    def remove_connection(self, connection: Connection) -> None:
        """Take note that an accepted connection has closed."""
        self._held.pop(connection, None)
        self._zones.pop(connection, None)
        self.changed.set()

    def get_zone_held(self) -> int:
        """Return the offset up to which all live nodes below hold the records."""
        return min(self._feed.fold.next_offset, self._get_children_held())

    def _get_children_held(self) -> int:
        own = self._state.zone
        held = [
            offset
            for connection, offset in self._held.items()
            if self._zones[connection] == own
        ]
        return min(held, default=self._feed.fold.next_offset)

    def _get_records(self, offset: int, *, query: int) -> Records:
        fold = self._feed.fold
        if offset >= fold.next_offset:
            return Records(query=query, first=offset)
        if self._feed.can_give(offset=offset):
            records = self._feed.get_records(offset=offset)
            return Records(query=query, first=offset, records=records)
        snapshot = fold.make_snapshot(instance=self._state.identity.instance)
        return Records(
            query=query, first=fold.next_offset, snapshot=encode_record(snapshot)
        )

    def _spread(self, before: int) -> None:
        """Send news to the children, and tell the parent that it is held."""
        for connection in list(self._held):
            connection.send(self._get_records(before, query=0))
        peer = self._overlay.get_parent_peer()
        if peer is not None:
            peer.send(self._peers.build_heartbeat())
        self.changed.set()

    def _bring_into_force(self) -> None:
        version = self._state.version
        log.info("version %d is in force", version)
        self._state.record(EventName.VERSION_IN_FORCE, detail=str(version))
        self.has_version.set()
        for watch in self.configuration_watchers:
            watch(self._state.configuration)

    def _take_from_peer(self, frame: Records) -> None:
        asked_at = self._queries.pop(frame.query, -math.inf)
        self._pauses.confirm(asked_at=asked_at)
        is_whole = self._take(
            first=frame.first, records=frame.records, snapshot=frame.snapshot
        )
        if not is_whole or len(frame.records) > 1:
            self.catch_up()

    def _note_up(self, remote: Hello, peer: Peer) -> None:
        if peer in self._overlay.list_links():
            self._fetch(peer)

    def _fetch(self, peer: Peer) -> None:
        number = next(self._numbers)
        self._queries[number] = asyncio.get_running_loop().time()
        while len(self._queries) > MAX_QUERIES:
            del self._queries[next(iter(self._queries))]
        peer.send(FetchRecords(query=number, offset=self._feed.fold.next_offset))

    def _note_heartbeat(self, remote: Hello, frame: Heartbeat) -> None:
        """Learn from the parent how old the confirmation of its version is."""
        if remote.instance != self._overlay.parent:
            return
        now = asyncio.get_running_loop().time()
        self._confirmed_at = max(self._confirmed_at, now - frame.age_ms / 1000)
        if frame.offset > self._feed.fold.next_offset:
            self.catch_up()

    def _get_age_ms(self) -> int:
        now = asyncio.get_running_loop().time()
        return min(MAX_AGE_MS, int(min(now - self._confirmed_at, 1e6) * 1000))
