"""Chooses the node whose target is to run a request.

It handles targets of one service that differ in speed, a target that slows down, and
a zone whose targets are full while another zone has capacity. This node's zone comes
first, since bytes between zones cost. Another zone is used only if the response is
expected to be earlier there by more than a share of the request's objective; the more
bytes the request moves, the larger that share.

Many nodes choose among the same targets by loads that are a moment old. If each took
the best of all, all would take the same one, so each compares only a few that it draws
anew for each request. That also bounds the work of a choice in a service of any size.
"""

import math
import random
from collections.abc import Container, Iterator, Sequence
from dataclasses import dataclass, field

import msgspec

from pimentoscale.admission import Load, SlowdownSlope, decay_slowdown
from pimentoscale.forwarding.exchange import StatedCondition
from pimentoscale.membership import Member

# A node in another zone must be faster by this share of the request's objective, plus
# one whole objective for each `ZONE_BYTES_PER_OBJECTIVE` bytes of the request and its
# response.
ZONE_PENALTY_SHARE = 0.4
ZONE_BYTES_PER_OBJECTIVE = 10_000.0
# Eligible targets that one choice compares, in this node's zone and in the others.
# With two, slow targets get more requests than they should; with more, nodes choose
# alike.
SAMPLE_SIZE = 3
# A target whose slots are all in use costs this share of a run more than an idle one,
# so that requests spread before queues form.
USAGE_COST_SHARE = 0.5
# The weight of a load report halves in this time.
LOAD_HALF_LIFE_S = 0.5
# The same for a report of the queue at a target that states a rate limit.
RATE_HALF_LIFE_S = 4.0
# A target's measured run time decays to the route's average with this half-life, so
# that a target which was slow gets requests again.
RUN_HALF_LIFE_S = 3.0
RUN_SMOOTHING = 0.2
AVERAGE_SMOOTHING = 0.05
# After a failed connection a target is ejected for the minimum; each further failure
# in a row doubles the time, up to the maximum. After a shed request the same times
# bound the use of `SHED_PENALTY_MS`.
EJECTION_MIN_S = 0.1
EJECTION_MAX_S = 2.0
# Added for a target that has just shed a request, so that it is used only where no
# other target works. A request that it sheds has not run, so one that has no other
# target is still offered there.
SHED_PENALTY_MS = 20_000.0
# Added for a node that is about to stop, so that it is used only where there is no
# other.
DRAINING_PENALTY_MS = 60_000.0
# A node that refused a caller's request of a route gets no other one for this time: a
# refusal that can be predicted should cost no hop.
REFUSAL_HOLD_S = 0.05
# While a response is expected within this share of its objective, this node's zone
# is kept even if another would be faster.
OWN_ZONE_SHARE = 0.6
# A target counts as at most this many times slower than the average: work that it
# can't keep up with already shows in its queue.
MAX_SLOWDOWN = 3.0
# Zone of a request that was refused for lack of room: its next attempt may go anywhere,
# since the targets of its own zone may all be full while others are not.
ANY_ZONE = ""
# Assumed run time of a route that no target has answered yet.
DEFAULT_RUN_MS = 20.0


@dataclass(slots=True, kw_only=True)
class RunTime:
    """The moving average of one route's run time at one target."""

    value_ms: float
    updated_at: float


@dataclass(slots=True, kw_only=True, eq=False)
class NodeView:
    """A node, possibly this one, and its target as observed by this node.

    `outstanding` counts the requests sent there that have no response yet. `load` is
    the target's last load report, received at `load_at`. `failures` counts failures
    in a row. `is_draining` tells that the node itself is about to stop. `refused_until`
    holds, by route, until when callers' requests are not sent there after a refusal.
    `stated` is what the target states about its condition, None without a limit.
    """

    member: Member
    is_own: bool = False
    outstanding: int = 0
    load: Load | None = None
    load_at: float = 0.0
    ejected_until: float = 0.0
    shedding_until: float = 0.0
    failures: int = 0
    is_draining: bool = False
    run_times: dict[str, RunTime] = field(default_factory=dict)
    refused_until: dict[str, float] = field(default_factory=dict)
    stated: StatedCondition | None = None

    def update_load(self, load: Load, *, now: float) -> None:
        """Store the target's own load report."""
        self.load = load
        self.load_at = now

    def record_run(self, *, route: str, run_ms: float, now: float) -> None:
        """Add the run time of a response to the target's average for its route."""
        self.failures = 0
        self.ejected_until = 0.0
        self.shedding_until = 0.0
        run_time = self.run_times.get(route)
        if run_time is None:
            self.run_times[route] = RunTime(value_ms=run_ms, updated_at=now)
            return
        run_time.value_ms += RUN_SMOOTHING * (run_ms - run_time.value_ms)
        run_time.updated_at = now

    def record_refusal(self, *, route: str, now: float) -> None:
        """Exclude the node for callers' requests of a route for `REFUSAL_HOLD_S`."""
        self.refused_until[route] = now + REFUSAL_HOLD_S

    def eject(self, *, now: float) -> None:
        """Exclude the target from the choice until its back-off has passed."""
        self.ejected_until = now + self._advance_backoff()

    def record_shed(self, *, now: float) -> None:
        """Use the target only as a last resort until its back-off has passed."""
        self.shedding_until = now + self._advance_backoff()

    def _advance_backoff(self) -> float:
        """Count a failure and return its back-off, doubled by each one in a row."""
        backoff_s = min(EJECTION_MAX_S, EJECTION_MIN_S * 2.0**self.failures)
        self.failures += 1
        return backoff_s

    def estimate_in_flight(self, *, now: float) -> float:
        """Return how many requests the target has, queued ones included."""
        if self.load is None or self.load.in_flight <= self.outstanding:
            return float(self.outstanding)
        decay = math.exp2((self.load_at - now) / LOAD_HALF_LIFE_S)
        return max(float(self.outstanding), self.load.in_flight * decay)

    def estimate_queue_ms(self, *, now: float) -> float:
        """Return how long a request waits in the target's queue, as it last reported.

        The queue of a target that states a rate limit stays as long as callers ask for
        more than the limit, however long ago this node heard of it.
        """
        if self.load is None or self.load.queue_ms == 0:
            return 0.0
        is_limited = self.stated is not None and self.stated.rate_limit is not None
        half_life_s = RATE_HALF_LIFE_S if is_limited else LOAD_HALF_LIFE_S
        return self.load.queue_ms * math.exp2((self.load_at - now) / half_life_s)

    def estimate_slowdown(self, *, now: float) -> float:
        """Return how slow the target's work is now; 0 if it does not tell."""
        if self.load is None:
            return 0.0
        return decay_slowdown(self.load.slowdown, age_s=now - self.load_at)

    def get_limit(self) -> int:
        """Return how many requests the target runs at once."""
        return max(1, self.load.limit if self.load else self.member.slots)


class RouteAverages:
    """Moving averages of the run time and bytes of each route, over all targets."""

    __slots__ = ("_bytes", "_run_ms", "_slopes")

    def __init__(self) -> None:
        self._run_ms: dict[str, float] = {}
        self._bytes: dict[str, float] = {}
        self._slopes: dict[str, SlowdownSlope] = {}

    def record(
        self, *, route: str, run_ms: float, size: int = 0, slowdown: float = 0.0
    ) -> None:
        """Add one response; `size` is in bytes, of the request and the response.

        `slowdown` is the one that the target told with it, 0 if it told none.
        """
        if slowdown > 0:
            slope = self._slopes.setdefault(route, SlowdownSlope())
            slope.record(run_ms=run_ms, slowdown=slowdown)
        average_ms = self._run_ms.get(route, run_ms)
        self._run_ms[route] = average_ms + AVERAGE_SMOOTHING * (run_ms - average_ms)
        average_bytes = self._bytes.get(route, float(size))
        self._bytes[route] = average_bytes + AVERAGE_SMOOTHING * (size - average_bytes)

    def get_bytes(self, *, route: str) -> float:
        """Return the average bytes of a request and its response."""
        return self._bytes.get(route, 0.0)

    def find_slope(self, *, route: str) -> SlowdownSlope | None:
        """Return the relation of run time to slowdown, None before one was told."""
        return self._slopes.get(route)

    def estimate_excess_ms(self, *, route: str, slowdown: float) -> float:
        """Return by how much a run at a slowdown differs from the average run."""
        slope = self._slopes.get(route)
        return slope.estimate_excess_ms(slowdown) if slope else 0.0

    def get_run_ms(self, *, route: str) -> float:
        """Return the average run time in milliseconds."""
        return self._run_ms.get(route, DEFAULT_RUN_MS)


class PlacementRequest(msgspec.Struct, kw_only=True, frozen=True):
    """The properties of a request on which the choice of a node depends.

    `zone` is the one to prefer, or `ANY_ZONE`.
    """

    route: str
    zone: str
    objective_s: float
    is_inner: bool = False


class Placement:
    """Chooses the node with the least expected time to the response."""

    __slots__ = ("_rng", "averages")

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self.averages = RouteAverages()

    def choose(
        self,
        views: Sequence[NodeView],
        request: PlacementRequest,
        *,
        attempted: Container[str],
        now: float,
    ) -> NodeView | None:
        """Return the node to send to, or None if no node is eligible.

        A node is not eligible if it was attempted before, is ejected, or has just
        refused a caller's request of the route.
        """
        best: NodeView | None = None
        least = math.inf
        estimate = self._make_estimate(request)
        for view in self._draw(views, request, attempted=attempted, now=now):
            cost = estimate.estimate_ms(view, now=now)
            # Nodes that cost about the same are chosen at random.
            cost *= 1 + 0.02 * self._rng.random()
            if cost < least:
                best, least = view, cost
        return best

    def estimate_ms(
        self, view: NodeView, request: PlacementRequest, *, now: float
    ) -> float:
        """Return the expected time to a node's response, penalties included."""
        return self._make_estimate(request).estimate_ms(view, now=now)

    def _draw(
        self,
        views: Sequence[NodeView],
        request: PlacementRequest,
        *,
        attempted: Container[str],
        now: float,
    ) -> Iterator[NodeView]:
        """Yield up to `SAMPLE_SIZE` eligible nodes of this zone and as many others.

        The views are in random order, so that a run of them from a random start on is
        a random sample.
        """
        start = self._rng.randrange(len(views)) if views else 0
        near, far = SAMPLE_SIZE, SAMPLE_SIZE
        for index in range(start, start + len(views)):
            view = views[index - len(views)]
            is_near = view.member.zone == request.zone
            if (near if is_near else far) == 0:
                continue
            if view.member.instance in attempted or now < view.ejected_until:
                continue
            if not request.is_inner and now < view.refused_until.get(request.route, 0):
                continue
            yield view
            near, far = near - is_near, far - (not is_near)
            if near == 0 and far == 0:
                return

    def _make_estimate(self, request: PlacementRequest) -> "_RouteEstimate":
        """Return what the estimates of all nodes for a request have in common."""
        moved_bytes = self.averages.get_bytes(route=request.route)
        share = ZONE_PENALTY_SHARE + moved_bytes / ZONE_BYTES_PER_OBJECTIVE
        return _RouteEstimate(
            route=request.route,
            zone=request.zone,
            average_ms=self.averages.get_run_ms(route=request.route),
            slope=self.averages.find_slope(route=request.route),
            own_zone_ms=1000 * OWN_ZONE_SHARE * request.objective_s,
            zone_penalty_ms=1000 * share * request.objective_s,
        )


class _RouteEstimate:
    """Estimates for one request how soon each node responds.

    It holds what does not depend on the node, so that it is computed once a choice.
    `slope` is None while no target of the route has told a slowdown.
    """

    __slots__ = (
        "_average_ms",
        "_own_zone_ms",
        "_route",
        "_slope",
        "_zone",
        "_zone_penalty_ms",
    )

    def __init__(
        self,
        *,
        route: str,
        zone: str,
        average_ms: float,
        slope: SlowdownSlope | None,
        own_zone_ms: float,
        zone_penalty_ms: float,
    ) -> None:
        self._route = route
        self._zone = zone
        self._average_ms = average_ms
        self._slope = slope
        self._own_zone_ms = own_zone_ms
        self._zone_penalty_ms = zone_penalty_ms

    def estimate_ms(self, view: NodeView, *, now: float) -> float:
        """Return the expected time to the response, penalties included."""
        run_ms = self._estimate_run_ms(view, now)
        usage = (view.estimate_in_flight(now=now) + 1) / view.get_limit()
        queue_ms = view.estimate_queue_ms(now=now)
        if usage > 1:
            queue_ms = max(queue_ms, (usage - 1) * run_ms)
            usage = 1.0
        cost_ms = run_ms + USAGE_COST_SHARE * usage**2 * run_ms + queue_ms
        if view.member.zone != self._zone:
            # The cost is at least `own_zone_ms`, so that this node's zone is kept while
            # it is expected to respond within that.
            least_ms = self._own_zone_ms - run_ms - queue_ms
            cost_ms += max(self._zone_penalty_ms, least_ms)
        if view.is_draining:
            cost_ms += DRAINING_PENALTY_MS
        if now < view.shedding_until:
            cost_ms += SHED_PENALTY_MS
        return cost_ms

    def _estimate_run_ms(self, view: NodeView, now: float) -> float:
        """Return the expected run time at a node's target."""
        run_ms = self._average_ms
        run_time = view.run_times.get(self._route)
        if run_time is not None:
            decay = math.exp2((run_time.updated_at - now) / RUN_HALF_LIFE_S)
            # Measured against the average of all targets: if all of them are slowed
            # down, as by a service that they call, another target is no better.
            most_ms = MAX_SLOWDOWN * self._average_ms
            run_ms += (min(run_time.value_ms, most_ms) - self._average_ms) * decay
        if self._slope is not None:
            slowdown = view.estimate_slowdown(now=now)
            run_ms += self._slope.estimate_excess_ms(slowdown)
        return max(0.0, run_ms)
