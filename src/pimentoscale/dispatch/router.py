"""Sending of calls to targets, with retries and hedged attempts."""

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
from pimentoscale.expiry import expire_at
from pimentoscale.logs import get_logger
from pimentoscale.node.state import NodeState
from pimentoscale.outcome import Outcome
from pimentoscale.peering.peers import PeerPool, TrafficClass
from pimentoscale.policy import PER_HOP_RETRIES, RetryRule
from pimentoscale.routing import HedgeBudget, Target
from pimentoscale.stream import Peer, PeerLostError, PeerUnreachableError
from pimentoscale.timeline import EventName

ANSWER_MARGIN_S = 0.25  # time for the other node's report of a time-out to arrive
UNREACHABLE_BACKOFF_S = 0.5
MAX_RETRY_DELAY_S = 0.005
MIN_TARGETS_TO_HEDGE = 2
MAX_HEDGE_OCCUPANCY = 0.5

log = get_logger("router")


@dataclass(slots=True, kw_only=True)
class _RoutedCall:
    """A call that is being routed.

    `body` is the content of the request's body, None if it is streamed and so can't
    be sent again. `attempted` holds the instances to which attempts were sent, and
    `earlier_failure` the error of the last attempt that may have run the call.
    """

    context: CallContext
    kind: Kind
    request: CallRequest
    body: bytes | None
    attempted: set[str] = field(default_factory=set)
    attempts: int = 0
    earlier_failure: CallError | None = None

    def make_request(self) -> CallRequest:
        """Return the request for the next attempt."""
        return self.request if self.body is None else self.request.with_body(self.body)

    def can_retry(self, answer: Answer) -> bool:
        """Return whether the call may be sent again.

        It may after a refusal, since it did not run, and after a failure if it is
        idempotent.
        """
        if self.body is None:
            return False
        if answer.outcome is Outcome.REFUSED:
            return True
        return answer.outcome is Outcome.FAILED and self.kind.idempotent


class Router:
    """Sends each call to a target, and retries it within its retry budget."""

    def __init__(
        self,
        *,
        state: NodeState,
        peers: PeerPool,
        runner: UpstreamRunner,
        selector: TargetSelector,
        rng: random.Random,
    ) -> None:
        self._state = state
        self._peers = peers
        self._runner = runner
        self._selector = selector
        self._rng = rng
        self._hedges = HedgeBudget()

    async def run(
        self, context: CallContext, kind: Kind, request: CallRequest
    ) -> Answer:
        """Run a call on a target of its service.

        A non-idempotent call is retried only after a refusal, which proves that it
        did not run.
        """
        body = request.body.take_buffered() if request.body.is_complete else None
        routed = _RoutedCall(context=context, kind=kind, request=request, body=body)
        while True:
            answer = await self._attempt(routed)
            if answer.outcome is Outcome.FAILED:
                routed.earlier_failure = answer.error
            if answer.outcome is Outcome.ANSWERED or not self._should_retry(
                routed, answer
            ):
                return self._make_final_answer(routed, answer)
            answer.body.discard()
            self._state.metrics.count("retries", context.kind)
            self._state.record(
                EventName.RETRY_SENT, request=context.request, kind=context.kind
            )
            await asyncio.sleep(MAX_RETRY_DELAY_S * self._rng.random())

    def get_average_s(self, kind: str) -> float:
        """Return the average latency of a kind in seconds; 0 without answers."""
        return self._selector.get_average_ms(kind) / 1000

    def _make_final_answer(self, routed: _RoutedCall, answer: Answer) -> Answer:
        """Return the last answer, or the error of an attempt that may have run.

        A refusal states that the call did not run, so it must not be returned if an
        earlier attempt may have run.
        """
        failure = routed.earlier_failure
        if answer.outcome is Outcome.REFUSED and failure is not None:
            return Answer.of_error(failure)
        return answer

    def _should_retry(self, routed: _RoutedCall, answer: Answer) -> bool:
        """Return whether to retry, and spend the retry where retries are budgeted."""
        now = asyncio.get_running_loop().time()
        if not routed.can_retry(answer) or routed.context.time_left(now=now) <= 0:
            return False
        if self._state.algorithms.retry_rule is RetryRule.PER_HOP:
            return routed.attempts <= PER_HOP_RETRIES
        error = answer.error
        if error is not None and error.kind is ErrorKind.NO_TARGET:
            return False
        return routed.context.budget.spend()

    async def _attempt(self, routed: _RoutedCall) -> Answer:
        routed.attempts += 1
        context = routed.context
        # The node may have begun to stop since the call came.
        context.deadline = self._state.shutdown.limit_deadline(context.deadline)
        now = asyncio.get_running_loop().time()
        target = self._selector.choose(
            routed.context, routed.kind, routed.attempted, now=now
        )
        if isinstance(target, CallError):
            return Answer.of_error(target)
        delay_ms = self._get_hedge_delay_ms(routed)
        if delay_ms is None:
            return await self._attempt_at(routed, target)
        return await self._attempt_hedged(routed, target, delay_ms)

    def _get_hedge_delay_ms(self, routed: _RoutedCall) -> float | None:
        """Return the delay of the hedged attempt; None if hedging is not allowed.

        The retry that the hedge costs is spent in advance, because the first attempt
        is allocated all the remaining ones.
        """
        kind = routed.kind
        is_eligible = kind.idempotent and kind.length == "short"
        can_hedge = is_eligible and routed.body is not None
        if not (can_hedge and self._state.algorithms.sends_hedges):
            return None
        if self._selector.count(kind.service) < MIN_TARGETS_TO_HEDGE:
            return None
        self._hedges.record_call(
            hedges_per_call=self._state.configuration.policy.hedge_part
        )
        delay_ms = self._selector.get_late_ms(routed.context.kind)
        if delay_ms is None or not routed.context.budget.spend():
            return None
        return delay_ms

    async def _attempt_hedged(
        self, routed: _RoutedCall, target: Target, delay_ms: float
    ) -> Answer:
        """Send an attempt, and a hedged one to another target if the answer is late."""
        context = routed.context
        first = asyncio.create_task(self._attempt_at(routed, target))
        attempts = {first}
        try:
            done, _ = await asyncio.wait(attempts, timeout=delay_ms / 1000)
            if done:
                context.budget.refund()
                return first.result()
            other = self._choose_hedge_target(routed, target, delay_ms)
            if other is None:
                context.budget.refund()
                return await first
            self._state.metrics.count("hedges", context.kind)
            attempts.add(asyncio.create_task(self._attempt_at(routed, other)))
            answer = await _wait_first_answer(attempts)
            _discard_others(attempts, answer)
            return answer
        finally:
            for attempt in attempts:
                attempt.cancel()

    def _choose_hedge_target(
        self, routed: _RoutedCall, late_target: Target, delay_ms: float
    ) -> Target | None:
        """Return the target of the hedged attempt; None if none may be sent."""
        now = asyncio.get_running_loop().time()
        late_target.record_slow_call(
            kind=routed.context.kind, late_ms=delay_ms, now=now
        )
        other = self._selector.choose(
            routed.context, routed.kind, routed.attempted, now=now
        )
        if isinstance(other, CallError) or other.instance in routed.attempted:
            return None
        # If the other target is busy too, the answer is late because of the load, not
        # because of one slow target, and a hedge would only take another call's slot.
        if other.get_occupancy(now=now) > MAX_HEDGE_OCCUPANCY:
            return None
        return other if self._hedges.spend() else None

    async def _attempt_at(self, routed: _RoutedCall, target: Target) -> Answer:
        routed.attempted.add(target.instance)
        target.outstanding += 1
        try:
            if target.instance == self._state.identity.instance:
                return await self._attempt_locally(routed, target)
            return await self._attempt_remotely(routed, target)
        finally:
            target.outstanding -= 1

    async def _attempt_locally(self, routed: _RoutedCall, target: Target) -> Answer:
        loop = asyncio.get_running_loop()
        started = loop.time()
        answer = await self._runner.run(
            routed.context, routed.kind, routed.make_request()
        )
        load = self._runner.report_load(now=loop.time())
        self._selector.record_answer(
            routed.context, routed.kind, target, answer, load, started=started
        )
        return answer

    async def _attempt_remotely(self, routed: _RoutedCall, target: Target) -> Answer:
        context = routed.context
        member = self._state.directory.find(instance=target.instance)
        traffic_class = (
            TrafficClass.LONG if routed.kind.length == "long" else TrafficClass.SHORT
        )
        loop = asyncio.get_running_loop()
        started = loop.time()
        allocated = context.budget.allocate_all()
        try:
            if member is None:
                raise PeerUnreachableError(target.instance)
            peer = self._peers.open(member, traffic_class)
            if not peer.is_up:
                peer = await self._peers.wait_up(member, traffic_class)
            answer, load = await self._send(routed, peer, allocated)
        except PeerUnreachableError as error:
            context.budget.reclaim(allocated=allocated, spent=0)
            target.unavailable_until = loop.time() + UNREACHABLE_BACKOFF_S
            kind = ErrorKind.PEER_UNREACHABLE
            return Answer.of_error(CallError(kind=kind, detail=str(error)))
        except PeerLostError as error:
            return self._fail_attempt(routed, ErrorKind.PEER_LOST, str(error))
        except TimeoutError:
            return self._fail_attempt(routed, ErrorKind.DEADLINE_WHILE_RUNNING, "")
        except BodyTruncatedError as error:
            return self._fail_attempt(routed, ErrorKind.BODY_TRUNCATED, str(error))
        except ValueError as error:
            return self._fail_attempt(routed, ErrorKind.ANSWER_DAMAGED, str(error))
        context.budget.reclaim(allocated=allocated, spent=answer.retries_spent)
        self._selector.record_answer(
            routed.context, routed.kind, target, answer, load, started=started
        )
        return answer

    async def _send(
        self, routed: _RoutedCall, peer: Peer, allocated: int
    ) -> tuple[Answer, Load]:
        context = routed.context
        request = routed.make_request()
        loop = asyncio.get_running_loop()
        frame = make_call(
            context=context,
            request=request,
            retries=allocated,
            ticket="",
            now=loop.time(),
            clock=self._state.tick(),
        )
        context.may_have_run = True
        async with expire_at(context.deadline + ANSWER_MARGIN_S):
            reply, body = await peer.call(
                frame, request.body, waits_in_silence=not routed.kind.idempotent
            )
        self._state.observe(reply.clock)
        load = Load(
            in_flight=reply.in_flight,
            limit=reply.limit,
            queue_ms=reply.queue_ms,
            admitted=reply.admitted,
        )
        return read_reply(reply, body), load

    def _fail_attempt(
        self, routed: _RoutedCall, kind: ErrorKind, detail: str
    ) -> Answer:
        """Return the answer to an attempt that may have run.

        The retries allocated to it are not reclaimed, so they count as spent.
        """
        answer = Answer.of_error(CallError(kind=kind, detail=detail))
        if not routed.kind.idempotent:
            answer.outcome = Outcome.UNKNOWN
        return answer


def _discard_others(attempts: "set[asyncio.Task[Answer]]", kept: Answer) -> None:
    """Give up the answers that are not returned."""
    for attempt in attempts:
        if attempt.done() and attempt.exception() is None:
            answer = attempt.result()
            if answer is not kept:
                answer.body.discard()


async def _wait_first_answer(attempts: "set[asyncio.Task[Answer]]") -> Answer:
    """Return the first successful answer, or an error if all attempts failed.

    A failure takes precedence over a refusal, since the failed attempt may have run.
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
