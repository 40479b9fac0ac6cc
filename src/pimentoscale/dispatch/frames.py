"""Conversion of calls and answers to and from the frames that carry them."""

from pimentoscale.admission import Load
from pimentoscale.call import (
    Answer,
    Body,
    CallContext,
    CallRequest,
    Header,
    RetryBudget,
)
from pimentoscale.call.body import CHUNK_BYTES
from pimentoscale.errors import CallError, ErrorKind
from pimentoscale.outcome import Outcome
from pimentoscale.stream import Call, Reply
from pimentoscale.stream.transfer import digest_bytes

MIN_TIMEOUT_MS = 1


def make_call(
    *,
    context: CallContext,
    request: CallRequest,
    retries: int,
    ticket: str,
    now: float,
    clock: int,
) -> Call:
    """Return the frame for a call; with a ticket, for a submission to its home.

    A complete body of at most `CHUNK_BYTES` is sent in the frame itself, any other
    body in the chunks that follow it.
    """
    is_inline = request.body.is_complete and request.body.buffered_bytes <= CHUNK_BYTES
    first = request.body.take_buffered() if is_inline else b""
    remaining_ms = int(context.time_left(now=now) * 1000)
    return Call(
        call=0,
        submission=bool(ticket),
        kind=context.kind,
        version=context.version,
        caller=context.caller,
        request=context.request,
        ticket=ticket,
        method=request.method,
        path=request.path,
        headers=[[name, value] for name, value in request.headers],
        timeout_ms=max(MIN_TIMEOUT_MS, remaining_ms),
        retries=retries,
        depth=context.depth,
        work_ms=context.work_ms,
        body_bytes=request.body_bytes,
        body=first,
        more=not is_inline,
        clock=clock,
    )


def read_context(frame: Call, *, now: float) -> CallContext:
    """Return the context of a call from its frame."""
    return CallContext(
        request=frame.request,
        caller=frame.caller,
        kind=frame.kind,
        deadline=now + frame.timeout_ms / 1000,
        budget=RetryBudget(retries=frame.retries),
        depth=frame.depth,
        work_ms=frame.work_ms,
        version=frame.version,
    )


def read_request(frame: Call, body: Body) -> CallRequest:
    """Return the request of a call from its frame."""
    return CallRequest(
        method=frame.method,
        path=frame.path,
        headers=_read_headers(frame.headers),
        body=body,
        body_bytes=frame.body_bytes,
    )


def make_reply(
    *, call: int, answer: Answer, retries_spent: int, load: Load, clock: int
) -> Reply:
    """Return the frame for an answer.

    A complete body of at most `CHUNK_BYTES` is sent in the frame itself, any other
    body in the chunks that follow it.
    """
    is_inline = answer.body.is_complete and answer.body.buffered_bytes <= CHUNK_BYTES
    first = answer.body.take_buffered() if is_inline else b""
    error = answer.error
    return Reply(
        call=call,
        outcome=answer.outcome.value,
        error=error.kind.value if error else "",
        detail=error.detail if error else "",
        retry_after_ms=error.retry_after_ms if error else 0,
        status=answer.status,
        headers=[[name, value] for name, value in answer.headers],
        ticket=answer.ticket,
        retries_spent=retries_spent,
        in_flight=load.in_flight,
        limit=load.limit,
        queue_ms=load.queue_ms,
        admitted=load.admitted,
        body=first,
        more=not is_inline,
        digest=digest_bytes(first) if is_inline else b"",
        clock=clock,
    )


def read_reply(frame: Reply, body: Body) -> Answer:
    """Return the answer from a reply's frame.

    Raises `ValueError` if the reply has an unknown outcome or error kind.
    """
    error = None
    if frame.error:
        error = CallError(
            kind=ErrorKind(frame.error),
            detail=frame.detail,
            retry_after_ms=frame.retry_after_ms,
        )
    return Answer(
        outcome=Outcome(frame.outcome),
        status=frame.status,
        headers=_read_headers(frame.headers),
        body=body,
        error=error,
        retries_spent=frame.retries_spent,
        ticket=frame.ticket,
    )


def _read_headers(pairs: list[list[bytes]]) -> list[Header]:
    return [(name, value) for name, value in pairs]
