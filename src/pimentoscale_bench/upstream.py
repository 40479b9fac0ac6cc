"""pimento-upstream: a stand-in for an upstream, which records its runs in a file."""

import asyncio
import json
import os
import time
from collections.abc import Awaitable, Callable, MutableMapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Annotated, Any

import cyclopts
import uvicorn
import xxhash

from pimentoscale.call import Body, CallRequest, collect_body
from pimentoscale.garbage_collection import configure_garbage_collector
from pimentoscale.settings import Address
from pimentoscale.upstream import (
    ConnectionPool,
    UpstreamConnectionError,
    UpstreamUnreachableError,
)
from pimentoscale_bench.caller import SUBMISSION_HEADER
from pimentoscale_bench.deployment import KindPlan, read_deployment

app = cyclopts.App(name="pimento-upstream", help=__doc__)

Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]

RUN_PREFIX = "/run/"
NODE_CONNECTIONS = 512
SUB_CALL_FAILED_STATUS = 502
CHUNK = b"x" * 65536


@dataclass(slots=True, kw_only=True, frozen=True)
class UpstreamFaults:
    """The faults that are injected now.

    `slow_factor` multiplies each service time, `sheds` answers every run with 503, and
    service times are doubled for `cold_start_s` seconds after the start. `lying_load`
    has no effect.
    """

    slow_factor: float = 1.0
    sheds: bool = False
    cold_start_s: float = 0.0
    lying_load: bool = False


class RunRecord:
    """A file with one line for each start and end of a run.

    Each line is written at once, so that the record survives a kill of the process.
    """

    def __init__(self, *, path: Path) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._file = os.open(path, flags, 0o644)

    def write(
        self, event: str, *, request: str, kind: str, submission: str = ""
    ) -> None:
        """Write one line with the wall-clock time in seconds."""
        line = json.dumps([event, request, kind, submission, time.time()]) + "\n"
        os.write(self._file, line.encode())


class UpstreamService:
    """Runs calls in a fixed number of slots, with sub-calls through its own node."""

    def __init__(
        self,
        *,
        kinds: dict[str, KindPlan],
        slots: int,
        node: Address,
        record: RunRecord,
        now: float,
    ) -> None:
        self._kinds = kinds
        self._slots = asyncio.Semaphore(slots)
        self._node = ConnectionPool(address=node, limit=NODE_CONNECTIONS)
        self._record = record
        self._started_at = now
        self.faults = UpstreamFaults()

    async def serve(self, scope: Message, receive: Receive, send: Send) -> None:
        """Serve one HTTP exchange."""
        if scope["type"] != "http":
            return
        path: str = scope["path"]
        if path == "/faults":
            changes = json.loads(await _read_body(receive))
            self.faults = replace(self.faults, **changes)
            await _send_response(send, 200, b"{}", {})
        elif path.startswith(RUN_PREFIX):
            await self._serve_run(path.removeprefix(RUN_PREFIX), scope, receive, send)
        else:
            await _send_response(send, 200, b"ok", {})

    async def _serve_run(
        self, kind: str, scope: Message, receive: Receive, send: Send
    ) -> None:
        headers = dict(scope["headers"])
        request = headers.get(b"pimento-request-id", b"").decode()
        submission = headers.get(SUBMISSION_HEADER, b"").decode()
        self._record.write("start", request=request, kind=kind, submission=submission)
        if self.faults.sheds:
            await _send_response(send, 503, b"shed", {})
            return
        digest, size = await _digest_body(receive)
        plan = self._kinds[kind]
        status = 200
        async with self._slots:
            await asyncio.sleep(self._get_service_s(plan))
            for name in plan.calls:
                if not await self._send_sub_call(name, headers):
                    status = SUB_CALL_FAILED_STATUS
                    break
        self._record.write("end", request=request, kind=kind)
        body = _make_body(request, kind, digest, size, plan.answer_bytes)
        await _send_response(send, status, body, {"x-request": request})

    def _get_service_s(self, plan: KindPlan) -> float:
        factor = self.faults.slow_factor
        age_s = time.monotonic() - self._started_at
        if age_s < self.faults.cold_start_s:
            factor *= 2
        return plan.service_ms * factor / 1000

    async def _send_sub_call(self, kind: str, headers: dict[bytes, bytes]) -> bool:
        """Send a sub-call and return whether it succeeded."""
        request = CallRequest(
            method="POST",
            path=f"/call{RUN_PREFIX}{kind}",
            headers=[
                (b"pimento-kind", kind.encode()),
                (b"pimento-token", headers.get(b"pimento-token", b"")),
                (SUBMISSION_HEADER, headers.get(SUBMISSION_HEADER, b"")),
            ],
            body=Body.of(b""),
            body_bytes=0,
        )
        try:
            connection = await self._node.acquire()
        except UpstreamUnreachableError:
            return False
        try:
            answer = await self._node.send(
                connection=connection, request=request, extra_headers=()
            )
            await collect_body(answer.body)
        except UpstreamConnectionError:
            return False
        finally:
            if not connection.is_idle:
                connection.close()
            self._node.release(connection)
        return answer.status < 500


def _make_body(request: str, kind: str, digest: str, size: int, length: int) -> bytes:
    """Return a body that ends in its digest, padded to `length` bytes."""
    head = json.dumps(
        {"request": request, "kind": kind, "body_digest": digest, "body_bytes": size}
    ).encode()
    filler = b"." * max(0, length - len(head) - 34)
    body = head + b"\n" + filler + b"\n"
    return body + xxhash.xxh3_128_hexdigest(body).encode()


async def _read_body(receive: Receive) -> bytes:
    data: bytes = b""
    while True:
        message = await receive()
        data += message.get("body", b"")
        if not message.get("more_body"):
            return data


async def _digest_body(receive: Receive) -> tuple[str, int]:
    digest = xxhash.xxh3_128()
    size = 0
    while True:
        message = await receive()
        chunk = message.get("body", b"")
        digest.update(chunk)
        size += len(chunk)
        if not message.get("more_body"):
            return digest.hexdigest(), size


async def _send_response(
    send: Send, status: int, body: bytes, headers: dict[str, str]
) -> None:
    pairs = [(name.encode(), value.encode()) for name, value in headers.items()]
    pairs.append((b"content-length", b"%d" % len(body)))
    start = {"type": "http.response.start", "status": status, "headers": pairs}
    await send(start)
    await send({"type": "http.response.body", "body": body})


@app.default
def run(
    *,
    deployment: Annotated[Path, cyclopts.Parameter(help="deployment file")],
    host: str,
    port: int,
    node_host: str,
    node_port: int,
    slots: int,
    record: Annotated[Path, cyclopts.Parameter(help="file for the record of runs")],
) -> None:
    """Run the stand-in until it is stopped."""
    service = UpstreamService(
        kinds=read_deployment(deployment).kinds,
        slots=slots,
        node=Address(host=node_host, port=node_port),
        record=RunRecord(path=record),
        now=time.monotonic(),
    )
    configure_garbage_collector()
    uvicorn.run(
        service.serve,
        host=host,
        port=port,
        loop="uvloop",
        http="httptools",
        lifespan="off",
        interface="asgi3",
        proxy_headers=False,
        server_header=False,
        log_level="warning",
        access_log=False,
        timeout_graceful_shutdown=5,
        timeout_keep_alive=60,
    )


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
