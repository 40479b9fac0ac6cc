"""Witness queries: answering those of other nodes, and sending this node's own."""

import random

import xxhash
from result import Err, Ok

from pimentoscale.logs import get_logger
from pimentoscale.membership import Member, MemberState
from pimentoscale.node.state import NodeState, get_wall_ms
from pimentoscale.peering.peers import PeerPool, TrafficClass
from pimentoscale.stream import (
    PeerLostError,
    PeerUnreachableError,
    RecordIntent,
    ResolveTicket,
    Verdict,
)
from pimentoscale.ticket import (
    NodeIdentity,
    Ticket,
    TicketIssuer,
    TicketStatus,
    WitnessLedger,
    WitnessVerdict,
)
from pimentoscale.timeline import EventName

WITNESS_TIMEOUT_S = 0.5
WITNESS_CANDIDATES = 3

log = get_logger("witness")


class WitnessService:
    """Acts as the witness of other nodes, and chooses and queries other witnesses."""

    def __init__(
        self,
        *,
        state: NodeState,
        peers: PeerPool,
        issuer: TicketIssuer,
        rng: random.Random,
    ) -> None:
        self._state = state
        self._peers = peers
        self._issuer = issuer
        self._rng = rng
        self._ledger = WitnessLedger(identity=state.identity)
        self._candidates: list[Member] = []
        self._candidates_version = -1

    def record_intent(self, encoded_ticket: str) -> WitnessVerdict:
        """Record that the home of a ticket is about to run its call."""
        match self._issuer.decode(encoded_ticket):
            case Ok(ticket):
                return self._ledger.record_intent(ticket, now_ms=get_wall_ms())
            case Err(_):
                return WitnessVerdict(status=TicketStatus.FOREIGN)

    def resolve_ticket(self, encoded_ticket: str, replacement: str) -> WitnessVerdict:
        """Return the verdict on an encoded ticket whose home can't be reached."""
        match self._issuer.decode(encoded_ticket):
            case Ok(ticket):
                return self.resolve(ticket, replacement)
            case Err(_):
                return WitnessVerdict(status=TicketStatus.FOREIGN)

    def remove_expired(self, *, now_ms: int) -> None:
        """Remove the ledger's entries that are past their retention."""
        self._ledger.remove_expired(now_ms=now_ms)

    def resolve(self, ticket: Ticket, replacement: str) -> WitnessVerdict:
        """Veto a ticket whose home can't be reached, unless its intent is recorded."""
        verdict = self._ledger.resolve(
            ticket, replacement=replacement, now_ms=get_wall_ms()
        )
        if verdict.status is TicketStatus.VETOED:
            self._state.record(EventName.TICKET_VETOED, request=ticket.request)
        return verdict

    async def query(
        self, witness: NodeIdentity, query: RecordIntent | ResolveTicket
    ) -> WitnessVerdict:
        """Return the witness's verdict; `FOREIGN` if the witness can't be queried."""
        unknown = WitnessVerdict(status=TicketStatus.FOREIGN)
        member = self._state.directory.find(instance=witness.instance)
        if member is None or member.incarnation != witness.incarnation:
            return unknown
        try:
            peer = await self._peers.wait_up(member, TrafficClass.CONTROL)
            frame = await peer.query(query, timeout_s=WITNESS_TIMEOUT_S)
        except (PeerUnreachableError, PeerLostError) as error:
            log.info("query to witness %s failed: %s", witness.instance, error)
            return unknown
        if not isinstance(frame, Verdict):
            return unknown
        return WitnessVerdict(
            status=TicketStatus(frame.verdict), replacement=frame.replacement
        )

    def choose(self, *, excluded: str = "") -> NodeIdentity | None:
        """Return one of this node's few candidates, which are live nodes of its zone.

        `excluded` is an instance that can't be reached. Returns None if there is no
        other candidate.
        """
        candidates = self._list_candidates()
        connected = {
            member.instance
            for member in candidates
            if self._peers.open(member, TrafficClass.CONTROL).is_up
        }
        return choose_witness(
            candidates, connected=connected, excluded=excluded, rng=self._rng
        )

    def _list_candidates(self) -> list[Member]:
        directory = self._state.directory
        if self._candidates_version != directory.changes:
            own = self._state.identity.instance
            names = directory.list_zone(zone=self._state.zone)
            others = [directory.find(instance=name) for name in names if name != own]
            members = [
                member
                for member in others
                if member is not None and member.state is MemberState.ALIVE
            ]
            members.sort(key=lambda member: _rank_candidate(own, member.instance))
            self._candidates = members[:WITNESS_CANDIDATES]
            self._candidates_version = directory.changes
        return self._candidates


def choose_witness(
    candidates: list[Member],
    *,
    connected: set[str],
    excluded: str,
    rng: random.Random,
) -> NodeIdentity | None:
    """Return a candidate other than the excluded one, preferably a connected one.

    Returns None if there is no such candidate.
    """
    allowed = [item for item in candidates if item.instance != excluded]
    pool = [item for item in allowed if item.instance in connected] or allowed
    if not pool:
        return None
    chosen = rng.choice(pool)
    return NodeIdentity(instance=chosen.instance, incarnation=chosen.incarnation)


def _rank_candidate(own: str, other: str) -> int:
    """Return a hash of both names, so that each node ranks the others differently."""
    return xxhash.xxh3_64_intdigest(f"{own}|{other}".encode())
