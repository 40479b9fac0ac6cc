"""An HTTP/1.1 client that takes a response only if it is whole and the right one."""

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import httptools

from pimentoscale.http.message import Header, HttpRequest, HttpResponse
from pimentoscale.settings import Address

# A connect on one machine or in one region takes milliseconds.
CONNECT_TIMEOUT_S = 0.6
# A connection whose other side says nothing more, not even to the kernel's probes, is
# lost after some three seconds: waiting reads and idle connections would not notice.
PROBE_IDLE_S = 1
PROBE_PERIOD_S = 1
PROBES = 2
# Bytes sent that nobody acknowledges for so long end a connection.
UNACKNOWLEDGED_MS = 2500
# Kept short of the usual idle time of servers, so that a request does not meet a close.
IDLE_MARGIN_S = 1.0
DEFAULT_IDLE_S = 4.0
# Responses skipped on one connection before it is given up.
MAX_FOREIGN = 2

Accepts = Callable[[HttpResponse], bool]


class NotConnectedError(Exception):
    """No connection could be opened; nothing was sent."""


class IncompleteResponseError(Exception):
    """The request was sent, and no whole response came back."""


def _accept_any(response: HttpResponse) -> bool:
    return True


class HttpClientConnection(asyncio.Protocol):
    """Runs one exchange at a time; any doubt about the bytes ends the connection."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser: Any = None
        self._answer: asyncio.Future[HttpResponse] | None = None
        self._accepts: Accepts = _accept_any
        self._headers: list[Header] = []
        self._body: list[bytes] = []
        self._status = 0
        self._foreign = 0
        self._is_head = False
        self._is_unframed = False
        self._is_done = False
        self._is_closed = False
        self.idle_s = DEFAULT_IDLE_S
        self.idle_since = 0.0

    def is_usable(self, *, now: float) -> bool:
        """Tell whether another request may be sent on this connection."""
        unused_s = now - self.idle_since
        return not self._is_closed and unused_s < self.idle_s - IDLE_MARGIN_S

    async def exchange(
        self,
        request: HttpRequest,
        *,
        accepts: Accepts = _accept_any,
        expires_at: float | None = None,
    ) -> HttpResponse:
        """Send a request and return the first whole response that `accepts` takes.

        Responses that it rejects are discarded, and the connection is closed after
        the exchange. Raises `NotConnectedError` (nothing was sent),
        `IncompleteResponseError`, or `TimeoutError` once the event loop's clock
        reaches `expires_at`.
        """
        if self._transport is None or self._is_closed:
            raise NotConnectedError("the connection has ended")
        loop = asyncio.get_running_loop()
        self._answer = loop.create_future()
        self._accepts = accepts
        self._foreign = 0
        self._is_head = request.method == b"HEAD"
        self._is_done = False
        self._parser = httptools.HttpResponseParser(self)
        self._transport.write(request.encode())
        timer = None
        if expires_at is not None:
            timer = loop.call_at(expires_at, self._expire)
        try:
            return await self._answer
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            if timer is not None:
                timer.cancel()

    def close(self) -> None:
        """Close at once; an exchange in progress breaks."""
        self._is_closed = True
        if self._transport is not None:
            self._transport.abort()
        self._break("the connection was closed")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, and let the kernel find out if the other side is lost."""
        self._transport = transport  # type: ignore[assignment]
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _set_probes(sock)

    def connection_lost(self, exc: Exception | None) -> None:
        """End a response that has no length, or break the exchange."""
        self._is_closed = True
        if exc is None and self._is_unframed and not self._is_done:
            self._finish()
        self._break(f"the connection ended: {exc or 'closed by the other side'}")

    def data_received(self, data: bytes) -> None:
        """Parse what arrived; bytes that belong to no request end the connection."""
        if self._parser is None or self._answer is None or self._is_done:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._break(f"the response is not HTTP: {error}")
            self.close()

    def on_message_begin(self) -> None:
        """Start a response; one after the awaited one spoils the connection."""
        if self._is_done:
            self._is_closed = True
            return
        self._headers = []
        self._body = []
        self._is_unframed = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        if not self._is_done:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Note how the end of the body will be known."""
        if self._is_done:
            return
        self._status = self._parser.get_status_code()
        names = {name for name, _ in self._headers}
        has_end = b"content-length" in names or b"transfer-encoding" in names
        self._is_unframed = not has_end and self._status not in (204, 304)
        self._is_unframed = self._is_unframed and self._status >= 200
        if self._is_head:
            self._is_closed = True
            self._finish()

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        if not self._is_done:
            self._body.append(data)

    def on_message_complete(self) -> None:
        """End the exchange, or skip a response that answers something else."""
        if self._is_done or self._status < 200:
            return
        if not self._parser.should_keep_alive():
            self._is_closed = True
        self._note_keep_alive()
        self._finish()

    def _finish(self) -> None:
        response = HttpResponse(
            status=self._status, headers=self._headers, body=b"".join(self._body)
        )
        if not self._accepts(response):
            self._foreign += 1
            self._is_closed = True
            if self._foreign > MAX_FOREIGN:
                self._break("the responses belong to other requests")
            return
        self._is_done = True
        self.idle_since = asyncio.get_running_loop().time()
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(response)
        if self._is_closed and self._transport is not None:
            self._transport.abort()

    def _note_keep_alive(self) -> None:
        for name, value in self._headers:
            if name == b"keep-alive":
                for part in value.split(b","):
                    key, _, number = part.strip().partition(b"=")
                    if key == b"timeout" and number.isdigit():
                        self.idle_s = float(number)

    def _expire(self) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(TimeoutError())
        self.close()

    def _break(self, reason: str) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(IncompleteResponseError(reason))
            # Read here, so that an exchange that was cancelled logs nothing.
            self._answer.exception()


def _set_probes(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_PERIOD_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


@dataclass(slots=True, kw_only=True)
class ClientCounts:
    """What a client has opened so far."""

    opened: int = 0
    reused: int = 0


class HttpClient:
    """Exchanges with one address, over connections that are kept while useful."""

    def __init__(self, *, address: Address, limit: int) -> None:
        self.address = address
        self.limit = limit
        self.counts = ClientCounts()
        self._idle: list[HttpClientConnection] = []
        self._in_use = 0

    async def acquire(
        self, *, now: float, max_idle_s: float | None = None
    ) -> HttpClientConnection:
        """Return an idle connection, last used first, or a new one.

        With `max_idle_s` an idle one must have been used so recently. Raises
        `NotConnectedError`.
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
        return await self._connect()

    def release(self, connection: HttpClientConnection, *, now: float) -> None:
        """Keep a connection whose exchange has ended whole; close another."""
        self._in_use -= 1
        connection.idle_since = now
        if connection.is_usable(now=now):
            self._idle.append(connection)
        else:
            connection.close()

    def close_idle(self, *, now: float) -> None:
        """Close the connections that have been idle for too long."""
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

    async def _connect(self) -> HttpClientConnection:
        loop = asyncio.get_running_loop()
        host, port = self.address.host, self.address.port
        self._in_use += 1
        try:
            connect = loop.create_connection(HttpClientConnection, host, port)
            _, connection = await asyncio.wait_for(connect, CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError) as error:
            self._in_use -= 1
            reason = str(error) or "no answer to the connect"
            raise NotConnectedError(f"{self.address}: {reason}") from error
        except BaseException:
            self._in_use -= 1
            raise
        self.counts.opened += 1
        connection.idle_since = loop.time()
        return connection
