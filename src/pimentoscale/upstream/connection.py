"""One HTTP/1.1 connection, parsed by httptools."""

import asyncio

import httptools

from pimentoscale.call import Body, Header
from pimentoscale.call.body import WINDOW_BYTES


class UpstreamBrokenError(Exception):
    """The connection ended, or broke the protocol, after the request was sent."""


class UpstreamConnection(asyncio.Protocol):
    """Runs one exchange at a time.

    The callbacks named `on_*` are called by the parser.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._head: asyncio.Future[int] | None = None
        self._done: asyncio.Future[None] | None = None
        self._writable: asyncio.Future[None] | None = None
        self._closed = False
        self._paused = False
        self.headers: list[Header] = []
        self.body = Body()

    @property
    def is_open(self) -> bool:
        """Tell whether a request can be sent."""
        return self._transport is not None and not self._closed

    @property
    def is_idle(self) -> bool:
        """Tell whether the last exchange has ended and the connection is kept."""
        return self.is_open and (self._done is None or self._done.done())

    async def send_head(self, data: bytes) -> None:
        """Start an exchange by sending the head, and any body that is at hand."""
        loop = asyncio.get_running_loop()
        self._head = loop.create_future()
        self._done = loop.create_future()
        self._parser = httptools.HttpResponseParser(self)
        self.headers = []
        self.body = Body(on_read=self._on_read)
        self._write(data)

    async def send_body(self, chunk: bytes) -> None:
        """Send a part of the body once the socket takes it."""
        if self._writable is not None:
            await self._writable
        self._write(chunk)

    async def wait_head(self) -> int:
        """Return the status.

        Raises `UpstreamBrokenError` if the connection ends first.
        """
        assert self._head is not None
        return await self._head

    async def wait_end(self) -> None:
        """Wait until the whole answer has come, or the connection has ended."""
        assert self._done is not None
        await asyncio.shield(self._done)

    def close(self) -> None:
        """Close at once; what is in progress breaks."""
        if self._transport is not None:
            self._transport.close()
        self._closed = True
        self._break("the connection was closed")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        """Parse what arrived."""
        if self._parser is None or self.is_idle:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._break(f"not HTTP: {error}")
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Break what is in progress."""
        self._closed = True
        self.resume_writing()
        self._break("the connection ended")

    def pause_writing(self) -> None:
        """Make `send_body` wait."""
        if self._writable is None:
            self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let `send_body` go on."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header of the answer."""
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Hand the head to whoever waits for it."""
        assert self._parser is not None
        status = self._parser.get_status_code()
        if status < 200:
            self.headers = []
        elif self._head is not None and not self._head.done():
            self._head.set_result(status)

    def on_body(self, data: bytes) -> None:
        """Take a part of the body, and stop reading when too much waits."""
        self.body.feed(data)
        if self.body.buffered_bytes >= WINDOW_BYTES and self._transport is not None:
            self._transport.pause_reading()
            self._paused = True

    def on_message_complete(self) -> None:
        """End the exchange."""
        assert self._parser is not None
        if self._parser.get_status_code() < 200:
            return
        self.body.finish()
        if self._done is not None and not self._done.done():
            self._done.set_result(None)
        if not self._parser.should_keep_alive():
            self.close()

    def _on_read(self, size: int) -> None:
        if self._paused and self.body.buffered_bytes < WINDOW_BYTES:
            self._paused = False
            if self._transport is not None and not self._closed:
                self._transport.resume_reading()

    def _write(self, data: bytes) -> None:
        if self._transport is None or self._closed:
            raise UpstreamBrokenError("the connection ended")
        self._transport.write(data)

    def _break(self, reason: str) -> None:
        self.body.fail(reason)
        if self._head is not None and not self._head.done():
            self._head.set_exception(UpstreamBrokenError(reason))
            self._head.exception()
        if self._done is not None and not self._done.done():
            self._done.set_result(None)
