"""Admission before one upstream's slots for requests that are part of trees of calls.

Answers this load: a narrow service that is called several times for each request of a
caller. A refused call throws away all that its tree has already run, so calls of
targets are refused only when they can't end in time. Requests start in the order in
which they are due; among those that must be given up the least important goes first.
"""

from sortedcontainers import SortedDict, SortedKeyList

from pimentoscale.admission.controller import (
    Decision,
    Freed,
    Load,
    Refusal,
    Verdict,
)
from pimentoscale.admission.limit_algorithms import LimitAlgorithm, Sample
from pimentoscale.admission.waiting import Entry
from pimentoscale.errors import CallError, ErrorKind

RUN_SMOOTHING = 0.1
# Run time in milliseconds that is assumed of a kind that has not run yet.
DEFAULT_RUN_MS = 20.0
MIN_RETRY_AFTER_MS = 50
# Bounds the memory that waiting requests take.
MAX_WAITING = 2000


def _get_due(entry: Entry) -> float:
    return entry.due


class RunTimes:
    """Smoothed run times of each kind at one upstream, in milliseconds."""

    __slots__ = ("_runs",)

    def __init__(self) -> None:
        self._runs: dict[str, float] = {}

    def note(self, kind: str, run_ms: float) -> None:
        """Learn from a run that has ended."""
        known = self._runs.get(kind, run_ms)
        self._runs[kind] = known + RUN_SMOOTHING * (run_ms - known)

    def get(self, kind: str) -> float:
        """Return the usual run time of a kind."""
        return self._runs.get(kind, DEFAULT_RUN_MS)


class UrgencyAdmission:
    """Decides which requests run, wait or are refused at one upstream."""

    __slots__ = (
        "_algorithm",
        "_backlog_ms",
        "_by_importance",
        "_runs",
        "_waiting",
        "running",
    )

    def __init__(self, *, algorithm: LimitAlgorithm) -> None:
        self._algorithm = algorithm
        self._runs = RunTimes()
        self._waiting: SortedKeyList[Entry] = SortedKeyList(key=_get_due)
        self._by_importance: SortedDict[int, SortedKeyList[Entry]] = SortedDict()
        self._backlog_ms = 0.0
        self.running = 0

    @property
    def queued(self) -> int:
        """Return the requests that wait."""
        return len(self._waiting)

    def set_limit_algorithm(self, algorithm: LimitAlgorithm) -> None:
        """Take over another algorithm, as for an upstream with other slots."""
        self._algorithm = algorithm

    def get_limit(self) -> int:
        """Return the requests that may run at once."""
        return max(1, int(self._algorithm.get_limit()))

    def offer(self, entry: Entry, *, now: float) -> Decision:
        """Decide on an arrival."""
        entry.arrived = now
        if self.running < self.get_limit() and not self._waiting:
            self._start(entry, now)
            return Decision(verdict=Verdict.START)
        self._add(entry)
        displaced: list[Refusal] = []
        while not self._can_finish(entry, now) or self.queued > MAX_WAITING:
            last = self._find_least(entry)
            if last is None or last is entry:
                self._remove(entry)
                error = self._make_error(ErrorKind.OVERLOADED)
                return Decision(
                    verdict=Verdict.REFUSE, error=error, displaced=displaced
                )
            self._remove(last)
            error = self._make_error(ErrorKind.DISPLACED)
            displaced.append(Refusal(entry=last, error=error))
        return Decision(verdict=Verdict.WAIT, displaced=displaced)

    def withdraw(self, entry: Entry) -> bool:
        """Remove a waiting request; return False if it does not wait."""
        if entry not in self._waiting:
            return False
        self._remove(entry)
        return True

    def release(self, entry: Entry, *, is_overload: bool, now: float) -> Freed:
        """End a request that ran and let the next ones start."""
        self.running -= 1
        run_ms = (now - entry.started) * 1000
        if not is_overload:
            self._runs.note(entry.kind, run_ms)
        sample = Sample(
            kind=entry.kind,
            service_ms=run_ms,
            in_flight=self.running + 1,
            is_overload=is_overload,
        )
        self._algorithm.observe(sample, now=now)
        return self.start_waiting(now=now)

    def start_waiting(self, *, now: float) -> Freed:
        """Start the waiting requests for which there is room."""
        freed = Freed()
        limit = self.get_limit()
        while self._waiting and self.running < limit:
            entry = self._waiting[0]
            self._remove(entry)
            if now + self._runs.get(entry.kind) / 2000 > entry.deadline:
                error = CallError(kind=ErrorKind.DEADLINE_BEFORE_RUN)
                freed.expired.append(Refusal(entry=entry, error=error))
            else:
                self._start(entry, now)
                freed.started.append(entry)
        return freed

    def report(self, *, now: float) -> Load:
        """Return the load for an answer."""
        limit = self.get_limit()
        return Load(
            in_flight=self.running + self.queued,
            limit=limit,
            queue_ms=int(self._backlog_ms / limit),
            admitted=0,
        )

    def _start(self, entry: Entry, now: float) -> None:
        entry.started = now
        self.running += 1

    def _add(self, entry: Entry) -> None:
        self._waiting.add(entry)
        group = self._by_importance.get(entry.importance)
        if group is None:
            group = SortedKeyList(key=_get_due)
            self._by_importance[entry.importance] = group
        group.add(entry)
        self._backlog_ms += self._runs.get(entry.kind)
        entry.expected_ms = self._runs.get(entry.kind)

    def _remove(self, entry: Entry) -> None:
        self._waiting.remove(entry)
        group = self._by_importance[entry.importance]
        group.remove(entry)
        if not group:
            del self._by_importance[entry.importance]
        self._backlog_ms = max(0.0, self._backlog_ms - entry.expected_ms)

    def _can_finish(self, entry: Entry, now: float) -> bool:
        """Tell whether a waiting request ends in time, behind those due before it."""
        place: int = self._waiting.bisect_key_left(entry.due)
        share = (place + 1) / max(1, self.queued)
        wait_ms = share * self._backlog_ms / self.get_limit()
        expected_s = (wait_ms + entry.expected_ms) / 1000
        return now + expected_s <= entry.deadline

    def _find_least(self, entry: Entry) -> Entry | None:
        """Return the waiting request to be given up first, of those due before."""
        for importance, group in self._by_importance.items():
            if importance > entry.importance:
                return None
            place = group.bisect_key_right(entry.due)
            if place:
                last: Entry = group[place - 1]
                return last
        return None

    def _make_error(self, kind: ErrorKind) -> CallError:
        backlog_ms = int(self._backlog_ms / self.get_limit())
        return CallError(kind=kind, retry_after_ms=max(MIN_RETRY_AFTER_MS, backlog_ms))
