"""Crowds of clients that nobody controls, against the real process of a node.

A node must not hold the whole bodies of many clients: each is legal alone, together
they exceed the memory of its machine. Checked are the process's memory and descriptors
and that an ordinary request is answered; nothing depends on the machine's speed. These
tests run one at a time (mark `alone`).
"""

import asyncio
import contextlib
import os
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import pytest

from pimentoscale.http import HttpRequest, HttpResponse
from pimentoscale.settings import Address
from pimentoscale_bench.target import StandInTarget
from tests.sidecar_processes import SidecarProcess, run_sidecar
from tests.sidecars import HOST_NAME, make_route, run_deployment, wait_until

pytestmark = pytest.mark.alone

# The limits of the test's machine, and of its configuration.
MEMORY_MB = 128
DESCRIPTORS = 500
# Descriptors that are not for sockets.
RESERVED_DESCRIPTORS = 200
BODY_BYTES = 16 * 1024 * 1024
CROWD = 24
# Each body is legal; together they are more than twice the machine's memory.
SENT_BYTES = 12 * 1024 * 1024
MANY = 600
PIECE_BYTES = 64 * 1024
ANSWER_BYTES = 8 * 1024 * 1024
DEADLINE_MS = 20_000
# A client of a crowd gives up sending after this time without progress.
STALL_S = 1.0

HEAD = (
    "POST /rb/x HTTP/1.1\r\nhost: {host}\r\nattempt-id: c{index}\r\n"
    "deadline-remaining-ms: {deadline}\r\n"
)


def make_head(index: int, *lines: str) -> bytes:
    head = HEAD.format(host=HOST_NAME, index=index, deadline=DEADLINE_MS)
    return (head + "".join(f"{line}\r\n" for line in lines) + "\r\n").encode()


def send_announced(index: int) -> Iterator[bytes]:
    """Announce a legal body and stop a byte short of its end."""
    yield make_head(index, f"content-length: {SENT_BYTES + 1}")
    yield b"x" * SENT_BYTES


def send_in_pieces(index: int) -> Iterator[bytes]:
    yield make_head(index, f"content-length: {SENT_BYTES + 1}")
    for _ in range(SENT_BYTES // PIECE_BYTES):
        yield b"x" * PIECE_BYTES


def send_chunks(index: int, *, size: int, total: int) -> Iterator[bytes]:
    """Send chunks and stop before the last one."""
    yield make_head(index, "transfer-encoding: chunked")
    chunk = b"%x\r\n%b\r\n" % (size, b"x" * size)
    repeated = chunk * max(1, PIECE_BYTES // size)
    for _ in range(total // (size * max(1, PIECE_BYTES // size))):
        yield repeated


def send_large_chunks(index: int) -> Iterator[bytes]:
    return send_chunks(index, size=1024 * 1024, total=SENT_BYTES)


def send_small_chunks(index: int) -> Iterator[bytes]:
    return send_chunks(index, size=48, total=SENT_BYTES)


def send_far_over_the_limit(index: int) -> Iterator[bytes]:
    """Announce ten gigabytes and send on."""
    yield make_head(index, f"content-length: {10 * 1024**3}")
    for _ in range(4 * BODY_BYTES // PIECE_BYTES):
        yield b"x" * PIECE_BYTES


def send_chunks_without_end(index: int) -> Iterator[bytes]:
    return send_chunks(index, size=PIECE_BYTES, total=4 * BODY_BYTES)


def send_whole(index: int) -> Iterator[bytes]:
    """Send a whole legal body, which is run."""
    yield make_head(index, f"content-length: {SENT_BYTES}")
    yield b"x" * SENT_BYTES


def send_half_a_head(index: int) -> Iterator[bytes]:
    """Send a legal part of a head and nothing more."""
    head = make_head(index)[:-2]
    yield head + b"".join(b"x-%d: %b\r\n" % (i, b"y" * 450) for i in range(30))


def send_nothing(index: int) -> Iterator[bytes]:
    """Open a connection and stay idle."""
    yield from ()


def ask_and_read_nothing(index: int) -> Iterator[bytes]:
    """Ask for a large answer and leave it unread."""
    yield make_head(index, "content-length: 0", "x-large: 1")


def announce_large(index: int) -> Iterator[bytes]:
    """Send a large announcement, and stop a byte short."""
    yield (
        b"PUT /v1/instances/i-%d HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n"
        % (index, SENT_BYTES + 1)
    )
    yield b" " * SENT_BYTES


def send_large_frame(index: int) -> Iterator[bytes]:
    """Begin a frame of a stream between nodes that is as large as any."""
    yield (60 * 1024 * 1024).to_bytes(4, "big") + b"\x10"
    yield b"x" * SENT_BYTES


@dataclass(slots=True, kw_only=True, frozen=True)
class Crowd:
    """How many clients send what to which listener of the node."""

    send: Callable[[int], Iterator[bytes]]
    listener: str = "outbound"
    size: int = CROWD


CROWDS = {
    "bodies announced": Crowd(send=send_announced),
    "bodies in pieces": Crowd(send=send_in_pieces),
    "bodies in large chunks": Crowd(send=send_large_chunks),
    "bodies in small chunks": Crowd(send=send_small_chunks),
    "announced far over the limit": Crowd(send=send_far_over_the_limit),
    "chunks far over the limit": Crowd(send=send_chunks_without_end),
    "whole bodies": Crowd(send=send_whole),
    "half heads": Crowd(send=send_half_a_head, size=MANY),
    "idle connections": Crowd(send=send_nothing, size=MANY),
    "answers unread": Crowd(send=ask_and_read_nothing),
    "announcements": Crowd(send=announce_large, listener="control"),
    "readiness": Crowd(send=announce_large, listener="ready"),
    "metrics": Crowd(send=announce_large, listener="metrics"),
    "frames": Crowd(send=send_large_frame, listener="stream"),
}


async def run_client(address: Address, pieces: Iterator[bytes]) -> asyncio.StreamWriter:
    """Send what the node takes, then leave the connection open."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    reader._transport.pause_reading()  # type: ignore[attr-defined]
    with contextlib.suppress(OSError, TimeoutError):
        for piece in pieces:
            writer.write(piece)
            async with asyncio.timeout(STALL_S):
                await writer.drain()
            await asyncio.sleep(0)
    return writer


def count_descriptors(pid: int) -> int:
    return len(os.listdir(f"/proc/{pid}/fd"))


async def ask(node: SidecarProcess, identity: str, body: bytes = b"") -> int:
    """Send one ordinary request and return its status, 0 without an answer."""
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            reader, writer = await asyncio.open_connection(
                node.outgoing.host, node.outgoing.port
            )
            writer.write(
                make_head(0, f"content-length: {len(body)}").replace(
                    b"attempt-id: c0", b"attempt-id: " + identity.encode()
                )
            )
            writer.write(body)
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0
    writer.transport.abort()
    return int(head.split()[1])


async def wait_answered(node: SidecarProcess, name: str) -> None:
    """Wait until an ordinary request is answered by the target."""
    async with asyncio.timeout(DEADLINE_MS / 1000):
        attempt = 0
        while await ask(node, f"{name}-{attempt}") != 200:
            attempt += 1
            await asyncio.sleep(0.1)


async def run_target(request: HttpRequest) -> HttpResponse | None:
    """Answer as usual, or with a large body if the request asks for one."""
    if request.find(b"x-large") is None:
        identity = request.find(b"attempt-id") or b""
        headers = [(b"attempt-id", identity), (b"response-signature", b"s")]
        return HttpResponse(status=200, headers=headers, body=b"ok")
    identity = request.find(b"attempt-id") or b""
    headers = [(b"attempt-id", identity), (b"response-signature", b"s")]
    return HttpResponse(status=200, headers=headers, body=b"z" * ANSWER_BYTES)


@asynccontextmanager
async def run_node(folder: Path) -> AsyncIterator[SidecarProcess]:
    """Run a node with the limits of a small machine, and its target."""
    async with run_deployment() as deployment:
        route = make_route("rb", "b", kind="unsafe", timeout_s=DEADLINE_MS / 1000)
        deployment.configure([route], ["b"], body_bytes=BODY_BYTES)
        limits = {
            "limits.memory_mb": str(MEMORY_MB),
            "limits.file_descriptors": str(DESCRIPTORS),
        }
        running = run_sidecar(
            folder, store=deployment.store, service="b", settings=limits
        )
        async with running as node:
            target = StandInTarget(
                identity="i-m0",
                service="b",
                zone="z1",
                slots=100,
                control=node.announcements,
                run_handler=run_target,
            )
            await target.start(node.upstream)
            await wait_answered(node, "first")
            try:
                yield node
            finally:
                target.close()


@pytest.mark.parametrize("name", CROWDS)
def test_crowd_leaves_the_node_alive_within_its_memory(
    name: str, tmp_path: Path
) -> None:
    crowd = CROWDS[name]

    async def scenario() -> None:
        async with run_node(tmp_path) as node:
            address = node.addresses[crowd.listener]
            clients = [
                asyncio.create_task(run_client(address, crowd.send(index)))
                for index in range(crowd.size)
            ]
            results = await asyncio.gather(*clients, return_exceptions=True)
            assert node.process.poll() is None
            # The clients stay, and an ordinary caller is answered all the same.
            await wait_answered(node, "beside")
            assert count_descriptors(node.process.pid) <= DESCRIPTORS
            for result in results:
                if isinstance(result, asyncio.StreamWriter):
                    result.close()
            await wait_answered(node, "after")
            assert node.process.poll() is None
            assert node.peak_mb <= MEMORY_MB

    asyncio.run(scenario())


def test_one_body_of_the_largest_legal_size_is_served_in_calm(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with run_node(tmp_path) as node:
            assert await ask(node, "large", b"x" * BODY_BYTES) == 200
            assert await ask(node, "over", b"x" * (BODY_BYTES + 1)) in (0, 413)
            await wait_until(lambda: node.process.poll() is None)
            assert node.peak_mb <= MEMORY_MB

    asyncio.run(scenario())
