"""The streaming connection to an upstream, fed by bytes without a network."""

import asyncio
from typing import Any, cast

import pytest

from pimentoscale.upstream.connection import (
    UpstreamConnection,
    UpstreamConnectionError,
)


class _Transport:
    """A transport that drops what is written."""

    def write(self, data: bytes) -> None:
        pass

    def close(self) -> None:
        pass


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\nx: y\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nx: y\r\ncontent-length: 2\r\n\r\n",
        b"HTTP/1.1 103 Early\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\nx: y\r\n\r\n",
    ],
)
def test_answer_that_stops_anywhere_in_its_head_is_an_error(head: bytes) -> None:
    async def run(cut: int) -> None:
        connection = UpstreamConnection()
        connection.connection_made(cast(Any, _Transport()))
        await connection.send_head(b"GET / HTTP/1.1\r\n\r\n")
        if cut:
            connection.data_received(head[:cut])
        connection.connection_lost(None)
        with pytest.raises(UpstreamConnectionError):
            await connection.wait_head()
        assert not connection.body.is_complete

    for cut in range(len(head)):
        asyncio.run(run(cut))


def test_answer_without_length_that_ends_with_its_connection_is_not_complete() -> None:
    async def run() -> None:
        connection = UpstreamConnection()
        connection.connection_made(cast(Any, _Transport()))
        await connection.send_head(b"GET / HTTP/1.1\r\n\r\n")
        connection.data_received(b"HTTP/1.1 200 OK\r\nx: y\r\n\r\npart")
        connection.connection_lost(None)
        assert await connection.wait_head() == 200
        assert not connection.body.is_complete

    asyncio.run(run())
