"""A concurrency limit learned from how fast the upstream does its own work.

Designed for upstreams that slow down long before all their slots are in use, and whose
speed changes: cold starts, neighbours, slow-downs. Run times alone would blame them for
a slow service that they call. So the time in which runs wait for calls is taken out:
the requests in progress less the calls in progress are at work, on average over all,
and no call has to be matched with its run.

The speed is the work done in a second of a run at work, as a ratio to the usual. Its
baseline is the speed while less than about half of the limit is in use, and follows
slow-downs and recoveries of the upstream within seconds. Near the limit, a speed that
is well below the baseline shows that the last requests add waiting rather than
throughput, and the limit is cut; otherwise it grows.
"""

from pimentoscale.admission.limit_algorithms import (
    BACKOFF_INTERVAL_S,
    BACKOFF_RATIO,
    Sample,
    register_limit_algorithm,
)

# A window of measurement ends after this time and as many runs.
WINDOW_S = 0.25
WINDOW_RUNS = 8
# Part of the limit in use below which the baseline is measured, and from which the
# limit is judged.
LIGHT_USE = 0.55
NEAR_LIMIT = 0.8
# The limit is cut below this ratio of the speed to its baseline, and grows above the
# second one; in between it stays.
CUT_RATIO = 0.7
GROW_RATIO = 0.8
CUT_FACTOR = 0.9
GROW_FACTOR = 1.06
# Least part of the declared slots.
MIN_SHARE = 0.1
# Before a limit is cut, and now and then while it is, it is lowered to light use for so
# many windows, of which the last measures the baseline: the upstream as a whole may
# have become slower or faster.
PROBE_WINDOWS = 2
PROBE_PERIOD_S = 4.0
SPEED_SMOOTHING = 0.4
BASELINE_SMOOTHING = 0.4
# Smoothing of the usual time of a run of each kind, per run. It only weighs kinds
# against each other, so it does not follow the upstream's speed.
KIND_SMOOTHING = 0.0002
KIND_RUNS = 50


@register_limit_algorithm("learned")
class LearnedLimit:
    """Follows the point from which more concurrency adds no throughput.

    `speed` is the present ratio of work to time, `baseline` the one at light use; both
    are 1 for an upstream of which nothing is known. `changed_for` tells why the limit
    last changed.
    """

    __slots__ = (
        "_busy_s",
        "_decreased_at",
        "_kinds",
        "_last_at",
        "_limit",
        "_min_limit",
        "_min_shed_limit",
        "_probe_windows",
        "_probed_at",
        "_runs",
        "_slots",
        "_use_s",
        "_window_from",
        "_work_s",
        "baseline",
        "changed_for",
        "speed",
    )

    def __init__(self, slots: int, min_limit: int) -> None:
        self._slots = slots
        self._min_limit = max(1.0, min(float(min_limit), slots * MIN_SHARE))
        # One that sheds below this does not do so since it is full.
        self._min_shed_limit = float(min_limit)
        self._limit = float(slots)
        self._decreased_at = 0.0
        # The usual time of a run of each kind, and how many runs it is from.
        self._kinds: dict[str, tuple[float, int]] = {}
        self._last_at: float | None = None
        self._window_from = 0.0
        self._runs = 0
        self._work_s = self._busy_s = self._use_s = 0.0
        self._probe_windows = 0
        self._probed_at = -PROBE_PERIOD_S
        self.speed = 1.0
        self.baseline: float | None = None
        self.changed_for = "start"

    def get_limit(self) -> float:
        """Return the current limit."""
        if self._probe_windows:
            return max(self._min_limit, LIGHT_USE * self._limit)
        return self._limit

    def describe(self) -> str:
        """Return the measurements behind the limit, for a log line."""
        baseline = "unknown" if self.baseline is None else f"{self.baseline:.2f}"
        return f"speed {self.speed:.2f}, baseline {baseline}, {self.changed_for}"

    def observe(self, sample: Sample, *, now: float) -> None:
        """Update the limit from one ended run."""
        self._add_time(sample, now)
        if sample.is_overload:
            if now - self._decreased_at >= BACKOFF_INTERVAL_S:
                self._decreased_at = now
                least = min(self._limit, self._min_shed_limit)
                self._set_limit(max(least, self._limit * BACKOFF_RATIO), "shed")
            return
        usual_ms = self._record_kind(sample)
        self._work_s += usual_ms / 1000
        self._runs += 1
        elapsed_s = now - self._window_from
        if elapsed_s >= WINDOW_S and self._runs >= WINDOW_RUNS:
            self._end_window(elapsed_s, now)

    def _record_kind(self, sample: Sample) -> float:
        """Return the usual time of a run of a kind, with this one."""
        usual_ms, runs = self._kinds.get(sample.kind, (0.0, 0))
        smoothing = max(KIND_SMOOTHING, 1 / (runs + 1) if runs < KIND_RUNS else 0.0)
        usual_ms += smoothing * (sample.service_ms - usual_ms)
        self._kinds[sample.kind] = usual_ms, runs + 1
        return usual_ms

    def _add_time(self, sample: Sample, now: float) -> None:
        """Count the time since the last run ended, at the concurrency of now."""
        if self._last_at is None:
            self._window_from = now
        else:
            elapsed_s = max(0.0, now - self._last_at)
            at_work = max(1.0, sample.in_flight - sample.calls)
            self._busy_s += at_work * elapsed_s
            self._use_s += sample.in_flight * elapsed_s
        self._last_at = now

    def _end_window(self, elapsed_s: float, now: float) -> None:
        if self._busy_s <= 0:
            return
        speed = self._work_s / self._busy_s
        in_use = self._use_s / elapsed_s
        self.speed += SPEED_SMOOTHING * (speed - self.speed)
        if self._probe_windows:
            self._probe_windows -= 1
            if not self._probe_windows:
                self.baseline = speed
                self._probed_at = now
        elif in_use < LIGHT_USE * self._limit:
            if self.baseline is None:
                self.baseline = speed
            self.baseline += BASELINE_SMOOTHING * (speed - self.baseline)
        elif in_use >= NEAR_LIMIT * self._limit:
            self._judge(speed, now)
        self._window_from = now
        self._runs = 0
        self._work_s = self._busy_s = self._use_s = 0.0

    def _judge(self, speed: float, now: float) -> None:
        """Cut or raise a limit that is in use by the speed of a window."""
        ratio = 0.0 if self.baseline is None else speed / max(self.baseline, 1e-6)
        is_cut = self._limit < self._slots
        is_due = now - self._probed_at >= PROBE_PERIOD_S
        if is_due and (is_cut or ratio < CUT_RATIO):
            self._probe_windows = PROBE_WINDOWS
        elif ratio < CUT_RATIO:
            self._set_limit(self._limit * CUT_FACTOR, "slower at the limit")
        elif ratio > GROW_RATIO:
            self._set_limit(self._limit * GROW_FACTOR, "as fast at the limit")

    def _set_limit(self, limit: float, reason: str) -> None:
        limit = max(self._min_limit, min(float(self._slots), limit))
        if limit != self._limit:
            self._limit = limit
            self.changed_for = reason
