"""Admission control in front of one upstream's slots, by importance."""

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from pimentoscale.admission.call_queue import CallQueue, Entry
from pimentoscale.admission.limit_algorithms import LimitAlgorithm, Sample
from pimentoscale.admission.slot_shares import Length, SlotShares
from pimentoscale.errors import CallError, ErrorKind

if TYPE_CHECKING:
    # A sidecar uses no versions of a configuration: it starts sooner without them.
    from pimentoscale.configuration import Policy

# Part of the limit with which a cold start begins.
RAMP_START_RATIO = 0.25
SERVICE_TIME_SMOOTHING = 0.1
MIN_RETRY_AFTER_MS = 20
# Time for which a refusal keeps less important calls from being admitted.
THRESHOLD_HOLD_S = 0.2


class Verdict(Enum):
    """The decision on an arriving call."""

    START = "start"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclass(slots=True, kw_only=True)
class Refusal:
    """A call that was refused before it ran, and the error to return."""

    entry: Entry
    error: CallError


class Decision(msgspec.Struct, kw_only=True):
    """The verdict on an arriving call, and the queued calls that it displaced."""

    verdict: Verdict
    error: CallError | None = None
    displaced: list[Refusal] = msgspec.field(default_factory=list)


class Dequeued(msgspec.Struct, kw_only=True):
    """Calls taken off the queue: those started, and those that can't end in time."""

    started: list[Entry] = msgspec.field(default_factory=list)
    expired: list[Refusal] = msgspec.field(default_factory=list)


class Load(msgspec.Struct, kw_only=True, frozen=True):
    """The load that a target reports with each answer.

    `in_flight` counts running and queued calls, `limit` is the concurrency limit,
    `queue_ms` the estimated wait in the queue in milliseconds, and `admitted` the least
    importance that is admitted. `slowdown` is how slow the target's work is at present,
    1 as usual; 0 if the target does not tell.
    """

    in_flight: int
    limit: int
    queue_ms: int
    admitted: int
    slowdown: float = 0.0


class Admission:
    """Decides which calls run, wait or are refused at one upstream.

    No call is refused for lack of capacity while a less important one of either class
    waits. For some time after such a refusal, no less important call is admitted.
    """

    __slots__ = (
        "_algorithm",
        "_policy",
        "_queues",
        "_service_ms",
        "_shares",
        "_started_at",
        "_threshold",
        "_threshold_set_at",
    )

    def __init__(
        self,
        *,
        algorithm: LimitAlgorithm,
        policy: "Policy",
        long_share: float,
        now: float,
    ) -> None:
        self._algorithm = algorithm
        self._policy = policy
        self._shares = SlotShares(long_share=long_share)
        self._queues = {length: CallQueue() for length in Length}
        self._service_ms = dict.fromkeys(Length, 0.0)
        self._started_at = now
        self._threshold = 0
        self._threshold_set_at = -THRESHOLD_HOLD_S

    @property
    def running(self) -> int:
        """Return the number of running calls."""
        return self._shares.total

    @property
    def queued(self) -> int:
        """Return the number of waiting calls."""
        return sum(len(queue) for queue in self._queues.values())

    def configure(self, *, policy: "Policy", long_share: float) -> None:
        """Apply a changed configuration."""
        self._policy = policy
        self._shares.set_long_share(long_share)

    def set_limit_algorithm(self, algorithm: LimitAlgorithm) -> None:
        """Replace the limit algorithm, as when the upstream declares other slots."""
        self._algorithm = algorithm

    def get_limit(self, *, now: float) -> int:
        """Return the concurrency limit, which is reduced during the cold-start ramp."""
        limit = self._algorithm.get_limit()
        ramp_s = self._policy.ramp_s
        if ramp_s > 0 and now - self._started_at < ramp_s:
            progress = (now - self._started_at) / ramp_s
            limit *= RAMP_START_RATIO + (1 - RAMP_START_RATIO) * progress
        return max(
            min(self._policy.min_limit, int(self._algorithm.get_limit())), int(limit)
        )

    def offer(self, entry: Entry, *, now: float) -> Decision:
        """Decide whether an arriving call starts, waits or is refused."""
        entry.arrived = now
        queue = self._queues[entry.length]
        limit = self.get_limit(now=now)
        if entry.importance < self._get_threshold(now):
            return self._refuse(entry, limit, now)
        if not len(queue) and self._shares.may_start(
            entry.length, limit=limit, now=now
        ):
            self._start(entry, now)
            return Decision(verdict=Verdict.START)
        ahead = queue.add(entry)
        if not self._can_meet_deadline(entry, ahead, limit, now):
            return self._displace_or_refuse(entry, limit, now)
        return self._enforce_queue_capacity(entry, limit, now)

    def withdraw(self, entry: Entry) -> bool:
        """Remove a waiting call; return False if it does not wait."""
        return self._queues[entry.length].remove(entry)

    def release(self, entry: Entry, *, is_overload: bool, now: float) -> Dequeued:
        """End a running call and start the waiting calls that may follow."""
        service_ms = (now - entry.started) * 1000
        sample = Sample(
            kind=entry.kind,
            service_ms=service_ms,
            in_flight=self._shares.total,
            is_overload=is_overload,
        )
        self._algorithm.observe(sample, now=now)
        self._shares.end(entry.length)
        previous_ms = self._service_ms[entry.length]
        step_ms = SERVICE_TIME_SMOOTHING * (service_ms - previous_ms)
        self._service_ms[entry.length] = (
            previous_ms + step_ms if previous_ms else service_ms
        )
        return self.start_waiting(now=now)

    def start_waiting(self, *, now: float) -> Dequeued:
        """Start the waiting calls for which there is a free slot."""
        dequeued = Dequeued()
        limit = self.get_limit(now=now)
        while (entry := self._choose_next(limit, now)) is not None:
            self._queues[entry.length].remove(entry)
            if entry.deadline <= now + self._service_ms[entry.length] / 1000:
                error = CallError(kind=ErrorKind.DEADLINE_BEFORE_RUN)
                dequeued.expired.append(Refusal(entry=entry, error=error))
            else:
                self._start(entry, now)
                dequeued.started.append(entry)
        return dequeued

    def report(self, *, now: float) -> Load:
        """Return the load to report with an answer."""
        limit = self.get_limit(now=now)
        return Load(
            in_flight=self.running + self.queued,
            limit=limit,
            queue_ms=int(self._estimate_wait_ms(Length.SHORT, limit)),
            admitted=self._get_admitted_importance(limit, now),
        )

    def _enforce_queue_capacity(self, entry: Entry, limit: int, now: float) -> Decision:
        """Displace the lowest-ranked waiting call if the queues are over capacity."""
        if self.queued <= self._get_queue_capacity(limit):
            return Decision(verdict=Verdict.WAIT)
        lowest = self._get_lowest_ranked()
        self._queues[lowest.length].remove(lowest)
        if lowest is entry:
            return self._refuse(entry, limit, now)
        self._raise_threshold(lowest.importance, now)
        displaced = self._make_refusal(lowest, ErrorKind.DISPLACED, limit)
        return Decision(verdict=Verdict.WAIT, displaced=[displaced])

    def _displace_or_refuse(self, entry: Entry, limit: int, now: float) -> Decision:
        """Displace a less important call; if there is none, refuse the new one.

        For a call that is not expected to end by its deadline.
        """
        lowest = self._get_lowest_ranked()
        if lowest.importance < entry.importance:
            self._queues[lowest.length].remove(lowest)
            displaced = self._make_refusal(lowest, ErrorKind.DISPLACED, limit)
            return Decision(verdict=Verdict.WAIT, displaced=[displaced])
        self._queues[entry.length].remove(entry)
        return self._refuse(entry, limit, now)

    def _get_lowest_ranked(self) -> Entry:
        """Return the waiting call of either class that is to be displaced first."""
        lasts = [queue.get_last() for queue in self._queues.values()]
        return max((last for last in lasts if last), key=lambda last: last.sort_key)

    def _get_threshold(self, now: float) -> int:
        """Return the importance below which no call is admitted at present."""
        if now - self._threshold_set_at >= THRESHOLD_HOLD_S:
            return 0
        return self._threshold

    def _raise_threshold(self, importance: int, now: float) -> None:
        if importance >= self._get_threshold(now):
            self._threshold = importance
            self._threshold_set_at = now

    def _choose_next(self, limit: int, now: float) -> Entry | None:
        """Return the call to start next, or None if no waiting call may start.

        Classes below their share go first, then the more important call. While an
        admission threshold holds, importance alone decides.
        """
        has_threshold = self._get_threshold(now) > 0
        candidates: list[tuple[bool, int, Entry]] = []
        for length, queue in self._queues.items():
            first = queue.get_first()
            if first is None:
                continue
            if self._shares.may_start(length, limit=limit, now=now):
                is_over_share = not self._shares.is_under_share(length, limit=limit)
                is_over_share = is_over_share and not has_threshold
                candidates.append((is_over_share, -first.importance, first))
        if not candidates:
            return None
        return min(candidates, key=lambda item: item[:2])[2]

    def _start(self, entry: Entry, now: float) -> None:
        entry.started = now
        self._shares.start(entry.length, now=now)

    def _can_meet_deadline(
        self, entry: Entry, ahead: int, limit: int, now: float
    ) -> bool:
        service_ms = self._service_ms[entry.length]
        slots = self._shares.get_share(entry.length, limit=limit)
        expected_ms = service_ms * (1 + ahead / slots)
        return now + expected_ms / 1000 <= entry.deadline

    def _get_queue_capacity(self, limit: int) -> int:
        return max(1, int(limit * self._policy.queue_factor))

    def _get_admitted_importance(self, limit: int, now: float) -> int:
        if self.queued < self._get_queue_capacity(limit):
            return self._get_threshold(now)
        return max(self._get_lowest_ranked().importance, self._get_threshold(now))

    def _estimate_wait_ms(self, length: Length, limit: int) -> float:
        slots = self._shares.get_share(length, limit=limit)
        return self._service_ms[length] * len(self._queues[length]) / slots

    def _refuse(self, entry: Entry, limit: int, now: float) -> Decision:
        self._raise_threshold(entry.importance, now)
        refusal = self._make_refusal(entry, ErrorKind.OVERLOADED, limit)
        return Decision(verdict=Verdict.REFUSE, error=refusal.error)

    def _make_refusal(self, entry: Entry, kind: ErrorKind, limit: int) -> Refusal:
        wait_ms = int(self._estimate_wait_ms(entry.length, limit))
        retry_after_ms = max(MIN_RETRY_AFTER_MS, wait_ms)
        error = CallError(kind=kind, retry_after_ms=retry_after_ms)
        return Refusal(entry=entry, error=error)
