"""Keeps the newest table of routes, from the store or from a peer; never goes back."""

import asyncio
from collections.abc import Callable

from result import Err, Ok, Result

from pimentoscale.forwarding.links import Links
from pimentoscale.forwarding.state import SidecarState
from pimentoscale.logs import get_logger
from pimentoscale.routes import Route, RouteTable
from pimentoscale.store import KeyedRecord
from pimentoscale.stream import (
    FetchRoutes,
    Hello,
    PeerLostError,
    PeerUnreachableError,
    RoutesRecord,
)

# The store tells all nodes at once; a peer is asked if it has not done so by then.
PEER_HEAD_START_S = 0.1
FETCH_TIMEOUT_S = 1.0
# Lines that one new version writes about its routes.
MAX_CHANGE_LINES = 20

log = get_logger("routes")


class RouteKeeper:
    """Takes newer versions into force and ignores all others."""

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
        self.on_change: Callable[[RouteTable], None] | None = None

    def take_record(self, record: KeyedRecord) -> None:
        """Take in a record of the store's topic."""
        if record.key == self._key and record.value:
            self.apply(record.value, source=f"store offset {record.offset}")

    def apply(self, data: bytes, *, source: str) -> bool:
        """Take a record into force if it is valid and newer; return True if so."""
        match self._decode(data):
            case Err(reason):
                log.warning("record of %s skipped: %s", source, reason)
                return False
            case Ok(table):
                pass
        before = self._state.version
        if self._state.table is not None and table.version <= before:
            if table.version < before:
                log.info(
                    "version %d of %s is older than %d", table.version, source, before
                )
            return False
        before_routes = self._state.table.routes if self._state.table else []
        self._state.table = table
        self._state.record = data
        log.info(
            "version %d in force, before %d: source=%s routes=%d",
            table.version,
            before,
            source,
            len(table.routes),
        )
        _log_changes(before_routes, table)
        if self.on_change is not None:
            self.on_change(table)
        return True

    def note_peer_version(self, remote: Hello, version: int) -> None:
        """Fetch the record of a peer that holds a newer version."""
        if self._fetching is None or self._fetching.done():
            self._fetching = asyncio.create_task(self._fetch(remote.instance, version))

    async def _fetch(self, name: str, version: int) -> None:
        await asyncio.sleep(PEER_HEAD_START_S)
        peer = self._links.find_peer(name)
        if peer is None or self._state.version >= version:
            return
        try:
            answer = await peer.query(FetchRoutes(query=0), timeout_s=FETCH_TIMEOUT_S)
        except (PeerUnreachableError, PeerLostError) as error:
            log.info(
                "version %d could not be fetched from %s: %s", version, name, error
            )
            return
        if isinstance(answer, RoutesRecord) and answer.data:
            self.apply(answer.data, source=f"peer {name}")


def _log_changes(before: list[Route], table: RouteTable) -> None:
    """Log the routes that are new or changed, a bounded number of lines."""
    known = {route.name: route for route in before}
    changed = [route for route in table.routes if known.get(route.name) != route]
    for route in changed[:MAX_CHANGE_LINES]:
        log.info("version %d: %s", table.version, route)
    if len(changed) > MAX_CHANGE_LINES:
        log.info("version %d: %d routes changed", table.version, len(changed))
