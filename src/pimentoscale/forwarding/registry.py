"""Reads and writes what nodes share in the store: members and caller routes.

Caller routes are kept there since a node that starts under heavy load could not
identify them by itself: its target is never idle.
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

# The length of a key is encoded in one byte.
MAX_KEY_BYTES = 255
RETRY_MIN_S = 0.1
RETRY_MAX_S = 1.0

# The key of a member is the name of its instance.
ROUTE_KEY_PREFIX = b"callers-route/"
# Many nodes identify a route at the same time. Each waits a random time up to this, so
# that the first write makes the others unnecessary.
MAX_ROUTE_DELAY_S = 1.0

log = get_logger("members")


class MemberRegistry:
    """Applies the members' records and publishes that of this node.

    Each node writes only its own member record, so no two writers conflict.
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
        rng: random.Random,
    ) -> None:
        self._state = state
        self._store = store
        self._topic = topic
        self._target = target
        self._links = links
        self._views = views
        self._rng = rng
        self._changed = asyncio.Event()
        self._stored_routes: set[str] = set()
        self.on_caller_route: Callable[[str], None] | None = None
        self.on_written: Callable[[], None] | None = None
        # The last record of this node, which its end has to follow.
        self._own: Member | None = None
        target.on_change = self._on_target_change

    def apply_record(self, record: KeyedRecord) -> None:
        """Apply a record of the store's topic: a member or a caller route."""
        now = asyncio.get_running_loop().time()
        if record.key.startswith(ROUTE_KEY_PREFIX):
            self._apply_route(record.key.removeprefix(ROUTE_KEY_PREFIX))
            return
        is_own = record.key == self._state.settings.instance.encode()
        if not record.value and not is_own:
            self._remove(record.key.decode("utf-8", "replace"))
            return
        match decode_member(record.value):
            case Ok(member) if member.instance.encode() == record.key:
                self._apply(member, offset=record.offset, now=now)
                return
            case Ok(member):
                reason = f"it names {member.instance!r}"
            case Err(error):
                reason = error
        log.warning(
            "invalid member record of %r at offset %d skipped: %s",
            record.key,
            record.offset,
            reason,
        )
        if is_own and self.make_own_member() is not None:
            # Nodes that start later would not learn of this one.
            self._changed.set()

    async def publish(self) -> None:
        """Write this node's record after each change; retry until the store has it."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            member = self.make_own_member()
            if member is None:
                continue
            try:
                if not await self._try_put(member):
                    self._changed.set()
            except Exception as error:
                # A later record of this node can still be written.
                log.error("own member record not written", exc_info=error)

    async def store_route(self, route: str) -> None:
        """Write a caller route to the store, unless another node has done so."""
        await asyncio.sleep(self._rng.uniform(0, MAX_ROUTE_DELAY_S))
        if route in self._stored_routes:
            return
        key = ROUTE_KEY_PREFIX + route.encode()
        if len(key) > MAX_KEY_BYTES:
            return
        try:
            await self._store.put(topic=self._topic, key=key, value=b"1")
        except StoreError as error:
            # Other nodes get it on their streams; only a starting one misses it.
            log.info("caller route %s not written to the store: %s", route, error)

    def make_own_member(self) -> Member | None:
        """Return this node's record, or None if it has no upstream and is no member."""
        settings = self._state.settings
        current = self._target.registration.current
        last = self._own
        if current is None and last is None:
            return None
        state = MemberState.ALIVE
        if current is None:
            state = MemberState.GONE
        elif current.is_draining:
            state = MemberState.DRAINING
        return Member(
            instance=settings.instance,
            incarnation=self._state.incarnation,
            # Tells a restarted node which announcements are older than this record.
            sequence=self._target.registration.changed,
            state=state,
            zone=settings.zone,
            service=current.service if current else last.service if last else "",
            slots=current.slots if current else 1,
            http=settings.outgoing,
            stream=settings.stream,
            upstream=current.start if current else last.upstream if last else "",
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
                log.info("own member record not written, will retry: %s", error)
                await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.5))
                delay_s = min(RETRY_MAX_S, 2 * delay_s)
                if self._changed.is_set():
                    return False
            else:
                log.info("own member record written: state=%s", member.state.value)
                if self.on_written is not None:
                    self.on_written()
                return True

    def _apply_route(self, key: bytes) -> None:
        route = key.decode("utf-8", "replace")
        self._stored_routes.add(route)
        if self.on_caller_route is not None:
            self.on_caller_route(route)

    def _on_target_change(self) -> None:
        now = asyncio.get_running_loop().time()
        member = self.make_own_member()
        if member is not None:
            self._own = member
            self._apply(member, offset=-1, now=now)
            self._changed.set()

    def _apply(self, member: Member, *, offset: int, now: float) -> None:
        own = self._state.settings.instance
        if member.instance == own and offset >= 0:
            self._check_own_record(member, offset=offset)
            return
        if member.state is MemberState.GONE:
            self._remove(member.instance)
            return
        previous = self._state.members.get(member.instance)
        self._state.members[member.instance] = member
        if member.state is MemberState.ALIVE:
            self._views.put(member)
        else:
            self._views.remove(member.instance)
        if previous != member:
            log.info(
                "member %s: state=%s service=%s zone=%s offset=%d",
                member.instance,
                member.state.value,
                member.service,
                member.zone,
                offset,
            )
        if member.instance != own:
            self._links.update_member(member, now=now)

    def _check_own_record(self, member: Member, *, offset: int) -> None:
        """Write this node's record again if the newest one in the store differs.

        The store may complete a write seconds after its response was lost, and so put
        an older record after a newer one.
        """
        if (
            member.incarnation != self._state.incarnation
            and member.state is not MemberState.ALIVE
        ):
            now = asyncio.get_running_loop().time()
            self._target.set_announcement_floor(
                member.sequence, left_start=member.upstream, now=now
            )
        current = self.make_own_member()
        if current is not None and member != current:
            log.info(
                "own member record at offset %d is outdated; writing it again", offset
            )
            self._changed.set()

    def _remove(self, instance: str) -> None:
        if self._state.members.pop(instance, None) is not None:
            log.info("member %s removed", instance)
        self._views.remove(instance)
        if instance != self._state.settings.instance:
            self._links.remove_member(instance)
