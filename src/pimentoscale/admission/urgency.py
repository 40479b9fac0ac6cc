"""Admission control by due time for requests that are part of trees of calls.

Designed for a service with few slots that is called several times for each request of
a caller. Refusing one call wastes all work that its tree has done so far. So calls that
targets make are refused only when they cannot end by their deadline, or not start by
their due time since the upstream states a rate limit. Requests start in the order of
their due times; among those to be displaced the least important goes first, and among
equally important ones one of the organisation that has the most waiting.
"""

from collections import Counter
from collections.abc import Callable

from sortedcontainers import SortedDict, SortedKeyList

from pimentoscale.admission.call_queue import Entry
from pimentoscale.admission.controller import (
    Decision,
    Dequeued,
    Load,
    Refusal,
    Verdict,
)
from pimentoscale.admission.limit_algorithms import LimitAlgorithm, Sample
from pimentoscale.admission.rate_limit import StatedRateLimit
from pimentoscale.admission.slowdown import SlowdownEstimate, SlowdownSlope
from pimentoscale.errors import CallError, ErrorKind

RUN_TIME_SMOOTHING = 0.1
# Assumed run time of a kind that has not run yet.
DEFAULT_RUN_MS = 20.0
MIN_RETRY_AFTER_MS = 50
# Entries among which the one to displace is chosen by its organisation.
COMPARED_ENTRIES = 64
# Bounds the memory that waiting requests use.
MAX_WAITING = 2000


def _get_due(entry: Entry) -> float:
    return entry.due


class RunTimes:
    """Smoothed run time of each kind at one upstream, in milliseconds."""

    __slots__ = ("_run_ms", "_slopes")

    def __init__(self) -> None:
        self._run_ms: dict[str, float] = {}
        self._slopes: dict[str, SlowdownSlope] = {}

    def record(self, kind: str, run_ms: float, *, slowdown: float) -> None:
        """Update the estimate from a run that ended at a slowdown of the target."""
        slope = self._slopes.setdefault(kind, SlowdownSlope())
        slope.record(run_ms=run_ms, slowdown=slowdown)
        usual_ms = max(0.0, run_ms - slope.estimate_excess_ms(slowdown))
        previous_ms = self._run_ms.get(kind, usual_ms)
        self._run_ms[kind] = previous_ms + RUN_TIME_SMOOTHING * (usual_ms - previous_ms)

    def get(self, kind: str, *, slowdown: float) -> float:
        """Return the estimated run time of a kind at a slowdown of the target."""
        slope = self._slopes.get(kind)
        if slope is None:
            return DEFAULT_RUN_MS
        return max(0.0, self._run_ms[kind] + slope.estimate_excess_ms(slowdown))


class UrgencyAdmission:
    """Decides which requests run, wait or are refused at one upstream.

    `running` is the number of running requests, `slowdown` what the upstream tells
    about the speed of its work, and `rate_limit` the rate of requests that it states.
    `count_calls` returns how many calls of the upstream are in progress.
    """

    __slots__ = (
        "_algorithm",
        "_backlog_ms",
        "_by_importance",
        "_run_times",
        "_waiting",
        "_waiting_by_caller",
        "count_calls",
        "rate_limit",
        "running",
        "slowdown",
    )

    def __init__(self, *, algorithm: LimitAlgorithm) -> None:
        self._algorithm = algorithm
        self._run_times = RunTimes()
        self._waiting: SortedKeyList[Entry] = SortedKeyList(key=_get_due)
        self._by_importance: SortedDict[int, SortedKeyList[Entry]] = SortedDict()
        self._waiting_by_caller: Counter[str] = Counter()
        self._backlog_ms = 0.0
        self.running = 0
        self.count_calls: Callable[[], int] = lambda: 0
        self.slowdown = SlowdownEstimate()
        self.rate_limit = StatedRateLimit()

    @property
    def queued(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def set_limit_algorithm(self, algorithm: LimitAlgorithm) -> None:
        """Replace the limit algorithm, as when the upstream declares other slots."""
        self._algorithm = algorithm

    def get_limit(self) -> int:
        """Return the concurrency limit, which is at least 1."""
        return max(1, int(self._algorithm.get_limit()))

    def offer(self, entry: Entry, *, now: float) -> Decision:
        """Decide whether an arriving request starts, waits or is refused."""
        entry.arrived = now
        if (
            self.running < self.get_limit()
            and not self._waiting
            and self.rate_limit.try_send(now=now)
        ):
            self._start(entry, now)
            return Decision(verdict=Verdict.START)
        self._add(entry, now)
        displaced: list[Refusal] = []
        while (reason := self._find_refusal(entry, now)) is not None:
            lowest = self._find_least_important(entry)
            if lowest is None or lowest is entry:
                self._remove(entry)
                error = self._make_error(reason, now)
                return Decision(
                    verdict=Verdict.REFUSE, error=error, displaced=displaced
                )
            self._remove(lowest)
            error = self._make_error(ErrorKind.DISPLACED, now)
            displaced.append(Refusal(entry=lowest, error=error))
        return Decision(verdict=Verdict.WAIT, displaced=displaced)

    def withdraw(self, entry: Entry) -> bool:
        """Remove a waiting request; return False if it does not wait."""
        if entry not in self._waiting:
            return False
        self._remove(entry)
        return True

    def release(self, entry: Entry, *, is_overload: bool, now: float) -> Dequeued:
        """End a running request and start the waiting requests that may follow."""
        self.running -= 1
        run_ms = (now - entry.started) * 1000
        if not is_overload:
            slowdown = self.slowdown.get(now=now)
            self._run_times.record(entry.kind, run_ms, slowdown=slowdown)
        sample = Sample(
            kind=entry.kind,
            service_ms=run_ms,
            in_flight=self.running + 1,
            is_overload=is_overload,
            calls=self.count_calls(),
        )
        self._algorithm.observe(sample, now=now)
        return self.start_waiting(now=now)

    def start_waiting(self, *, now: float) -> Dequeued:
        """Start the waiting requests for which there is a free slot."""
        dequeued = Dequeued()
        if not self._waiting:
            return dequeued
        limit = self.get_limit()
        while self._waiting and self.running < limit:
            entry = self._waiting[0]
            # Dropped if less than half of its estimated run time is left; the divisor
            # also converts milliseconds to seconds.
            run_ms = self.estimate_run_ms(entry.kind, now=now)
            if now + run_ms / 2000 > entry.deadline:
                self._remove(entry)
                error = CallError(kind=ErrorKind.DEADLINE_BEFORE_RUN)
                dequeued.expired.append(Refusal(entry=entry, error=error))
            elif self.rate_limit.try_send(now=now):
                self._remove(entry)
                self._start(entry, now)
                dequeued.started.append(entry)
            else:
                break
        return dequeued

    def estimate_run_ms(self, kind: str, *, now: float) -> float:
        """Return how long a request of a kind is expected to run."""
        return self._run_times.get(kind, slowdown=self.slowdown.get(now=now))

    def refuse_waiting(self, error: CallError) -> Dequeued:
        """Refuse all waiting requests with an error."""
        dequeued = Dequeued()
        for entry in list(self._waiting):
            self._remove(entry)
            dequeued.expired.append(Refusal(entry=entry, error=error))
        return dequeued

    def refuse_late(self, *, now: float) -> Dequeued:
        """Refuse the waiting requests that a new rate limit holds up for too long.

        They may find room at another upstream, or their callers should know early.
        """
        dequeued = Dequeued()
        ahead = 0
        for entry in list(self._waiting):
            if self._can_start_in_time(entry, ahead, now):
                ahead += 1
                continue
            self._remove(entry)
            error = self._make_error(ErrorKind.RATE_LIMITED, now)
            dequeued.expired.append(Refusal(entry=entry, error=error))
        return dequeued

    def get_send_delay_s(self, *, now: float) -> float | None:
        """Return in how many seconds the rate limit allows a waiting request.

        None if no request waits for the limit, but for a free slot or not at all.
        """
        if self.rate_limit.stated is None or not self._waiting:
            return None
        if self.running >= self.get_limit():
            return None
        return self.rate_limit.estimate_wait_s(ahead=0, now=now)

    def report(self, *, now: float) -> Load:
        """Return the load to report with an answer."""
        limit = self.get_limit()
        return Load(
            in_flight=self.running + self.queued,
            limit=limit,
            queue_ms=int(self._estimate_wait_ms(now)),
            admitted=0,
            slowdown=self.slowdown.get(now=now),
        )

    def _start(self, entry: Entry, now: float) -> None:
        entry.started = now
        self.running += 1

    def _add(self, entry: Entry, now: float) -> None:
        self._waiting.add(entry)
        group = self._by_importance.get(entry.importance)
        if group is None:
            group = SortedKeyList(key=_get_due)
            self._by_importance[entry.importance] = group
        group.add(entry)
        if entry.caller:
            self._waiting_by_caller[entry.caller] += 1
        entry.expected_ms = self.estimate_run_ms(entry.kind, now=now)
        self._backlog_ms += entry.expected_ms

    def _remove(self, entry: Entry) -> None:
        self._waiting.remove(entry)
        group = self._by_importance[entry.importance]
        group.remove(entry)
        if not group:
            del self._by_importance[entry.importance]
        if entry.caller:
            self._waiting_by_caller[entry.caller] -= 1
            if not self._waiting_by_caller[entry.caller]:
                del self._waiting_by_caller[entry.caller]
        self._backlog_ms = max(0.0, self._backlog_ms - entry.expected_ms)

    def _find_refusal(self, entry: Entry, now: float) -> ErrorKind | None:
        """Return why a waiting request can't be served in time, or None if it can."""
        if not self._can_meet_deadline(entry, now) or self.queued > MAX_WAITING:
            return ErrorKind.OVERLOADED
        ahead: int = self._waiting.bisect_key_right(entry.due) - 1
        if not self._can_start_in_time(entry, ahead, now):
            return ErrorKind.RATE_LIMITED
        return None

    def _can_start_in_time(self, entry: Entry, ahead: int, now: float) -> bool:
        """Return whether the rate limit lets a request start in time after others."""
        if self.rate_limit.stated is None:
            return True
        start = now + self.rate_limit.estimate_wait_s(ahead=ahead, now=now)
        ends_in_time = start + entry.expected_ms / 1000 <= entry.deadline
        return start <= entry.start_by and ends_in_time

    def _estimate_wait_ms(self, now: float) -> float:
        """Return how long a request that arrives now waits."""
        if not self._backlog_ms and self.rate_limit.stated is None:
            return 0.0
        rate_wait_s = self.rate_limit.estimate_wait_s(ahead=self.queued, now=now)
        return max(self._backlog_ms / self.get_limit(), rate_wait_s * 1000)

    def _can_meet_deadline(self, entry: Entry, now: float) -> bool:
        """Return whether a waiting request should end by its deadline.

        The estimated wait is the part of the backlog that is due before it.
        """
        position: int = self._waiting.bisect_key_left(entry.due)
        share = (position + 1) / max(1, self.queued)
        wait_ms = share * self._backlog_ms / self.get_limit()
        expected_s = (wait_ms + entry.expected_ms) / 1000
        return now + expected_s <= entry.deadline

    def _find_least_important(self, entry: Entry) -> Entry | None:
        """Return the least important request that is due no later than `entry`.

        That may be `entry` itself. Of equally important ones the latest is returned, or
        a late one of an organisation that has more waiting, and None if all are more
        important than `entry`.
        """
        for importance, group in self._by_importance.items():
            if importance > entry.importance:
                return None
            position = group.bisect_key_right(entry.due)
            if position:
                return self._choose_displaced(group, position)
        return None

    def _choose_displaced(self, group: "SortedKeyList[Entry]", position: int) -> Entry:
        """Return one of the last entries before a position, by its organisation."""
        latest: Entry = group[position - 1]
        if len(self._waiting_by_caller) < 2:
            return latest
        most = max(self._waiting_by_caller.values())
        for entry in reversed(group[max(0, position - COMPARED_ENTRIES) : position]):
            if self._waiting_by_caller.get(entry.caller) == most:
                found: Entry = entry
                return found
        return latest

    def _make_error(self, kind: ErrorKind, now: float) -> CallError:
        wait_ms = int(self._estimate_wait_ms(now))
        return CallError(kind=kind, retry_after_ms=max(MIN_RETRY_AFTER_MS, wait_ms))
