"""Follows the newest records of a keyed topic."""

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

# One waiting read is answered at once when a record comes; the store allows 30 s.
READ_WAIT_MS = 25_000
# Waits after a failed call, doubled up to the greatest, each with jitter.
BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 1.5

log = get_logger("store")


class TopicWatcher:
    """Reads a keyed topic in full once, then as it changes.

    `pause_s` is the least time between two reads: records that come close together
    are taken with one call.
    """

    __slots__ = (
        "_failing",
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
        self._failing = False
        self.last_answer_at: float | None = None

    async def run(self) -> None:
        """Follow the topic for as long as the process runs."""
        loop = asyncio.get_running_loop()
        backoff_s = BACKOFF_MIN_S
        while True:
            try:
                await self._read_once()
                self._note_answer(now=loop.time())
                backoff_s = BACKOFF_MIN_S
                wait_s = self._pause_s
            except StoreGapError as error:
                log.warning("topic %s: %s; reading it anew", self._topic, error)
                self._offset = None
                wait_s = self._pause_s
            except StoreError as error:
                self._note_failure(error)
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
                    "topic %s offset %d skipped: %s", self._topic, offset, error
                )
            else:
                self._on_record(item)
        self._offset = page.next_offset

    def _note_answer(self, *, now: float) -> None:
        self.last_answer_at = now
        if self._failing:
            self._failing = False
            log.info("topic %s: the store answers again", self._topic)

    def _note_failure(self, error: StoreError) -> None:
        if not self._failing:
            self._failing = True
            log.warning("topic %s: the store failed: %s", self._topic, error)
