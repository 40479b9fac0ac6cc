"""One TCP connection that carries frames.

Frames are handed over in the loop turn in which their bytes arrive, with no task to be
woken in between: at each hop of a call that turn would be part of its delay.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Awaitable, Callable

from pimentoscale.settings import Address
from pimentoscale.stream.codec import FrameError, FrameReader, encode_frame
from pimentoscale.stream.frames import PROTOCOL_VERSION, Frame, Hello

HELLO_TIMEOUT_S = 2.0

Taker = Callable[[Frame], None]
Accepter = Callable[["Connection"], Awaitable[None]]


class Connection(asyncio.Protocol):
    """Sends frames, and gives those that arrive to whoever runs it."""

    __slots__ = (
        "_ended",
        "_frames",
        "_on_made",
        "_take",
        "_transport",
        "_waiting",
        "_wake",
        "last_received_at",
        "remote",
    )

    def __init__(
        self, *, on_made: "Callable[[Connection], None] | None" = None
    ) -> None:
        loop = asyncio.get_running_loop()
        self._on_made = on_made
        self._transport: asyncio.Transport | None = None
        self._frames = FrameReader()
        self._take: Taker | None = None
        self._waiting: deque[Frame] = deque()
        self._wake: asyncio.Future[None] | None = None
        self._ended: asyncio.Future[None] = loop.create_future()
        self.remote: Hello | None = None
        self.last_received_at = loop.time()

    @property
    def is_open(self) -> bool:
        """Tell whether frames can still be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, frame: Frame) -> None:
        """Write a frame in this turn of the loop; bodies are bound by credit."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(encode_frame(frame))

    async def exchange_hello(self, *, hello: Hello) -> Hello:
        """Exchange greetings and return the other side's.

        Raises `FrameError` for a peer of another protocol version, `OSError` for one
        that is lost, `TimeoutError` for one that is silent.
        """
        self.send(hello)
        if not self._waiting and not self._ended.done():
            self._wake = asyncio.get_running_loop().create_future()
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                await self._wake
        if not self._waiting:
            self._raise_end()
            raise FrameError("the connection ended before a greeting")
        first = self._waiting.popleft()
        if not isinstance(first, Hello):
            raise FrameError("the first frame is not a greeting")
        if first.protocol != PROTOCOL_VERSION:
            raise FrameError(f"protocol version {first.protocol} is not ours")
        self.remote = first
        return first

    async def run(self, take: Taker) -> None:
        """Give each frame to `take` until the connection ends.

        Raises `FrameError` on bytes that are no frames, `OSError` on a lost peer, and
        what `take` raises.
        """
        while self._waiting:
            take(self._waiting.popleft())
        self._take = take
        await asyncio.shield(self._ended)

    def abort(self) -> None:
        """Close the connection at once, whatever was written."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close the connection after what was written."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport  # type: ignore[assignment]
        sock = transport.get_extra_info("socket")
        if sock is not None and sock.family in (socket.AF_INET, socket.AF_INET6):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._on_made is not None:
            self._on_made(self)

    def data_received(self, data: bytes) -> None:
        """Give the whole frames to whoever runs the connection."""
        self.last_received_at = asyncio.get_running_loop().time()
        try:
            for frame in self._frames.feed(data):
                if self._take is not None:
                    self._take(frame)
                else:
                    self._waiting.append(frame)
        except Exception as error:
            # Raised again where the connection is run.
            self._end(error)
            self.abort()
        self._wake_greeter()

    def connection_lost(self, exc: Exception | None) -> None:
        """End what runs the connection."""
        self._end(exc)
        self._wake_greeter()

    def _end(self, error: Exception | None) -> None:
        if self._ended.done():
            return
        if error is None:
            self._ended.set_result(None)
        else:
            self._ended.set_exception(error)
            # Read here, so that an end that nobody waits for logs nothing.
            self._ended.exception()

    def _raise_end(self) -> None:
        if self._ended.done():
            self._ended.result()

    def _wake_greeter(self) -> None:
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)


async def connect(address: Address) -> Connection:
    """Return a connection to an address; raises `OSError`."""
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(Connection, address.host, address.port)
    return connection


class Listener:
    """Accepts connections, with one task for each."""

    __slots__ = ("_accept", "_server", "_tasks")

    def __init__(self, *, accept: Accepter) -> None:
        self._accept = accept
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Future[None]] = set()

    async def start(self, address: Address, *, backlog: int) -> None:
        """Listen; raises `OSError` if the address can't be used."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(on_made=self._start_task),
            address.host,
            address.port,
            backlog=backlog,
        )

    @property
    def port(self) -> int:
        """Return the port on which it listens."""
        if self._server is None:
            return 0
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def _start_task(self, connection: Connection) -> None:
        task = asyncio.ensure_future(self._accept(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


__all__ = ["Connection", "FrameError", "Listener", "connect"]
