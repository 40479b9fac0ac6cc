"""Distribution of configuration records over the zone's tree."""

import asyncio
import itertools
import math
from collections.abc import Callable

from pimentoscale.configuration import (
    Configuration,
    ConfigurationReplica,
    encode_record,
)
from pimentoscale.logs import get_logger
from pimentoscale.node.pause import PauseDetector
from pimentoscale.node.state import NodeState
from pimentoscale.peering.overlay import Overlay
from pimentoscale.peering.peers import MAX_CONFIRMATION_AGE_MS, PeerPool, TrafficClass
from pimentoscale.stream import (
    Connection,
    FetchRecords,
    Heartbeat,
    Hello,
    Peer,
    Records,
)
from pimentoscale.timeline import EventName

CONFIRMATION_LEASE_S = 3.0
MAX_PENDING_QUERIES = 64

log = get_logger("configuration")


class Distribution:
    """Applies records from the log or a peer, and sends them to the children.

    `changed` is set when the replica or the offset of a child changes, and
    `has_version` once a version is in force.
    """

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
        self._replica: ConfigurationReplica = state.replica
        self._child_offsets: dict[Connection, int] = {}
        self._child_zones: dict[Connection, str] = {}
        self._confirmed_at = -math.inf
        # The last version of which all watchers were told.
        self._version_in_force = self._replica.fold.version
        self._query_times: dict[int, float] = {}
        self._query_numbers = itertools.count(1)
        self.changed = asyncio.Event()
        self.has_version = asyncio.Event()
        self.configuration_watchers: list[Callable[[Configuration], None]] = []
        peers.get_subtree_offset = self.get_subtree_offset
        peers.get_confirmation_age_ms = self._get_confirmation_age_ms
        peers.heartbeat_watchers.append(self._handle_parent_heartbeat)
        peers.record_watchers.append(self._handle_records)
        peers.up_watchers.append(self._handle_up)

    def apply_page(
        self, *, first: int, records: list[bytes], requested_at: float
    ) -> bool:
        """Apply a page of the log; return False if records before it are missing."""
        is_applied = self._apply(first=first, records=records, snapshot=b"")
        self._confirmed_at = max(self._confirmed_at, requested_at)
        self._pauses.confirm(requested_at=requested_at)
        return is_applied

    def _apply(self, *, first: int, records: list[bytes], snapshot: bytes) -> bool:
        fold = self._replica.fold
        before = fold.next_offset
        if not self._replica.apply(first=first, records=records, snapshot=snapshot):
            return False
        if fold.next_offset > before:
            self._propagate(before)
        if fold.version > self._version_in_force:
            self._bring_into_force()
            self._version_in_force = fold.version
        return True

    def is_confirmed(self, *, now: float) -> bool:
        """Return whether the version was confirmed within `CONFIRMATION_LEASE_S`."""
        return now - self._confirmed_at <= CONFIRMATION_LEASE_S

    def catch_up(self) -> None:
        """Fetch the records that this node lacks from the parent."""
        peer = self._overlay.get_parent_peer()
        if peer is not None:
            self._fetch(peer)

    def handle_fetch(
        self, connection: Connection, remote: Hello, frame: FetchRecords
    ) -> None:
        """Send a child the records that it lacks, and subscribe it to new ones."""
        if connection not in self._child_offsets:
            self._overlay.add_child(connection, remote)
        self._child_offsets[connection] = frame.offset
        self._child_zones[connection] = remote.zone
        connection.send(self._get_records(frame.offset, query=frame.query))

    def handle_heartbeat(
        self, connection: Connection, remote: Hello, frame: Heartbeat
    ) -> None:
        """Record up to which offset a child's subtree holds the records.

        If the child itself is ahead of this node, fetch the records from it.
        """
        if connection not in self._child_offsets:
            return
        if remote.zone == self._state.zone and not self._is_parent_of(frame):
            self._overlay.remove_child(connection)
            self.remove_connection(connection)
            return
        self._child_offsets[connection] = frame.held
        self.changed.set()
        if frame.offset > self._replica.fold.next_offset:
            member = self._state.directory.find(instance=remote.instance)
            if member is not None:
                self._fetch(self._peers.open(member, TrafficClass.CONTROL))

    def _is_parent_of(self, frame: Heartbeat) -> bool:
        """Return whether this node is the parent of the heartbeat's sender.

        A child that has another parent now is removed, so that consents don't depend
        on it: two nodes that wait for each other would block every consent.
        """
        return frame.parent == self._state.identity.instance

    def remove_connection(self, connection: Connection) -> None:
        """Remove a connection that has closed, or whose node has another parent now."""
        self._child_offsets.pop(connection, None)
        self._child_zones.pop(connection, None)
        self.changed.set()

    def get_subtree_offset(self) -> int:
        """Return the offset up to which all live nodes of the subtree hold records."""
        return min(self._replica.fold.next_offset, self._get_min_child_offset())

    def _get_min_child_offset(self) -> int:
        """Return the lowest offset of the children in this zone.

        The roots of other zones may be subscribed too, but each zone consents for
        its own nodes.
        """
        zone = self._state.zone
        offsets = [
            offset
            for connection, offset in self._child_offsets.items()
            if self._child_zones[connection] == zone
        ]
        return min(offsets, default=self._replica.fold.next_offset)

    def _get_records(self, offset: int, *, query: int) -> Records:
        fold = self._replica.fold
        if offset >= fold.next_offset:
            return Records(query=query, first=offset)
        if self._replica.has_records_from(offset=offset):
            records = self._replica.get_records(offset=offset)
            return Records(query=query, first=offset, records=records)
        snapshot = fold.make_snapshot(instance=self._state.identity.instance)
        return Records(
            query=query, first=fold.next_offset, snapshot=encode_record(snapshot)
        )

    def _propagate(self, before: int) -> None:
        """Send new records to the children, and the new offset to the parent."""
        for connection in list(self._child_offsets):
            connection.send(self._get_records(before, query=0))
        peer = self._overlay.get_parent_peer()
        if peer is not None:
            peer.send(self._peers.build_heartbeat())
        self.changed.set()

    def _bring_into_force(self) -> None:
        version = self._state.version
        log.info("configuration version %d is in force", version)
        self._state.record(EventName.VERSION_IN_FORCE, detail=str(version))
        self.has_version.set()
        for watch in self.configuration_watchers:
            watch(self._state.configuration)

    def _handle_records(self, frame: Records) -> None:
        """Apply records from a peer; fetch again if more are missing or may follow."""
        requested_at = self._query_times.pop(frame.query, -math.inf)
        is_applied = self._apply(
            first=frame.first, records=frame.records, snapshot=frame.snapshot
        )
        self._pauses.confirm(requested_at=requested_at)
        if not is_applied or len(frame.records) > 1:
            self.catch_up()

    def _handle_up(self, remote: Hello, peer: Peer) -> None:
        if peer in self._overlay.list_links():
            self._fetch(peer)

    def _fetch(self, peer: Peer) -> None:
        number = next(self._query_numbers)
        self._query_times[number] = asyncio.get_running_loop().time()
        while len(self._query_times) > MAX_PENDING_QUERIES:
            del self._query_times[next(iter(self._query_times))]
        peer.send(FetchRecords(query=number, offset=self._replica.fold.next_offset))

    def _handle_parent_heartbeat(self, remote: Hello, frame: Heartbeat) -> None:
        """Update the time of the confirmation from a heartbeat of the parent."""
        if remote.instance != self._overlay.parent:
            return
        now = asyncio.get_running_loop().time()
        self._confirmed_at = max(self._confirmed_at, now - frame.age_ms / 1000)
        if frame.offset > self._replica.fold.next_offset:
            self.catch_up()

    def _get_confirmation_age_ms(self) -> int:
        now = asyncio.get_running_loop().time()
        return min(
            MAX_CONFIRMATION_AGE_MS, int(min(now - self._confirmed_at, 1e6) * 1000)
        )
