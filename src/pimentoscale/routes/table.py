"""The routing table that operators declare, as one version."""

from dataclasses import dataclass, field

from pimentoscale.organisations import OrganisationRegistry


@dataclass(slots=True, kw_only=True, frozen=True)
class ServiceShare:
    """A service and its weight in the division of a route's requests."""

    service: str
    weight: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Route:
    """The rules for requests to one host below one path prefix.

    Under overload, routes of lower `importance` are refused first. `timeout_s` is the
    longest time that a request may take, `objective_s` the latency objective, after
    which an answer is worth less, and `max_targets` the largest number of targets that
    one request may reach. Requests to a route that `is_public` need no key, and those
    to one that is not `is_readable` are refused.
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
    is_public: bool = False
    is_readable: bool = True


@dataclass(slots=True, kw_only=True, frozen=True)
class ServiceSettings:
    """The health-check path of a service and the connections that a target accepts."""

    name: str
    health_path: str
    max_connections: int


@dataclass(slots=True, kw_only=True, frozen=True)
class CallerLimits:
    """Limits on callers' connections: sizes in bytes, time-outs in seconds."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(slots=True, kw_only=True)
class RouteTable:
    """All routes of one version, looked up by host and longest path prefix.

    `organisations` is None if the version has none: no request needs a key then.
    `faults` tells which parts of the version could not be read.
    """

    version: int
    services: dict[str, ServiceSettings]
    limits: CallerLimits
    routes: list[Route]
    organisations: OrganisationRegistry | None = None
    faults: list[str] = field(default_factory=list)
    _by_host: dict[str, dict[str, Route]] = field(init=False, default_factory=dict)

    def __post_init__(self) -> None:
        for route in self.routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, *, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches, or None."""
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None
