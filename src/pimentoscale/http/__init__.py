"""HTTP/1.1 messages held in memory as a whole, with a server and a client."""

from pimentoscale.http.client import HttpClient
from pimentoscale.http.client_connection import (
    HttpClientConnection,
    IncompleteResponseError,
    NotConnectedError,
    OversizedResponseError,
)
from pimentoscale.http.message import (
    STATUSES,
    Header,
    HttpRequest,
    HttpResponse,
    drop_connection_headers,
    encode_headers,
    find_header,
)
from pimentoscale.http.server import MAX_CONNECTIONS, HttpServer
from pimentoscale.http.server_connection import Handler, HttpLimits

__all__ = [
    "MAX_CONNECTIONS",
    "STATUSES",
    "Handler",
    "Header",
    "HttpClient",
    "HttpClientConnection",
    "HttpLimits",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "IncompleteResponseError",
    "NotConnectedError",
    "OversizedResponseError",
    "drop_connection_headers",
    "encode_headers",
    "find_header",
]
