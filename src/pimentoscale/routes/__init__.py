"""The versioned routing table from hosts and path prefixes to services."""

from pimentoscale.routes.round_robin import WeightedRoundRobin
from pimentoscale.routes.table import (
    CallerLimits,
    Route,
    RouteTable,
    ServiceSettings,
    ServiceShare,
)

__all__ = [
    "CallerLimits",
    "Route",
    "RouteTable",
    "ServiceSettings",
    "ServiceShare",
    "WeightedRoundRobin",
]
