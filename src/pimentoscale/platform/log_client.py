"""Appending to and reading from the platform's log over HTTP."""

import asyncio
from dataclasses import dataclass, field
from typing import TypeVar

import msgspec

from pimentoscale.call import Body, BodyBrokenError, CallRequest, collect_body
from pimentoscale.settings import Address
from pimentoscale.upstream import (
    ConnectionPool,
    UpstreamBrokenError,
    UpstreamUnreachableError,
)

APPEND_TIMEOUT_S = 2.0
READ_MARGIN_S = 2.0
MAX_CONNECTIONS = 8
HTTP_OK = 200

T = TypeVar("T")


class LogError(Exception):
    """The log did not answer; an append may or may not have taken effect."""


@dataclass(slots=True, kw_only=True)
class LogPage:
    """Records of one stream in order.

    `first` is the offset of the first record; it is later than the one asked for
    where older records have expired.
    """

    first: int
    records: list[bytes] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class _Appended:
    offset: int


class LogClient:
    """Talks to the log service of the platform."""

    def __init__(self, *, address: Address) -> None:
        self._pool = ConnectionPool(address=address, limit=MAX_CONNECTIONS)
        self.appends = 0

    async def append(self, *, stream: str, data: bytes) -> int:
        """Append a record and return its offset.

        Raises `LogError`; the record may be in the log all the same.
        """
        self.appends += 1
        path = f"/streams/{stream}/records"
        raw = await self._exchange("POST", path, data, APPEND_TIMEOUT_S)
        return _decode(raw, _Appended).offset

    async def read(self, *, stream: str, offset: int, wait_ms: int) -> LogPage:
        """Return the records from `offset` on, waiting up to `wait_ms` for one.

        Raises `LogError`.
        """
        path = f"/streams/{stream}/records?from={offset}&wait_ms={wait_ms}"
        timeout_s = wait_ms / 1000 + READ_MARGIN_S
        return _decode(await self._exchange("GET", path, b"", timeout_s), LogPage)

    async def _exchange(
        self, method: str, path: str, data: bytes, timeout_s: float
    ) -> bytes:
        request = CallRequest(
            method=method,
            path=path,
            headers=[],
            body=Body.of(data),
            body_bytes=len(data),
        )
        try:
            async with asyncio.timeout(timeout_s):
                return await self._send(request)
        except (
            TimeoutError,
            UpstreamUnreachableError,
            UpstreamBrokenError,
            BodyBrokenError,
        ) as error:
            raise LogError(f"{method} {path}: {error or 'no answer'}") from error

    async def _send(self, request: CallRequest) -> bytes:
        connection = await self._pool.acquire()
        try:
            answer = await self._pool.send(
                connection=connection, request=request, extra=()
            )
            data = await collect_body(answer.body)
        except BaseException:
            connection.close()
            raise
        finally:
            self._pool.release(connection)
        if answer.status != HTTP_OK:
            raise LogError(f"{request.path}: status {answer.status}")
        return data


def _decode(raw: bytes, shape: type[T]) -> T:
    try:
        return msgspec.json.decode(raw, type=shape)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise LogError(f"not a log's answer: {error}") from error
