"""Targets that state a rate limit or that they leave: what reaches them then."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager

import pytest

from pimentoscale.http import HttpResponse
from pimentoscale_bench.target import StandInTarget
from tests.sidecars import Deployment, make_route, run_deployment, wait_until

SERVICES = ["a", "b"]
ROUTES = [make_route("rb", "b"), make_route("once", "b", kind="unsafe")]
# The users' bound on requests to a target that states a limit: in each window this
# factor times what the limit allows, plus some requests.
WINDOW_S = 4.0
RATE_FACTOR = 1.5
EXTRA_REQUESTS = 5
# After this time a target that states that it leaves gets no request.
DRAIN_BOUND_S = 2.0
LIMIT = 5.0
# Requests a second that all callers together send.
DEMAND = 60.0

Scenario = Callable[[Deployment], Awaitable[None]]


def run_scenario(scenario: Scenario) -> None:
    """Run a scenario: m1 and m4 with service `a`, m2 and m3 with service `b`."""

    async def run() -> None:
        async with run_deployment() as deployment:
            deployment.configure(ROUTES, SERVICES)
            for name, service in (("m1", "a"), ("m2", "b"), ("m3", "b"), ("m4", "a")):
                await deployment.start_machine(name, service, slots=32)
            await deployment.wait_ready()
            await scenario(deployment)

    asyncio.run(run())


@asynccontextmanager
async def send_steadily(
    deployment: Deployment, names: Iterable[str], *, rate: float = DEMAND
) -> AsyncIterator[list[HttpResponse]]:
    """Send requests at a rate to the nodes in turn, and collect the responses."""
    responses: list[HttpResponse] = []
    tasks: set[asyncio.Task[None]] = set()
    nodes = list(names)
    is_done = False

    async def send(name: str) -> None:
        responses.append(await deployment.send(name, "/rb/x", remaining_ms=3000))

    async def send_all() -> None:
        count = 0
        while not is_done:
            tasks.add(asyncio.create_task(send(nodes[count % len(nodes)])))
            count += 1
            await asyncio.sleep(1 / rate)

    sending = asyncio.create_task(send_all())
    try:
        yield responses
    finally:
        is_done = True
        await sending
        await asyncio.gather(*tasks)


def count_most_arrivals(target: StandInTarget, *, since: float) -> int:
    """Return the most arrivals at a target in any window after a time."""
    times = [at for at in target.record.arrived_at if at >= since]
    return max(
        (sum(at <= other < at + WINDOW_S for other in times) for at in times), default=0
    )


def get_most_allowed(limit: float) -> float:
    return RATE_FACTOR * limit * WINDOW_S + EXTRA_REQUESTS


async def wait_seconds(seconds: float) -> float:
    """Wait, and return the time before."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    await wait_until(lambda: loop.time() >= started + seconds)
    return started


def test_target_that_states_a_rate_limit_gets_no_more_from_all_nodes() -> None:
    async def scenario(deployment: Deployment) -> None:
        limited = deployment.machines["m2"].target
        async with send_steadily(deployment, ("m1", "m2", "m3", "m4")) as responses:
            await wait_until(lambda: limited.record.runs.total() > 10)
            limited.rate_header = b"%.1f" % LIMIT
            since = await wait_seconds(WINDOW_S + 1.5)
        # Requests in progress may be answered without the limit.
        most = count_most_arrivals(limited, since=since + 0.2)
        assert 0 < most <= get_most_allowed(LIMIT)
        # The other target has room for the rest.
        assert {response.status for response in responses} == {200}

    run_scenario(scenario)


def test_rate_limit_holds_after_a_restart_of_the_node_beside_the_target() -> None:
    async def scenario(deployment: Deployment) -> None:
        machine = deployment.machines["m2"]
        limited = machine.target
        limited.rate_header = b"%.1f" % LIMIT
        # The restarted node hears of the limit only with the first answer.
        for name in ("m2", "m3"):
            deployment.machines[name].target.run_s = 0.4
        async with send_steadily(deployment, ("m1", "m4")):
            await wait_until(lambda: limited.record.runs.total() > 8)
            since = await wait_seconds(1.5)
            await deployment.restart_node("m2")
            before = limited.record.runs.total()
            await wait_until(lambda: limited.record.runs.total() > before)
            await wait_seconds(WINDOW_S)
        most = count_most_arrivals(limited, since=since)
        assert 0 < most <= get_most_allowed(LIMIT)

    run_scenario(scenario)


def test_requests_beyond_the_limits_of_all_targets_are_refused_early_and_truly() -> (
    None
):
    async def scenario(deployment: Deployment) -> None:
        for name in ("m2", "m3"):
            deployment.machines[name].target.rate_header = b"%.1f" % LIMIT
        loop = asyncio.get_running_loop()
        refused: list[str] = []
        for machine in deployment.machines.values():
            machine.sidecar.forwarder.origins.add_caller_routes(["once"])

        async def send(index: int) -> float:
            identity = f"u{index}"
            started = loop.time()
            response = await deployment.send(
                "m1", "/once/x", method=b"POST", identity=identity, remaining_ms=4000
            )
            assert response.status in (200, 503)
            if response.status == 503:
                refused.append(identity)
                assert float(response.find(b"retry-after") or 0) > 0
                return loop.time() - started
            return 0.0

        assert await send(0) == 0.0
        assert await send(1) == 0.0
        tasks = []
        for index in range(2, 150):
            tasks.append(asyncio.create_task(send(index)))
            await asyncio.sleep(1 / DEMAND)
        refused_after_s = max(await asyncio.gather(*tasks))
        assert len(refused) > 50
        # Well before the objective of the route, 1 s.
        assert 0 < refused_after_s < 0.7
        runs = deployment.count_runs()
        assert not any(runs.get(identity) for identity in refused)

    run_scenario(scenario)


def test_target_that_states_that_it_leaves_gets_no_request_though_it_announces_ready() -> (  # noqa: E501
    None
):
    async def scenario(deployment: Deployment) -> None:
        leaving = deployment.machines["m2"].target
        async with send_steadily(deployment, ("m1", "m2", "m3")) as responses:
            await wait_until(lambda: leaving.record.runs.total() > 10)
            leaving.is_leaving = True
            since = await wait_seconds(DRAIN_BOUND_S + 1)
        assert leaving.state == "ready"
        assert leaving.record.last_arrival < since + DRAIN_BOUND_S
        assert {response.status for response in responses} == {200}

    run_scenario(scenario)


@pytest.mark.parametrize("store_is_down", [False, True])
def test_target_that_stated_that_it_leaves_is_not_used_after_a_restart_of_its_node(
    store_is_down: bool,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        machine = deployment.machines["m2"]
        leaving = machine.target
        async with send_steadily(deployment, ("m1", "m4")):
            await wait_until(lambda: leaving.record.runs.total() > 10)
            leaving.is_leaving = True
            await wait_seconds(0.5)
            deployment.service.faults.is_down = store_is_down
            await deployment.restart_node("m2")
            since = await wait_seconds(DRAIN_BOUND_S + 2)
        assert leaving.record.last_arrival < since + DRAIN_BOUND_S

    run_scenario(scenario)
