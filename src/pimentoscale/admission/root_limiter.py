"""Limits the concurrency of callers' requests, the roots of trees of calls.

Designed for an overload further down the tree: the slots of another service are all in
use, so the calls that this node's target makes wait or fail. No message from there is
needed, since it shows in the target's own answers: they exceed their objective or are
failures. The limit of a route is cut while too many of its answers are bad, and raised
while few are. The less important a route, the lower the share of bad answers at which
it is cut, so that it frees capacity for the others.

A route may meet its objective long after a more important one, with more calls or a
shorter objective, has begun to miss its own. So nodes announce to each other the
importance of their degraded routes, and for a less important route that has become
slower than its baseline all answers count as bad. A route that is as fast as its
baseline uses no overloaded service and is left alone.

Organisations share the limit of a route. While it is nearly used up, one that has more
than its even part of it leaves the rest to the others, and the less important leave a
part of it to the more important ones. What nobody else uses is there for all.
"""

from dataclasses import dataclass, field

# An answer is good within this part of the objective, for the least and the most
# important of all routes that callers use.
GOOD_RATIO_LEAST_IMPORTANT = 0.8
GOOD_RATIO_MOST_IMPORTANT = 1.0
# The limit is cut above this share of bad answers. It is lower for the least important
# route, so that less important routes yield first, also at other targets.
CUT_SHARE_LEAST_IMPORTANT = 0.2
CUT_SHARE_MOST_IMPORTANT = 0.6
# The limit is raised below this part of the share at which it is cut.
RAISE_RATIO = 0.4
BAD_SHARE_SMOOTHING = 0.05
# A limit that was cut far lets too few answers through to smooth their share. So good
# answers in a row show the end of a shortage that cuts did not help against, once they
# would come with at most this probability if as many as before were still bad.
END_BY_CHANCE = 0.0005
# Cuts did not help if so many answers were still bad after a cut to this part of what
# the limit was before, or to the minimum.
UNHELPED_BAD_SHARE = 0.7
UNHELPED_LIMIT_SHARE = 0.25
# Smoothing of that share of bad answers.
RECENT_BAD_SHARE_SMOOTHING = 0.15
# For at least how long answers are good at the end of a shortage. If the limit had to
# be cut again soon after an end, the shortage goes on, and they must be so for longer.
END_MIN_S = 0.5
SOON_AFTER_END_S = 5.0
END_AFTER_FALSE_END_S = 8.0
CUT_RATIO = 0.85
# A route that yields to a more important one is cut by more.
YIELD_CUT_RATIO = 0.75
# Least time between two cuts: a cut shows in the answers only after that time.
CUT_INTERVAL_S = 0.4
INCREASE_PER_ANSWER = 0.12
# After the end of a shortage, a limit below this part of what it was before the cuts
# grows by a constant ratio. `REGROWTH_TIME_S` is the time of a growth by e.
REGROWTH_SHARE = 0.85
REGROWTH_TIME_S = 0.25
MIN_LIMIT = 2.0
# The limit is higher by this factor for a caller that was refused before.
REFUSED_CALLER_FACTOR = 1.25
# From this part of a limit on, an organisation may use an even part of it only, and
# with less than that it may go beyond the limit by a part: requests come by chance.
SHARED_FROM = 0.85
EVEN_PART_EXCESS = 0.25
# The part of a limit that the least important organisations leave to the others.
RANK_RESERVE = 0.1
# A limit is not raised above this multiple of the running requests or of the capacity.
HEADROOM = 2.0
# A route is degraded above this share of bad answers. Without overload, the longest
# runs alone account for a few per cent.
DEGRADED_SHARE = 0.2
# It must also be above this multiple of the route's usual share: a route that has
# always failed so often is no sign of an overload, and yielding to it helps nobody.
DEGRADED_RATIO = 1.5
# A route is slow from this ratio of its recent to its baseline time. Lower ratios cut
# routes without need in the model in tests/tree_model.py.
SLOW_RATIO = 1.5
RECENT_SMOOTHING = 0.03
# The baseline follows the recent time down faster than up, so that an overload of some
# ten seconds does not become the baseline.
BASELINE_FALL_SMOOTHING = 0.005
BASELINE_RISE_SMOOTHING = 0.001
# For this time an announcement of a degraded route is valid, and a route counts as
# degraded after its last answer: somewhat more than two periods of announcement.
DEGRADED_HOLD_S = 0.6
# Answers from which the baseline of a route is taken before it is used.
MIN_ANSWERS = 40


@dataclass(slots=True, kw_only=True)
class _RouteState:
    # `bad_share` and `usual_bad_share` are the short-term and the long-term share of
    # bad answers, `shortage` the one that sets the limit, and `recent_s` and
    # `baseline_s` those averages of the time of a request.
    limit: float
    running: int = 0
    bad_share: float = 0.0
    shortage: float = 0.0
    usual_bad_share: float = 0.0
    cut_at: float = 0.0
    # The limit before the last series of cuts, and whether that goes on.
    limit_before_cuts: float = 0.0
    is_being_cut: bool = False
    # Whether answers have shown the end of the shortage for which the limit was cut,
    # when they did, and for how long they have to be good for that.
    has_ended: bool = False
    ended_at: float = 0.0
    limit_at_end: float = 0.0
    good_for_s: float = END_MIN_S
    # When the last bad answer was, the share of bad ones until then, and the number of
    # good ones since.
    bad_at: float = 0.0
    bad_share_until_last: float = 0.0
    good_streak: int = 0
    # The share of bad answers with `RECENT_BAD_SHARE_SMOOTHING`.
    recent_bad_share: float = 0.0
    # Running requests of each organisation that has any.
    by_organisation: dict[str, int] = field(default_factory=dict)
    importance: int = 0
    answers: int = 0
    recent_s: float = 0.0
    baseline_s: float = 0.0
    observed_at: float = 0.0

    @property
    def is_slow(self) -> bool:
        """Return whether requests now take much longer than the baseline."""
        return (
            self.answers >= MIN_ANSWERS and self.recent_s > SLOW_RATIO * self.baseline_s
        )

    @property
    def is_degraded(self) -> bool:
        """Return whether far more answers than usual are bad."""
        usual_share = DEGRADED_RATIO * self.usual_bad_share
        return self.bad_share > max(DEGRADED_SHARE, usual_share)

    def get_limit_factor(self, organisation: str) -> float:
        """Return by how much the limit differs for an organisation."""
        own = self.by_organisation.get(organisation, 0)
        users = len(self.by_organisation) + (own == 0)
        if users == 1:
            return 1.0
        has_even_part = own >= max(1.0, self.limit / users)
        return SHARED_FROM if has_even_part else 1 + EVEN_PART_EXCESS

    def add_time(self, elapsed_s: float) -> None:
        """Update the recent and the baseline time from one request."""
        self.answers += 1
        # The first answers have equal weight, so that no single one sets the baseline.
        smoothing = max(RECENT_SMOOTHING, 1 / self.answers)
        self.recent_s += smoothing * (elapsed_s - self.recent_s)
        self.baseline_s = self._update_baseline(self.baseline_s, self.recent_s)

    def add_result(self, *, is_bad: bool, now: float) -> None:
        """Update the recent and the usual share of bad answers."""
        self.bad_share += BAD_SHARE_SMOOTHING * (is_bad - self.bad_share)
        self.shortage += BAD_SHARE_SMOOTHING * (is_bad - self.shortage)
        self.recent_bad_share += RECENT_BAD_SHARE_SMOOTHING * (
            is_bad - self.recent_bad_share
        )
        if is_bad:
            self.good_streak = 0
            self.bad_at = now
            self.bad_share_until_last = self.recent_bad_share
        else:
            self.good_streak += 1
        if self.shortage > 0 and self._shows_end(now):
            self.shortage = 0.0
            self.has_ended = True
            self.ended_at = now
            self.limit_at_end = self.limit
        self.usual_bad_share = self._update_baseline(
            self.usual_bad_share, self.bad_share
        )

    def _shows_end(self, now: float) -> bool:
        """Return whether the good answers in a row show that a shortage has ended."""
        if self.bad_share_until_last < UNHELPED_BAD_SHARE:
            return False
        if self.limit > max(MIN_LIMIT, UNHELPED_LIMIT_SHARE * self.limit_before_cuts):
            return False
        chance = (1 - self.bad_share_until_last) ** self.good_streak
        return chance <= END_BY_CHANCE and now - self.bad_at >= self.good_for_s

    def begin_cuts(self, base: float, now: float) -> None:
        """Note that a series of cuts begins; undo the growth after a false end.

        `base` is the limit from which it is cut.
        """
        self.is_being_cut = True
        self.limit_before_cuts = base
        if not self.has_ended:
            return
        self.has_ended = False
        self.good_for_s = END_MIN_S
        if now - self.ended_at < SOON_AFTER_END_S:
            self.good_for_s = END_AFTER_FALSE_END_S
            self.limit = min(self.limit, self.limit_at_end)

    def _update_baseline(self, baseline: float, recent: float) -> float:
        """Return the new baseline of an average; the first answers set it."""
        if self.answers < MIN_ANSWERS:
            return recent
        falls = recent < baseline
        smoothing = BASELINE_FALL_SMOOTHING if falls else BASELINE_RISE_SMOOTHING
        return baseline + smoothing * (recent - baseline)


class RootRequestLimiter:
    """Limits the concurrency of each route by which callers reach one target.

    `capacity` is the number of requests that the target runs at once.
    """

    __slots__ = ("_capacity", "_degraded_until", "_routes")

    def __init__(self, *, capacity: int) -> None:
        self._capacity = float(capacity)
        self._routes: dict[str, _RouteState] = {}
        self._degraded_until: dict[int, float] = {}

    def set_capacity(self, capacity: int) -> None:
        """Set the number of requests that the target runs at once."""
        self._capacity = float(capacity)

    def try_start(
        self,
        route: str,
        *,
        was_refused: bool = False,
        organisation: str = "",
        rank: float = 1.0,
    ) -> bool:
        """Count a request that starts; return False if the route is at its limit.

        `rank` is 1 for the most important organisations, and for all if there is none.
        """
        state = self._routes.get(route)
        if state is None:
            state = _RouteState(limit=self._capacity * HEADROOM)
            self._routes[route] = state
        limit = state.limit * (REFUSED_CALLER_FACTOR if was_refused else 1.0)
        limit *= 1 - RANK_RESERVE * (1 - rank)
        if organisation:
            limit *= state.get_limit_factor(organisation)
        if state.running >= limit:
            return False
        if organisation:
            own = state.by_organisation.get(organisation, 0)
            state.by_organisation[organisation] = own + 1
        state.running += 1
        return True

    def end(self, route: str, *, organisation: str = "") -> None:
        """Count a request that ends, whatever its outcome."""
        state = self._routes[route]
        state.running -= 1
        if organisation:
            state.by_organisation[organisation] -= 1
            if not state.by_organisation[organisation]:
                del state.by_organisation[organisation]

    def observe(
        self,
        route: str,
        *,
        elapsed_s: float,
        objective_s: float,
        failed: bool,
        rank: float,
        importance: int = 0,
        now: float,
    ) -> bool:
        """Update the limit from an answer; return True if the limit was cut.

        `rank` is 0 for the least and 1 for the most important caller route.
        """
        state = self._routes.get(route)
        if state is None:
            return False
        good_s = objective_s * _interpolate(
            GOOD_RATIO_LEAST_IMPORTANT, GOOD_RATIO_MOST_IMPORTANT, rank
        )
        cut_share = _interpolate(
            CUT_SHARE_LEAST_IMPORTANT, CUT_SHARE_MOST_IMPORTANT, rank
        )
        state.importance = importance
        pause_s = max(0.0, now - state.observed_at)
        state.observed_at = now
        state.add_time(elapsed_s)
        must_yield = state.is_slow and self._must_yield(importance, now)
        is_bad = failed or elapsed_s > good_s or must_yield
        state.add_result(is_bad=is_bad, now=now)
        if state.shortage > cut_share:
            if is_bad and now - state.cut_at >= CUT_INTERVAL_S:
                base = min(state.limit, state.running + 1.0)
                if not state.is_being_cut:
                    state.begin_cuts(base, now)
                ratio = YIELD_CUT_RATIO if must_yield else CUT_RATIO
                state.limit = max(MIN_LIMIT, min(state.limit, base * ratio))
                state.cut_at = now
                return True
        elif state.shortage < RAISE_RATIO * cut_share:
            max_limit = min(
                self._capacity * HEADROOM, HEADROOM * state.running + MIN_LIMIT
            )
            state.is_being_cut = False
            if state.limit < max_limit:
                increase = INCREASE_PER_ANSWER
                regrows_to = REGROWTH_SHARE * state.limit_before_cuts
                if state.has_ended and state.limit < regrows_to:
                    ratio = min(1.0, pause_s / REGROWTH_TIME_S)
                    increase = max(increase, state.limit * ratio)
                state.limit = min(max_limit, state.limit + increase)
        return False

    def get_degraded_importance(self, *, now: float) -> int | None:
        """Return the importance of the most important degraded route, if any."""
        degraded = [
            state.importance
            for state in self._routes.values()
            if state.is_degraded and now - state.observed_at < DEGRADED_HOLD_S
        ]
        return max(degraded, default=None)

    def record_degraded_route(self, importance: int, *, now: float) -> None:
        """Record that a route of this importance is degraded at some target.

        Less important routes that are slow yield to it for `DEGRADED_HOLD_S`.
        """
        self._degraded_until[importance] = now + DEGRADED_HOLD_S

    def _must_yield(self, importance: int, now: float) -> bool:
        """Return whether a more important route is degraded."""
        return any(
            other > importance and now < until
            for other, until in self._degraded_until.items()
        )

    def describe(self, route: str) -> str:
        """Return a route's limit and the measurements behind it, for a log line."""
        state = self._routes[route]
        return (
            f"limit={state.limit:.1f} running={state.running} "
            f"bad_share={state.bad_share:.2f} recent_ms={state.recent_s * 1000:.0f} "
            f"usual_ms={state.baseline_s * 1000:.0f}"
        )

    def get_limit(self, route: str) -> float | None:
        """Return a route's limit, or None if the route has had no request."""
        state = self._routes.get(route)
        return state.limit if state else None


def _interpolate(least: float, most: float, rank: float) -> float:
    return least + (most - least) * rank
