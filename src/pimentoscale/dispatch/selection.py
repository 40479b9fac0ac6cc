"""Which target a call is sent to, and what is learnt from its answers."""

import asyncio
import random
from collections.abc import Container

from pimentoscale.admission import Load
from pimentoscale.call import Answer, CallContext
from pimentoscale.configuration import Kind
from pimentoscale.errors import CallError, ErrorKind
from pimentoscale.membership import Member, MemberState
from pimentoscale.node.state import NodeState
from pimentoscale.outcome import Outcome
from pimentoscale.peering.peers import PeerPool
from pimentoscale.routing import (
    ChoiceRequest,
    LatencyEstimator,
    Target,
    Targets,
    make_choice,
)
from pimentoscale.stream import Hello, Peer, SlowCall
from pimentoscale.timeline import EventName

OWN_OCCUPANCY = 0.5
MIN_RETRY_AFTER_MS = 20


class TargetSelector:
    """Knows the targets of all services, and chooses among them."""

    def __init__(
        self, *, state: NodeState, peers: PeerPool, source: random.Random
    ) -> None:
        self._state = state
        self._peers = peers
        self._services: dict[str, Targets] = {}
        self._usual = LatencyEstimator()
        self._choice = make_choice(name=state.mode.target_choice, source=source)
        peers.up_watchers.append(self._note_up)
        peers.down_watchers.append(self._note_down)
        peers.slow_watchers.append(self._note_slow)

    def count(self, service: str) -> int:
        """Return how many targets a service has."""
        return len(self._services.get(service, ()))

    def get_late_ms(self, kind: str) -> float | None:
        """Return after how long a call of a kind is late; None if not known yet."""
        return self._usual.get_late_ms(kind)

    def update_member(self, member: Member) -> None:
        """Take over a announcement of a member."""
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

    def _note_slow(self, remote: Hello, frame: SlowCall) -> None:
        self.mark_slow(remote.instance, frame.kind, frame.late_ms)

    def mark_slow(self, instance: str, kind: str, late_ms: float) -> None:
        """Take a target's own report that its upstream answers late."""
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

    def choose(
        self,
        context: CallContext,
        kind: Kind,
        tried: Container[str],
        *,
        now: float,
    ) -> Target | CallError:
        """Return the target for the next attempt, or why there is none."""
        targets = self._services.get(kind.service)
        usable = targets.list_usable() if targets else []
        if targets is None or not usable:
            return CallError(kind=ErrorKind.NO_TARGET)
        if self._state.mode.in_order_of_arrival:
            pool = usable
        else:
            pool = targets.list_candidates(
                importance=kind.importance,
                attempted=tried,
                now=now,
            )
        if not pool:
            return _refuse_early(usable)
        policy = self._state.configuration.policy
        request = ChoiceRequest(
            kind=context.kind,
            zone=self._state.zone,
            out_of_zone_ms=policy.out_of_zone_ms,
        )
        own = self._find_own(pool)
        if own is not None and self._should_stay(own, context.kind, now):
            return own
        return self._choice.choose(pool, request, now=now)

    def _should_stay(self, own: Target, kind: str, now: float) -> bool:
        """Tell whether the own upstream has room and is as quick as usual."""
        usual_ms = self._usual.get_late_ms(kind)
        is_quick = usual_ms is None or own.get_latency_ms(kind, now=now) < usual_ms
        return is_quick and own.get_occupancy(now=now) <= OWN_OCCUPANCY

    def _find_own(self, pool: list[Target]) -> Target | None:
        """Return this node's own upstream, which is reached without a hop."""
        if self._state.mode.in_order_of_arrival:
            return None
        own = self._state.identity.instance
        return next((item for item in pool if item.instance == own), None)

    def learn(
        self,
        context: CallContext,
        declared: Kind,
        target: Target,
        answer: Answer,
        load: Load,
        *,
        started: float,
    ) -> None:
        """Learn from an answer how loaded and how quick a target is."""
        now = asyncio.get_running_loop().time()
        if answer.outcome is Outcome.REFUSED:
            target.note_refusal(load=load, now=now)
            return
        latency_ms = (now - started) * 1000
        kind = context.kind
        if answer.outcome is Outcome.ANSWERED:
            self._usual.note_answer(kind=kind, latency_ms=latency_ms)
        target.note_answer(kind=kind, latency_ms=latency_ms, load=load, now=now)
        targets = self._services[declared.service]
        policy = self._state.configuration.policy
        if targets.start_probation_if_slow(target, kind=kind, policy=policy, now=now):
            self._state.record(
                EventName.PROBATION_STARTED, kind=kind, detail=target.instance
            )


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
