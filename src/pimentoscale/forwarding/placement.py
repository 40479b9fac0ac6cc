"""Chooses the node at whose target a request is to run.

Answers these loads: targets of one service that differ in speed, a target that slows
down, a zone whose targets are full while another's have room. The own zone goes first,
since bytes between zones cost; it is left only when the answer would come later there
by more than a part of the request's objective, a larger part the more bytes it moves.
"""

import math
import random
from collections.abc import Container, Iterable
from dataclasses import dataclass, field

import msgspec

from pimentoscale.admission import Load
from pimentoscale.membership import Member

# A node in another zone must be quicker by this part of the request's objective, and
# by the whole objective more for so many bytes of the request and its answer.
ZONE_PENALTY_SHARE = 0.4
ZONE_BYTES_PER_OBJECTIVE = 10_000.0
# A report of load is worth half after this time.
LOAD_HALF_LIFE_S = 0.5
# What is known of a target's run times fades to the usual time in this half-life, so
# that a target which was slow is tried again.
RUN_HALF_LIFE_S = 3.0
RUN_SMOOTHING = 0.2
USUAL_SMOOTHING = 0.05
# After a failed connection a target is left out for this time, doubled up to the
# greatest while it goes on.
AVOID_MIN_S = 0.1
AVOID_MAX_S = 2.0
# Added for a target that has just shed: it is used only where there is no other that
# works. A request that it sheds has not run, so one that has no other is offered there.
SHED_PENALTY_MS = 20_000.0
# Added for a node that is about to stop: it is used only where there is no other.
STOPPING_PENALTY_MS = 60_000.0
# A refusal of a route holds for so long: a refusal that is known costs no hop.
REFUSED_PAUSE_S = 0.05
# While the answer is to be expected within this part of its objective, the own zone is
# not left even if another would be quicker.
STAY_SHARE = 0.6
# A target counts as at most so many times slower than usual; what it can't keep up with
# shows in its queue.
MOST_RUNS = 3.0
# Run time assumed of a route that no target has answered yet.
DEFAULT_RUN_MS = 20.0


@dataclass(slots=True, kw_only=True)
class RunTime:
    """A smoothed run time of one route."""

    value_ms: float
    at: float


@dataclass(slots=True, kw_only=True, eq=False)
class NodeView:
    """A node and its target as seen from here.

    `out` counts the requests sent there that have no answer yet; `is_stopping` tells
    that the node itself is about to stop.
    """

    member: Member
    is_own: bool = False
    out: int = 0
    load: Load | None = None
    load_at: float = 0.0
    avoid_until: float = 0.0
    shed_until: float = 0.0
    failures: int = 0
    is_stopping: bool = False
    runs: dict[str, RunTime] = field(default_factory=dict)
    refused_until: dict[str, float] = field(default_factory=dict)

    def note_load(self, load: Load, *, now: float) -> None:
        """Take the target's own report."""
        self.load = load
        self.load_at = now

    def note_run(self, *, route: str, run_ms: float, now: float) -> None:
        """Learn from an answer how long the target takes for a route."""
        self.failures = 0
        self.avoid_until = 0.0
        self.shed_until = 0.0
        known = self.runs.get(route)
        if known is None:
            self.runs[route] = RunTime(value_ms=run_ms, at=now)
            return
        known.value_ms += RUN_SMOOTHING * (run_ms - known.value_ms)
        known.at = now

    def note_refusal(self, *, route: str, now: float) -> None:
        """Send no caller's request of a route there for a moment: it has no room."""
        self.refused_until[route] = now + REFUSED_PAUSE_S

    def note_unreachable(self, *, now: float) -> None:
        """Leave the target out for a while."""
        self.avoid_until = now + self._find_pause_s()

    def note_shed(self, *, now: float) -> None:
        """Use the target only where there is no other, for a while."""
        self.shed_until = now + self._find_pause_s()

    def _find_pause_s(self) -> float:
        """Return how long to stay away; each failure in a row doubles it."""
        pause_s = min(AVOID_MAX_S, AVOID_MIN_S * 2.0**self.failures)
        self.failures += 1
        return pause_s

    def estimate_busy(self, *, now: float) -> float:
        """Return how many requests are at the target, queued ones too."""
        if self.load is None:
            return float(self.out)
        fade = math.exp2((self.load_at - now) / LOAD_HALF_LIFE_S)
        return max(float(self.out), self.load.in_flight * fade)

    def get_limit(self) -> int:
        """Return how many requests the target takes at once."""
        return max(1, self.load.limit if self.load else self.member.slots)


class UsualRuns:
    """The usual run time and bytes of each route, over all targets."""

    __slots__ = ("_bytes", "_runs")

    def __init__(self) -> None:
        self._runs: dict[str, float] = {}
        self._bytes: dict[str, float] = {}

    def note(self, *, route: str, run_ms: float, size: int = 0) -> None:
        """Learn from one answer; `size` is in bytes, of request and answer."""
        known = self._runs.get(route, run_ms)
        self._runs[route] = known + USUAL_SMOOTHING * (run_ms - known)
        moved = self._bytes.get(route, float(size))
        self._bytes[route] = moved + USUAL_SMOOTHING * (size - moved)

    def get_bytes(self, *, route: str) -> float:
        """Return the usual bytes of a request and its answer."""
        return self._bytes.get(route, 0.0)

    def get(self, *, route: str) -> float:
        """Return the usual time in milliseconds."""
        return self._runs.get(route, DEFAULT_RUN_MS)


class PlacementRequest(msgspec.Struct, kw_only=True, frozen=True):
    """What a choice depends on."""

    route: str
    zone: str
    objective_s: float
    is_inner: bool = False


class Placement:
    """Chooses by the time at which the answer is to be expected."""

    __slots__ = ("_source", "usual")

    def __init__(self, *, source: random.Random) -> None:
        self._source = source
        self.usual = UsualRuns()

    def choose(
        self,
        views: Iterable[NodeView],
        request: PlacementRequest,
        *,
        tried: Container[str],
        now: float,
    ) -> NodeView | None:
        """Return the node to send to, or None if each was tried or is left out."""
        best: NodeView | None = None
        least = math.inf
        for view in views:
            if view.member.instance in tried or now < view.avoid_until:
                continue
            refused_until = view.refused_until.get(request.route, 0.0)
            if now < refused_until and not request.is_inner:
                continue
            cost = self.estimate_ms(view, request, now=now)
            cost *= 1 + 0.02 * self._source.random()
            if cost < least:
                best, least = view, cost
        return best

    def estimate_ms(
        self, view: NodeView, request: PlacementRequest, *, now: float
    ) -> float:
        """Return the expected time to the answer, with the penalty of leaving."""
        usual_ms = self.usual.get(route=request.route)
        run_ms = usual_ms
        known = view.runs.get(request.route)
        if known is not None:
            fade = math.exp2((known.at - now) / RUN_HALF_LIFE_S)
            # What slows all targets, as a service below them, is no reason to move.
            excess_ms = min(known.value_ms, MOST_RUNS * usual_ms) - usual_ms
            run_ms += excess_ms * fade
        limit = view.get_limit()
        ahead = view.estimate_busy(now=now) + 1 - limit
        queue_ms = 0.0
        if ahead > 0:
            queue_ms = ahead * run_ms / limit
        if view.load is not None:
            fade = math.exp2((view.load_at - now) / LOAD_HALF_LIFE_S)
            queue_ms = max(queue_ms, view.load.queue_ms * fade)
        penalty_ms = 0.0
        stay_ms = 1000 * STAY_SHARE * request.objective_s
        if view.member.zone != request.zone:
            moved = self.usual.get_bytes(route=request.route)
            share = ZONE_PENALTY_SHARE + moved / ZONE_BYTES_PER_OBJECTIVE
            penalty_ms = 1000 * share * request.objective_s
            # The own zone is preferred outright while it is quick enough.
            penalty_ms = max(penalty_ms, stay_ms - run_ms - queue_ms)
        if view.is_stopping:
            penalty_ms += STOPPING_PENALTY_MS
        if now < view.shed_until:
            penalty_ms += SHED_PENALTY_MS
        return run_ms + queue_ms + penalty_ms
