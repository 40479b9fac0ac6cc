"""What the own upstream says of itself, and what follows for new work."""

from dataclasses import dataclass
from enum import Enum

from pimentoscale.settings import Address


@dataclass(slots=True, kw_only=True, frozen=True)
class UpstreamAnnouncement:
    """One announcement.

    `started_ms` is the Unix time of the upstream's start and
    `sequence` counts the announcements since then; `warm_up_s` is how much longer it
    is slow after its start.
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
        """Return the key by which the later announcement is known."""
        return (self.started_ms, self.sequence)


class ApplyResult(Enum):
    """What an announcement did to the registration."""

    CHANGED = "changed"
    UNCHANGED = "unchanged"
    STALE = "stale"
    FOREIGN = "foreign"


class UpstreamRegistration:
    """The incarnation of the upstream beside this node, if it takes work.

    Only the node beside an upstream hands work to it, so once this says that the
    upstream leaves, no further work reaches it.
    """

    __slots__ = ("_ended", "address", "current")

    def __init__(self, *, address: Address) -> None:
        self.address = address
        self.current: UpstreamAnnouncement | None = None
        self._ended: dict[str, int] = {}

    @property
    def accepts_work(self) -> bool:
        """Tell whether new work may be handed to the upstream."""
        return self.current is not None and not self.current.is_draining

    def apply(self, announcement: UpstreamAnnouncement) -> ApplyResult:
        """Take in an announcement unless it is older or about another address."""
        if announcement.address != self.address:
            return ApplyResult.FOREIGN
        ended_ms = self._ended.get(announcement.identity)
        if ended_ms is not None and announcement.started_ms <= ended_ms:
            return ApplyResult.STALE
        known = self.current
        if known is not None and announcement.precedence < known.precedence:
            return ApplyResult.STALE
        is_same = known is not None and known.identity == announcement.identity
        is_same_start = (
            known is not None and known.started_ms >= announcement.started_ms
        )
        if known is not None and known.is_draining and is_same and is_same_start:
            # One that leaves does not come back under the same start.
            return ApplyResult.UNCHANGED
        self.current = announcement
        if (
            known is None
            or not is_same
            or known.is_draining != announcement.is_draining
            or known.service != announcement.service
            or known.slots != announcement.slots
            or known.started_ms != announcement.started_ms
        ):
            return ApplyResult.CHANGED
        return ApplyResult.UNCHANGED

    def end(self, *, identity: str) -> bool:
        """Take note that an incarnation has gone; return True if it was current."""
        known = self.current
        if known is None or known.identity != identity:
            self._ended.setdefault(identity, 0)
            return False
        self._ended[identity] = known.started_ms
        self.current = None
        return True
