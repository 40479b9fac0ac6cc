"""Tests that answers which came while the process did not run are delivered."""

import asyncio
import contextlib
import socket
import threading
import time
from collections.abc import Awaitable, Callable, Iterator
from concurrent.futures import Future

import pytest
import uvloop

from pimentoscale.expiry import READING_S, Expiry, expire_at
from pimentoscale.http import HttpClient, HttpRequest
from pimentoscale.settings import Address
from pimentoscale.stream import Connection, Frame, Listener, Peer, PeerLostError
from pimentoscale.stream.connection import connect
from pimentoscale.stream.frames import (
    PROTOCOL_VERSION,
    Call,
    FetchRoutes,
    Forward,
    ForwardReply,
    Hello,
    Reply,
    RoutesRecord,
)
from pimentoscale.stream.silence import HEARTBEAT_TIMEOUT_S, SILENT_WORK_TIMEOUT_S
from tests.addresses import HOST
from tests.nodes import run_site
from tests.sidecars import run_one_zone, wait_until
from tests.test_peers import make_pool

TIMEOUT_S = 0.3
BLOCKED_S = 0.5
LONG_S = 30.0
HTTP_ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class Block:
    """Blocks the loop of a test, from a request's arrival past its time-out.

    The server answers while the loop is blocked, unless it `answers` not at all.
    """

    def __init__(self, *, answers: bool) -> None:
        self._answers = answers
        self._has_begun = threading.Event()
        self._is_answered = threading.Event()
        self._reader, self._writer = socket.socketpair()

    def prepare(self) -> None:
        """Let the loop block once the request has arrived.

        It blocks in the callback of a socket: then its timers come before its sockets,
        as after a suspension of the process.
        """
        loop = asyncio.get_running_loop()
        loop.add_reader(self._reader, self._block, loop)

    def answer(self, send: Callable[[], None]) -> None:
        """Send an answer while the loop of the test is blocked."""
        self._writer.send(b"x")
        self._has_begun.wait()
        if self._answers:
            send()
        self._is_answered.set()

    def _block(self, loop: asyncio.AbstractEventLoop) -> None:
        loop.remove_reader(self._reader)
        self._has_begun.set()
        self._is_answered.wait()
        time.sleep(BLOCKED_S)


async def start_http(block: Block) -> int:
    """Start a server whose answer comes while the loop of the test is blocked."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        block.answer(lambda: writer.write(HTTP_ANSWER))
        with contextlib.suppress(ConnectionError):
            await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, HOST, 0)
    port: int = server.sockets[0].getsockname()[1]
    return port


async def start_peer(block: Block) -> int:
    """Start a node whose answer comes while the loop of the test is blocked."""
    pool = make_pool()

    async def serve(connection: Connection) -> None:
        def handle(frame: Frame) -> None:
            if isinstance(frame, FetchRoutes):
                reply = RoutesRecord(query=frame.query, data=b"ok")
                block.answer(lambda: connection.send(reply))

        await connection.exchange_hello(hello=pool.build_hello())
        await connection.run(handle)

    server = Listener(accept=serve)
    await server.start(Address(host=HOST, port=0), backlog=8)
    return server.port


@contextlib.contextmanager
def run_server(start: Callable[[Block], Awaitable[int]], block: Block) -> Iterator[int]:
    """Run a server on a loop of its own, which goes on; its port is the value."""
    address: Future[tuple[asyncio.AbstractEventLoop, asyncio.Event, int]] = Future()

    async def serve() -> None:
        is_over = asyncio.Event()
        port = await start(block)
        address.set_result((asyncio.get_running_loop(), is_over, port))
        await is_over.wait()

    thread = threading.Thread(target=lambda: asyncio.run(serve()), daemon=True)
    thread.start()
    loop, is_over, port = address.result(timeout=LONG_S)
    try:
        yield port
    finally:
        loop.call_soon_threadsafe(is_over.set)
        thread.join()


async def exchange(port: int, block: Block) -> bytes:
    """Return the body of an answer, whose time is limited by the HTTP client."""
    loop = asyncio.get_running_loop()
    client = HttpClient(address=Address(host=HOST, port=port), limit=1)
    connection = await client.acquire(now=loop.time())
    request = HttpRequest(method=b"GET", path=b"/", headers=[(b"host", b"h")], body=b"")
    block.prepare()
    try:
        response = await connection.exchange(
            request, expires_at=loop.time() + TIMEOUT_S
        )
    finally:
        connection.close()
    return bytes(response.body)


async def query(port: int, block: Block, *, timeout_s: float = TIMEOUT_S) -> bytes:
    """Return the data of an answer, whose time is limited by the stream."""
    pool = make_pool()
    peer = Peer(
        address=Address(host=HOST, port=port), hello=pool.build_hello, observer=pool
    )
    peer.start()
    while not peer.is_up:
        await asyncio.sleep(0.01)
    block.prepare()
    try:
        answer = await peer.query(FetchRoutes(query=0), timeout_s=timeout_s)
    except PeerLostError as error:
        raise TimeoutError from error
    finally:
        peer.stop()
    assert isinstance(answer, RoutesRecord)
    return answer.data


async def query_in_context(port: int, block: Block) -> bytes:
    """Return the data of an answer, whose time is limited by a context."""
    async with expire_at(asyncio.get_running_loop().time() + TIMEOUT_S):
        return await query(port, block, timeout_s=LONG_S)


WAYS = pytest.mark.parametrize(
    ("start", "send"),
    [(start_http, exchange), (start_peer, query), (start_peer, query_in_context)],
)


@WAYS
def test_answer_that_came_while_the_process_was_suspended_is_delivered(
    start: Callable[[Block], Awaitable[int]],
    send: Callable[[int, Block], Awaitable[bytes]],
) -> None:
    async def run() -> bytes:
        return await send(port, block)

    block = Block(answers=True)
    with run_server(start, block) as port:
        assert uvloop.run(run()) == b"ok"


@WAYS
def test_time_out_that_came_while_the_process_was_suspended_is_kept(
    start: Callable[[Block], Awaitable[int]],
    send: Callable[[int, Block], Awaitable[bytes]],
) -> None:
    async def run() -> float:
        began = time.monotonic()
        with pytest.raises(TimeoutError):
            await send(port, block)
        return time.monotonic() - began

    block = Block(answers=False)
    with run_server(start, block) as port:
        assert uvloop.run(run()) < BLOCKED_S + READING_S + TIMEOUT_S


def test_time_out_that_has_passed_before_ends_the_context_at_once() -> None:
    async def run() -> float:
        loop = asyncio.get_running_loop()
        began = time.monotonic()
        with pytest.raises(TimeoutError):
            async with expire_at(loop.time() - TIMEOUT_S):
                await asyncio.sleep(LONG_S)
        return time.monotonic() - began

    assert uvloop.run(run()) < READING_S


FORWARD = Forward(
    query=1,
    identity="x",
    service="b",
    route="rb",
    idempotent=True,
    importance=1,
    inner=False,
    returning=False,
    timeout_ms=1000,
    objective_ms=1000,
    method=b"GET",
    path=b"/rb/x",
    lines=b"host: pimento.example\r\nattempt-id: x\r\n",
    body=b"",
)
CALL = Call(
    call=1,
    submission=False,
    kind="read",
    version=1,
    caller="tests",
    request="x",
    ticket="",
    method="POST",
    path="/x",
    headers=[],
    timeout_ms=1000,
    retries=0,
    depth=0,
    work_ms=0,
    body_bytes=0,
    body=b"",
    more=False,
    clock=0,
)


async def check_silence(address: Address, request: Frame | None) -> None:
    """Check how long a node keeps the stream of another one that falls silent.

    With a request the other node falls silent before it has read the answer.
    """
    connection = await connect(address)
    hello = Hello(protocol=PROTOCOL_VERSION, instance="x0", incarnation=1, zone="z1")
    await connection.exchange_hello(hello=hello)
    replies: list[Frame] = []
    running = asyncio.create_task(connection.run(replies.append))
    if request is not None:
        connection.send(request)
        await wait_until(
            lambda: any(isinstance(reply, ForwardReply | Reply) for reply in replies)
        )
    await asyncio.sleep(HEARTBEAT_TIMEOUT_S + 1)
    assert connection.is_open == (request is not None)
    async with asyncio.timeout(SILENT_WORK_TIMEOUT_S):
        await asyncio.wait({running})
    connection.close()


@pytest.mark.parametrize("request_frame", [FORWARD, None])
def test_stream_with_an_answer_that_may_not_be_read_yet_is_kept_longer(
    request_frame: Frame | None,
) -> None:
    async def run() -> None:
        async with run_one_zone(machines=1) as deployment:
            machine = deployment.machines["m0"]
            await check_silence(machine.settings.stream, request_frame)

    uvloop.run(run())


@pytest.mark.parametrize("request_frame", [CALL, None])
def test_own_stream_with_an_answer_that_may_not_be_read_yet_is_kept_longer(
    request_frame: Frame | None,
) -> None:
    async def run() -> None:
        async with run_site() as site:
            running = await site.start("b0", "back")
            await check_silence(running.node.state.settings.stream, request_frame)

    uvloop.run(run())


@pytest.mark.parametrize("late_s", [0.0, 0.005, 0.5])
@pytest.mark.parametrize("make_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_time_out_that_ends_with_a_pause_comes_after_what_came_in_the_pause(
    make_loop: Callable[[], asyncio.AbstractEventLoop], late_s: float
) -> None:
    """A process that goes on within 20 ms of a time-out took it for one in time."""
    events: list[str] = []

    async def run() -> None:
        loop = asyncio.get_running_loop()
        sender, receiver = socket.socketpair()
        starter, started = socket.socketpair()
        expires_at = loop.time() + 0.1
        expired = asyncio.Event()

        def receive() -> None:
            receiver.recv(1)
            events.append("answer")

        def expire() -> None:
            events.append("time-out")
            expired.set()

        def pause() -> None:
            loop.remove_reader(started)
            sender.send(b"x")
            time.sleep(max(0.0, expires_at + late_s - loop.time()))

        loop.add_reader(receiver, receive)
        loop.add_reader(started, pause)
        expiry = Expiry(expires_at=expires_at, on_expired=expire)
        starter.send(b"x")
        await expired.wait()
        expiry.cancel()
        loop.remove_reader(receiver)
        for item in (sender, receiver, starter, started):
            item.close()

    with asyncio.Runner(loop_factory=make_loop) as runner:
        runner.run(run())
    assert events == ["answer", "time-out"]
