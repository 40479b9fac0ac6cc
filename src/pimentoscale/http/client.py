"""An HTTP/1.1 client that accepts a response only if it is complete and matches."""

import asyncio
import fcntl
import math
import socket
import struct
import termios
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import httptools

from pimentoscale.http.message import Header, HttpRequest, HttpResponse
from pimentoscale.logs import get_logger
from pimentoscale.settings import Address

# Connecting on one machine or within one region takes milliseconds.
CONNECT_TIMEOUT_S = 0.6
# After about three seconds TCP keep-alive closes a connection whose other side is lost.
# Without it, pending reads and idle connections would not detect the loss.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_PERIOD_S = 1
KEEPALIVE_PROBES = 2
# TCP closes a connection if sent bytes stay unacknowledged for this long. A request of
# more bytes than fit in the buffers of a server that does not read may stay so for
# longer; its exchange is limited by its own time.
UNACKNOWLEDGED_TIMEOUT_MS = 2500
SMALL_REQUEST_BYTES = 16 * 1024
# A connection is not reused this shortly before the server's idle time-out, so that a
# request does not race with the server's close.
IDLE_MARGIN_S = 1.0
# Idle time-out of a server that states none, shorter than is usual for servers.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# Mismatched responses that are discarded on one connection before it is closed.
MAX_MISMATCHED = 2
# A server in trouble may send bytes without end. These bound the head of a response,
# all bytes received in one exchange, and those of all exchanges of one client.
MAX_HEAD_BYTES = 64 * 1024
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
MAX_BUFFERED_BYTES = 48 * 1024 * 1024
# With the buffers of a client full, exchanges that received less than this go on.
SMALL_RESPONSE_BYTES = 1024 * 1024

log = get_logger("http")

ResponseFilter = Callable[[HttpResponse], bool]


class NotConnectedError(Exception):
    """No connection could be opened, or it has closed; nothing was sent."""


class IncompleteResponseError(Exception):
    """The request was sent, and no complete response was received."""


class OversizedResponseError(IncompleteResponseError):
    """The server sent more than a response may have; it may never have ended."""


@dataclass(slots=True, kw_only=True)
class BufferedBytes:
    """The bytes that all exchanges in progress of one client have received."""

    total: int = 0


def _accept_any(response: HttpResponse) -> bool:
    return True


class HttpClientConnection(asyncio.Protocol):
    """Runs one exchange at a time.

    The connection is closed if bytes on it are malformed or may belong to another
    request.
    """

    def __init__(self, *, buffered: BufferedBytes) -> None:
        self._buffered = buffered
        # Bytes received in this exchange, and of them those of an unfinished head.
        self._received = 0
        self._head_received = 0
        self._is_in_head = True
        self._transport: asyncio.Transport | None = None
        self._parser: Any = None
        self._answer: asyncio.Future[HttpResponse] | None = None
        self._accepts: ResponseFilter = _accept_any
        self._headers: list[Header] = []
        self._body: list[bytes] = []
        self._status = 0
        self._mismatched = 0
        self._is_head = False
        self._ends_with_connection = False
        self._is_done = False
        self._is_closed = False
        self._sent_small_request = True
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self.idle_since = 0.0

    def is_usable(self, *, now: float) -> bool:
        """Return whether another request may be sent on this connection."""
        idle_s = now - self.idle_since
        is_fresh = idle_s < self.idle_timeout_s - IDLE_MARGIN_S
        return not self._is_closed and is_fresh and not self._has_unsent_bytes()

    def _has_unsent_bytes(self) -> bool:
        """Return whether the server has not taken the whole last request yet.

        It may answer before it has read a long body; what is sent next would wait.
        """
        transport = self._transport
        if transport is None:
            return False
        if transport.get_write_buffer_size() > 0:
            return True
        sock = transport.get_extra_info("socket")
        return not self._sent_small_request and _count_unacknowledged(sock) > 0

    async def exchange(
        self,
        request: HttpRequest,
        *,
        accepts: ResponseFilter = _accept_any,
        expires_at: float | None = None,
    ) -> HttpResponse:
        """Send a request and return the first complete response that passes `accepts`.

        Other responses are discarded, and then the connection is closed after the
        exchange. Raises `NotConnectedError` (nothing was sent),
        `IncompleteResponseError`, `OversizedResponseError`, or `TimeoutError` once the
        event loop's clock reaches `expires_at`.
        """
        if self._transport is None or self._is_closed:
            raise NotConnectedError("the connection has ended")
        loop = asyncio.get_running_loop()
        self._answer = loop.create_future()
        self._accepts = accepts
        self._mismatched = 0
        self._is_head = request.method == b"HEAD"
        self._is_done = False
        self._is_in_head = True
        self._head_received = 0
        self._parser = httptools.HttpResponseParser(self)
        data = request.encode()
        self._limit_unacknowledged(len(data))
        self._transport.write(data)
        timer = None
        if expires_at is not None:
            timer = loop.call_at(expires_at, self._time_out)
        try:
            return await self._answer
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            if timer is not None:
                timer.cancel()
            self._buffered.total -= self._received
            self._received = 0

    def _limit_unacknowledged(self, size: int) -> None:
        """Let TCP close the connection early only if a small request is not taken."""
        is_small = size <= SMALL_REQUEST_BYTES
        if is_small == self._sent_small_request or self._transport is None:
            return
        self._sent_small_request = is_small
        sock = self._transport.get_extra_info("socket")
        timeout_ms = UNACKNOWLEDGED_TIMEOUT_MS if is_small else 0
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)

    def close(self) -> None:
        """Close at once; an exchange in progress fails."""
        self._is_closed = True
        if self._transport is not None:
            self._transport.abort()
        self._fail("the connection was closed")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable TCP keep-alive."""
        self._transport = transport  # type: ignore[assignment]
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _set_keepalive(sock)

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete a response that ends with the connection, or fail the exchange."""
        self._is_closed = True
        if exc is None and self._ends_with_connection and not self._is_done:
            self._complete()
        self._fail(f"the connection ended: {exc or 'closed by the other side'}")

    def data_received(self, data: bytes) -> None:
        """Parse the bytes; close the connection if no exchange is in progress."""
        if self._parser is None or self._answer is None or self._is_done:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(f"the response is not HTTP: {error}")
            self.close()
            return
        if not self._is_done:
            self._check_size(len(data))

    def _check_size(self, size: int) -> None:
        """Count received bytes; fail the exchange if they exceed a limit."""
        self._received += size
        self._buffered.total += size
        self._head_received = self._head_received + size if self._is_in_head else 0
        is_oversized = (
            self._head_received > MAX_HEAD_BYTES
            or self._received > MAX_RESPONSE_BYTES
            or (
                self._buffered.total > MAX_BUFFERED_BYTES
                and self._received > SMALL_RESPONSE_BYTES
            )
        )
        if not is_oversized:
            return
        if self._answer is not None and not self._answer.done():
            reason = f"no end after {self._received} bytes"
            self._answer.set_exception(OversizedResponseError(reason))
        self._headers, self._body = [], []
        self.close()

    def on_message_begin(self) -> None:
        """Start a response; do not reuse the connection if it is unsolicited."""
        if self._is_done:
            self._is_closed = True
            return
        self._headers = []
        self._body = []
        self._is_in_head = True
        self._ends_with_connection = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add one header of the response."""
        if not self._is_done:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Determine how the end of the body is marked."""
        if self._is_done:
            return
        self._status = self._parser.get_status_code()
        self._is_in_head = False
        names = {name for name, _ in self._headers}
        has_end = b"content-length" in names or b"transfer-encoding" in names
        self._ends_with_connection = not has_end and self._status not in (204, 304)
        self._ends_with_connection = self._ends_with_connection and self._status >= 200
        if self._is_head:
            self._is_closed = True
            self._complete()

    def on_body(self, data: bytes) -> None:
        """Add a part of the body."""
        if not self._is_done:
            self._body.append(data)

    def on_message_complete(self) -> None:
        """End the exchange, or discard a response to another request."""
        if self._is_done or self._status < 200:
            return
        if not self._parser.should_keep_alive():
            self._is_closed = True
        self._read_keep_alive()
        self._complete()

    def _complete(self) -> None:
        response = HttpResponse(
            status=self._status, headers=self._headers, body=b"".join(self._body)
        )
        if not self._accepts(response):
            self._mismatched += 1
            self._is_closed = True
            if self._mismatched > MAX_MISMATCHED:
                self._fail("the responses belong to other requests")
            return
        self._is_done = True
        self.idle_since = asyncio.get_running_loop().time()
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(response)
        if self._is_closed and self._transport is not None:
            self._transport.abort()

    def _read_keep_alive(self) -> None:
        for name, value in self._headers:
            if name == b"keep-alive":
                for part in value.split(b","):
                    key, _, number = part.strip().partition(b"=")
                    if key == b"timeout" and number.isdigit():
                        self.idle_timeout_s = float(number)

    def _time_out(self) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(TimeoutError())
        self.close()

    def _fail(self, reason: str) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(IncompleteResponseError(reason))
            # Marks the exception as retrieved: otherwise asyncio logs it if the
            # exchange was cancelled.
            self._answer.exception()


def _set_keepalive(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PERIOD_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )


def _count_unacknowledged(sock: socket.socket) -> int:
    """Return how many sent bytes the other side has not acknowledged.

    Return 0 where the system can't tell.
    """
    try:
        data = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    except OSError as error:
        log.debug("unacknowledged bytes are not known: %s", error)
        return 0
    count: int = struct.unpack("i", data)[0]
    return count


@dataclass(slots=True, kw_only=True)
class ClientCounts:
    """Number of connections that a client has opened, and of reuses."""

    opened: int = 0
    reused: int = 0


class HttpClient:
    """Client of one address, with a pool of at most `limit` connections."""

    def __init__(self, *, address: Address, limit: int) -> None:
        self.address = address
        self.limit = limit
        self.counts = ClientCounts()
        self._buffered = BufferedBytes()
        self._idle: list[HttpClientConnection] = []
        self._in_use = 0

    async def acquire(
        self,
        *,
        now: float,
        max_idle_s: float | None = None,
        expires_at: float = math.inf,
    ) -> HttpClientConnection:
        """Return the idle connection that was used last, or a new one.

        With `max_idle_s` an idle one must have been used within that time. Raises
        `NotConnectedError` if no connection can be opened, at the latest once the event
        loop's clock reaches `expires_at`.
        """
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_usable(now=now):
                connection.close()
                continue
            if max_idle_s is None or now - connection.idle_since < max_idle_s:
                self.counts.reused += 1
                self._in_use += 1
                return connection
            self._idle.append(connection)
            break
        if self._in_use + len(self._idle) >= self.limit and self._idle:
            self._idle.pop(0).close()
        if self._in_use >= self.limit:
            raise NotConnectedError(f"all {self.limit} connections are in use")
        timeout_s = min(CONNECT_TIMEOUT_S, max(0.0, expires_at - now))
        return await self._connect(timeout_s=timeout_s)

    def release(self, connection: HttpClientConnection, *, now: float) -> None:
        """Return a connection to the pool, or close it if it is not usable."""
        self._in_use -= 1
        connection.idle_since = now
        if connection.is_usable(now=now):
            self._idle.append(connection)
        else:
            connection.close()

    def close_idle(self, *, now: float) -> None:
        """Close the idle connections that are no longer usable."""
        kept = [item for item in self._idle if item.is_usable(now=now)]
        for connection in self._idle:
            if connection not in kept:
                connection.close()
        self._idle = kept

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    async def _connect(self, *, timeout_s: float) -> HttpClientConnection:
        loop = asyncio.get_running_loop()
        host, port = self.address.host, self.address.port
        self._in_use += 1
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: HttpClientConnection(buffered=self._buffered), host, port
                )
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            self._in_use -= 1
            reason = str(error) or "no answer to the connect"
            raise NotConnectedError(f"{self.address}: {reason}") from error
        except BaseException:
            self._in_use -= 1
            raise
        self.counts.opened += 1
        connection.idle_since = loop.time()
        return connection
