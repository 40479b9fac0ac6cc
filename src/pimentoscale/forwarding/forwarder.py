"""Takes requests and returns the responses to their senders."""

import asyncio
import random

from pimentoscale.errors import CallError, ErrorKind
from pimentoscale.forwarding.attempts import Attempts
from pimentoscale.forwarding.exchange import (
    Attempt,
    AttemptHistory,
    ForwardRequest,
    Messages,
    RequestMetadata,
    Sender,
)
from pimentoscale.forwarding.links import Links
from pimentoscale.forwarding.origins import OriginTracker
from pimentoscale.forwarding.placement import Placement
from pimentoscale.forwarding.responses import ResponseBuilder
from pimentoscale.forwarding.state import SidecarState
from pimentoscale.forwarding.target import LocalTarget
from pimentoscale.forwarding.views import NodeViews
from pimentoscale.http import HttpRequest, HttpResponse, drop_connection_headers
from pimentoscale.limits import QuotaGate
from pimentoscale.organisations import ANONYMOUS, Access, Organisation
from pimentoscale.routes import Route, RouteTable, WeightedRoundRobin
from pimentoscale.suspension import read_boot_time, read_suspended_s

# Calls of the local target that come when callers are refused already must be expected
# to end in this multiple of the average time of their route.
LATE_RUN_TIME_FACTOR = 2.0
# A call expires with the request for which the local target makes it. On its way to
# this node it may be late by this much.
CALL_DELAY_S = 0.5
# Time left that is assumed if the sender states none.
DEFAULT_REMAINING_S = 60.0


class Forwarder:
    """Takes each request, has it attempted, and builds the response."""

    def __init__(
        self,
        *,
        state: SidecarState,
        messages: Messages,
        target: LocalTarget,
        links: Links,
        views: NodeViews,
        gate: QuotaGate,
        rng: random.Random,
        now: float,
    ) -> None:
        self._state = state
        self._gate = gate
        self._messages = messages
        self._target = target
        self._views = views
        self._rng = rng
        self.placement = Placement(rng=rng)
        self._attempts = Attempts(
            state=state,
            target=target,
            links=links,
            views=views,
            placement=self.placement,
        )
        self._responses = ResponseBuilder(state=state, rng=rng)
        self._service_splits: dict[str, WeightedRoundRobin] = {}
        self.origins = OriginTracker(now=now)
        self._importance_range = (0, 0)
        # Version of the routes and number of caller routes at the last update.
        self._importance_range_key = (0, 0)
        self.in_progress = 0
        # Those that the local target sent while it runs others.
        self.calls_in_progress = 0

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request, from a target or for an error."""
        self.in_progress += 1
        is_call = self.origins.is_call_connection(request.connection_id)
        self.calls_in_progress += is_call
        try:
            return await self._handle(request)
        finally:
            self.in_progress -= 1
            self.calls_in_progress -= is_call

    def may_run_ahead(self, request: HttpRequest) -> bool:
        """Return whether a request may run before earlier ones have been answered."""
        table = self._state.table
        metadata = self._messages.read_metadata(request)
        if table is None or metadata is None:
            return False
        path = request.path.partition(b"?")[0].decode("latin-1")
        route = table.find(host=metadata.host, path=path)
        return route is not None and route.idempotent

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
        return await self._serve(request, metadata, route, table, now=now)

    async def _serve(
        self,
        request: HttpRequest,
        metadata: RequestMetadata,
        route: Route,
        table: RouteTable,
        *,
        now: float,
    ) -> HttpResponse:
        """Return the response to a request on a route."""
        self.origins.record_request(
            connection=request.connection_id,
            route=route.name,
            target_idle_s=self._target.get_idle_s(now=now),
            now=now,
            has_key=metadata.key is not None
            and table.organisations is not None
            and not route.is_public,
        )
        if not route.is_readable:
            error = CallError(kind=ErrorKind.ROUTE_UNREADABLE)
            return self._responses.build_error(error, metadata.identity, route.name)
        access = self._check_access(request, metadata, route, table)
        if access.error is not None:
            return self._responses.build_error(
                access.error, metadata.identity, route.name
            )
        organisation = access.organisation
        forward = self._make_forward(request, metadata, route, organisation, now)
        expires_at = now + _get_remaining_s(metadata)
        refusal = None
        if not self._may_take(forward, expires_at=expires_at, now=now):
            refusal = CallError(kind=ErrorKind.DRAINING, detail="the node stops")
        elif organisation is not None:
            refusal = self._gate.admit(organisation, now=now)
        if refusal is not None:
            return self._responses.build_error(
                refusal,
                forward.identity,
                forward.route,
                organisation=forward.organisation,
            )
        history = AttemptHistory()
        try:
            async with self._state.time_limits.limit():
                await self._attempts.run(forward, route, history)
        except TimeoutError:
            history.add(Attempt.make_interrupted(forward, detail="the node stops"))
        if organisation is not None and not history.may_have_run:
            self._gate.take_back(organisation)
        has_targets = bool(self._views.list(forward.service))
        return self._responses.build(
            forward,
            history,
            has_targets=has_targets,
            started=now,
            now=asyncio.get_running_loop().time(),
        )

    def _check_access(
        self,
        request: HttpRequest,
        metadata: RequestMetadata,
        route: Route,
        table: RouteTable,
    ) -> Access:
        """Return the organisation of a request, or why it may not run."""
        if table.organisations is None:
            return ANONYMOUS
        return self._state.access.check(
            table.organisations,
            metadata.key,
            is_public=route.is_public,
            is_call=self.origins.may_be_call(
                connection=request.connection_id, route=route.name
            ),
            now=read_boot_time(),
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
        expected_s = self.placement.averages.get_run_ms(route=forward.route) / 1000
        if self._state.refuses_callers:
            may_be_call = expires_at <= self._target.last_deadline + CALL_DELAY_S
            if not (forward.is_inner or may_be_call):
                return False
            expected_s *= LATE_RUN_TIME_FACTOR
        return shutdown.may_take(expected_s=expected_s, now=now)

    def _make_forward(
        self,
        request: HttpRequest,
        metadata: RequestMetadata,
        route: Route,
        organisation: Organisation | None,
        now: float,
    ) -> ForwardRequest:
        remaining_s = _get_remaining_s(metadata)
        headers = drop_connection_headers(request.headers)
        upstream = self._target.registration.current
        # The settings go first: an announcement may come from another writer.
        own_service = self._state.settings.upstream_service
        if not own_service and upstream is not None:
            own_service = upstream.service
        name = organisation.name if organisation is not None else ""
        table = self._state.table
        registry = table.organisations if table is not None else None
        rank = registry.get_rank(organisation) if registry is not None else 0
        sender = Sender(organisation=name, hides_key=registry is not None)
        message = HttpRequest(
            method=request.method,
            path=request.path,
            encoded_headers=self._messages.encode_request_headers(
                headers, service=own_service, sender=sender
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
            organisation=name,
            organisation_rank=rank,
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

    def apply_settings(self) -> None:
        """Apply the limits of retries for the settings and members in force."""
        self._attempts.apply_settings()


def _get_remaining_s(metadata: RequestMetadata) -> float:
    """Return how long the sender waits; long if it does not state it."""
    remaining_s = metadata.remaining_s
    return DEFAULT_REMAINING_S if remaining_s is None else remaining_s


__all__ = ["Forwarder"]
