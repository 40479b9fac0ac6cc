"""The admission before one upstream's slots."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from pimentoscale.admission.limit_algorithms import LimitAlgorithm, Sample
from pimentoscale.admission.shares import Length, Shares
from pimentoscale.admission.waiting import Entry, WaitingCalls
from pimentoscale.configuration import Policy
from pimentoscale.errors import CallError, ErrorKind

RAMP_START = 0.25
SERVICE_SMOOTHING = 0.1
MIN_RETRY_AFTER_MS = 20
PRESSURE_S = 0.2


class Verdict(Enum):
    """What becomes of a call that arrives."""

    START = "start"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclass(slots=True, kw_only=True)
class Refusal:
    """A call that was given up before it ran, and why."""

    entry: Entry
    error: CallError


class Decision(msgspec.Struct, kw_only=True):
    """The verdict on an arrival, and the queued calls that it displaced."""

    verdict: Verdict
    error: CallError | None = None
    displaced: list[Refusal] = msgspec.field(default_factory=list)


class Freed(msgspec.Struct, kw_only=True):
    """The calls that a freed slot lets start, and those that came too late."""

    started: list[Entry] = msgspec.field(default_factory=list)
    expired: list[Refusal] = msgspec.field(default_factory=list)


class Load(msgspec.Struct, kw_only=True, frozen=True):
    """The load as reported on each answer."""

    in_flight: int
    limit: int
    queue_ms: int
    admitted: int


class Admission:
    """Decides which calls run, wait or are refused at one upstream.

    No call is refused for lack of room while a less important one waits, of
    either class, and for a while after it no less important one is let in.
    """

    __slots__ = (
        "_algorithm",
        "_policy",
        "_refused_at",
        "_refused_importance",
        "_service_ms",
        "_shares",
        "_started_at",
        "_waiting",
    )

    def __init__(
        self,
        *,
        algorithm: LimitAlgorithm,
        policy: Policy,
        long_share: float,
        now: float,
    ) -> None:
        self._algorithm = algorithm
        self._policy = policy
        self._shares = Shares(long_share=long_share)
        self._waiting = {length: WaitingCalls() for length in Length}
        self._service_ms = dict.fromkeys(Length, 0.0)
        self._started_at = now
        self._refused_importance = 0
        self._refused_at = -PRESSURE_S

    @property
    def running(self) -> int:
        """Return the calls that run."""
        return self._shares.total

    @property
    def queued(self) -> int:
        """Return the calls that wait."""
        return sum(len(waiting) for waiting in self._waiting.values())

    def configure(self, *, policy: Policy, long_share: float) -> None:
        """Take over a changed configuration."""
        self._policy = policy
        self._shares.set_long_share(long_share)

    def set_limit_algorithm(self, algorithm: LimitAlgorithm) -> None:
        """Take over another algorithm, as for an upstream with other slots."""
        self._algorithm = algorithm

    def get_limit(self, *, now: float) -> int:
        """Return the calls that may run at once; less while a cold start ramps."""
        limit = self._algorithm.get_limit()
        ramp_s = self._policy.ramp_s
        if ramp_s > 0 and now - self._started_at < ramp_s:
            part = (now - self._started_at) / ramp_s
            limit *= RAMP_START + (1 - RAMP_START) * part
        return max(
            min(self._policy.min_limit, int(self._algorithm.get_limit())), int(limit)
        )

    def offer(self, entry: Entry, *, now: float) -> Decision:
        """Decide on an arrival."""
        entry.arrived = now
        waiting = self._waiting[entry.length]
        limit = self.get_limit(now=now)
        if entry.importance < self._get_pressure(now):
            return self._refuse(entry, limit, now)
        if not len(waiting) and self._shares.may_start(
            entry.length, limit=limit, now=now
        ):
            self._start(entry, now)
            return Decision(verdict=Verdict.START)
        ahead = waiting.add(entry)
        if not self._can_finish(entry, ahead, limit, now):
            return self._refuse_for_time(entry, limit, now)
        return self._make_room(entry, limit, now)

    def withdraw(self, entry: Entry) -> bool:
        """Remove a waiting call; return False if it does not wait."""
        return self._waiting[entry.length].remove(entry)

    def release(self, entry: Entry, *, is_overload: bool, now: float) -> Freed:
        """End a call that ran and let the next ones start."""
        service_ms = (now - entry.started) * 1000
        sample = Sample(
            kind=entry.kind,
            service_ms=service_ms,
            in_flight=self._shares.total,
            is_overload=is_overload,
        )
        self._algorithm.observe(sample, now=now)
        self._shares.end(entry.length)
        known = self._service_ms[entry.length]
        step = SERVICE_SMOOTHING * (service_ms - known)
        self._service_ms[entry.length] = known + step if known else service_ms
        return self.start_waiting(now=now)

    def start_waiting(self, *, now: float) -> Freed:
        """Start the waiting calls for which there is room."""
        freed = Freed()
        limit = self.get_limit(now=now)
        while (entry := self._choose_next(limit, now)) is not None:
            self._waiting[entry.length].remove(entry)
            if entry.deadline <= now + self._service_ms[entry.length] / 1000:
                error = CallError(kind=ErrorKind.DEADLINE_BEFORE_RUN)
                freed.expired.append(Refusal(entry=entry, error=error))
            else:
                self._start(entry, now)
                freed.started.append(entry)
        return freed

    def report(self, *, now: float) -> Load:
        """Return the load for an answer."""
        limit = self.get_limit(now=now)
        return Load(
            in_flight=self.running + self.queued,
            limit=limit,
            queue_ms=int(self._estimate_wait_ms(Length.SHORT, limit)),
            admitted=self._get_admitted(limit, now),
        )

    def _make_room(self, entry: Entry, limit: int, now: float) -> Decision:
        if self.queued <= self._get_capacity(limit):
            return Decision(verdict=Verdict.WAIT)
        last = self._get_last()
        self._waiting[last.length].remove(last)
        if last is entry:
            return self._refuse(entry, limit, now)
        self._note_pressure(last.importance, now)
        displaced = self._make_refusal(last, ErrorKind.DISPLACED, limit)
        return Decision(verdict=Verdict.WAIT, displaced=[displaced])

    def _refuse_for_time(self, entry: Entry, limit: int, now: float) -> Decision:
        """Refuse a call that can't finish, unless less important ones can yield."""
        last = self._get_last()
        if last.importance < entry.importance:
            self._waiting[last.length].remove(last)
            displaced = self._make_refusal(last, ErrorKind.DISPLACED, limit)
            return Decision(verdict=Verdict.WAIT, displaced=[displaced])
        self._waiting[entry.length].remove(entry)
        return self._refuse(entry, limit, now)

    def _get_last(self) -> Entry:
        """Return the waiting call, of either class, to be given up first."""
        lasts = [waiting.get_last() for waiting in self._waiting.values()]
        return max((last for last in lasts if last), key=lambda last: last.rank)

    def _get_pressure(self, now: float) -> int:
        """Return the importance below which nothing is let in for now."""
        if now - self._refused_at >= PRESSURE_S:
            return 0
        return self._refused_importance

    def _note_pressure(self, importance: int, now: float) -> None:
        if importance >= self._get_pressure(now):
            self._refused_importance = importance
            self._refused_at = now

    def _choose_next(self, limit: int, now: float) -> Entry | None:
        """Return the first call of a class below its share, else of any class.

        Under pressure importance goes before shares.
        """
        is_pressed = self._get_pressure(now) > 0
        candidates: list[tuple[bool, int, Entry]] = []
        for length, waiting in self._waiting.items():
            first = waiting.get_first()
            if first is None:
                continue
            if self._shares.may_start(length, limit=limit, now=now):
                over = not self._shares.is_under_share(length, limit=limit)
                over = over and not is_pressed
                candidates.append((over, -first.importance, first))
        if not candidates:
            return None
        return min(candidates, key=lambda item: item[:2])[2]

    def _start(self, entry: Entry, now: float) -> None:
        entry.started = now
        self._shares.start(entry.length, now=now)

    def _can_finish(self, entry: Entry, ahead: int, limit: int, now: float) -> bool:
        service_ms = self._service_ms[entry.length]
        owned = self._shares.get_owned(entry.length, limit=limit)
        expected_ms = service_ms * (1 + ahead / owned)
        return now + expected_ms / 1000 <= entry.deadline

    def _get_capacity(self, limit: int) -> int:
        return max(1, int(limit * self._policy.queue_factor))

    def _get_admitted(self, limit: int, now: float) -> int:
        if self.queued < self._get_capacity(limit):
            return self._get_pressure(now)
        return max(self._get_last().importance, self._get_pressure(now))

    def _estimate_wait_ms(self, length: Length, limit: int) -> float:
        owned = self._shares.get_owned(length, limit=limit)
        return self._service_ms[length] * len(self._waiting[length]) / owned

    def _refuse(self, entry: Entry, limit: int, now: float) -> Decision:
        self._note_pressure(entry.importance, now)
        refusal = self._make_refusal(entry, ErrorKind.OVERLOADED, limit)
        return Decision(verdict=Verdict.REFUSE, error=refusal.error)

    def _make_refusal(self, entry: Entry, kind: ErrorKind, limit: int) -> Refusal:
        backlog_ms = int(self._estimate_wait_ms(entry.length, limit))
        retry_after_ms = max(MIN_RETRY_AFTER_MS, backlog_ms)
        error = CallError(kind=kind, retry_after_ms=retry_after_ms)
        return Refusal(entry=entry, error=error)
