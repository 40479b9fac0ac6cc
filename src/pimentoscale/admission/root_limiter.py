"""Limits how many requests of callers start their trees of calls at one target.

Answers this load: a service deeper down is full, so the calls of the own target wait
or fail. That shows in the own target's answers, without any word from below: they take
longer than their objective, or are failures. Each route's concurrency is cut while too
large a part of its answers is bad, and grows again while few are. The less important a
route, the sooner it is cut, so that it makes room for the others.

A route may keep to its objective long after a more important one, with more calls or
less time, has begun to fail. So nodes tell each other the importance of routes that are
strained, and a less important route that has itself become slower than usual is cut as
if its answers were bad. One that is as quick as usual uses nothing that is full.
"""

from dataclasses import dataclass

# Part of the objective within which an answer is good, for the least and the most
# important of all routes that callers use.
GOOD_SHARE_LEAST = 0.8
GOOD_SHARE_MOST = 1.0
# The limit is cut above this share of bad answers, for the least and the most important
# route: what is less important makes room first, also at other targets. It grows again
# below a part of that share.
BAD_SHARE_LEAST = 0.2
BAD_SHARE_MOST = 0.6
GROW_PART = 0.4
BAD_SMOOTHING = 0.05
CUT_RATIO = 0.85
# A route that makes room for a more important one is cut by more.
PRESSED_CUT_RATIO = 0.75
# One cut for each such time, in seconds: a change shows in the answers only after that.
CUT_PAUSE_S = 0.4
GROWTH_PER_ANSWER = 0.12
LEAST_LIMIT = 2.0
# A caller that has been refused before finds so much more room than a new one.
RETURNING_ROOM = 1.25
# A limit that is this many times what is in use stops growing.
HEADROOM = 2.0
# A route is strained above this share of bad answers; in calm times the longest runs
# alone make some hundredths.
STRAINED_SHARE = 0.2
# A route is slower than usual from this ratio of its recent to its usual time on;
# from the model in tests/tree_model.py, in which lower ratios cut routes for nothing.
SLOWER_RATIO = 1.5
TIME_SMOOTHING = 0.03
# The usual time follows the recent one down faster than up, so that an overload of some
# ten seconds is not taken for usual.
USUAL_FALL = 0.005
USUAL_RISE = 0.001
# What is said of strain holds for so long, in seconds: twice the period of saying it.
PRESSURE_HOLD_S = 0.6
# Answers that a route's usual time is taken from before it is used.
LEAST_ANSWERS = 40


@dataclass(slots=True, kw_only=True)
class _RouteLimit:
    limit: float
    running: int = 0
    bad_share: float = 0.0
    cut_at: float = 0.0
    importance: int = 0
    answers: int = 0
    recent_s: float = 0.0
    usual_s: float = 0.0
    observed_at: float = 0.0

    @property
    def is_slower(self) -> bool:
        """Tell whether the route takes longer than usual."""
        return (
            self.answers >= LEAST_ANSWERS
            and self.recent_s > SLOWER_RATIO * self.usual_s
        )

    def note_time(self, elapsed_s: float) -> None:
        """Learn from the time that a request took."""
        self.answers += 1
        # The first answers count alike, so that no single one is taken for usual.
        smoothing = max(TIME_SMOOTHING, 1 / self.answers)
        self.recent_s += smoothing * (elapsed_s - self.recent_s)
        if self.answers < LEAST_ANSWERS:
            self.usual_s = self.recent_s
            return
        gain = USUAL_FALL if self.recent_s < self.usual_s else USUAL_RISE
        self.usual_s += gain * (self.recent_s - self.usual_s)


class RootRequestLimiter:
    """The limits of the routes by which callers reach one target."""

    __slots__ = ("_capacity", "_pressed_until", "_routes")

    def __init__(self, *, capacity: int) -> None:
        self._capacity = float(capacity)
        self._routes: dict[str, _RouteLimit] = {}
        self._pressed_until: dict[int, float] = {}

    def set_capacity(self, capacity: int) -> None:
        """Take over how many requests the target takes at once."""
        self._capacity = float(capacity)

    def try_start(self, route: str, *, was_refused: bool = False) -> bool:
        """Count one more request; return False if the route has no room."""
        known = self._routes.get(route)
        if known is None:
            known = _RouteLimit(limit=self._capacity * HEADROOM)
            self._routes[route] = known
        room = known.limit * (RETURNING_ROOM if was_refused else 1.0)
        if known.running >= room:
            return False
        known.running += 1
        return True

    def end(self, route: str) -> None:
        """Count a request that has ended, whatever became of it."""
        self._routes[route].running -= 1

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
        """Learn from an answer of the target; return True if the limit was cut.

        `rank` is 0 for the least and 1 for the most important of callers' routes.
        """
        known = self._routes.get(route)
        if known is None:
            return False
        good_s = objective_s * _interpolate(GOOD_SHARE_LEAST, GOOD_SHARE_MOST, rank)
        cut_share = _interpolate(BAD_SHARE_LEAST, BAD_SHARE_MOST, rank)
        known.importance = importance
        known.observed_at = now
        known.note_time(elapsed_s)
        is_pressed = known.is_slower and self._is_pressed(importance, now)
        is_bad = failed or elapsed_s > good_s or is_pressed
        known.bad_share += BAD_SMOOTHING * (is_bad - known.bad_share)
        if known.bad_share > cut_share:
            if is_bad and now - known.cut_at >= CUT_PAUSE_S:
                base = min(known.limit, known.running + 1.0)
                ratio = PRESSED_CUT_RATIO if is_pressed else CUT_RATIO
                known.limit = max(LEAST_LIMIT, base * ratio)
                known.cut_at = now
                return True
        elif known.bad_share < GROW_PART * cut_share:
            most = min(
                self._capacity * HEADROOM, HEADROOM * known.running + LEAST_LIMIT
            )
            if known.limit < most:
                known.limit = min(most, known.limit + GROWTH_PER_ANSWER)
        return False

    def get_degraded_importance(self, *, now: float) -> int | None:
        """Return the greatest importance of a route that fails as others take room."""
        strained = [
            known.importance
            for known in self._routes.values()
            if known.bad_share > STRAINED_SHARE
            and now - known.observed_at < PRESSURE_HOLD_S
        ]
        return max(strained, default=None)

    def note_degraded_route(self, importance: int, *, now: float) -> None:
        """Take note that a route of this importance is strained at some target."""
        self._pressed_until[importance] = now + PRESSURE_HOLD_S

    def _is_pressed(self, importance: int, now: float) -> bool:
        """Tell whether a more important route is strained."""
        return any(
            other > importance and now < until
            for other, until in self._pressed_until.items()
        )

    def describe(self, route: str) -> str:
        """Return what a route's limit is based on, for a log line."""
        known = self._routes[route]
        return (
            f"limit={known.limit:.1f} running={known.running} "
            f"bad_share={known.bad_share:.2f} recent_ms={known.recent_s * 1000:.0f} "
            f"usual_ms={known.usual_s * 1000:.0f}"
        )

    def get_limit(self, route: str) -> float | None:
        """Return a route's limit, if it has been used."""
        known = self._routes.get(route)
        return known.limit if known else None


def _interpolate(least: float, most: float, rank: float) -> float:
    return least + (most - least) * rank
