"""Tells the requests of callers from the calls of the own target.

Both come to the same address, and nothing in a request says which it is. But a
connection is used by one side only, and while the own target runs nothing it calls
nobody: what arrives then comes from a caller. So connections and routes are found to
be callers'. Nodes tell each other the routes that they have found out; a route that has
been seen often and that no node has found to be callers' is one of targets' calls.

A caller that came back after a refusal has less time left than one that is new.
"""

from collections.abc import Callable, Iterable

# Sightings after which a route that was never found to be callers' is of targets'
# calls.
INNER_SIGHTINGS = 30
# The target must have run nothing for so long: its last calls may still be on the way.
IDLE_S = 0.1
# After a start the target may still run what an earlier process handed to it.
START_S = 3.0
# A caller that has less than this part of the time of a new one has come back.
RETURNING_SHARE = 0.97


class OriginTracker:
    """What is known of connections and routes at this node."""

    __slots__ = (
        "_callers_routes",
        "_longest_s",
        "_proven",
        "_sightings",
        "_started",
        "on_found",
    )

    def __init__(self, *, now: float) -> None:
        self._started = now
        self._proven: set[int] = set()
        self._callers_routes: set[str] = set()
        self._sightings: dict[str, int] = {}
        self._longest_s: dict[str, float] = {}
        self.on_found: Callable[[str], None] | None = None

    def note(
        self, *, connection: int, route: str, target_idle_s: float, now: float
    ) -> None:
        """Learn from a request that has arrived."""
        is_idle = target_idle_s >= IDLE_S and now - self._started >= START_S
        if is_idle or route in self._callers_routes:
            self._proven.add(connection)
        if connection not in self._proven:
            self._sightings[route] = self._sightings.get(route, 0) + 1
        elif route not in self._callers_routes:
            self._callers_routes.add(route)
            if self.on_found is not None:
                self.on_found(route)

    def add_callers_routes(self, routes: Iterable[str]) -> None:
        """Take in what another node has found out."""
        self._callers_routes.update(routes)

    def list_callers_routes(self) -> list[str]:
        """Return the routes that were found to be callers'."""
        return sorted(self._callers_routes)

    def forget(self, connection: int) -> None:
        """Take note that a connection has ended."""
        self._proven.discard(connection)

    def is_callers(self, route: str) -> bool:
        """Tell whether a route has been found to be callers'."""
        return route in self._callers_routes

    def is_inner(self, route: str) -> bool:
        """Tell whether a route is taken for one of targets' calls."""
        if route in self._callers_routes:
            return False
        return self._sightings.get(route, 0) >= INNER_SIGHTINGS

    def count_inner(self) -> int:
        """Return how many requests may have been calls of the own target."""
        return sum(
            count
            for route, count in self._sightings.items()
            if route not in self._callers_routes
        )

    def is_returning(self, route: str, *, remaining_s: float) -> bool:
        """Tell whether a caller has been here before, by the time that it has left."""
        longest_s = max(self._longest_s.get(route, 0.0), remaining_s)
        self._longest_s[route] = longest_s
        return remaining_s < longest_s * RETURNING_SHARE
