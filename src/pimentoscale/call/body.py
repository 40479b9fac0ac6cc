"""Streamed message bodies with bounded buffering and back-pressure."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable

CHUNK_BYTES = 64 * 1024
WINDOW_BYTES = 256 * 1024


class BodyTruncatedError(Exception):
    """The body ended before its last chunk arrived."""


class Body:
    """An ordered queue of chunks between one writer and one reader.

    A writer that can wait calls `put`; one limited by flow-control credit calls
    `feed`. `on_read` is called with the number of bytes whenever the reader consumes
    some, `on_discard` when the reader gives up a body whose last chunk is to come.
    """

    __slots__ = (
        "_buffered",
        "_chunks",
        "_error",
        "_is_complete",
        "_on_discard",
        "_on_read",
        "_reader_waiter",
        "_writer_waiter",
    )

    def __init__(
        self,
        *,
        on_read: Callable[[int], None] | None = None,
        on_discard: Callable[[], None] | None = None,
    ) -> None:
        self._chunks: deque[bytes] = deque()
        self._buffered = 0
        self._is_complete = False
        self._error: BodyTruncatedError | None = None
        self._on_read = on_read
        self._on_discard = on_discard
        self._reader_waiter: asyncio.Future[None] | None = None
        self._writer_waiter: asyncio.Future[None] | None = None

    @classmethod
    def of(cls, data: bytes) -> "Body":
        """Return a complete body with the given content."""
        body = cls()
        body.feed(data)
        body.finish()
        return body

    @property
    def is_complete(self) -> bool:
        """Return whether the last chunk has arrived."""
        return self._is_complete

    @property
    def buffered_bytes(self) -> int:
        """Return the number of bytes that the reader has not consumed yet."""
        return self._buffered

    def feed(self, chunk: bytes) -> None:
        """Add a chunk without waiting."""
        if chunk:
            self._chunks.append(chunk)
            self._buffered += len(chunk)
            self._wake_reader()

    async def put(self, chunk: bytes) -> None:
        """Add a chunk, waiting while `WINDOW_BYTES` or more are buffered.

        Raises `BodyTruncatedError` if the body was aborted, for example because its
        reader stopped.
        """
        while self._buffered >= WINDOW_BYTES and self._error is None:
            self._writer_waiter = asyncio.get_running_loop().create_future()
            await self._writer_waiter
        if self._error is not None:
            raise self._error
        self.feed(chunk)

    def finish(self) -> None:
        """Mark the body as complete."""
        self._is_complete = True
        self._wake_reader()

    def fail(self, reason: str) -> None:
        """Abort an incomplete body, for the reader and for the writer."""
        if not self._is_complete and self._error is None:
            self._error = BodyTruncatedError(reason)
        self._wake_reader()
        self._wake_writer()

    def discard(self) -> None:
        """Give up a body that is not read to its end, so that its writer ends too."""
        self._chunks.clear()
        self._buffered = 0
        if self._is_complete or self._error is not None:
            return
        self.fail("the reader discarded it")
        if self._on_discard is not None:
            self._on_discard()

    def take_buffered(self) -> bytes:
        """Remove and return all buffered bytes without waiting."""
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._mark_consumed(len(data))
        return data

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the chunks in order.

        Raises `BodyTruncatedError` if the body was aborted.
        """
        while True:
            while self._chunks:
                chunk = self._chunks.popleft()
                self._mark_consumed(len(chunk))
                yield chunk
            if self._error is not None:
                raise self._error
            if self._is_complete:
                return
            self._reader_waiter = asyncio.get_running_loop().create_future()
            await self._reader_waiter

    def _mark_consumed(self, size: int) -> None:
        self._buffered -= size
        if self._buffered < WINDOW_BYTES:
            self._wake_writer()
        if self._on_read is not None and size:
            self._on_read(size)

    def _wake_reader(self) -> None:
        if self._reader_waiter is not None and not self._reader_waiter.done():
            self._reader_waiter.set_result(None)

    def _wake_writer(self) -> None:
        if self._writer_waiter is not None and not self._writer_waiter.done():
            self._writer_waiter.set_result(None)


async def collect_body(body: Body) -> bytes:
    """Read the body to its end and return its content.

    Raises `BodyTruncatedError` if the body was aborted.
    """
    return b"".join([chunk async for chunk in body])
