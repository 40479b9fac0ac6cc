"""A client's HTTP/1.1 connection.

It accepts a response only if it is complete and matches.
"""

import asyncio
import fcntl
import socket
import struct
import sys
import termios
from collections.abc import Callable
from typing import Any

import httptools

from pimentoscale.expiry import Expiry
from pimentoscale.http.message import (
    STATUSES,
    BodyBuffer,
    Header,
    HttpRequest,
    HttpResponse,
)
from pimentoscale.logs import get_logger
from pimentoscale.memory import Holding, MemoryAccount
from pimentoscale.memory.account import COPIES

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
# A server in trouble may send bytes without end. These bound what belongs to no body,
# such as heads and trailers, the header lines, all bytes received in one exchange, and
# those of all exchanges of one client.
MAX_HEAD_BYTES = 64 * 1024
MAX_HEADERS = 256
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
MAX_BUFFERED_BYTES = 48 * 1024 * 1024
# With the buffers of a client full, exchanges that received less than this go on.
SMALL_RESPONSE_BYTES = 64 * 1024

log = get_logger("http")

ResponseFilter = Callable[[HttpResponse], bool]


class NotConnectedError(Exception):
    """No connection could be opened, or it has closed; nothing was sent."""


class IncompleteResponseError(Exception):
    """The request was sent, and no complete response was received."""


class OversizedResponseError(IncompleteResponseError):
    """The server sent more than a response may have; it may never have ended."""


class BufferedBytes:
    """The bytes that all exchanges in progress of one client have received.

    What the larger ones receive also counts in the account of the process.
    """

    __slots__ = ("_account", "_large", "total")

    def __init__(self, *, account: MemoryAccount | None = None) -> None:
        self.total = 0
        self._account = account or MemoryAccount(capacity=sys.maxsize)
        # Exchanges that received more than `SMALL_RESPONSE_BYTES`.
        self._large: dict[HttpClientConnection, Holding] = {}

    def add(self, exchange: "HttpClientConnection", size: int, *, now: float) -> None:
        """Count received bytes; fail the largest exchanges if there are too many."""
        self.total += size
        if exchange.received > SMALL_RESPONSE_BYTES:
            holding = self._large.get(exchange)
            if holding is None:
                holding = Holding(
                    label="answer", on_evict=exchange.fail_oversized, now=now
                )
                self._large[exchange] = holding
            if not self._account.grow(holding, COPIES * size, now=now):
                return
        while self.total > MAX_BUFFERED_BYTES and self._large:
            largest = max(self._large, key=lambda item: item.received)
            largest.fail_oversized()

    def remove(self, exchange: "HttpClientConnection") -> None:
        """Count the bytes of an exchange no more, as it has ended."""
        self.total -= exchange.received
        holding = self._large.pop(exchange, None)
        if holding is not None:
            self._account.release(holding)


def _accept_any(response: HttpResponse) -> bool:
    return True


class HttpClientConnection(asyncio.Protocol):
    """Runs one exchange at a time.

    The connection is closed if bytes on it are malformed or may belong to another
    request.
    """

    def __init__(self, *, buffered: BufferedBytes) -> None:
        self._buffered = buffered
        # Bytes received in this exchange, of them those since the last part of a body,
        # and those of bodies.
        self.received = 0
        self._head_received = 0
        self._body_received = 0
        self._transport: asyncio.Transport | None = None
        self._parser: Any = None
        self._answer: asyncio.Future[HttpResponse] | None = None
        self._accepts: ResponseFilter = _accept_any
        self._headers: list[Header] = []
        self._body = BodyBuffer()
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
        if self._sent_small_request:
            return False
        return _count_unacknowledged(transport.get_extra_info("socket")) > 0

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
        self._head_received = 0
        self._parser = httptools.HttpResponseParser(self)
        parts = request.encode_parts()
        self._limit_unacknowledged(sum(map(len, parts)))
        self._transport.writelines(parts)
        expiry = None
        if expires_at is not None:
            expiry = Expiry(expires_at=expires_at, on_expired=self._time_out)
        try:
            return await self._answer
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            if expiry is not None:
                expiry.cancel()
            self._release()

    def _release(self) -> None:
        """Drop what the exchange has received, its parser and its error.

        They refer to this connection: the garbage collector would keep them for long.
        """
        self._forget_received()
        self._parser = None
        self._answer = None
        self._accepts = _accept_any

    def _forget_received(self) -> None:
        self._buffered.remove(self)
        self.received = 0
        self._headers = []
        self._body.clear()

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
        self._transport = None
        is_waiting = self._answer is not None and not self._answer.done()
        if exc is None and self._ends_with_connection and is_waiting:
            self._complete()
        self._fail(f"the connection ended: {exc or 'closed by the other side'}")

    def data_received(self, data: bytes) -> None:
        """Parse the bytes; close the connection if no exchange is in progress."""
        if self._parser is None or self._answer is None or self._is_done:
            self.close()
            return
        body_before = self._body_received
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(f"the response is not HTTP: {error}")
            self.close()
            return
        if not self._is_done:
            has_body = self._body_received > body_before
            self._check_size(len(data), has_body=has_body)

    def _check_size(self, size: int, *, has_body: bool) -> None:
        """Count received bytes; fail the exchange if they exceed a limit."""
        self.received += size
        self._head_received = 0 if has_body else self._head_received + size
        is_oversized = (
            self._head_received > MAX_HEAD_BYTES or self.received > MAX_RESPONSE_BYTES
        )
        self._buffered.add(self, size, now=asyncio.get_running_loop().time())
        if is_oversized:
            self.fail_oversized()

    def fail_oversized(self) -> None:
        """Fail the exchange, drop what it has received and close the connection."""
        if self._answer is not None and not self._answer.done():
            reason = f"no end after {self.received} bytes"
            self._answer.set_exception(OversizedResponseError(reason))
        self._forget_received()
        self.close()

    def on_message_begin(self) -> None:
        """Start a response; do not reuse the connection if it is unsolicited."""
        if self._is_done:
            self._is_closed = True
            return
        self._headers = []
        self._body.clear()
        self._ends_with_connection = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add one header of the response."""
        if self._is_done:
            return
        if len(self._headers) >= MAX_HEADERS:
            self.fail_oversized()
            raise httptools.HttpParserError("too many header lines")
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Determine how the end of the body is marked."""
        if self._is_done:
            return
        self._status = self._parser.get_status_code()
        if self._status not in STATUSES:
            raise httptools.HttpParserError(f"status {self._status:03d}")
        names = {name for name, _ in self._headers}
        has_end = b"content-length" in names or b"transfer-encoding" in names
        self._ends_with_connection = not has_end and self._status not in (204, 304)
        self._ends_with_connection = self._ends_with_connection and self._status >= 200
        if self._is_head:
            self._is_closed = True
            self._complete()

    def on_body(self, data: bytes) -> None:
        """Add a part of the body."""
        if self._is_done:
            return
        self._body_received += len(data)
        self._body.add(data)
        if self._body.is_fragmented:
            self.fail_oversized()
            raise httptools.HttpParserError("the chunks are too small")

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
            status=self._status, headers=self._headers, body=self._body.take()
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
