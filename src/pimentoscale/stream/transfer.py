"""Transfer of bodies on a stream: chunks with flow control, checked by a digest."""

import asyncio
from collections.abc import Callable

import xxhash

from pimentoscale.call.body import CHUNK_BYTES, WINDOW_BYTES, Body
from pimentoscale.stream.connection import Connection
from pimentoscale.stream.frames import Chunk, Credit


def digest_bytes(data: bytes) -> bytes:
    """Return the digest that verifies a whole body."""
    return xxhash.xxh3_128_digest(data)


class CreditWindow:
    """The number of body bytes that the sender may still send."""

    __slots__ = ("_remaining", "_waiter")

    def __init__(self, *, sent_bytes: int) -> None:
        self._remaining = WINDOW_BYTES - sent_bytes
        self._waiter: asyncio.Future[None] | None = None

    def add(self, *, size: int) -> None:
        """Add the bytes that the receiver has granted."""
        self._remaining += size
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def consume(self, *, size: int) -> None:
        """Wait until some credit remains, then deduct `size`, possibly below zero."""
        while self._remaining <= 0:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        self._remaining -= size


class BodySender:
    """Sends the chunks of a body after the frame that carried its first part."""

    __slots__ = ("_call", "_connection", "_hash", "window")

    def __init__(self, *, connection: Connection, call: int, first: bytes) -> None:
        self._connection = connection
        self._call = call
        self._hash = xxhash.xxh3_128(first)
        self.window = CreditWindow(sent_bytes=len(first))

    async def send(self, body: Body) -> None:
        """Send `body` in chunks of up to `CHUNK_BYTES`, then the digest.

        Raises `BodyTruncatedError` if the body ends early; no last chunk is sent then.
        """
        async for chunk in body:
            for start in range(0, len(chunk), CHUNK_BYTES):
                await self._send_chunk(chunk[start : start + CHUNK_BYTES])
        digest = self._hash.digest()
        self._connection.send(
            Chunk(call=self._call, data=b"", last=True, digest=digest)
        )

    async def _send_chunk(self, data: bytes) -> None:
        await self.window.consume(size=len(data))
        self._hash.update(data)
        self._connection.send(Chunk(call=self._call, data=data, last=False, digest=b""))


class BodyReceiver:
    """Assembles the chunks of one body and verifies the digest."""

    __slots__ = ("_hash", "body")

    def __init__(
        self,
        *,
        connection: Connection,
        call: int,
        first: bytes,
        on_discard: Callable[[], None] | None = None,
    ) -> None:
        def grant_credit(size: int) -> None:
            if connection.is_open:
                connection.send(Credit(call=call, size=size))

        self._hash = xxhash.xxh3_128(first)
        self.body = Body(on_read=grant_credit, on_discard=on_discard)
        self.body.feed(first)

    def add_chunk(self, chunk: Chunk) -> bool:
        """Add a chunk; return whether it ends the body, intact or not."""
        if chunk.data:
            self._hash.update(chunk.data)
            self.body.feed(chunk.data)
        if not chunk.last:
            return False
        if chunk.digest == self._hash.digest():
            self.body.finish()
        else:
            self.body.fail("the digest differs")
        return True
