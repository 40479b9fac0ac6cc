"""Requests and responses with their whole bodies."""

from collections.abc import Iterable
from http import HTTPStatus

import msgspec

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
    kept = [item for item in headers if item[0] not in CONNECTION_HEADERS]
    stated = find_header(headers, b"connection")
    if stated is None:
        return kept
    named: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    return [item for item in kept if item[0] not in named]


def encode_headers(headers: Iterable[Header]) -> bytes:
    """Return header lines, each with its line end."""
    return b"".join([b"%b: %b\r\n" % item for item in headers])


class HttpRequest(msgspec.Struct, kw_only=True):
    """A request; header names are in lower case, and `path` includes the query.

    `encoded_headers` are further header lines that a node forwards unchanged.
    `connection_id` identifies the server connection; 0 for requests that are sent.
    """

    method: bytes
    path: bytes
    headers: list[Header] = msgspec.field(default_factory=list)
    encoded_headers: bytes = b""
    body: bytes = b""
    connection_id: int = 0

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return find_header(self.headers, name)

    def encode(self) -> bytes:
        """Return the bytes to send; the body's length is always stated."""
        length = b""
        if self.body or self.method not in (b"GET", b"HEAD", b"DELETE"):
            length = b"content-length: %d\r\n" % len(self.body)
        return b"%b %b HTTP/1.1\r\n%b%b%b\r\n%b" % (
            self.method,
            self.path,
            encode_headers(self.headers),
            self.encoded_headers,
            length,
            self.body,
        )


class HttpResponse(msgspec.Struct, kw_only=True):
    """A response that is whole; header names are in lower case.

    `encoded_headers` are further headers, encoded already.
    """

    status: int
    headers: list[Header] = msgspec.field(default_factory=list)
    encoded_headers: bytes = b""
    body: bytes = b""

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return find_header(self.headers, name)

    def encode(self, *, closes: bool, to_head: bool = False) -> bytes:
        """Return the bytes to send; `to_head` leaves the body out."""
        length = b""
        if self.status not in BODYLESS_STATUSES:
            length = b"content-length: %d\r\n" % len(self.body)
        return b"HTTP/1.1 %d %b\r\n%b%b%b%b\r\n%b" % (
            self.status,
            REASONS.get(self.status, b"Unknown"),
            encode_headers(self.headers),
            self.encoded_headers,
            length,
            b"connection: close\r\n" if closes else b"",
            b"" if to_head else self.body,
        )
