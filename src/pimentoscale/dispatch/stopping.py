"""Answers to calls that a stopping node refuses or breaks off."""

from collections.abc import Awaitable

from pimentoscale.call import Answer, CallContext
from pimentoscale.configuration import Kind
from pimentoscale.errors import CallError, ErrorKind
from pimentoscale.logs import get_logger
from pimentoscale.node.state import NodeState
from pimentoscale.outcome import Outcome

NODE_STOPS = "the node stops"

log = get_logger("stop")


async def run_until_stop(
    run: Awaitable[Answer], *, state: NodeState, context: CallContext, kind: Kind
) -> Answer:
    """Return the answer of a run, or that it was broken off since the node stops."""
    try:
        async with state.time_limits.limit():
            return await run
    except TimeoutError:
        answer = _make_broken_off_answer(context, kind)
        log.info(
            "call broken off, since the node stops: %s",
            answer.outcome.value,
            request=context.request,
        )
        return answer


def refuse_for_stop(*, has_ticket: bool) -> Answer:
    """Return the answer to a call that came too late to be taken.

    With a ticket it may have run before, so that a refusal could be untrue.
    """
    kind = ErrorKind.WITNESS_SILENT if has_ticket else ErrorKind.DRAINING
    return Answer.of_error(CallError(kind=kind, detail=NODE_STOPS))


def _make_broken_off_answer(context: CallContext, kind: Kind) -> Answer:
    if not context.may_have_run:
        return refuse_for_stop(has_ticket=False)
    error = CallError(kind=ErrorKind.DEADLINE_WHILE_RUNNING, detail=NODE_STOPS)
    answer = Answer.of_error(error)
    if not kind.idempotent:
        answer.outcome = Outcome.UNKNOWN
    return answer
