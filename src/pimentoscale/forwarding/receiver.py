"""Accepts the streams that other nodes open, and runs the requests on them."""

import asyncio
import itertools
from collections.abc import Callable
from functools import partial
from typing import Any

from pimentoscale.errors import ErrorKind
from pimentoscale.forwarding.exchange import Attempt, ForwardRequest
from pimentoscale.forwarding.frames import make_forward_reply, read_forward
from pimentoscale.forwarding.links import Links
from pimentoscale.forwarding.reservations import BodyReservations
from pimentoscale.forwarding.state import SidecarState
from pimentoscale.forwarding.target import LocalTarget
from pimentoscale.logs import get_logger
from pimentoscale.memory import MemoryAccount
from pimentoscale.stream import (
    AskConfirmation,
    BodyReserved,
    CallerRoutes,
    Cancel,
    CheckStore,
    Connection,
    DegradedRoute,
    Draining,
    FetchRoutes,
    FollowTopics,
    Forward,
    Frame,
    FrameError,
    Heartbeat,
    HeldRecord,
    Hello,
    HoldRecord,
    Listener,
    ReportUsage,
    ReserveBody,
    RoutesRecord,
    ZoneDemand,
    finish_connections,
)
from pimentoscale.stream.silence import is_timed_out

BACKLOG = 1024

log = get_logger("receiver")


class _Session:
    """One accepted stream and the tasks of its requests, by query number."""

    __slots__ = ("connection", "remote", "reservations", "tasks")

    def __init__(
        self, *, connection: Connection, remote: Hello, reservations: BodyReservations
    ) -> None:
        self.connection = connection
        self.remote = remote
        self.reservations = reservations
        self.tasks: dict[int, asyncio.Task[None]] = {}


def _get_last_received(session: _Session) -> float:
    return session.connection.last_received_at


class Receiver:
    """Accepts streams and runs their requests at the local target.

    When a stream is lost its requests are cancelled: no sender waits for them any more.
    While `is_refusing` is set, all requests are refused, since the node is stopping;
    those already taken are answered.
    """

    def __init__(
        self,
        *,
        state: SidecarState,
        target: LocalTarget,
        links: Links,
        account: MemoryAccount,
    ) -> None:
        self._state = state
        self._account = account
        self._target = target
        self._links = links
        self._sessions: set[_Session] = set()
        self._listener = Listener(accept=self._accept)
        self.is_refusing = False
        self.list_caller_routes: Callable[[], list[str]] = list
        self.on_degraded_route: Callable[[int], None] = lambda importance: None
        self.on_follow: Callable[[Connection, FollowTopics], None] | None = None
        self.on_follower_lost: Callable[[Connection], None] | None = None
        self.on_hold: Callable[[HoldRecord], HeldRecord] | None = None
        self.on_notice: Callable[[Hello, HeldRecord], None] | None = None
        self.on_check_store: Callable[[Hello], None] | None = None
        # Handlers of further frames by their type.
        self.notice_handlers: dict[
            type[Frame], Callable[[Connection, Hello, Any], None]
        ] = {}
        self._numbers = itertools.count(1)
        self._questions: dict[int, asyncio.Future[HeldRecord]] = {}

    @property
    def in_progress(self) -> int:
        """Return the requests of other nodes that are in progress."""
        return sum(len(session.tasks) for session in self._sessions)

    async def finish_streams(self, *, ends_at: float) -> None:
        """Take no more streams, and let other nodes receive all that was sent."""
        self._listener.close()
        await finish_connections(
            lambda: [session.connection for session in self._sessions],
            ends_at=ends_at,
        )

    async def start(self) -> None:
        """Listen for streams."""
        address = self._state.settings.stream
        await self._listener.start(address, backlog=BACKLOG)

    def list_neighbours(self) -> list[str]:
        """Return the nodes of the own zone that have a stream to this one."""
        return [
            session.remote.instance
            for session in self._sessions
            if session.remote.zone == self._state.settings.zone
            and session.connection.is_open
        ]

    async def ask(
        self, name: str, frame: HoldRecord, *, expires_at: float
    ) -> HeldRecord | None:
        """Ask a node on a stream that it opened; return None without an answer."""
        open_sessions = (item for item in self._sessions if item.connection.is_open)
        found = [item for item in open_sessions if item.remote.instance == name]
        if not found:
            return None
        answer: asyncio.Future[HeldRecord] = asyncio.get_running_loop().create_future()
        frame.query = next(self._numbers)
        self._questions[frame.query] = answer
        # The newest stream, if there are several.
        max(found, key=_get_last_received).connection.send(frame)
        try:
            async with asyncio.timeout_at(expires_at):
                return await answer
        except TimeoutError:
            return None
        finally:
            del self._questions[frame.query]

    def send_draining(self) -> None:
        """Notify all connected nodes that this one is about to stop."""
        frame = Draining(incarnation=self._state.incarnation)
        for session in self._sessions:
            session.connection.send(frame)

    def send_heartbeat(self) -> None:
        """Send all connected nodes a heartbeat now, as after a change of version."""
        for session in self._sessions:
            session.connection.send(self._links.build_heartbeat())

    def close_timed_out(self, *, now: float) -> None:
        """Close the streams that have been silent for too long."""
        for session in list(self._sessions):
            is_working = bool(session.tasks)
            if is_timed_out(session.connection, is_working=is_working, now=now):
                log.info(
                    "stream from %s closed: no frame received within the time-out",
                    session.remote.instance,
                )
                session.connection.abort()

    def reset_timeouts(self, *, now: float) -> None:
        """Restart the time-outs of all streams, as after a pause of this process."""
        for session in self._sessions:
            session.connection.last_received_at = now

    def close(self) -> None:
        """Close all streams."""
        self._listener.close()
        for session in list(self._sessions):
            session.connection.close()

    async def _accept(self, connection: Connection) -> None:
        session: _Session | None = None
        try:
            remote = await connection.exchange_hello(hello=self._state.make_hello())
            session = _Session(
                connection=connection,
                remote=remote,
                reservations=BodyReservations(account=self._account),
            )
            self._sessions.add(session)
            routes = self.list_caller_routes()
            if routes:
                connection.send(CallerRoutes(routes=routes))
            await connection.run(partial(self._handle_frame, session))
        except FrameError as error:
            log.warning("stream closed after a protocol error: %s", error)
        except (OSError, TimeoutError) as error:
            log.info("stream lost: %s", error)
        finally:
            connection.close()
            if session is not None:
                self._sessions.discard(session)
                session.reservations.close()
                if self.on_follower_lost is not None:
                    self.on_follower_lost(connection)
                if session.tasks:
                    log.info(
                        "stream from %s ended with %d requests in progress: cancelled",
                        session.remote.instance,
                        len(session.tasks),
                    )
                for task in list(session.tasks.values()):
                    task.cancel()

    def _handle_frame(self, session: _Session, frame: Frame) -> None:
        match frame:
            case Forward():
                running = self._run_request(session, frame)
                session.tasks[frame.query] = asyncio.create_task(running)
            case ReserveBody():
                granted = session.reservations.reserve(frame.size)
                session.connection.send(
                    BodyReserved(query=frame.query, granted=granted)
                )
            case Cancel():
                task = session.tasks.get(frame.call)
                if task is not None:
                    task.cancel()
            case Heartbeat():
                session.connection.send(self._links.build_heartbeat())
                self._links.on_heartbeat(remote=session.remote, frame=frame)
            case CallerRoutes():
                self._links.on_caller_routes(frame=frame)
            case DegradedRoute():
                self.on_degraded_route(frame.importance)
            case FollowTopics():
                if self.on_follow is not None:
                    self.on_follow(session.connection, frame)
            case HoldRecord():
                if self.on_hold is not None:
                    session.connection.send(self.on_hold(frame))
            case HeldRecord() if frame.query:
                question = self._questions.get(frame.query)
                if question is not None and not question.done():
                    question.set_result(frame)
            case HeldRecord():
                if self.on_notice is not None:
                    self.on_notice(session.remote, frame)
            case CheckStore():
                if self.on_check_store is not None:
                    self.on_check_store(session.remote)
            case FetchRoutes():
                session.connection.send(
                    RoutesRecord(query=frame.query, data=self._state.record)
                )
            case AskConfirmation() | ReportUsage() | ZoneDemand():
                handle = self.notice_handlers.get(type(frame))
                if handle is not None:
                    handle(session.connection, session.remote, frame)
            case _:
                raise FrameError(
                    f"unexpected {type(frame).__name__} on an accepted connection"
                )

    async def _run_request(self, session: _Session, frame: Forward) -> None:
        holding = session.reservations.take(len(frame.body))
        try:
            now = asyncio.get_running_loop().time()
            if not self._may_take(frame, now=now):
                attempt = Attempt.make_not_run(ErrorKind.DRAINING, detail="node stops")
            else:
                attempt = await self._run_taken(read_forward(frame, now=now))
            if session.connection.is_open:
                session.connection.send(make_forward_reply(frame.query, attempt))
                session.connection.answered_at = asyncio.get_running_loop().time()
        finally:
            session.tasks.pop(frame.query, None)
            if holding is not None:
                self._account.release(holding)

    def _may_take(self, frame: Forward, *, now: float) -> bool:
        """Return whether to take a request, which may come during a stop."""
        shutdown = self._state.shutdown
        if not shutdown.has_begun:
            return True
        expected_s = self._target.estimate_run_s(frame.route, now=now)
        return not self.is_refusing and shutdown.may_take(
            expected_s=expected_s, now=now
        )

    async def _run_taken(self, request: ForwardRequest) -> Attempt:
        """Run a request that was taken, until its end or that of the node."""
        try:
            async with self._state.time_limits.limit():
                return await self._target.run(request)
        except TimeoutError:
            return Attempt.make_interrupted(request, detail="the target's node stops")
