"""Tests of tickets and of the ledgers of homes and witnesses."""

import asyncio
import base64
import random

import pytest
from result import Err, Ok

from pimentoscale.call import Answer
from pimentoscale.dispatch.witnesses import choose_witness
from pimentoscale.membership import Member, MemberState
from pimentoscale.outcome import Outcome
from pimentoscale.settings import Address
from pimentoscale.ticket import (
    HomeLedger,
    NodeIdentity,
    Ticket,
    TicketIssuer,
    TicketStatus,
    WitnessLedger,
)
from pimentoscale.ticket.home import (
    MAX_STORED_BODY_BYTES,
    RETENTION_MARGIN_MS,
    make_stored_answer,
)

NOW_MS = 2_000
CANDIDATES = [
    Member(
        instance=name,
        incarnation=1,
        sequence=0,
        state=MemberState.ALIVE,
        zone="z",
        service="s",
        slots=1,
        http=Address(host="127.0.0.1", port=1),
        stream=Address(host="127.0.0.1", port=1),
    )
    for name in ("a", "b", "c")
]


@pytest.mark.parametrize(
    ("connected", "allowed"),
    [({"a", "b"}, {"b"}), ({"a"}, {"b", "c"}), (set(), {"b", "c"})],
)
def test_witness_of_a_replacement_is_never_the_lost_home(
    connected: set[str], allowed: set[str], rng: random.Random
) -> None:
    chosen = {
        choose_witness(CANDIDATES, connected=connected, excluded="a", rng=rng)
        for _ in range(40)
    }
    assert {item.instance for item in chosen if item is not None} == allowed
    assert None not in chosen


def test_no_witness_is_found_where_only_the_lost_home_is_left(
    rng: random.Random,
) -> None:
    found = choose_witness(CANDIDATES[:1], connected={"a"}, excluded="a", rng=rng)
    assert found is None


def test_ticket_survives_encoding_and_decoding(
    issuer: TicketIssuer, ticket: Ticket
) -> None:
    assert issuer.decode(issuer.encode(ticket)) == Ok(ticket)


@pytest.mark.parametrize("position", [0, 5, 20, 40])
def test_altered_ticket_is_refused(
    issuer: TicketIssuer, ticket: Ticket, position: int
) -> None:
    raw = bytearray(base64.urlsafe_b64decode(issuer.encode(ticket)))
    raw[position] ^= 1
    assert isinstance(issuer.decode(base64.urlsafe_b64encode(raw).decode()), Err)


@pytest.mark.parametrize("text", ["", "x", "%%%", "AAAA", "\u00e9"])
def test_garbage_is_refused(issuer: TicketIssuer, text: str) -> None:
    assert isinstance(issuer.decode(text), Err)


def test_ticket_of_another_secret_is_refused(
    issuer: TicketIssuer, ticket: Ticket
) -> None:
    forged = TicketIssuer(secret="another secret of ours").encode(ticket)
    assert isinstance(issuer.decode(forged), Err)


def test_recorded_intent_prevents_the_veto(
    ticket: Ticket, witness: NodeIdentity
) -> None:
    ledger = WitnessLedger(identity=witness)
    assert ledger.record_intent(ticket, now_ms=NOW_MS).status is TicketStatus.GRANTED
    verdict = ledger.resolve(ticket, replacement="new", now_ms=NOW_MS)
    assert verdict.status is TicketStatus.INTENT


def test_veto_prevents_the_intent_and_names_one_replacement(
    ticket: Ticket, witness: NodeIdentity
) -> None:
    ledger = WitnessLedger(identity=witness)
    first = ledger.resolve(ticket, replacement="a", now_ms=NOW_MS)
    second = ledger.resolve(ticket, replacement="b", now_ms=NOW_MS)
    late = ledger.record_intent(ticket, now_ms=NOW_MS)
    assert {first.status, second.status, late.status} == {TicketStatus.VETOED}
    assert {first.replacement, second.replacement, late.replacement} == {"a"}


def test_second_query_of_the_home_returns_its_own_intent(
    ticket: Ticket, witness: NodeIdentity
) -> None:
    ledger = WitnessLedger(identity=witness)
    ledger.record_intent(ticket, now_ms=NOW_MS)
    assert ledger.record_intent(ticket, now_ms=NOW_MS).status is TicketStatus.INTENT


def test_restarted_witness_gives_no_verdict(
    ticket: Ticket, witness: NodeIdentity
) -> None:
    restarted = NodeIdentity(instance=witness.instance, incarnation=2)
    ledger = WitnessLedger(identity=restarted)
    assert ledger.record_intent(ticket, now_ms=NOW_MS).status is TicketStatus.FOREIGN
    verdict = ledger.resolve(ticket, replacement="a", now_ms=NOW_MS)
    assert verdict.status is TicketStatus.FOREIGN


def test_expired_ticket_starts_nothing(ticket: Ticket, witness: NodeIdentity) -> None:
    ledger = WitnessLedger(identity=witness)
    late = ticket.expires_ms
    assert ledger.record_intent(ticket, now_ms=late).status is TicketStatus.EXPIRED
    verdict = ledger.resolve(ticket, replacement="a", now_ms=late)
    assert verdict.status is TicketStatus.EXPIRED


def test_witness_removes_entries_only_after_retention(
    ticket: Ticket, witness: NodeIdentity
) -> None:
    ledger = WitnessLedger(identity=witness)
    ledger.record_intent(ticket, now_ms=NOW_MS)
    ledger.remove_expired(now_ms=ticket.expires_ms + RETENTION_MARGIN_MS)
    assert len(ledger) == 1
    ledger.remove_expired(now_ms=ticket.expires_ms + RETENTION_MARGIN_MS + 1)
    assert len(ledger) == 0


def test_home_keeps_a_running_call_past_expiry() -> None:
    async def check() -> None:
        ledger = HomeLedger()
        entry = ledger.add(key="k", expires_ms=0)
        late = RETENTION_MARGIN_MS + 1
        assert ledger.remove_expired(now_ms=late) == 0
        answer = Answer(outcome=Outcome.ANSWERED, status=200)
        entry.result.set_result(make_stored_answer(answer, b""))
        assert ledger.remove_expired(now_ms=late) == 1

    asyncio.run(check())


def test_body_of_a_large_answer_is_not_stored() -> None:
    answer = Answer(outcome=Outcome.ANSWERED, status=200)
    assert make_stored_answer(answer, b"x" * MAX_STORED_BODY_BYTES).body is not None
    assert make_stored_answer(answer, b"x" * (MAX_STORED_BODY_BYTES + 1)).body is None
