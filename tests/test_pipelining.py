"""Requests that a client sends before it has the answers to earlier ones."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from pimentoscale.http import HttpLimits, HttpRequest, HttpResponse, HttpServer
from pimentoscale.http.server_connection import MAX_CONCURRENT

WAIT_S = 10.0


class Handler:
    """Answers a request with its path once its event is set."""

    def __init__(self) -> None:
        self.started: list[bytes] = []
        self.cancelled: list[bytes] = []
        self.events: dict[bytes, asyncio.Event] = {}
        self.changed = asyncio.Condition()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        self.started.append(request.path)
        await self._notify()
        try:
            await self.get_event(request.path).wait()
        except asyncio.CancelledError:
            self.cancelled.append(request.path)
            raise
        return HttpResponse(status=200, body=request.path)

    def get_event(self, path: bytes) -> asyncio.Event:
        return self.events.setdefault(path, asyncio.Event())

    async def wait_started(self, count: int) -> None:
        async with self.changed, asyncio.timeout(WAIT_S):
            await self.changed.wait_for(lambda: len(self.started) >= count)

    async def _notify(self) -> None:
        async with self.changed:
            self.changed.notify_all()


Scenario = Callable[
    [Handler, HttpServer, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


def make_request(path: str, *, method: str = "GET", closes: bool = False) -> bytes:
    connection = "connection: close\r\n" if closes else ""
    length = "content-length: 0\r\n" if method == "POST" else ""
    return f"{method} {path} HTTP/1.1\r\nhost: h\r\n{connection}{length}\r\n".encode()


async def read_response(reader: asyncio.StreamReader) -> bytes:
    """Return the body of the next response."""
    async with asyncio.timeout(WAIT_S):
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].split(b"\r")[0])
        return await reader.readexactly(length)


def run(scenario: Scenario) -> None:
    async def main() -> None:
        handler = Handler()
        server = HttpServer(
            handler=handler.handle,
            limits=HttpLimits(),
            may_run_ahead=lambda request: request.method == b"GET",
        )
        await server.start(host="127.0.0.1", port=0)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        try:
            await scenario(handler, server, reader, writer)
        finally:
            writer.close()
            server.close()

    asyncio.run(main())


def test_safe_requests_run_side_by_side_and_are_answered_in_order() -> None:
    async def scenario(
        handler: Handler,
        server: HttpServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        paths = ["/a", "/b", "/c"]
        writer.write(b"".join(make_request(path) for path in paths))
        await handler.wait_started(3)
        for path in reversed(paths):
            handler.get_event(path.encode()).set()
        assert [await read_response(reader) for _ in paths] == [b"/a", b"/b", b"/c"]

    run(scenario)


def test_request_that_must_not_run_again_waits_for_the_answers_before_it() -> None:
    async def scenario(
        handler: Handler,
        server: HttpServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(make_request("/a") + make_request("/b", method="POST"))
        writer.write(make_request("/c"))
        await handler.wait_started(1)
        assert handler.started == [b"/a"]
        handler.get_event(b"/a").set()
        assert await read_response(reader) == b"/a"
        await handler.wait_started(3)
        assert handler.started == [b"/a", b"/b", b"/c"]

    run(scenario)


def test_requests_behind_an_answer_that_closes_are_dropped() -> None:
    async def scenario(
        handler: Handler,
        server: HttpServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(make_request("/a") + make_request("/b", closes=True))
        writer.write(make_request("/c") + make_request("/d", method="POST"))
        await handler.wait_started(2)
        handler.get_event(b"/b").set()
        handler.get_event(b"/a").set()
        assert await read_response(reader) == b"/a"
        assert await read_response(reader) == b"/b"
        assert await reader.read() == b""
        assert b"/d" not in handler.started

    run(scenario)


def test_requests_in_progress_are_bounded_and_the_others_run_later() -> None:
    async def scenario(
        handler: Handler,
        server: HttpServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        paths = [f"/{index}" for index in range(3 * MAX_CONCURRENT)]
        writer.write(b"".join(make_request(path) for path in paths))
        await handler.wait_started(MAX_CONCURRENT)
        assert len(handler.started) == MAX_CONCURRENT
        for path in paths:
            handler.get_event(path.encode()).set()
        answers = [await read_response(reader) for _ in paths]
        assert answers == [path.encode() for path in paths]

    run(scenario)


def test_all_requests_are_cancelled_when_the_client_disconnects() -> None:
    async def scenario(
        handler: Handler,
        server: HttpServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(make_request("/a") + make_request("/b"))
        await handler.wait_started(2)
        writer.transport.abort()
        async with asyncio.timeout(WAIT_S):
            while len(handler.cancelled) < 2:
                await asyncio.sleep(0)
        assert not server.connections

    run(scenario)


@pytest.mark.parametrize("count", [1, 3])
def test_requests_received_before_a_stop_are_answered_before_the_close(
    count: int,
) -> None:
    async def scenario(
        handler: Handler,
        server: HttpServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        paths = [f"/{index}" for index in range(count)]
        writer.write(b"".join(make_request(path) for path in paths))
        await handler.wait_started(count)
        server.close_after_response()
        for path in paths:
            handler.get_event(path.encode()).set()
        answers = [await read_response(reader) for _ in paths]
        assert answers == [path.encode() for path in paths]
        assert await reader.read() == b""

    run(scenario)
