"""Assembles a sidecar from its parts, starts it and stops it."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from result import Result

from pimentoscale.forwarding.confirmations import Confirmations
from pimentoscale.forwarding.copies import RecordCopies, decode_held
from pimentoscale.forwarding.exchange import Messages
from pimentoscale.forwarding.explanation import Explainer
from pimentoscale.forwarding.forwarder import Forwarder
from pimentoscale.forwarding.links import Links
from pimentoscale.forwarding.operator_interface import OperatorInterface
from pimentoscale.forwarding.quotas import QuotaExchange
from pimentoscale.forwarding.receiver import Receiver
from pimentoscale.forwarding.recovery import Recovery
from pimentoscale.forwarding.registry import MemberRegistry
from pimentoscale.forwarding.relay import RecordRelay
from pimentoscale.forwarding.restoration import Restoration
from pimentoscale.forwarding.routes import RouteUpdater
from pimentoscale.forwarding.settings import SidecarSettings, merge_settings
from pimentoscale.forwarding.state import SidecarState
from pimentoscale.forwarding.stopping import GracefulStop
from pimentoscale.forwarding.target import LocalTarget
from pimentoscale.forwarding.views import NodeViews
from pimentoscale.http import (
    MAX_CONNECTIONS,
    Handler,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
)
from pimentoscale.logs import get_logger
from pimentoscale.memory import make_account
from pimentoscale.routes import RouteTable
from pimentoscale.store import Position, RecordStore, TopicReplica, TopicWatcher
from pimentoscale.stream import (
    AdmittedShares,
    AskConfirmation,
    Connection,
    HeldRecord,
    Hello,
    ReportUsage,
    StateConfirmation,
    TopicRecords,
    ZoneDemand,
)
from pimentoscale.stream.silence import HEARTBEAT_TIMEOUT_S
from pimentoscale.suspension import SuspensionDetector, read_boot_time

# Period of the checks for time-outs and of the announcements of a degraded route.
TICK_S = 0.25
INCARNATION_BITS = 62
# Least time between two reads of members, so that records written close together are
# read with one call.
MEMBERS_PAUSE_S = 1.0
# How long a read of routes waits for a new record. Of the two readers of a zone, whose
# waits end evenly apart, one notices within half of it that the store does not answer,
# which must leave time for a read by another node within the bound of two seconds on
# the use of a version.
ROUTES_WAIT_MS = 2000
# The same for members, whose readers are known to be in touch by their reads of routes.
MEMBERS_WAIT_MS = 25_000

# Requests of the platform to a node: the size of a body, and the connections.
SMALL_BODY_BYTES = 128 * 1024
SMALL_CONNECTIONS = 64
# Descriptors that are not for sockets, and the part of the others that is for callers;
# the rest is for other nodes and the target.
RESERVED_DESCRIPTORS = 200
CALLERS_SHARE = 0.5

log = get_logger("sidecar")


def get_caller_connections(file_descriptors: int) -> int:
    """Return how many connections of callers a process of so many descriptors takes."""
    if not file_descriptors:
        return MAX_CONNECTIONS
    return max(1, int(CALLERS_SHARE * (file_descriptors - RESERVED_DESCRIPTORS)))


@dataclass(slots=True, kw_only=True, frozen=True)
class StoreTopics:
    """Topics of the store that hold routes and members, and the decoder of routes."""

    routes: str
    routes_key: bytes
    members: str
    decode_routes: Callable[[bytes], Result[RouteTable, str]]


class Sidecar:
    """A node process beside an upstream, assembled from its parts."""

    def __init__(
        self,
        *,
        settings: SidecarSettings,
        messages: Messages,
        store: RecordStore,
        topics: StoreTopics,
        handle_announcement: Callable[
            ["LocalTarget", HttpRequest, float, Callable[[], Awaitable[bool]]],
            Awaitable[HttpResponse],
        ],
        rng: random.Random,
        now: float,
    ) -> None:
        self.state = SidecarState(
            settings=settings, incarnation=rng.getrandbits(INCARNATION_BITS)
        )
        self.state.access.revocation_s = settings.revocation_s
        self._handle_announcement = handle_announcement
        self._store = store
        self.account = make_account(settings.memory_mb)
        self.account.on_evicted = self._count_evicted
        self.target = LocalTarget(
            settings=settings, messages=messages, now=now, account=self.account
        )
        self.target.is_open = False
        self.links = Links(state=self.state)
        self.views = NodeViews(own_instance=settings.instance, rng=rng)
        self.receiver = Receiver(
            state=self.state,
            target=self.target,
            links=self.links,
            account=self.account,
        )
        self.copies = RecordCopies(
            state=self.state, links=self.links, receiver=self.receiver
        )
        self.restoration = Restoration(
            state=self.state, store=store, copies=self.copies, rng=rng
        )
        self.recovery = Recovery(instance=settings.instance, copies=self.copies)
        self.quotas = QuotaExchange(
            state=self.state,
            links=self.links,
            spawn=self._spawn,
            phase=rng.random(),
            now=now,
        )
        self.forwarder = Forwarder(
            state=self.state,
            messages=messages,
            target=self.target,
            links=self.links,
            views=self.views,
            gate=self.quotas.gate,
            rng=rng,
            now=now,
        )
        self.routes = RouteUpdater(
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
            copies=self.copies,
            restoration=self.restoration,
            views=self.views,
            rng=rng,
        )
        self._outgoing = HttpServer(
            handler=self.forwarder.handle,
            limits=HttpLimits(),
            may_run_ahead=self.forwarder.may_run_ahead,
            account=self.account,
            max_connections=get_caller_connections(settings.file_descriptors),
        )
        self._readiness = self._make_small_server(self._answer_readiness)
        self._announcements = self._make_small_server(self._answer_announcement)
        self.relay = RecordRelay(
            state=self.state,
            links=self.links,
            handlers={
                topics.members: self.registry.apply_record,
                topics.routes: self.routes.apply_record,
            },
            first_topic=topics.members,
            now=now,
        )
        self.confirmations = Confirmations(
            state=self.state,
            links=self.links,
            relay=self.relay,
            topic=topics.routes,
        )
        self._watchers = [
            TopicWatcher(
                store=store,
                replica=self.relay.replicas[topic],
                may_read=self.relay.may_read[topic],
                on_records=self.relay.receive,
                on_result=self._record_store_call,
                on_doubt=self._handle_store_doubt,
                on_confirmed=on_confirmed,
                get_phase=self.relay.get_phase,
                wait_ms=wait_ms,
                pause_s=pause_s,
                rng=rng,
            )
            for topic, wait_ms, pause_s, on_confirmed in (
                (
                    topics.routes,
                    ROUTES_WAIT_MS,
                    0.0,
                    self.confirmations.record_read,
                ),
                (
                    topics.members,
                    MEMBERS_WAIT_MS,
                    MEMBERS_PAUSE_S,
                    lambda at: None,
                ),
            )
        ]
        operator_interface = OperatorInterface(
            state=self.state,
            forwarder=self.forwarder,
            target=self.target,
            links=self.links,
            routes=self.routes,
            selection=self.relay.selection,
            store=store,
            watchers=self._watchers,
            account=self.account,
            explainer=Explainer(
                state=self.state,
                views=self.views,
                placement=self.forwarder.placement,
                gate=self.quotas.gate,
                origins=self.forwarder.origins,
            ),
        )
        self._metrics = self._make_small_server(operator_interface.handle)
        self._suspension = SuspensionDetector(now=now, boot_time=read_boot_time())
        self._last_tick = now
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopped = asyncio.Event()
        self.routes.on_change = self._apply_routes
        self.links.on_version = self.routes.start_fetch
        self.links.on_draining_state = self._set_draining
        self._outgoing.on_closed = self.forwarder.origins.remove_connection
        self.target.knows_service = self._knows_service
        self.target.get_rank = self.forwarder.get_rank
        self.target.count_calls = self.forwarder.origins.count_inner
        self.target.count_calls_with(lambda: self.forwarder.calls_in_progress)
        self.target.limit_deadline = self.state.shutdown.limit_deadline
        self.forwarder.origins.on_caller_route = self._share_caller_route
        self.registry.on_caller_route = self._add_caller_route
        self.links.on_routes = self.forwarder.origins.add_caller_routes
        self.receiver.list_caller_routes = self.forwarder.origins.list_caller_routes
        self.receiver.on_degraded_route = self._record_degraded_route
        self.links.on_stream_up = self._handle_stream_up
        self.links.on_records_received = self._handle_records
        self.receiver.on_follow = self.relay.follow
        self.receiver.on_follower_lost = self.relay.remove_follower
        self.registry.on_written = self._handle_own_record_written
        self.receiver.on_hold = self.copies.answer
        self.links.on_hold = self.copies.answer
        self.receiver.on_notice = self._handle_notice
        self.relay.on_loaded = self._handle_loaded
        self.relay.on_read_again = self._read_again
        self.receiver.on_check_store = self._check_store
        self.restoration.replica = self.relay.replicas[topics.members]
        self.relay.on_new_era = self._handle_new_era
        store.watch_era(self._handle_store_doubt)
        self._degraded_importance: int | None = None
        self.receiver.notice_handlers = {
            AskConfirmation: self._answer_confirmation,
            ReportUsage: self.quotas.handle_report,
            ZoneDemand: self.quotas.handle_demand,
        }
        self.links.notice_handlers = {
            StateConfirmation: self.confirmations.record_answer,
            AdmittedShares: self.quotas.handle_shares,
        }

    def _make_small_server(self, handler: Handler) -> HttpServer:
        """Return a server for the platform, whose requests are short."""
        return HttpServer(
            handler=handler,
            limits=HttpLimits(body_bytes=SMALL_BODY_BYTES),
            account=self.account,
            max_connections=SMALL_CONNECTIONS,
        )

    def _count_evicted(self, label: str) -> None:
        self.state.metrics.count("memory_given_up", label)

    async def start(self) -> None:
        """Start the servers and the background tasks."""
        settings = self.state.settings
        await self.receiver.start()
        for server, address in (
            (self._outgoing, settings.outgoing),
            (self._readiness, settings.readiness),
            (self._announcements, settings.announcements),
            (self._metrics, settings.metrics),
        ):
            await server.start(host=address.host, port=address.port)
        self.relay.update(now=asyncio.get_running_loop().time())
        for watcher in self._watchers:
            self._spawn(watcher.run())
        self._spawn(self._recover())
        self._spawn(self.registry.publish())
        self._spawn(self.quotas.run())
        self._spawn(self._tick())
        log.info(
            "started: instance=%s zone=%s incarnation=%d service=%s",
            settings.instance,
            settings.zone,
            self.state.incarnation,
            settings.upstream_service,
        )

    def stop(self) -> None:
        """Begin a graceful stop; `wait_stopped` returns once it is complete.

        Requests in progress may finish within the grace period. Does nothing if the
        node is already stopping.
        """
        if self.state.is_stopping:
            return
        log.info("stopping: in_progress=%d", self.forwarder.in_progress)
        self.state.is_stopping = True
        stop = GracefulStop(
            state=self.state,
            forwarder=self.forwarder,
            target=self.target,
            receiver=self.receiver,
            server=self._outgoing,
            on_draining=self._set_own_draining,
            on_stopped=self._stopped.set,
        )
        self._spawn(stop.run())

    def reload(self, settings: SidecarSettings) -> None:
        """Apply the fields of new settings that can change while the node runs.

        The names of changed fields that need a restart are logged.
        """
        change = merge_settings(self.state.settings, settings)
        self.state.settings = change.settings
        self._store.use_address(change.settings.store)
        self.state.access.revocation_s = change.settings.revocation_s
        self.forwarder.apply_settings()
        self.quotas.apply_settings()
        log.info(
            "settings reloaded: changed=%s",
            {name: getattr(settings, name) for name in change.changed},
        )
        if change.ignored:
            log.warning(
                "settings ignored until a restart: %s", ", ".join(change.ignored)
            )

    async def wait_stopped(self) -> None:
        """Wait until the node has stopped."""
        await self._stopped.wait()

    def close(self) -> None:
        """Cancel all tasks and close all servers and streams."""
        for task in self._tasks:
            task.cancel()
        for server in (
            self._outgoing,
            self._readiness,
            self._announcements,
            self._metrics,
        ):
            server.close()
        self.restoration.close()
        self.links.close()
        self.receiver.close()
        self.target.close()

    def _share_caller_route(self, route: str) -> None:
        log.info("route %s identified as a caller route", route)
        self.links.send_caller_routes([route])
        self._spawn(self.registry.store_route(route))

    def _add_caller_route(self, route: str) -> None:
        self.forwarder.origins.add_caller_routes([route])

    async def _recover(self) -> None:
        """Use the target once it is known what was acknowledged before the start."""
        former = await self.recovery.run()
        now = asyncio.get_running_loop().time()
        self.registry.complete_recovery(former, now=now)
        self.target.is_open = True

    def _handle_loaded(self) -> None:
        self.recovery.add_record(self.registry.former)
        self.recovery.record_loaded()

    def _handle_notice(self, remote: Hello, frame: HeldRecord) -> None:
        """Handle what another node holds of this one, also after the recovery."""
        self.recovery.handle_notice(remote, frame)
        record = decode_held(frame, instance=self.state.settings.instance)
        if record is not None and self.target.is_open:
            now = asyncio.get_running_loop().time()
            self.registry.apply_former(record, now=now)

    def _record_store_call(self, succeeded: bool, now: float) -> None:
        if not succeeded:
            self.recovery.record_failure()
        self.relay.record_store_call(succeeded, now)

    def _handle_store_doubt(self, origin: TopicWatcher | None = None) -> None:
        """Have all other reads checked, here and at other nodes.

        The store has left one without an answer, or has returned from an older copy.
        """
        now = asyncio.get_running_loop().time()
        for watcher in self._watchers:
            if watcher is not origin:
                watcher.check(now=now)
        self._spawn(self.links.send_store_check(now=now))

    def _read_again(self, topic: str, start: Position) -> None:
        now = asyncio.get_running_loop().time()
        for watcher in self._watchers:
            if watcher.topic == topic:
                watcher.read_again(start, now=now)

    def _handle_new_era(self, replica: TopicReplica) -> None:
        if replica is self.restoration.replica:
            now = asyncio.get_running_loop().time()
            for route in self.registry.restore_lost(replica, now=now):
                self._spawn(self.registry.store_route(route))

    def _check_store(self, remote: Hello) -> None:
        """Check on the reads of this node, or read beside the readers for a moment."""
        log.debug("check of the store requested by %s", remote.instance)
        now = asyncio.get_running_loop().time()
        self.relay.assist(now=now)
        for watcher in self._watchers:
            watcher.check(now=now)

    def _answer_confirmation(
        self, connection: Connection, remote: Hello, frame: AskConfirmation
    ) -> None:
        self.confirmations.answer(connection, remote, frame, read_boot_time())

    def _handle_stream_up(self, name: str) -> None:
        # Sent before any request, so that the other side knows it when that arrives.
        self.links.send(name, self.copies.make_notice(name))
        self.relay.on_up(name=name, now=asyncio.get_running_loop().time())

    def _handle_records(self, remote: Hello, frame: TopicRecords) -> None:
        self.relay.on_topic_records(remote=remote, frame=frame)

    def _handle_own_record_written(self) -> None:
        self.relay.record_registration(now=asyncio.get_running_loop().time())

    def _record_degraded_route(self, importance: int) -> None:
        self.target.record_degraded_route(
            importance, now=asyncio.get_running_loop().time()
        )

    def _share_degraded_route(self, now: float) -> None:
        """Notify other nodes while a caller route fails or is late here."""
        importance = self.target.get_degraded_importance(now=now)
        if importance is not None:
            self.target.record_degraded_route(importance, now=now)
            self.links.send_degraded_route(importance, now=now)
        if importance != self._degraded_importance:
            log.info(
                "degraded route: importance=%s before=%s",
                importance,
                self._degraded_importance,
            )
            self._degraded_importance = importance

    async def _answer_readiness(self, request: HttpRequest) -> HttpResponse:
        is_ready = self.state.table is not None and not self.state.is_stopping
        return HttpResponse(status=200 if is_ready else 503)

    async def _answer_announcement(self, request: HttpRequest) -> HttpResponse:
        now = asyncio.get_running_loop().time()
        return await self._handle_announcement(
            self.target, request, now, self.registry.secure_departure
        )

    def _knows_service(self, service: str) -> bool:
        """Return whether the settings or the configuration name a service."""
        table = self.state.table
        named = self.state.settings.upstream_service
        if table is not None and service in table.services:
            return True
        return service == named or not named

    def _apply_routes(self, table: RouteTable) -> None:
        limits = self._outgoing.limits
        limits.header_bytes = table.limits.header_bytes
        limits.body_bytes = table.limits.body_bytes
        limits.header_timeout_s = table.limits.header_timeout_s
        limits.idle_timeout_s = table.limits.idle_timeout_s
        upstream = self.target.registration.current
        name = upstream.service if upstream else self.state.settings.upstream_service
        service = table.services.get(name)
        if service is not None:
            self.target.set_connection_limit(service.max_connections)
        self.receiver.send_heartbeat()
        self.links.send_zone_heartbeats()

    def _set_draining(self, instance: str, is_draining: bool) -> None:
        view = self.views.find(instance)
        if view is not None and view.is_draining != is_draining:
            view.is_draining = is_draining
            log.info("node %s stopping=%s", instance, is_draining)

    def _set_own_draining(self) -> None:
        self._set_draining(self.state.settings.instance, True)

    async def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        # The last unexpected error, which is logged once.
        fault = ""
        while True:
            await asyncio.sleep(TICK_S)
            now = loop.time()
            suspended_s = self._suspension.check(now=now, boot_time=read_boot_time())
            late_s = now - self._last_tick - TICK_S
            self._last_tick = now
            if suspended_s or late_s > HEARTBEAT_TIMEOUT_S / 2:
                log.warning(
                    "process was paused: suspended_s=%.2f late_s=%.2f",
                    suspended_s,
                    late_s,
                )
                self.receiver.reset_timeouts(now=now)
            try:
                self._check(now=now)
            except Exception as error:
                if repr(error) != fault:
                    log.error("periodic check failed", exc_info=error)
                fault = repr(error)

    def _check(self, *, now: float) -> None:
        """Do what is due at fixed times, such as closing silent streams."""
        self.receiver.close_timed_out(now=now)
        self.links.close_idle(now=now)
        self.target.close_idle(now=now)
        self.target.log_rate(now=now)
        self.target.log_limit(now=now)
        self._share_degraded_route(now)
        # The number of members sets this node's part of the retry slack.
        self.forwarder.apply_settings()
        self.relay.update(now=now)
        self.relay.send_status(now=now)
        self.relay.read_unapplied_again(now=now)
        self.links.choose_contacts(
            reads_store=self.relay.selection.choice.reads_store, now=now
        )
        wait_ms = self.confirmations.choose_read_wait_ms(ROUTES_WAIT_MS)
        self._watchers[0].set_wait_ms(wait_ms, now=now)
        self.confirmations.ask(now=read_boot_time())

    def _spawn(self, run: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(run)
        self._tasks.add(task)
        task.add_done_callback(self._end_task)

    def _end_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("background task failed", exc_info=task.exception())


__all__ = ["Sidecar", "StoreTopics"]
