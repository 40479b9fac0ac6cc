"""Records of a topic that were received and could not be applied.

A record whose handler raises would be lost until a later one of its key comes, for all
nodes alike. So each is read again after a while, a bounded number of times; meanwhile
the other records go on.
"""

import logging
import math
from collections.abc import Collection

from pimentoscale.logs import get_logger
from pimentoscale.store.interface import KeyedRecord, Position, format_position

# Delay before a record is read again: doubled after each try. The first three come
# within the bound of two seconds on the use of a version.
RETRY_MIN_S = 0.2
MAX_TRIES = 8
MAX_LOGGED_KEY_BYTES = 64

log = get_logger("store")


class _Failure:
    """A record that was not applied; it is read again at `retry_at` if ever."""

    __slots__ = ("key", "retry_at", "tries")

    def __init__(self, *, key: bytes) -> None:
        self.key = key
        self.tries = 0
        self.retry_at = math.inf

    def schedule(self, *, now: float) -> None:
        """Count a try, and choose when the next one begins."""
        self.tries += 1
        is_last = self.tries >= MAX_TRIES
        delay_s = math.inf if is_last else RETRY_MIN_S * 2 ** (self.tries - 1)
        self.retry_at = now + delay_s


class UnappliedRecords:
    """Knows which records to read again, and when.

    `failures` counts the failed tries of all records since the start.
    """

    __slots__ = ("_by_position", "_topic", "failures")

    def __init__(self, *, topic: str) -> None:
        self._topic = topic
        self._by_position: dict[Position, _Failure] = {}
        self.failures = 0

    def __len__(self) -> int:
        return len(self._by_position)

    def __contains__(self, position: Position) -> bool:
        return position in self._by_position

    def add(
        self, record: KeyedRecord, error: Exception, *, source: str, now: float
    ) -> None:
        """Note that a record was not applied."""
        self.failures += 1
        failure = self._by_position.get(record.position)
        is_new = failure is None
        if failure is None:
            failure = _Failure(key=record.key)
            failure.schedule(now=now)
            self._by_position[record.position] = failure
        is_last = failure.retry_at == math.inf
        log.log(
            logging.ERROR if is_new or is_last else logging.INFO,
            "topic %s: record of %r at %s from %s %s: tries=%d retry_s=%s",
            self._topic,
            bytes(record.key[:MAX_LOGGED_KEY_BYTES]),
            format_position(record.position),
            source,
            "not applied" if is_new else f"failed again: {error!r}",
            failure.tries,
            "never" if is_last else f"{failure.retry_at - now:.2f}",
            exc_info=error if is_new else None,
        )

    def take_due(self, *, now: float) -> Position | None:
        """Return the position from which to read now, None if nothing is due.

        It is that of the first record that is due; a try is counted for all of those.
        """
        due = [
            position
            for position, failure in self._by_position.items()
            if now >= failure.retry_at
        ]
        for position in due:
            self._by_position[position].schedule(now=now)
        return min(due, default=None)

    def discard(self, position: Position) -> None:
        """Forget a record that was applied, or that a later one has replaced."""
        self._by_position.pop(position, None)

    def discard_key(self, key: bytes) -> None:
        """Forget the records of a key, of which a later one has come."""
        if self._by_position:
            kept = {
                position: failure
                for position, failure in self._by_position.items()
                if failure.key != key
            }
            self._by_position = kept

    def retain(self, positions: Collection[Position]) -> None:
        """Forget all records at other positions, which the store has no more."""
        for position in self._by_position.keys() - positions:
            del self._by_position[position]
