"""A model of one upstream whose speed depends on how much it runs at once.

Up to its knee all runs proceed at full speed; beyond it, each further run slows all of
them, so that the total falls by `decline` of a run's share. A share of each run's time
may be spent waiting for calls to another service, whose time can change.
"""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from pimentoscale.admission.limit_algorithms import LimitAlgorithm, Sample

STEP_S = 0.002
# What has waited for this part of its objective is dropped: it could not end in time.
PATIENCE = 0.5


@dataclass(slots=True, kw_only=True)
class Result:
    """What callers got: answers in time and late or never, and the limits over time."""

    good: int = 0
    late: int = 0
    expired: int = 0
    waits_s: list[float] = field(default_factory=list)
    limits: list[tuple[float, float]] = field(default_factory=list)

    @property
    def share(self) -> float:
        """Return the share of requests that was answered in time."""
        return self.good / max(1, self.good + self.late + self.expired)

    def get_limit_at(self, time: float) -> float:
        """Return the limit at a time."""
        return max(item for item in self.limits if item[0] <= time)[1]


@dataclass(slots=True, kw_only=True)
class _Run:
    arrived: float
    work_s: float
    call_ends: float = 0.0
    has_called: bool = False


@dataclass(slots=True, kw_only=True)
class Upstream:
    """The upstream and the load on it; times in seconds, rates a second."""

    slots: int
    knee: int
    decline: float
    work_s: float
    objective_s: float
    rate: Callable[[float], float]
    speed: Callable[[float], float] = lambda time: 1.0
    call_s: Callable[[float], float] = lambda time: 0.0

    def run(
        self, algorithm: LimitAlgorithm, *, seconds: float, rng: random.Random
    ) -> Result:
        """Play the load against a limit and return what callers got."""
        result = Result()
        waiting: deque[_Run] = deque()
        working: list[_Run] = []
        calling: list[tuple[float, int, _Run]] = []
        numbers = itertools.count()
        for step in range(round(seconds / STEP_S)):
            now = step * STEP_S
            for _ in range(_draw_count(self.rate(now) * STEP_S, rng)):
                work_s = self.work_s * rng.uniform(0.5, 1.5)
                waiting.append(_Run(arrived=now, work_s=work_s))
            while calling and calling[0][0] <= now:
                working.append(heapq.heappop(calling)[2])
            advance = STEP_S * self.speed(now) * self._get_pace(len(working))
            still: list[_Run] = []
            for run in working:
                run.work_s -= advance
                if run.work_s > 0 and (run.has_called or run.work_s > self.work_s / 2):
                    still.append(run)
                elif not run.has_called and self.call_s(now) > 0:
                    run.has_called = True
                    ends = now + self.call_s(now)
                    heapq.heappush(calling, (ends, next(numbers), run))
                elif run.work_s > 0:
                    run.has_called = True
                    still.append(run)
                else:
                    in_flight = len(working) + len(calling)
                    self._end(run, algorithm, result, in_flight, len(calling), now)
            working = still
            while waiting and len(working) + len(calling) < int(algorithm.get_limit()):
                run = waiting.popleft()
                if now - run.arrived > PATIENCE * self.objective_s:
                    result.expired += 1
                    continue
                run.call_ends = now
                working.append(run)
            if step % 50 == 0:
                result.limits.append((now, algorithm.get_limit()))
        return result

    def _get_pace(self, count: int) -> float:
        if count <= self.knee:
            return 1.0
        total = self.knee - self.decline * (count - self.knee)
        return max(0.1 * self.knee, total) / count

    def _end(
        self,
        run: _Run,
        algorithm: LimitAlgorithm,
        result: Result,
        in_flight: int,
        calls: int,
        now: float,
    ) -> None:
        elapsed_s = now - run.arrived
        result.waits_s.append(elapsed_s)
        if elapsed_s <= self.objective_s:
            result.good += 1
        else:
            result.late += 1
        # `call_ends` is when the run began.
        sample = Sample(
            kind="k",
            service_ms=1000 * (now - run.call_ends),
            in_flight=in_flight,
            is_overload=False,
            calls=calls,
        )
        algorithm.observe(sample, now=now)


def _draw_count(expected: float, rng: random.Random) -> int:
    return int(expected) + (rng.random() < expected % 1)
