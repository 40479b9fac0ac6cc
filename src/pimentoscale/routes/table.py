"""One version of the routes that operators declare."""

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True, frozen=True)
class ServiceShare:
    """A service and its weight among those that share a route's requests."""

    service: str
    weight: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Route:
    """What holds for the requests of one host below one path prefix.

    `importance` is higher for requests that are refused later. `timeout_s` is the
    longest time that a request may be kept, `objective_s` the time within which an
    answer is worth most, `max_targets` the most targets that one request may reach.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    importance: int
    timeout_s: float
    objective_s: float
    max_targets: int
    shares: tuple[ServiceShare, ...]


@dataclass(slots=True, kw_only=True, frozen=True)
class ServiceSettings:
    """How the targets of a service are asked for their health, and their capacity."""

    name: str
    health_path: str
    max_connections: int


@dataclass(slots=True, kw_only=True, frozen=True)
class CallerLimits:
    """What callers may send, and how long they may take or stay idle (seconds)."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(slots=True, kw_only=True)
class RouteTable:
    """All routes of one version, found by host and longest prefix."""

    version: int
    services: dict[str, ServiceSettings]
    limits: CallerLimits
    routes: list[Route]
    _by_host: dict[str, dict[str, Route]] = field(init=False, default_factory=dict)

    def __post_init__(self) -> None:
        for route in self.routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, *, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None
