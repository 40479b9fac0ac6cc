"""What nodes share in the store: members' records, and the routes that callers use.

The routes are kept there since a node that starts amid heavy load could not find them
out: its target is never idle.
"""

import asyncio
import random
from collections.abc import Callable

from result import Err, Ok

from pimentoscale.forwarding.links import Links
from pimentoscale.forwarding.state import SidecarState
from pimentoscale.forwarding.target import LocalTarget
from pimentoscale.forwarding.views import NodeViews
from pimentoscale.logs import get_logger
from pimentoscale.membership import (
    Member,
    MemberState,
    decode_member,
    encode_member,
)
from pimentoscale.store import KeyedRecord, RecordStore, StoreError

# A key's length stands in one byte.
MAX_KEY_BYTES = 255
RETRY_MIN_S = 0.1
RETRY_MAX_S = 1.0

# Keys of routes begin so; a member's key is the name of its instance.
ROUTE_KEY_PREFIX = b"callers-route/"
# Nodes find out a route at the same time; the first to write it spares the others that.
ROUTE_DELAY_S = 1.0

log = get_logger("members")


class MemberRegistry:
    """Follows the members' records and publishes the own one.

    Each node writes only its own record, so no two writers need to agree.
    """

    def __init__(
        self,
        *,
        state: SidecarState,
        store: RecordStore,
        topic: str,
        target: LocalTarget,
        links: Links,
        views: NodeViews,
        source: random.Random,
    ) -> None:
        self._state = state
        self._store = store
        self._topic = topic
        self._target = target
        self._links = links
        self._views = views
        self._source = source
        self._changed = asyncio.Event()
        self._stored_routes: set[str] = set()
        self.on_callers_route: Callable[[str], None] | None = None
        target.on_news = self._note_news

    def take_record(self, record: KeyedRecord) -> None:
        """Take in one member's record."""
        now = asyncio.get_running_loop().time()
        if record.key.startswith(ROUTE_KEY_PREFIX):
            self._take_route(record.key.removeprefix(ROUTE_KEY_PREFIX))
            return
        if not record.value:
            self._remove(record.key.decode("utf-8", "replace"))
            return
        match decode_member(record.value):
            case Err(reason):
                log.warning("record %d skipped: %s", record.offset, reason)
            case Ok(member):
                self._apply(member, offset=record.offset, now=now)

    async def publish(self) -> None:
        """Write the own record each time that it changes, until the store has it."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            member = self.make_own()
            if member is not None and not await self._try_put(member):
                self._changed.set()

    async def store_route(self, route: str) -> None:
        """Write that callers use a route, unless another node has done so."""
        await asyncio.sleep(self._source.uniform(0, ROUTE_DELAY_S))
        if route in self._stored_routes:
            return
        key = ROUTE_KEY_PREFIX + route.encode()
        if len(key) > MAX_KEY_BYTES:
            return
        try:
            await self._store.put(topic=self._topic, key=key, value=b"1")
        except StoreError as error:
            # The other nodes know it by their streams; only a start would miss it.
            log.info("route %s not written: %s", route, error)

    def make_own(self) -> Member | None:
        """Return this node's record; None before the upstream was ever heard."""
        settings = self._state.settings
        current = self._target.registration.current
        known = self._state.members.get(settings.instance)
        if current is None and known is None:
            return None
        state = MemberState.ALIVE
        if current is None:
            state = MemberState.GONE
        elif current.is_draining:
            state = MemberState.DRAINING
        return Member(
            instance=settings.instance,
            incarnation=self._state.incarnation,
            sequence=0,
            state=state,
            zone=settings.zone,
            service=current.service if current else known.service if known else "",
            slots=current.slots if current else 1,
            http=settings.outgoing,
            stream=settings.stream,
        )

    async def _try_put(self, member: Member) -> bool:
        delay_s = RETRY_MIN_S
        while True:
            try:
                await self._store.put(
                    topic=self._topic,
                    key=member.instance.encode(),
                    value=encode_member(member),
                )
            except StoreError as error:
                log.info("own record not written: %s", error)
                await asyncio.sleep(delay_s * self._source.uniform(0.5, 1.5))
                delay_s = min(RETRY_MAX_S, 2 * delay_s)
                if self._changed.is_set():
                    return False
            else:
                log.info("own record written: state=%s", member.state.value)
                return True

    def _take_route(self, key: bytes) -> None:
        route = key.decode("utf-8", "replace")
        self._stored_routes.add(route)
        if self.on_callers_route is not None:
            self.on_callers_route(route)

    def _note_news(self) -> None:
        now = asyncio.get_running_loop().time()
        member = self.make_own()
        if member is not None:
            self._apply(member, offset=-1, now=now)
            self._changed.set()

    def _apply(self, member: Member, *, offset: int, now: float) -> None:
        own = self._state.settings.instance
        if member.instance == own and offset >= 0:
            self._check_own(member, offset=offset)
            return
        if member.state is MemberState.GONE:
            self._remove(member.instance)
            return
        known = self._state.members.get(member.instance)
        self._state.members[member.instance] = member
        if member.state is MemberState.ALIVE:
            self._views.put(member)
        else:
            self._views.remove(member.instance)
        if known != member:
            log.info(
                "member %s: state=%s service=%s zone=%s offset=%d",
                member.instance,
                member.state.value,
                member.service,
                member.zone,
                offset,
            )
        if member.instance != own:
            self._links.follow(member, now=now)

    def _check_own(self, member: Member, *, offset: int) -> None:
        """Write the own record again if the newest one is another.

        The store may do a write seconds after its answer was lost, and so put an older
        record after a newer one.
        """
        current = self.make_own()
        if current is not None and member != current:
            log.info("own record at offset %d is not the newest; written again", offset)
            self._changed.set()

    def _remove(self, instance: str) -> None:
        if self._state.members.pop(instance, None) is not None:
            log.info("member %s has gone", instance)
        self._views.remove(instance)
        if instance != self._state.settings.instance:
            self._links.drop(instance)
