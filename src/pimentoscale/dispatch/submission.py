"""Submission of calls that run at most once, through their homes and witnesses."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any, TypeVar

from result import Err, Ok

from pimentoscale.call import (
    Answer,
    Body,
    BodyTruncatedError,
    CallContext,
    CallRequest,
    collect_body,
)
from pimentoscale.configuration import Kind
from pimentoscale.dispatch.frames import make_call, read_reply
from pimentoscale.dispatch.router import Router
from pimentoscale.dispatch.witnesses import WitnessService
from pimentoscale.errors import CallError, ErrorKind
from pimentoscale.expiry import expire_at
from pimentoscale.logs import get_logger
from pimentoscale.membership import Member
from pimentoscale.node.state import NodeState, get_wall_ms
from pimentoscale.outcome import Outcome
from pimentoscale.peering.peers import PeerPool, TrafficClass
from pimentoscale.stream import (
    PeerLostError,
    PeerUnreachableError,
    RecordIntent,
    ResolveTicket,
)
from pimentoscale.ticket import (
    HomeEntry,
    HomeLedger,
    Ticket,
    TicketIssuer,
    TicketStatus,
)
from pimentoscale.ticket.home import StoredAnswer, make_stored_answer
from pimentoscale.timeline import EventName

MAX_REPLACEMENTS = 4
ANSWER_MARGIN_S = 0.25  # time for the other node's report of a time-out to arrive

STATUSES_TO_RUN = (TicketStatus.GRANTED, TicketStatus.INTENT)

T = TypeVar("T")

log = get_logger("ticket")


@dataclass(slots=True, kw_only=True)
class Submission:
    """A call that was submitted under a ticket."""

    ticket: Ticket
    encoded_ticket: str
    context: CallContext
    kind: Kind
    request: CallRequest


class Submissions:
    """Issues tickets and runs the calls submitted under them at most once.

    A call runs through this node if it is the ticket's home, else it is forwarded to
    the home. If the home can't be reached, the ticket's witness decides.
    """

    def __init__(
        self,
        *,
        state: NodeState,
        peers: PeerPool,
        router: Router,
        witness_service: WitnessService,
        issuer: TicketIssuer,
    ) -> None:
        self._state = state
        self._peers = peers
        self._router = router
        self._issuer = issuer
        self._home = HomeLedger()
        self._witness_service = witness_service
        self._runs: set[asyncio.Future[Any]] = set()

    @property
    def in_progress(self) -> int:
        """Return the number of runs that go on, whether or not a caller waits."""
        return len(self._runs)

    def issue_ticket(
        self, *, request: str, caller: str, kind: str, excluded: str = ""
    ) -> str:
        """Return a new ticket with this node as home; empty if no witness is available.

        The witness is never the instance `excluded`.
        """
        witness = self._witness_service.choose(excluded=excluded)
        if witness is None:
            return ""
        ticket = self._issuer.issue(
            request=request,
            caller=caller,
            kind=kind,
            home=self._state.identity,
            witness=witness,
            now_ms=get_wall_ms(),
        )
        return self._issuer.encode(ticket)

    async def submit(
        self,
        encoded_ticket: str,
        context: CallContext,
        kind: Kind,
        request: CallRequest,
    ) -> Answer:
        """Run a call under a ticket at most once, through the ticket's home."""
        # An earlier submission may have run, and a run goes on without its caller.
        context.may_have_run = True
        body = request.body.take_buffered() if request.body.is_complete else None
        for _ in range(MAX_REPLACEMENTS):
            repeated = request if body is None else request.with_body(body)
            submission = self._make_submission(encoded_ticket, context, kind, repeated)
            if isinstance(submission, CallError):
                return Answer.of_error(submission)
            result = await self._submit_once(submission)
            if isinstance(result, Answer):
                return result
            encoded_ticket = result
            if body is None:
                break
        return _make_error(ErrorKind.ALREADY_RAN, "the ticket was replaced")

    async def run_sub_call(
        self, context: CallContext, kind: Kind, request: CallRequest
    ) -> Answer:
        """Run a non-idempotent sub-call at most once, identified by its request id.

        Its parent runs at most once and only on this node's upstream. So this process
        is always the home of the sub-call, and no witness is needed.
        """
        context.may_have_run = True
        key = f"{context.caller}|{context.request}"
        entry = self._home.find(key=key)
        if entry is not None:
            return await self._join(entry, context)
        left_ms = int(context.time_left(now=asyncio.get_running_loop().time()) * 1000)
        entry = self._home.add(key=key, expires_ms=get_wall_ms() + left_ms)
        return await self._run_shielded(self._run(entry, context, kind, request))

    def remove_expired(self) -> None:
        """Remove the entries of both ledgers that are past their retention."""
        now_ms = get_wall_ms()
        self._home.remove_expired(now_ms=now_ms)
        self._witness_service.remove_expired(now_ms=now_ms)

    def _make_submission(
        self,
        encoded_ticket: str,
        context: CallContext,
        kind: Kind,
        request: CallRequest,
    ) -> Submission | CallError:
        """Return the submission of a call, or the error if the ticket is not valid.

        The request id of the context is set to that of the ticket.
        """
        match self._issuer.decode(encoded_ticket):
            case Err(error):
                return error
            case Ok(ticket):
                pass
        if (ticket.caller, ticket.kind) != (context.caller, context.kind):
            detail = "the ticket is for another caller or kind"
            return CallError(kind=ErrorKind.TICKET_INVALID, detail=detail)
        context.request = ticket.request
        return Submission(
            ticket=ticket,
            encoded_ticket=encoded_ticket,
            context=context,
            kind=kind,
            request=request,
        )

    async def _submit_once(self, submission: Submission) -> Answer | str:
        """Return the answer, or the ticket that replaces this one."""
        ticket = submission.ticket
        if ticket.home == self._state.identity:
            return await self._submit_locally(submission)
        if ticket.is_expired(now_ms=get_wall_ms()):
            return _make_error(ErrorKind.TICKET_EXPIRED)
        member = self._state.directory.find(instance=ticket.home.instance)
        if member is None or member.incarnation > ticket.home.incarnation:
            return await self._resolve(submission)
        try:
            return await self._forward_to_home(submission, member)
        except (PeerUnreachableError, PeerLostError) as error:
            log.info(
                "no answer from the ticket's home, resolving the ticket: %s",
                error,
                request=ticket.request,
            )
            return await self._resolve(submission)
        except TimeoutError:
            return _make_error(ErrorKind.ALREADY_RAN, "the home did not answer in time")
        except BodyTruncatedError as error:
            return _make_error(ErrorKind.ALREADY_RAN, str(error))

    async def _forward_to_home(self, submission: Submission, member: Member) -> Answer:
        traffic_class = (
            TrafficClass.LONG
            if submission.kind.length == "long"
            else TrafficClass.SHORT
        )
        peer = await self._peers.wait_up(member, traffic_class)
        context = submission.context
        body = submission.request.body
        frame = make_call(
            context=context,
            request=submission.request,
            retries=context.budget.allocate_all(),
            ticket=submission.encoded_ticket,
            now=asyncio.get_running_loop().time(),
            clock=self._state.tick(),
        )
        async with expire_at(context.deadline + ANSWER_MARGIN_S):
            reply, answer_body = await peer.call(frame, body)
        self._state.observe(reply.clock)
        return read_reply(reply, answer_body)

    async def _resolve(self, submission: Submission) -> Answer | str:
        """Ask the witness for its verdict on a ticket whose home can't be reached.

        Return the answer, or the ticket that replaces a vetoed one.
        """
        ticket = submission.ticket
        # A lost home counts as connected until its missing heartbeats are detected, so
        # it must be excluded here.
        replacement = self.issue_ticket(
            request=ticket.request,
            caller=ticket.caller,
            kind=ticket.kind,
            excluded=ticket.home.instance,
        )
        if not replacement:
            return _make_error(ErrorKind.ALREADY_RAN, "home lost, and no other witness")
        if ticket.witness == self._state.identity:
            verdict = self._witness_service.resolve(ticket, replacement)
        else:
            query = ResolveTicket(
                query=0, ticket=submission.encoded_ticket, replacement=replacement
            )
            verdict = await self._witness_service.query(ticket.witness, query)
        if verdict.status is TicketStatus.VETOED:
            return verdict.replacement
        return _make_error(
            ErrorKind.ALREADY_RAN, f"home lost, witness: {verdict.status.value}"
        )

    async def _submit_locally(self, submission: Submission) -> Answer | str:
        ticket = submission.ticket
        entry = self._home.find(key=ticket.nonce)
        if entry is not None:
            if entry.replacement:
                return entry.replacement
            return await self._join(entry, submission.context)
        if ticket.is_expired(now_ms=get_wall_ms()):
            return _make_error(ErrorKind.TICKET_EXPIRED)
        if self._home.is_full:
            return _make_error(ErrorKind.HOME_FULL)
        entry = self._home.add(key=ticket.nonce, expires_ms=ticket.expires_ms)
        return await self._run_shielded(self._run_with_witness(submission, entry))

    async def _run_shielded(self, run: Coroutine[Any, Any, T]) -> T:
        """Await a run, which goes on to its end even if the caller is cancelled."""
        task = asyncio.ensure_future(run)
        self._runs.add(task)
        task.add_done_callback(self._runs.discard)
        return await asyncio.shield(task)

    async def _run_with_witness(
        self, submission: Submission, entry: HomeEntry
    ) -> Answer | str:
        """Run the call once its witness has recorded the intent.

        Return the answer, or the ticket that replaces a vetoed one.
        """
        ticket = submission.ticket
        query = RecordIntent(query=0, ticket=submission.encoded_ticket)
        verdict = await self._witness_service.query(ticket.witness, query)
        if verdict.status is TicketStatus.VETOED:
            entry.replacement = verdict.replacement
            entry.result.set_result(
                make_stored_answer(_make_error(ErrorKind.ALREADY_RAN), b"")
            )
            return verdict.replacement
        context = submission.context
        if verdict.status not in STATUSES_TO_RUN:
            answer = _make_error(ErrorKind.WITNESS_SILENT, verdict.status.value)
            return self._end_without_run(entry, answer)
        if ticket.is_expired(now_ms=get_wall_ms()):
            return self._end_without_run(entry, _make_error(ErrorKind.TICKET_EXPIRED))
        self._state.record(
            EventName.INTENT_RECORDED, request=ticket.request, kind=ticket.kind
        )
        return await self._run(entry, context, submission.kind, submission.request)

    def _end_without_run(self, entry: HomeEntry, answer: Answer) -> Answer:
        """End a submission without a run, so that the call can be submitted again.

        The answer must not be a refusal: a witness that does not answer may have
        vetoed this ticket, and the call may have run under the replacement.
        """
        self._home.remove(key=entry.key)
        entry.result.set_result(make_stored_answer(answer, b""))
        return answer

    async def _run(
        self,
        entry: HomeEntry,
        context: CallContext,
        kind: Kind,
        request: CallRequest,
    ) -> Answer:
        """Run a call and store its answer for duplicates."""
        answer = _make_error(ErrorKind.ALREADY_RAN, "the run was broken off")
        body = b""
        try:
            routed = await self._router.run(context, kind, request)
            body = await collect_body(routed.body)
            answer = routed
        except BodyTruncatedError as error:
            answer = _make_error(ErrorKind.ALREADY_RAN, f"answer damaged: {error}")
        finally:
            if answer.outcome is Outcome.REFUSED:
                answer.ticket = self._issue_after_refusal(entry, context)
            entry.result.set_result(make_stored_answer(answer, body))
        answer.body = Body.of(body)
        return answer

    def _issue_after_refusal(self, entry: HomeEntry, context: CallContext) -> str:
        """Return a new ticket for a call that did not run.

        A sub-call needs none: its entry is removed, so it can be submitted again.
        """
        if context.depth > 0:
            self._home.remove(key=entry.key)
            return ""
        return self.issue_ticket(
            request=context.request, caller=context.caller, kind=context.kind
        )

    async def _join(self, entry: HomeEntry, context: CallContext) -> Answer:
        """Return the answer to the call of which this one is a duplicate.

        A call in flight is awaited until the deadline of the duplicate.
        """
        self._state.record(
            EventName.CALL_JOINED, request=context.request, kind=context.kind
        )
        try:
            async with asyncio.timeout_at(context.deadline):
                stored = await asyncio.shield(entry.result)
        except TimeoutError:
            return _make_error(ErrorKind.ALREADY_RAN, "it is still running")
        if entry.replacement:
            return _make_error(ErrorKind.ALREADY_RAN, "the ticket was replaced")
        return _restore_answer(stored)


def _make_error(kind: ErrorKind, detail: str = "") -> Answer:
    return Answer.of_error(CallError(kind=kind, detail=detail))


def _restore_answer(stored: StoredAnswer) -> Answer:
    """Return the answer to a duplicate, made from the stored one."""
    if stored.body is None:
        return _make_error(
            ErrorKind.ALREADY_RAN, "it ran; its answer was too large to keep"
        )
    return Answer(
        outcome=stored.outcome,
        status=stored.status,
        headers=stored.headers,
        body=Body.of(stored.body),
        error=stored.error,
        ticket=stored.ticket,
    )
