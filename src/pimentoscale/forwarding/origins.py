"""Distinguishes requests of callers from calls made by the local target.

Both arrive at the same address, and no field of a request shows which it is. But each
connection is used by one side only, and while the local target runs no request it makes
no calls, so a request that arrives then comes from a caller. This identifies caller
connections and, through them, caller routes. Where organisations have keys, so does a
request that bears one on a route that requires it. Nodes send each other the caller
routes that they have identified. A route that was seen often and that no node has
identified as a caller route is an inner route: only targets call it.

A caller that retries after a refusal has less time left than one that sends a new
request.
"""

from collections.abc import Callable, Iterable

# Requests after which a route that was never identified as a caller route counts as an
# inner one.
INNER_MIN_REQUESTS = 30
# The target must have run nothing for this time: its last calls may still be in flight.
MIN_IDLE_S = 0.1
# For this time after a start the target may still run requests that an earlier process
# of this node sent to it.
STARTUP_S = 3.0
# A caller with less than this share of a new caller's time left has been refused
# before.
RETRY_TIME_SHARE = 0.97


class OriginTracker:
    """Tracks which connections and routes callers use."""

    __slots__ = (
        "_caller_connections",
        "_caller_routes",
        "_inner_count",
        "_longest_s",
        "_started_at",
        "_unattributed",
        "on_caller_route",
    )

    def __init__(self, *, now: float) -> None:
        self._started_at = now
        self._caller_connections: set[int] = set()
        self._caller_routes: set[str] = set()
        # Requests of each route on connections not identified as callers'.
        self._unattributed: dict[str, int] = {}
        # The sum of `_unattributed` over the routes that are no caller routes.
        self._inner_count = 0
        # The longest time left seen on each route, taken as that of a new request.
        self._longest_s: dict[str, float] = {}
        self.on_caller_route: Callable[[str], None] | None = None

    def record_request(
        self,
        *,
        connection: int,
        route: str,
        target_idle_s: float,
        now: float,
        has_key: bool = False,
    ) -> None:
        """Update the connection and the route from a request that has arrived.

        With `has_key` it bears a key that its route requires: calls of targets do not.
        """
        is_idle = target_idle_s >= MIN_IDLE_S and now - self._started_at >= STARTUP_S
        if has_key or is_idle or route in self._caller_routes:
            self._caller_connections.add(connection)
        if connection not in self._caller_connections:
            self._unattributed[route] = self._unattributed.get(route, 0) + 1
            self._inner_count += 1
        elif route not in self._caller_routes:
            self.add_caller_routes([route])
            if self.on_caller_route is not None:
                self.on_caller_route(route)

    def add_caller_routes(self, routes: Iterable[str]) -> None:
        """Add caller routes that this node or another one has identified."""
        new_routes = set(routes) - self._caller_routes
        self._caller_routes |= new_routes
        for route in new_routes:
            self._inner_count -= self._unattributed.get(route, 0)

    def list_caller_routes(self) -> list[str]:
        """Return the routes identified as caller routes, sorted by name."""
        return sorted(self._caller_routes)

    def count_caller_routes(self) -> int:
        """Return how many routes were identified as caller routes."""
        return len(self._caller_routes)

    def remove_connection(self, connection: int) -> None:
        """Remove a connection that was closed."""
        self._caller_connections.discard(connection)

    def is_caller_route(self, route: str) -> bool:
        """Return whether a route was identified as a caller route."""
        return route in self._caller_routes

    def is_inner(self, route: str) -> bool:
        """Return whether only targets are assumed to call a route."""
        if route in self._caller_routes:
            return False
        return self._unattributed.get(route, 0) >= INNER_MIN_REQUESTS

    def may_be_call(self, *, connection: int, route: str) -> bool:
        """Return whether the local target may have sent a request."""
        if route in self._caller_routes:
            return False
        return connection not in self._caller_connections

    def is_call_connection(self, connection: int) -> bool:
        """Return whether a connection was not identified as a caller's."""
        return connection not in self._caller_connections

    def count_inner(self) -> int:
        """Return how many requests may have been calls of the local target."""
        return self._inner_count

    def was_refused(self, route: str, *, remaining_s: float) -> bool:
        """Return whether the time left shows that a caller retries after a refusal."""
        longest_s = max(self._longest_s.get(route, 0.0), remaining_s)
        self._longest_s[route] = longest_s
        return remaining_s < longest_s * RETRY_TIME_SHARE
