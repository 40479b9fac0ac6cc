"""Limits how many requests of callers start their trees of calls at one target.

Answers this load: a service deeper down is full, so the calls of the own target wait
or fail. That shows in the own target's answers, without any word from below: they take
longer than their objective, or are failures. Each route's concurrency is cut while too
large a part of its answers is bad, and grows again while few are. The less important a
route, the sooner it is cut, so that it makes room for the others.
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
# One cut for each such time, in seconds: a change shows in the answers only after that.
CUT_PAUSE_S = 0.4
GROWTH_PER_ANSWER = 0.12
LEAST_LIMIT = 2.0
# A caller that has been refused before finds so much more room than a new one.
RETURNING_ROOM = 1.25
# A limit that is this many times what is in use stops growing.
HEADROOM = 2.0


@dataclass(slots=True, kw_only=True)
class _RouteLimit:
    limit: float
    running: int = 0
    bad_share: float = 0.0
    cut_at: float = 0.0


class RootLimits:
    """The limits of the routes by which callers reach one target."""

    __slots__ = ("_most", "_routes")

    def __init__(self, *, most: int) -> None:
        self._most = float(most)
        self._routes: dict[str, _RouteLimit] = {}

    def set_most(self, most: int) -> None:
        """Take over how many requests the target takes at once."""
        self._most = float(most)

    def try_start(self, route: str, *, is_returning: bool = False) -> bool:
        """Count one more request; return False if the route has no room."""
        known = self._routes.get(route)
        if known is None:
            known = _RouteLimit(limit=self._most * HEADROOM)
            self._routes[route] = known
        room = known.limit * (RETURNING_ROOM if is_returning else 1.0)
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
        now: float,
    ) -> None:
        """Learn from an answer of the target.

        `rank` is 0 for the least and 1 for the most important of callers' routes.
        """
        known = self._routes.get(route)
        if known is None:
            return
        good_s = objective_s * _interpolate(GOOD_SHARE_LEAST, GOOD_SHARE_MOST, rank)
        cut_share = _interpolate(BAD_SHARE_LEAST, BAD_SHARE_MOST, rank)
        is_bad = failed or elapsed_s > good_s
        known.bad_share += BAD_SMOOTHING * (is_bad - known.bad_share)
        if known.bad_share > cut_share:
            if is_bad and now - known.cut_at >= CUT_PAUSE_S:
                base = min(known.limit, known.running + 1.0)
                known.limit = max(LEAST_LIMIT, base * CUT_RATIO)
                known.cut_at = now
        elif known.bad_share < GROW_PART * cut_share:
            most = min(self._most * HEADROOM, HEADROOM * known.running + LEAST_LIMIT)
            if known.limit < most:
                known.limit = min(most, known.limit + GROWTH_PER_ANSWER)

    def get_limit(self, route: str) -> float | None:
        """Return a route's limit, if it has been used."""
        known = self._routes.get(route)
        return known.limit if known else None


def _interpolate(least: float, most: float, rank: float) -> float:
    return least + (most - least) * rank
