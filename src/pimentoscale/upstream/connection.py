"""An HTTP/1.1 client connection on httptools that streams bodies."""

import asyncio

import httptools

from pimentoscale.call import Body, Header
from pimentoscale.call.body import WINDOW_BYTES
from pimentoscale.http import STATUSES

# Bytes outside a body, and header lines, after which the connection is closed: an
# upstream in trouble may send a head or trailers that never end. A body is read only as
# its reader takes it.
MAX_HEAD_BYTES = 64 * 1024
MAX_HEADERS = 256


class UpstreamConnectionError(Exception):
    """The connection closed or violated HTTP after the request was sent."""


class UpstreamConnection(asyncio.Protocol):
    """Runs one exchange at a time.

    The callbacks named `on_*` are called by the parser.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._status: asyncio.Future[int] | None = None
        self._complete: asyncio.Future[None] | None = None
        self._writable: asyncio.Future[None] | None = None
        self._is_closed = False
        self._head_received = 0
        # The parts of the body in the bytes that are parsed now.
        self._parts: list[bytes] = []
        self._has_body = False
        self._is_reading_paused = False
        self.headers: list[Header] = []
        self.body = Body()

    @property
    def is_open(self) -> bool:
        """Return whether a request can be sent."""
        return self._transport is not None and not self._is_closed

    @property
    def is_idle(self) -> bool:
        """Return whether the connection is open and no exchange is in progress."""
        return self.is_open and (self._complete is None or self._complete.done())

    async def send_head(self, data: bytes) -> None:
        """Start an exchange: send the head and any part of the body in `data`."""
        loop = asyncio.get_running_loop()
        self._status = loop.create_future()
        self._complete = loop.create_future()
        self._parser = httptools.HttpResponseParser(self)
        self._head_received = 0
        self.headers = []
        self.body = Body(on_read=self._on_read, on_discard=self.close)
        self._write(data)

    async def send_body(self, chunk: bytes) -> None:
        """Send a part of the body once the transport accepts writes."""
        if self._writable is not None:
            await self._writable
        self._write(chunk)

    async def wait_head(self) -> int:
        """Wait for the head of the answer and return the status.

        Raises `UpstreamConnectionError` if the connection closes first.
        """
        assert self._status is not None
        return await self._status

    async def wait_end(self) -> None:
        """Wait until the answer is complete or the connection has closed."""
        assert self._complete is not None
        await asyncio.shield(self._complete)

    def close(self) -> None:
        """Close at once; an exchange in progress fails."""
        if self._transport is not None:
            self._transport.close()
        self._is_closed = True
        self._fail("the connection was closed")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        """Parse the bytes; close the connection if no exchange is in progress."""
        if self._parser is None or self.is_idle:
            self.close()
            return
        self._has_body = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"not HTTP: {error}")
            self.close()
            return
        self._pass_on_body()
        # Informational responses without end count as a head too.
        self._head_received = 0 if self._has_body else self._head_received + len(data)
        if self._head_received > MAX_HEAD_BYTES:
            self._fail(f"no end of the head after {self._head_received} bytes")
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress."""
        self._is_closed = True
        self.resume_writing()
        self._fail("the connection ended")
        # These refer to this connection: the garbage collector would keep them for
        # long. The body's reader may still take what has arrived.
        self._parser = self._transport = None
        self.body = Body()

    def pause_writing(self) -> None:
        """Suspend `send_body` while the write buffer is full."""
        if self._writable is None:
            self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Resume `send_body`."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add one header of the answer."""
        if len(self.headers) >= MAX_HEADERS:
            raise httptools.HttpParserError("too many header lines")
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Set the result of `wait_head`, except for informational responses."""
        assert self._parser is not None
        status = self._parser.get_status_code()
        if status not in STATUSES:
            raise httptools.HttpParserError(f"status {status:03d}")
        if status < 200:
            self.headers = []
            return
        if self._status is not None and not self._status.done():
            self._status.set_result(status)

    def on_body(self, data: bytes) -> None:
        """Add a part of the body."""
        self._has_body = True
        self._parts.append(data)

    def _pass_on_body(self) -> None:
        """Pass on what has arrived; pause reading once the window is full."""
        if not self._parts:
            return
        # One chunk, however many parts it came in.
        self.body.feed(b"".join(self._parts))
        self._parts.clear()
        if self.body.buffered_bytes >= WINDOW_BYTES and self._transport is not None:
            self._transport.pause_reading()
            self._is_reading_paused = True

    def on_message_complete(self) -> None:
        """End the exchange."""
        assert self._parser is not None
        if self._parser.get_status_code() < 200:
            return
        self._pass_on_body()
        self.body.finish()
        if self._complete is not None and not self._complete.done():
            self._complete.set_result(None)
        if not self._parser.should_keep_alive():
            self.close()

    def _on_read(self, size: int) -> None:
        if self._is_reading_paused and self.body.buffered_bytes < WINDOW_BYTES:
            self._is_reading_paused = False
            if self._transport is not None and not self._is_closed:
                self._transport.resume_reading()

    def _write(self, data: bytes) -> None:
        if self._transport is None or self._is_closed:
            raise UpstreamConnectionError("the connection ended")
        self._transport.write(data)

    def _fail(self, reason: str) -> None:
        self.body.fail(reason)
        if self._status is not None and not self._status.done():
            self._status.set_exception(UpstreamConnectionError(reason))
            self._status.exception()
        if self._complete is not None and not self._complete.done():
            self._complete.set_result(None)
