"""What a node of the own interface owes to the calls that it has accepted."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace

import httpx
import pytest
import uvloop

from pimentoscale.http import (
    HttpClient,
    HttpRequest,
    IncompleteResponseError,
    NotConnectedError,
)
from pimentoscale.membership import MemberState
from pimentoscale.peering.peers import IDLE_TIMEOUT_S, TrafficClass
from pimentoscale.stream import Hello
from pimentoscale.stream.codec import encode_frame
from pimentoscale.stream.frames import PROTOCOL_VERSION
from pimentoscale.stream.silence import HEARTBEAT_TIMEOUT_S
from tests.nodes import RunningNode, Site, get_ticket, run_site, send
from tests.sidecars import WAIT_S, wait_until

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

    uvloop.run(run())


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


async def start_queued_calls(site: Site) -> "list[asyncio.Task[httpx.Response]]":
    """Send calls of which some run at the upstream of b0 on return, and others wait."""
    target = site.nodes["b0"]
    target.upstream.run_s = None
    runner = target.node._runner
    # A node that has just started admits few calls at once.
    sends = [
        asyncio.create_task(send(site.nodes["f0"], "read", f"x{number}"))
        for number in range(12)
    ]
    await wait_until(
        lambda: (
            runner.queued > 0
            and runner.running == len(target.upstream.runs)
            and runner.running + runner.queued == runner.in_progress
        )
    )
    return sends


def check_answered(response: httpx.Response, *running: RunningNode) -> None:
    assert response.status_code == 200, response.headers
    assert response.headers["pimento-outcome"] == "answered"
    for item in running:
        assert item.upstream.cancelled == set()
    assert sum(item.upstream.runs["x"] for item in running) == 1


def check_cut(response: httpx.Response, kind: str) -> None:
    """Check the answer to a call that was broken off in its run."""
    assert response.status_code == 504, response.headers
    assert response.headers["pimento-error"] == "deadline_while_running"
    outcomes = {"failed"} if kind == "read" else {"failed", "unknown"}
    assert response.headers["pimento-outcome"] in outcomes


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


async def stop(running: RunningNode, grace_s: int) -> None:
    """Stop a node; raises `TimeoutError` unless it ends within the grace period."""
    running.node.state.settings = replace(
        running.node.state.settings, stop_grace_s=grace_s
    )
    running.node.drain()
    async with asyncio.timeout(grace_s):
        await asyncio.shield(running.serving)


@pytest.mark.parametrize("grace_s", [1, 2])
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("names", [("f0",), ("b0",), ("f0", "b0"), ("b0", "f0")])
def test_call_that_outlasts_the_grace_is_answered_truthfully(
    names: tuple[str, ...], kind: str, grace_s: int
) -> None:
    async def scenario(site: Site) -> None:
        sending = await start_call(site, kind, run_s=None)
        await asyncio.gather(*[stop(site.nodes[name], grace_s) for name in names])
        check_cut(await sending, kind)
        assert site.nodes["b0"].upstream.runs == {"x": 1}
        cancelled = site.nodes["b0"].upstream.cancelled
        await wait_until(lambda: cancelled == {"x"})

    run_scenario(scenario)


@pytest.mark.parametrize("kind", KINDS)
def test_call_at_the_own_upstream_that_outlasts_the_grace_is_answered(
    kind: str,
) -> None:
    async def scenario(site: Site) -> None:
        running = site.nodes["b0"]
        sending = await start_call(site, kind, run_s=None, entry="b0")
        await stop(running, 2)
        check_cut(await sending, kind)
        assert running.upstream.runs == {"x": 1}

    run_scenario(scenario)


@pytest.mark.parametrize("name", ["f0", "b0"])
def test_queued_call_that_outlasts_the_grace_is_answered_truthfully(name: str) -> None:
    async def scenario(site: Site) -> None:
        target = site.nodes["b0"]
        sends = await start_queued_calls(site)
        await stop(site.nodes[name], 2)
        responses = await asyncio.gather(*sends)
        for number, response in enumerate(responses):
            if target.upstream.runs[f"x{number}"]:
                check_cut(response, "read")
            elif name == "b0":
                assert response.status_code == 503
                assert response.headers["pimento-outcome"] == "refused"
            else:
                assert response.headers["pimento-outcome"] in ("refused", "failed")

    run_scenario(scenario)


def test_queued_call_passes_on_no_more_time_than_its_stopping_node_has_left() -> None:
    async def scenario(site: Site) -> None:
        target = site.nodes["b0"]
        sends = await start_queued_calls(site)
        started = set(target.upstream.runs)
        stopping = asyncio.create_task(stop(target, 4))
        await wait_until(lambda: target.node.state.is_draining)
        target.upstream.release.set()
        responses = await asyncio.gather(*sends)
        assert {response.status_code for response in responses} <= {200, 503}
        queued = set(target.upstream.runs) - started
        assert queued
        for name in queued:
            assert target.upstream.timeouts_ms[name] < 4000
        await stopping

    run_scenario(scenario)


@pytest.mark.parametrize("kind", KINDS)
def test_instance_that_restarts_at_its_address_serves_after_a_cut_call(
    kind: str,
) -> None:
    async def scenario(site: Site) -> None:
        entry, old = site.nodes["f0"], site.nodes["b0"]
        sending = await start_call(site, kind, run_s=None)
        await stop(old, 2)
        check_cut(await sending, kind)
        new = await site.start("b0", "back", predecessor=old.node.state.settings)
        await site.wait_connected()
        assert (await send(entry, "read", "y")).status_code == 200
        assert new.upstream.runs == {"y": 1}

    run_scenario(scenario)


@pytest.mark.parametrize("order", [("f0", "b0"), ("b0", "f0")])
@pytest.mark.parametrize("kind", KINDS)
def test_call_is_answered_while_both_of_its_nodes_stop(
    kind: str, order: tuple[str, str]
) -> None:
    async def scenario(site: Site) -> None:
        target = site.nodes["b0"]
        sending = await start_call(site, kind, run_s=3.0)
        first, second = (site.nodes[name] for name in order)
        stopping = [asyncio.create_task(stop(first, 6))]
        await asyncio.sleep(0.5)
        stopping.append(asyncio.create_task(stop(second, 6)))
        check_answered(await sending, target)
        await asyncio.gather(*stopping)

    run_scenario(scenario)


@pytest.mark.parametrize("kind", KINDS)
def test_call_taken_while_stopping_passes_on_no_more_time_than_is_left(
    kind: str,
) -> None:
    async def scenario(site: Site) -> None:
        upstream = site.nodes["b0"].upstream
        ticket = await get_ticket(site.nodes["f0"], kind, "x")
        stopping = asyncio.create_task(stop(site.nodes["f0"], 4))
        await asyncio.sleep(0)
        upstream.run_s = None
        response = await send(site.nodes["f0"], kind, "x", ticket=ticket)
        assert upstream.runs == {"x": 1}
        assert upstream.timeouts_ms["x"] < 4000
        check_cut(response, kind)
        await stopping

    run_scenario(scenario)


@pytest.mark.parametrize("kind", KINDS)
def test_running_call_makes_its_sub_calls_while_its_node_stops(kind: str) -> None:
    async def scenario(site: Site) -> None:
        running = site.nodes["f0"]
        running.upstream.run_s = None
        running.upstream.sub_call = kind
        ticket = await get_ticket(running, "page", "x")
        sending = asyncio.create_task(send(running, "page", "x", ticket=ticket))
        await wait_until(lambda: running.upstream.runs == {"x": 1})
        stopping = asyncio.create_task(stop(running, 6))
        # Longer than a node without work takes to end.
        await asyncio.sleep(2.5)
        running.upstream.release.set()
        response = await sending
        assert response.status_code == 200
        assert len(site.nodes["b0"].upstream.runs) == 1
        await stopping

    run_scenario(scenario)


def test_node_ends_only_once_its_answers_are_sent_whole() -> None:
    async def scenario(site: Site) -> None:
        running, size = site.nodes["f0"], 12_000_000
        site.nodes["b0"].upstream.answer_bytes = size
        ticket = await get_ticket(running, "write", "x")
        address = running.node.state.settings.http
        reader, writer = await asyncio.open_connection(
            address.host, address.port, limit=1024
        )
        head = (
            "POST /call/run HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n"
            "pimento-kind: write\r\npimento-request-id: x\r\n"
            f"pimento-caller: tests\r\npimento-ticket: {ticket}\r\n\r\n"
        )
        writer.write(head.encode())
        # The caller reads nothing more for the time being.
        received = len(await reader.readexactly(100))
        running.node.drain()
        # Longer than a node without work takes to end.
        await asyncio.sleep(3.0)
        assert not running.serving.done()
        async with asyncio.timeout(WAIT_S):
            while data := await reader.read(65536):
                received += len(data)
            await running.serving
        assert received > size
        writer.close()

    run_scenario(scenario)


def test_node_ends_at_the_end_of_its_grace_though_a_caller_reads_nothing() -> None:
    async def scenario(site: Site) -> None:
        running = site.nodes["f0"]
        site.nodes["b0"].upstream.answer_bytes = 12_000_000
        address = running.node.state.settings.http
        reader, writer = await asyncio.open_connection(
            address.host, address.port, limit=1024
        )
        head = (
            "POST /call/run HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n"
            "pimento-kind: read\r\npimento-request-id: x\r\n\r\n"
        )
        writer.write(head.encode())
        await reader.readexactly(100)
        await stop(running, 2)
        writer.close()

    run_scenario(scenario)


@pytest.mark.parametrize("grace_s", [1, 3])
def test_node_without_work_ends_within_its_grace(grace_s: int) -> None:
    async def scenario(site: Site) -> None:
        await stop(site.nodes["f0"], grace_s)

    run_scenario(scenario)


def test_run_whose_sender_has_left_is_not_broken_off_by_the_stop_of_its_home() -> None:
    async def scenario(site: Site) -> None:
        home, target = site.nodes["f0"], site.nodes["b0"]
        other = await site.start("f1", "front", grace_s=1)
        await site.wait_connected()
        ticket = await get_ticket(home, "write", "x")
        target.upstream.run_s = 3.5
        sending = asyncio.create_task(send(other, "write", "x", ticket=ticket))
        await wait_until(lambda: target.upstream.runs == {"x": 1})
        stopping = asyncio.create_task(stop(home, 6))
        await stop(other, 1)
        assert (await sending).headers["pimento-outcome"] == "unknown"
        await stopping
        upstream = target.upstream
        await wait_until(lambda: bool(upstream.finished | upstream.cancelled))
        assert upstream.cancelled == set()

    run_scenario(scenario)


def make_call(kind: str, request: str) -> HttpRequest:
    headers = [
        (b"host", b"node"),
        (b"pimento-kind", kind.encode()),
        (b"pimento-request-id", request.encode()),
    ]
    return HttpRequest(method=b"POST", path=b"/call/run", headers=headers, body=b"")


def test_requests_until_the_end_of_a_stop_are_answered_or_not_read() -> None:
    async def scenario(site: Site) -> None:
        running, upstream = site.nodes["f0"], site.nodes["b0"].upstream
        unread: list[str] = []
        statuses: set[int] = set()

        async def call_repeatedly(caller: int) -> None:
            loop = asyncio.get_running_loop()
            address = running.node.state.settings.http
            client = HttpClient(address=address, limit=1)
            for number in range(10_000):
                name = f"{caller}-{number}"
                try:
                    connection = await client.acquire(now=loop.time())
                except NotConnectedError:
                    return
                try:
                    response = await connection.exchange(
                        make_call("read", name), expires_at=loop.time() + WAIT_S
                    )
                except (NotConnectedError, IncompleteResponseError) as error:
                    unread.append(f"{name}: {error!r}")
                    assert not upstream.runs[name], unread
                    continue
                finally:
                    client.release(connection, now=loop.time())
                statuses.add(response.status)
                refused = response.find(b"pimento-outcome") == b"refused"
                assert upstream.runs[name] == (0 if refused else 1)
                await asyncio.sleep(0.005)

        callers = [asyncio.create_task(call_repeatedly(n)) for n in range(4)]
        await wait_until(lambda: len(upstream.runs) > 20)
        await stop(running, 3)
        await asyncio.gather(*callers)
        assert 200 in statuses
        assert statuses <= {200, 503}

    run_scenario(scenario)


def test_node_lets_others_receive_all_before_it_closes_their_streams() -> None:
    async def scenario(site: Site) -> None:
        node = site.nodes["b0"].node
        address = node.state.settings.stream
        reader, writer = await asyncio.open_connection(address.host, address.port)
        hello = Hello(
            protocol=PROTOCOL_VERSION, instance="x0", incarnation=1, zone="z1"
        )
        writer.write(encode_frame(hello))
        await wait_until(lambda: len(node._acceptor._sessions) > 1)
        node.state.settings = replace(node.state.settings, stop_grace_s=3)
        node.drain()
        async with asyncio.timeout(WAIT_S):
            while await reader.read(65536):
                pass
        # The stream has been finished, not closed.
        assert not node._stopped.is_set()
        writer.close()

    run_scenario(scenario)


@pytest.mark.parametrize("entry", ["f0", "b0"])
def test_answer_that_a_retry_leaves_unread_does_not_stay_in_progress(
    entry: str,
) -> None:
    async def scenario(site: Site) -> None:
        target = site.nodes["b0"]
        target.upstream.first_statuses = [500]
        # More than the windows of the stream and of the upstream's connection hold.
        target.upstream.answer_bytes = 3_000_000
        response = await send(site.nodes[entry], "retried", "x")
        assert response.status_code == 200
        assert target.upstream.runs == {"x": 2}
        await wait_until(lambda: target.node._acceptor.in_progress == 0)
        await wait_until(lambda: target.node._runner.in_progress == 0)
        await stop(target, 6)

    run_scenario(scenario)


def test_node_ends_though_the_configuration_changes_while_it_ends() -> None:
    async def scenario(site: Site) -> None:
        node = site.nodes["f0"].node
        node._distribution.changed.set()
        node.close()
        await asyncio.wait(node._tasks, timeout=WAIT_S)
        assert all(task.done() for task in node._tasks)

    run_scenario(scenario)


@pytest.mark.parametrize("kind", KINDS)
def test_call_cut_by_a_node_that_runs_late_at_its_end_is_answered(kind: str) -> None:
    async def scenario(site: Site) -> None:
        sending = await start_call(site, kind, run_s=None)
        running = site.nodes["b0"]
        stopping = asyncio.create_task(stop(running, 1))
        await wait_until(lambda: running.node.state.is_draining)
        shutdown = running.node.state.shutdown
        loop = asyncio.get_running_loop()
        # Until after the end of the stop, and before that of the grace period.
        loop.call_at(shutdown.answers_due_at - 0.05, time.sleep, 0.1)
        check_cut(await sending, kind)
        await stopping

    run_scenario(scenario)
