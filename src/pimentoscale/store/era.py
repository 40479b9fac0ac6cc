"""The era of the store, which rises when the store returns from an older copy.

What the store acknowledged after the copy was made is then lost, and the offsets of
lost records are given out again: offsets of two eras can't be compared.
"""

from collections.abc import Callable

from pimentoscale.decoding import MAX_INTEGER
from pimentoscale.logs import get_logger
from pimentoscale.store.interface import StoreError

# The era of a store that has not stated one.
ERA_UNKNOWN = 0
MAX_DIGITS = len(str(MAX_INTEGER))
MAX_LOGGED_BYTES = 32

log = get_logger("store")


class EraTracker:
    """Knows the era of the store from its answers.

    An answer that states no era, an invalid one, or one that falls counts as of the
    era known so far. A rise by more than one counts once a second answer confirms it:
    `unconfirmed` is that era. `on_rise` is called once a new era is known.
    """

    __slots__ = ("_fault", "current", "on_rise", "unconfirmed")

    def __init__(self) -> None:
        self.current = ERA_UNKNOWN
        self.unconfirmed = ERA_UNKNOWN
        self.on_rise: Callable[[], None] | None = None
        # The last invalid text, which is logged once.
        self._fault: bytes | None = None

    def observe(self, text: bytes | None, *, asked_in: int) -> int:
        """Return the era of an answer that states `text`, to a call made in `asked_in`.

        Raises `StoreError` for an answer of an era before the current one that was
        under way when the era rose.
        """
        stated = self._decode(text)
        if stated is None or stated == self.current:
            self.unconfirmed = ERA_UNKNOWN
            return self.current
        if stated < self.current:
            if stated == asked_in:
                raise StoreError(f"late answer of era {stated}, now {self.current}")
            self._log_fault(text, f"it falls from {self.current}")
            return self.current
        is_step = self.current == ERA_UNKNOWN or stated == self.current + 1
        if not is_step and stated != self.unconfirmed:
            log.warning(
                "era of the store: %d after %d, not confirmed yet", stated, self.current
            )
            self.unconfirmed = stated
            return self.current
        log.info("era of the store: %d after %d", stated, self.current)
        self.current = stated
        self.unconfirmed = ERA_UNKNOWN
        if self.on_rise is not None:
            self.on_rise()
        return stated

    def _decode(self, text: bytes | None) -> int | None:
        """Return the era in a header's value, None without a valid one."""
        if text is None:
            if self.current != ERA_UNKNOWN:
                self._log_fault(b"", "it is missing")
            return None
        if not text.isdigit() or len(text) > MAX_DIGITS or not int(text):
            self._log_fault(text, "it is no positive number")
            return None
        return int(text)

    def _log_fault(self, text: bytes | None, reason: str) -> None:
        if text != self._fault:
            self._fault = text
            log.warning(
                "era %r of an answer of the store ignored: %s",
                (text or b"")[:MAX_LOGGED_BYTES],
                reason,
            )
