"""HTTP/1.1 messages held whole in memory, a server and a client for them."""

from pimentoscale.http.client import (
    HttpClient,
    HttpClientConnection,
    IncompleteResponseError,
    NotConnectedError,
)
from pimentoscale.http.message import (
    Header,
    HttpRequest,
    HttpResponse,
    drop_connection_headers,
    encode_headers,
    find_header,
)
from pimentoscale.http.server import HttpLimits, HttpServer

__all__ = [
    "Header",
    "HttpClient",
    "HttpClientConnection",
    "HttpLimits",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "IncompleteResponseError",
    "NotConnectedError",
    "drop_connection_headers",
    "encode_headers",
    "find_header",
]
