"""One sidecar: its parts, and how it starts and stops."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from result import Result

from pimentoscale.forwarding.entry import Entry
from pimentoscale.forwarding.exchange import Messages
from pimentoscale.forwarding.links import Links
from pimentoscale.forwarding.receiver import Receiver
from pimentoscale.forwarding.registry import MemberRegistry
from pimentoscale.forwarding.routes import RouteKeeper
from pimentoscale.forwarding.settings import SidecarSettings, merge_settings
from pimentoscale.forwarding.state import SidecarState
from pimentoscale.forwarding.target import LocalTarget
from pimentoscale.forwarding.views import NodeViews
from pimentoscale.http import HttpLimits, HttpRequest, HttpResponse, HttpServer
from pimentoscale.logs import get_logger
from pimentoscale.metrics import Gauge
from pimentoscale.routes import RouteTable
from pimentoscale.store import RecordStore, TopicWatcher
from pimentoscale.stream.peer import HEARTBEAT_TIMEOUT_S
from pimentoscale.suspension import SuspensionDetector, read_boot_time

TICK_S = 0.25
INCARNATION_BITS = 62
# Records of members that come close together are read with one call.
MEMBERS_PAUSE_S = 0.5
# Callers are moved away after two questions, a second apart, without a yes.
CALLERS_MOVE_S = 2.6
# From here on callers that were not moved away are refused: what they ask for might not
# end within the grace.
REFUSE_CALLERS_S = 3.0
# From here on each answer closes its connection.
CLOSE_GRADUALLY_S = 2.2
# Until here the target beside the node is used as before, since the way to others may
# lead to another zone; most requests end within the time that is left then.
ANNOUNCE_S = 1.2
# From here on the work of other nodes is refused: nodes without a stream to this one
# have not heard that it stops.
REFUSE_OTHERS_S = 1.6
# Left of the grace for closing down.
STOP_MARGIN_S = 0.45
STOP_POLL_S = 0.05

log = get_logger("sidecar")


@dataclass(slots=True, kw_only=True, frozen=True)
class StoreTopics:
    """Where routes and members stand in the store, and how routes are read."""

    routes: str
    routes_key: bytes
    members: str
    decode_routes: Callable[[bytes], Result[RouteTable, str]]


class Sidecar:
    """The parts of one node process beside an upstream, wired together."""

    def __init__(
        self,
        *,
        settings: SidecarSettings,
        messages: Messages,
        store: RecordStore,
        topics: StoreTopics,
        announcements: Callable[["LocalTarget", HttpRequest, float], HttpResponse],
        source: random.Random,
        now: float,
    ) -> None:
        self.state = SidecarState(
            settings=settings, incarnation=source.getrandbits(INCARNATION_BITS)
        )
        self._read_announcement = announcements
        self._store = store
        self.target = LocalTarget(settings=settings, messages=messages, now=now)
        self.links = Links(state=self.state)
        self.views = NodeViews(own=settings.instance)
        self.receiver = Receiver(state=self.state, target=self.target, links=self.links)
        self.entry = Entry(
            state=self.state,
            messages=messages,
            target=self.target,
            links=self.links,
            views=self.views,
            source=source,
            now=now,
        )
        self.routes = RouteKeeper(
            state=self.state,
            key=topics.routes_key,
            decode=topics.decode_routes,
            links=self.links,
        )
        self.registry = MemberRegistry(
            state=self.state,
            store=store,
            topic=topics.members,
            target=self.target,
            links=self.links,
            views=self.views,
            source=source,
        )
        self._outgoing = HttpServer(handler=self.entry.handle, limits=HttpLimits())
        self._readiness = HttpServer(handler=self._tell_ready, limits=HttpLimits())
        self._announcements = HttpServer(handler=self._announce, limits=HttpLimits())
        self._metrics = HttpServer(handler=self._render, limits=HttpLimits())
        self._watchers = [
            TopicWatcher(
                store=store,
                topic=topics.routes,
                on_record=self.routes.take_record,
                pause_s=0.0,
                rng=source,
            ),
            TopicWatcher(
                store=store,
                topic=topics.members,
                on_record=self.registry.take_record,
                pause_s=MEMBERS_PAUSE_S,
                rng=source,
            ),
        ]
        self._suspension = SuspensionDetector(now=now, boot_time=read_boot_time())
        self._last_tick = now
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopped = asyncio.Event()
        self.routes.on_change = self._follow_routes
        self.links.on_version = self.routes.note_peer_version
        self.links.on_draining = self._note_stopping
        self._outgoing.on_closed = self.entry.origins.forget
        self.target.find_rank = self.entry.find_rank
        self.target.count_calls = self.entry.origins.count_inner
        self.entry.origins.on_found = self._tell_callers_route
        self.registry.on_callers_route = self._add_callers_route
        self.links.on_routes_found = self.entry.origins.add_callers_routes
        self.receiver.list_callers_routes = self.entry.origins.list_callers_routes
        self.receiver.on_strained = self._make_room
        self._strained: int | None = None

    async def start(self) -> None:
        """Listen, and start the tasks that keep the node informed."""
        settings = self.state.settings
        await self.receiver.start()
        for server, address in (
            (self._outgoing, settings.outgoing),
            (self._readiness, settings.readiness),
            (self._announcements, settings.announcements),
            (self._metrics, settings.metrics),
        ):
            await server.start(host=address.host, port=address.port)
        for watcher in self._watchers:
            self._spawn(watcher.run())
        self._spawn(self.registry.publish())
        self._spawn(self._tick())
        log.info(
            "started: instance=%s zone=%s incarnation=%d service=%s",
            settings.instance,
            settings.zone,
            self.state.incarnation,
            settings.upstream_service,
        )

    def stop(self) -> None:
        """Take no new callers, finish what is in progress, then end."""
        if self.state.is_stopping:
            return
        log.info("stopping: in_progress=%d", self.entry.in_progress)
        self.state.is_stopping = True
        self._spawn(self._stop_when_idle())

    def reload(self, settings: SidecarSettings) -> None:
        """Take over what may change while the node runs."""
        change = merge_settings(self.state.settings, settings)
        self.state.settings = change.settings
        self._store.use_address(change.settings.store)
        self.entry.follow_settings()
        log.info(
            "settings read again: changed=%s",
            {name: getattr(settings, name) for name in change.changed},
        )
        if change.ignored:
            log.warning("settings that take a restart: %s", ", ".join(change.ignored))

    async def wait_stopped(self) -> None:
        """Wait until the node has ended its work."""
        await self._stopped.wait()

    def close(self) -> None:
        """Close everything."""
        for task in self._tasks:
            task.cancel()
        for server in (
            self._outgoing,
            self._readiness,
            self._announcements,
            self._metrics,
        ):
            server.close()
        self.links.close()
        self.receiver.close()
        self.target.close()

    def _tell_callers_route(self, route: str) -> None:
        log.info("route %s is used by callers", route)
        self.links.send_callers_routes([route])
        self._spawn(self.registry.store_route(route))

    def _add_callers_route(self, route: str) -> None:
        self.entry.origins.add_callers_routes([route])

    def _make_room(self, importance: int) -> None:
        self.target.make_room(importance, now=asyncio.get_running_loop().time())

    def _tell_strained(self, now: float) -> None:
        """Tell the other nodes while a callers' route fails or is late here."""
        strained = self.target.find_strained(now=now)
        if strained is not None:
            self.target.make_room(strained, now=now)
            self.links.send_strained(strained)
        if strained != self._strained:
            log.info("strained importance=%s before=%s", strained, self._strained)
            self._strained = strained

    async def _tell_ready(self, request: HttpRequest) -> HttpResponse:
        is_ready = self.state.table is not None and not self.state.is_stopping
        return HttpResponse(status=200 if is_ready else 503)

    async def _announce(self, request: HttpRequest) -> HttpResponse:
        now = asyncio.get_running_loop().time()
        return self._read_announcement(self.target, request, now)

    async def _render(self, request: HttpRequest) -> HttpResponse:
        metrics = self.state.metrics
        values = {
            "routes_version": self.state.version,
            "requests_in_progress": self.entry.in_progress,
            "target_in_progress": self.target.in_progress,
            "streams_up": self.links.count_up(),
            "members": len(self.state.members),
            "store_answer_age_seconds": self._find_store_age_s(),
        }
        for name, value in values.items():
            metrics.set_gauge(Gauge(name=name, value=float(value)))
        headers = [(b"content-type", b"text/plain; version=0.0.4")]
        return HttpResponse(status=200, headers=headers, body=metrics.render())

    def _find_store_age_s(self) -> float:
        """Return how long ago the store last answered; -1 if it never has."""
        heard = [
            item.last_answer_at
            for item in self._watchers
            if item.last_answer_at is not None
        ]
        if not heard:
            return -1.0
        return asyncio.get_running_loop().time() - max(heard)

    def _follow_routes(self, table: RouteTable) -> None:
        limits = self._outgoing.limits
        limits.header_bytes = table.limits.header_bytes
        limits.body_bytes = table.limits.body_bytes
        limits.header_timeout_s = table.limits.header_timeout_s
        limits.idle_timeout_s = table.limits.idle_timeout_s
        registered = self.target.registration.current
        name = (
            registered.service if registered else self.state.settings.upstream_service
        )
        service = table.services.get(name)
        if service is not None:
            self.target.set_connection_limit(service.max_connections)
        self.receiver.announce_heartbeat()

    def _note_stopping(self, instance: str, is_stopping: bool) -> None:
        view = self.views.find(instance)
        if view is not None and view.is_stopping != is_stopping:
            view.is_stopping = is_stopping
            log.info("%s stopping=%s", instance, is_stopping)

    async def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(TICK_S)
            now = loop.time()
            suspended_s = self._suspension.check(now=now, boot_time=read_boot_time())
            late_s = now - self._last_tick - TICK_S
            self._last_tick = now
            if suspended_s or late_s > HEARTBEAT_TIMEOUT_S / 2:
                log.warning("paused: suspended_s=%.2f late_s=%.2f", suspended_s, late_s)
                self.receiver.reset_silence(now=now)
            self.receiver.close_silent(now=now)
            self.links.close_idle(now=now)
            self.target.close_idle(now=now)
            self._tell_strained(now)

    async def _stop_when_idle(self) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        is_announced = False
        while True:
            elapsed_s = loop.time() - began
            if elapsed_s >= ANNOUNCE_S and not is_announced:
                is_announced = True
                self.state.is_leaving = True
                self.receiver.announce_leaving()
                self._note_stopping(self.state.settings.instance, True)
            if elapsed_s >= REFUSE_OTHERS_S:
                self.receiver.is_refusing = True
            if elapsed_s >= REFUSE_CALLERS_S:
                self.state.refuses_callers = True
            if elapsed_s >= CLOSE_GRADUALLY_S:
                self._outgoing.close_after_response()
            busy = self.entry.in_progress + self.target.in_progress
            busy += self._outgoing.busy_connections
            if elapsed_s >= CALLERS_MOVE_S and busy == 0:
                break
            if elapsed_s >= self.state.settings.stop_grace_s - STOP_MARGIN_S:
                log.warning("stopped with requests in progress: %d", busy)
                break
            await asyncio.sleep(STOP_POLL_S)
        self._outgoing.close_idle()
        log.info("stopped after %.2f s", loop.time() - began)
        self._stopped.set()

    def _spawn(self, run: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(run)
        self._tasks.add(task)
        task.add_done_callback(self._end_task)

    def _end_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("a task failed", exc_info=task.exception())


__all__ = ["Sidecar", "StoreTopics"]
