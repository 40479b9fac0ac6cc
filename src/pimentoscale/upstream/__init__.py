"""The HTTP client towards the node's own upstream and the platform."""

from pimentoscale.upstream.pool import (
    ConnectionPool,
    UpstreamAnswer,
    UpstreamBrokenError,
    UpstreamUnreachableError,
)

__all__ = [
    "ConnectionPool",
    "UpstreamAnswer",
    "UpstreamBrokenError",
    "UpstreamUnreachableError",
]
