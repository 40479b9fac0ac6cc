"""A small deployment on the platform's protocols, in one process with real sockets."""

import asyncio
import itertools
import json
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import uvicorn

from pimentoscale.forwarding.node import Sidecar
from pimentoscale.forwarding.settings import SidecarSettings
from pimentoscale.http import HttpClient, HttpRequest, HttpResponse
from pimentoscale.programs.sidecar import make_sidecar
from pimentoscale.settings import Address
from pimentoscale_bench.platform import make_application
from pimentoscale_bench.store_service import StoreService
from pimentoscale_bench.target import StandInTarget
from tests.addresses import find_address

WAIT_S = 15.0
POLL_S = 0.02
CONFIGURATION_TOPIC = "keyed.op"
HOST_NAME = "h.example"
SEEDS = itertools.count(1)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait for a condition; raises `TimeoutError` after `WAIT_S`."""
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(POLL_S)


@dataclass(slots=True, kw_only=True)
class Machine:
    """A node and the target beside it."""

    settings: SidecarSettings
    sidecar: Sidecar
    target: StandInTarget


def make_route(name: str, service: str, **changes: Any) -> dict[str, Any]:
    route: dict[str, Any] = {
        "name": name,
        "path_prefix": f"/{name}/",
        "kind": "safe",
        "timeout_s": 5,
        "aim_s": 1,
        "priority": 1,
        "max_attempts": 2,
        "service": service,
    }
    route.update(changes)
    return route


@dataclass(slots=True, kw_only=True)
class Deployment:
    """A store and machines, with the actions of operators and clients."""

    service: StoreService
    store: Address
    machines: dict[str, Machine] = field(default_factory=dict)
    version: int = 0
    attempts: int = 0
    # Fields of the settings of machines that are started.
    settings: dict[str, Any] = field(default_factory=dict)

    def configure(
        self,
        routes: list[dict[str, Any]],
        services: list[str],
        tenants: list[dict[str, Any]] | None = None,
        *,
        body_bytes: int = 1_000_000,
    ) -> None:
        """Write a new version to the store."""
        self.version += 1
        document: dict[str, Any] = {
            "version": f"{self.version:08x}",
            "services": [
                {"name": name, "health_path": "/health", "max_connections": 50}
                for name in services
            ],
            "limits": {
                "header_bytes": 16384,
                "body_bytes": body_bytes,
                "header_timeout_s": 3,
                "idle_timeout_s": 15,
            },
            "hosts": [{"host": HOST_NAME, "paths": routes}],
        }
        if tenants is not None:
            document["tenants"] = tenants
        self.write(json.dumps(document).encode())

    def write(self, value: bytes) -> None:
        """Write any bytes as the configuration."""
        record = b"\x06config" + value
        # Records of long ago expire.
        now = asyncio.get_running_loop().time()
        self.service.append(CONFIGURATION_TOPIC, [record], at=None, now=now)

    async def start_machine(
        self, name: str, service: str, *, zone: str = "z1", slots: int = 4
    ) -> Machine:
        """Start a node and the target beside it."""
        settings = SidecarSettings(
            instance=name,
            zone=zone,
            outgoing=find_address(),
            readiness=find_address(),
            announcements=find_address(),
            stream=find_address(),
            metrics=find_address(),
            upstream=find_address(),
            upstream_service=service,
            store=self.store,
            store_writes_per_s=400.0,
            stop_grace_s=6.0,
            retry_ratio=0.2,
            retry_window_s=10.0,
            retry_slack=50.0,
            **self.settings,
        )
        target = StandInTarget(
            identity=f"i-{name}",
            service=service,
            zone=zone,
            slots=slots,
            control=settings.announcements,
        )
        sidecar = await self.start_node(settings)
        await target.start(settings.upstream)
        machine = Machine(settings=settings, sidecar=sidecar, target=target)
        self.machines[name] = machine
        return machine

    async def start_node(self, settings: SidecarSettings) -> Sidecar:
        """Start a node without a target."""
        now = asyncio.get_running_loop().time()
        # Each start has an incarnation of its own.
        sidecar = make_sidecar(settings, rng=random.Random(next(SEEDS)), now=now)
        await sidecar.start()
        return sidecar

    def end_node(self, name: str) -> None:
        """Close a node with all its connections, as the end of its process does."""
        node = self.machines[name].sidecar
        node.close()
        for server in (node._outgoing, node._announcements):
            for connection in list(server.connections):
                assert connection._transport is not None
                connection._transport.abort()

    async def restart_node(self, name: str) -> Sidecar:
        """Close a node with all its connections, and start it again."""
        self.end_node(name)
        machine = self.machines[name]
        machine.sidecar = await self.start_node(machine.settings)
        return machine.sidecar

    async def wait_ready(self) -> None:
        """Wait until every node has the newest version and all members."""

        def is_ready() -> bool:
            return all(
                machine.sidecar.state.version == self.version
                and len(machine.sidecar.state.members) == len(self.machines)
                for machine in self.machines.values()
            )

        await wait_until(is_ready)

    async def send(
        self,
        name: str,
        path: str,
        *,
        method: bytes = b"GET",
        body: bytes = b"",
        identity: str = "",
        remaining_ms: int = 5000,
        headers: tuple[tuple[bytes, bytes], ...] = (),
        key: str = "",
    ) -> HttpResponse:
        """Send a request to a node and return the response."""
        self.attempts += 1
        address = self.machines[name].settings.outgoing
        if key:
            headers = (*headers, (b"authorization", f"Token {key}".encode()))
        request = HttpRequest(
            method=method,
            path=path.encode(),
            headers=[
                (b"host", HOST_NAME.encode()),
                (b"attempt-id", (identity or f"id{self.attempts}").encode()),
                (b"deadline-remaining-ms", str(remaining_ms).encode()),
                *headers,
            ],
            body=body,
        )
        client = HttpClient(address=address, limit=1)
        connection = await client.acquire(now=asyncio.get_running_loop().time())
        try:
            async with asyncio.timeout(WAIT_S):
                return await connection.exchange(request)
        finally:
            connection.close()

    async def start_zones(
        self, nodes_by_zone: dict[str, int], *, services: dict[str, str]
    ) -> None:
        """Start machines in zones, and wait until their nodes agree on who reads.

        `services` are those of the zones' targets.
        """
        for zone, count in nodes_by_zone.items():
            for index in range(count):
                await self.start_machine(f"{zone}-{index}", services[zone], zone=zone)
        await self.wait_ready()
        expected = sum(min(2, count) for count in nodes_by_zone.values())
        await wait_until(lambda: self.has_readers(expected))

    def list_phases(self) -> list[float]:
        """Return the phases of the waits of the nodes that read the store."""
        return sorted(
            machine.sidecar.relay.get_phase()
            for machine in self.machines.values()
            if machine.sidecar.relay.selection.choice.reads_store
        )

    def has_readers(self, expected: int) -> bool:
        """Return whether the nodes agree on who reads, and in which order."""
        phases = self.list_phases()
        return len(phases) == len(set(phases)) == expected

    def count_runs(self) -> dict[str, int]:
        """Return how often each id ran, over all targets."""
        runs: dict[str, int] = {}
        for machine in self.machines.values():
            for identity, count in machine.target.record.runs.items():
                runs[identity] = runs.get(identity, 0) + count
        return runs

    def close(self) -> None:
        """Stop everything."""
        for machine in self.machines.values():
            machine.target.close()
            machine.sidecar.close()


@asynccontextmanager
async def run_deployment() -> AsyncIterator[Deployment]:
    """Run a store; stop it and all machines at the end."""
    address = find_address()
    service = StoreService()
    config = uvicorn.Config(
        make_application(service),
        host=address.host,
        port=address.port,
        log_level="warning",
        lifespan="off",
        timeout_graceful_shutdown=1,
    )
    server = uvicorn.Server(config)
    serving = asyncio.create_task(server._serve())
    await wait_until(lambda: server.started)
    deployment = Deployment(service=service, store=address)
    try:
        yield deployment
    finally:
        deployment.close()
        server.should_exit = True
        server.force_exit = True
        await serving


@asynccontextmanager
async def run_one_zone(*, machines: int) -> AsyncIterator[Deployment]:
    """Run machines of one service in one zone, whose nodes are ready."""
    async with run_deployment() as deployment:
        deployment.configure([make_route("rb", "b")], ["b"])
        for index in range(machines):
            await deployment.start_machine(f"m{index}", "b")
        await deployment.wait_ready()
        yield deployment
