"""The ledger of the tickets of which a node is the witness."""

from dataclasses import dataclass
from enum import Enum

from pimentoscale.ticket.home import RETENTION_MARGIN_MS
from pimentoscale.ticket.issuer import NodeIdentity, Ticket


class TicketStatus(Enum):
    """The status of a ticket, as its witness reports it.

    `GRANTED`: the intent is recorded now; the home may run the call.
    `INTENT`: the intent was recorded before; the home may have run the call, and no
    other node may run it.
    `VETOED`: the home will not run the call; the replacement ticket may be used.
    `FOREIGN`: no verdict can be given: the ticket is invalid, its witness is another
    node or an earlier incarnation of this one, or the witness can't be reached.
    `EXPIRED`: the ticket has expired and can no longer start a run.
    """

    GRANTED = "granted"
    INTENT = "intent"
    VETOED = "vetoed"
    FOREIGN = "foreign"
    EXPIRED = "expired"


@dataclass(slots=True, kw_only=True, frozen=True)
class WitnessVerdict:
    """The status of a ticket, and the ticket that replaces a vetoed one."""

    status: TicketStatus
    replacement: str = ""


@dataclass(slots=True, kw_only=True)
class _WitnessEntry:
    expires_ms: int
    replacement: str


class WitnessLedger:
    """The home's intent or a veto for each ticket, never both."""

    __slots__ = ("_entries", "_identity")

    def __init__(self, *, identity: NodeIdentity) -> None:
        self._identity = identity
        self._entries: dict[str, _WitnessEntry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def record_intent(self, ticket: Ticket, *, now_ms: int) -> WitnessVerdict:
        """Record that the home is about to run the ticket's call.

        The status is `INTENT` if an earlier query of the home recorded it already.
        """
        if (refusal := self._check(ticket, now_ms)) is not None:
            return refusal
        entry = self._entries.get(ticket.nonce)
        if entry is None:
            self._add(ticket, "")
            return WitnessVerdict(status=TicketStatus.GRANTED)
        if entry.replacement:
            return self._make_vetoed(entry)
        return WitnessVerdict(status=TicketStatus.INTENT)

    def resolve(
        self, ticket: Ticket, *, replacement: str, now_ms: int
    ) -> WitnessVerdict:
        """Veto the ticket on behalf of a node that can't reach its home.

        An intent that is already recorded prevents the veto. The replacement of the
        first veto is kept and returned to all later queries.
        """
        if (refusal := self._check(ticket, now_ms)) is not None:
            return refusal
        entry = self._entries.get(ticket.nonce)
        if entry is None:
            entry = self._add(ticket, replacement)
        if entry.replacement:
            return self._make_vetoed(entry)
        return WitnessVerdict(status=TicketStatus.INTENT)

    def remove_expired(self, *, now_ms: int) -> int:
        """Remove the entries of tickets past their retention; return their number."""
        limit = now_ms - RETENTION_MARGIN_MS
        dropped = [
            key for key, entry in self._entries.items() if entry.expires_ms < limit
        ]
        for key in dropped:
            del self._entries[key]
        return len(dropped)

    def _check(self, ticket: Ticket, now_ms: int) -> WitnessVerdict | None:
        if ticket.witness != self._identity:
            return WitnessVerdict(status=TicketStatus.FOREIGN)
        if ticket.is_expired(now_ms=now_ms):
            return WitnessVerdict(status=TicketStatus.EXPIRED)
        return None

    def _add(self, ticket: Ticket, replacement: str) -> _WitnessEntry:
        entry = _WitnessEntry(expires_ms=ticket.expires_ms, replacement=replacement)
        self._entries[ticket.nonce] = entry
        return entry

    @staticmethod
    def _make_vetoed(entry: _WitnessEntry) -> WitnessVerdict:
        return WitnessVerdict(status=TicketStatus.VETOED, replacement=entry.replacement)
