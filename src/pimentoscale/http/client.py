"""An HTTP/1.1 client of one address, with a pool of connections."""

import asyncio
import math
from dataclasses import dataclass

from pimentoscale.http.client_connection import (
    BufferedBytes,
    HttpClientConnection,
    NotConnectedError,
)
from pimentoscale.memory import MemoryAccount
from pimentoscale.settings import Address

# Connecting on one machine or within one region takes milliseconds.
CONNECT_TIMEOUT_S = 0.6


@dataclass(slots=True, kw_only=True)
class ClientCounts:
    """Number of connections that a client has opened, and of reuses."""

    opened: int = 0
    reused: int = 0


class HttpClient:
    """Client of one address, with a pool of at most `limit` connections."""

    def __init__(
        self, *, address: Address, limit: int, account: MemoryAccount | None = None
    ) -> None:
        self.address = address
        self.limit = limit
        self.counts = ClientCounts()
        self._buffered = BufferedBytes(account=account)
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
