"""Tests that non-idempotent calls run at most once, on real node processes.

Nodes are killed, frozen, and partitioned from each other.
"""

import asyncio
from collections.abc import Iterator

import pytest

from pimentoscale.ticket import NodeIdentity, Ticket, TicketIssuer
from pimentoscale_bench.deployment import TICKET_SECRET
from tests.fleet import FleetHarness, start_fleet

KIND = "booking.create"
HOME = "returns-0"
OTHER = "photos-0"
FAR = "photos-1"


@pytest.fixture(scope="module")
def harness(tmp_path_factory: pytest.TempPathFactory) -> Iterator[FleetHarness]:
    with start_fleet(tmp_path_factory.mktemp("fleet")) as harness:
        yield harness


def read_ticket(text: str) -> Ticket:
    return TicketIssuer(secret=TICKET_SECRET).decode(text).unwrap()


def test_one_ticket_at_all_entries_at_once_runs_once(harness: FleetHarness) -> None:
    async def check() -> None:
        request = harness.make_request()
        ticket = await harness.get_ticket(HOME, KIND, request)
        sends = [
            harness.send(name, KIND, request, ticket)
            for name in harness.fleet.instances
        ]
        attempts = await asyncio.gather(*sends)
        assert {attempt.outcome for attempt in attempts} == {"answered"}
        assert all(attempt.is_intact for attempt in attempts)
        assert harness.count_runs(request) == 1

    harness.run(check())


def test_submission_without_a_ticket_runs_nothing(harness: FleetHarness) -> None:
    async def check() -> None:
        request = harness.make_request()
        attempt = await harness.send(HOME, KIND, request)
        assert (attempt.error, attempt.outcome) == ("ticket_required", "refused")
        assert harness.count_runs(request) == 0

    harness.run(check())


def test_forged_ticket_runs_nothing(harness: FleetHarness) -> None:
    async def check() -> None:
        request = harness.make_request()
        ticket = read_ticket(await harness.get_ticket(HOME, KIND, request))
        forged = TicketIssuer(secret="not the secret of this zone").encode(ticket)
        attempt = await harness.send(HOME, KIND, request, forged)
        assert attempt.error == "ticket_invalid"
        assert harness.count_runs(request) == 0

    harness.run(check())


def test_expired_ticket_is_unknown_and_runs_nothing(harness: FleetHarness) -> None:
    async def check() -> None:
        request = harness.make_request()
        issued = read_ticket(await harness.get_ticket(HOME, KIND, request))
        issuer = TicketIssuer(secret=TICKET_SECRET)
        old = issuer.issue(
            request=request,
            caller=issued.caller,
            kind=KIND,
            home=issued.home,
            witness=issued.witness,
            now_ms=0,
        )
        for name in (HOME, FAR):
            attempt = await harness.send(name, KIND, request, issuer.encode(old))
            assert (attempt.error, attempt.outcome) == ("ticket_expired", "unknown")
        assert harness.count_runs(request) == 0

    harness.run(check())


def test_ticket_of_an_earlier_incarnation_runs_once_elsewhere(
    harness: FleetHarness,
) -> None:
    async def check() -> None:
        request = harness.make_request()
        issued = read_ticket(await harness.get_ticket(HOME, KIND, request))
        issuer = TicketIssuer(secret=TICKET_SECRET)
        earlier = NodeIdentity(instance=HOME, incarnation=issued.home.incarnation - 1)
        ticket = issuer.encode(
            issuer.issue(
                request=request,
                caller=issued.caller,
                kind=KIND,
                home=earlier,
                witness=issued.witness,
                now_ms=issued.expires_ms - 120_000,
            )
        )
        for name in (OTHER, HOME, FAR):
            attempt = await harness.send(name, KIND, request, ticket)
            assert attempt.outcome == "answered"
        assert harness.count_runs(request) == 1

    harness.run(check())


def test_home_killed_before_the_run(harness: FleetHarness) -> None:
    async def check() -> None:
        request = harness.make_request()
        ticket = await harness.get_ticket(HOME, KIND, request)
        harness.fleet.kill(HOME)
        first = await harness.send(OTHER, KIND, request, ticket)
        second = await harness.send(FAR, KIND, request, ticket)
        assert (first.outcome, second.outcome) == ("answered", "answered")
        assert harness.count_runs(request) == 1
        await harness.restore(HOME)

    harness.run(check())


def test_home_killed_during_the_run_is_unknown(harness: FleetHarness) -> None:
    async def check() -> None:
        request = harness.make_request()
        for name in ("bookings-0", "bookings-1"):
            await harness.fleet.set_upstream_faults(name, slow_factor=60.0)
        ticket = await harness.get_ticket(HOME, KIND, request)
        sending = asyncio.create_task(harness.send(HOME, KIND, request, ticket))
        await harness.wait_runs(request)
        harness.fleet.kill(HOME)
        await sending
        for name in ("bookings-0", "bookings-1"):
            await harness.fleet.set_upstream_faults(name, slow_factor=1.0)
        for name in (OTHER, FAR):
            attempt = await harness.send(name, KIND, request, ticket)
            assert (attempt.error, attempt.outcome) == ("already_ran", "unknown")
        assert harness.count_runs(request) == 1
        await harness.restore(HOME)

    harness.run(check())


def test_home_killed_after_the_run_is_unknown(harness: FleetHarness) -> None:
    async def check() -> None:
        request = harness.make_request()
        ticket = await harness.get_ticket(HOME, KIND, request)
        first = await harness.send(HOME, KIND, request, ticket)
        harness.fleet.kill(HOME)
        again = await harness.send(OTHER, KIND, request, ticket)
        assert (first.outcome, again.outcome) == ("answered", "unknown")
        assert harness.count_runs(request) == 1
        await harness.restore(HOME)

    harness.run(check())


def test_frozen_home_does_not_run_what_was_vetoed(harness: FleetHarness) -> None:
    async def check() -> None:
        request = harness.make_request()
        ticket = await harness.get_ticket(HOME, KIND, request)
        harness.fleet.suspend_node(HOME)
        first = await harness.send(OTHER, KIND, request, ticket)
        harness.fleet.resume_node(HOME)
        second = await harness.send(HOME, KIND, request, ticket)
        assert (first.outcome, second.outcome) == ("answered", "answered")
        assert harness.count_runs(request) == 1
        await harness.restore(HOME)

    harness.run(check())


DIRECTIONS = [(True, True), (True, False), (False, True)]


@pytest.mark.parametrize(("forward", "reverse"), DIRECTIONS)
def test_home_cut_from_its_witness(
    harness: FleetHarness, forward: bool, reverse: bool
) -> None:
    async def check() -> None:
        request = harness.make_request()
        ticket = await harness.get_ticket(HOME, KIND, request)
        witness = read_ticket(ticket).witness.instance
        harness.fleet.relays.cut({HOME}, {witness}, forward=forward, reverse=reverse)
        attempt = await harness.send(HOME, KIND, request, ticket)
        assert (attempt.error, attempt.outcome) == ("witness_silent", "unknown")
        assert harness.count_runs(request) == 0
        harness.fleet.relays.heal()
        async with asyncio.timeout(20):
            while attempt.outcome != "answered":
                attempt = await harness.send(HOME, KIND, request, ticket)
        assert harness.count_runs(request) == 1

    harness.run(check())


def test_vetoed_call_is_never_called_refused_by_a_cut_off_home(
    harness: FleetHarness,
) -> None:
    async def check() -> None:
        request = harness.make_request()
        ticket = await harness.get_ticket(HOME, KIND, request)
        witness = read_ticket(ticket).witness.instance
        others = set(harness.fleet.instances) - {HOME}
        harness.fleet.relays.cut(others, {HOME})
        entry = next(name for name in (OTHER, "catalogue-0") if name != witness)
        elsewhere = await harness.send(entry, KIND, request, ticket)
        harness.fleet.relays.cut({HOME}, {witness})
        late = await harness.send(HOME, KIND, request, ticket)
        harness.fleet.relays.heal()
        assert elsewhere.outcome == "answered"
        assert late.outcome == "unknown"
        assert harness.count_runs(request) == 1
        await harness.restore(HOME)

    harness.run(check())


def test_home_and_witness_killed_is_unknown(harness: FleetHarness) -> None:
    async def check() -> None:
        request = harness.make_request()
        ticket = await harness.get_ticket(HOME, KIND, request)
        witness = read_ticket(ticket).witness.instance
        entry = next(name for name in (OTHER, "catalogue-0") if name != witness)
        harness.fleet.kill(HOME)
        harness.fleet.kill(witness)
        attempt = await harness.send(entry, KIND, request, ticket)
        assert attempt.outcome == "unknown"
        assert harness.count_runs(request) == 0
        await harness.restore(HOME, witness)

    harness.run(check())
