"""Nodes of the own interface as processes; their upstreams run in the test."""

import asyncio
import os
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import httpx
import msgspec
import tomli_w

from pimentoscale.configuration import Patch, PatchRecord, encode_record
from pimentoscale.http import HttpLimits, HttpRequest, HttpResponse, HttpServer
from pimentoscale.platform.store import StoreClient
from pimentoscale.settings import Address
from pimentoscale.shutdown import Shutdown
from pimentoscale_bench.soak.starvation import read_wait_s
from tests.addresses import find_address
from tests.nodes import CONFIGURATION, ZONE

SLOTS = 60
READY_S = 30.0
POLL_S = 0.05
END_POLL_S = 0.002
RUN_MS = "x-run-ms"
ANSWER_BYTES = "x-answer-bytes"


@dataclass(slots=True, kw_only=True)
class Run:
    """One run of a request; the times are those of the event loop's clock."""

    node: str
    started: float
    ended: float = 0.0
    is_whole: bool = False


class RecordingUpstream:
    """An upstream whose requests state how long they run and how long the answer is."""

    def __init__(self, *, node: str, runs: dict[str, list[Run]]) -> None:
        self._node = node
        self._runs = runs
        self.server = HttpServer(handler=self._handle, limits=HttpLimits())

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        loop = asyncio.get_running_loop()
        name = (request.find(b"pimento-request-id") or b"").decode()
        if not name:
            return HttpResponse(status=200)
        run = Run(node=self._node, started=loop.time())
        self._runs.setdefault(name, []).append(run)
        try:
            await asyncio.sleep(int(request.find(RUN_MS.encode()) or 0) / 1000)
            run.is_whole = True
        finally:
            run.ended = loop.time()
        size = int(request.find(ANSWER_BYTES.encode()) or 0)
        return HttpResponse(status=200, headers=[], body=b"x" * size)


@dataclass(slots=True, kw_only=True)
class NodeProcess:
    """A node's process and the signals that it got, by the event loop's clock."""

    name: str
    grace_s: int
    http: Address
    stream: Address
    upstream: Address
    log: Path
    process: "subprocess.Popen[bytes] | None" = None
    signalled: list[float] = field(default_factory=list)
    ended_at: float = 0.0
    # How long it waited for a processor after its last answers were due.
    waited_s: float = 0.0

    @property
    def shutdown(self) -> Shutdown:
        """Return the times of the stop, which begins with the first signal."""
        shutdown = Shutdown()
        if self.signalled:
            shutdown.begin(grace_s=self.grace_s, now=self.signalled[0])
        return shutdown

    @property
    def url(self) -> str:
        """Return the URL of the HTTP interface."""
        return f"http://{self.http}"

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process is not None and self.ended_at == 0.0

    def terminate(self, *, now: float) -> None:
        """Send a SIGTERM, unless the process has ended."""
        if self.process is not None and self.ended_at == 0.0:
            self.signalled.append(now)
            # `send_signal` would collect the process before its end is recorded.
            os.kill(self.process.pid, signal.SIGTERM)

    async def wait_ended(self) -> int:
        """Wait until the process has ended, and return its exit code."""
        assert self.process is not None
        # A thread, since this loop may be late while callers are busy on it.
        self.ended_at, self.waited_s = await asyncio.to_thread(
            wait_for_end, self.process.pid, self.shutdown.answers_due_at
        )
        return self.process.wait()


def wait_for_end(pid: int, due_at: float) -> tuple[float, float]:
    """Wait until a child process has ended.

    Return when, by the monotonic clock, and how long it waited for a processor after
    `due_at`.
    """
    status = os.WEXITED | os.WNOWAIT
    while time.monotonic() < due_at:
        if os.waitid(os.P_PID, pid, status | os.WNOHANG) is not None:
            return time.monotonic(), 0.0
        time.sleep(END_POLL_S)
    waited_s = read_wait_s(pid)
    os.waitid(os.P_PID, pid, status)
    return time.monotonic(), read_wait_s(pid) - waited_s


class NodeFleet:
    """The nodes of one zone, their upstreams, and the store."""

    def __init__(self, *, folder: Path) -> None:
        self._folder = folder
        self._store = find_address()
        self._servers: list[HttpServer] = []
        self._processes: list[subprocess.Popen[bytes]] = []
        self.nodes: dict[str, NodeProcess] = {}
        self.runs: dict[str, list[Run]] = {}

    async def start(self, graces_s: dict[str, int], services: dict[str, str]) -> None:
        """Start the store and all nodes, and wait until they know each other."""
        host, port = self._store.host, str(self._store.port)
        self._spawn(
            "store", "pimentoscale_bench.platform", "--host", host, "--port", port
        )
        for name, grace_s in graces_s.items():
            self.nodes[name] = NodeProcess(
                name=name,
                grace_s=grace_s,
                http=find_address(),
                stream=find_address(),
                upstream=find_address(),
                log=self._folder / f"{name}.log",
            )
        async with asyncio.timeout(READY_S):
            await self._configure()
            for name, node in self.nodes.items():
                await self._start_node(node, services[name])
            for node in self.nodes.values():
                await self._wait_ready(node)

    async def close(self) -> None:
        """Kill the processes that still run, and close the upstreams."""
        for process in self._processes:
            process.kill()
            process.wait()
        for server in self._servers:
            server.close()

    async def _start_node(self, node: NodeProcess, service: str) -> None:
        upstream = RecordingUpstream(node=node.name, runs=self.runs)
        address = node.upstream
        await upstream.server.start(host=address.host, port=address.port)
        self._servers.append(upstream.server)
        path = self._folder / f"{node.name}.toml"
        path.write_text(tomli_w.dumps(self._make_settings(node, service)))
        node.process = self._spawn(
            node.name, "pimentoscale.programs.node", "--settings", str(path)
        )

    def _spawn(self, name: str, *command: str) -> "subprocess.Popen[bytes]":
        with (self._folder / f"{name}.log").open("ab") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", *command], stdout=output, stderr=output
            )
        self._processes.append(process)
        return process

    def _make_settings(self, node: NodeProcess, service: str) -> dict[str, Any]:
        others = [other for other in self.nodes.values() if other is not node]
        return {
            "instance": node.name,
            "zone": ZONE,
            "http": msgspec.to_builtins(node.http),
            "stream": msgspec.to_builtins(node.stream),
            "platform": msgspec.to_builtins(self._store),
            "ticket_secret": "sixteen characters or more",
            "stop_grace_s": node.grace_s,
            "first_peers": [msgspec.to_builtins(other.stream) for other in others][:2],
            "upstream": {
                "service": service,
                "host": node.upstream.host,
                "port": node.upstream.port,
                "slots": SLOTS,
                "connections": 200,
            },
        }

    async def _configure(self) -> None:
        record = PatchRecord(
            id="first",
            patch=Patch(base=0, set=CONFIGURATION),
            submitter="test",
            message="",
            at_ms=int(time.time() * 1000),
        )
        records = [encode_record(record)]
        client = StoreClient(address=self._store)
        async with httpx.AsyncClient() as http:
            while not await _is_ok(http, f"http://{self._store}/counts"):
                await asyncio.sleep(POLL_S)
        await client.append(topic="configuration", records=records)

    async def _wait_ready(self, node: NodeProcess) -> None:
        async with httpx.AsyncClient() as http:
            while not await _is_ok(http, f"{node.url}/healthz"):
                assert node.process is not None
                assert node.process.poll() is None, node.log.read_text()
                await asyncio.sleep(POLL_S)
            while not await self._knows_all(http, node):
                await asyncio.sleep(POLL_S)

    async def _knows_all(self, http: httpx.AsyncClient, node: NodeProcess) -> bool:
        status = (await http.get(f"{node.url}/control/status")).json()
        alive = {
            member["instance"]
            for member in status["members"]
            if member["state"] == "alive"
        }
        return status["version"] > 0 and alive >= set(self.nodes)


async def _is_ok(http: httpx.AsyncClient, url: str) -> bool:
    try:
        return (await http.get(url)).status_code == httpx.codes.OK
    except httpx.HTTPError:
        return False


@asynccontextmanager
async def run_node_fleet(folder: Path) -> AsyncIterator[NodeFleet]:
    """Run a fleet until the context ends."""
    fleet = NodeFleet(folder=folder)
    try:
        yield fleet
    finally:
        await fleet.close()
