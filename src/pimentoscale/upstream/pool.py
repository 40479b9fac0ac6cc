"""A pool of HTTP connections to one address."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from pimentoscale.call import Answer, Body, CallRequest, Header
from pimentoscale.settings import Address
from pimentoscale.upstream.connection import UpstreamConnection, UpstreamConnectionError

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE = 64


class UpstreamUnreachableError(Exception):
    """No connection could be opened; nothing was sent."""


@dataclass(slots=True, kw_only=True)
class UpstreamAnswer:
    """The answer of an upstream; its body may still be arriving."""

    status: int
    headers: list[Header]
    body: Body


class ConnectionPool:
    """Opens up to `limit` connections and reuses idle ones."""

    def __init__(self, *, address: Address, limit: int) -> None:
        self._address = address
        self._limit = limit
        self._idle: list[UpstreamConnection] = []
        self._open_count = 0

    async def acquire(self) -> UpstreamConnection:
        """Return an idle connection or open a new one.

        Raises `UpstreamUnreachableError` if none can be opened or all are in use.
        """
        while self._idle:
            connection = self._idle.pop()
            if connection.is_idle:
                return connection
            self._open_count -= 1
        if self._open_count >= self._limit:
            raise UpstreamUnreachableError(f"all {self._limit} connections are in use")
        return await self._connect()

    def release(self, connection: UpstreamConnection) -> None:
        """Keep an idle connection for reuse, up to `MAX_IDLE`; close any other."""
        if connection.is_idle and len(self._idle) < MAX_IDLE:
            self._idle.append(connection)
        else:
            connection.close()
            self._open_count -= 1

    async def send(
        self,
        *,
        connection: UpstreamConnection,
        request: CallRequest,
        extra_headers: Sequence[Header],
    ) -> UpstreamAnswer:
        """Send a request and return the answer as soon as its head has arrived.

        Raises `UpstreamConnectionError` if the connection closes or violates HTTP, and
        `BodyTruncatedError` if the body of the request ends early.
        """
        whole_body = request.body.take_buffered() if request.body.is_complete else b""
        length = len(whole_body) if request.body.is_complete else request.body_bytes
        head = _encode_head(request, extra_headers, self._address, length)
        await connection.send_head(head + whole_body)
        if not request.body.is_complete:
            await _send_chunks(connection, request.body, length)
        status = await connection.wait_head()
        return UpstreamAnswer(
            status=status, headers=connection.headers, body=connection.body
        )

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._open_count -= len(self._idle)
        self._idle.clear()

    async def _connect(self) -> UpstreamConnection:
        loop = asyncio.get_running_loop()
        host, port = self._address.host, self._address.port
        self._open_count += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    UpstreamConnection, host, port
                )
        except (OSError, TimeoutError) as error:
            self._open_count -= 1
            raise UpstreamUnreachableError(f"{self._address}: {error}") from error
        except BaseException:
            self._open_count -= 1
            raise
        return connection


def _encode_head(
    request: CallRequest, extra_headers: Sequence[Header], address: Address, length: int
) -> bytes:
    lines = [f"{request.method} {request.path} HTTP/1.1".encode("latin-1")]
    lines.append(f"host: {address}".encode())
    lines.extend(name + b": " + value for name, value in request.headers)
    lines.extend(name + b": " + value for name, value in extra_headers)
    if length >= 0:
        lines.append(b"content-length: %d" % length)
    else:
        lines.append(b"transfer-encoding: chunked")
    return b"\r\n".join(lines) + b"\r\n\r\n"


async def _send_chunks(connection: UpstreamConnection, body: Body, length: int) -> None:
    async for chunk in body:
        if length >= 0:
            await connection.send_body(chunk)
        else:
            await connection.send_body(b"%x\r\n%b\r\n" % (len(chunk), chunk))
    if length < 0:
        await connection.send_body(b"0\r\n\r\n")


__all__ = ["Answer", "ConnectionPool", "UpstreamAnswer", "UpstreamConnectionError"]
