"""One TCP connection that carries frames.

Received frames are passed on in the event loop iteration in which their bytes arrive,
without waking a task: that would add an iteration to the latency of each hop of a call.
"""

import asyncio
import math
import socket
from collections import deque
from collections.abc import Awaitable, Callable

from pimentoscale.settings import Address
from pimentoscale.stream.codec import (
    MAX_FIRST_FRAME_BYTES,
    MAX_FRAME_BYTES,
    FrameError,
    FrameReader,
    encode_frame,
)
from pimentoscale.stream.frames import PROTOCOL_VERSION, Frame, Hello

HELLO_TIMEOUT_S = 2.0
# Longest pause between two parts of a frame that is still arriving.
RECEIVING_S = 0.5

FrameHandler = Callable[[Frame], None]
ConnectionHandler = Callable[["Connection"], Awaitable[None]]


class Connection(asyncio.Protocol):
    """Sends frames, and passes received frames to the handler given to `run`."""

    __slots__ = (
        "_closed",
        "_hello_waiter",
        "_is_finished",
        "_on_connected",
        "_on_frame",
        "_pending",
        "_reader",
        "_transport",
        "answered_at",
        "last_received_at",
        "remote",
    )

    def __init__(
        self, *, on_connected: "Callable[[Connection], None] | None" = None
    ) -> None:
        loop = asyncio.get_running_loop()
        self._on_connected = on_connected
        self._transport: asyncio.Transport | None = None
        self._reader = FrameReader(max_frame_bytes=MAX_FIRST_FRAME_BYTES)
        self._on_frame: FrameHandler | None = None
        self._pending: deque[Frame] = deque()
        self._hello_waiter: asyncio.Future[None] | None = None
        self._closed: asyncio.Future[None] = loop.create_future()
        self._is_finished = False
        self.remote: Hello | None = None
        self.last_received_at = loop.time()
        # When the owner last sent the end of an answer.
        self.answered_at = -math.inf

    @property
    def is_open(self) -> bool:
        """Return whether frames can be sent."""
        transport = self._transport
        return (
            transport is not None
            and not transport.is_closing()
            and not self._is_finished
        )

    def is_receiving(self, *, now: float) -> bool:
        """Return whether a frame is arriving in parts, the last one just now."""
        is_recent = now - self.last_received_at <= RECEIVING_S
        return self._reader.has_part and is_recent

    def send(self, frame: Frame) -> None:
        """Write a frame without waiting; drop it if the connection is closed.

        Credit bounds the bytes of bodies that are in flight.
        """
        if self._transport is not None and self.is_open:
            self._transport.write(encode_frame(frame))

    async def exchange_hello(self, *, hello: Hello) -> Hello:
        """Send `hello` and return the Hello frame of the other side.

        Raises `FrameError` if the first frame is not a Hello frame of this protocol
        version or the connection closes before it, `OSError` if the connection is lost,
        and `TimeoutError` after `HELLO_TIMEOUT_S` without a frame.
        """
        self.send(hello)
        if not self._pending and not self._closed.done():
            self._hello_waiter = asyncio.get_running_loop().create_future()
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                await self._hello_waiter
        if not self._pending:
            self._raise_error()
            raise FrameError("the connection closed before a Hello frame")
        first = self._pending.popleft()
        if not isinstance(first, Hello):
            raise FrameError("the first frame is not a Hello frame")
        if first.protocol != PROTOCOL_VERSION:
            raise FrameError(
                f"protocol version {first.protocol}; supported: {PROTOCOL_VERSION}"
            )
        self.remote = first
        return first

    async def run(self, on_frame: FrameHandler) -> None:
        """Pass each frame to `on_frame` until the connection closes.

        Raises `FrameError` on malformed frames, `OSError` if the connection is lost,
        and whatever `on_frame` raises.
        """
        while self._pending:
            on_frame(self._pending.popleft())
        self._on_frame = on_frame
        await asyncio.shield(self._closed)

    def finish(self) -> None:
        """End the sending; the other side closes once it has received all frames.

        A close with frames unread on this side would discard what is still under way.
        """
        if self._transport is not None and self.is_open:
            self._is_finished = True
            self._transport.write_eof()

    def abort(self) -> None:
        """Close the connection at once and discard buffered frames."""
        if self._transport is not None:
            self._transport.abort()

    def fail(self, error: Exception) -> None:
        """Close the connection at once; `run` raises the error to its caller."""
        self._mark_closed(error)
        self.abort()

    def close(self) -> None:
        """Close the connection once buffered frames are sent."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and disable Nagle's algorithm."""
        self._transport = transport  # type: ignore[assignment]
        sock = transport.get_extra_info("socket")
        if sock is not None and sock.family in (socket.AF_INET, socket.AF_INET6):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._on_connected is not None:
            self._on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Decode the frames that are complete and pass them to the handler.

        Frames that arrive before `run` is called are kept for it.
        """
        self.last_received_at = asyncio.get_running_loop().time()
        try:
            for frame in self._reader.feed(data):
                # The first frame, or the connection fails.
                self._reader.max_frame_bytes = MAX_FRAME_BYTES
                if self._on_frame is not None:
                    self._on_frame(frame)
                else:
                    self._pending.append(frame)
        except Exception as error:
            self.fail(error)
        self._wake_hello_waiter()

    def connection_lost(self, exc: Exception | None) -> None:
        """Let `run` return, or raise the error that closed the connection."""
        self._mark_closed(exc)
        self._wake_hello_waiter()

    def _mark_closed(self, error: Exception | None) -> None:
        if self._closed.done():
            return
        if error is None:
            self._closed.set_result(None)
        else:
            self._closed.set_exception(error)
            # Marks the exception as retrieved: otherwise asyncio logs it if nothing
            # awaits the future.
            self._closed.exception()

    def _raise_error(self) -> None:
        if self._closed.done():
            self._closed.result()

    def _wake_hello_waiter(self) -> None:
        if self._hello_waiter is not None and not self._hello_waiter.done():
            self._hello_waiter.set_result(None)


async def connect(address: Address) -> Connection:
    """Open a connection to an address.

    Raises `OSError` if it can't be opened.
    """
    loop = asyncio.get_running_loop()
    try:
        _, connection = await loop.create_connection(
            Connection, address.host, address.port
        )
    except (ValueError, OverflowError) as error:
        raise OSError(f"{address} is not an address: {error}") from error
    return connection


class Listener:
    """Accepts connections and runs one task for each."""

    __slots__ = ("_accept", "_server", "_tasks")

    def __init__(self, *, accept: ConnectionHandler) -> None:
        self._accept = accept
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Future[None]] = set()

    async def start(self, address: Address, *, backlog: int) -> None:
        """Start to listen.

        Raises `OSError` if the address can't be bound.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(on_connected=self._start_task),
            address.host,
            address.port,
            backlog=backlog,
        )

    @property
    def port(self) -> int:
        """Return the port that is listened on, or 0 if there is none."""
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


__all__ = [
    "Connection",
    "FrameError",
    "Listener",
    "connect",
]
