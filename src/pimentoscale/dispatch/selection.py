"""Selection of targets, by their state and by their measured load and latency."""

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

MAX_LOCAL_OCCUPANCY = 0.5
MIN_RETRY_AFTER_MS = 20


class TargetSelector:
    """Keeps the targets of all services and selects one for each attempt."""

    def __init__(
        self, *, state: NodeState, peers: PeerPool, rng: random.Random
    ) -> None:
        self._state = state
        self._peers = peers
        self._services: dict[str, Targets] = {}
        self._latencies = LatencyEstimator()
        self._choice = make_choice(name=state.algorithms.target_choice, rng=rng)
        peers.up_watchers.append(self._handle_peer_up)
        peers.down_watchers.append(self._handle_peer_down)
        peers.slow_call_watchers.append(self._handle_slow_call)

    def count(self, service: str) -> int:
        """Return the number of targets of a service."""
        return len(self._services.get(service, ()))

    def get_late_ms(self, kind: str) -> float | None:
        """Return the latency in milliseconds above which a call of a kind is late.

        None if too few calls of the kind were answered yet.
        """
        return self._latencies.get_late_ms(kind)

    def get_average_ms(self, kind: str) -> float:
        """Return the average latency of a kind in milliseconds; 0 without answers."""
        return self._latencies.get_average_ms(kind)

    def update_member(self, member: Member) -> None:
        """Update the targets from the announcement of a member."""
        targets = self._services.setdefault(member.service, Targets())
        if member.state is MemberState.GONE:
            targets.remove(instance=member.instance)
            return
        existing = targets.find(instance=member.instance)
        if existing is None or member.state is MemberState.ALIVE:
            targets.add(_make_target(member))
        if member.state is MemberState.DRAINING:
            target = targets.find(instance=member.instance)
            if target is not None:
                target.is_draining = True

    def _handle_peer_up(self, remote: Hello, peer: Peer) -> None:
        target = self._find_target(remote.instance)
        if target is not None:
            target.is_usable = True

    def _handle_peer_down(self, peer: Peer) -> None:
        """Mark a target as unusable as soon as a connection to its node is lost."""
        target = self._find_target(self._peers.find_instance(peer) or "")
        if target is not None:
            target.is_usable = False

    def _handle_slow_call(self, remote: Hello, frame: SlowCall) -> None:
        self.record_slow_call(remote.instance, frame.kind, frame.late_ms)

    def record_slow_call(self, instance: str, kind: str, late_ms: float) -> None:
        """Raise a target's latency after its report that its upstream answers late."""
        target = self._find_target(instance)
        if target is not None:
            now = asyncio.get_running_loop().time()
            target.record_slow_call(kind=kind, late_ms=late_ms, now=now)

    def _find_target(self, instance: str) -> Target | None:
        member = self._state.directory.find(instance=instance)
        targets = self._services.get(member.service) if member else None
        return targets.find(instance=instance) if targets else None

    def list_targets(self) -> list[Target]:
        """Return the targets of all services."""
        return [target for targets in self._services.values() for target in targets]

    def choose(
        self,
        context: CallContext,
        kind: Kind,
        attempted: Container[str],
        *,
        now: float,
    ) -> Target | CallError:
        """Return the target for the next attempt, or the error if there is none."""
        targets = self._services.get(kind.service)
        usable = targets.list_usable() if targets else []
        if targets is None or not usable:
            return CallError(kind=ErrorKind.NO_TARGET)
        if self._state.algorithms.in_order_of_arrival:
            candidates = usable
        else:
            candidates = targets.list_candidates(
                importance=kind.importance,
                attempted=attempted,
                now=now,
            )
        if not candidates:
            return _make_overload_error(usable)
        policy = self._state.configuration.policy
        request = ChoiceRequest(
            kind=context.kind,
            zone=self._state.zone,
            out_of_zone_ms=policy.out_of_zone_ms,
        )
        local = self._find_local(candidates)
        if local is not None and self._prefers_local(local, context.kind, now):
            return local
        return self._choice.choose(candidates, request, now=now)

    def _prefers_local(self, local: Target, kind: str, now: float) -> bool:
        """Return whether this node's upstream has spare capacity and is not slow."""
        late_ms = self._latencies.get_late_ms(kind)
        is_fast = late_ms is None or local.get_latency_ms(kind, now=now) < late_ms
        return is_fast and local.get_occupancy(now=now) <= MAX_LOCAL_OCCUPANCY

    def _find_local(self, candidates: list[Target]) -> Target | None:
        """Return this node's upstream, which is reached without a network hop."""
        if self._state.algorithms.in_order_of_arrival:
            return None
        instance = self._state.identity.instance
        return next((item for item in candidates if item.instance == instance), None)

    def record_answer(
        self,
        context: CallContext,
        kind: Kind,
        target: Target,
        answer: Answer,
        load: Load,
        *,
        started: float,
    ) -> None:
        """Update a target's load and latency, and start its probation if it is slow."""
        now = asyncio.get_running_loop().time()
        if answer.outcome is Outcome.REFUSED:
            target.record_refusal(load=load, now=now)
            return
        latency_ms = (now - started) * 1000
        kind_name = context.kind
        if answer.outcome is Outcome.ANSWERED:
            self._latencies.record_answer(kind=kind_name, latency_ms=latency_ms)
        target.record_answer(kind=kind_name, latency_ms=latency_ms, load=load, now=now)
        targets = self._services[kind.service]
        policy = self._state.configuration.policy
        if targets.start_probation_if_slow(
            target, kind=kind_name, policy=policy, now=now
        ):
            self._state.record(
                EventName.PROBATION_STARTED, kind=kind_name, detail=target.instance
            )


def _make_target(member: Member) -> Target:
    return Target(
        instance=member.instance,
        zone=member.zone,
        service=member.service,
        slots=member.slots,
    )


def _make_overload_error(targets: list[Target]) -> CallError:
    """Return the error that every target would return, without a network hop."""
    queue_times_ms = [
        target.load.queue_ms for target in targets if target.load is not None
    ]
    retry_after_ms = max(min(queue_times_ms, default=0), MIN_RETRY_AFTER_MS)
    return CallError(kind=ErrorKind.OVERLOADED, retry_after_ms=retry_after_ms)
