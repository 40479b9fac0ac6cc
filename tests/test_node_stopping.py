"""What a node of the own interface owes to the calls that it has accepted."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

import httpx
import pytest

from pimentoscale.membership import MemberState
from pimentoscale.peering.peers import IDLE_TIMEOUT_S, TrafficClass
from pimentoscale.stream.peer import HEARTBEAT_TIMEOUT_S
from tests.nodes import RunningNode, Site, get_ticket, run_site, send
from tests.sidecars import wait_until

RUN_S = 1.5
KINDS = ["read", "write"]


def run_scenario(scenario: Callable[[Site], Awaitable[None]]) -> None:
    """Run a scenario: calls that f0 takes run at the upstream of b0."""

    async def run() -> None:
        async with run_site() as site:
            await site.start("f0", "front")
            await site.start("b0", "back")
            await site.wait_connected()
            await scenario(site)

    asyncio.run(run())


async def start_call(
    site: Site, kind: str, *, run_s: float | None = RUN_S, entry: str = "f0"
) -> "asyncio.Task[httpx.Response]":
    """Send a call that is running at the upstream of b0 on return."""
    upstream = site.nodes["b0"].upstream
    upstream.run_s = run_s
    running = site.nodes[entry]
    ticket = await get_ticket(running, kind, "x")
    sending = asyncio.create_task(send(running, kind, "x", ticket=ticket))
    await wait_until(lambda: upstream.runs == {"x": 1})
    return sending


def check_answered(response: httpx.Response, *running: RunningNode) -> None:
    assert response.status_code == 200, response.headers
    assert response.headers["pimento-outcome"] == "answered"
    for item in running:
        assert item.upstream.cancelled == set()
    assert sum(item.upstream.runs["x"] for item in running) == 1


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("is_stopping", [False, True])
def test_call_is_not_given_up_when_its_target_is_announced_as_gone(
    kind: str, is_stopping: bool
) -> None:
    async def scenario(site: Site) -> None:
        entry, target = site.nodes["f0"], site.nodes["b0"]
        sending = await start_call(site, kind)
        if is_stopping:
            entry.node.drain()
        entry.announce(replace(target.member, state=MemberState.GONE))
        check_answered(await sending, target)

    run_scenario(scenario)


@pytest.mark.parametrize("kind", KINDS)
def test_call_of_a_replaced_incarnation_is_not_given_up(kind: str) -> None:
    async def scenario(site: Site) -> None:
        entry, old = site.nodes["f0"], site.nodes["b0"]
        sending = await start_call(site, kind)
        new = await site.start("b0", "back")
        assert new.member.incarnation > old.member.incarnation
        later = await send(entry, "read", "y")
        assert later.status_code == 200
        assert new.upstream.runs == {"y": 1}
        check_answered(await sending, old)

    run_scenario(scenario)


@pytest.mark.parametrize("kind", KINDS)
def test_connection_of_a_call_in_progress_is_not_closed_as_idle(kind: str) -> None:
    async def scenario(site: Site) -> None:
        target = site.nodes["b0"]
        sending = await start_call(site, kind)
        peers = site.nodes["f0"].node._peers
        now = asyncio.get_running_loop().time()
        assert peers.close_idle(now=now + 2 * IDLE_TIMEOUT_S) == 0
        check_answered(await sending, target)
        assert peers.close_idle(now=now + 4 * IDLE_TIMEOUT_S) == 1

    run_scenario(scenario)


def test_retired_connections_are_closed_after_their_last_answer() -> None:
    async def scenario(site: Site) -> None:
        entry, target = site.nodes["f0"], site.nodes["b0"]
        sending = await start_call(site, "read")
        entry.announce(replace(target.member, state=MemberState.GONE))
        check_answered(await sending, target)
        await wait_until(lambda: not entry.node._peers._retired)
        await wait_until(lambda: target.node._acceptor.in_progress == 0)

    run_scenario(scenario)


def test_unsafe_call_waits_while_its_target_is_silent() -> None:
    async def scenario(site: Site) -> None:
        target = site.nodes["b0"]
        acceptor = target.node._acceptor
        sending = await start_call(site, "write", run_s=HEARTBEAT_TIMEOUT_S + 1.5)
        acceptor._handle_heartbeat = (  # type: ignore[method-assign]
            lambda session, frame: None
        )
        check_answered(await sending, target)

    run_scenario(scenario)


def test_safe_call_is_given_up_while_its_target_is_silent() -> None:
    async def scenario(site: Site) -> None:
        acceptor = site.nodes["b0"].node._acceptor
        sending = await start_call(site, "read", run_s=None)
        acceptor._handle_heartbeat = (  # type: ignore[method-assign]
            lambda session, frame: None
        )
        response = await sending
        assert response.headers["pimento-error"] == "peer_lost"
        assert response.headers["pimento-outcome"] == "failed"
        cancelled = site.nodes["b0"].upstream.cancelled
        await wait_until(lambda: cancelled == {"x"})

    run_scenario(scenario)


@pytest.mark.parametrize("kind", KINDS)
def test_target_does_not_break_off_a_call_of_a_silent_node(kind: str) -> None:
    async def scenario(site: Site) -> None:
        entry, target = site.nodes["f0"], site.nodes["b0"]
        sending = await start_call(site, kind, run_s=HEARTBEAT_TIMEOUT_S + 1.5)
        peer = entry.node._peers.open(target.member, TrafficClass.SHORT)
        peer._heartbeat_period_s = 60.0
        check_answered(await sending, target)

    run_scenario(scenario)
