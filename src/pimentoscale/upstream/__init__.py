"""The streaming HTTP client of the node's own upstream."""

from pimentoscale.upstream.pool import (
    ConnectionPool,
    UpstreamAnswer,
    UpstreamConnectionError,
    UpstreamUnreachableError,
)

__all__ = [
    "ConnectionPool",
    "UpstreamAnswer",
    "UpstreamConnectionError",
    "UpstreamUnreachableError",
]
