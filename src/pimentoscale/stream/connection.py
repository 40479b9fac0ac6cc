"""One TCP connection that carries frames."""

import asyncio
import socket
from collections.abc import AsyncIterator

from pimentoscale.stream.codec import FrameError, FrameReader, encode_frame
from pimentoscale.stream.frames import PROTOCOL_VERSION, Frame, Hello

READ_BYTES = 128 * 1024
HELLO_TIMEOUT_S = 2.0


class Connection:
    """Sends and receives frames; used by one task that reads it."""

    __slots__ = ("_frames", "_reader", "_writer", "last_heard", "remote")

    def __init__(
        self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._frames = FrameReader()
        self.remote: Hello | None = None
        self.last_heard = asyncio.get_running_loop().time()
        sock = writer.get_extra_info("socket")
        if sock is not None and sock.family in (socket.AF_INET, socket.AF_INET6):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @property
    def is_open(self) -> bool:
        """Tell whether frames can still be sent."""
        return not self._writer.is_closing()

    def send(self, frame: Frame) -> None:
        """Write a frame in this turn of the loop; bodies are bound by credit."""
        self._writer.write(encode_frame(frame))

    async def greet(self, *, hello: Hello) -> Hello:
        """Exchange greetings and return the other side's.

        Raises `FrameError` for a peer of another protocol version.
        """
        self.send(hello)
        async with asyncio.timeout(HELLO_TIMEOUT_S):
            first = await anext(self.receive(), None)
        if not isinstance(first, Hello):
            raise FrameError("the first frame is not a greeting")
        if first.protocol != PROTOCOL_VERSION:
            raise FrameError(f"protocol version {first.protocol} is not ours")
        self.remote = first
        return first

    async def receive(self) -> AsyncIterator[Frame]:
        """Yield frames until the other side closes.

        Raises `FrameError` on bytes that are no frames, `OSError` on a lost peer.
        """
        for frame in self._frames.feed(b""):
            yield frame
        while data := await self._reader.read(READ_BYTES):
            self.last_heard = asyncio.get_running_loop().time()
            for frame in self._frames.feed(data):
                yield frame

    def abort(self) -> None:
        """Close the connection at once, whatever was written."""
        self._writer.transport.abort()

    def close(self) -> None:
        """Close the connection after what was written."""
        self._writer.close()


__all__ = ["Connection", "FrameError"]
