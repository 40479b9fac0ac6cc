"""Forwards requests to nodes and returns the responses to the senders."""

import asyncio
import random
from collections.abc import Awaitable
from typing import Any

from msgspec.structs import replace

from pimentoscale.errors import CallError, ErrorKind
from pimentoscale.forwarding.exchange import (
    Attempt,
    AttemptHistory,
    AttemptOutcome,
    ForwardRequest,
    Messages,
    RequestMetadata,
    get_deadline,
)
from pimentoscale.forwarding.frames import make_forward, read_forward_reply
from pimentoscale.forwarding.links import Links
from pimentoscale.forwarding.origins import OriginTracker
from pimentoscale.forwarding.placement import (
    ANY_ZONE,
    NodeView,
    Placement,
    PlacementRequest,
)
from pimentoscale.forwarding.responses import ResponseBuilder
from pimentoscale.forwarding.retries import RetryBudget, get_slack_share
from pimentoscale.forwarding.state import SidecarState
from pimentoscale.forwarding.target import LocalTarget
from pimentoscale.forwarding.views import NodeViews
from pimentoscale.http import HttpRequest, HttpResponse, drop_connection_headers
from pimentoscale.logs import get_logger
from pimentoscale.routes import Route, WeightedRoundRobin
from pimentoscale.stream import (
    ForwardReply,
    Frame,
    FrameError,
    PeerLostError,
    PeerSilentError,
    PeerUnreachableError,
)
from pimentoscale.suspension import read_suspended_s

# Limits of attempts at one request, for inner requests and for those of callers. An
# attempt that no target received is no retry, so it spends no retry budget.
MAX_ATTEMPTS = 4
MAX_CALLER_ATTEMPTS = 2
# The target's node ends a request at its deadline. The entry node waits this much
# longer for that result before it ends the request itself.
ANSWER_GRACE_S = 0.15
# Calls of the local target that come when callers are refused already must be expected
# to end in this multiple of the average time of their route.
LATE_RUN_TIME_FACTOR = 2.0
# A call expires with the request for which the local target makes it. On its way to
# this node it may be late by this much.
CALL_DELAY_S = 0.5
# Time left that is assumed if the sender states none.
DEFAULT_REMAINING_S = 60.0
# Rough size of the head of a request or a response.
HEAD_BYTES = 200

log = get_logger("entry")


class Forwarder:
    """Sends each request to a chosen node, and retries it within the limits."""

    def __init__(
        self,
        *,
        state: SidecarState,
        messages: Messages,
        target: LocalTarget,
        links: Links,
        views: NodeViews,
        rng: random.Random,
        now: float,
    ) -> None:
        self._state = state
        self._messages = messages
        self._target = target
        self._links = links
        self._views = views
        self._rng = rng
        self._placement = Placement(rng=rng)
        self._responses = ResponseBuilder(state=state, rng=rng)
        self._service_splits: dict[str, WeightedRoundRobin] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self.origins = OriginTracker(now=now)
        self._importance_range = (0, 0)
        # Version of the routes and number of caller routes at the last update.
        self._importance_range_key = (0, 0)
        self.in_progress = 0

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request, from a target or for an error."""
        self.in_progress += 1
        try:
            return await self._handle(request)
        finally:
            self.in_progress -= 1

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        now = asyncio.get_running_loop().time()
        table = self._state.table
        metadata = self._messages.read_metadata(request)
        if metadata is None or not metadata.identity:
            return self._responses.build_error(
                CallError(kind=ErrorKind.BAD_HEADER), "", ""
            )
        if table is None:
            error = CallError(kind=ErrorKind.NO_CONFIGURATION)
            return self._responses.build_error(error, metadata.identity, "")
        path = request.path.partition(b"?")[0].decode("latin-1")
        route = table.find(host=metadata.host, path=path)
        if route is None:
            error = CallError(kind=ErrorKind.NO_ROUTE)
            return self._responses.build_error(error, metadata.identity, "")
        self.origins.record_request(
            connection=request.connection_id,
            route=route.name,
            target_idle_s=self._target.get_idle_s(now=now),
            now=now,
        )
        forward = self._make_forward(request, metadata, route, now)
        expires_at = now + _get_remaining_s(metadata)
        if not self._may_take(forward, expires_at=expires_at, now=now):
            error = CallError(kind=ErrorKind.DRAINING, detail="the node stops")
            return self._responses.build_error(error, forward.identity, forward.route)
        history = AttemptHistory()
        try:
            async with self._state.time_limits.limit():
                await self._run(forward, route, history)
        except TimeoutError:
            history.add(Attempt.make_interrupted(forward, detail="the node stops"))
        has_targets = bool(self._views.list(forward.service))
        return self._responses.build(
            forward,
            history,
            has_targets=has_targets,
            started=now,
            now=asyncio.get_running_loop().time(),
        )

    def _may_take(
        self, forward: ForwardRequest, *, expires_at: float, now: float
    ) -> bool:
        """Return whether to take a request, which may come late in a stop.

        Calls of the local target are taken longer than requests of callers, since it
        still runs requests that need them; callers should go to another node. On routes
        that callers use as well, `expires_at` tells: what the sender waits for longer
        than the target may run is no call of it.
        """
        shutdown = self._state.shutdown
        if not shutdown.has_begun:
            return True
        expected_s = self._placement.averages.get_run_ms(route=forward.route) / 1000
        if self._state.refuses_callers:
            may_be_call = expires_at <= self._target.last_deadline + CALL_DELAY_S
            if not (forward.is_inner or may_be_call):
                return False
            expected_s *= LATE_RUN_TIME_FACTOR
        return shutdown.may_take(expected_s=expected_s, now=now)

    def _make_forward(
        self, request: HttpRequest, metadata: RequestMetadata, route: Route, now: float
    ) -> ForwardRequest:
        remaining_s = _get_remaining_s(metadata)
        headers = drop_connection_headers(request.headers)
        upstream = self._target.registration.current
        own_service = self._state.settings.upstream_service
        if upstream is not None:
            own_service = upstream.service
        message = HttpRequest(
            method=request.method,
            path=request.path,
            encoded_headers=self._messages.encode_request_headers(
                headers, service=own_service
            ),
            body=request.body,
        )
        return ForwardRequest(
            identity=metadata.identity,
            service=self._choose_service(route),
            route=route.name,
            idempotent=route.idempotent,
            importance=route.importance,
            is_inner=self.origins.is_inner(route.name),
            was_refused=self.origins.was_refused(route.name, remaining_s=remaining_s),
            deadline=self._state.shutdown.limit_deadline(
                now + min(remaining_s, route.timeout_s)
            ),
            objective_s=min(route.objective_s, route.timeout_s),
            suspended_s=read_suspended_s(),
            message=message,
        )

    def _choose_service(self, route: Route) -> str:
        split = self._service_splits.get(route.name)
        if split is None:
            split = WeightedRoundRobin(shares=route.shares, phase=self._rng.random())
            self._service_splits[route.name] = split
        elif split.shares != route.shares:
            split.set_shares(route.shares)
        return split.choose()

    def get_rank(self, importance: int) -> float:
        """Return an importance scaled to the range of caller routes, from 0 to 1."""
        least, most = self._get_importance_range()
        if least == most:
            return 0.0
        return min(1.0, max(0.0, (importance - least) / (most - least)))

    def _get_importance_range(self) -> tuple[int, int]:
        """Return the least and the greatest importance of caller routes."""
        table = self._state.table
        key = (self._state.version, self.origins.count_caller_routes())
        if table is not None and self._importance_range_key != key:
            names = self.origins.list_caller_routes()
            values = [item.importance for item in table.routes if item.name in names]
            self._importance_range = (min(values, default=0), max(values, default=0))
            self._importance_range_key = key
        return self._importance_range

    async def _run(
        self, forward: ForwardRequest, route: Route, history: AttemptHistory
    ) -> None:
        """Attempt the request until a target answers or no attempt is left.

        The attempts are added to `history`.
        """
        loop = asyncio.get_running_loop()
        budget = self._get_budget(forward.service)
        if not history.nodes:
            budget.record_request(now=loop.time())
        placement = PlacementRequest(
            route=forward.route,
            zone=self._state.settings.zone,
            objective_s=forward.objective_s,
            is_inner=forward.is_inner,
        )
        max_attempts = MAX_ATTEMPTS if forward.is_inner else MAX_CALLER_ATTEMPTS
        while len(history.nodes) < max_attempts:
            now = loop.time()
            view = self._placement.choose(
                self._views.list(forward.service),
                placement,
                attempted=history.nodes,
                now=now,
            )
            if view is None or now >= self._get_deadline(forward):
                break
            history.nodes.append(view.member.instance)
            try:
                attempt = await self._attempt(view, forward)
            except PeerSilentError as silence:
                await self._run_in_silence(silence, view, forward, route, history)
                break
            self._record_attempt(view, forward, attempt, now=loop.time())
            history.add(attempt)
            if not self._may_continue(attempt, history, forward, route, budget):
                break
            if attempt.error is not None and attempt.error.kind in _REFUSAL_ERRORS:
                placement = replace(placement, zone=ANY_ZONE)
                if attempt.error.kind is ErrorKind.RATE_LIMITED:
                    # A limit says nothing about the other targets of the service.
                    max_attempts = MAX_ATTEMPTS

    def _may_continue(
        self,
        attempt: Attempt,
        history: AttemptHistory,
        forward: ForwardRequest,
        route: Route,
        budget: RetryBudget,
    ) -> bool:
        """Return whether to attempt the request again; count it if it is a retry."""
        if attempt.outcome is AttemptOutcome.ANSWERED:
            return False
        now = asyncio.get_running_loop().time()
        if now >= self._get_deadline(forward):
            return False
        if attempt.outcome is AttemptOutcome.UNKNOWN and not forward.idempotent:
            return False
        if not attempt.arrived:
            return True
        if history.arrivals >= route.max_targets:
            return False
        return budget.try_retry(calls_others=attempt.calls_others, now=now)

    async def _run_in_silence(
        self,
        silence: PeerSilentError,
        view: NodeView,
        forward: ForwardRequest,
        route: Route,
        history: AttemptHistory,
    ) -> None:
        """Wait for the answer of a silent node, and run the request elsewhere as well.

        The node may only be paused, with the target at work, so its attempt is not
        given up before another target has answered.
        """
        attempt = Attempt.make_unknown(ErrorKind.PEER_LOST, detail=str(silence))
        self._record_attempt(
            view, forward, attempt, now=asyncio.get_running_loop().time()
        )
        history.add(attempt)
        other: asyncio.Task[None] | None = None
        if self._may_continue(
            attempt, history, forward, route, self._get_budget(forward.service)
        ):
            other = asyncio.create_task(self._run(forward, route, history))
        view.outstanding += 1
        try:
            await self._wait_for_either(silence.answer, other, view, forward, history)
        finally:
            view.outstanding -= 1
            silence.answer.cancel()
            if other is not None:
                other.cancel()

    async def _wait_for_either(
        self,
        answer: "asyncio.Future[Frame]",
        other: "asyncio.Task[None] | None",
        view: NodeView,
        forward: ForwardRequest,
        history: AttemptHistory,
    ) -> None:
        """Wait for the answer of a silent node, or for that of another attempt."""
        loop = asyncio.get_running_loop()
        waiting: set[asyncio.Future[Any]] = {answer}
        if other is not None:
            waiting.add(other)
        while waiting:
            timeout_s = self._get_deadline(forward) + ANSWER_GRACE_S - loop.time()
            done, waiting = await asyncio.wait(
                waiting, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
            if not done:
                return
            if other in done and other is not None:
                other.result()
            if history.last is not None and history.last.response is not None:
                return
            if answer in done:
                attempt = await _receive(answer)
                self._record_attempt(view, forward, attempt, now=loop.time())
                if attempt.response is not None:
                    history.last = attempt
                    return

    async def _attempt(self, view: NodeView, forward: ForwardRequest) -> Attempt:
        view.outstanding += 1
        forward.is_handed_over = False
        try:
            if view.is_own:
                return await self._target.run(forward)
            return await self._send(view, forward)
        finally:
            view.outstanding -= 1

    async def _send(self, view: NodeView, forward: ForwardRequest) -> Attempt:
        loop = asyncio.get_running_loop()
        try:
            peer = await self._links.get(
                view.member, expires_at=self._get_deadline(forward), now=loop.time()
            )
            now = loop.time()
            remaining_s = max(0.0, self._get_deadline(forward) - now)
            frame = make_forward(forward, remaining_s=remaining_s, stated=view.stated)
            timeout_s = remaining_s + ANSWER_GRACE_S
            forward.is_handed_over = True
            # Work that must not run again is awaited in a silence; other work is also
            # run elsewhere then.
            answering = peer.query(
                frame,
                timeout_s=timeout_s,
                waits_in_silence=not forward.idempotent,
                reports_silence=forward.idempotent,
            )
        except PeerUnreachableError as error:
            kind = ErrorKind.PEER_UNREACHABLE
            if loop.time() >= self._get_deadline(forward):
                # The node may be well: the request came late.
                kind = ErrorKind.DEADLINE_BEFORE_RUN
            return Attempt.make_not_run(kind, detail=str(error))
        return await _receive(answering)

    def _get_deadline(self, forward: ForwardRequest) -> float:
        """Return a request's deadline, sooner if this node stops meanwhile."""
        return self._state.shutdown.limit_deadline(get_deadline(forward))

    def _record_attempt(
        self, view: NodeView, forward: ForwardRequest, attempt: Attempt, *, now: float
    ) -> None:
        """Update the view of a node from an attempt, and log one that failed."""
        if attempt.load is not None:
            view.update_load(attempt.load, now=now)
        has_answered = attempt.outcome is AttemptOutcome.ANSWERED
        self._views.record_stated(view, attempt.stated, has_answered=has_answered)
        if attempt.outcome is AttemptOutcome.ANSWERED:
            slowdown = attempt.load.slowdown if attempt.load is not None else 0.0
            averages = self._placement.averages
            # What the told slowdown explains is not held against the target later.
            excess_ms = averages.estimate_excess_ms(
                route=forward.route, slowdown=slowdown
            )
            view.record_run(
                route=forward.route,
                run_ms=max(0.0, attempt.run_ms - excess_ms),
                now=now,
            )
            size = len(forward.message.body) + HEAD_BYTES
            if attempt.response is not None:
                size += len(attempt.response.body) + HEAD_BYTES
            averages.record(
                route=forward.route,
                run_ms=attempt.run_ms,
                size=size,
                slowdown=slowdown,
            )
            return
        error = attempt.error
        if error is None:
            return
        if error.kind in _REFUSAL_ERRORS and not forward.is_inner:
            view.record_refusal(route=forward.route, now=now)
        if error.kind is ErrorKind.UPSTREAM_SHED:
            view.record_shed(now=now)
        elif error.kind in _EJECTION_ERRORS:
            view.eject(now=now)
        log.info(
            "attempt at %s failed: %s %s %s arrived=%s in_flight=%s",
            view.member.instance,
            attempt.outcome.value,
            error.kind.value,
            error.detail,
            attempt.arrived,
            attempt.load.in_flight if attempt.load else None,
            request=forward.identity,
        )

    def apply_settings(self) -> None:
        """Apply the limits of retries for the settings and members in force."""
        settings = self._state.settings
        for budget in self._budgets.values():
            budget.set_limits(
                ratio=settings.retry_ratio,
                slack=self._get_slack(),
                window_s=settings.retry_window_s,
            )

    def _get_slack(self) -> float:
        share = get_slack_share(nodes=len(self._state.members))
        return self._state.settings.retry_slack * share

    def _get_budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            settings = self._state.settings
            budget = RetryBudget(
                ratio=settings.retry_ratio,
                slack=self._get_slack(),
                window_s=settings.retry_window_s,
            )
            self._budgets[service] = budget
        return budget


async def _receive(answering: Awaitable[Frame]) -> Attempt:
    """Return the attempt that the answer of another node, or its lack, tells."""
    try:
        answer = await answering
        if not isinstance(answer, ForwardReply):
            raise FrameError("the answer is of another kind")
        return read_forward_reply(answer)
    except PeerUnreachableError as error:
        return Attempt.make_not_run(ErrorKind.PEER_UNREACHABLE, detail=str(error))
    except PeerLostError as error:
        return Attempt.make_unknown(ErrorKind.PEER_LOST, detail=str(error))
    except FrameError as error:
        return Attempt.make_unknown(ErrorKind.ANSWER_DAMAGED, detail=str(error))


def _get_remaining_s(metadata: RequestMetadata) -> float:
    """Return how long the sender waits; long if it does not state it."""
    remaining_s = metadata.remaining_s
    return DEFAULT_REMAINING_S if remaining_s is None else remaining_s


# Errors after which the node is ejected.
_EJECTION_ERRORS = (
    ErrorKind.PEER_UNREACHABLE,
    ErrorKind.PEER_LOST,
    ErrorKind.UPSTREAM_UNREACHABLE,
    ErrorKind.NO_TARGET,
    ErrorKind.DRAINING,
    ErrorKind.ANSWER_OVERSIZED,
)

# Errors after which the node gets no caller's request of the route for a short time.
_REFUSAL_ERRORS = (
    ErrorKind.OVERLOADED,
    ErrorKind.DISPLACED,
    ErrorKind.RATE_LIMITED,
)

__all__ = ["Forwarder"]
