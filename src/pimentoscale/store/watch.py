"""Watches a keyed topic for new records."""

import asyncio
import random
from collections.abc import Callable

from pimentoscale.logs import get_logger
from pimentoscale.store.interface import (
    KeyedRecord,
    RecordStore,
    StoreError,
    StoreGapError,
)

# Long poll: the store answers as soon as there is a record, and allows at most 30 s.
READ_WAIT_MS = 25_000
# Delay after a failed call: doubled up to the maximum, with jitter.
BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 1.5

log = get_logger("store")


class TopicWatcher:
    """Reads the newest record of each key, then every later record.

    `pause_s` is the minimum delay between two reads: records that are appended within
    it are fetched by one call.
    """

    __slots__ = (
        "_is_failing",
        "_offset",
        "_on_record",
        "_pause_s",
        "_rng",
        "_store",
        "_topic",
        "last_answer_at",
    )

    def __init__(
        self,
        *,
        store: RecordStore,
        topic: str,
        on_record: Callable[[KeyedRecord], None],
        pause_s: float,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._topic = topic
        self._on_record = on_record
        self._pause_s = pause_s
        self._rng = rng
        self._offset: int | None = None
        self._is_failing = False
        self.last_answer_at: float | None = None

    async def run(self) -> None:
        """Watch the topic until the task is cancelled."""
        loop = asyncio.get_running_loop()
        backoff_s = BACKOFF_MIN_S
        while True:
            try:
                await self._read_once()
                self._handle_success(now=loop.time())
                backoff_s = BACKOFF_MIN_S
                wait_s = self._pause_s
            except StoreGapError as error:
                log.warning(
                    "topic %s: %s; reading the newest records again", self._topic, error
                )
                self._offset = None
                wait_s = self._pause_s
            except StoreError as error:
                self._handle_failure(error)
                wait_s = backoff_s * self._rng.uniform(0.5, 1.5)
                backoff_s = min(BACKOFF_MAX_S, 2 * backoff_s)
            if wait_s > 0:
                await asyncio.sleep(wait_s)

    async def _read_once(self) -> None:
        if self._offset is None:
            newest = await self._store.read_newest(topic=self._topic)
            for item in newest.items:
                self._on_record(item)
            self._offset = newest.next_offset
            return
        page = await self._store.read(
            topic=self._topic, offset=self._offset, wait_ms=READ_WAIT_MS
        )
        for index, data in enumerate(page.records):
            offset = page.first_offset + index
            try:
                item = self._store.decode_keyed(data, offset=offset)
            except StoreError as error:
                log.warning(
                    "topic %s: skipped record at offset %d: %s",
                    self._topic,
                    offset,
                    error,
                )
            else:
                self._on_record(item)
        self._offset = page.next_offset

    def _handle_success(self, *, now: float) -> None:
        self.last_answer_at = now
        if self._is_failing:
            self._is_failing = False
            log.info("topic %s: the store responds again", self._topic)

    def _handle_failure(self, error: StoreError) -> None:
        if not self._is_failing:
            self._is_failing = True
            log.warning(
                "topic %s: reading from the store failed, retrying: %s",
                self._topic,
                error,
            )
