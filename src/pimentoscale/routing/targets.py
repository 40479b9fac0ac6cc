"""What a node knows of the targets of one service."""

import math
from collections.abc import Container, Iterator
from dataclasses import dataclass, field

from pimentoscale.admission import Load
from pimentoscale.configuration import Policy

LOAD_VALID_S = 0.5
REFUSED_PAUSE_S = 0.1
LATENCY_SMOOTHING = 0.3
LATENCY_HALF_LIFE_S = 2.0
PROBATION_MIN_SAMPLES = 5
PROBATION_S = 1.0
DEFAULT_LATENCY_MS = 5.0


@dataclass(slots=True, kw_only=True)
class Latency:
    """A smoothed latency of one kind at one target."""

    value_ms: float = 0.0
    samples: int = 0
    at: float = 0.0


@dataclass(slots=True, kw_only=True, eq=False)
class Target:
    """One upstream as seen from this node.

    `out` counts this node's own calls that the target has not answered; `load`
    is the target's own last report, which is worth less as it ages.
    """

    instance: str
    zone: str
    service: str
    slots: int
    is_usable: bool = True
    is_draining: bool = False
    outstanding: int = 0
    load: Load | None = None
    load_at: float = 0.0
    latencies: dict[str, Latency] = field(default_factory=dict)
    probation_until: float = 0.0
    refused_until: float = 0.0

    def takes_new_work(self) -> bool:
        """Tell whether calls may be sent."""
        return self.is_usable and not self.is_draining

    def is_on_probation(self, *, now: float) -> bool:
        """Tell whether it is left out for being slow."""
        return now < self.probation_until

    def get_latency_ms(self, kind: str, *, now: float) -> float:
        """Return the smoothed latency of a kind, faded as it ages."""
        known = self.latencies.get(kind)
        if known is None:
            return DEFAULT_LATENCY_MS
        fade = math.exp2((known.at - now) / LATENCY_HALF_LIFE_S)
        return DEFAULT_LATENCY_MS + (known.value_ms - DEFAULT_LATENCY_MS) * fade

    def get_occupancy(self, *, now: float) -> float:
        """Return the calls there as a part of its limit; above 1 they wait."""
        if self.load is None or now - self.load_at > LOAD_VALID_S:
            return (self.outstanding + 1) / max(1, self.slots)
        return (max(self.load.in_flight, self.outstanding) + 1) / max(
            1, self.load.limit
        )

    def admits(self, importance: int, *, now: float) -> bool:
        """Tell whether it would take a call in, by its own last report."""
        if now < self.refused_until:
            return False
        if self.load is None or now - self.load_at > REFUSED_PAUSE_S:
            return True
        return importance >= self.load.admitted

    def note_answer(
        self, *, kind: str, latency_ms: float, load: Load, now: float
    ) -> None:
        """Learn from an answer."""
        self.load = load
        self.load_at = now
        known = self.latencies.setdefault(kind, Latency(value_ms=latency_ms, at=now))
        faded_ms = self.get_latency_ms(kind, now=now)
        known.value_ms = faded_ms + LATENCY_SMOOTHING * (latency_ms - faded_ms)
        known.samples += 1
        known.at = now

    def note_late(self, *, kind: str, late_ms: float, now: float) -> None:
        """Learn that a call has not been answered after its usual time."""
        known = self.latencies.setdefault(kind, Latency(value_ms=late_ms, at=now))
        known.value_ms = max(self.get_latency_ms(kind, now=now), late_ms)
        known.at = now

    def note_refusal(self, *, load: Load, now: float) -> None:
        """Learn from a refusal, which says nothing of latency."""
        self.load = load
        self.load_at = now


class Targets:
    """The targets of one service, with the rule that puts stragglers aside."""

    __slots__ = ("_targets",)

    def __init__(self) -> None:
        self._targets: dict[str, Target] = {}

    def __len__(self) -> int:
        return len(self._targets)

    def __iter__(self) -> Iterator[Target]:
        return iter(self._targets.values())

    def add(self, target: Target) -> None:
        """Add a target or take over its new incarnation."""
        self._targets[target.instance] = target

    def remove(self, *, instance: str) -> None:
        """Forget a target that is gone."""
        self._targets.pop(instance, None)

    def find(self, *, instance: str) -> Target | None:
        """Return a target by its instance."""
        return self._targets.get(instance)

    def list_usable(self) -> list[Target]:
        """Return those that take new work."""
        return [item for item in self._targets.values() if item.takes_new_work()]

    def list_candidates(
        self, *, importance: int, attempted: Container[str], now: float
    ) -> list[Target]:
        """Return the best group of targets to choose from; empty if none admits.

        Targets that were not attempted yet come first, those on probation last.
        """
        admitting = [
            item for item in self.list_usable() if item.admits(importance, now=now)
        ]
        fresh = [item for item in admitting if item.instance not in attempted]
        pool = fresh or admitting
        quick = [item for item in pool if not item.is_on_probation(now=now)]
        return quick or pool

    def start_probation_if_slow(
        self, target: Target, *, kind: str, policy: Policy, now: float
    ) -> bool:
        """Put a straggler on probation; return True if that was done.

        A target is judged by its siblings' best latency for the same kind, and no
        more than the policy's share of them is out at once.
        """
        own = target.latencies.get(kind)
        if own is None or own.samples < PROBATION_MIN_SAMPLES:
            return False
        best = self._find_best_ms(target, kind, now)
        if best is None or own.value_ms < policy.probation_ratio * best:
            return False
        out = sum(t.is_on_probation(now=now) for t in self._targets.values())
        if out + 1 > policy.probation_share * len(self._targets):
            return False
        target.probation_until = now + PROBATION_S
        target.latencies.clear()
        return True

    def _find_best_ms(self, target: Target, kind: str, now: float) -> float | None:
        values = [
            latency.value_ms
            for sibling in self._targets.values()
            if sibling is not target
            and sibling.takes_new_work()
            and (latency := sibling.latencies.get(kind)) is not None
            and latency.samples >= PROBATION_MIN_SAMPLES
            and now - latency.at <= LATENCY_HALF_LIFE_S
        ]
        return min(values, default=None)
