"""Headers of requests and answers, translated at the node's two sides."""

from pimentoscale.forwarding.exchange import RequestMetadata, TargetAnswer
from pimentoscale.http import Header, HttpRequest, HttpResponse, encode_headers

# Identifies one attempt of a client; targets echo it.
_ATTEMPT = b"attempt-id"
# How long the client waits, in milliseconds.
_REMAINING = b"deadline-remaining-ms"
# Any other target answers 421 without running the request.
_EXPECTED = b"expected-instance"
# The service beside which the request originated.
_ORIGIN = b"caller-service"
# Proves that a target made the answer.
_SIGNATURE = b"response-signature"
# States that the target did not run the request.
_NOT_RUN = b"not-executed"

_SET_BY_NODE = frozenset((_REMAINING, _EXPECTED, _ORIGIN))
MAX_REMAINING_MS = 86_400_000
MISDIRECTED = 421


class PlatformMessages:
    """Translates messages; it holds no state."""

    __slots__ = ()

    def read_metadata(self, request: HttpRequest) -> RequestMetadata | None:
        """Return what a request asks for, or None if a header is malformed."""
        found = dict(reversed(request.headers))
        identity = found.get(_ATTEMPT)
        remaining = found.get(_REMAINING)
        if remaining is None:
            remaining_s = None
        elif remaining.isdigit():
            remaining_s = min(int(remaining), MAX_REMAINING_MS) / 1000
        else:
            return None
        host = found.get(b"host", b"")
        name = host.decode("latin-1").lower()
        return RequestMetadata(
            identity=(identity or b"").decode("latin-1"),
            host=name.partition(":")[0],
            remaining_s=remaining_s,
        )

    def encode_request_headers(self, headers: list[Header], *, service: str) -> bytes:
        """Return the lines to pass on, without those that a node sets for a target."""
        kept = [item for item in headers if item[0] not in _SET_BY_NODE]
        kept.append((_ORIGIN, service.encode()))
        return encode_headers(kept)

    def encode_target_headers(self, *, remaining_ms: int, instance: str) -> bytes:
        """Return the lines that a node adds for its target."""
        if not instance:
            return b"%b: %d\r\n" % (_REMAINING, remaining_ms)
        return b"%b: %d\r\n%b: %b\r\n" % (
            _REMAINING,
            remaining_ms,
            _EXPECTED,
            instance.encode(),
        )

    def belongs_to(self, response: HttpResponse, identity: str) -> bool:
        """Tell whether an answer is the one to the request."""
        echoed = response.find(_ATTEMPT)
        return echoed is None or echoed == identity.encode("latin-1")

    def read_answer(self, response: HttpResponse, identity: str) -> TargetAnswer:
        """Return what a target's answer states."""
        found = dict(reversed(response.headers))
        return TargetAnswer(
            ran=_NOT_RUN not in found and response.status != MISDIRECTED,
            is_genuine=_SIGNATURE in found
            and found.get(_ATTEMPT) == identity.encode("latin-1"),
            is_misdirected=response.status == MISDIRECTED,
        )
