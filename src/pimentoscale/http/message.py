"""HTTP/1.1 requests and responses that hold their whole body."""

from collections.abc import Iterable, Sequence
from http import HTTPStatus

import msgspec

Header = tuple[bytes, bytes]
# A large body is handed out as it was collected: a copy of each would add to the peak
# of the memory. What keeps or compares parts of a body converts it to bytes.
MessageBody = bytes | bytearray

# Hop-by-hop headers (RFC 9110, section 7.6.1), which are not forwarded.
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
REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
BODYLESS_STATUSES = (204, 304)
# RFC 9110, section 15; the first hundred are those of informational responses.
STATUSES = range(100, 600)
# A body of more parts than this whose parts are smaller on average is given up: each
# part takes processor time, and a body of one-byte chunks would block the event loop.
MAX_SMALL_PARTS = 4096
MIN_PART_BYTES = 32
# Larger bodies are not copied to join them with a head.
LARGE_BODY_BYTES = 256 * 1024


def find_header(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the first value of a header given by its lower-case name."""
    for header_name, value in headers:
        if header_name == name:
            return value
    return None


def drop_connection_headers(headers: list[Header]) -> list[Header]:
    """Return the headers without the hop-by-hop headers.

    These include the headers that the `connection` header lists.
    """
    kept = [item for item in headers if item[0] not in CONNECTION_HEADERS]
    connection = find_header(headers, b"connection")
    if connection is None:
        return kept
    listed: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            listed.update(part.strip().lower() for part in value.split(b","))
    return [item for item in kept if item[0] not in listed]


def encode_headers(headers: Sequence[Header]) -> bytes:
    """Return the headers as header lines, each with its line end."""
    if not headers:
        return b""
    return b"".join([b"%b: %b\r\n" % item for item in headers])


class BodyBuffer:
    """Collects a body that arrives in parts, however small they are."""

    __slots__ = ("_data", "_parts")

    def __init__(self) -> None:
        # Most bodies are one part, which is kept without a copy.
        self._data: MessageBody = b""
        self._parts = 0

    @property
    def is_fragmented(self) -> bool:
        """Return whether the parts are too many and too small to parse them all."""
        is_small = len(self._data) < self._parts * MIN_PART_BYTES
        return self._parts > MAX_SMALL_PARTS and is_small

    def add(self, part: bytes) -> None:
        """Add the next part."""
        self._parts += 1
        if not self._data:
            self._data = part
            return
        if isinstance(self._data, bytes):
            self._data = bytearray(self._data)
        self._data += part

    def clear(self) -> None:
        """Drop what has arrived."""
        self._data = b""
        self._parts = 0

    def take(self) -> MessageBody:
        """Return what has arrived and keep nothing of it."""
        data = self._data
        self.clear()
        return data if len(data) > LARGE_BODY_BYTES else bytes(data)


class HttpRequest(msgspec.Struct, kw_only=True):
    """A request; header names are in lower case, and `path` includes the query.

    `encoded_headers` are further header lines that a node forwards unchanged.
    `connection_id` identifies the server connection; 0 for requests that are sent.
    """

    method: bytes
    path: bytes
    headers: list[Header] = msgspec.field(default_factory=list)
    encoded_headers: bytes = b""
    body: MessageBody = b""
    connection_id: int = 0

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return find_header(self.headers, name)

    def encode(self) -> bytes:
        """Return the encoded request.

        It states the length of the body, unless a GET, HEAD or DELETE request has none.
        """
        return self._encode_head() + self.body

    def encode_parts(self) -> list[MessageBody]:
        """Return the encoded request; a large body is a part of its own."""
        if len(self.body) > LARGE_BODY_BYTES:
            return [self._encode_head(), self.body]
        return [self.encode()]

    def _encode_head(self) -> bytes:
        length = b""
        if self.body or self.method not in (b"GET", b"HEAD", b"DELETE"):
            length = b"content-length: %d\r\n" % len(self.body)
        return b"%b %b HTTP/1.1\r\n%b%b%b\r\n" % (
            self.method,
            self.path,
            encode_headers(self.headers),
            self.encoded_headers,
            length,
        )


class HttpResponse(msgspec.Struct, kw_only=True):
    """A complete response; header names are in lower case.

    `encoded_headers` are further header lines.
    """

    status: int
    headers: list[Header] = msgspec.field(default_factory=list)
    encoded_headers: bytes = b""
    body: MessageBody = b""

    def find(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return find_header(self.headers, name)

    def encode(self, *, closes: bool, to_head: bool = False) -> bytes:
        """Return the encoded response.

        `closes` announces that the connection closes after it, and `to_head` omits the
        body, as in an answer to a HEAD request.
        """
        head = self._encode_head(closes=closes)
        return head if to_head else head + self.body

    def encode_parts(self, *, closes: bool, to_head: bool = False) -> list[MessageBody]:
        """Return the encoded response; a large body is a part of its own."""
        if len(self.body) > LARGE_BODY_BYTES and not to_head:
            return [self._encode_head(closes=closes), self.body]
        return [self.encode(closes=closes, to_head=to_head)]

    def _encode_head(self, *, closes: bool) -> bytes:
        length = b""
        if self.status not in BODYLESS_STATUSES:
            length = b"content-length: %d\r\n" % len(self.body)
        return b"HTTP/1.1 %d %b\r\n%b%b%b%b\r\n" % (
            self.status,
            REASON_PHRASES.get(self.status, b"Unknown"),
            encode_headers(self.headers),
            self.encoded_headers,
            length,
            b"connection: close\r\n" if closes else b"",
        )
