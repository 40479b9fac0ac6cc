"""Watches a keyed topic of the store for new records.

A read waits at the store for records, and a store that was away may never answer it. So
an answer that is overdue, or that another reader lacks, leads to a check: a read that
does not wait, on a connection of its own if the other one still waits.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

from pimentoscale.logs import get_logger
from pimentoscale.store.failed_reads import FailedReads
from pimentoscale.store.interface import (
    KeyedRecord,
    Position,
    RecordPage,
    RecordStore,
    StoreError,
    StoreGapError,
    format_position,
)
from pimentoscale.store.replica import TopicReplica
from pimentoscale.suspension import read_boot_time

# Delay after a failed call: doubled up to the maximum, with jitter.
BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 0.4
# A read that waited for records is checked on if its answer is later than this. A slow
# store answers in 0.25 s.
OVERDUE_S = 0.35
# Other readers may ask for checks at most this often.
CHECK_PERIOD_S = 1.0
# Pause before the read that confirms an era.
ERA_CHECK_PAUSE_S = 0.1

log = get_logger("store")

RecordsReceiver = Callable[[TopicReplica, Iterable[KeyedRecord], str, Position], None]


class TopicWatcher:
    """Reads the newest record of each key, then every later record.

    It reads only while `may_read` is set. A call waits up to `wait_ms` for a record.
    `pause_s` is the minimum delay between two reads: records that are appended within
    it are fetched by one call. `on_records` gets the records read and the position that
    follows them, to which it advances the replica, and `on_result` whether a call
    succeeded, and when. `on_doubt` is called when an answer is overdue,
    and when the store answers again, and `on_confirmed` with a moment on the boot-time
    clock at which the store had no record that was not applied. `get_phase` returns
    the part of a wait, from 0 to 1, by which the waits of this reader end before those
    of others.
    """

    __slots__ = (
        "_checked_at",
        "_get_phase",
        "_has_gap",
        "_has_phase",
        "_is_checking",
        "_may_read",
        "_on_confirmed",
        "_on_doubt",
        "_on_records",
        "_on_result",
        "_pause_s",
        "_replica",
        "_rng",
        "_scope",
        "_start",
        "_store",
        "_wait_ms",
        "_woken",
        "failed_reads",
        "last_answer_at",
    )

    def __init__(
        self,
        *,
        store: RecordStore,
        replica: TopicReplica,
        may_read: asyncio.Event,
        on_records: RecordsReceiver,
        on_result: Callable[[bool, float], None],
        wait_ms: int,
        pause_s: float,
        rng: random.Random,
        on_doubt: Callable[["TopicWatcher"], None] = lambda watcher: None,
        on_confirmed: Callable[[float], None] = lambda at: None,
        get_phase: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._store = store
        self._replica = replica
        self._may_read = may_read
        self._on_records = on_records
        self._on_result = on_result
        self._on_doubt = on_doubt
        self._on_confirmed = on_confirmed
        self._get_phase = get_phase
        self._wait_ms = wait_ms
        self._pause_s = pause_s
        self._rng = rng
        self.failed_reads = FailedReads(topic=replica.topic)
        # Set if the next read does not wait, and if the one after it waits for less.
        self._is_checking = True
        self._has_phase = False
        # Set if the newest records have to be read again.
        self._has_gap = False
        # Where the next read begins if not at the replica's next position.
        self._start: Position | None = None
        self._checked_at = -CHECK_PERIOD_S
        self._woken = asyncio.Event()
        # Ends the read in progress.
        self._scope: asyncio.Timeout | None = None
        self.last_answer_at: float | None = None

    @property
    def topic(self) -> str:
        """Return the name of the topic."""
        return self._replica.topic

    @property
    def next_offset(self) -> int | None:
        """Return the offset up to which records were received; None before any."""
        position = self._replica.next_position
        return None if position is None else position.offset

    @property
    def unapplied(self) -> int:
        """Return how many records were received and could not be applied."""
        return len(self._replica.unapplied)

    @property
    def failures(self) -> int:
        """Return how often a record could not be applied."""
        return self._replica.unapplied.failures

    def read_again(self, start: Position, *, now: float) -> None:
        """Read the records from an earlier position again, now."""
        self._start = start
        self._read_now(now)

    def check(self, *, now: float) -> None:
        """Ask the store now: a read in progress may never be answered."""
        if now - self._checked_at < CHECK_PERIOD_S:
            return
        self._checked_at = now
        self._read_now(now)

    def set_wait_ms(self, wait_ms: int, *, now: float) -> None:
        """Set how long a read waits; one in progress that waits longer is ended."""
        if wait_ms < self._wait_ms:
            self._read_now(now)
        self._wait_ms = wait_ms

    def _read_now(self, now: float) -> None:
        """End the read in progress or the pause, for a read that does not wait."""
        self._is_checking = True
        self._woken.set()
        if self._scope is not None:
            self._scope.reschedule(now)

    async def run(self) -> None:
        """Watch the topic until the task is cancelled."""
        loop = asyncio.get_running_loop()
        backoff_s = BACKOFF_MIN_S
        while True:
            if not self._may_read.is_set():
                await self._may_read.wait()
                # The store may have been silent before.
                self._is_checking = True
            began = loop.time()
            try:
                await self._read_within_scope()
                self._handle_success(began=began, now=loop.time())
                backoff_s = BACKOFF_MIN_S
                wait_s = self._pause_s
                if self._store.has_unconfirmed_era:
                    self._is_checking = True
                    wait_s = ERA_CHECK_PAUSE_S
            except StoreGapError as error:
                log.warning(
                    "topic %s: %s; reading the newest records again",
                    self._replica.topic,
                    error,
                )
                self._has_gap = True
                wait_s = self._pause_s
            except StoreError as error:
                wait_s = backoff_s * self._rng.uniform(0.5, 1.5)
                backoff_s = min(BACKOFF_MAX_S, 2 * backoff_s)
                now = loop.time()
                self._on_result(False, now)
                self.failed_reads.add(error, began=began, retry_s=wait_s, now=now)
            except TimeoutError:
                self._handle_end_of_read(began=began, now=loop.time())
                wait_s = 0.0
            except Exception as error:
                # Nothing else reads the topic: the watch must go on.
                self.failed_reads.add_unexpected(error)
                self._on_result(False, loop.time())
                # The same page may fail again; the newest records come another way.
                self._has_gap = True
                wait_s = BACKOFF_MAX_S
            await self._pause(wait_s)

    async def _read_within_scope(self) -> None:
        """Read once; raise `TimeoutError` if it is overdue or a check is due."""
        loop = asyncio.get_running_loop()
        wait_ms = self._choose_wait_ms()
        self._is_checking = False
        self._woken.clear()
        ends_at = loop.time() + wait_ms / 1000 + OVERDUE_S if wait_ms else None
        try:
            async with asyncio.timeout_at(ends_at) as self._scope:
                await self._read_once(wait_ms)
        finally:
            self._scope = None

    def _choose_wait_ms(self) -> int:
        """Return how long the next read waits for records."""
        if self._is_checking or self.failed_reads.count:
            self._has_phase = False
            return 0
        if self._has_phase:
            return self._wait_ms
        self._has_phase = True
        return int(self._wait_ms * (1 - self._get_phase()))

    async def _pause(self, wait_s: float) -> None:
        """Wait until the next read, or until a check is due."""
        if wait_s > 0:
            try:
                async with asyncio.timeout(wait_s):
                    await self._woken.wait()
            except TimeoutError:
                return

    async def _read_once(self, wait_ms: int) -> None:
        began = read_boot_time()
        start, self._start = self._start or self._replica.next_position, None
        if start is None or self._has_gap or start.era < self._store.era:
            await self._read_newest(began)
            return
        page = await self._store.read(
            topic=self._replica.topic, offset=start.offset, wait_ms=wait_ms
        )
        if page.era > start.era:
            # The offset was one of an earlier era.
            self._has_gap = True
            return
        self._check_era(page.era)
        if not page.records and not page.is_complete:
            self._has_gap = True
            raise StoreError(f"no record in the page from offset {start.offset} on")
        if page.records:
            # All readers get a record at the same time, and start their waits then.
            self._has_phase = False
        next_position = Position(era=page.era, offset=page.next_offset)
        self._on_records(self._replica, self._decode(page), "store", next_position)
        if page.is_complete:
            # The store has waited for records if it found none.
            has_waited = not page.records and read_boot_time() - began >= wait_ms / 1000
            self._confirm(began + wait_ms / 1000 if has_waited else began)

    async def _read_newest(self, began: float) -> None:
        """Read the newest record of each key; `began` is on the boot-time clock."""
        newest = await self._store.read_newest(topic=self._replica.topic)
        self._check_era(newest.next_position.era)
        self._on_records(self._replica, newest.items, "store", newest.next_position)
        self._replica.unapplied.retain({item.position for item in newest.items})
        self._has_gap = False
        self._confirm(began)

    def _decode(self, page: RecordPage) -> list[KeyedRecord]:
        """Return the records of a page without those that can't be read."""
        items: list[KeyedRecord] = []
        for index, data in enumerate(page.records):
            position = Position(era=page.era, offset=page.first_offset + index)
            try:
                items.append(self._store.decode_keyed(data, position=position))
            except StoreError as error:
                log.warning(
                    "topic %s: skipped record at %s: %s",
                    self._replica.topic,
                    format_position(position),
                    error,
                )
        return items

    def _confirm(self, at: float) -> None:
        if not self._store.has_unconfirmed_era and not self._replica.unapplied:
            self._on_confirmed(at)

    def _check_era(self, era: int) -> None:
        """Raise `StoreError` if other nodes have told of a later era."""
        known = self._replica.next_position
        if known is not None and era < known.era:
            raise StoreError(f"answer of era {era}, but era {known.era} is known")

    def _handle_success(self, *, began: float, now: float) -> None:
        self.last_answer_at = now
        self._on_result(True, now)
        if self.failed_reads.end(began=began, now=now):
            self._on_doubt(self)

    def _handle_end_of_read(self, *, began: float, now: float) -> None:
        """Handle the end of a read without an answer, which a check follows."""
        is_overdue = not self._is_checking
        self._is_checking = True
        log.info(
            "topic %s: read given up after %.2f s for a check of the store: %s",
            self._replica.topic,
            now - began,
            "no answer" if is_overdue else "it is due",
        )
        if is_overdue:
            self._on_doubt(self)
