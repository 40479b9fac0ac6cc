"""The store leaves the readers of one zone without answers, and serves the others."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial

import pytest

from pimentoscale.forwarding.links import IDLE_TIMEOUT_S, ZONE_CONTACTS
from pimentoscale.forwarding.node import Sidecar
from pimentoscale.forwarding.routes import FETCH_DELAY_S, FETCH_TIMEOUT_S
from pimentoscale.http import HttpResponse
from pimentoscale.platform.store import StoreClient
from pimentoscale.store import StoreError
from pimentoscale.store.watch import BACKOFF_MAX_S
from tests.sidecars import Deployment, make_route, run_deployment, wait_until

# The users' bound from the store's acknowledgement of a version to its use, in seconds.
CONFIG_BOUND_S = 2.0
SERVICES = ["b", "c"]
SERVICES_BY_ZONE = {"z1": "b", "z2": "c"}


@pytest.fixture
def unanswered(monkeypatch: pytest.MonkeyPatch) -> set[StoreClient]:
    """Return the clients to whose calls the store gives no answers any more."""
    clients: set[StoreClient] = set()
    call = StoreClient._call

    async def call_or_hang(
        self: StoreClient, kind: str, path: str, body: bytes, timeout_s: float
    ) -> tuple[HttpResponse, int]:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + timeout_s
        answer = await call(self, kind, path, body, timeout_s)
        if self in clients:
            await asyncio.sleep(ends_at - loop.time())
            raise StoreError("no answer")
        return answer

    monkeypatch.setattr(StoreClient, "_call", call_or_hang)
    return clients


def run_zones(
    scenario: Callable[[Deployment], Awaitable[None]], nodes_by_zone: dict[str, int]
) -> None:
    """Run a scenario in zones whose readers wait for records of the routes."""

    async def run() -> None:
        async with run_deployment() as deployment:
            deployment.configure([make_route("rb", "b")], SERVICES)
            await deployment.start_zones(nodes_by_zone, services=SERVICES_BY_ZONE)
            await scenario(deployment)

    asyncio.run(run())


def list_zone(deployment: Deployment, zone: str) -> list[Sidecar]:
    return [
        machine.sidecar
        for machine in deployment.machines.values()
        if machine.settings.zone == zone
    ]


def get_client(node: Sidecar) -> StoreClient:
    assert isinstance(node._store, StoreClient)
    return node._store


def list_readers(nodes: list[Sidecar]) -> list[Sidecar]:
    return [node for node in nodes if node.relay.selection.choice.reads_store]


async def change_routes(deployment: Deployment) -> None:
    name = f"v{deployment.version + 1}"
    deployment.configure([make_route("rb", "b"), make_route(name, "b")], SERVICES)


async def measure_delay(deployment: Deployment, nodes: list[Sidecar]) -> float:
    """Change the routes; return how long it took until some nodes use the change."""
    loop = asyncio.get_running_loop()
    await change_routes(deployment)
    began = loop.time()
    await wait_until(
        lambda: all(node.state.version == deployment.version for node in nodes)
    )
    return loop.time() - began


async def wait_reading(deployment: Deployment) -> None:
    """Have all readers begin a read that waits, as after each record."""
    await change_routes(deployment)
    await deployment.wait_ready()


def test_zone_without_answers_gets_versions_from_another_zone_in_time(
    unanswered: set[StoreClient],
) -> None:
    async def scenario(deployment: Deployment) -> None:
        nodes = list_zone(deployment, "z1")
        await wait_reading(deployment)
        unanswered.update(get_client(node) for node in nodes)
        assert await measure_delay(deployment, nodes) < CONFIG_BOUND_S

    run_zones(scenario, {"z1": 3, "z2": 3})


def test_version_stated_on_an_accepted_stream_is_fetched(
    unanswered: set[StoreClient],
) -> None:
    async def scenario(deployment: Deployment) -> None:
        (node,) = list_zone(deployment, "z1")
        await wait_reading(deployment)
        # The targets of the route are in the other zone, whose node opens a stream.
        assert (await deployment.send("z2-0", "/rb/x")).status == 200
        unanswered.add(get_client(node))
        assert await measure_delay(deployment, [node]) < CONFIG_BOUND_S

    run_zones(scenario, {"z1": 1, "z2": 1})


def test_zone_that_reaches_no_other_reads_by_another_node_in_time(
    unanswered: set[StoreClient],
) -> None:
    async def scenario(deployment: Deployment) -> None:
        nodes = list_zone(deployment, "z1")
        readers = list_readers(nodes)
        in_touch = [node for node in nodes if node not in readers]
        await wait_reading(deployment)
        unanswered.update(get_client(node) for node in readers)
        assert await measure_delay(deployment, in_touch) < CONFIG_BOUND_S

    run_zones(scenario, {"z1": 4})


def test_silent_reads_and_the_pause_after_them_leave_time_for_another(
    unanswered: set[StoreClient],
) -> None:
    """A silent read of the newest records and the pause after it took 2.6 s."""

    async def scenario(deployment: Deployment) -> None:
        (node,) = list_zone(deployment, "z1")
        client = get_client(node)
        loop = asyncio.get_running_loop()
        unanswered.add(client)
        for read in (
            client.read_newest(topic="keyed.op"),
            client.read(topic="keyed.op", offset=0, wait_ms=0),
        ):
            began = loop.time()
            with pytest.raises(StoreError):
                await read
            longest_pause_s = 1.5 * BACKOFF_MAX_S
            assert loop.time() - began + longest_pause_s < CONFIG_BOUND_S

    run_zones(scenario, {"z1": 1})


def test_fetches_from_two_silent_nodes_leave_time_for_another() -> None:
    """Two fetches in a row took 2.1 s."""
    assert FETCH_DELAY_S + 2 * FETCH_TIMEOUT_S < CONFIG_BOUND_S - FETCH_TIMEOUT_S


def test_only_readers_keep_streams_to_other_zones_that_no_request_uses() -> None:
    async def scenario(deployment: Deployment) -> None:
        loop = asyncio.get_running_loop()
        others = {machine.settings.instance for machine in deployment.machines.values()}
        for zone in ("z1", "z2"):
            nodes = list_zone(deployment, zone)
            foreign = {name for name in others if not name.startswith(zone)}
            for node in nodes:
                expected = ZONE_CONTACTS if node in list_readers(nodes) else 0
                later = loop.time() + 2 * IDLE_TIMEOUT_S
                await wait_until(partial(has_streams, node, foreign, expected))
                node.links.close_idle(now=later)
                assert count_streams(node, foreign) == expected

    run_zones(scenario, {"z1": 3, "z2": 3})


def has_streams(node: Sidecar, names: set[str], count: int) -> bool:
    return count_streams(node, names) >= count


def count_streams(node: Sidecar, names: set[str]) -> int:
    return sum(node.links.is_up(name) for name in names)
