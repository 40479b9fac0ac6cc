"""This node as a witness of others, and the witnesses that it chooses itself."""

import random

import xxhash
from result import Err, Ok

from pimentoscale.logs import get_logger
from pimentoscale.membership import Member, MemberState
from pimentoscale.node.state import NodeState, get_wall_ms
from pimentoscale.peering.peers import Lane, PeerPool
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


class Witnesses:
    """Rules on other nodes' tickets, and asks other nodes to rule."""

    def __init__(
        self,
        *,
        state: NodeState,
        peers: PeerPool,
        issuer: TicketIssuer,
        source: random.Random,
    ) -> None:
        self._state = state
        self._peers = peers
        self._issuer = issuer
        self._source = source
        self._ledger = WitnessLedger(identity=state.identity)
        self._candidates: list[Member] = []
        self._candidates_at = -1

    def record_intent(self, text: str) -> WitnessVerdict:
        """Answer a home that asks this node as its witness."""
        match self._issuer.decode(text):
            case Ok(ticket):
                return self._ledger.record_intent(ticket, now_ms=get_wall_ms())
            case Err(_):
                return WitnessVerdict(status=TicketStatus.FOREIGN)

    def resolve_ticket(self, text: str, replacement: str) -> WitnessVerdict:
        """Answer a node that can't reach a ticket's home."""
        match self._issuer.decode(text):
            case Ok(ticket):
                return self.rule(ticket, replacement)
            case Err(_):
                return WitnessVerdict(status=TicketStatus.FOREIGN)

    def remove_expired(self, *, now_ms: int) -> None:
        """Drop what no ticket can name any more."""
        self._ledger.remove_expired(now_ms=now_ms)

    def rule(self, ticket: Ticket, replacement: str) -> WitnessVerdict:
        """Rule on a ticket whose home can't be reached."""
        verdict = self._ledger.resolve(
            ticket, replacement=replacement, now_ms=get_wall_ms()
        )
        if verdict.status is TicketStatus.VETOED:
            self._state.record(EventName.TICKET_VETOED, request=ticket.request)
        return verdict

    async def ask(
        self, witness: NodeIdentity, query: RecordIntent | ResolveTicket
    ) -> WitnessVerdict:
        """Return the witness's verdict; `FOREIGN` if it can't be had."""
        unknown = WitnessVerdict(status=TicketStatus.FOREIGN)
        member = self._state.directory.find(instance=witness.instance)
        if member is None or member.incarnation != witness.incarnation:
            return unknown
        try:
            peer = await self._peers.wait_up(member, Lane.CONTROL)
            frame = await peer.query(query, timeout_s=WITNESS_TIMEOUT_S)
        except (PeerUnreachableError, PeerLostError) as error:
            log.info("witness %s gave no answer: %s", witness.instance, error)
            return unknown
        if not isinstance(frame, Verdict):
            return unknown
        return WitnessVerdict(
            status=TicketStatus(frame.verdict), replacement=frame.replacement
        )

    def choose(self, *, avoided: str = "") -> NodeIdentity | None:
        """Return another live node of the zone, one of a fixed few.

        `avoided` is an instance that is known to be out of reach.
        """
        candidates = self._list_candidates()
        connected = {
            member.instance
            for member in candidates
            if self._peers.open(member, Lane.CONTROL).is_up
        }
        return choose_witness(
            candidates, connected=connected, avoided=avoided, source=self._source
        )

    def _list_candidates(self) -> list[Member]:
        directory = self._state.directory
        if self._candidates_at != directory.changes:
            own = self._state.identity.instance
            zone = directory.list_zone(zone=self._state.zone)
            known = [directory.find(instance=name) for name in zone if name != own]
            members = [
                member
                for member in known
                if member is not None and member.state is MemberState.ALIVE
            ]
            members.sort(key=lambda member: _rank_candidate(own, member.instance))
            self._candidates = members[:WITNESS_CANDIDATES]
            self._candidates_at = directory.changes
        return self._candidates


def choose_witness(
    candidates: list[Member],
    *,
    connected: set[str],
    avoided: str,
    source: random.Random,
) -> NodeIdentity | None:
    """Return a candidate, a connected one if there is any, never the avoided one."""
    allowed = [item for item in candidates if item.instance != avoided]
    pool = [item for item in allowed if item.instance in connected] or allowed
    if not pool:
        return None
    chosen = source.choice(pool)
    return NodeIdentity(instance=chosen.instance, incarnation=chosen.incarnation)


def _rank_candidate(own: str, other: str) -> int:
    """Return a rank by which each node has other witnesses."""
    return xxhash.xxh3_64_intdigest(f"{own}|{other}".encode())
