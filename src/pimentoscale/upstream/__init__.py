"""The HTTP client for the node's own upstream; it streams bodies."""

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
