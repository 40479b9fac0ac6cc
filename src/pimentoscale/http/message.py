"""Requests and responses with their whole bodies."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from http import HTTPStatus

Header = tuple[bytes, bytes]

# RFC 9110, section 7.6.1: headers that concern one connection only.
CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    )
)
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
BODYLESS_STATUSES = (204, 304)


def find_header(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the first value of a header given by its lower-case name."""
    for known, value in headers:
        if known == name:
            return value
    return None


def drop_connection_headers(headers: list[Header]) -> list[Header]:
    """Return the headers without those that concern one connection only."""
    named: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    return [
        (name, value)
        for name, value in headers
        if name not in CONNECTION_HEADERS and name not in named
    ]


@dataclass(slots=True, kw_only=True)
class HttpRequest:
    """A request; header names are in lower case, `path` holds the query too.

    `connection` tells the server's connections apart; 0 elsewhere.
    """

    method: bytes
    path: bytes
    headers: list[Header] = field(default_factory=list)
    body: bytes = b""
    connection: int = 0

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return find_header(self.headers, name)

    def encode(self) -> bytes:
        """Return the bytes to send; the body's length is always stated."""
        lines = [b"%b %b HTTP/1.1" % (self.method, self.path)]
        lines.extend(name + b": " + value for name, value in self.headers)
        if self.body or self.method not in (b"GET", b"HEAD", b"DELETE"):
            lines.append(b"content-length: %d" % len(self.body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + self.body


@dataclass(slots=True, kw_only=True)
class HttpResponse:
    """A response that is whole; header names are in lower case."""

    status: int
    headers: list[Header] = field(default_factory=list)
    body: bytes = b""

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return find_header(self.headers, name)

    def encode(self, *, closes: bool, to_head: bool = False) -> bytes:
        """Return the bytes to send; `to_head` leaves the body out."""
        reason = REASONS.get(self.status, b"Unknown")
        lines = [b"HTTP/1.1 %d %b" % (self.status, reason)]
        lines.extend(name + b": " + value for name, value in self.headers)
        if self.status not in BODYLESS_STATUSES:
            lines.append(b"content-length: %d" % len(self.body))
        if closes:
            lines.append(b"connection: close")
        body = b"" if to_head else self.body
        return b"\r\n".join(lines) + b"\r\n\r\n" + body
