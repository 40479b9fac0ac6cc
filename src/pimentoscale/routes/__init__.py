"""Routes from hosts and path prefixes to services, as one numbered version."""

from pimentoscale.routes.split import ShareCounter
from pimentoscale.routes.table import (
    Route,
    RouteLimits,
    RouteTable,
    ServicePort,
    ServiceShare,
)

__all__ = [
    "Route",
    "RouteLimits",
    "RouteTable",
    "ServicePort",
    "ServiceShare",
    "ShareCounter",
]
