"""Sends calls to targets, with retries within the bound."""

import asyncio
import random
from dataclasses import dataclass, field

from pimentoscale.admission import Load
from pimentoscale.call import Answer, BodyTruncatedError, CallContext, CallRequest
from pimentoscale.configuration import Kind
from pimentoscale.dispatch.frames import make_call, read_reply
from pimentoscale.dispatch.runner import UpstreamRunner
from pimentoscale.dispatch.selection import TargetSelector
from pimentoscale.errors import CallError, ErrorKind
from pimentoscale.logs import get_logger
from pimentoscale.node.state import NodeState
from pimentoscale.outcome import Outcome
from pimentoscale.peering.peers import Lane, PeerPool
from pimentoscale.policy import PER_HOP_RETRIES, RetryRule
from pimentoscale.routing import HedgeBudget, Target
from pimentoscale.stream import Peer, PeerLostError, PeerUnreachableError
from pimentoscale.timeline import EventName

ANSWER_MARGIN_S = 0.25
UNREACHABLE_PAUSE_S = 0.5
RETRY_PAUSE_S = 0.005
LEAST_TARGETS_TO_HEDGE = 2
HEDGE_OCCUPANCY = 0.5

log = get_logger("router")


@dataclass(slots=True, kw_only=True)
class _RoutedCall:
    """One call on its way: what was tried, and the body if it can be sent again."""

    context: CallContext
    kind: Kind
    request: CallRequest
    data: bytes | None
    tried: set[str] = field(default_factory=set)
    attempts: int = 0
    may_have_run: CallError | None = None

    def make_request(self) -> CallRequest:
        """Return the request for the next attempt."""
        return self.request if self.data is None else self.request.repeat(self.data)

    def may_repeat(self, answer: Answer) -> bool:
        """Tell whether another attempt can do no harm."""
        if self.data is None:
            return False
        if answer.outcome is Outcome.REFUSED:
            return True
        return answer.outcome is Outcome.FAILED and self.kind.idempotent


class Router:
    """Sees each call to its answer, over as many attempts as its budget allows."""

    def __init__(
        self,
        *,
        state: NodeState,
        peers: PeerPool,
        runner: UpstreamRunner,
        selector: TargetSelector,
        source: random.Random,
    ) -> None:
        self._state = state
        self._peers = peers
        self._runner = runner
        self._selector = selector
        self._source = source
        self._hedges = HedgeBudget()

    async def run(
        self, context: CallContext, kind: Kind, request: CallRequest
    ) -> Answer:
        """Run a call on some target of its service.

        A non-idempotent call is tried again only after a refusal, which proves
        that it did not run.
        """
        data = request.body.take_buffered() if request.body.is_complete else None
        routed = _RoutedCall(context=context, kind=kind, request=request, data=data)
        while True:
            answer = await self._attempt(routed)
            if answer.outcome is Outcome.FAILED:
                routed.may_have_run = answer.error
            if answer.outcome is Outcome.ANSWERED or not self._may_retry(
                routed, answer
            ):
                return self._conclude(routed, answer)
            self._state.metrics.count("retries", context.kind)
            self._state.record(
                EventName.RETRY_SENT, request=context.request, kind=context.kind
            )
            await asyncio.sleep(RETRY_PAUSE_S * self._source.random())

    def _conclude(self, routed: _RoutedCall, answer: Answer) -> Answer:
        """Return the last answer; a refusal only if no earlier attempt may have run."""
        earlier = routed.may_have_run
        if answer.outcome is Outcome.REFUSED and earlier is not None:
            return Answer.of_error(earlier)
        return answer

    def _may_retry(self, routed: _RoutedCall, answer: Answer) -> bool:
        now = asyncio.get_running_loop().time()
        if not routed.may_repeat(answer) or routed.context.time_left(now=now) <= 0:
            return False
        if self._state.mode.retry_rule is RetryRule.PER_HOP:
            return routed.attempts <= PER_HOP_RETRIES
        error = answer.error
        if error is not None and error.kind is ErrorKind.NO_TARGET:
            return False
        return routed.context.budget.spend()

    async def _attempt(self, routed: _RoutedCall) -> Answer:
        routed.attempts += 1
        now = asyncio.get_running_loop().time()
        target = self._selector.choose(
            routed.context, routed.kind, routed.tried, now=now
        )
        if isinstance(target, CallError):
            return Answer.of_error(target)
        delay_ms = self._get_hedge_delay_ms(routed)
        if delay_ms is None:
            return await self._attempt_at(routed, target)
        return await self._attempt_hedged(routed, target, delay_ms)

    def _get_hedge_delay_ms(self, routed: _RoutedCall) -> float | None:
        """Return when to send a second attempt; None where there must be none.

        The retry that a hedge costs is set aside before the first attempt is lent
        the rest.
        """
        kind = routed.kind
        is_short = kind.idempotent and kind.length == "short"
        may_hedge = is_short and routed.data is not None
        if not (may_hedge and self._state.mode.sends_hedges):
            return None
        if self._selector.count(kind.service) < LEAST_TARGETS_TO_HEDGE:
            return None
        self._hedges.note_call(
            hedges_per_call=self._state.configuration.policy.hedge_part
        )
        delay_ms = self._selector.get_late_ms(routed.context.kind)
        if delay_ms is None or not routed.context.budget.spend():
            return None
        return delay_ms

    async def _attempt_hedged(
        self, routed: _RoutedCall, target: Target, delay_ms: float
    ) -> Answer:
        """Attempt at a target, and at another one too if the answer is late."""
        context = routed.context
        first = asyncio.create_task(self._attempt_at(routed, target))
        attempts = {first}
        try:
            done, _ = await asyncio.wait(attempts, timeout=delay_ms / 1000)
            if done:
                context.budget.refund()
                return first.result()
            other = self._choose_hedge(routed, target, delay_ms)
            if other is None:
                context.budget.refund()
                return await first
            self._state.metrics.count("hedges", context.kind)
            attempts.add(asyncio.create_task(self._attempt_at(routed, other)))
            return await _wait_best(attempts)
        finally:
            for attempt in attempts:
                attempt.cancel()

    def _choose_hedge(
        self, routed: _RoutedCall, late: Target, delay_ms: float
    ) -> Target | None:
        """Return another target for a late call, if one more may be sent."""
        now = asyncio.get_running_loop().time()
        late.note_late(kind=routed.context.kind, late_ms=delay_ms, now=now)
        other = self._selector.choose(
            routed.context, routed.kind, routed.tried, now=now
        )
        if isinstance(other, CallError) or other.instance in routed.tried:
            return None
        # Where the other target is busy too, a late call is no straggler's, and a
        # hedge would only take a slot from another call.
        if other.get_occupancy(now=now) > HEDGE_OCCUPANCY:
            return None
        return other if self._hedges.spend() else None

    async def _attempt_at(self, routed: _RoutedCall, target: Target) -> Answer:
        routed.tried.add(target.instance)
        target.outstanding += 1
        try:
            if target.instance == self._state.identity.instance:
                return await self._attempt_here(routed, target)
            return await self._attempt_there(routed, target)
        finally:
            target.outstanding -= 1

    async def _attempt_here(self, routed: _RoutedCall, target: Target) -> Answer:
        loop = asyncio.get_running_loop()
        started = loop.time()
        answer = await self._runner.run(
            routed.context, routed.kind, routed.make_request()
        )
        load = self._runner.report_load(now=loop.time())
        self._selector.learn(
            routed.context, routed.kind, target, answer, load, started=started
        )
        return answer

    async def _attempt_there(self, routed: _RoutedCall, target: Target) -> Answer:
        context = routed.context
        member = self._state.directory.find(instance=target.instance)
        lane = Lane.LONG if routed.kind.length == "long" else Lane.SHORT
        loop = asyncio.get_running_loop()
        started = loop.time()
        lent = context.budget.allocate_all()
        try:
            if member is None:
                raise PeerUnreachableError(target.instance)
            peer = self._peers.open(member, lane)
            if not peer.is_up:
                peer = await self._peers.wait_up(member, lane)
            answer, load = await self._send(routed, peer, lent)
        except PeerUnreachableError as error:
            context.budget.reclaim(allocated=lent, spent=0)
            target.refused_until = loop.time() + UNREACHABLE_PAUSE_S
            kind = ErrorKind.PEER_UNREACHABLE
            return Answer.of_error(CallError(kind=kind, detail=str(error)))
        except PeerLostError as error:
            return self._lose(routed, ErrorKind.PEER_LOST, str(error))
        except TimeoutError:
            return self._lose(routed, ErrorKind.DEADLINE_WHILE_RUNNING, "")
        except BodyTruncatedError as error:
            return self._lose(routed, ErrorKind.BODY_TRUNCATED, str(error))
        except ValueError as error:
            return self._lose(routed, ErrorKind.ANSWER_DAMAGED, str(error))
        context.budget.reclaim(allocated=lent, spent=answer.retries_spent)
        self._selector.learn(
            routed.context, routed.kind, target, answer, load, started=started
        )
        return answer

    async def _send(
        self, routed: _RoutedCall, peer: Peer, lent: int
    ) -> tuple[Answer, Load]:
        context = routed.context
        request = routed.make_request()
        loop = asyncio.get_running_loop()
        frame = make_call(
            context=context,
            request=request,
            retries=lent,
            ticket="",
            now=loop.time(),
            clock=self._state.tick(),
        )
        async with asyncio.timeout_at(context.deadline + ANSWER_MARGIN_S):
            reply, body = await peer.call(frame, request.body)
        self._state.observe(reply.clock)
        load = Load(
            in_flight=reply.in_flight,
            limit=reply.limit,
            queue_ms=reply.queue_ms,
            admitted=reply.admitted,
        )
        return read_reply(reply, body), load

    def _lose(self, routed: _RoutedCall, kind: ErrorKind, detail: str) -> Answer:
        """Return the answer for a call that may have run; what was lent is spent."""
        answer = Answer.of_error(CallError(kind=kind, detail=detail))
        if not routed.kind.idempotent:
            answer.outcome = Outcome.UNKNOWN
        return answer


async def _wait_best(attempts: "set[asyncio.Task[Answer]]") -> Answer:
    """Return the first whole answer, or the last attempt's failure.

    A failure goes before a refusal, since the other attempt may have run.
    """
    pending = set(attempts)
    failed: Answer | None = None
    while True:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for attempt in done:
            answer = attempt.result()
            if answer.outcome is Outcome.ANSWERED:
                return answer
            if failed is None or answer.outcome is Outcome.FAILED:
                failed = answer
        if not pending and failed is not None:
            return failed
