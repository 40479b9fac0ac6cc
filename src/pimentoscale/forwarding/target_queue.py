"""The requests that wait for the upstream beside this node."""

import asyncio
from collections.abc import Callable

from pimentoscale.admission import (
    LearnedLimit,
    LimitAlgorithm,
    Load,
    Slot,
    SlotWaiters,
    UrgencyAdmission,
    Verdict,
)
from pimentoscale.errors import CallError
from pimentoscale.forwarding.entries import make_target_limit
from pimentoscale.forwarding.exchange import TargetAnswer
from pimentoscale.logs import get_logger

# Least time between two log lines about told load that is not valid.
LOAD_LOG_S = 1.0
# Least time between two log lines about the rate of an upstream that states a limit.
RATE_LOG_S = 1.0
# Least time between two log lines about the limit, and the change that one tells.
LIMIT_LOG_S = 1.0
LIMIT_LOG_SHARE = 0.2

log = get_logger("target")


class TargetQueue:
    """Lets requests start by the slots of an upstream and the rate that it states.

    What the upstream states with its answers counts for one start of it, until `reset`.
    """

    __slots__ = (
        "_admission",
        "_algorithm",
        "_idle_since",
        "_limit",
        "_limit_logged_at",
        "_load_fault_logged_at",
        "_logged_limit",
        "_rate_logged_at",
        "_rate_logged_count",
        "_slots",
        "_start_count",
        "_start_timer",
        "_waiters",
    )

    def __init__(self, *, algorithm: str, now: float) -> None:
        self._slots = 0
        self._algorithm = algorithm
        self._limit = make_target_limit(1, algorithm=algorithm)
        self._logged_limit = 0.0
        self._limit_logged_at = now
        self._admission = UrgencyAdmission(algorithm=self._limit)
        self._waiters = SlotWaiters(admission=self._admission)
        self._idle_since = now
        self._load_fault_logged_at = -LOAD_LOG_S
        self._start_timer: asyncio.TimerHandle | None = None
        # Requests started since the start of this node, and at the last log line about
        # the rate.
        self._start_count = 0
        self._rate_logged_at = now
        self._rate_logged_count = 0

    @property
    def slots(self) -> int:
        """Return how many requests the upstream runs at once; 0 if not known."""
        return self._slots

    @property
    def rate_limit(self) -> float | None:
        """Return the requests a second that the upstream takes, None if no limit."""
        return self._admission.rate_limit.stated

    @property
    def limit(self) -> LimitAlgorithm:
        """Return the limit of what runs at once."""
        return self._limit

    def count_calls_with(self, count_calls: Callable[[], int]) -> None:
        """Set what tells how many calls of the upstream are in progress."""
        self._admission.count_calls = count_calls

    def log_limit(self, *, now: float) -> None:
        """Log a limit that has changed much since the last line."""
        limit = self._limit.get_limit()
        change = abs(limit - self._logged_limit)
        is_early = now - self._limit_logged_at < LIMIT_LOG_S
        if is_early or change < LIMIT_LOG_SHARE * self._logged_limit:
            return
        learned = self._limit if isinstance(self._limit, LearnedLimit) else None
        log.info(
            "limit of the upstream: %.0f before=%.0f slots=%d running=%d learned=%s",
            limit,
            self._logged_limit,
            self._slots,
            self._admission.running,
            learned.describe() if learned is not None else None,
        )
        self._logged_limit = limit
        self._limit_logged_at = now

    def set_slots(self, slots: int, *, now: float) -> None:
        """Set how many requests the upstream runs at once."""
        self._limit = make_target_limit(slots, algorithm=self._algorithm)
        self._logged_limit = self._limit.get_limit()
        self._admission.set_limit_algorithm(self._limit)
        self._slots = slots
        self._waiters.start_waiting(now=now)

    def reset(self, *, now: float) -> None:
        """Forget what the upstream has stated, as when it has started again."""
        self._admission.rate_limit.reset()
        self._waiters.start_waiting(now=now)

    def close(self) -> None:
        """Start no more waiting requests."""
        if self._start_timer is not None:
            self._start_timer.cancel()

    def get_idle_s(self, *, now: float) -> float:
        """Return for how long no request has run."""
        return 0.0 if self._admission.running else now - self._idle_since

    def report_load(self, *, now: float) -> Load:
        """Return the load to report with a response."""
        return self._admission.report(now=now)

    async def acquire(self, slot: Slot) -> CallError | None:
        """Wait for a slot; return an error if the request is refused or displaced."""
        loop = asyncio.get_running_loop()
        decision = self._waiters.offer(slot, now=loop.time())
        error = decision.error
        if decision.verdict is Verdict.WAIT:
            self._set_start_timer(loop.time())
            error = await self._waiters.wait(slot)
        self._start_count += error is None
        return error

    def estimate_run_s(self, route: str, *, now: float) -> float:
        """Return how long a request of a route is expected to run."""
        return self._admission.estimate_run_ms(route, now=now) / 1000

    def refuse_waiting(self, error: CallError) -> None:
        """Refuse all requests that wait, since the upstream gets no more."""
        count = self._admission.queued
        if count:
            log.info("%d waiting requests refused: %s", count, error.kind.value)
            self._waiters.refuse(self._admission.refuse_waiting(error))

    def release(self, slot: Slot, *, is_overload: bool, now: float) -> None:
        """Release a slot, if it is held, and start the requests that may follow."""
        if not slot.is_held:
            return
        self._waiters.release(slot, is_overload=is_overload, now=now)
        self._set_start_timer(now)
        self._idle_since = now

    def record_load(self, answer: TargetAnswer, *, now: float) -> None:
        """Use the load that the upstream tells; leave it as it was if not valid."""
        if answer.load is not None:
            self._admission.slowdown.record(answer.load.slowdown, now=now)
        elif answer.load_fault and now >= self._load_fault_logged_at + LOAD_LOG_S:
            self._load_fault_logged_at = now
            log.warning("load told by the upstream ignored: %s", answer.load_fault)

    def record_rate(self, answer: TargetAnswer, *, now: float) -> None:
        """Use the rate limit that the upstream states, or its end.

        Only a proven answer can end a limit by not stating it.
        """
        previous = self.rate_limit
        if answer.rate_limit_fault:
            log.warning("stated rate limit ignored: %s", answer.rate_limit_fault)
        elif (
            answer.rate_limit is not None or answer.is_genuine
        ) and self._admission.rate_limit.record(answer.rate_limit, now=now):
            self._apply_rate_limit(previous, source="upstream", now=now)

    def adopt_rate(self, rate_limit: float, *, now: float) -> None:
        """Use a limit of which another node has heard and this one has not yet."""
        previous = self.rate_limit
        if self._admission.rate_limit.adopt(rate_limit, now=now):
            self._apply_rate_limit(previous, source="node", now=now)

    def log_rate(self, *, now: float) -> None:
        """Log the rate of started requests while the upstream states a limit."""
        elapsed_s = now - self._rate_logged_at
        if self.rate_limit is None or elapsed_s < RATE_LOG_S:
            return
        log.info(
            "rate of requests: limit=%.2f sent=%.2f over_s=%.2f waiting=%d",
            self.rate_limit,
            (self._start_count - self._rate_logged_count) / elapsed_s,
            elapsed_s,
            self._admission.queued,
        )
        self._rate_logged_at = now
        self._rate_logged_count = self._start_count

    def _apply_rate_limit(
        self, previous: float | None, *, source: str, now: float
    ) -> None:
        log.info(
            "stated rate limit: %s before=%s source=%s sent=%d",
            self.rate_limit,
            previous,
            source,
            self._start_count,
        )
        self._rate_logged_at = now
        self._rate_logged_count = self._start_count
        self._waiters.refuse(self._admission.refuse_late(now=now))
        self._waiters.start_waiting(now=now)
        if self._start_timer is not None:
            self._start_timer.cancel()
            self._start_timer = None
        self._set_start_timer(now)

    def _set_start_timer(self, now: float) -> None:
        """Start waiting requests again once the rate limit allows the next one."""
        delay_s = self._admission.get_send_delay_s(now=now)
        if self._start_timer is not None or delay_s is None:
            return
        loop = asyncio.get_running_loop()
        self._start_timer = loop.call_at(now + delay_s, self._start_waiting)

    def _start_waiting(self) -> None:
        self._start_timer = None
        now = asyncio.get_running_loop().time()
        self._waiters.start_waiting(now=now)
        self._set_start_timer(now)
