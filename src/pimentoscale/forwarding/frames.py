"""Converts forwarded requests and their attempts to frames and back."""

from typing import cast

from pimentoscale.admission import Load
from pimentoscale.errors import CallError, ErrorKind
from pimentoscale.forwarding.exchange import (
    Attempt,
    AttemptOutcome,
    ForwardRequest,
    StatedCondition,
)
from pimentoscale.http import HttpRequest, HttpResponse
from pimentoscale.stream import Forward, ForwardReply, FrameError
from pimentoscale.suspension import read_suspended_s

# A rate is encoded in thousandths of a request a second.
RATE_UNITS = 1000


def make_forward(
    request: ForwardRequest,
    *,
    remaining_s: float,
    stated: StatedCondition | None = None,
) -> Forward:
    """Return the frame of a request; the peer sets its query number.

    `stated` is what this node has heard of the receiver's target.
    """
    message = request.message
    is_limited = stated is not None and stated.rate_limit is not None
    return Forward(
        query=0,
        identity=request.identity,
        service=request.service,
        route=request.route,
        idempotent=request.idempotent,
        importance=request.importance,
        inner=request.is_inner,
        returning=request.was_refused,
        timeout_ms=int(remaining_s * 1000),
        objective_ms=int(request.objective_s * 1000),
        method=message.method,
        path=message.path,
        lines=message.encoded_headers,
        # Only encoded from here on, which takes either type.
        body=cast(bytes, message.body),
        organisation=request.organisation,
        organisation_rank=request.organisation_rank,
        rate_limit=_encode_rate(stated),
        upstream=stated.upstream if stated and is_limited else "",
    )


def read_forward(frame: Forward, *, now: float) -> ForwardRequest:
    """Return the request in a frame."""
    stated = None
    if frame.upstream:
        rate = _decode_rate(frame.rate_limit)
        stated = StatedCondition(upstream=frame.upstream, rate_limit=rate)
    return ForwardRequest(
        identity=frame.identity,
        service=frame.service,
        route=frame.route,
        idempotent=frame.idempotent,
        importance=frame.importance,
        is_inner=frame.inner,
        was_refused=frame.returning,
        deadline=now + frame.timeout_ms / 1000,
        objective_s=frame.objective_ms / 1000,
        suspended_s=read_suspended_s(),
        message=HttpRequest(
            method=frame.method,
            path=frame.path,
            encoded_headers=frame.lines,
            body=frame.body,
        ),
        organisation=frame.organisation,
        organisation_rank=frame.organisation_rank,
        stated=stated,
    )


def make_forward_reply(query: int, attempt: Attempt) -> ForwardReply:
    """Return the frame of an attempt, the reply to a query."""
    response = attempt.response
    error = attempt.error
    load = attempt.load or Load(in_flight=0, limit=0, queue_ms=0, admitted=0)
    return ForwardReply(
        query=query,
        outcome=attempt.outcome.value,
        arrived=attempt.arrived,
        error=error.kind.value if error else "",
        detail=error.detail if error else "",
        retry_after_ms=error.retry_after_ms if error else 0,
        run_ms=int(attempt.run_ms),
        calls_others=attempt.calls_others,
        status=response.status if response else 0,
        lines=response.encoded_headers if response else b"",
        body=cast(bytes, response.body) if response else b"",
        in_flight=load.in_flight,
        limit=load.limit,
        queue_ms=load.queue_ms,
        admitted=load.admitted,
        slowdown_percent=round(100 * load.slowdown),
        rate_limit=_encode_rate(attempt.stated),
        leaving=attempt.stated is not None and attempt.stated.is_leaving,
        upstream=attempt.stated.upstream if attempt.stated else "",
    )


def read_forward_reply(frame: ForwardReply) -> Attempt:
    """Return the attempt in a frame.

    Raises `FrameError` if its outcome or its kind of error is undefined.
    """
    try:
        outcome = AttemptOutcome(frame.outcome)
        error = None
        if frame.error:
            error = CallError(
                kind=ErrorKind(frame.error),
                detail=frame.detail,
                retry_after_ms=frame.retry_after_ms,
            )
    except ValueError as invalid:
        raise FrameError(str(invalid)) from invalid
    response = None
    if frame.status:
        response = HttpResponse(
            status=frame.status,
            encoded_headers=frame.lines,
            body=frame.body,
        )
    load = Load(
        in_flight=frame.in_flight,
        limit=frame.limit,
        queue_ms=frame.queue_ms,
        admitted=frame.admitted,
        slowdown=frame.slowdown_percent / 100,
    )
    stated = None
    if frame.upstream:
        stated = StatedCondition(
            upstream=frame.upstream,
            rate_limit=_decode_rate(frame.rate_limit),
            is_leaving=frame.leaving,
        )
    return Attempt(
        outcome=outcome,
        arrived=frame.arrived,
        response=response,
        error=error,
        load=load if frame.limit else None,
        run_ms=float(frame.run_ms),
        calls_others=frame.calls_others,
        stated=stated,
    )


def _encode_rate(stated: StatedCondition | None) -> int:
    if stated is None or stated.rate_limit is None:
        return -1
    return int(stated.rate_limit * RATE_UNITS)


def _decode_rate(rate: int) -> float | None:
    return rate / RATE_UNITS if rate >= 0 else None
