"""The processes of a soak: a store and nodes.

Targets and relays run inside the soak's own process.
"""

import asyncio
import contextlib
import json
import math
import os
import random
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import httpx

from pimentoscale.http import HttpRequest, HttpResponse
from pimentoscale.platform.settings import SETTINGS_VARIABLE
from pimentoscale.settings import Address
from pimentoscale_bench.relay import Relay
from pimentoscale_bench.soak.record import REVOCATION_S, SoakRecord
from pimentoscale_bench.target import StandInTarget

SERVICES = ("a", "b", "c")
ZONES = ("z1", "z2")
HOST_NAME = "soak.example"
FURTHER_HOST_NAME = "further.example"
# Numbers of routes of another host in a version and those after it, in turn.
FURTHER_ROUTES = (0, 0, 2000, 0, 500, 5000)
SLOTS = 8
# All below the range of ephemeral ports, which the system gives to outgoing
# connections.
PORTS = {
    "listen_addresses.outbound": 7604,
    "listen_addresses.ready": 7602,
    "listen_addresses.control": 7606,
    "target": 7601,
    "callers_relay": 7614,
    "store_relay": 7609,
    "target_relay": 7611,
}
STREAM_PORTS = (7620, 7635)
# The runs of a target take these times, most of them the shorter ones.
RUN_S = (0.01, 1.5)
GRACE_S = 6.0
# The key of most requests, and the organisations' limit, which no soak reaches.
USUAL_KEY = "usual"
RATE_PER_S = 100_000
# Each node of this many has a short grace period.
SHORT_GRACE_S = 3.0
SHORT_GRACE_PERIOD = 4
READY_TIMEOUT_S = 20.0
# Longer than a grace period and a suspension together.
STOP_TIMEOUT_S = 13.0
POLL_S = 0.05


@dataclass(slots=True, kw_only=True)
class SoakNode:
    """A node's process with its local target and its relays.

    `callers`, `store` and `upstream` are the relays from its callers, to the store and
    to its target. `is_restarting` is set while the process or the target is replaced,
    and `is_starting` from a restart of the process until it is ready.
    `first_grace_s` is the grace period with which it was first started, the shortest
    that it has.
    """

    name: str
    zone: str
    service: str
    host: str
    target: StandInTarget
    callers: Relay
    store: Relay
    upstream: Relay
    process: "subprocess.Popen[bytes] | None" = None
    grace_s: float = GRACE_S
    first_grace_s: float = GRACE_S
    is_restarting: bool = False
    is_starting: bool = False

    def get_address(self, port_name: str) -> Address:
        """Return the node's address with the port of a name in `PORTS`."""
        return Address(host=self.host, port=PORTS[port_name])

    def make_settings(self) -> str:
        """Return the text of the settings file."""
        keys = [name for name in PORTS if name.startswith("listen_addresses")]
        lines = [f"{key}={self.get_address(key)}" for key in keys]
        lines += [
            f"node={self.name}",
            f"zone={self.zone}",
            f"ip_address={self.host}",
            f"internal_port_range={STREAM_PORTS[0]},{STREAM_PORTS[1]}",
            f"application_address={self.upstream.listen}",
            f"service={self.service}",
            f"platform.address={self.store.listen}",
            f"bounds=grace_s={self.grace_s},budget_ratio=0.2,budget_window_s=10,"
            f"strict_revocation=true,revoke_s={REVOCATION_S},quota_window_s=5",
        ]
        return "\n".join(lines) + "\n"


@dataclass(slots=True, kw_only=True)
class SoakDeployment:
    """Starts and configures the processes of a soak, and stops only these.

    `subnet` is the second byte of all loopback addresses; concurrent runs need
    different ones. `routes` and `version` are the newest configuration. The run times
    of requests are drawn from `seed`. Of `leaving_keys` the last one is valid, the
    others were taken away.
    """

    folder: Path
    seed: int
    subnet: int
    node_count: int
    record: SoakRecord = field(default_factory=SoakRecord)
    nodes: list[SoakNode] = field(default_factory=list)
    targets: list[StandInTarget] = field(default_factory=list)
    routes: list[dict[str, Any]] = field(default_factory=list)
    version: int = 0
    leaving_keys: list[str] = field(default_factory=lambda: ["leaving-0"])
    store_process: "subprocess.Popen[bytes] | None" = None

    @property
    def store(self) -> Address:
        """Return the store's own address."""
        return Address(host=f"127.{self.subnet}.0.1", port=7700)

    async def start(self) -> None:
        """Start the store, publish the first configuration, and start all nodes.

        Raises `TimeoutError` if the store or a node does not get ready in time.
        """
        command = ["--host", self.store.host, "--port", str(self.store.port)]
        self.store_process = self._spawn(
            "store", ["pimentoscale_bench.platform", *command], {}
        )
        await self._wait_for_store()
        self.routes = [_make_route(name, name) for name in SERVICES]
        self.routes.append(_make_route("once", "b", kind="unsafe"))
        await self.configure()
        for index in range(self.node_count):
            node = self._make_node(index)
            self.nodes.append(node)
            for relay in (node.callers, node.store, node.upstream):
                await relay.start()
            self.start_node(node)
            await node.target.start(node.get_address("target"))
        for node in self.nodes:
            await self.wait_ready(node)

    async def configure(self) -> None:
        """Write the next version of the configuration to the store.

        Raises `httpx.HTTPError` if the store does not acknowledge it.
        """
        self.version += 1
        await self.write_configuration()

    async def write_configuration(self) -> None:
        """Write the newest version to the store, perhaps again.

        Raises `httpx.HTTPError` if the store does not acknowledge it.
        """
        services = [
            {"name": name, "health_path": "/health", "max_connections": 64}
            for name in SERVICES
        ]
        limits = {
            "header_bytes": 16384,
            "body_bytes": 1_000_000,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        }
        document = {
            "version": f"{self.version:08x}",
            "services": services,
            "limits": limits,
            "hosts": [
                {"host": HOST_NAME, "paths": self.routes},
                {"host": FURTHER_HOST_NAME, "paths": self._make_further_routes()},
            ],
            "tenants": [
                _make_organisation("usual", USUAL_KEY),
                _make_organisation("leaving", self.leaving_keys[-1]),
            ],
        }
        value = b"\x06config" + json.dumps(document).encode()
        body = len(value).to_bytes(4, "big") + value
        async with httpx.AsyncClient(timeout=5) as client:
            answer = await client.post(
                f"http://{self.store}/v1/log-append?topic=keyed.op&part=0",
                content=body,
            )
            answer.raise_for_status()

    def _make_further_routes(self) -> list[dict[str, Any]]:
        """Return the routes that no request uses, which set the size of the version."""
        count = FURTHER_ROUTES[self.version % len(FURTHER_ROUTES)]
        return [_make_route(f"further-{index}", SERVICES[0]) for index in range(count)]

    def add_route(self, service: str) -> str:
        """Add a route to the next version and return its name."""
        name = f"v{self.version + 1}"
        self.routes.append(_make_route(name, service))
        return name

    def renew_key(self) -> str:
        """Take a key away with the next version, for a new one; return it."""
        old = self.leaving_keys[-1]
        self.leaving_keys.append(f"leaving-{len(self.leaving_keys)}")
        return old

    def start_node(self, node: SoakNode) -> None:
        """Start a node's process."""
        path = self.folder / f"{node.name}.conf"
        path.write_text(node.make_settings())
        node.process = self._spawn(
            node.name,
            ["pimentoscale.programs.sidecar"],
            {SETTINGS_VARIABLE: str(path)},
        )

    def write_settings(self, node: SoakNode) -> None:
        """Write a node's settings file."""
        (self.folder / f"{node.name}.conf").write_text(node.make_settings())

    def signal_node(self, node: SoakNode, number: int) -> None:
        """Send a signal to a node's process, if it runs."""
        if node.process is not None and node.process.poll() is None:
            os.kill(node.process.pid, number)

    async def wait_ended(self, node: SoakNode) -> bool:
        """Wait until a node's process has exited; return False on timeout."""
        assert node.process is not None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STOP_TIMEOUT_S):
                while node.process.poll() is None:
                    await asyncio.sleep(POLL_S)
                return True
        return False

    async def wait_ready(self, node: SoakNode) -> None:
        """Wait until a node reports that it is ready; raises `TimeoutError`."""
        address = node.get_address("listen_addresses.ready")
        async with httpx.AsyncClient(timeout=1) as client:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while not await _is_ready(client, f"http://{address}/v1/readiness"):
                    await asyncio.sleep(POLL_S)

    async def set_store_faults(self, **changes: Any) -> None:
        """Change the faults that the store injects."""
        async with httpx.AsyncClient(timeout=5) as client:
            await client.post(f"http://{self.store}/faults", json=changes)

    def stop(self) -> None:
        """Kill all processes that were started, and close all targets and relays."""
        processes = [node.process for node in self.nodes]
        for process in (*processes, self.store_process):
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait(timeout=STOP_TIMEOUT_S)
        for target in self.targets:
            target.close()
            self.record.runs.update(target.record.runs)
        for node in self.nodes:
            for relay in (node.callers, node.store, node.upstream):
                relay.close()

    def make_target(self, node: SoakNode, identity: str) -> StandInTarget:
        """Return a new target that announces its relay's address as its own."""
        target = StandInTarget(
            identity=identity,
            service=node.service,
            zone=node.zone,
            slots=SLOTS,
            control=node.get_address("listen_addresses.control"),
            announced_address=node.upstream.listen,
            run_handler=partial(self._run_request, node),
        )
        # At one address, the announcement of the later start takes precedence.
        target.born = len(self.targets) + 1
        self.targets.append(target)
        return target

    def _make_node(self, index: int) -> SoakNode:
        host = f"127.{self.subnet}.1.{index + 1}"
        service = SERVICES[index % len(SERVICES)]
        is_short = index % SHORT_GRACE_PERIOD == SHORT_GRACE_PERIOD - 1
        grace_s = SHORT_GRACE_S if is_short else GRACE_S

        def make_relay(port_name: str, target: Address) -> Relay:
            return Relay(
                listen=Address(host=host, port=PORTS[port_name]), target=target
            )

        outgoing = Address(host=host, port=PORTS["listen_addresses.outbound"])
        upstream = Address(host=host, port=PORTS["target"])
        node = SoakNode(
            name=f"node-{index + 1}",
            zone=ZONES[index // len(SERVICES) % len(ZONES)],
            service=service,
            host=host,
            target=None,  # type: ignore[arg-type]
            callers=make_relay("callers_relay", outgoing),
            store=make_relay("store_relay", self.store),
            upstream=make_relay("target_relay", upstream),
            grace_s=grace_s,
            first_grace_s=grace_s,
        )
        node.target = self.make_target(node, f"t-{index + 1}-1")
        return node

    async def _run_request(self, node: SoakNode, request: HttpRequest) -> None:
        identity = (request.find(b"attempt-id") or b"").decode()
        rng = random.Random(f"{self.seed}/{identity}")
        run_s = math.exp(rng.uniform(*map(math.log, RUN_S)))
        with self.record.track_run(identity, node=node.name):
            await asyncio.sleep(run_s)

    def _spawn(
        self, name: str, command: list[str], environment: dict[str, str]
    ) -> "subprocess.Popen[bytes]":
        with (self.folder / f"{name}.log").open("ab") as output:
            return subprocess.Popen(
                [sys.executable, "-m", *command],
                stdout=output,
                stderr=output,
                env={**os.environ, **environment},
            )

    async def _wait_for_store(self) -> None:
        async with httpx.AsyncClient(timeout=1) as client:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while not await _is_ready(client, f"http://{self.store}/counts"):
                    await asyncio.sleep(POLL_S)


async def _is_ready(client: httpx.AsyncClient, url: str) -> bool:
    try:
        return (await client.get(url)).status_code == httpx.codes.OK
    except httpx.HTTPError:
        return False


def _make_route(name: str, service: str, *, kind: str = "safe") -> dict[str, Any]:
    return {
        "name": name,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_s": 2,
        "aim_s": 1.5,
        "priority": 0 if kind == "unsafe" else 1,
        "max_attempts": 2,
        "service": service,
    }


def _make_organisation(name: str, key: str) -> dict[str, Any]:
    return {"name": name, "keys": [key], "rate_per_s": RATE_PER_S, "burst": RATE_PER_S}


def make_request(
    *,
    path: str,
    identity: str,
    method: bytes,
    remaining_ms: int,
    key: str = USUAL_KEY,
) -> HttpRequest:
    """Return a caller's request; a POST request has the identity as its body."""
    return HttpRequest(
        method=method,
        path=path.encode(),
        headers=[
            (b"host", HOST_NAME.encode()),
            (b"attempt-id", identity.encode()),
            (b"deadline-remaining-ms", str(remaining_ms).encode()),
            (b"authorization", f"Token {key}".encode()),
        ],
        body=identity.encode() if method == b"POST" else b"",
    )


def is_signed(response: HttpResponse) -> bool:
    """Return whether an answer is a target's, not one of a node's own."""
    return response.find(b"response-signature") is not None


def is_answer_intact(response: HttpResponse, *, path: str, identity: str) -> bool:
    """Return whether a success is the target's complete answer to this request."""
    return (
        is_signed(response)
        and response.find(b"attempt-id") == identity.encode()
        and f"ran {path} ".encode() in response.body
    )
