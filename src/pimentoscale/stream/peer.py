"""The side of a stream that opens it and sends calls and queries."""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from pimentoscale.call import Body, BodyTruncatedError
from pimentoscale.logs import get_logger
from pimentoscale.settings import Address
from pimentoscale.stream.codec import FrameError
from pimentoscale.stream.connection import Connection, connect
from pimentoscale.stream.frames import (
    Announcements,
    Call,
    CallersRoutes,
    Cancel,
    Chunk,
    Credit,
    ForwardReply,
    Frame,
    Heartbeat,
    Hello,
    Leaving,
    Records,
    Reply,
    RoutesRecord,
    SlowCall,
    Verdict,
)
from pimentoscale.stream.transfer import BodyReceiver, BodySender, digest_bytes

CONNECT_TIMEOUT_S = 1.0
HEARTBEAT_PERIOD_S = 0.5
HEARTBEAT_TIMEOUT_S = 2.0
RECONNECT_MIN_S = 0.05
RECONNECT_MAX_S = 2.0

log = get_logger("stream")


class PeerUnreachableError(Exception):
    """Nothing was sent: there is no open connection to the peer."""


class PeerLostError(Exception):
    """The connection was lost after the frame was sent."""


class Query(Protocol):
    """A frame that is answered by one frame with the same query number."""

    query: int


class PeerObserver(Protocol):
    """What a peer's owner is told."""

    def build_heartbeat(self) -> Heartbeat:
        """Return the heartbeat to send."""

    def on_heartbeat(self, *, remote: Hello, frame: Heartbeat) -> None:
        """Take note of what the other side holds."""

    def on_records(self, *, frame: Records) -> None:
        """Take in configuration records."""

    def on_announcements(self, *, frame: Announcements, peer: "Peer") -> None:
        """Take in announcements of members."""

    def on_slow_call(self, *, remote: Hello, frame: SlowCall) -> None:
        """Take note that the other side's upstream answers late."""

    def on_callers_routes(self, *, frame: CallersRoutes) -> None:
        """Take in which routes callers use."""

    def on_leaving(self, *, remote: Hello) -> None:
        """Take note that the other side takes no new work."""

    def on_up(self, *, remote: Hello, peer: "Peer") -> None:
        """Take note that the peer can be used."""

    def on_down(self, *, peer: "Peer") -> None:
        """Take note that the peer can't be used."""


@dataclass(slots=True, kw_only=True)
class _PendingCall:
    reply: "asyncio.Future[tuple[Reply, Body]]"
    sender: BodySender | None = None
    receiver: BodyReceiver | None = None


class Peer:
    """One connection to another node, kept up by one task."""

    def __init__(
        self,
        *,
        address: Address,
        hello: Callable[[], Hello],
        observer: PeerObserver,
        heartbeat_period_s: float = HEARTBEAT_PERIOD_S,
    ) -> None:
        self.address = address
        self.dropped_frames = 0
        self._hello = hello
        self._observer = observer
        self._heartbeat_period_s = heartbeat_period_s
        self._connection: Connection | None = None
        self._numbers = itertools.count(1)
        self._calls: dict[int, _PendingCall] = {}
        self._queries: dict[int, asyncio.Future[Frame]] = {}
        self._task: asyncio.Task[None] | None = None

    @property
    def is_up(self) -> bool:
        """Tell whether calls can be sent."""
        return self._connection is not None and self._connection.is_open

    @property
    def remote(self) -> Hello | None:
        """Return the other side's greeting, while connected."""
        return self._connection.remote if self._connection else None

    def start(self) -> None:
        """Start the task that keeps the connection up."""
        self._task = asyncio.create_task(self._keep_connected())

    def stop(self) -> None:
        """Close the connection for good."""
        if self._task is not None:
            self._task.cancel()
        self._lose_connection()

    async def call(self, frame: Call, rest: Body) -> tuple[Reply, Body]:
        """Send a call and return its answer; `rest` follows if the frame says so.

        Raises `PeerUnreachableError` (not sent), `PeerLostError` (sent, no answer), and
        `BodyTruncatedError` if the request's body broke off.
        """
        connection = self._get_connection()
        number = next(self._numbers)
        frame.call = number
        loop = asyncio.get_running_loop()
        pending = _PendingCall(reply=loop.create_future())
        self._calls[number] = pending
        connection.send(frame)
        try:
            if frame.more:
                await self._send_rest(connection, number, frame, rest, pending)
            return await pending.reply
        except BaseException:
            self._calls.pop(number, None)
            if connection.is_open:
                connection.send(Cancel(call=number))
            raise

    async def query(self, frame: Query, *, timeout_s: float) -> Frame:
        """Send a query and return the frame that answers it.

        Raises `PeerUnreachableError` (not sent) or `PeerLostError` (no answer in time).
        """
        connection = self._get_connection()
        frame.query = next(self._numbers)
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[Frame] = loop.create_future()
        self._queries[frame.query] = answer
        connection.send(frame)  # type: ignore[arg-type]
        timer = loop.call_later(timeout_s, _expire, answer)
        try:
            return await answer
        except TimeoutError as error:
            self._cancel_query(connection, frame.query)
            raise PeerLostError(f"{self.address}: no answer in time") from error
        except asyncio.CancelledError:
            self._cancel_query(connection, frame.query)
            raise
        finally:
            timer.cancel()
            self._queries.pop(frame.query, None)

    def _cancel_query(self, connection: Connection, number: int) -> None:
        """Tell the other side that nobody waits for the answer any more."""
        if connection.is_open:
            connection.send(Cancel(call=number))

    def send(self, frame: Frame) -> None:
        """Send a frame that has no answer; dropped while not connected."""
        if self.is_up and self._connection is not None:
            self._connection.send(frame)

    def _get_connection(self) -> Connection:
        if self._connection is None or not self._connection.is_open:
            raise PeerUnreachableError(str(self.address))
        return self._connection

    async def _send_rest(
        self,
        connection: Connection,
        number: int,
        frame: Call,
        rest: Body,
        pending: _PendingCall,
    ) -> None:
        """Send the rest of the body, unless the answer comes first."""
        sender = BodySender(connection=connection, call=number, first=frame.body)
        pending.sender = sender
        sending = asyncio.ensure_future(sender.send(rest))
        try:
            first_done = asyncio.FIRST_COMPLETED
            waited: set[asyncio.Future[Any]] = {sending, pending.reply}
            await asyncio.wait(waited, return_when=first_done)
            if sending.done():
                sending.result()
        finally:
            sending.cancel()

    async def _keep_connected(self) -> None:
        delay = RECONNECT_MIN_S
        while True:
            try:
                await self._run_connection()
                delay = RECONNECT_MIN_S
            except (OSError, FrameError, TimeoutError) as error:
                log.debug("%s is not reachable: %s", self.address, error)
            self._lose_connection()
            await asyncio.sleep(delay)
            delay = min(RECONNECT_MAX_S, 2 * delay)

    async def _run_connection(self) -> None:
        opening = connect(self.address)
        connection = await asyncio.wait_for(opening, CONNECT_TIMEOUT_S)
        try:
            remote = await connection.exchange_hello(hello=self._hello())
            self._connection = connection
            self._observer.on_up(remote=remote, peer=self)
            async with asyncio.TaskGroup() as tasks:
                heartbeat = tasks.create_task(self._beat(connection))
                await connection.run(
                    lambda frame: self._take(connection, remote, frame)
                )
                heartbeat.cancel()
        except BaseExceptionGroup as group:
            raise OSError(str(group.exceptions[0])) from group
        finally:
            connection.close()

    async def _beat(self, connection: Connection) -> None:
        """Send heartbeats; raise `TimeoutError` once the other side is silent."""
        loop = asyncio.get_running_loop()
        connection.last_received_at = loop.time()
        while True:
            connection.send(self._observer.build_heartbeat())
            before = loop.time()
            await asyncio.sleep(self._heartbeat_period_s)
            now = loop.time()
            if now - before > HEARTBEAT_TIMEOUT_S:
                # This process was paused; the silence was its own.
                connection.last_received_at = now
            if now - connection.last_received_at > HEARTBEAT_TIMEOUT_S:
                raise TimeoutError("no heartbeat")

    def _take(self, connection: Connection, remote: Hello, frame: Frame) -> None:
        match frame:
            case Reply():
                self._take_reply(connection, frame)
            case Chunk():
                self._take_chunk(frame)
            case Credit():
                self._take_credit(frame)
            case Verdict() | ForwardReply() | RoutesRecord():
                self._take_query_answer(frame)
            case Records():
                self._observer.on_records(frame=frame)
            case Announcements():
                self._observer.on_announcements(frame=frame, peer=self)
            case Heartbeat():
                self._observer.on_heartbeat(remote=remote, frame=frame)
            case SlowCall():
                self._observer.on_slow_call(remote=remote, frame=frame)
            case CallersRoutes():
                self._observer.on_callers_routes(frame=frame)
            case Leaving():
                self._observer.on_leaving(remote=remote)
            case _:
                raise FrameError(f"{type(frame).__name__} is not for this side")

    def _take_reply(self, connection: Connection, frame: Reply) -> None:
        pending = self._calls.get(frame.call)
        if pending is None or pending.reply.done():
            self.dropped_frames += 1
            return
        if frame.more:
            pending.receiver = BodyReceiver(
                connection=connection, call=frame.call, first=frame.body
            )
            pending.reply.set_result((frame, pending.receiver.body))
            return
        del self._calls[frame.call]
        body = Body.of(frame.body)
        if digest_bytes(frame.body) != frame.digest:
            body = Body()
            body.fail("the digest differs")
        pending.reply.set_result((frame, body))

    def _take_chunk(self, frame: Chunk) -> None:
        pending = self._calls.get(frame.call)
        if pending is None or pending.receiver is None:
            self.dropped_frames += 1
        elif pending.receiver.add_chunk(frame):
            del self._calls[frame.call]

    def _take_credit(self, frame: Credit) -> None:
        pending = self._calls.get(frame.call)
        if pending is not None and pending.sender is not None:
            pending.sender.window.add(size=frame.size)

    def _take_query_answer(self, frame: Verdict | ForwardReply | RoutesRecord) -> None:
        waiting = self._queries.get(frame.query)
        if waiting is None or waiting.done():
            self.dropped_frames += 1
        else:
            waiting.set_result(frame)

    def _lose_connection(self) -> None:
        if self._connection is None:
            return
        self._connection.close()
        self._connection = None
        lost = PeerLostError(str(self.address))
        calls, self._calls = self._calls, {}
        for pending in calls.values():
            if not pending.reply.done():
                pending.reply.set_exception(lost)
            elif pending.receiver is not None:
                pending.receiver.body.fail("the peer was lost")
        for answer in self._queries.values():
            if not answer.done():
                answer.set_exception(lost)
        self._observer.on_down(peer=self)


def _expire(answer: "asyncio.Future[Frame]") -> None:
    if not answer.done():
        answer.set_exception(TimeoutError())


__all__ = [
    "BodyTruncatedError",
    "Peer",
    "PeerLostError",
    "PeerObserver",
    "PeerUnreachableError",
]
