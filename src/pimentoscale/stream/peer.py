"""The initiator of a stream, which opens it and sends calls and queries."""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from pimentoscale.call import Body
from pimentoscale.expiry import Expiry
from pimentoscale.logs import get_logger
from pimentoscale.settings import Address
from pimentoscale.stream.codec import FrameError
from pimentoscale.stream.connection import RECEIVING_S, Connection, connect
from pimentoscale.stream.errors import (
    PeerLostError,
    PeerSilentError,
    PeerUnreachableError,
)
from pimentoscale.stream.frames import (
    AdmittedShares,
    Announcements,
    BodyReserved,
    Call,
    CallerRoutes,
    Cancel,
    Chunk,
    Credit,
    Draining,
    ForwardReply,
    Frame,
    Heartbeat,
    HeldRecord,
    Hello,
    HoldRecord,
    Records,
    Reply,
    RoutesRecord,
    SlowCall,
    StateConfirmation,
    TopicRecords,
    Verdict,
)
from pimentoscale.stream.observer import PeerObserver, Query
from pimentoscale.stream.silence import (
    FRESH_S,
    HEARTBEAT_TIMEOUT_S,
    SILENT_WORK_TIMEOUT_S,
    SignOfLife,
)
from pimentoscale.stream.transfer import BodyReceiver, BodySender, digest_bytes

CONNECT_TIMEOUT_S = 1.0
HEARTBEAT_PERIOD_S = 0.5
RECONNECT_MIN_S = 0.05
RECONNECT_MAX_S = 2.0

log = get_logger("stream")


@dataclass(slots=True, kw_only=True)
class _PendingCall:
    reply: "asyncio.Future[tuple[Reply, Body]]"
    sender: BodySender | None = None
    receiver: BodyReceiver | None = None


class Peer:
    """One connection to another node, kept open by a task that reconnects.

    A retired peer takes no more calls and queries, and closes after the last answer.
    Without a frame for `HEARTBEAT_TIMEOUT_S` the peer is down. Its connection is closed
    then, unless calls or queries wait on it that were sent with `waits_in_silence` or
    `reports_silence`: those are answered if the other side comes back.
    """

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
        # Numbers of the calls and queries that wait for their answer through a silence.
        self._patient: set[int] = set()
        # Numbers of the queries whose senders are told of a silence.
        self._reporting: set[int] = set()
        self._is_silent = False
        self._sign_of_life = SignOfLife()
        self._is_retired = False
        self._task: asyncio.Task[None] | None = None

    @property
    def is_up(self) -> bool:
        """Return whether calls can be sent."""
        return (
            self._connection is not None
            and self._connection.is_open
            and not self._is_silent
            and not self._is_retired
        )

    @property
    def remote(self) -> Hello | None:
        """Return the Hello frame of the other side, or None while not connected."""
        return self._connection.remote if self._connection else None

    def start(self) -> None:
        """Start the task that keeps the peer connected."""
        self._task = asyncio.create_task(self._keep_connected())

    def stop(self) -> None:
        """Close the connection and stop reconnecting."""
        if self._task is not None:
            self._task.cancel()
        self._drop_connection("closed by this node")

    def retire(self) -> None:
        """Close the connection once no call or query is in progress, perhaps now."""
        self._is_retired = True
        self._close_if_unused()

    def is_receiving(self, *, now: float) -> bool:
        """Return whether a frame is arriving in parts, the last one just now."""
        connection = self._connection
        return connection is not None and connection.is_receiving(now=now)

    @property
    def in_progress(self) -> int:
        """Return how many calls and queries wait for their answers."""
        return len(self._calls) + len(self._queries)

    async def confirm(self, *, expires_at: float) -> None:
        """Return once something was received within `FRESH_S`; ask for it if not.

        What is sent to a side that does not receive is lost, and nobody can tell later
        whether it was. Raises `PeerUnreachableError` if nothing is received within
        `SIGN_OF_LIFE_TIMEOUT_S`, or until `expires_at` on the event loop's clock.
        """
        loop = asyncio.get_running_loop()
        connection, now = self._get_connection(), loop.time()
        if now - connection.last_received_at <= FRESH_S:
            return
        is_received = await self._sign_of_life.wait(
            ask=lambda: connection.send(self._observer.build_heartbeat()),
            expires_at=expires_at,
            now=now,
        )
        if not is_received:
            silent_s = loop.time() - connection.last_received_at
            raise PeerUnreachableError(f"{self.address}: silent for {silent_s:.1f} s")

    async def call(
        self, frame: Call, remainder: Body, *, waits_in_silence: bool = False
    ) -> tuple[Reply, Body]:
        """Send a call and return its answer.

        `remainder` is the body after the part in the frame; it is sent if `frame.more`.
        With `waits_in_silence` it also waits while the other side is silent. Raises
        `PeerUnreachableError` (not sent), `PeerLostError` (sent, no answer), or
        `BodyTruncatedError` if the body of the request ends early.
        """
        connection = self._get_connection()
        number = next(self._numbers)
        frame.call = number
        loop = asyncio.get_running_loop()
        pending = _PendingCall(reply=loop.create_future())
        self._calls[number] = pending
        if waits_in_silence:
            self._patient.add(number)
        connection.send(frame)
        try:
            if frame.more:
                await self._send_remainder(
                    connection, number, frame, remainder, pending
                )
            return await pending.reply
        except BaseException:
            self._cancel_call(connection, number)
            raise

    async def query(
        self,
        frame: Query,
        *,
        timeout_s: float,
        receiving_s: float = 0.0,
        waits_in_silence: bool = False,
        reports_silence: bool = False,
    ) -> Frame:
        """Send a query and return the frame that answers it.

        While a frame is arriving in parts it waits for up to `receiving_s`. With
        `waits_in_silence` it also waits while the other side is silent. Raises
        `PeerUnreachableError` (not sent), `PeerLostError` (connection lost, or no
        answer within `timeout_s`), or with `reports_silence` `PeerSilentError`.
        """
        connection = self._get_connection()
        frame.query = next(self._numbers)
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[Frame] = loop.create_future()
        self._queries[frame.query] = answer
        if waits_in_silence:
            self._patient.add(frame.query)
        if reports_silence:
            self._reporting.add(frame.query)
        connection.send(frame)  # type: ignore[arg-type]
        began = loop.time()
        expiry = Expiry(
            expires_at=began + timeout_s,
            on_expired=partial(_time_out, answer, connection, began + receiving_s),
        )
        try:
            return await answer
        except TimeoutError as error:
            self._cancel_query(connection, frame.query)
            raise PeerLostError(f"{self.address}: no answer in time") from error
        except (asyncio.CancelledError, PeerLostError):
            # A stream that is only silent may be kept for other queries.
            self._cancel_query(connection, frame.query)
            raise
        finally:
            expiry.cancel()
            self._reporting.discard(frame.query)
            if self._queries.get(frame.query) is answer:
                self._end_query(frame.query)

    def _report_silence(self, number: int, message: str) -> None:
        """Tell the sender of a query of the silence, and wait on for its answer."""
        answer = self._queries[number]
        if answer.done():
            return
        kept: asyncio.Future[Frame] = asyncio.get_running_loop().create_future()
        kept.add_done_callback(partial(self._end_kept_query, self._connection, number))
        self._queries[number] = kept
        self._patient.add(number)
        answer.set_exception(PeerSilentError(message, answer=kept))

    def _end_kept_query(
        self,
        connection: Connection | None,
        number: int,
        answer: "asyncio.Future[Frame]",
    ) -> None:
        # Reading the exception marks it as retrieved.
        has_failed = answer.cancelled() or answer.exception() is not None
        if has_failed and connection is not None:
            self._cancel_query(connection, number)
        self._end_query(number)

    def _end_query(self, number: int) -> None:
        self._queries.pop(number, None)
        self._patient.discard(number)
        self._close_if_unused()

    def _cancel_call(self, connection: Connection, number: int) -> None:
        """End a call here and on the other side, since its answer is not awaited."""
        self._end_call(number)
        if connection.is_open:
            connection.send(Cancel(call=number))
        self._close_if_unused()

    def _cancel_query(self, connection: Connection, number: int) -> None:
        """Cancel a query on the other side, since its answer is no longer awaited."""
        if connection.is_open:
            connection.send(Cancel(call=number))

    def send(self, frame: Frame) -> None:
        """Send a frame that has no answer; drop it while not connected."""
        if self.is_up and self._connection is not None:
            self._connection.send(frame)

    def _get_connection(self) -> Connection:
        if self._connection is None or not self.is_up:
            raise PeerUnreachableError(str(self.address))
        return self._connection

    async def _send_remainder(
        self,
        connection: Connection,
        number: int,
        frame: Call,
        remainder: Body,
        pending: _PendingCall,
    ) -> None:
        """Send the remainder of the body; stop when the answer arrives first."""
        sender = BodySender(connection=connection, call=number, first=frame.body)
        pending.sender = sender
        sending = asyncio.ensure_future(sender.send(remainder))
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
            reason = "closed by the other side"
            try:
                await self._run_connection()
                delay = RECONNECT_MIN_S
            except (OSError, FrameError, TimeoutError) as error:
                log.debug("connection to %s failed: %s", self.address, error)
                reason = str(error) or type(error).__name__
            except Exception as error:
                log.error("stream to %s failed", self.address, exc_info=error)
                reason = type(error).__name__
            self._drop_connection(reason)
            if self._is_retired:
                return
            await asyncio.sleep(delay)
            delay = min(RECONNECT_MAX_S, 2 * delay)

    async def _run_connection(self) -> None:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            connection = await connect(self.address)
        try:
            remote = await connection.exchange_hello(hello=self._hello())
            self._connection = connection
            self._observer.on_up(remote=remote, peer=self)
            heartbeats = asyncio.create_task(self._supervise(connection, remote))
            try:
                await connection.run(
                    lambda frame: self._handle_frame(connection, remote, frame)
                )
            finally:
                heartbeats.cancel()
        finally:
            connection.close()

    async def _supervise(self, connection: Connection, remote: Hello) -> None:
        """Send heartbeats until they fail, which fails the connection."""
        try:
            await self._send_heartbeats(connection, remote)
        except Exception as error:
            connection.fail(error)

    async def _send_heartbeats(self, connection: Connection, remote: Hello) -> None:
        """Send heartbeats periodically.

        Raises `TimeoutError` once nothing has been received for `HEARTBEAT_TIMEOUT_S`,
        or for `SILENT_WORK_TIMEOUT_S` while calls or queries wait through the silence.
        """
        loop = asyncio.get_running_loop()
        connection.last_received_at = loop.time()
        while True:
            connection.send(self._observer.build_heartbeat())
            sent_at = loop.time()
            await asyncio.sleep(self._heartbeat_period_s)
            now = loop.time()
            if now - sent_at > HEARTBEAT_TIMEOUT_S:
                # This process was paused: the silence does not show a lost peer.
                connection.last_received_at = now
            silent_s = now - connection.last_received_at
            if silent_s > HEARTBEAT_TIMEOUT_S:
                self._handle_silence(silent_s)
            elif self._is_silent:
                self._is_silent = False
                self._observer.on_up(remote=remote, peer=self)

    def _handle_silence(self, silent_s: float) -> None:
        """Fail all that does not wait; raise `TimeoutError` if nothing is left."""
        lost = PeerLostError(f"{self.address}: nothing received for {silent_s:.1f} s")
        for number, pending in list(self._calls.items()):
            if number not in self._patient:
                self._fail_call(pending, lost)
                self._end_call(number)
                if self._connection is not None:
                    self._connection.send(Cancel(call=number))
        for number in list(self._reporting):
            self._report_silence(number, str(lost))
        for number, answer in self._queries.items():
            if number not in self._patient and not answer.done():
                answer.set_exception(lost)
        if not self._patient or silent_s > SILENT_WORK_TIMEOUT_S:
            raise TimeoutError(f"nothing received for {silent_s:.1f} s")
        if not self._is_silent:
            self._is_silent = True
            log.info(
                "%s is silent; %d requests wait for their answers",
                self.address,
                len(self._patient),
            )
            self._observer.on_down(peer=self)

    def _handle_frame(
        self, connection: Connection, remote: Hello, frame: Frame
    ) -> None:
        self._sign_of_life.record()
        match frame:
            case Reply():
                self._handle_reply(connection, frame)
            case Chunk():
                self._handle_chunk(frame)
            case Credit():
                self._handle_credit(frame)
            case (
                Verdict()
                | ForwardReply()
                | RoutesRecord()
                | HeldRecord()
                | BodyReserved()
            ):
                self._handle_query_reply(frame)
            case Records():
                self._observer.on_records(frame=frame)
            case Announcements():
                self._observer.on_announcements(frame=frame, peer=self)
            case Heartbeat() | Draining() if self._is_retired:
                # The member may have another process or address by now.
                pass
            case Heartbeat():
                self._observer.on_heartbeat(remote=remote, frame=frame)
            case SlowCall():
                self._observer.on_slow_call(remote=remote, frame=frame)
            case CallerRoutes():
                self._observer.on_caller_routes(frame=frame)
            case TopicRecords():
                self._observer.on_topic_records(remote=remote, frame=frame)
            case HoldRecord():
                held = self._observer.on_hold_record(frame=frame)
                if held is not None:
                    connection.send(held)
            case StateConfirmation() | AdmittedShares():
                self._observer.on_notice(remote=remote, frame=frame)
            case Draining():
                self._observer.on_draining(remote=remote)
            case _:
                raise FrameError(f"unexpected {type(frame).__name__} from the acceptor")

    def _handle_reply(self, connection: Connection, frame: Reply) -> None:
        pending = self._calls.get(frame.call)
        if pending is None or pending.reply.done():
            self.dropped_frames += 1
            return
        if frame.more:
            pending.receiver = BodyReceiver(
                connection=connection,
                call=frame.call,
                first=frame.body,
                on_discard=lambda: self._cancel_call(connection, frame.call),
            )
            pending.reply.set_result((frame, pending.receiver.body))
            return
        self._end_call(frame.call)
        body = Body.of(frame.body)
        if digest_bytes(frame.body) != frame.digest:
            body = Body()
            body.fail("the digest differs")
        pending.reply.set_result((frame, body))
        self._close_if_unused()

    def _handle_chunk(self, frame: Chunk) -> None:
        pending = self._calls.get(frame.call)
        if pending is None or pending.receiver is None:
            self.dropped_frames += 1
        elif pending.receiver.add_chunk(frame):
            self._end_call(frame.call)
            self._close_if_unused()

    def _end_call(self, number: int) -> None:
        self._calls.pop(number, None)
        self._patient.discard(number)

    def _handle_credit(self, frame: Credit) -> None:
        pending = self._calls.get(frame.call)
        if pending is not None and pending.sender is not None:
            pending.sender.window.add(size=frame.size)

    def _handle_query_reply(
        self, frame: Verdict | ForwardReply | RoutesRecord | HeldRecord | BodyReserved
    ) -> None:
        answer = self._queries.get(frame.query)
        if answer is None or answer.done():
            self.dropped_frames += 1
        else:
            answer.set_result(frame)

    def _close_if_unused(self) -> None:
        if self._is_retired and not self.in_progress:
            self.stop()

    def _drop_connection(self, reason: str) -> None:
        if self._connection is None:
            return
        if self.in_progress:
            log.info(
                "stream to %s ended with %d requests in progress: %s",
                self.address,
                self.in_progress,
                reason,
            )
        self._connection.close()
        self._connection = None
        # Those that wait find that there is no connection.
        self._sign_of_life.record()
        was_silent, self._is_silent = self._is_silent, False
        lost = PeerLostError(str(self.address))
        calls, self._calls = self._calls, {}
        for number, pending in calls.items():
            self._fail_call(pending, lost)
            self._patient.discard(number)
        for answer in self._queries.values():
            if not answer.done():
                answer.set_exception(lost)
        if not was_silent or self._is_retired:
            self._observer.on_down(peer=self)

    def _fail_call(self, pending: _PendingCall, lost: PeerLostError) -> None:
        if not pending.reply.done():
            pending.reply.set_exception(lost)
        elif pending.receiver is not None:
            pending.receiver.body.fail("the peer was lost")


def _time_out(
    answer: "asyncio.Future[Frame]", connection: Connection, receiving_until: float
) -> None:
    """End the wait for an answer, later if a frame is arriving until then."""
    if answer.done():
        return
    loop = asyncio.get_running_loop()
    now = loop.time()
    if now < receiving_until and connection.is_receiving(now=now):
        delay_s = min(RECEIVING_S, receiving_until - now)
        loop.call_later(delay_s, _time_out, answer, connection, receiving_until)
    else:
        answer.set_exception(TimeoutError())
