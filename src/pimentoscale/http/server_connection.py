"""One connection of a client to the HTTP server."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Protocol

import httptools

from pimentoscale.http.message import (
    BodyBuffer,
    Header,
    HttpRequest,
    HttpResponse,
    MessageBody,
)
from pimentoscale.logs import get_logger
from pimentoscale.memory import Holding, MemoryAccount
from pimentoscale.memory.account import COPIES

# Bytes that a head may have beside its names and values, and its number of lines.
HEAD_MARGIN_BYTES = 16 * 1024
MAX_HEADERS = 1024
# When a client should send a request again that was refused for lack of memory.
RETRY_AFTER_S = b"1"
# Requests of one connection that are served side by side, in front of the others.
MAX_CONCURRENT = 8

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]

log = get_logger("http")


@dataclass(slots=True, kw_only=True)
class HttpLimits:
    """Limits on the size of a request and on the silence of its client.

    `header_timeout_s` applies while a request is arriving, `idle_timeout_s` between
    requests.
    """

    header_bytes: int = 64 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


class Listener(Protocol):
    """What a connection asks of the server that has accepted it."""

    handler: Handler
    limits: HttpLimits
    may_run_ahead: Callable[[HttpRequest], bool]
    account: MemoryAccount
    is_closing: bool
    on_closed: Callable[[int], None] | None
    connections: "set[ServerConnection]"

    def add_connection(self, connection: "ServerConnection") -> None:
        """Register a new connection."""

    def release(self, holding: Holding | None) -> None:
        """Count a holding no more."""


@dataclass(slots=True, kw_only=True)
class _Exchange:
    """A request in progress, or served while an earlier one is in progress."""

    request: HttpRequest
    keeps_alive: bool
    # The body in the account of the process, if there is one.
    holding: Holding | None = None
    task: asyncio.Task[None] | None = None
    response: HttpResponse | None = None


class ServerConnection(asyncio.Protocol):
    """One connection of a client, whose requests are answered in order.

    Requests that may run again are served side by side. Any other starts once those
    before it have been answered: if one of their answers closes the connection, the
    client sends it again.
    """

    def __init__(self, *, server: Listener) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser: Any = httptools.HttpRequestParser(self)
        # Requests whose tasks were started, in the order of their arrival.
        self._exchanges: deque[_Exchange] = deque()
        self._is_paused = False
        self._url = b""
        self._headers: list[Header] = []
        self._header_bytes = 0
        self._body = BodyBuffer()
        self._body_bytes = 0
        # What the request that is arriving holds, and the answers that are not read.
        self._holding: Holding | None = None
        self._unsent: Holding | None = None
        # Size of the last answer, in bytes.
        self._last_written = 0
        # Bytes received since the last part of a body or the end of a request, and
        # whether there was neither in the bytes that are parsed now.
        self._head_received = 0
        self._is_head_only = True
        # Requests that wait for those before them.
        self._queue: deque[_Exchange] = deque()
        self._error_status: int | None = None
        self._is_receiving = False
        self._receiving_since = 0.0
        self.last_used = 0.0

    @property
    def is_busy(self) -> bool:
        """Return whether a request is arriving, in progress, or not answered whole."""
        if self._exchanges or self._is_receiving:
            return True
        transport = self._transport
        return transport is not None and transport.get_write_buffer_size() > 0

    @property
    def is_serving(self) -> bool:
        """Return whether a request is in progress."""
        return bool(self._exchanges)

    @property
    def has_incomplete_request(self) -> bool:
        """Return whether a request has begun to arrive and none is being served."""
        return self._is_receiving and not self._exchanges

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register the connection."""
        self._transport = transport  # type: ignore[assignment]
        # `pause_writing` is called as soon as a client does not read.
        self._transport.set_write_buffer_limits(high=0)  # type: ignore[union-attr]
        self.last_used = asyncio.get_running_loop().time()
        self._server.add_connection(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress, since its answer can't be delivered."""
        self._server.connections.discard(self)
        if self._server.on_closed is not None:
            self._server.on_closed(id(self))
        self._drop_exchanges()
        self._server.release(self._holding)
        self._holding = None
        self._server.release(self._unsent)
        self._unsent = None
        # These refer to this connection: the garbage collector would keep them, and the
        # last request with them, for long.
        self._parser = self._transport = None
        self._headers = []
        self._body.clear()

    def eof_received(self) -> bool:
        """Close: a client that closes its side of the connection has disconnected."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse the bytes; a complete request starts its task."""
        if self._error_status is not None or self._parser is None:
            return
        now = asyncio.get_running_loop().time()
        if not self._is_receiving:
            self._receiving_since = now
        self.last_used = now
        self._is_head_only = True
        try:
            self._parser.feed_data(data)
            self._check_head(len(data))
            if self._is_receiving and self._is_head_only:
                self._hold(COPIES * len(data))
        except httptools.HttpParserUpgrade:
            self._fail(400)
        except httptools.HttpParserError as error:
            log.info("invalid HTTP request from a client: %s", error)
            self._fail(self._error_status or 400)
        self._start_next()
        if self._queue and self._transport is not None and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()

    def on_message_begin(self) -> None:
        """Start to receive a request."""
        self._is_receiving = True
        self._url = b""
        self._headers = []
        self._header_bytes = 0
        self._body.clear()
        self._body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target."""
        self._url += url
        self._add_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add one header of the request."""
        self._headers.append((name.lower(), value))
        self._add_header_bytes(len(name) + len(value) + 4)
        if len(self._headers) > MAX_HEADERS:
            self._reject_head()

    def on_headers_complete(self) -> None:
        """Refuse a body that is announced too large; ask for one that is expected."""
        for name, value in self._headers:
            if name == b"content-length" and self._is_too_large(value):
                self._reject_body()
            if name == b"expect" and value.lower() == b"100-continue":
                self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Add a part of the body."""
        self._is_head_only = False
        self._body_bytes += len(data)
        if self._body_bytes > self._server.limits.body_bytes:
            self._reject_body()
        self._hold(COPIES * len(data))
        if self._error_status is not None:
            raise httptools.HttpParserError("no memory is left for the body")
        self._body.add(data)
        if self._body.is_fragmented:
            raise httptools.HttpParserError("the chunks are too small")

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        self._is_receiving = False
        request = HttpRequest(
            method=self._parser.get_method(),
            path=self._url,
            headers=self._headers,
            body=self._body.take(),
            connection_id=id(self),
        )
        self._headers = []
        self._is_head_only = False
        keeps_alive = self._parser.should_keep_alive()
        holding, self._holding = self._holding, None
        if holding is not None:
            # From now on it may run.
            holding.is_evictable = False
        self._queue.append(
            _Exchange(request=request, keeps_alive=keeps_alive, holding=holding)
        )

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress."""
        if not self.is_busy and self._transport is not None:
            self._transport.close()

    def pause_writing(self) -> None:
        """Count the answers that the client does not read."""
        now = asyncio.get_running_loop().time()
        if self._transport is None:
            return
        if self._unsent is None:
            self._unsent = Holding(label="unread answer", on_evict=self._abort, now=now)
        # A part that is sent in part is held as a whole.
        size = self._last_written - self._unsent.size
        self._server.account.grow(self._unsent, max(0, size), now=now)

    def resume_writing(self) -> None:
        """Go on after the client has read all that was sent."""
        self._server.release(self._unsent)
        self._unsent = None
        self._send_responses()

    def close_unused(self) -> None:
        """Close at once, for the sake of another connection."""
        self._abort()

    def reject_incomplete(self) -> None:
        """Answer 408 to a client that has stopped in the middle of a request."""
        self._fail(408)

    def is_late(self, now: float, limits: HttpLimits) -> bool:
        """Return whether a request that is arriving takes too long.

        That is a head as a whole, and a body without a further byte.
        """
        if now - self.last_used > limits.header_timeout_s:
            return True
        in_head = not self._body_bytes and self._head_received > 0
        return in_head and now - self._receiving_since > limits.header_timeout_s

    def _hold(self, size: int) -> None:
        """Count bytes of the request that is arriving."""
        now = asyncio.get_running_loop().time()
        if self._holding is None:
            self._holding = Holding(
                label="incomplete request", on_evict=self._give_up, now=now
            )
        self._server.account.grow(self._holding, size, now=now)

    def _give_up(self) -> None:
        """Refuse the request that is arriving: it has not run."""
        self._holding = None
        self._fail(503)

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _is_too_large(self, length: bytes) -> bool:
        digits = length.lstrip(b"0")[:20]
        return digits.isdigit() and int(digits) > self._server.limits.body_bytes

    def _reject_body(self) -> None:
        self._error_status = 413
        raise httptools.HttpParserError("the body is too large")

    def _add_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._server.limits.header_bytes:
            self._reject_head()

    def _check_head(self, size: int) -> None:
        """Count the bytes of a head or of trailers, of which a line may not end."""
        if not self._is_head_only:
            self._head_received = 0
            return
        self._head_received += size
        if self._head_received > self._server.limits.header_bytes + HEAD_MARGIN_BYTES:
            self._reject_head()

    def _reject_head(self) -> None:
        self._error_status = 431
        raise httptools.HttpParserError("the headers are too large")

    def _fail(self, status: int) -> None:
        self._error_status = status
        self._is_receiving = False
        self._headers = []
        self._body.clear()
        self._server.release(self._holding)
        self._holding = None
        # What came before is answered first.
        if not self._exchanges and not self._queue:
            self._send_error()

    def _send_error(self) -> None:
        status = self._error_status or 400
        headers = [(b"retry-after", RETRY_AFTER_S)] if status == 503 else []
        response = HttpResponse(status=status, headers=headers)
        self._write(response.encode(closes=True))
        if self._transport is not None:
            self._transport.close()

    def _start_next(self) -> None:
        """Start the waiting requests that may be served now."""
        while self._queue and self._may_start(self._queue[0].request):
            exchange = self._queue.popleft()
            self._exchanges.append(exchange)
            exchange.task = asyncio.create_task(self._serve(exchange))

    def _may_start(self, request: HttpRequest) -> bool:
        if not self._exchanges:
            # A client that does not read gets no further answers.
            return self._unsent is None
        if len(self._exchanges) >= MAX_CONCURRENT or self._unsent is not None:
            return False
        return self._server.may_run_ahead(request)

    async def _serve(self, exchange: _Exchange) -> None:
        try:
            response = await self._server.handler(exchange.request)
        except Exception as error:
            log.error("request failed: an unexpected error", exc_info=error)
            response = HttpResponse(status=500)
            exchange.keeps_alive = False
        exchange.response = response
        exchange.task = None
        self._send_responses()

    def _send_responses(self) -> None:
        """Send the responses that are complete, up to the first that is not."""
        while self._may_send():
            exchange = self._exchanges.popleft()
            response = exchange.response
            assert response is not None
            # Requests that have been received already are answered before the close.
            is_last = not self._exchanges and not self._queue
            closes = not exchange.keeps_alive or (self._server.is_closing and is_last)
            to_head = exchange.request.method == b"HEAD"
            self._server.release(exchange.holding)
            self._write(*response.encode_parts(closes=closes, to_head=to_head))
            self.last_used = asyncio.get_running_loop().time()
            if closes:
                self._drop_exchanges()
                if self._transport is not None:
                    self._transport.close()
                return
        self._start_next()
        if not self._exchanges and self._error_status is not None:
            self._send_error()
        else:
            self._resume_reading()

    def _may_send(self) -> bool:
        """Return whether the next response is complete and the client reads."""
        if not self._exchanges or self._unsent is not None:
            return False
        return self._exchanges[0].response is not None

    def _resume_reading(self) -> None:
        if not self._is_paused or self._queue or self._error_status is not None:
            return
        if self._transport is not None and not self._transport.is_closing():
            self._is_paused = False
            self._transport.resume_reading()

    def _drop_exchanges(self) -> None:
        """Cancel all requests in progress, and drop those that wait."""
        exchanges = [*self._exchanges, *self._queue]
        self._exchanges.clear()
        self._queue.clear()
        for exchange in exchanges:
            self._server.release(exchange.holding)
            # A cancelled task refers to its exchange: the two would be a cycle.
            task, exchange.task = exchange.task, None
            if task is not None:
                task.cancel()

    def _write(self, *parts: MessageBody) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._last_written = sum(map(len, parts))
            self._transport.writelines(parts)
