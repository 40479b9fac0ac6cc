"""An HTTP/1.1 server on httptools that passes complete requests to a handler.

`pimento-node` uses uvicorn for its HTTP interface. Requests that a sidecar forwards are
received by this server instead: it cancels the handler as soon as the client
disconnects, and writes each response in one call.
"""

import asyncio
import math
import sys
from collections.abc import Callable

from pimentoscale.http.message import HttpRequest
from pimentoscale.http.server_connection import (
    Handler,
    HttpLimits,
    ServerConnection,
)
from pimentoscale.logs import get_logger
from pimentoscale.memory import Holding, MemoryAccount

BACKLOG = 4096
IDLE_CHECK_PERIOD_S = 1.0
# An idle connection is closed after this multiple of the configured idle time, so that
# a client that reuses it just within that time does not race with the close.
IDLE_FACTOR = 1.25
# Connections of one listener unless its owner sets another limit.
MAX_CONNECTIONS = 4096
CROWD_LOG_PERIOD_S = 1.0

log = get_logger("http")


class HttpServer:
    """Listens on one address and passes each complete request to the handler.

    The task of the handler is cancelled when the client disconnects. `on_closed` is
    called with the id of each connection that has closed. `may_run_ahead` tells whether
    a request may be served before those that came before it on its connection have been
    answered. `account` counts the bytes held for clients, and above `max_connections`
    the connection that was unused for longest is closed.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        limits: HttpLimits,
        may_run_ahead: Callable[[HttpRequest], bool] = lambda request: False,
        account: MemoryAccount | None = None,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.account = account or MemoryAccount(capacity=sys.maxsize)
        self.max_connections = max_connections
        self.may_run_ahead = may_run_ahead
        self.is_closing = False
        self.on_closed: Callable[[int], None] | None = None
        self.connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._idle_check: asyncio.Task[None] | None = None
        self._crowd_logged_at = -math.inf

    def add_connection(self, connection: ServerConnection) -> None:
        """Register a new connection; close another one if there are too many."""
        self.connections.add(connection)
        if len(self.connections) <= self.max_connections:
            return
        unused = [item for item in self.connections if not item.is_serving]
        victim = min(unused, key=lambda item: item.last_used)
        now = asyncio.get_running_loop().time()
        if now - self._crowd_logged_at >= CROWD_LOG_PERIOD_S:
            self._crowd_logged_at = now
            log.warning(
                "%d connections: the one unused for longest is closed, for %.1f s",
                len(self.connections),
                now - victim.last_used,
            )
        self.connections.discard(victim)
        victim.close_unused()

    def release(self, holding: Holding | None) -> None:
        """Count a holding no more."""
        if holding is not None:
            self.account.release(holding)

    @property
    def busy_connections(self) -> int:
        """Return the number of connections that are in use, see `is_busy`."""
        return sum(connection.is_busy for connection in self.connections)

    @property
    def port(self) -> int:
        """Return the port that is listened on, or 0 if there is none."""
        if self._server is None:
            return 0
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    async def start(self, *, host: str, port: int) -> None:
        """Start to listen.

        Raises `OSError` if the address can't be bound.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(server=self), host, port, backlog=BACKLOG
        )
        self._idle_check = asyncio.create_task(self._check_idle())

    def close_after_response(self) -> None:
        """Close each connection after its next answer."""
        self.is_closing = True

    def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
        if self._idle_check is not None:
            self._idle_check.cancel()

    async def _check_idle(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(IDLE_CHECK_PERIOD_S)
            now = loop.time()
            idle_s = self.limits.idle_timeout_s * IDLE_FACTOR
            for connection in list(self.connections):
                unused_s = now - connection.last_used
                if connection.has_incomplete_request:
                    if connection.is_late(now, self.limits):
                        connection.reject_incomplete()
                elif unused_s > idle_s:
                    connection.close_if_idle()
