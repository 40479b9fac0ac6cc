"""The headers by which callers and upstreams speak to a node."""

import math
import random
import re
import secrets
from collections.abc import Iterable
from dataclasses import dataclass

from result import Err, Ok, Result

from pimentoscale.call import Answer, Header
from pimentoscale.errors import ANSWERS, CallError, ErrorKind

KIND = b"pimento-kind"
REQUEST = b"pimento-request-id"
CALLER = b"pimento-caller"
TIMEOUT = b"pimento-timeout-ms"
TICKET = b"pimento-ticket"
WANT_TICKET = b"pimento-want-ticket"
TOKEN = b"pimento-token"
SUB_CALL = b"pimento-sub-call"
OUTCOME = b"pimento-outcome"
ERROR = b"pimento-error"
DETAIL = b"pimento-detail"
VERSION = b"pimento-version"
UNCONFIRMED = b"pimento-version-unconfirmed"
RETRIES_SPENT = b"pimento-retries-spent"
RETRY_AFTER_MS = b"pimento-retry-after-ms"

PREFIX = b"pimento-"
NOT_PASSED_ON = frozenset(
    (
        b"host",
        b"date",
        b"connection",
        b"keep-alive",
        b"transfer-encoding",
        b"content-length",
        b"te",
        b"trailer",
        b"upgrade",
        b"expect",
        b"proxy-authorization",
        b"proxy-authenticate",
    )
)
MAX_TIMEOUT_MS = 600_000
MAX_HEAD_BYTES = 32 * 1024
NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$")
RETRY_JITTER = 0.5


@dataclass(slots=True, kw_only=True, frozen=True)
class CallHead:
    """What a caller or an upstream says of a call."""

    kind: str
    request: str
    has_request: bool
    caller: str
    timeout_ms: int
    ticket: str
    want_ticket: str
    token: str
    sub_call: str
    content_length: int
    passed_on: list[Header]


def read_head(headers: Iterable[Header], *, peer: str) -> Result[CallHead, CallError]:
    """Read the headers of a call; `peer` names a caller that names itself not."""
    ours: dict[bytes, str] = {}
    passed_on: list[Header] = []
    length = -1
    size = 0
    for name, value in headers:
        size += len(name) + len(value)
        if name.startswith(PREFIX):
            ours[name] = value.decode("latin-1")
        elif name == b"content-length":
            length = int(value)
        elif name not in NOT_PASSED_ON:
            passed_on.append((name, value))
    if size > MAX_HEAD_BYTES:
        return _refuse(f"the head has {size} bytes; allowed: {MAX_HEAD_BYTES}")
    if (fault := _find_fault(ours)) is not None:
        return _refuse(fault)
    request = ours.get(REQUEST, "")
    return Ok(
        CallHead(
            kind=ours[KIND],
            request=request or secrets.token_hex(8),
            has_request=bool(request),
            caller=ours.get(CALLER, peer),
            timeout_ms=int(ours.get(TIMEOUT, "0")),
            ticket=ours.get(TICKET, ""),
            want_ticket=ours.get(WANT_TICKET, ""),
            token=ours.get(TOKEN, ""),
            sub_call=ours.get(SUB_CALL, ""),
            content_length=length,
            passed_on=passed_on,
        )
    )


def write_head(
    answer: Answer, *, version: int, is_confirmed: bool, rng: random.Random
) -> list[Header]:
    """Return the headers of an answer to a caller."""
    headers = [item for item in answer.headers if item[0] not in NOT_PASSED_ON]
    headers.append((OUTCOME, answer.outcome.value.encode()))
    headers.append((VERSION, b"%d" % version))
    if not is_confirmed:
        headers.append((UNCONFIRMED, b"1"))
    if answer.retries_spent:
        headers.append((RETRIES_SPENT, b"%d" % answer.retries_spent))
    if answer.ticket:
        headers.append((TICKET, answer.ticket.encode()))
    if answer.error is not None:
        headers.extend(_describe_error(answer.error, rng))
    return headers


def _describe_error(error: CallError, rng: random.Random) -> Iterable[Header]:
    yield ERROR, error.kind.value.encode()
    text = error.detail or ANSWERS[error.kind].text
    yield DETAIL, text.encode("ascii", "replace").replace(b"\n", b" ")
    if error.retry_after_ms:
        spread = 1 + RETRY_JITTER * rng.random()
        wait_ms = int(error.retry_after_ms * spread)
        yield RETRY_AFTER_MS, b"%d" % wait_ms
        yield b"retry-after", b"%d" % math.ceil(wait_ms / 1000)


def _find_fault(ours: dict[bytes, str]) -> str | None:
    if KIND not in ours:
        return "pimento-kind is missing"
    for name in (KIND, REQUEST, CALLER, WANT_TICKET, SUB_CALL):
        if name in ours and not NAME.match(ours[name]):
            return f"{name.decode()} is malformed; allowed: {NAME.pattern}"
    timeout = ours.get(TIMEOUT, "1")
    if not (timeout.isdecimal() and 1 <= int(timeout) <= MAX_TIMEOUT_MS):
        return f"pimento-timeout-ms is not a number from 1 to {MAX_TIMEOUT_MS}"
    return None


def _refuse(detail: str) -> Result[CallHead, CallError]:
    return Err(CallError(kind=ErrorKind.BAD_HEADER, detail=detail))
