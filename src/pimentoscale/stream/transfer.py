"""Bodies on a stream: chunks under credit, checked by digest."""

import asyncio

import xxhash

from pimentoscale.call.body import CHUNK_BYTES, WINDOW_BYTES, Body
from pimentoscale.stream.connection import Connection
from pimentoscale.stream.frames import Chunk, Credit


def digest_bytes(data: bytes) -> bytes:
    """Return the digest by which a whole body is checked."""
    return xxhash.xxh3_128_digest(data)


class CreditWindow:
    """The bytes that the other side still has room for."""

    __slots__ = ("_left", "_wake")

    def __init__(self, *, used: int) -> None:
        self._left = WINDOW_BYTES - used
        self._wake: asyncio.Future[None] | None = None

    def add(self, *, size: int) -> None:
        """Take note of room that the other side has made."""
        self._left += size
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)

    async def consume(self, *, size: int) -> None:
        """Wait until there is room, then use it."""
        while self._left <= 0:
            self._wake = asyncio.get_running_loop().create_future()
            await self._wake
        self._left -= size


class BodySender:
    """Sends the rest of a body behind the frame that carried its first part."""

    __slots__ = ("_call", "_connection", "_hash", "window")

    def __init__(self, *, connection: Connection, call: int, first: bytes) -> None:
        self._connection = connection
        self._call = call
        self._hash = xxhash.xxh3_128(first)
        self.window = CreditWindow(used=len(first))

    async def send(self, body: Body) -> None:
        """Send all chunks of `body`.

        Raises `BodyTruncatedError` if the body breaks off; no last chunk is sent then.
        """
        async for chunk in body:
            for start in range(0, len(chunk), CHUNK_BYTES):
                await self._send_piece(chunk[start : start + CHUNK_BYTES])
        digest = self._hash.digest()
        self._connection.send(
            Chunk(call=self._call, data=b"", last=True, digest=digest)
        )

    async def _send_piece(self, piece: bytes) -> None:
        await self.window.consume(size=len(piece))
        self._hash.update(piece)
        self._connection.send(
            Chunk(call=self._call, data=piece, last=False, digest=b"")
        )


class BodyReceiver:
    """Puts the chunks of one body together and checks the digest."""

    __slots__ = ("_hash", "body")

    def __init__(self, *, connection: Connection, call: int, first: bytes) -> None:
        def give_credit(size: int) -> None:
            if connection.is_open:
                connection.send(Credit(call=call, size=size))

        self._hash = xxhash.xxh3_128(first)
        self.body = Body(on_read=give_credit)
        self.body.feed(first)

    def add_chunk(self, chunk: Chunk) -> bool:
        """Add a chunk; return True if the body has ended, whole or not."""
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
