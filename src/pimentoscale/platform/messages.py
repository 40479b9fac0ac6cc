"""The platform's headers of requests and answers, decoded and encoded."""

from result import Err, Ok, Result

from pimentoscale.forwarding.exchange import (
    ANYBODY,
    RequestMetadata,
    Sender,
    TargetAnswer,
    ToldLoad,
)
from pimentoscale.http import Header, HttpRequest, HttpResponse, encode_headers

# Identifies one attempt of a client; targets echo it.
_ATTEMPT = b"attempt-id"
# How much longer the client waits, in milliseconds.
_REMAINING = b"deadline-remaining-ms"
# The target that must run the request; any other answers 421 without running it.
_EXPECTED = b"expected-instance"
# The service of the instance that sent the request.
_ORIGIN = b"caller-service"
# The key of the sender's organisation behind this scheme; not for targets.
_CREDENTIALS = b"authorization"
_KEY_SCHEME = b"token"
# The name of the organisation that holds the key.
_ORGANISATION = b"tenant"
# Proves that a target created the answer.
_SIGNATURE = b"response-signature"
# States that the target did not run the request.
_NOT_RUN = b"not-executed"
# Requests running, requests waiting, slots, and how long work takes on the target's
# machine at this moment in percent of usual, separated by commas.
_LOAD = b"instance-load"
_LOAD_FIGURES = 4
MAX_LOAD_COUNT = 1_000_000
# Requests a second that the target takes from all nodes together.
_RATE_LIMIT = b"server-limit"
MAX_RATE_LIMIT_BYTES = 32
MAX_RATE_LIMIT = 1_000_000.0
# "1" if the target is about to end.
_LEAVING = b"server-leaving"
# Work a hundred times slower than usual is not believed.
MAX_SLOWDOWN_PERCENT = 10_000

_SET_BY_NODE = frozenset((_REMAINING, _EXPECTED, _ORIGIN))
_SET_FOR_ORGANISATIONS = frozenset((*_SET_BY_NODE, _CREDENTIALS, _ORGANISATION))
MAX_REMAINING_MS = 86_400_000
MISDIRECTED = 421


class PlatformMessages:
    """Decodes and encodes the platform's headers; stateless."""

    __slots__ = ()

    def read_metadata(self, request: HttpRequest) -> RequestMetadata | None:
        """Return the decoded headers of a request, or None if one is malformed."""
        headers_by_name = dict(reversed(request.headers))
        identity = headers_by_name.get(_ATTEMPT)
        remaining = headers_by_name.get(_REMAINING)
        if remaining is None:
            remaining_s = None
        elif remaining.isdigit():
            # Python does not convert more than some thousands of digits.
            digits = remaining.lstrip(b"0")[: len(str(MAX_REMAINING_MS)) + 1]
            remaining_s = min(int(digits or b"0"), MAX_REMAINING_MS) / 1000
        else:
            return None
        host = headers_by_name.get(b"host", b"")
        name = host.decode("latin-1").lower()
        return RequestMetadata(
            identity=(identity or b"").decode("latin-1"),
            host=name.partition(":")[0],
            remaining_s=remaining_s,
            key=_read_key(headers_by_name.get(_CREDENTIALS)),
        )

    def encode_request_headers(
        self, headers: list[Header], *, service: str, sender: Sender = ANYBODY
    ) -> bytes:
        """Return the header lines to forward, without those that a node sets itself."""
        dropped = _SET_FOR_ORGANISATIONS if sender.hides_key else _SET_BY_NODE
        kept = [item for item in headers if item[0] not in dropped]
        kept.append((_ORIGIN, service.encode()))
        if sender.organisation:
            kept.append((_ORGANISATION, sender.organisation.encode()))
        return encode_headers(kept)

    def encode_target_headers(self, *, remaining_ms: int, instance: str) -> bytes:
        """Return the header lines that a node adds for its target."""
        if not instance:
            return b"%b: %d\r\n" % (_REMAINING, remaining_ms)
        return b"%b: %d\r\n%b: %b\r\n" % (
            _REMAINING,
            remaining_ms,
            _EXPECTED,
            instance.encode(),
        )

    def matches(self, response: HttpResponse, identity: str) -> bool:
        """Return whether an answer echoes the attempt id of the request.

        An answer without an attempt id is accepted too, unless it is a refusal: that
        may be a copy of an earlier one, while the request runs.
        """
        echoed = response.find(_ATTEMPT)
        if echoed is None:
            return not _is_refusal(response)
        return echoed == identity.encode("latin-1")

    def read_answer(self, response: HttpResponse, identity: str) -> TargetAnswer:
        """Return the decoded headers of a target's answer."""
        headers_by_name = dict(reversed(response.headers))
        load: ToldLoad | None = None
        load_fault = ""
        stated = headers_by_name.get(_LOAD)
        if stated is not None:
            match decode_load(stated):
                case Ok(decoded):
                    load = decoded
                case Err(reason):
                    load_fault = reason
        rate_limit: float | None = None
        rate_limit_fault = ""
        stated_rate = headers_by_name.get(_RATE_LIMIT)
        if stated_rate is not None:
            match decode_rate_limit(stated_rate):
                case Ok(rate):
                    rate_limit = rate
                case Err(reason):
                    rate_limit_fault = reason
        return TargetAnswer(
            ran=not _is_refusal(response),
            is_genuine=_SIGNATURE in headers_by_name
            and headers_by_name.get(_ATTEMPT) == identity.encode("latin-1"),
            is_misdirected=response.status == MISDIRECTED,
            load=load,
            load_fault=load_fault,
            rate_limit=rate_limit,
            rate_limit_fault=rate_limit_fault,
            is_leaving=headers_by_name.get(_LEAVING, b"").strip() == b"1",
        )


def _read_key(credentials: bytes | None) -> bytes | None:
    """Return the key in a header; empty if it holds something else."""
    if credentials is None:
        return None
    scheme, _, key = credentials.strip().partition(b" ")
    return key.strip() if scheme.lower() == _KEY_SCHEME else b""


def _is_refusal(response: HttpResponse) -> bool:
    """Return whether an answer states that the target did not run a request."""
    return response.status == MISDIRECTED or response.find(_NOT_RUN) is not None


def decode_load(value: bytes) -> Result[ToldLoad, str]:
    """Return the load that a target states, or why the value is not valid."""
    figures: list[int] = []
    for part in value.split(b","):
        figure = part.strip()
        if not figure.isdigit() or len(figure) > len(str(MAX_LOAD_COUNT)):
            return Err(f"{value[:64]!r}: figure {figure[:16]!r} is not a count")
        figures.append(int(figure))
    if len(figures) != _LOAD_FIGURES:
        return Err(f"{value[:64]!r}: {len(figures)} figures, not {_LOAD_FIGURES}")
    running, waiting, slots, percent = figures
    if slots < 1 or not 1 <= percent <= MAX_SLOWDOWN_PERCENT:
        return Err(f"{value[:64]!r}: slots or percentage out of range")
    return Ok(
        ToldLoad(running=running, waiting=waiting, slots=slots, slowdown=percent / 100)
    )


def decode_rate_limit(value: bytes) -> Result[float, str]:
    """Return the requests a second in a decimal number, or why it is not valid."""
    text = value.strip()
    whole, _, fraction = text.partition(b".")
    digits = whole + fraction
    if len(text) > MAX_RATE_LIMIT_BYTES or not digits.isdigit():
        return Err(f"{value[:64]!r} is not a decimal number")
    return Ok(min(float(text), MAX_RATE_LIMIT))
