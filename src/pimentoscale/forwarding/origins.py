"""Tells the requests of callers from the calls of the own target.

Both come to the same address, and nothing in a request says which it is. But a
connection is used by one side only, and while the own target runs nothing it calls
nobody: what arrives then comes from a caller. So connections and routes are found to
be callers'; a route that has been seen often and never was is one of targets' calls.
"""

# Sightings after which a route that was never found to be callers' is of targets'
# calls.
INNER_SIGHTINGS = 20
# The target must have run nothing for so long: its last calls may still be on the way.
IDLE_S = 0.1
# A connection is callers' if it carried callers' routes so often.
PROOFS = 2


class OriginTracker:
    """What is known of connections and routes at this node."""

    __slots__ = ("_callers_routes", "_proven", "_sightings")

    def __init__(self) -> None:
        self._proven: dict[int, int] = {}
        self._callers_routes: dict[str, int] = {}
        self._sightings: dict[str, int] = {}

    def note(self, *, connection: int, route: str, target_idle_s: float) -> None:
        """Learn from a request that has arrived."""
        if target_idle_s >= IDLE_S:
            self._proven[connection] = PROOFS
        elif self.is_callers(route):
            self._proven[connection] = self._proven.get(connection, 0) + 1
        if self._proven.get(connection, 0) >= PROOFS:
            self._callers_routes[route] = self._callers_routes.get(route, 0) + 1
        else:
            self._sightings[route] = self._sightings.get(route, 0) + 1

    def forget(self, connection: int) -> None:
        """Take note that a connection has ended."""
        self._proven.pop(connection, None)

    def is_callers(self, route: str) -> bool:
        """Tell whether a route has been found to be callers'."""
        return self._callers_routes.get(route, 0) >= PROOFS

    def is_inner(self, route: str) -> bool:
        """Tell whether a route is taken for one of targets' calls."""
        if self.is_callers(route):
            return False
        return self._sightings.get(route, 0) >= INNER_SIGHTINGS
