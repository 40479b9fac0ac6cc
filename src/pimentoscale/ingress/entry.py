"""Handles calls from callers and sub-calls from the node's own upstream."""

import asyncio

from pimentoscale.call import (
    Answer,
    CallContext,
    CallRequest,
    RequestBudgets,
    RetryBudget,
)
from pimentoscale.configuration import Kind
from pimentoscale.dispatch.router import Router
from pimentoscale.dispatch.runner import UpstreamRunner
from pimentoscale.dispatch.stopping import refuse_for_stop, run_until_stop
from pimentoscale.dispatch.submission import Submissions
from pimentoscale.errors import CallError, ErrorKind
from pimentoscale.ingress.head import CallHead
from pimentoscale.node.pause import PauseDetector
from pimentoscale.node.state import NodeState
from pimentoscale.timeline import EventName


class CallEntry:
    """Creates the context of each call; passes it to the router or the submissions."""

    def __init__(
        self,
        *,
        state: NodeState,
        router: Router,
        runner: UpstreamRunner,
        submissions: Submissions,
        pauses: PauseDetector,
    ) -> None:
        self._state = state
        self._router = router
        self._runner = runner
        self._submissions = submissions
        self._pauses = pauses
        self._budgets = RequestBudgets()

    async def handle(self, head: CallHead, request: CallRequest) -> Answer:
        """Return the answer to a call, even if it is refused or fails."""
        now = asyncio.get_running_loop().time()
        if self._pauses.is_stale(now=now):
            await self._pauses.wait_until_current()
        if self._state.version == 0:
            return Answer.of_error(CallError(kind=ErrorKind.NO_CONFIGURATION))
        kind = self._state.find_kind(head.kind)
        if kind is None:
            error = CallError(kind=ErrorKind.UNKNOWN_KIND, detail=head.kind)
            return Answer.of_error(error)
        if head.token:
            return await self._handle_sub_call(head, kind, request, now)
        return await self._handle_root(head, kind, request, now)

    async def _handle_root(
        self, head: CallHead, kind: Kind, request: CallRequest, now: float
    ) -> Answer:
        context = self._make_root_context(head, kind, now)
        expected_s = self._router.get_average_s(head.kind)
        if not self._state.shutdown.may_take(expected_s=expected_s, now=now):
            answer = refuse_for_stop(has_ticket=bool(head.ticket))
            self._record_end(context, answer, now)
            return answer
        self._state.record(
            EventName.CALL_ENTERED, request=context.request, kind=context.kind
        )
        if kind.idempotent or head.ticket:
            answer = await self._run_root(head, context, kind, request)
        else:
            answer = self._require_ticket(head)
        if head.want_ticket and not answer.ticket:
            answer.ticket = self._submissions.issue_ticket(
                request=head.want_ticket, caller=head.caller, kind=head.kind
            )
        self._record_end(context, answer, now)
        return answer

    async def _run_root(
        self, head: CallHead, context: CallContext, kind: Kind, request: CallRequest
    ) -> Answer:
        if kind.idempotent:
            run = self._router.run(context, kind, request)
        else:
            run = self._submissions.submit(head.ticket, context, kind, request)
        return await run_until_stop(run, state=self._state, context=context, kind=kind)

    async def _handle_sub_call(
        self, head: CallHead, kind: Kind, request: CallRequest, now: float
    ) -> Answer:
        parent = self._runner.contexts.find(token=head.token)
        if parent is None:
            error = CallError(kind=ErrorKind.BAD_HEADER, detail="no such running call")
            return Answer.of_error(error)
        timeout_ms = head.timeout_ms or kind.timeout_ms
        context = parent.derive(
            kind=head.kind,
            name=head.sub_call or ("" if kind.idempotent else head.kind),
            deadline=self._state.shutdown.limit_deadline(now + timeout_ms / 1000),
            work_ms=parent.work_ms,
        )
        allocated = context.budget.remaining
        self._state.record(
            EventName.CALL_ENTERED, request=context.request, kind=context.kind
        )
        try:
            if kind.idempotent:
                run = self._router.run(context, kind, request)
            else:
                run = self._submissions.run_sub_call(context, kind, request)
            answer = await run_until_stop(
                run, state=self._state, context=context, kind=kind
            )
        finally:
            parent.budget.reclaim(allocated=allocated, spent=context.budget.close())
        parent.work_ms += int(1000 * (asyncio.get_running_loop().time() - now))
        self._record_end(context, answer, now)
        return answer

    def _make_root_context(self, head: CallHead, kind: Kind, now: float) -> CallContext:
        timeout_ms = head.timeout_ms or kind.timeout_ms
        budget = RetryBudget(retries=kind.retries)
        if head.has_request:
            budget = self._budgets.get_or_create(
                caller=head.caller,
                request=head.request,
                retries=kind.retries,
                now=now,
            )
        return CallContext(
            request=head.request,
            caller=head.caller,
            kind=head.kind,
            deadline=self._state.shutdown.limit_deadline(now + timeout_ms / 1000),
            budget=budget,
            depth=0,
            work_ms=0,
            version=self._state.version,
        )

    def _require_ticket(self, head: CallHead) -> Answer:
        if not head.has_request:
            detail = "pimento-request-id is missing; this kind needs one"
            error = CallError(kind=ErrorKind.BAD_HEADER, detail=detail)
            return Answer.of_error(error)
        ticket = self._submissions.issue_ticket(
            request=head.request, caller=head.caller, kind=head.kind
        )
        error_kind = ErrorKind.TICKET_REQUIRED if ticket else ErrorKind.NO_WITNESS
        answer = Answer.of_error(CallError(kind=error_kind))
        answer.ticket = ticket
        return answer

    def _record_end(self, context: CallContext, answer: Answer, started: float) -> None:
        now = asyncio.get_running_loop().time()
        metrics = self._state.metrics
        metrics.record_duration(kind=context.kind, part="whole", seconds=now - started)
        metrics.count("outcomes", f"{context.kind}:{answer.outcome.value}")
        answer.retries_spent = context.budget.spent
        detail = answer.error.kind.value if answer.error else answer.outcome.value
        self._state.record(
            EventName.CALL_ENDED,
            request=context.request,
            kind=context.kind,
            detail=detail,
        )
