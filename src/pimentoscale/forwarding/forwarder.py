"""Forwards requests to nodes and returns the responses to the senders."""

import asyncio
import random

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
    FrameError,
    PeerLostError,
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
        if not self._may_take(forward, now=now):
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

    def _may_take(self, forward: ForwardRequest, *, now: float) -> bool:
        """Return whether to take a request, which may come late in a stop.

        Calls of the local target are taken longer than requests of callers, since it
        still runs requests that need them; callers should go to another node.
        """
        shutdown = self._state.shutdown
        if not shutdown.has_begun:
            return True
        expected_s = self._placement.averages.get_run_ms(route=forward.route) / 1000
        if self._state.refuses_callers:
            if not forward.is_inner:
                return False
            expected_s *= LATE_RUN_TIME_FACTOR
        return shutdown.may_take(expected_s=expected_s, now=now)

    def _make_forward(
        self, request: HttpRequest, metadata: RequestMetadata, route: Route, now: float
    ) -> ForwardRequest:
        remaining_s = metadata.remaining_s
        if remaining_s is None:
            remaining_s = DEFAULT_REMAINING_S
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
        names = self.origins.list_caller_routes()
        key = (self._state.version, len(names))
        if table is not None and self._importance_range_key != key:
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
            if view is None or now >= get_deadline(forward):
                break
            history.nodes.append(view.member.instance)
            attempt = await self._attempt(view, forward)
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
        if now >= get_deadline(forward):
            return False
        if attempt.outcome is AttemptOutcome.UNKNOWN and not forward.idempotent:
            return False
        if not attempt.arrived:
            return True
        if history.arrivals >= route.max_targets:
            return False
        return budget.try_retry(calls_others=attempt.calls_others, now=now)

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
                view.member, expires_at=get_deadline(forward), now=loop.time()
            )
            now = loop.time()
            remaining_s = max(0.0, get_deadline(forward) - now)
            frame = make_forward(forward, remaining_s=remaining_s, stated=view.stated)
            timeout_s = remaining_s + ANSWER_GRACE_S
            forward.is_handed_over = True
            # Work that must not run again is not given up for a silence.
            answer = await peer.query(
                frame, timeout_s=timeout_s, waits_in_silence=not forward.idempotent
            )
            if not isinstance(answer, ForwardReply):
                raise FrameError("the answer is of another kind")
            return read_forward_reply(answer)
        except PeerUnreachableError as error:
            kind = ErrorKind.PEER_UNREACHABLE
            if loop.time() >= get_deadline(forward):
                # The node may be well: the request came late.
                kind = ErrorKind.DEADLINE_BEFORE_RUN
            return Attempt.make_not_run(kind, detail=str(error))
        except PeerLostError as error:
            return Attempt.make_unknown(ErrorKind.PEER_LOST, detail=str(error))
        except FrameError as error:
            return Attempt.make_unknown(ErrorKind.ANSWER_DAMAGED, detail=str(error))

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
