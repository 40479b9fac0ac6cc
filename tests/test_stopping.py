"""What a node owes to the requests that it has accepted, until it ends."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest

from pimentoscale.forwarding.links import IDLE_TIMEOUT_S
from pimentoscale.http import HttpRequest, HttpResponse
from pimentoscale.settings import Address
from tests.sidecars import (
    HOST_NAME,
    WAIT_S,
    Deployment,
    make_route,
    run_deployment,
    wait_until,
)

RUN_S = 1.5
ROUTES = [
    make_route("safe", "b"),
    make_route("once", "b", kind="unsafe"),
]
Change = Callable[[Deployment], Awaitable[object]]


def run_scenario(scenario: Callable[[Deployment], Awaitable[None]]) -> None:
    """Run a scenario: m1 has no target of `b`, m2 is in its zone, m3 in another."""

    async def run() -> None:
        async with run_deployment() as deployment:
            deployment.configure(ROUTES, ["a", "b"])
            await deployment.start_machine("m1", "a")
            await deployment.start_machine("m2", "b")
            await deployment.start_machine("m3", "b", zone="z2")
            await deployment.wait_ready()
            await scenario(deployment)

    asyncio.run(run())


async def start_request(
    deployment: Deployment, route: str, name: str
) -> "asyncio.Task[int]":
    """Send a request at m1 that only the target of a machine may run, and is running.

    The result of the task is the status of the response.
    """
    entry = deployment.machines["m1"].sidecar
    for view in entry.views.list("b"):
        if view.member.instance != name:
            entry.views.remove(view.member.instance)
    deployment.machines[name].target.run_s = RUN_S

    async def send() -> int:
        return (await deployment.send("m1", f"/{route}/x", identity="x")).status

    sending = asyncio.create_task(send())
    await wait_until(lambda: deployment.count_runs() == {"x": 1})
    return sending


async def leave(deployment: Deployment) -> None:
    assert await deployment.machines["m2"].target.deregister() == 200
    members = deployment.machines["m1"].sidecar.state.members
    await wait_until(lambda: "m2" not in members)


async def drain_and_leave(deployment: Deployment) -> None:
    target = deployment.machines["m2"].target
    target.state = "draining"
    assert await target.announce() == 200
    await leave(deployment)


async def move(deployment: Deployment) -> None:
    entry = deployment.machines["m1"].sidecar
    member = entry.state.members["m2"]
    port = deployment.machines["m3"].settings.stream.port
    moved = replace(member, stream=Address(host=member.stream.host, port=port))
    entry.links.update_member(moved, now=asyncio.get_running_loop().time())


@pytest.mark.parametrize("route", ["safe", "once"])
@pytest.mark.parametrize("is_stopping", [False, True])
@pytest.mark.parametrize("change", [leave, drain_and_leave, move])
def test_request_at_a_target_is_not_given_up_when_its_member_changes(
    change: Change, is_stopping: bool, route: str
) -> None:
    async def scenario(deployment: Deployment) -> None:
        sending = await start_request(deployment, route, "m2")
        if is_stopping:
            deployment.machines["m1"].sidecar.stop()
        await change(deployment)
        assert await sending == 200
        assert deployment.count_runs() == {"x": 1}
        assert deployment.machines["m2"].target.record.cancelled == set()

    run_scenario(scenario)


def test_stream_of_a_request_in_progress_is_not_closed_as_idle() -> None:
    async def scenario(deployment: Deployment) -> None:
        sending = await start_request(deployment, "once", "m3")
        links = deployment.machines["m1"].sidecar.links
        now = asyncio.get_running_loop().time()
        links.close_idle(now=now + 2 * IDLE_TIMEOUT_S)
        assert await sending == 200
        assert links.is_up("m3")
        links.close_idle(now=now + 4 * IDLE_TIMEOUT_S)
        assert not links.is_up("m3")

    run_scenario(scenario)


def test_last_sixth_of_a_short_grace_period_is_not_given_up() -> None:
    async def scenario(deployment: Deployment) -> None:
        node = deployment.machines["m1"].sidecar
        node.state.settings = replace(node.state.settings, stop_grace_s=2.0)
        sending = await start_request(deployment, "once", "m2")
        node.stop()
        # The target works until shortly before the last sixth.
        assert await sending == 200
        assert deployment.machines["m2"].target.record.cancelled == set()

    run_scenario(scenario)


def test_node_beside_the_target_passes_on_no_more_time_than_it_has_left() -> None:
    async def scenario(deployment: Deployment) -> None:
        stopping = deployment.machines["m2"]
        node = stopping.sidecar
        node.state.settings = replace(node.state.settings, stop_grace_s=3.0)
        node.stop()
        sending = await start_request(deployment, "once", "m2")
        headers = stopping.target.record.headers["x"]
        assert float(headers["deadline-remaining-ms"]) < 3000
        assert await sending == 200

    run_scenario(scenario)


def test_node_ends_only_once_its_answers_are_sent_whole() -> None:
    async def scenario(deployment: Deployment) -> None:
        size = 12_000_000

        async def answer(request: HttpRequest) -> HttpResponse:
            identity = request.find(b"attempt-id") or b""
            headers = [(b"attempt-id", identity), (b"response-signature", b"s")]
            return HttpResponse(status=200, headers=headers, body=b"x" * size)

        deployment.machines["m2"].target.run_handler = answer
        entry = deployment.machines["m1"]
        address = entry.settings.outgoing
        reader, writer = await asyncio.open_connection(
            address.host, address.port, limit=1024
        )
        head = f"GET /safe/x HTTP/1.1\r\nhost: {HOST_NAME}\r\nattempt-id: x\r\n\r\n"
        writer.write(head.encode())
        # The caller reads nothing more for the time being.
        received = len(await reader.readexactly(100))
        entry.sidecar.stop()
        # Longer than a node without work takes to end.
        await asyncio.sleep(3.2)
        assert not entry.sidecar._stopped.is_set()
        async with asyncio.timeout(WAIT_S):
            while data := await reader.read(65536):
                received += len(data)
            await entry.sidecar.wait_stopped()
        assert received > size
        writer.close()

    run_scenario(scenario)
