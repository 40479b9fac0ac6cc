"""The streams that other nodes open to this one, and the requests on them."""

import asyncio
from collections.abc import Callable
from functools import partial

from pimentoscale.errors import ErrorKind
from pimentoscale.forwarding.exchange import Attempt
from pimentoscale.forwarding.frames import make_forwarded, read_forward
from pimentoscale.forwarding.links import Links
from pimentoscale.forwarding.state import SidecarState
from pimentoscale.forwarding.target import LocalTarget
from pimentoscale.logs import get_logger
from pimentoscale.stream import (
    CallersRoutes,
    Cancel,
    Connection,
    DegradedRoute,
    FetchRoutes,
    Forward,
    Frame,
    FrameError,
    Heartbeat,
    Hello,
    Leaving,
    Listener,
    RoutesRecord,
)
from pimentoscale.stream.peer import HEARTBEAT_TIMEOUT_S

BACKLOG = 1024

log = get_logger("receiver")


class _Session:
    """One accepted stream and the requests in progress on it."""

    __slots__ = ("connection", "remote", "tasks")

    def __init__(self, *, connection: Connection, remote: Hello) -> None:
        self.connection = connection
        self.remote = remote
        self.tasks: dict[int, asyncio.Task[None]] = {}


class Receiver:
    """Accepts streams and runs their requests at the own target.

    Requests of a stream that is lost are given up: nobody waits for their answers.
    """

    def __init__(
        self, *, state: SidecarState, target: LocalTarget, links: Links
    ) -> None:
        self._state = state
        self._target = target
        self._links = links
        self._sessions: set[_Session] = set()
        self._listener = Listener(accept=self._accept)
        self.is_refusing = False
        self.list_callers_routes: Callable[[], list[str]] = list
        self.on_strained: Callable[[int], None] = lambda importance: None

    @property
    def in_progress(self) -> int:
        """Return the requests of other nodes that are in progress."""
        return sum(len(session.tasks) for session in self._sessions)

    async def start(self) -> None:
        """Listen for streams."""
        address = self._state.settings.stream
        await self._listener.start(address, backlog=BACKLOG)

    def announce_leaving(self) -> None:
        """Tell every connected node that this one is about to stop."""
        frame = Leaving(incarnation=self._state.incarnation)
        for session in self._sessions:
            session.connection.send(frame)

    def announce_heartbeat(self) -> None:
        """Tell every connected node at once what this one holds."""
        for session in self._sessions:
            session.connection.send(self._links.build_heartbeat())

    def close_silent(self, *, now: float) -> None:
        """Close the streams whose other side has been silent for too long."""
        for session in list(self._sessions):
            if now - session.connection.last_received_at > HEARTBEAT_TIMEOUT_S:
                log.info("stream of %s is silent; closed", session.remote.instance)
                session.connection.abort()

    def reset_silence(self, *, now: float) -> None:
        """Take the silence of the past as this process's own, after a pause."""
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
            session = _Session(connection=connection, remote=remote)
            self._sessions.add(session)
            routes = self.list_callers_routes()
            if routes:
                connection.send(CallersRoutes(routes=routes))
            await connection.run(partial(self._take, session))
        except FrameError as error:
            log.warning("stream closed: %s", error)
        except (OSError, TimeoutError) as error:
            log.info("stream lost: %s", error)
        finally:
            connection.close()
            if session is not None:
                self._sessions.discard(session)
                for task in list(session.tasks.values()):
                    task.cancel()

    def _take(self, session: _Session, frame: Frame) -> None:
        match frame:
            case Forward():
                run = self._serve(session, frame)
                session.tasks[frame.query] = asyncio.create_task(run)
            case Cancel():
                task = session.tasks.get(frame.call)
                if task is not None:
                    task.cancel()
            case Heartbeat():
                session.connection.send(self._links.build_heartbeat())
                self._links.on_heartbeat(remote=session.remote, frame=frame)
            case CallersRoutes():
                self._links.on_callers_routes(frame=frame)
            case DegradedRoute():
                self.on_strained(frame.importance)
            case FetchRoutes():
                session.connection.send(
                    RoutesRecord(query=frame.query, data=self._state.record)
                )
            case _:
                raise FrameError(f"{type(frame).__name__} is not for this side")

    async def _serve(self, session: _Session, frame: Forward) -> None:
        try:
            now = asyncio.get_running_loop().time()
            if self.is_refusing:
                attempt = Attempt.make_not_run(ErrorKind.DRAINING, detail="node stops")
            else:
                attempt = await self._target.run(read_forward(frame, now=now))
            if session.connection.is_open:
                session.connection.send(make_forwarded(frame.query, attempt))
        finally:
            session.tasks.pop(frame.query, None)
