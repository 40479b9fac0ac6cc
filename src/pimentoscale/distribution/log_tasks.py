"""The tasks of a node that read from and append to the platform's log."""

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

CONFIGURATION_STREAM = "configuration"
MEMBERSHIP_STREAM = "membership"
READ_WAIT_MS = 1000
IDLE_S = 0.5
RETRY_S = 0.5
ORPHAN_AFTER_S = 1.0
CONSENT_TIMEOUT_S = 2.5
SNAPSHOT_PART = 4
SNAPSHOT_EVERY_RECORDS = 500

log = get_logger("log")


@dataclass(slots=True, kw_only=True)
class _Asked:
    """What was last appended for the pending patch, and when."""

    patch: str = ""
    seen_at: float = 0.0
    appended_at: float = -RETRY_S


class LogTasks:
    """Reads the log where nobody else does it for this node, and appends to it."""

    def __init__(
        self,
        *,
        state: NodeState,
        client: RecordStore,
        overlay: Overlay,
        distribution: Distribution,
        source: random.Random,
    ) -> None:
        self._state = state
        self._client = client
        self._overlay = overlay
        self._distribution = distribution
        self._source = source
        self._orphan_since: float | None = 0.0
        self._next_member = 0
        self._has_members = False
        self._asked = _Asked()
        self._own_changed = asyncio.Event()
        self.read_failures = 0
        overlay.own_watchers.append(self._note_own)

    def list_tasks(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the tasks that run for as long as the process does."""
        return [
            self.read_configuration,
            self.read_members,
            self.announce,
            self.decide_patches,
            self.write_snapshots,
        ]

    async def read_configuration(self) -> None:
        """Fold the configuration stream while this node is one that reads it."""
        while True:
            if self._reads_log():
                await self._try(self._read_configuration_page)
            else:
                await asyncio.sleep(IDLE_S)

    async def read_members(self) -> None:
        """Take in the membership stream while this node is one that reads it."""
        while True:
            if self._reads_log():
                await self._try(self._read_member_page)
            else:
                await asyncio.sleep(IDLE_S)

    async def announce(self) -> None:
        """Append each announcement of this node itself until the log has it."""
        while True:
            await self._own_changed.wait()
            self._own_changed.clear()
            if not await self._try(self._append_own):
                self._own_changed.set()

    async def decide_patches(self) -> None:
        """As the zone's root, consent to a pending patch, or end its time."""
        while True:
            changed = self._distribution.changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), RETRY_S)
            changed.clear()
            if self._overlay.is_root and self._has_members:
                await self._try(self._append_decision)

    async def write_snapshots(self) -> None:
        """As the zone's root, renew what would expire in the log.

        One snapshot serves all zones: a root that has seen another's meanwhile
        writes none.
        """
        retention_s = self._state.settings.log_retention_s
        while True:
            part = 0.5 + self._source.random()
            seen = self._state.feed.snapshots_seen
            await asyncio.sleep(part * retention_s / SNAPSHOT_PART)
            if not self._overlay.is_root:
                continue
            await self._try(self._append_zone)
            if self._state.version and seen == self._state.feed.snapshots_seen:
                await self._try(self._append_snapshot)

    def _reads_log(self) -> bool:
        """Tell whether nobody else passes records on to this node."""
        now = asyncio.get_running_loop().time()
        parent: Peer | None = self._overlay.get_parent_peer()
        if self._overlay.is_root or parent is None:
            return True
        if parent.is_up:
            self._orphan_since = None
            return False
        if self._orphan_since is None:
            self._orphan_since = now
        return now - self._orphan_since >= ORPHAN_AFTER_S

    async def _read_configuration_page(self) -> None:
        asked_at = asyncio.get_running_loop().time()
        offset = self._state.feed.fold.next_offset
        page = await self._read(CONFIGURATION_STREAM, offset)
        is_whole = self._distribution.take_page(
            first=page.first_offset, records=page.records, asked_at=asked_at
        )
        if not is_whole:
            log.warning("records before %d are gone and no snapshot", page.first_offset)
            await asyncio.sleep(RETRY_S)

    async def _read_member_page(self) -> None:
        page = await self._read(MEMBERSHIP_STREAM, self._next_member)
        for data in page.records:
            match decode_roster(data):
                case Ok(members):
                    for member in members:
                        self._overlay.take_member(member)
                case Err(reason):
                    log.warning("membership record skipped: %s", reason)
        self._next_member = max(
            self._next_member, page.first_offset + len(page.records)
        )
        self._has_members = self._has_members or not page.records

    async def _read(self, topic: str, offset: int) -> RecordPage:
        """Return records from an offset on, or from the first that is kept."""
        try:
            return await self._client.read(
                topic=topic, offset=offset, wait_ms=READ_WAIT_MS
            )
        except StoreGapError as gap:
            return await self._client.read(
                topic=topic, offset=gap.first_offset, wait_ms=0
            )

    async def _append_own(self) -> None:
        await self._append_members([self._state.own])

    async def _append_members(self, members: list[Member]) -> None:
        data = encode_roster(members)
        await self._client.append(topic=MEMBERSHIP_STREAM, records=[data])

    async def _append_snapshot(self) -> None:
        fold = self._state.feed.fold
        await self._append(fold.make_snapshot(instance=self._state.identity.instance))

    async def _append_decision(self) -> None:
        """Append a consent once the zone holds the patch, or a lapse in the end."""
        pending = self._state.feed.fold.pending
        if pending is None:
            return
        now = asyncio.get_running_loop().time()
        patch = pending.record.id
        if self._asked.patch != patch:
            self._asked = _Asked(patch=patch, seen_at=now)
        if now - self._asked.appended_at < RETRY_S:
            return
        instance = self._state.identity.instance
        if now - self._asked.seen_at > CONSENT_TIMEOUT_S:
            self._asked.appended_at = now
            await self._append(Lapse(patch=patch, instance=instance))
        elif self._may_consent(pending.missing, pending.offset):
            self._asked.appended_at = now
            self._state.record(EventName.CONSENT_GIVEN, detail=patch)
            zone = self._state.zone
            await self._append(Consent(patch=patch, zone=zone, instance=instance))

    def _may_consent(self, missing: list[str], offset: int) -> bool:
        is_held = self._distribution.get_zone_held() > offset
        return is_held and self._state.zone in missing

    async def _append(self, record: Record) -> None:
        data = encode_record(record)
        await self._client.append(topic=CONFIGURATION_STREAM, records=[data])

    async def _append_zone(self) -> None:
        await self._append_members(self._list_zone())

    def _list_zone(self) -> list[Member]:
        return [
            member
            for member in self._state.directory
            if member.zone == self._state.zone and member.state is not MemberState.GONE
        ]

    def _note_own(self, member: Member) -> None:
        self._own_changed.set()

    async def _try(self, step: Callable[[], Awaitable[None]]) -> bool:
        """Take one step; after a failure of the log wait for a while."""
        try:
            await step()
        except StoreError as error:
            self.read_failures += 1
            log.debug("the log failed: %s", error)
            await asyncio.sleep(RETRY_S * (1 + self._source.random()))
            return False
        return True
