"""The tasks of a node that read the platform's log and append to it."""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from result import Err, Ok

from pimentoscale.configuration import (
    Consent,
    Lapse,
    Record,
    encode_record,
)
from pimentoscale.distribution.tree import Distribution
from pimentoscale.logs import get_logger
from pimentoscale.membership import (
    Member,
    MemberState,
    decode_roster,
    encode_roster,
)
from pimentoscale.node.state import NodeState
from pimentoscale.peering.overlay import Overlay
from pimentoscale.store import (
    RecordPage,
    RecordStore,
    StoreError,
    StoreGapError,
)
from pimentoscale.stream import Peer
from pimentoscale.timeline import EventName

CONFIGURATION_TOPIC = "configuration"
MEMBERSHIP_TOPIC = "membership"
READ_WAIT_MS = 1000
NOT_READING_POLL_S = 0.5
RETRY_DELAY_S = 0.5
ORPHAN_TIMEOUT_S = 1.0
CONSENT_TIMEOUT_S = 2.5
SNAPSHOTS_PER_RETENTION = 4
SNAPSHOT_EVERY_RECORDS = 500

log = get_logger("log")


@dataclass(slots=True, kw_only=True)
class _Decision:
    """When a patch was first seen pending, and when a record on it was last sent."""

    patch: str = ""
    pending_since: float = 0.0
    appended_at: float = -RETRY_DELAY_S


class LogTasks:
    """Appends to the log, and reads it while no parent sends its records.

    `store_failures` counts failed calls to the store.
    """

    def __init__(
        self,
        *,
        state: NodeState,
        store: RecordStore,
        overlay: Overlay,
        distribution: Distribution,
        rng: random.Random,
    ) -> None:
        self._state = state
        self._store = store
        self._overlay = overlay
        self._distribution = distribution
        self._rng = rng
        self._orphan_since: float | None = 0.0
        self._next_member_offset = 0
        self._has_read_members = False
        self._decision = _Decision()
        self._own_changed = asyncio.Event()
        self.store_failures = 0
        overlay.own_watchers.append(self._handle_own_change)

    def list_tasks(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the tasks that run for the lifetime of the process."""
        return [
            self.read_configuration,
            self.read_members,
            self.announce,
            self.decide_patches,
            self.write_snapshots,
        ]

    async def read_configuration(self) -> None:
        """Apply the configuration topic while this node reads the log itself."""
        while True:
            if self._is_log_reader():
                await self._run_step(self._read_configuration_page)
            else:
                await asyncio.sleep(NOT_READING_POLL_S)

    async def read_members(self) -> None:
        """Apply the membership topic while this node reads the log itself."""
        while True:
            if self._is_log_reader():
                await self._run_step(self._read_member_page)
            else:
                await asyncio.sleep(NOT_READING_POLL_S)

    async def announce(self) -> None:
        """Append each announcement of this node, and retry until it succeeds."""
        while True:
            await self._own_changed.wait()
            self._own_changed.clear()
            if not await self._run_step(self._append_own_member):
                self._own_changed.set()

    async def decide_patches(self) -> None:
        """As the zone's root, append a consent to the pending patch or its lapse."""
        while True:
            changed = self._distribution.changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(RETRY_DELAY_S):
                    await changed.wait()
            changed.clear()
            if self._overlay.is_root and self._has_read_members:
                await self._run_step(self._append_decision)

    async def write_snapshots(self) -> None:
        """As the zone's root, append members and snapshots before the log drops them.

        One snapshot serves all zones: a root that reads another root's snapshot
        while it waits appends none.
        """
        retention_s = self._state.settings.log_retention_s
        while True:
            jitter = 0.5 + self._rng.random()
            seen = self._state.replica.snapshots_seen
            await asyncio.sleep(jitter * retention_s / SNAPSHOTS_PER_RETENTION)
            if not self._overlay.is_root:
                continue
            await self._run_step(self._append_zone_members)
            if self._state.version and seen == self._state.replica.snapshots_seen:
                await self._run_step(self._append_snapshot)

    def _is_log_reader(self) -> bool:
        """Return whether this node must read the log itself.

        A root always does; other nodes do once their parent has been unreachable
        for `ORPHAN_TIMEOUT_S`.
        """
        now = asyncio.get_running_loop().time()
        parent: Peer | None = self._overlay.get_parent_peer()
        if self._overlay.is_root or parent is None:
            return True
        if parent.is_up:
            self._orphan_since = None
            return False
        if self._orphan_since is None:
            self._orphan_since = now
        return now - self._orphan_since >= ORPHAN_TIMEOUT_S

    async def _read_configuration_page(self) -> None:
        requested_at = asyncio.get_running_loop().time()
        offset = self._state.replica.fold.next_offset
        page = await self._read(CONFIGURATION_TOPIC, offset)
        is_applied = self._distribution.apply_page(
            first=page.first_offset, records=page.records, requested_at=requested_at
        )
        if not is_applied:
            log.warning(
                "records before offset %d are gone and no snapshot replaces them",
                page.first_offset,
            )
            await asyncio.sleep(RETRY_DELAY_S)

    async def _read_member_page(self) -> None:
        page = await self._read(MEMBERSHIP_TOPIC, self._next_member_offset)
        for data in page.records:
            match decode_roster(data):
                case Ok(members):
                    for member in members:
                        self._apply_member(member)
                case Err(reason):
                    log.warning("invalid membership record skipped: %s", reason)
        self._next_member_offset = max(
            self._next_member_offset, page.first_offset + len(page.records)
        )
        self._has_read_members = self._has_read_members or not page.records

    def _apply_member(self, member: Member) -> None:
        """Apply an announcement; one that raises comes again with the next roster."""
        try:
            self._overlay.apply_member(member)
        except Exception as error:
            self._state.metrics.count("bad_announcements")
            log.error("member %s not applied", member.instance, exc_info=error)

    async def _read(self, topic: str, offset: int) -> RecordPage:
        """Return records from an offset on, or from the first that is retained."""
        try:
            return await self._store.read(
                topic=topic, offset=offset, wait_ms=READ_WAIT_MS
            )
        except StoreGapError as gap:
            return await self._store.read(
                topic=topic, offset=gap.first_offset, wait_ms=0
            )

    async def _append_own_member(self) -> None:
        await self._append_members([self._state.own])

    async def _append_members(self, members: list[Member]) -> None:
        data = encode_roster(members)
        await self._store.append(topic=MEMBERSHIP_TOPIC, records=[data])

    async def _append_snapshot(self) -> None:
        fold = self._state.replica.fold
        await self._append(fold.make_snapshot(instance=self._state.identity.instance))

    async def _append_decision(self) -> None:
        """Append the consent once the zone holds the patch, or a lapse if it expired.

        A pending patch expires after `CONSENT_TIMEOUT_S`.
        """
        pending = self._state.replica.fold.pending
        if pending is None:
            return
        now = asyncio.get_running_loop().time()
        patch = pending.record.id
        if self._decision.patch != patch:
            self._decision = _Decision(patch=patch, pending_since=now)
        if now - self._decision.appended_at < RETRY_DELAY_S:
            return
        instance = self._state.identity.instance
        if now - self._decision.pending_since > CONSENT_TIMEOUT_S:
            self._decision.appended_at = now
            await self._append(Lapse(patch=patch, instance=instance))
        elif self._may_consent(pending.missing, pending.offset):
            self._decision.appended_at = now
            self._state.record(EventName.CONSENT_GIVEN, detail=patch)
            zone = self._state.zone
            await self._append(Consent(patch=patch, zone=zone, instance=instance))

    def _may_consent(self, missing: list[str], offset: int) -> bool:
        is_held = self._distribution.get_subtree_offset() > offset
        return is_held and self._state.zone in missing

    async def _append(self, record: Record) -> None:
        data = encode_record(record)
        await self._store.append(topic=CONFIGURATION_TOPIC, records=[data])

    async def _append_zone_members(self) -> None:
        await self._append_members(self._list_zone_members())

    def _list_zone_members(self) -> list[Member]:
        return [
            member
            for member in self._state.directory
            if member.zone == self._state.zone and member.state is not MemberState.GONE
        ]

    def _handle_own_change(self, member: Member) -> None:
        self._own_changed.set()

    async def _run_step(self, step: Callable[[], Awaitable[None]]) -> bool:
        """Run one step; return False and wait for a while if it fails."""
        try:
            await step()
        except StoreError as error:
            self.store_failures += 1
            log.debug("call to the store failed: %s", error)
        except Exception as error:
            # The task of the step must go on.
            self._state.metrics.count("log_step_errors")
            log.error("step of the log tasks failed", exc_info=error)
        else:
            return True
        await asyncio.sleep(RETRY_DELAY_S * (1 + self._rng.random()))
        return False
