"""Calls that run at most once: their way over home and witness."""

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
from pimentoscale.dispatch.witnesses import Witnesses
from pimentoscale.errors import CallError, ErrorKind
from pimentoscale.logs import get_logger
from pimentoscale.membership import Member
from pimentoscale.node.state import NodeState, get_wall_ms
from pimentoscale.outcome import Outcome
from pimentoscale.peering.peers import Lane, PeerPool
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
from pimentoscale.ticket.home import KeptAnswer, keep_answer
from pimentoscale.timeline import EventName

MAX_REPLACEMENTS = 4
ANSWER_MARGIN_S = 0.25

MAY_RUN = (TicketStatus.GRANTED, TicketStatus.INTENT)

T = TypeVar("T")

log = get_logger("ticket")


@dataclass(slots=True, kw_only=True)
class Submission:
    """A call under a ticket, as it came in."""

    ticket: Ticket
    text: str
    context: CallContext
    kind: Kind
    request: CallRequest


class Submissions:
    """Issues tickets, acts as home and as witness, and finds the home of others."""

    def __init__(
        self,
        *,
        state: NodeState,
        peers: PeerPool,
        router: Router,
        witnesses: Witnesses,
        issuer: TicketIssuer,
    ) -> None:
        self._state = state
        self._peers = peers
        self._router = router
        self._issuer = issuer
        self._home = HomeLedger()
        self._witnesses = witnesses
        self._runs: set[asyncio.Future[Any]] = set()

    def issue_ticket(
        self, *, request: str, caller: str, kind: str, avoided: str = ""
    ) -> str:
        """Return a new ticket with this node as home; empty without a witness.

        `avoided` is an instance that is not to be the witness.
        """
        witness = self._witnesses.choose(avoided=avoided)
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
        self, text: str, context: CallContext, kind: Kind, request: CallRequest
    ) -> Answer:
        """Run a call under a ticket, here or at its home, at most once."""
        data = request.body.take_buffered() if request.body.is_complete else None
        for _ in range(MAX_REPLACEMENTS):
            again = request if data is None else request.repeat(data)
            submission = self._read(text, context, kind, again)
            if isinstance(submission, CallError):
                return Answer.of_error(submission)
            step = await self._submit_once(submission)
            if isinstance(step, Answer):
                return step
            text = step
            if data is None:
                break
        return _end(ErrorKind.ALREADY_RAN, "the ticket was replaced")

    async def run_sub_call(
        self, context: CallContext, kind: Kind, request: CallRequest
    ) -> Answer:
        """Run a non-idempotent sub-call once for its derived request id.

        Its parent runs at most once and only on this node's upstream, so this
        process is its home and no witness is needed.
        """
        key = f"{context.caller}|{context.request}"
        entry = self._home.find(key=key)
        if entry is not None:
            return await self._join(entry, context)
        left_ms = int(context.time_left(now=asyncio.get_running_loop().time()) * 1000)
        entry = self._home.open(key=key, expires_ms=get_wall_ms() + left_ms)
        return await self._shield(self._run(entry, context, kind, request))

    def remove_expired(self) -> None:
        """Drop what no ticket can name any more."""
        now_ms = get_wall_ms()
        self._home.remove_expired(now_ms=now_ms)
        self._witnesses.remove_expired(now_ms=now_ms)

    def _read(
        self, text: str, context: CallContext, kind: Kind, request: CallRequest
    ) -> Submission | CallError:
        match self._issuer.decode(text):
            case Err(error):
                return error
            case Ok(ticket):
                pass
        if (ticket.caller, ticket.kind) != (context.caller, context.kind):
            detail = "the ticket is for another caller or kind"
            return CallError(kind=ErrorKind.TICKET_INVALID, detail=detail)
        context.request = ticket.request
        return Submission(
            ticket=ticket, text=text, context=context, kind=kind, request=request
        )

    async def _submit_once(self, submission: Submission) -> Answer | str:
        """Return the answer, or the ticket that stands in this one's place."""
        ticket = submission.ticket
        if ticket.home == self._state.identity:
            return await self._submit_here(submission)
        if ticket.is_expired(now_ms=get_wall_ms()):
            return _end(ErrorKind.TICKET_EXPIRED)
        member = self._state.directory.find(instance=ticket.home.instance)
        if member is None or member.incarnation > ticket.home.incarnation:
            return await self._resolve(submission)
        try:
            return await self._send_home(submission, member)
        except (PeerUnreachableError, PeerLostError) as error:
            log.info("home lost: %s", error, request=ticket.request)
            return await self._resolve(submission)
        except TimeoutError:
            return _end(ErrorKind.ALREADY_RAN, "the home did not answer in time")
        except BodyTruncatedError as error:
            return _end(ErrorKind.ALREADY_RAN, str(error))

    async def _send_home(self, submission: Submission, member: Member) -> Answer:
        lane = Lane.LONG if submission.kind.length == "long" else Lane.SHORT
        peer = await self._peers.wait_up(member, lane)
        context = submission.context
        body = submission.request.body
        frame = make_call(
            context=context,
            request=submission.request,
            retries=context.budget.allocate_all(),
            ticket=submission.text,
            now=asyncio.get_running_loop().time(),
            clock=self._state.tick(),
        )
        async with asyncio.timeout_at(context.deadline + ANSWER_MARGIN_S):
            reply, answer_body = await peer.call(frame, body)
        self._state.observe(reply.clock)
        return read_reply(reply, answer_body)

    async def _resolve(self, submission: Submission) -> Answer | str:
        """Ask the witness what becomes of a ticket whose home is out of reach."""
        ticket = submission.ticket
        # The lost home still counts as connected until its silence is noticed.
        replacement = self.issue_ticket(
            request=ticket.request,
            caller=ticket.caller,
            kind=ticket.kind,
            avoided=ticket.home.instance,
        )
        if not replacement:
            return _end(ErrorKind.ALREADY_RAN, "home lost, and no other witness")
        if ticket.witness == self._state.identity:
            verdict = self._witnesses.rule(ticket, replacement)
        else:
            query = ResolveTicket(
                query=0, ticket=submission.text, replacement=replacement
            )
            verdict = await self._witnesses.ask(ticket.witness, query)
        if verdict.status is TicketStatus.VETOED:
            return verdict.replacement
        return _end(
            ErrorKind.ALREADY_RAN, f"home lost, witness: {verdict.status.value}"
        )

    async def _submit_here(self, submission: Submission) -> Answer | str:
        ticket = submission.ticket
        entry = self._home.find(key=ticket.nonce)
        if entry is not None:
            if entry.replacement:
                return entry.replacement
            return await self._join(entry, submission.context)
        if ticket.is_expired(now_ms=get_wall_ms()):
            return _end(ErrorKind.TICKET_EXPIRED)
        if self._home.is_full:
            return _end(ErrorKind.HOME_FULL)
        entry = self._home.open(key=ticket.nonce, expires_ms=ticket.expires_ms)
        return await self._shield(self._run_with_witness(submission, entry))

    async def _shield(self, run: Coroutine[Any, Any, T]) -> T:
        """Let a run go on to its end even if its caller goes away."""
        task = asyncio.ensure_future(run)
        self._runs.add(task)
        task.add_done_callback(self._runs.discard)
        return await asyncio.shield(task)

    async def _run_with_witness(
        self, submission: Submission, entry: HomeEntry
    ) -> Answer | str:
        """Run once the witness has the intent on record."""
        ticket = submission.ticket
        query = RecordIntent(query=0, ticket=submission.text)
        verdict = await self._witnesses.ask(ticket.witness, query)
        if verdict.status is TicketStatus.VETOED:
            entry.replacement = verdict.replacement
            entry.ended.set_result(keep_answer(_end(ErrorKind.ALREADY_RAN), b""))
            return verdict.replacement
        context = submission.context
        if verdict.status not in MAY_RUN:
            answer = _end(ErrorKind.WITNESS_SILENT, verdict.status.value)
            return self._decline(entry, answer)
        if ticket.is_expired(now_ms=get_wall_ms()):
            return self._decline(entry, _end(ErrorKind.TICKET_EXPIRED))
        self._state.record(
            EventName.INTENT_RECORDED, request=ticket.request, kind=ticket.kind
        )
        return await self._run(entry, context, submission.kind, submission.request)

    def _decline(self, entry: HomeEntry, answer: Answer) -> Answer:
        """End a submission that ran nothing here, so that it may come again.

        It is not called refused: while the witness is silent, it may have vetoed
        this ticket, and the call may have run under the ticket's replacement.
        """
        self._home.reopen(key=entry.key)
        entry.ended.set_result(keep_answer(answer, b""))
        return answer

    async def _run(
        self,
        entry: HomeEntry,
        context: CallContext,
        kind: Kind,
        request: CallRequest,
    ) -> Answer:
        answer = _end(ErrorKind.ALREADY_RAN, "the run was broken off")
        body = b""
        try:
            ended = await self._router.run(context, kind, request)
            body = await collect_body(ended.body)
            answer = ended
        except BodyTruncatedError as error:
            answer = _end(ErrorKind.ALREADY_RAN, f"answer damaged: {error}")
        finally:
            if answer.outcome is Outcome.REFUSED:
                answer.ticket = self._replace_refused(entry, context)
            entry.ended.set_result(keep_answer(answer, body))
        answer.body = Body.of(body)
        return answer

    def _replace_refused(self, entry: HomeEntry, context: CallContext) -> str:
        """Return a fresh ticket for a call that surely did not run.

        A sub-call needs none: its key is free again.
        """
        if context.depth > 0:
            self._home.reopen(key=entry.key)
            return ""
        return self.issue_ticket(
            request=context.request, caller=context.caller, kind=context.kind
        )

    async def _join(self, entry: HomeEntry, context: CallContext) -> Answer:
        """Wait for the running call of which this one is a duplicate."""
        self._state.record(
            EventName.CALL_JOINED, request=context.request, kind=context.kind
        )
        try:
            async with asyncio.timeout_at(context.deadline):
                kept = await asyncio.shield(entry.ended)
        except TimeoutError:
            return _end(ErrorKind.ALREADY_RAN, "it is still running")
        if entry.replacement:
            return _end(ErrorKind.ALREADY_RAN, "the ticket was replaced")
        return _repeat(kept)


def _end(kind: ErrorKind, detail: str = "") -> Answer:
    return Answer.of_error(CallError(kind=kind, detail=detail))


def _repeat(kept: KeptAnswer) -> Answer:
    """Return a kept answer once more."""
    if kept.body is None:
        return _end(ErrorKind.ALREADY_RAN, "it ran; its answer was too large to keep")
    return Answer(
        outcome=kept.outcome,
        status=kept.status,
        headers=kept.headers,
        body=Body.of(kept.body),
        error=kept.error,
        ticket=kept.ticket,
    )
