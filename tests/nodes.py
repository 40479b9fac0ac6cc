"""Nodes of the own interface and their upstreams, in one process with real sockets."""

import asyncio
import json
import random
import socket
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import httpx
import msgspec

from pimentoscale.configuration import Consent, encode_record
from pimentoscale.configuration.patch import Patch
from pimentoscale.configuration.records import PatchRecord
from pimentoscale.http import HttpLimits, HttpRequest, HttpResponse, HttpServer
from pimentoscale.membership import Member
from pimentoscale.node.node import Node
from pimentoscale.policy import get_policy
from pimentoscale.programs.node import serve_node
from pimentoscale.settings import NodeSettings
from tests.addresses import HOST, find_address
from tests.sidecars import wait_until

ZONE = "z1"
SLOTS = 8
CONFIGURATION: dict[str, Any] = {
    "zones": {ZONE: {}},
    "services": {"front": {}, "back": {}},
    "kinds": {
        "read": {
            "service": "back",
            "importance": 50,
            "idempotent": True,
            "timeout_ms": 20_000,
        },
        "write": {
            "service": "back",
            "importance": 50,
            "idempotent": False,
            "timeout_ms": 20_000,
        },
        "retried": {
            "service": "back",
            "importance": 50,
            "idempotent": True,
            "timeout_ms": 20_000,
            "retries": 2,
        },
        "page": {
            "service": "front",
            "importance": 50,
            "idempotent": False,
            "timeout_ms": 20_000,
            "calls": ["read", "write"],
        },
    },
}


class StandInUpstream:
    """An upstream whose runs take `run_s`, or until `release` is set.

    `sub_call` is the kind that each run calls through its node once it has waited.
    """

    def __init__(self) -> None:
        self.run_s: float | None = 0.0
        self.release = asyncio.Event()
        self.answer_bytes = 2
        # Statuses of the first runs; those after them answer 200.
        self.first_statuses: list[int] = []
        self.sub_call = ""
        self.node_url = ""
        self.runs: Counter[str] = Counter()
        self.timeouts_ms: dict[str, int] = {}
        self.cancelled: set[str] = set()
        self.finished: set[str] = set()
        self.server = HttpServer(handler=self._handle, limits=HttpLimits())

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        name = (request.find(b"pimento-request-id") or b"").decode()
        self.runs[name] += 1
        self.timeouts_ms[name] = int(request.find(b"pimento-timeout-ms") or 0)
        status = 200
        try:
            if self.run_s is None:
                await self.release.wait()
            else:
                await asyncio.sleep(self.run_s)
            if self.sub_call:
                status = await self._make_sub_call(request)
        except asyncio.CancelledError:
            self.cancelled.add(name)
            raise
        self.finished.add(name)
        if self.first_statuses:
            status = self.first_statuses.pop(0)
        return HttpResponse(status=status, headers=[], body=b"x" * self.answer_bytes)

    async def _make_sub_call(self, request: HttpRequest) -> int:
        token = (request.find(b"pimento-token") or b"").decode()
        headers = {"pimento-kind": self.sub_call, "pimento-token": token}
        async with httpx.AsyncClient(timeout=30) as client:
            response = await client.post(f"{self.node_url}/call/run", headers=headers)
        return response.status_code


@dataclass(slots=True, kw_only=True)
class RunningNode:
    """A node, the task that serves it, and the upstream beside it."""

    node: Node
    serving: "asyncio.Task[None]"
    upstream: StandInUpstream

    @property
    def url(self) -> str:
        """Return the URL of the HTTP interface."""
        return f"http://{self.node.state.settings.http}"

    @property
    def member(self) -> Member:
        """Return the node's own announcement."""
        return self.node.state.own

    def announce(self, member: Member) -> None:
        """Apply an announcement of a member at this node, as from the overlay."""
        self.node._overlay.apply_member(member)


def _bind() -> socket.socket:
    """Return a socket that keeps its port from others and refuses connections."""
    sock = socket.socket()
    sock.bind((HOST, 0))
    return sock


@dataclass(slots=True, kw_only=True)
class Site:
    """The nodes of one zone, whose store refuses all connections."""

    nodes: dict[str, RunningNode] = field(default_factory=dict)
    stopped: list[RunningNode] = field(default_factory=list)
    store: socket.socket = field(default_factory=_bind)

    async def start(
        self,
        name: str,
        service: str,
        *,
        grace_s: int = 6,
        predecessor: NodeSettings | None = None,
    ) -> RunningNode:
        """Start a node that all others know as a member.

        It has the addresses of its predecessor, if there is one.
        """
        upstream = StandInUpstream()
        address = find_address()
        http = predecessor.http if predecessor else find_address()
        stream = predecessor.stream if predecessor else find_address()
        await upstream.server.start(host=HOST, port=address.port)
        document = {
            "instance": name,
            "zone": ZONE,
            "http": {"host": HOST, "port": http.port},
            "stream": {"host": HOST, "port": stream.port},
            "platform": {"host": HOST, "port": self.store.getsockname()[1]},
            "ticket_secret": "sixteen characters or more",
            "stop_grace_s": grace_s,
            "upstream": {
                "service": service,
                "host": HOST,
                "port": address.port,
                "slots": SLOTS,
                "connections": 100,
            },
        }
        settings = msgspec.convert(document, NodeSettings)
        algorithms = get_policy("adaptive")
        assert algorithms is not None
        node = Node(
            settings=settings,
            algorithms=algorithms,
            rng=random.Random(1),
            now=asyncio.get_running_loop().time(),
        )
        _configure(node)
        running = RunningNode(
            node=node, serving=asyncio.create_task(serve_node(node)), upstream=upstream
        )
        upstream.node_url = running.url
        if name in self.nodes:
            self.stopped.append(self.nodes[name])
        others = [other for key, other in self.nodes.items() if key != name]
        self.nodes[name] = running
        await _wait_listening(running)
        for other in others:
            running.announce(other.member)
            other.announce(running.member)
        return running

    async def wait_connected(self) -> None:
        """Wait until each node has its link to the others."""
        for running in self.nodes.values():
            overlay = running.node._overlay
            await wait_until(
                lambda overlay=overlay: (  # type: ignore[misc]
                    all(link.is_up for link in overlay.list_links())
                    and overlay._links_version >= 0
                )
            )

    async def close(self) -> None:
        """End all nodes and upstreams."""
        for running in [*self.nodes.values(), *self.stopped]:
            running.serving.cancel()
            await asyncio.gather(running.serving, return_exceptions=True)
            running.node.close()
            running.upstream.server.close()
        self.store.close()


@asynccontextmanager
async def run_site() -> AsyncIterator[Site]:
    """Run nodes until the context ends."""
    site = Site()
    try:
        yield site
    finally:
        await site.close()


async def send(
    running: RunningNode, kind: str, request: str, *, ticket: str = ""
) -> httpx.Response:
    """Send a call to a node on a connection of its own."""
    headers = {"pimento-kind": kind, "pimento-request-id": request}
    headers["pimento-caller"] = "tests"
    if ticket:
        headers["pimento-ticket"] = ticket
    async with httpx.AsyncClient(timeout=30) as client:
        return await client.post(f"{running.url}/call/run", headers=headers)


async def get_ticket(running: RunningNode, kind: str, request: str) -> str:
    """Return a ticket of which the node is the home; empty for idempotent kinds."""
    if CONFIGURATION["kinds"][kind]["idempotent"]:
        return ""
    response = await send(running, kind, request)
    assert response.headers["pimento-error"] == "ticket_required", response.headers
    return response.headers["pimento-ticket"]


def _configure(node: Node) -> None:
    patch = Patch(base=0, set=json.loads(json.dumps(CONFIGURATION)))
    record = PatchRecord(id="p1", patch=patch, submitter="test", message="", at_ms=0)
    consent = Consent(patch="p1", zone=ZONE, instance="test")
    records = [encode_record(record), encode_record(consent)]
    node.state.replica.apply(first=0, records=records, snapshot=b"")
    assert node.state.version == 1


async def _wait_listening(running: RunningNode) -> None:
    address = running.node.state.settings.http

    async def is_listening() -> bool:
        try:
            _, writer = await asyncio.open_connection(address.host, address.port)
        except OSError:
            return False
        writer.close()
        return True

    async with asyncio.timeout(10):
        while not await is_listening():
            assert not running.serving.done(), running.serving
            await asyncio.sleep(0.02)
