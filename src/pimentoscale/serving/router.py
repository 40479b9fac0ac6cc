"""Sends calls to targets, with retries within the bound."""

import asyncio
import random
from dataclasses import dataclass, field

from pimentoscale.admission import Load
from pimentoscale.call import Answer, BodyBrokenError, CallContext, CallRequest
from pimentoscale.configuration import Kind
from pimentoscale.errors import CallError, ErrorKind
from pimentoscale.logs import get_logger
from pimentoscale.membership import Member, MemberState
from pimentoscale.outcome import Outcome
from pimentoscale.policy import PER_HOP_RETRIES, RetryRule
from pimentoscale.routing import (
    ChoiceRequest,
    HedgeBudget,
    Target,
    Targets,
    UsualTimes,
    make_choice,
)
from pimentoscale.serving.frames import make_call, read_reply
from pimentoscale.serving.peers import Lane, PeerBook
from pimentoscale.serving.runner import UpstreamRunner
from pimentoscale.serving.state import NodeState
from pimentoscale.stream import Hello, Peer, PeerLostError, PeerUnreachableError, Slow
from pimentoscale.timeline import EventName

ANSWER_MARGIN_S = 0.25
UNREACHABLE_PAUSE_S = 0.5
RETRY_PAUSE_S = 0.005
OWN_OCCUPANCY = 0.5
LEAST_TARGETS_TO_HEDGE = 2

log = get_logger("router")


@dataclass(slots=True, kw_only=True)
class _Journey:
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
    """Chooses targets for calls and sees each call to its answer."""

    def __init__(
        self,
        *,
        state: NodeState,
        peers: PeerBook,
        runner: UpstreamRunner,
        source: random.Random,
    ) -> None:
        self._state = state
        self._peers = peers
        self._runner = runner
        self._services: dict[str, Targets] = {}
        self._source = source
        self._hedges = HedgeBudget()
        self._usual = UsualTimes()
        self._choice = make_choice(name=state.mode.target_choice, source=source)
        peers.up_watchers.append(self._note_up)
        peers.down_watchers.append(self._note_down)
        peers.slow_watchers.append(self._note_slow)

    def note_member(self, member: Member) -> None:
        """Take over a word on a member."""
        targets = self._services.setdefault(member.service, Targets())
        if member.state is MemberState.GONE:
            targets.remove(instance=member.instance)
            return
        known = targets.find(instance=member.instance)
        if known is None or member.state is MemberState.ALIVE:
            targets.add(_make_target(member))
        if member.state is MemberState.DRAINING:
            found = targets.find(instance=member.instance)
            if found is not None:
                found.is_draining = True

    def _note_up(self, remote: Hello, peer: Peer) -> None:
        target = self._find_target(remote.instance)
        if target is not None:
            target.is_usable = True

    def _note_down(self, peer: Peer) -> None:
        """Take a target out as soon as a connection to its node is lost."""
        target = self._find_target(self._peers.find_instance(peer) or "")
        if target is not None:
            target.is_usable = False

    def _note_slow(self, remote: Hello, frame: Slow) -> None:
        self.note_slow(remote.instance, frame.kind, frame.late_ms)

    def note_slow(self, instance: str, kind: str, late_ms: float) -> None:
        """Take a target's own word that its upstream answers late."""
        target = self._find_target(instance)
        if target is not None:
            now = asyncio.get_running_loop().time()
            target.note_late(kind=kind, late_ms=late_ms, now=now)

    def _find_target(self, instance: str) -> Target | None:
        member = self._state.directory.find(instance=instance)
        targets = self._services.get(member.service) if member else None
        return targets.find(instance=instance) if targets else None

    def list_targets(self) -> list[Target]:
        """Return all targets, for operators."""
        return [target for targets in self._services.values() for target in targets]

    async def run(
        self, context: CallContext, kind: Kind, request: CallRequest
    ) -> Answer:
        """Run a call on some target of its service.

        A non-idempotent call is tried again only after a refusal, which proves
        that it did not run.
        """
        data = request.body.take_ready() if request.body.is_whole else None
        journey = _Journey(context=context, kind=kind, request=request, data=data)
        while True:
            answer = await self._attempt(journey)
            if answer.outcome is Outcome.FAILED:
                journey.may_have_run = answer.error
            if answer.outcome is Outcome.ANSWERED or not self._may_retry(
                journey, answer
            ):
                return self._conclude(journey, answer)
            self._state.metrics.count("retries", context.kind)
            self._state.record(
                EventName.RETRY_SENT, request=context.request, kind=context.kind
            )
            await asyncio.sleep(RETRY_PAUSE_S * self._source.random())

    def _conclude(self, journey: _Journey, answer: Answer) -> Answer:
        """Return the last answer; a refusal only if no earlier attempt may have run."""
        earlier = journey.may_have_run
        if answer.outcome is Outcome.REFUSED and earlier is not None:
            return Answer.of_error(earlier)
        return answer

    def _may_retry(self, journey: _Journey, answer: Answer) -> bool:
        now = asyncio.get_running_loop().time()
        if not journey.may_repeat(answer) or journey.context.time_left(now=now) <= 0:
            return False
        if self._state.mode.retry_rule is RetryRule.PER_HOP:
            return journey.attempts <= PER_HOP_RETRIES
        error = answer.error
        if error is not None and error.kind is ErrorKind.NO_TARGET:
            return False
        return journey.context.budget.spend()

    async def _attempt(self, journey: _Journey) -> Answer:
        journey.attempts += 1
        now = asyncio.get_running_loop().time()
        target = self._choose(journey, now)
        if isinstance(target, CallError):
            return Answer.of_error(target)
        delay_ms = self._get_hedge_delay_ms(journey)
        if delay_ms is None:
            return await self._attempt_at(journey, target)
        return await self._attempt_hedged(journey, target, delay_ms)

    def _get_hedge_delay_ms(self, journey: _Journey) -> float | None:
        """Return when to send a second attempt; None where there must be none.

        The retry that a hedge costs is set aside before the first attempt is lent
        the rest.
        """
        kind = journey.kind
        is_short = kind.idempotent and kind.length == "short"
        may_hedge = is_short and journey.data is not None
        if not (may_hedge and self._state.mode.sends_hedges):
            return None
        if len(self._services[kind.service]) < LEAST_TARGETS_TO_HEDGE:
            return None
        self._hedges.note_call(part=self._state.configuration.policy.hedge_part)
        delay_ms = self._usual.get_late_ms(journey.context.kind)
        if delay_ms is None or not journey.context.budget.spend():
            return None
        return delay_ms

    async def _attempt_hedged(
        self, journey: _Journey, target: Target, delay_ms: float
    ) -> Answer:
        """Attempt at a target, and at another one too if the answer is late."""
        context = journey.context
        first = asyncio.create_task(self._attempt_at(journey, target))
        attempts = {first}
        try:
            done, _ = await asyncio.wait(attempts, timeout=delay_ms / 1000)
            if done:
                context.budget.refund()
                return first.result()
            other = self._choose_hedge(journey, target, delay_ms)
            if other is None:
                context.budget.refund()
                return await first
            self._state.metrics.count("hedges", context.kind)
            attempts.add(asyncio.create_task(self._attempt_at(journey, other)))
            return await _wait_best(attempts)
        finally:
            for attempt in attempts:
                attempt.cancel()

    def _choose_hedge(
        self, journey: _Journey, late: Target, delay_ms: float
    ) -> Target | None:
        """Return another target for a late call, if one more may be sent."""
        now = asyncio.get_running_loop().time()
        late.note_late(kind=journey.context.kind, late_ms=delay_ms, now=now)
        other = self._choose(journey, now)
        if isinstance(other, CallError) or other.instance in journey.tried:
            return None
        return other if self._hedges.spend() else None

    async def _attempt_at(self, journey: _Journey, target: Target) -> Answer:
        journey.tried.add(target.instance)
        target.out += 1
        try:
            if target.instance == self._state.holder.instance:
                return await self._attempt_here(journey, target)
            return await self._attempt_there(journey, target)
        finally:
            target.out -= 1

    def _choose(self, journey: _Journey, now: float) -> Target | CallError:
        targets = self._services.get(journey.kind.service)
        usable = targets.list_usable() if targets else []
        if targets is None or not usable:
            return CallError(kind=ErrorKind.NO_TARGET)
        if self._state.mode.in_order_of_arrival:
            pool = usable
        else:
            pool = targets.list_candidates(
                importance=journey.kind.importance,
                tried=journey.tried,
                now=now,
            )
        if not pool:
            return _refuse_early(usable)
        policy = self._state.configuration.policy
        request = ChoiceRequest(
            kind=journey.context.kind,
            zone=self._state.zone,
            out_of_zone_ms=policy.out_of_zone_ms,
        )
        own = self._find_own(pool)
        if own is not None and self._should_stay(own, journey, now):
            return own
        return self._choice.choose(pool, request, now=now)

    def _should_stay(self, own: Target, journey: _Journey, now: float) -> bool:
        """Tell whether the own upstream has room and is as quick as usual."""
        kind = journey.context.kind
        usual_ms = self._usual.get_late_ms(kind)
        is_quick = usual_ms is None or own.get_latency_ms(kind, now=now) < usual_ms
        return is_quick and own.get_occupancy(now=now) <= OWN_OCCUPANCY

    def _find_own(self, pool: list[Target]) -> Target | None:
        """Return this node's own upstream, which is reached without a hop."""
        if self._state.mode.in_order_of_arrival:
            return None
        own = self._state.holder.instance
        return next((item for item in pool if item.instance == own), None)

    async def _attempt_here(self, journey: _Journey, target: Target) -> Answer:
        loop = asyncio.get_running_loop()
        started = loop.time()
        answer = await self._runner.run(
            journey.context, journey.kind, journey.make_request()
        )
        load = self._runner.report_load(now=loop.time())
        self._learn(journey, target, answer, load, started)
        return answer

    async def _attempt_there(self, journey: _Journey, target: Target) -> Answer:
        context = journey.context
        member = self._state.directory.find(instance=target.instance)
        lane = Lane.LONG if journey.kind.length == "long" else Lane.SHORT
        loop = asyncio.get_running_loop()
        started = loop.time()
        lent = context.budget.lend_all()
        try:
            if member is None:
                raise PeerUnreachableError(target.instance)
            peer = self._peers.open(member, lane)
            if not peer.is_up:
                peer = await self._peers.wait_up(member, lane)
            answer, load = await self._send(journey, peer, lent)
        except PeerUnreachableError as error:
            context.budget.take_back(lent=lent, spent=0)
            target.refused_until = loop.time() + UNREACHABLE_PAUSE_S
            kind = ErrorKind.PEER_UNREACHABLE
            return Answer.of_error(CallError(kind=kind, detail=str(error)))
        except PeerLostError as error:
            return self._lose(journey, ErrorKind.PEER_LOST, str(error))
        except TimeoutError:
            return self._lose(journey, ErrorKind.DEADLINE_WHILE_RUNNING, "")
        except BodyBrokenError as error:
            return self._lose(journey, ErrorKind.BODY_TRUNCATED, str(error))
        except ValueError as error:
            return self._lose(journey, ErrorKind.ANSWER_DAMAGED, str(error))
        context.budget.take_back(lent=lent, spent=answer.retries_spent)
        self._learn(journey, target, answer, load, started)
        return answer

    async def _send(
        self, journey: _Journey, peer: Peer, lent: int
    ) -> tuple[Answer, Load]:
        context = journey.context
        request = journey.make_request()
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

    def _lose(self, journey: _Journey, kind: ErrorKind, detail: str) -> Answer:
        """Return the answer for a call that may have run; what was lent is spent."""
        answer = Answer.of_error(CallError(kind=kind, detail=detail))
        if not journey.kind.idempotent:
            answer.outcome = Outcome.UNKNOWN
        return answer

    def _learn(
        self,
        journey: _Journey,
        target: Target,
        answer: Answer,
        load: Load,
        started: float,
    ) -> None:
        now = asyncio.get_running_loop().time()
        if answer.outcome is Outcome.REFUSED:
            target.note_refusal(load=load, now=now)
            return
        latency_ms = (now - started) * 1000
        kind = journey.context.kind
        if answer.outcome is Outcome.ANSWERED:
            self._usual.note_answer(kind=kind, latency_ms=latency_ms)
        target.note_answer(kind=kind, latency_ms=latency_ms, load=load, now=now)
        targets = self._services[journey.kind.service]
        policy = self._state.configuration.policy
        if targets.judge(target, kind=kind, policy=policy, now=now):
            self._state.record(
                EventName.PROBATION_STARTED, kind=kind, detail=target.instance
            )


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


def _make_target(member: Member) -> Target:
    return Target(
        instance=member.instance,
        zone=member.zone,
        service=member.service,
        slots=member.slots,
    )


def _refuse_early(pool: list[Target]) -> CallError:
    """Return the refusal that every target would give, at no cost of a hop."""
    waits = [target.load.queue_ms for target in pool if target.load is not None]
    retry_after_ms = max(min(waits, default=0), MIN_RETRY_AFTER_MS)
    return CallError(kind=ErrorKind.OVERLOADED, retry_after_ms=retry_after_ms)


MIN_RETRY_AFTER_MS = 20
