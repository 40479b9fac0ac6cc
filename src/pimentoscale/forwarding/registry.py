"""Reads and writes what nodes share in the store: members and caller routes.

What a node acknowledges about its upstream's end must bind its next start as well, so
an acknowledgement waits until the record is in the store or held by other nodes.

Caller routes are kept there since a node that starts under heavy load could not
identify them by itself: its target is never idle.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable

from result import Err, Ok

from pimentoscale.forwarding.copies import RecordCopies, find_newest
from pimentoscale.forwarding.links import Links
from pimentoscale.forwarding.restoration import Restoration
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
from pimentoscale.store import (
    KeyedRecord,
    Position,
    RecordStore,
    StoreError,
    TopicReplica,
    format_position,
)

# The length of a key is encoded in one byte.
MAX_KEY_BYTES = 255
RETRY_MIN_S = 0.1
RETRY_MAX_S = 1.0
# The upstream takes an acknowledgement for one only within a second.
SECURE_TIMEOUT_S = 0.9
# The store answers in up to 0.25 s when it is slow. Without its answer by then, copies
# at other nodes are enough.
STORE_WAIT_S = 0.5
# With the record in the store, copies at other nodes are awaited for this long: the
# store may return from a copy that does not have it.
COPIES_WAIT_S = 0.4

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
        copies: RecordCopies,
        restoration: Restoration,
        views: NodeViews,
        rng: random.Random,
    ) -> None:
        self._state = state
        self._store = store
        self._topic = topic
        self._target = target
        self._links = links
        self._copies = copies
        self._restoration = restoration
        self._views = views
        self._rng = rng
        self._changed = asyncio.Event()
        self._recovered = asyncio.Event()
        # Told whether the next write of this node's record has succeeded.
        self._waiters: list[asyncio.Future[bool]] = []
        # The last record that other nodes were asked to hold, and the task of that.
        self._copied: Member | None = None
        self._copying: asyncio.Task[bool] | None = None
        self._stored_routes: set[str] = set()
        # Earliest time of the next write, after the store has lost records.
        self._resume_at = 0.0
        self.on_caller_route: Callable[[str], None] | None = None
        self.on_written: Callable[[], None] | None = None
        # The last record of this node, which its end has to follow.
        self._own: Member | None = None
        # The newest record of this node that is known to be in the store.
        self._stored: Member | None = None
        # The newest one from before its start.
        self.former: Member | None = None
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
                self._apply_stored(member, record, now=now)
                return
            case Ok(member):
                reason = f"it names {member.instance!r}"
            case Err(error):
                reason = error
        log.warning(
            "invalid member record of %r at %s skipped: %s",
            record.key,
            format_position(record.position),
            reason,
        )
        if is_own and self.make_own_member() is not None:
            # Nodes that start later would not learn of this one.
            self._changed.set()

    async def publish(self) -> None:
        """Write this node's record after each change; retry until the store has it.

        Nothing is written before the former record is known, which would be lost.
        """
        await self._recovered.wait()
        delay_s = RETRY_MIN_S
        while True:
            await self._changed.wait()
            if not self._waiters:
                await self._await_turn()
            self._changed.clear()
            waiters, self._waiters = self._waiters, []
            member = self.make_own_member()
            is_written = False
            try:
                is_written = member is None or await self._try_put(member)
            except Exception as error:
                # A later record of this node can still be written.
                log.error("own member record not written", exc_info=error)
                delay_s = RETRY_MAX_S
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(is_written)
            if is_written:
                delay_s = RETRY_MIN_S
                continue
            await self._wait_for_change(delay_s * self._rng.uniform(0.5, 1.5))
            delay_s = min(RETRY_MAX_S, 2 * delay_s)
            self._changed.set()

    def complete_recovery(self, former: Member | None, *, now: float) -> None:
        """Apply this node's record from before its start, and publish later ones."""
        if former is not None:
            self.apply_former(former, now=now)
        self._recovered.set()

    def apply_former(self, member: Member, *, now: float) -> None:
        """Apply a record of this node from before its start."""
        if member.incarnation == self._state.incarnation:
            return
        former = find_newest((self.former, member)) or member
        self.former = former
        self._target.set_former_start(former.upstream, now=now)
        if member.state is MemberState.ALIVE:
            if self._target.registration.has_ended(former.upstream):
                # It ended before this node knew which start that was.
                self._changed.set()
            return
        self._target.set_announcement_floor(
            member.sequence, left_start=member.upstream, now=now
        )
        is_stored = self._stored is not None and (
            self._stored.upstream_order >= member.upstream_order
        )
        if not is_stored and self._own is None:
            # The former process was ended before it could write this.
            self._own = member
            self._changed.set()

    async def secure_departure(self) -> bool:
        """Return whether the end of the upstream is kept if this process ends.

        It is once the store has the record, or enough other nodes hold it. Both are
        awaited for a while: either may forget it. Return False if neither is so in
        `SECURE_TIMEOUT_S`.
        """
        try:
            async with asyncio.timeout(SECURE_TIMEOUT_S):
                await self._recovered.wait()
                record = self.make_own_member()
                if record is None or record.state is MemberState.ALIVE:
                    return True
                copying = self._start_copying(record)
                is_stored = await self._is_stored(record)
                if not is_stored:
                    return await asyncio.shield(copying)
                await asyncio.wait({copying}, timeout=COPIES_WAIT_S)
                return True
        except TimeoutError:
            return False

    async def _is_stored(self, record: Member) -> bool:
        """Return whether the store has a record; write it now if not."""
        if record == self._stored:
            return True
        waiter: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        self._changed.set()
        await asyncio.wait({waiter}, timeout=STORE_WAIT_S)
        return waiter.done() and waiter.result()

    def _start_copying(self, record: Member) -> asyncio.Task[bool]:
        """Have other nodes hold a record; return the task, which may have ended."""
        copying = self._copying
        if copying is not None and self._copied == record:
            has_failed = copying.done() and not copying.result()
            if not has_failed:
                return copying
        self._copied = record
        self._copying = asyncio.create_task(
            self._copies.spread(record, timeout_s=SECURE_TIMEOUT_S)
        )
        return self._copying

    def restore_lost(self, replica: TopicReplica, *, now: float) -> list[str]:
        """Write this node's record again if the store has lost it.

        Return the caller routes that it has lost too.
        """
        key = self._state.settings.instance.encode()
        self._resume_at = now + self._restoration.choose_delay_s()
        if self.make_own_member() is not None and replica.find(key) is None:
            log.info("own member record lost by the store; writing it again")
            self._stored = None
            self._changed.set()
        lost = [
            key.removeprefix(ROUTE_KEY_PREFIX).decode("utf-8", "replace")
            for key in replica.list_lost_keys()
            if key.startswith(ROUTE_KEY_PREFIX)
        ]
        self._stored_routes.difference_update(lost)
        return lost

    async def _await_turn(self) -> None:
        """Wait until this node may write again after the store has lost records."""
        delay_s = self._resume_at - asyncio.get_running_loop().time()
        if delay_s > 0:
            await asyncio.sleep(delay_s)

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
        last = self._own or self._find_ended_former()
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
            sequence=max(
                self._target.registration.changed, last.sequence if last else 0
            ),
            state=state,
            zone=settings.zone,
            service=current.service if current else last.service if last else "",
            slots=current.slots if current else 1,
            http=settings.outgoing,
            stream=settings.stream,
            upstream=current.start if current else last.upstream if last else "",
        )

    def _find_ended_former(self) -> Member | None:
        """Return the former record if its upstream has ended since."""
        former = self.former
        if former and self._target.registration.has_ended(former.upstream):
            return former
        return None

    async def _try_put(self, member: Member) -> bool:
        try:
            await self._store.put(
                topic=self._topic,
                key=member.instance.encode(),
                value=encode_member(member),
            )
        except StoreError as error:
            log.info("own member record not written, will retry: %s", error)
            return False
        self._stored = member
        log.info("own member record written: state=%s", member.state.value)
        if self.on_written is not None:
            self.on_written()
        return True

    async def _wait_for_change(self, timeout_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()

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
            self._apply(member, position=None, now=now)
            self._changed.set()
            self._start_copying(member)

    def _apply_stored(self, member: Member, record: KeyedRecord, *, now: float) -> None:
        """Apply the record of a member that the store has."""
        if member.instance == self._state.settings.instance:
            self._check_own_record(member, position=record.position)
        elif not (record.crosses_era and self._restoration.knows_later(member)):
            self._apply(member, position=record.position, now=now)

    def _apply(self, member: Member, *, position: Position | None, now: float) -> None:
        own = self._state.settings.instance
        if member.instance != own and member.state is not MemberState.ALIVE:
            self._copies.hold(member)
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
                "member %s: state=%s service=%s zone=%s position=%s",
                member.instance,
                member.state.value,
                member.service,
                member.zone,
                format_position(position) if position else "own",
            )
        if member.instance != own:
            self._links.update_member(member, now=now)

    def _check_own_record(self, member: Member, *, position: Position) -> None:
        """Write this node's record again if the newest one in the store differs.

        The store may complete a write seconds after its response was lost, and so put
        an older record after a newer one.
        """
        self._stored = member
        self.apply_former(member, now=asyncio.get_running_loop().time())
        current = self.make_own_member()
        if current is not None and member != current:
            log.info(
                "own member record at %s is outdated; writing it again",
                format_position(position),
            )
            self._changed.set()

    def _remove(self, instance: str) -> None:
        if self._state.members.pop(instance, None) is not None:
            log.info("member %s removed", instance)
        self._views.remove(instance)
        if instance != self._state.settings.instance:
            self._links.remove_member(instance)
