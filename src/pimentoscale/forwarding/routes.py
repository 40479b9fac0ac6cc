"""Keeps the newest route table, from the store or a peer; never an older one."""

import asyncio
from collections.abc import Callable

from result import Err, Ok, Result

from pimentoscale.forwarding.links import Links
from pimentoscale.forwarding.state import SidecarState
from pimentoscale.logs import get_logger
from pimentoscale.routes import Route, RouteTable
from pimentoscale.store import KeyedRecord, format_position
from pimentoscale.stream import (
    FetchRoutes,
    Hello,
    Peer,
    PeerLostError,
    PeerUnreachableError,
    RoutesRecord,
)

# The store delivers a new version to all nodes at once. A peer is asked for it only if
# the store has not delivered it within this time.
FETCH_DELAY_S = 0.1
FETCH_TIMEOUT_S = 0.5
# How long the answer may arrive in parts, as on a narrow link: with a fetch given up
# halfway, the next one would only add to what is on the way.
FETCH_RECEIVING_S = 5.0
# Largest number of routes of a new version that are logged, one per line.
MAX_CHANGE_LINES = 20

log = get_logger("routes")


class RouteUpdater:
    """Puts newer versions of the route table in force and ignores all others."""

    def __init__(
        self,
        *,
        state: SidecarState,
        key: bytes,
        decode: Callable[[bytes], Result[RouteTable, str]],
        links: Links,
    ) -> None:
        self._state = state
        self._key = key
        self._decode = decode
        self._links = links
        self._fetching: asyncio.Task[None] | None = None
        self._fetched_from = ""
        # Another peer that stated a newer version during a fetch, and that version.
        self._next: tuple[str, int] | None = None
        # The newest version that a peer has stated, and when a peer first stated one
        # that was newer than the one in force.
        self.stated_version = 0
        self._stated_at: float | None = None
        # Set if a part of this node could not be told of the version in force.
        self._has_untold_change = False
        self.on_change: Callable[[RouteTable], None] | None = None

    def apply_record(self, record: KeyedRecord) -> None:
        """Apply a record of the store's topic if its key is that of the routes."""
        if record.key == self._key and record.value:
            position = format_position(record.position)
            self.apply(record.value, source=f"store {position}")

    def apply(self, data: bytes, *, source: str) -> bool:
        """Put a record in force if it is valid and newer; return True if so."""
        match self._decode(data):
            case Err(reason):
                log.warning("invalid record from %s skipped: %s", source, reason)
                return False
            case Ok(table):
                pass
        old_version = self._state.version
        if self._state.table is not None and table.version <= old_version:
            if table.version == old_version and self._has_untold_change:
                self._tell_change(self._state.table)
            if table.version < old_version:
                log.info(
                    "version %d from %s ignored: older than version %d in force",
                    table.version,
                    source,
                    old_version,
                )
            return False
        old_routes = self._state.table.routes if self._state.table else []
        self._state.table = table
        self._state.record = data
        log.info(
            "version %d in force, replaces %d: source=%s routes=%d heard_s_ago=%s",
            table.version,
            old_version,
            source,
            len(table.routes),
            self._describe_stated_age(),
        )
        if table.version >= self.stated_version:
            self._stated_at = None
        _log_changes(old_routes, table)
        _log_faults(table)
        self._tell_change(table)
        return True

    def _tell_change(self, table: RouteTable) -> None:
        self._has_untold_change = True
        if self.on_change is not None:
            self.on_change(table)
        self._has_untold_change = False

    def start_fetch(self, remote: Hello, version: int) -> None:
        """Fetch a newer version from a peer; after a running fetch if that fails."""
        self.stated_version = max(self.stated_version, version)
        if self._stated_at is None:
            self._stated_at = asyncio.get_running_loop().time()
        if self.is_fetching:
            if remote.instance != self._fetched_from:
                self._next = (remote.instance, version)
        else:
            log.info(
                "version %d stated by %s, version %d in force here",
                version,
                remote.instance,
                self._state.version,
            )
            self._fetched_from = remote.instance
            self._next = None
            self._fetching = asyncio.create_task(self._fetch(remote.instance, version))

    def _describe_stated_age(self) -> str:
        """Return how long ago a peer first stated a version newer than the old one."""
        if self._stated_at is None:
            return "never"
        return f"{asyncio.get_running_loop().time() - self._stated_at:.2f}"

    @property
    def is_fetching(self) -> bool:
        """Return whether a version is being fetched."""
        return self._fetching is not None and not self._fetching.done()

    async def _fetch(self, name: str, version: int) -> None:
        await asyncio.sleep(FETCH_DELAY_S)
        while self._state.version < version:
            self._fetched_from = name
            await self._fetch_from(name, version)
            if self._next is None:
                return
            name, version = self._next
            self._next = None

    async def _fetch_from(self, name: str, version: int) -> None:
        try:
            peer = await self._find_peer(name)
            answer = await peer.query(
                FetchRoutes(query=0),
                timeout_s=FETCH_TIMEOUT_S,
                receiving_s=FETCH_RECEIVING_S,
            )
        except (PeerUnreachableError, PeerLostError) as error:
            log.info(
                "version %d could not be fetched from %s: %s", version, name, error
            )
            return
        if isinstance(answer, RoutesRecord) and answer.data:
            self.apply(answer.data, source=f"peer {name}")

    async def _find_peer(self, name: str) -> Peer:
        """Return the stream to a node, which may have to be opened for the fetch.

        The node may have stated its version on a stream of its own, as one of another
        zone does. Raises `PeerUnreachableError` if there is none.
        """
        peer = self._links.find_peer(name)
        if peer is not None:
            return peer
        member = self._state.members.get(name)
        if member is None:
            raise PeerUnreachableError(f"{name} is no member")
        now = asyncio.get_running_loop().time()
        return await self._links.get(member, expires_at=now + FETCH_TIMEOUT_S, now=now)


def _log_changes(old_routes: list[Route], table: RouteTable) -> None:
    """Log the new and changed routes, and their count if there are too many."""
    old = {route.name: route for route in old_routes}
    changed = [route for route in table.routes if old.get(route.name) != route]
    for route in changed[:MAX_CHANGE_LINES]:
        log.info("version %d: %s", table.version, route)
    if len(changed) > MAX_CHANGE_LINES:
        log.info(
            "version %d: %d routes are new or changed", table.version, len(changed)
        )


def _log_faults(table: RouteTable) -> None:
    """Log which parts of a version can't be used, and their count if too many."""
    for fault in table.faults[:MAX_CHANGE_LINES]:
        log.warning("version %d: %s", table.version, fault)
    if len(table.faults) > MAX_CHANGE_LINES:
        log.warning("version %d: %d faults", table.version, len(table.faults))
