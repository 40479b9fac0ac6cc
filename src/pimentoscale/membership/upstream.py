"""The registration of a node's own upstream, from the upstream's announcements."""

from dataclasses import dataclass, replace
from enum import Enum

from pimentoscale.decoding import MAX_INTEGER
from pimentoscale.settings import Address

# An announcement may arrive this late. For so long after its end, an upstream whose
# start is not known is not registered again.
MAX_DELAY_S = 5.0
# Room for the announcements of one start in a serial number.
SEQUENCES_PER_START = 1_000_000
# The latest start in Unix milliseconds whose serial numbers a member record can hold.
MAX_STARTED_MS = MAX_INTEGER // SEQUENCES_PER_START - 1
MAX_STARTED_DIGITS = len(str(MAX_STARTED_MS))


@dataclass(slots=True, kw_only=True, frozen=True)
class UpstreamAnnouncement:
    """One announcement of an upstream.

    `started_ms` is the Unix time of the upstream's start, and `sequence` counts the
    announcements since then. `warm_up_s` is the time in seconds for
    which it will still be slow after its start.
    """

    identity: str
    service: str
    address: Address
    zone: str
    slots: int
    is_draining: bool
    warm_up_s: float
    started_ms: int
    sequence: int

    @property
    def precedence(self) -> tuple[int, int]:
        """Return the order key: the later announcement has the greater one."""
        return (self.started_ms, self.sequence)

    @property
    def start(self) -> str:
        """Return what identifies this start of the upstream.

        An upstream may start again under its identity.
        """
        return f"{self.identity}/{self.started_ms}"

    @property
    def serial(self) -> int:
        """Return the precedence as one number, for a member record."""
        sequence = min(self.sequence, SEQUENCES_PER_START - 1)
        return self.started_ms * SEQUENCES_PER_START + sequence


def parse_start(start: str) -> tuple[str, int] | None:
    """Return the identity and the Unix milliseconds of a start, None if malformed."""
    identity, _, started_ms = start.rpartition("/")
    if not identity or not (started_ms.isascii() and started_ms.isdecimal()):
        return None
    return identity, int(started_ms[:MAX_STARTED_DIGITS])


class ApplyResult(Enum):
    """Effect of an announcement on the registration."""

    CHANGED = "changed"
    UNCHANGED = "unchanged"
    STALE = "stale"
    FOREIGN = "foreign"


class UpstreamRegistration:
    """The current incarnation of the upstream beside this node, if there is one.

    Only the node beside an upstream sends work to it, so once the upstream is
    registered as draining, no further work reaches it. `changed` is the serial of the
    announcement that changed the registration last.
    """

    __slots__ = (
        "_ended_at",
        "_ended_starts",
        "_floor",
        "_former_start",
        "_left_start",
        "address",
        "changed",
        "current",
    )

    def __init__(self, *, address: Address) -> None:
        self.address = address
        self.current: UpstreamAnnouncement | None = None
        self.changed = 0
        self._ended_starts: dict[str, int] = {}
        # When upstreams ended whose start is not known, by identity.
        self._ended_at: dict[str, float] = {}
        self._floor = 0
        self._left_start = ""
        # Identity and start of the upstream before this node's start, if known.
        self._former_start: tuple[str, int] | None = None

    @property
    def accepts_work(self) -> bool:
        """Return whether new work may be sent to the upstream."""
        return self.current is not None and not self.current.is_draining

    def set_floor(self, serial: int, *, left_start: str = "") -> bool:
        """Take announcements up to a serial as stale; return whether one was used.

        Used after a restart of this node, whose predecessor has published that the
        upstream of that announcement leaves or has gone. `left_start` identifies the
        start of that upstream, all of whose announcements are stale.
        """
        self._floor = max(self._floor, serial)
        self._left_start = left_start or self._left_start
        current = self.current
        if current is None:
            return False
        if current.serial > self._floor and current.start != self._left_start:
            return False
        self.current = None
        return True

    def set_former_start(self, start: str) -> bool:
        """Set the start of the upstream that was registered before this node's start.

        Return whether it has ended meanwhile and was the current one.
        """
        former = parse_start(start)
        if former is None:
            return False
        self._former_start = former
        identity, started_ms = former
        if self._ended_at.pop(identity, None) is None:
            return False
        self._end_start(identity, started_ms)
        current = self.current
        if current is None or not self.has_ended(current.start):
            return False
        self.current = None
        return True

    def has_ended(self, start: str) -> bool:
        """Return whether this start of an upstream was deregistered."""
        parsed = parse_start(start)
        if parsed is None or parsed[0] not in self._ended_starts:
            return False
        return parsed[1] <= self._ended_starts[parsed[0]]

    def set_leaving(self) -> bool:
        """Give the upstream no more work, as it leaves; return whether that is new.

        An upstream may state so before it announces it, or without doing so.
        """
        current = self.current
        if current is None or current.is_draining:
            return False
        self.current = replace(current, is_draining=True)
        self.changed = current.serial
        return True

    def apply(self, announcement: UpstreamAnnouncement, *, now: float) -> ApplyResult:
        """Apply an announcement unless it is stale or about another address."""
        if announcement.address != self.address:
            return ApplyResult.FOREIGN
        is_left = announcement.start == self._left_start
        is_outdated = announcement.serial <= self._floor or is_left
        if is_outdated and not announcement.is_draining:
            return ApplyResult.STALE
        ended_at = self._ended_at.get(announcement.identity)
        if ended_at is not None and now - ended_at < MAX_DELAY_S:
            return ApplyResult.STALE
        ended_start_ms = self._ended_starts.get(announcement.identity)
        if ended_start_ms is not None and announcement.started_ms <= ended_start_ms:
            return ApplyResult.STALE
        current = self.current
        if current is not None and announcement.precedence < current.precedence:
            return ApplyResult.STALE
        is_same = current is not None and current.identity == announcement.identity
        is_same_start = (
            current is not None and current.started_ms >= announcement.started_ms
        )
        if current is not None and current.is_draining and is_same and is_same_start:
            # A draining upstream accepts work again only after a restart.
            return ApplyResult.UNCHANGED
        self.current = announcement
        if (
            current is None
            or not is_same
            or current.is_draining != announcement.is_draining
            or current.service != announcement.service
            or current.slots != announcement.slots
            or current.started_ms != announcement.started_ms
        ):
            self.changed = announcement.serial
            return ApplyResult.CHANGED
        return ApplyResult.UNCHANGED

    def deregister(self, *, identity: str, now: float) -> bool:
        """Deregister an upstream that has gone; return whether it was the known one.

        If it was, late announcements of the same start are stale.
        """
        current = self.current
        if current is None or current.identity != identity:
            former = self._former_start
            if former is not None and former[0] == identity:
                self._end_start(identity, former[1])
                return current is None
            if identity not in self._ended_starts:
                self._ended_at[identity] = now
            return False
        self._end_start(identity, current.started_ms)
        self.current = None
        return True

    def _end_start(self, identity: str, started_ms: int) -> None:
        """Note that an upstream's starts up to this one have ended."""
        ended_ms = self._ended_starts.get(identity, 0)
        self._ended_starts[identity] = max(ended_ms, started_ms)
