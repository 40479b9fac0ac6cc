"""The failed reads of a topic in a row, and the log lines that tell of them."""

import logging

from pimentoscale.logs import get_logger
from pimentoscale.store.interface import StoreError

log = get_logger("store")


class FailedReads:
    """Counts the reads that have failed in a row.

    `errors` are the failures since the start that no client of the store expects.
    """

    __slots__ = ("_since", "_topic", "count", "errors")

    def __init__(self, *, topic: str) -> None:
        self._topic = topic
        self._since = 0.0
        self.count = 0
        self.errors = 0

    def end(self, *, began: float, now: float) -> bool:
        """Note a read that succeeded; return whether those before it had failed."""
        if not self.count:
            return False
        log.info(
            "topic %s: the store responds again: failed_reads=%d failing_s=%.2f "
            "read_s=%.2f",
            self._topic,
            self.count,
            now - self._since,
            now - began,
        )
        self.count = 0
        return True

    def add(
        self, error: StoreError, *, began: float, retry_s: float, now: float
    ) -> None:
        """Note a failed read, which is repeated after `retry_s`."""
        self.count += 1
        if self.count == 1:
            self._since = began
        # The first line tells of a lost dependency, the others when it was tried.
        log.log(
            logging.WARNING if self.count == 1 else logging.INFO,
            "topic %s: reading from the store failed, retrying: %s: "
            "failed_reads=%d read_s=%.2f retry_s=%.2f",
            self._topic,
            error,
            self.count,
            now - began,
            retry_s,
        )

    def add_unexpected(self, error: Exception) -> None:
        """Note an error that is not one of the store."""
        self.errors += 1
        log.error("topic %s: a read failed unexpectedly", self._topic, exc_info=error)
