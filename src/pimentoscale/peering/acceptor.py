"""The side that accepts streams and serves the calls of other nodes."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from pimentoscale.call import Answer, Body, BodyTruncatedError
from pimentoscale.call.body import CHUNK_BYTES
from pimentoscale.dispatch.frames import (
    make_reply,
    read_context,
    read_request,
)
from pimentoscale.dispatch.runner import UpstreamRunner
from pimentoscale.dispatch.stopping import refuse_for_stop, run_until_stop
from pimentoscale.dispatch.submission import Submissions
from pimentoscale.dispatch.witnesses import WitnessService
from pimentoscale.errors import CallError, ErrorKind
from pimentoscale.logs import get_logger
from pimentoscale.node.pause import PauseDetector
from pimentoscale.node.state import NodeState
from pimentoscale.peering.peers import PeerPool
from pimentoscale.stream import (
    Announcements,
    Call,
    Cancel,
    Chunk,
    Connection,
    Credit,
    Draining,
    FetchRecords,
    Frame,
    FrameError,
    Heartbeat,
    Hello,
    Listener,
    RecordIntent,
    ResolveTicket,
    SlowCall,
    Verdict,
    finish_connections,
)
from pimentoscale.stream.silence import is_timed_out
from pimentoscale.stream.transfer import BodyReceiver, BodySender
from pimentoscale.ticket import WitnessVerdict

BACKLOG = 1024

log = get_logger("acceptor")


@dataclass(slots=True, kw_only=True)
class _ActiveCall:
    """One call in progress on an accepted connection."""

    receiver: BodyReceiver | None = None
    sender: BodySender | None = None
    task: "asyncio.Task[None] | None" = None


class _Session:
    """One accepted connection and its calls in progress."""

    __slots__ = ("active_calls", "connection", "remote")

    def __init__(self, *, connection: Connection, remote: Hello) -> None:
        self.connection = connection
        self.remote = remote
        self.active_calls: dict[int, _ActiveCall] = {}


class Acceptor:
    """Accepts the streams of other nodes; each connection has its own task.

    `bad_streams` counts the streams closed after a protocol error.
    """

    def __init__(
        self,
        *,
        state: NodeState,
        peers: PeerPool,
        runner: UpstreamRunner,
        submissions: Submissions,
        witness_service: WitnessService,
        pauses: PauseDetector,
    ) -> None:
        self._state = state
        self._peers = peers
        self._runner = runner
        self._submissions = submissions
        self._witness_service = witness_service
        self._pauses = pauses
        self._sessions: set[_Session] = set()
        self._listener = Listener(accept=self._accept)
        self.on_fetch: Callable[[Connection, Hello, FetchRecords], None] | None = None
        self.on_announcements: Callable[[Announcements, Connection], None] | None = None
        self.on_heartbeat: Callable[[Connection, Hello, Heartbeat], None] | None = None
        self.on_closed: Callable[[Connection], None] | None = None
        self.bad_streams = 0

    @property
    def in_progress(self) -> int:
        """Return the number of calls in progress."""
        return sum(len(session.active_calls) for session in self._sessions)

    async def finish_streams(self, *, ends_at: float) -> None:
        """Take no more streams, and let other nodes receive all that was sent."""
        self._listener.close()
        await finish_connections(
            lambda: [session.connection for session in self._sessions],
            ends_at=ends_at,
        )

    async def start(self) -> None:
        """Start to listen for streams."""
        address = self._state.settings.stream
        await self._listener.start(address, backlog=BACKLOG)

    def announce_draining(self) -> None:
        """Notify every connected node that this node refuses new work."""
        frame = Draining(incarnation=self._state.identity.incarnation)
        for session in self._sessions:
            session.connection.send(frame)

    def announce_slow_call(self, kind: str, late_ms: float) -> None:
        """Notify every connected node that this node's upstream answers late."""
        frame = SlowCall(kind=kind, late_ms=int(late_ms))
        for session in self._sessions:
            session.connection.send(frame)

    def close_silent(self, *, now: float, was_paused: bool) -> None:
        """Close the streams that have been silent for too long.

        After a pause of this process the time-out starts again, since the pause itself
        kept it from reading what was sent.
        """
        for session in list(self._sessions):
            connection = session.connection
            is_working = bool(session.active_calls)
            if was_paused:
                connection.last_received_at = now
            elif is_timed_out(connection, is_working=is_working, now=now):
                log.info(
                    "nothing received from %s in time; stream closed",
                    session.remote.instance,
                )
                connection.abort()

    def close(self) -> None:
        """Close all streams."""
        self._listener.close()
        for session in self._sessions:
            session.connection.close()

    async def _accept(self, connection: Connection) -> None:
        session: _Session | None = None
        try:
            remote = await connection.exchange_hello(hello=self._peers.build_hello())
            session = _Session(connection=connection, remote=remote)
            self._sessions.add(session)
            await connection.run(partial(self._handle_frame, session))
        except FrameError as error:
            self.bad_streams += 1
            log.warning("stream closed after a protocol error: %s", error)
        except (OSError, TimeoutError) as error:
            log.debug("connection lost: %s", error)
        finally:
            connection.close()
            if session is not None:
                self._end_session(session)

    def _end_session(self, session: _Session) -> None:
        self._sessions.discard(session)
        if self.on_closed is not None:
            self.on_closed(session.connection)
        for active_call in session.active_calls.values():
            if active_call.task is not None:
                active_call.task.cancel()

    def _handle_frame(self, session: _Session, frame: Frame) -> None:
        match frame:
            case Call():
                self._handle_call(session, frame)
            case Chunk() | Credit() | Cancel():
                self._handle_follow_up(session, frame)
            case RecordIntent():
                verdict = self._witness_service.record_intent(frame.ticket)
                _send_verdict(session, frame.query, verdict)
            case ResolveTicket():
                verdict = self._witness_service.resolve_ticket(
                    frame.ticket, frame.replacement
                )
                _send_verdict(session, frame.query, verdict)
            case Heartbeat():
                self._handle_heartbeat(session, frame)
            case FetchRecords() if self.on_fetch is not None:
                self.on_fetch(session.connection, session.remote, frame)
            case Announcements() if self.on_announcements is not None:
                self.on_announcements(frame, session.connection)
            case _:
                raise FrameError(
                    f"unexpected {type(frame).__name__} on an accepted connection"
                )

    def _handle_heartbeat(self, session: _Session, frame: Heartbeat) -> None:
        self._state.observe(frame.clock)
        session.connection.send(self._peers.build_heartbeat())
        if self.on_heartbeat is not None:
            self.on_heartbeat(session.connection, session.remote, frame)

    def _handle_follow_up(
        self, session: _Session, frame: Chunk | Credit | Cancel
    ) -> None:
        """Handle a later frame of a call; ignore it if the call has ended."""
        active_call = session.active_calls.get(frame.call)
        if active_call is None:
            return
        if isinstance(frame, Cancel):
            if active_call.task is not None:
                active_call.task.cancel()
        elif isinstance(frame, Credit):
            if active_call.sender is not None:
                active_call.sender.window.add(size=frame.size)
        elif active_call.receiver is not None:
            active_call.receiver.add_chunk(frame)

    def _handle_call(self, session: _Session, frame: Call) -> None:
        if frame.call in session.active_calls:
            raise FrameError(f"call {frame.call} is already in progress")
        self._state.observe(frame.clock)
        active_call = _ActiveCall()
        body = Body.of(frame.body)
        if frame.more:
            active_call.receiver = BodyReceiver(
                connection=session.connection, call=frame.call, first=frame.body
            )
            body = active_call.receiver.body
        session.active_calls[frame.call] = active_call
        run = self._serve_call(session, frame, active_call, body)
        active_call.task = asyncio.create_task(run)

    async def _serve_call(
        self, session: _Session, frame: Call, active_call: _ActiveCall, body: Body
    ) -> None:
        connection = session.connection
        try:
            answer, spent = await self._run(frame, body)
            now = asyncio.get_running_loop().time()
            reply = make_reply(
                call=frame.call,
                answer=answer,
                retries_spent=spent,
                load=self._runner.report_load(now=now),
                clock=self._state.tick(),
            )
            if not reply.more:
                connection.send(reply)
                return
            sender = BodySender(
                connection=connection, call=frame.call, first=reply.body
            )
            active_call.sender = sender
            connection.send(reply)
            try:
                await sender.send(answer.body)
            finally:
                answer.body.discard()
        except BodyTruncatedError as error:
            # An empty digest marks the body as truncated for the other side.
            connection.send(Chunk(call=frame.call, data=b"", last=True, digest=b""))
            log.warning("answer body truncated: %s", error, request=frame.request)
        finally:
            session.active_calls.pop(frame.call, None)
            connection.answered_at = asyncio.get_running_loop().time()

    async def _run(self, frame: Call, body: Body) -> tuple[Answer, int]:
        now = asyncio.get_running_loop().time()
        if self._pauses.is_stale(now=now):
            await self._pauses.wait_until_current()
        kind = self._state.find_kind(frame.kind)
        if kind is None:
            error = CallError(kind=ErrorKind.UNKNOWN_KIND, detail=frame.kind)
            return Answer.of_error(error), 0
        shutdown = self._state.shutdown
        if not shutdown.may_take(expected_s=0.0, now=now):
            return refuse_for_stop(has_ticket=frame.submission), 0
        context = read_context(frame, now=now)
        context.deadline = shutdown.limit_deadline(context.deadline)
        request = read_request(frame, body)
        if frame.submission:
            run = self._submissions.submit(frame.ticket, context, kind, request)
        else:
            run = self._runner.run(context, kind, request)
        answer = await run_until_stop(
            run, state=self._state, context=context, kind=kind
        )
        return answer, context.budget.close()


def _send_verdict(session: _Session, query: int, verdict: WitnessVerdict) -> None:
    session.connection.send(
        Verdict(
            query=query,
            verdict=verdict.status.value,
            replacement=verdict.replacement,
        )
    )


__all__ = ["CHUNK_BYTES", "Acceptor"]
