"""The targets of one service, with their load and latency as seen by this node."""

import math
from collections.abc import Container, Iterator
from dataclasses import dataclass, field

from pimentoscale.admission import Load
from pimentoscale.configuration import Policy

# Age at which a load report is too old to estimate the occupancy from.
LOAD_VALID_S = 0.5
# Age at which the least admitted importance of a load report no longer applies.
ADMITTED_VALID_S = 0.1
LATENCY_SMOOTHING = 0.3
LATENCY_HALF_LIFE_S = 2.0
PROBATION_MIN_SAMPLES = 5
PROBATION_S = 1.0
# Latency that is assumed of a kind without samples; old measurements decay to it.
DEFAULT_LATENCY_MS = 5.0


@dataclass(slots=True, kw_only=True)
class Latency:
    """The smoothed latency of one kind at one target."""

    value_ms: float = 0.0
    samples: int = 0
    updated_at: float = 0.0


@dataclass(slots=True, kw_only=True, eq=False)
class Target:
    """One upstream as seen from this node.

    `outstanding` is the number of this node's calls that the target has not answered
    yet. `load` is the target's last report, received at `load_at`; it loses validity
    with age. After a failed connection the target counts as admitting no call before
    `unavailable_until`. Times are on the process's monotonic clock, in seconds.
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
    unavailable_until: float = 0.0

    def accepts_new_work(self) -> bool:
        """Return whether new calls may be sent to the target."""
        return self.is_usable and not self.is_draining

    def is_on_probation(self, *, now: float) -> bool:
        """Return whether the target is on probation for being slow."""
        return now < self.probation_until

    def get_latency_ms(self, kind: str, *, now: float) -> float:
        """Return the smoothed latency of a kind, decayed to the default with age."""
        latency = self.latencies.get(kind)
        if latency is None:
            return DEFAULT_LATENCY_MS
        decay = math.exp2((latency.updated_at - now) / LATENCY_HALF_LIFE_S)
        return DEFAULT_LATENCY_MS + (latency.value_ms - DEFAULT_LATENCY_MS) * decay

    def get_occupancy(self, *, now: float) -> float:
        """Return the ratio of calls at the target to its limit; above 1, calls wait.

        The call to be sent is included. Without a valid load report, only this node's
        own calls and the declared slots are used.
        """
        if self.load is None or now - self.load_at > LOAD_VALID_S:
            return (self.outstanding + 1) / max(1, self.slots)
        return (max(self.load.in_flight, self.outstanding) + 1) / max(
            1, self.load.limit
        )

    def admits(self, importance: int, *, now: float) -> bool:
        """Return whether the target is expected to admit a call of this importance."""
        if now < self.unavailable_until:
            return False
        if self.load is None or now - self.load_at > ADMITTED_VALID_S:
            return True
        return importance >= self.load.admitted

    def record_answer(
        self, *, kind: str, latency_ms: float, load: Load, now: float
    ) -> None:
        """Update load and latency from an answer."""
        self.load = load
        self.load_at = now
        latency = self.latencies.setdefault(
            kind, Latency(value_ms=latency_ms, updated_at=now)
        )
        previous_ms = self.get_latency_ms(kind, now=now)
        latency.value_ms = previous_ms + LATENCY_SMOOTHING * (latency_ms - previous_ms)
        latency.samples += 1
        latency.updated_at = now

    def record_slow_call(self, *, kind: str, late_ms: float, now: float) -> None:
        """Raise the latency to at least `late_ms`, for a call that is still unanswered.

        `late_ms` is the time after which an answer of this kind counts as late.
        """
        latency = self.latencies.setdefault(
            kind, Latency(value_ms=late_ms, updated_at=now)
        )
        latency.value_ms = max(self.get_latency_ms(kind, now=now), late_ms)
        latency.updated_at = now

    def record_refusal(self, *, load: Load, now: float) -> None:
        """Update the load from a refusal, which does not measure the latency."""
        self.load = load
        self.load_at = now


class Targets:
    """The targets of one service, and the probation of those that are slow."""

    __slots__ = ("_targets",)

    def __init__(self) -> None:
        self._targets: dict[str, Target] = {}

    def __len__(self) -> int:
        return len(self._targets)

    def __iter__(self) -> Iterator[Target]:
        return iter(self._targets.values())

    def add(self, target: Target) -> None:
        """Add a target, or replace it by its new incarnation."""
        self._targets[target.instance] = target

    def remove(self, *, instance: str) -> None:
        """Remove a target; does nothing if it is not present."""
        self._targets.pop(instance, None)

    def find(self, *, instance: str) -> Target | None:
        """Return the target of an instance, or None."""
        return self._targets.get(instance)

    def list_usable(self) -> list[Target]:
        """Return the targets to which new calls may be sent."""
        return [item for item in self._targets.values() if item.accepts_new_work()]

    def list_candidates(
        self, *, importance: int, attempted: Container[str], now: float
    ) -> list[Target]:
        """Return the targets to choose from; empty if none should admit the call.

        Targets in `attempted` are returned only if there is no other target, and those
        on probation only if all that remain are on probation.
        """
        admitting = [
            item for item in self.list_usable() if item.admits(importance, now=now)
        ]
        unattempted = [item for item in admitting if item.instance not in attempted]
        pool = unattempted or admitting
        healthy = [item for item in pool if not item.is_on_probation(now=now)]
        return healthy or pool

    def start_probation_if_slow(
        self, target: Target, *, kind: str, policy: Policy, now: float
    ) -> bool:
        """Start the probation of a target that is slow; return True if it was started.

        The latency is compared with the best of the service's other targets for the
        same kind. At most the policy's share of the targets is on probation at once.
        """
        own = target.latencies.get(kind)
        if own is None or own.samples < PROBATION_MIN_SAMPLES:
            return False
        best_ms = self._find_best_ms(target, kind, now)
        if best_ms is None or own.value_ms < policy.probation_ratio * best_ms:
            return False
        on_probation = sum(t.is_on_probation(now=now) for t in self._targets.values())
        if on_probation + 1 > policy.probation_share * len(self._targets):
            return False
        target.probation_until = now + PROBATION_S
        target.latencies.clear()
        return True

    def _find_best_ms(self, target: Target, kind: str, now: float) -> float | None:
        values = [
            latency.value_ms
            for other in self._targets.values()
            if other is not target
            and other.accepts_new_work()
            and (latency := other.latencies.get(kind)) is not None
            and latency.samples >= PROBATION_MIN_SAMPLES
            and now - latency.updated_at <= LATENCY_HALF_LIFE_S
        ]
        return min(values, default=None)
