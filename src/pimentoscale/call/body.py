"""A body in transit: chunks in order, bounded in memory, with back pressure."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable

CHUNK_BYTES = 64 * 1024
WINDOW_BYTES = 256 * 1024


class BodyTruncatedError(Exception):
    """The body ended before its last chunk."""


class Body:
    """A queue of chunks between one writer and one reader.

    A writer that can wait calls `put`; one that is bound by credit calls `feed`.
    `on_read` is told the size of each chunk that the reader has taken.
    """

    __slots__ = (
        "_buffered",
        "_chunks",
        "_error",
        "_is_complete",
        "_on_read",
        "_room",
        "_wake",
    )

    def __init__(self, *, on_read: Callable[[int], None] | None = None) -> None:
        self._chunks: deque[bytes] = deque()
        self._buffered = 0
        self._is_complete = False
        self._error: BodyTruncatedError | None = None
        self._on_read = on_read
        self._wake: asyncio.Future[None] | None = None
        self._room: asyncio.Future[None] | None = None

    @classmethod
    def of(cls, data: bytes) -> "Body":
        """Return a body that is whole from the start."""
        body = cls()
        body.feed(data)
        body.finish()
        return body

    @property
    def is_complete(self) -> bool:
        """Tell whether the last chunk has arrived."""
        return self._is_complete

    @property
    def buffered_bytes(self) -> int:
        """Return the bytes that wait for the reader."""
        return self._buffered

    def feed(self, chunk: bytes) -> None:
        """Add a chunk without waiting."""
        if chunk:
            self._chunks.append(chunk)
            self._buffered += len(chunk)
            self._notify()

    async def put(self, chunk: bytes) -> None:
        """Add a chunk once the reader has made room for it.

        Raises `BodyTruncatedError` if the reader has given up.
        """
        while self._buffered >= WINDOW_BYTES and self._error is None:
            self._room = asyncio.get_running_loop().create_future()
            await self._room
        if self._error is not None:
            raise self._error
        self.feed(chunk)

    def finish(self) -> None:
        """Mark the body as whole."""
        self._is_complete = True
        self._notify()

    def fail(self, reason: str) -> None:
        """Break the body off, for the reader and for the writer."""
        if not self._is_complete and self._error is None:
            self._error = BodyTruncatedError(reason)
        self._notify()
        self._release_writer()

    def take_buffered(self) -> bytes:
        """Return all that has arrived, without waiting."""
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._account(len(data))
        return data

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the chunks in order.

        Raises `BodyTruncatedError` if the writer broke off.
        """
        while True:
            while self._chunks:
                chunk = self._chunks.popleft()
                self._account(len(chunk))
                yield chunk
            if self._error is not None:
                raise self._error
            if self._is_complete:
                return
            self._wake = asyncio.get_running_loop().create_future()
            await self._wake

    def _account(self, size: int) -> None:
        self._buffered -= size
        if self._buffered < WINDOW_BYTES:
            self._release_writer()
        if self._on_read is not None and size:
            self._on_read(size)

    def _notify(self) -> None:
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)

    def _release_writer(self) -> None:
        if self._room is not None and not self._room.done():
            self._room.set_result(None)


async def collect_body(body: Body) -> bytes:
    """Return the whole body in memory.

    Raises `BodyTruncatedError` if it ended early.
    """
    return b"".join([chunk async for chunk in body])
