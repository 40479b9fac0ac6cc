"""A node process: its parts, and how it starts, drains and stops."""

import asyncio
import os
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from pimentoscale.configuration import ConfigurationReplica
from pimentoscale.dispatch.router import Router
from pimentoscale.dispatch.runner import UpstreamRunner
from pimentoscale.dispatch.selection import TargetSelector
from pimentoscale.dispatch.submission import Submissions
from pimentoscale.dispatch.witnesses import WitnessService
from pimentoscale.distribution.log_tasks import LogTasks
from pimentoscale.distribution.patches import (
    PatchStatus,
    PatchSubmission,
    describe_patch,
    submit_patch,
)
from pimentoscale.distribution.tree import Distribution
from pimentoscale.ingress.control import MemberStatus, NodeStatus, TargetStatus
from pimentoscale.ingress.endpoint import CallEndpoint
from pimentoscale.ingress.entry import CallEntry
from pimentoscale.logs import get_logger
from pimentoscale.membership import Directory, Member, MemberState
from pimentoscale.metrics import Gauge, Metrics
from pimentoscale.node.pause import TICK_PERIOD_S, PauseDetector
from pimentoscale.node.state import NodeState, get_wall_ms, make_own_member
from pimentoscale.peering.acceptor import Acceptor
from pimentoscale.peering.overlay import Overlay
from pimentoscale.peering.peers import PeerPool
from pimentoscale.platform.store import StoreClient
from pimentoscale.policy import PolicyAlgorithms
from pimentoscale.routing import Target
from pimentoscale.settings import NodeSettings
from pimentoscale.shutdown import send_last_answers
from pimentoscale.stream import Announcements, Connection
from pimentoscale.ticket import NodeIdentity, TicketIssuer
from pimentoscale.timeline import EventName, HybridClock, Timeline

# The least time that a stop takes, in which the announcement reaches the other nodes.
# It is shorter in proportion if the grace period is shorter than `FULL_GRACE_S`.
DRAIN_NOTICE_S = 2.0
FULL_GRACE_S = 6.0
STOP_POLL_S = 0.05
CLEANUP_EVERY_TICKS = 50
UPSTREAM_DRAINING = "draining"

log = get_logger("node")


@dataclass(slots=True, kw_only=True)
class ConfigurationStatus:
    """The version in force and its content."""

    version: int
    offset: int
    history: Any
    configuration: Any


class Node:
    """The parts of one node process, wired together."""

    def __init__(
        self,
        *,
        settings: NodeSettings,
        algorithms: PolicyAlgorithms,
        rng: random.Random,
        now: float,
    ) -> None:
        self.state = make_state(settings, algorithms)
        self._rng = rng
        self._pauses = PauseDetector(now=now)
        self._peers = PeerPool(state=self.state, replica=self.state.replica)
        self._runner = UpstreamRunner(state=self.state, now=now)
        self._selector = TargetSelector(state=self.state, peers=self._peers, rng=rng)
        self._router = Router(
            state=self.state,
            peers=self._peers,
            runner=self._runner,
            selector=self._selector,
            rng=rng,
        )
        issuer = TicketIssuer(secret=settings.ticket_secret)
        self._witness_service = WitnessService(
            state=self.state, peers=self._peers, issuer=issuer, rng=rng
        )
        self._submissions = Submissions(
            state=self.state,
            peers=self._peers,
            router=self._router,
            witness_service=self._witness_service,
            issuer=issuer,
        )
        self._entry = CallEntry(
            state=self.state,
            router=self._router,
            runner=self._runner,
            submissions=self._submissions,
            pauses=self._pauses,
        )
        self.endpoint = CallEndpoint(state=self.state, entry=self._entry, rng=rng)
        self._acceptor = Acceptor(
            state=self.state,
            peers=self._peers,
            runner=self._runner,
            submissions=self._submissions,
            witness_service=self._witness_service,
            pauses=self._pauses,
        )
        self._overlay = Overlay(state=self.state, peers=self._peers)
        self._distribution = Distribution(
            state=self.state,
            peers=self._peers,
            overlay=self._overlay,
            pauses=self._pauses,
        )
        self._store = StoreClient(address=settings.platform)
        self._log_tasks = LogTasks(
            state=self.state,
            store=self._store,
            overlay=self._overlay,
            distribution=self._distribution,
            rng=rng,
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._stopped = asyncio.Event()
        # Returns how many answers the HTTP server has not sent whole.
        self.count_http_owed: Callable[[], int] = lambda: 0
        self._wire()

    async def start(self) -> None:
        """Listen for streams, and start the background tasks."""
        await self._acceptor.start()
        for address in self.state.settings.first_peers:
            self._overlay.add_first_peer(self._peers.open_address(address))
        self._overlay.announce_own(self.state.own)
        self._spawn(self._tick())
        for task in self._log_tasks.list_tasks():
            self._spawn(task())
        log.info(
            "node %s started in zone %s", self.state.identity.instance, self.state.zone
        )

    def drain(self) -> None:
        """Refuse new work, announce it, and stop once no answer is owed."""
        if self.state.is_draining:
            return
        log.info("draining")
        shutdown = self.state.shutdown
        shutdown.begin(
            grace_s=self.state.settings.stop_grace_s,
            now=asyncio.get_running_loop().time(),
        )
        self.state.time_limits.set_stop(shutdown.answers_due_at)
        self.state.is_draining = True
        own = replace(self.state.own, state=MemberState.DRAINING)
        self._acceptor.announce_draining()
        self._overlay.announce_own(own)
        self._spawn(self._stop_when_idle())

    def handle_upstream_state(self, state: str) -> None:
        """Handle a state that the upstream reports; drain if it is draining."""
        if state == UPSTREAM_DRAINING:
            self.drain()

    async def wait_stopped(self) -> None:
        """Wait until the node has drained and stopped."""
        await self._stopped.wait()

    def close(self) -> None:
        """Close all connections and end all tasks."""
        for task in self._tasks:
            task.cancel()
        self._acceptor.close()
        self._peers.close_all()

    def render_metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        load = self._runner.report_load(now=asyncio.get_running_loop().time())
        metrics = self.state.metrics
        metrics.set_gauge(Gauge(name="version", value=self.state.version))
        metrics.set_gauge(Gauge(name="limit", value=load.limit))
        metrics.set_gauge(Gauge(name="in_flight", value=load.in_flight))
        metrics.set_gauge(Gauge(name="peers_up", value=self._peers.count_up()))
        return metrics.render()

    def describe(self) -> NodeStatus:
        """Return the status for operators."""
        now = asyncio.get_running_loop().time()
        state, runner = self.state, self._runner
        return NodeStatus(
            instance=state.identity.instance,
            zone=state.zone,
            service=state.settings.upstream.service,
            incarnation=state.identity.incarnation,
            policy=state.algorithms.name,
            version=state.version,
            offset=state.replica.fold.next_offset,
            is_confirmed=state.is_confirmed,
            is_draining=state.is_draining,
            is_root=self._overlay.is_root,
            parent=self._overlay.parent or "",
            children=self._overlay.children,
            in_progress=self._count_in_progress(),
            queued=runner.queued,
            running=runner.running,
            limit=runner.report_load(now=now).limit,
            retries=state.metrics.sum_counts("retries"),
            refusals=state.metrics.get_counts("refusals"),
            members=[_describe_member(member) for member in state.directory],
            targets=[
                _describe_target(target, now)
                for target in self._selector.list_targets()
            ],
        )

    async def submit_patch(self, submission: PatchSubmission) -> bool:
        """Append an operator's patch to the log."""
        return await submit_patch(self._store, submission)

    def describe_patch(self, patch: str) -> PatchStatus:
        """Return the status of a patch."""
        return describe_patch(self.state.replica.fold, patch)

    def describe_configuration(self) -> ConfigurationStatus:
        """Return the version in force and its content."""
        fold = self.state.replica.fold
        return ConfigurationStatus(
            version=fold.version,
            offset=fold.next_offset,
            history=msgspec.to_builtins(fold.history),
            configuration=msgspec.to_builtins(fold.configuration),
        )

    def _wire(self) -> None:
        """Register the callbacks between the parts."""
        self._acceptor.on_fetch = self._distribution.handle_fetch
        self._acceptor.on_heartbeat = self._distribution.handle_heartbeat
        self._runner.on_slow_call = self._handle_slow_call
        self._acceptor.on_announcements = self._handle_announcements
        self._acceptor.on_closed = self._remove_connection
        self._overlay.watchers.append(self._selector.update_member)
        self._distribution.configuration_watchers.append(self._runner.configure)

    def _handle_slow_call(self, kind: str, late_ms: float) -> None:
        """Report a late upstream to this node's selector and all connected nodes."""
        self._selector.record_slow_call(self.state.identity.instance, kind, late_ms)
        self._acceptor.announce_slow_call(kind, late_ms)

    def _handle_announcements(self, frame: Announcements, source: Connection) -> None:
        self._overlay.handle_announcements(frame, source)

    def _remove_connection(self, connection: Connection) -> None:
        self._overlay.remove_connection(connection)
        self._distribution.remove_connection(connection)

    async def _tick(self) -> None:
        """Run the periodic work."""
        loop = asyncio.get_running_loop()
        ticks = 0
        while True:
            now = loop.time()
            was_paused = self._pauses.tick(now=now)
            self._acceptor.close_silent(now=now, was_paused=was_paused)
            if was_paused:
                self.state.record(EventName.PROCESS_PAUSED)
                self._distribution.catch_up()
            self._overlay.update(now=now)
            self._runner.admit_waiting(now=now)
            self.state.is_confirmed = self._distribution.is_confirmed(now=now)
            ticks += 1
            if ticks % CLEANUP_EVERY_TICKS == 0:
                self._peers.close_idle(now=now)
                self._submissions.remove_expired()
            await asyncio.sleep(TICK_PERIOD_S)

    async def _stop_when_idle(self) -> None:
        """Stop once no answer is owed, and before the end of the grace period."""
        loop = asyncio.get_running_loop()
        shutdown = self.state.shutdown
        scale = min(1.0, self.state.settings.stop_grace_s / FULL_GRACE_S)
        while True:
            now = loop.time()
            owed = self._count_owed()
            if shutdown.may_end(owed=owed, now=now, earliest_s=scale * DRAIN_NOTICE_S):
                if shutdown.is_closed or owed:
                    break
                # A call that has just been read is still answered.
                shutdown.is_closed = True
            await asyncio.sleep(min(STOP_POLL_S, max(0.0, shutdown.ends_at - now)))
        owed = await send_last_answers(self._count_owed)
        await self._acceptor.finish_streams(ends_at=shutdown.ends_at)
        log.info("stopped with %d answers owed", owed)
        self._stopped.set()

    def _count_owed(self) -> int:
        """Return how many answers this node owes.

        A call counts once for each part of this node that handles it.
        """
        return (
            self.endpoint.in_progress
            + self.count_http_owed()
            + self._acceptor.in_progress
            + self._runner.in_progress
            + self._submissions.in_progress
        )

    def _count_in_progress(self) -> int:
        acceptor, runner = self._acceptor.in_progress, self._runner.in_progress
        return max(acceptor, runner) + self.endpoint.in_progress

    def _spawn(self, run: Any) -> None:
        task = asyncio.ensure_future(run)
        task.add_done_callback(_log_failure)
        self._tasks.append(task)


def _log_failure(task: "asyncio.Task[None]") -> None:
    if not task.cancelled() and task.exception() is not None:
        log.error("background task failed", exc_info=task.exception())


def make_state(settings: NodeSettings, algorithms: PolicyAlgorithms) -> NodeState:
    """Return the state of a starting node, which is a new incarnation."""
    incarnation = get_wall_ms() * 1000 + os.getpid() % 1000
    clock = HybridClock()
    own = make_own_member(
        settings=settings,
        incarnation=incarnation,
        slots=settings.upstream.slots,
        state=MemberState.ALIVE,
    )
    return NodeState(
        settings=settings,
        algorithms=algorithms,
        identity=NodeIdentity(instance=settings.instance, incarnation=incarnation),
        replica=ConfigurationReplica(),
        directory=Directory(),
        metrics=Metrics(),
        timeline=Timeline(instance=settings.instance, clock=clock),
        clock=clock,
        own=own,
    )


def _describe_member(member: Member) -> MemberStatus:
    return MemberStatus(
        instance=member.instance,
        zone=member.zone,
        service=member.service,
        state=member.state.value,
        incarnation=member.incarnation,
        http=str(member.http),
    )


def _describe_target(target: Target, now: float) -> TargetStatus:
    load = target.load
    return TargetStatus(
        instance=target.instance,
        zone=target.zone,
        service=target.service,
        state="usable" if target.accepts_new_work() else "draining",
        out=target.outstanding,
        in_flight=load.in_flight if load else 0,
        limit=load.limit if load else target.slots,
        queue_ms=load.queue_ms if load else 0,
        on_probation=target.is_on_probation(now=now),
    )
