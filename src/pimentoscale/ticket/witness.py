"""What a node remembers as the witness of other nodes' calls."""

from dataclasses import dataclass
from enum import Enum

from pimentoscale.ticket.home import KEPT_MARGIN_MS
from pimentoscale.ticket.issuer import NodeIdentity, Ticket


class TicketStatus(Enum):
    """The witness's verdict on a ticket.

    `GRANTED`: the intent is on record, the home may run.
    `INTENT`: the home may have run; nobody else may.
    `VETOED`: the home will never run it; the replacement ticket may be run.
    `FOREIGN`: this process can't know; it is another incarnation.
    `EXPIRED`: the ticket no longer starts anything.
    """

    GRANTED = "granted"
    INTENT = "intent"
    VETOED = "vetoed"
    FOREIGN = "foreign"
    EXPIRED = "expired"


@dataclass(slots=True, kw_only=True, frozen=True)
class WitnessVerdict:
    """The status of a ticket, with the ticket that replaces a vetoed one."""

    status: TicketStatus
    replacement: str = ""


@dataclass(slots=True, kw_only=True)
class _WitnessEntry:
    expires_ms: int
    replacement: str


class WitnessLedger:
    """Holds, for each ticket, either the home's intent or a veto, never both."""

    __slots__ = ("_entries", "_identity")

    def __init__(self, *, identity: NodeIdentity) -> None:
        self._identity = identity
        self._entries: dict[str, _WitnessEntry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def record_intent(self, ticket: Ticket, *, now_ms: int) -> WitnessVerdict:
        """Record that the home is about to run.

        `INTENT` tells it that an earlier question of its own had been recorded.
        """
        if (refusal := self._refuse(ticket, now_ms)) is not None:
            return refusal
        entry = self._entries.get(ticket.nonce)
        if entry is None:
            self._remember(ticket, "")
            return WitnessVerdict(status=TicketStatus.GRANTED)
        if entry.replacement:
            return self._veto(entry)
        return WitnessVerdict(status=TicketStatus.INTENT)

    def resolve(
        self, ticket: Ticket, *, replacement: str, now_ms: int
    ) -> WitnessVerdict:
        """Rule for a node that can't reach the home; the first replacement stays."""
        if (refusal := self._refuse(ticket, now_ms)) is not None:
            return refusal
        entry = self._entries.get(ticket.nonce)
        if entry is None:
            entry = self._remember(ticket, replacement)
        if entry.replacement:
            return self._veto(entry)
        return WitnessVerdict(status=TicketStatus.INTENT)

    def remove_expired(self, *, now_ms: int) -> int:
        """Drop the entries whose tickets expired long ago; return how many."""
        limit = now_ms - KEPT_MARGIN_MS
        dropped = [
            key for key, entry in self._entries.items() if entry.expires_ms < limit
        ]
        for key in dropped:
            del self._entries[key]
        return len(dropped)

    def _refuse(self, ticket: Ticket, now_ms: int) -> WitnessVerdict | None:
        if ticket.witness != self._identity:
            return WitnessVerdict(status=TicketStatus.FOREIGN)
        if ticket.is_expired(now_ms=now_ms):
            return WitnessVerdict(status=TicketStatus.EXPIRED)
        return None

    def _remember(self, ticket: Ticket, replacement: str) -> _WitnessEntry:
        entry = _WitnessEntry(expires_ms=ticket.expires_ms, replacement=replacement)
        self._entries[ticket.nonce] = entry
        return entry

    @staticmethod
    def _veto(entry: _WitnessEntry) -> WitnessVerdict:
        return WitnessVerdict(status=TicketStatus.VETOED, replacement=entry.replacement)
