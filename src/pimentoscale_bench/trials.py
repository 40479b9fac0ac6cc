"""Trials: one run of a fleet under a policy and a load, and measures of its calls."""

import asyncio
import time
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from typing import Any

import numpy as np

from pimentoscale_bench.audit import audit, read_runs
from pimentoscale_bench.caller import Caller, CallRecord, Phase, generate_load
from pimentoscale_bench.capacity import get_holding_ms
from pimentoscale_bench.experiments import (
    ExperimentRequest,
)
from pimentoscale_bench.fleet import Fleet, make_rng, run_fleet
from pimentoscale_bench.plots import compute_goodput, plot_goodput
from pimentoscale_bench.report import (
    ExperimentReport,
    TargetReport,
)

POLICY = "adaptive"
POLICIES = ("none", "static", POLICY)
# Kinds of at least this importance count as important.
MIN_IMPORTANCE = 90
# Trials start after this time, in which the limits of new nodes rise (`Policy.ramp_s`).
RAMP_WAIT_S = 10.0
WINDOW_S = 0.5

Disturbance = Callable[[Fleet], Coroutine[Any, Any, None]]


@dataclass(slots=True, kw_only=True)
class Trial:
    """The calls of one trial.

    `started` is wall-clock time in seconds, as in the calls; `seconds` is the
    duration.
    """

    policy: str
    calls: list[CallRecord]
    started: float
    seconds: float

    def select(self, start_s: float, end_s: float) -> list[CallRecord]:
        """Return the calls that started within a range of seconds of the trial."""
        first, last = self.started + start_s, self.started + end_s
        return [call for call in self.calls if first <= call.started < last]

    def select_ended(self, start_s: float, end_s: float) -> list[CallRecord]:
        """Return the calls that ended within a range of seconds of the trial."""
        first, last = self.started + start_s, self.started + end_s
        return [call for call in self.calls if first <= call.last.ended < last]


async def run_trial(
    request: ExperimentRequest,
    report: ExperimentReport,
    *,
    policy: str,
    phases: Sequence[Phase],
    weights: dict[str, float],
    disturb: Disturbance | None = None,
    immediate_retries: int = 0,
    name: str = "",
    entry_nodes: slice = slice(None),
) -> Trial:
    """Run a new fleet under a policy and a load, and add its audit to the report.

    `disturb` runs during the load; `entry_nodes` selects the nodes that callers use.
    """
    name = name or policy
    deployment = request.deployment
    fleet = Fleet(
        deployment=deployment,
        folder=request.folder / name,
        policy=policy,
    )
    async with run_fleet(fleet):
        await asyncio.sleep(RAMP_WAIT_S)
        caller = Caller(
            entry_nodes=[plan.http for plan in fleet.plans[entry_nodes]],
            kinds=deployment.kinds,
            rng=make_rng(request.seed, "caller"),
            immediate_retries=immediate_retries,
        )
        started = time.time()
        load = generate_load(
            caller,
            phases=list(phases),
            weights=weights,
            rng=make_rng(request.seed, "load"),
        )
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(load)
            if disturb is not None:
                tasks.create_task(disturb(fleet))
        caller.close()
    seconds = sum(phase.seconds for phase in phases)
    runs = read_runs(fleet.record_files)
    report.audits[name] = audit(calls=caller.calls, runs=runs, kinds=deployment.kinds)
    return Trial(policy=policy, calls=caller.calls, started=started, seconds=seconds)


def get_weights(request: ExperimentRequest) -> dict[str, float]:
    """Return the weights of the short kinds in the load mix of the deployment."""
    return {
        name: kind.weight
        for name, kind in request.deployment.kinds.items()
        if kind.weight and kind.length == "short"
    }


def measure_useful_work(
    request: ExperimentRequest, calls: Sequence[CallRecord], seconds: float
) -> float:
    """Return the slot utilisation by answered calls at the most utilised service.

    `seconds` is the time over which the calls ended; 1 means that all slots were in
    use by answered calls throughout.
    """
    deployment = request.deployment
    highest = 0.0
    for service, plan in deployment.services.items():
        used_ms = sum(
            compute_slot_ms(request, call.kind, service)
            for call in calls
            if call.last.outcome == "answered"
        )
        highest = max(highest, used_ms / 1000 / (plan.targets * plan.slots * seconds))
    return highest


def compute_slot_ms(request: ExperimentRequest, kind: str, service: str) -> float:
    """Return the slot time that a call of a kind uses at a service, in milliseconds.

    Sub-calls are included.
    """
    plan = request.deployment.kinds[kind]
    own_ms = (
        get_holding_ms(request.deployment, kind) if plan.service == service else 0.0
    )
    return own_ms + sum(
        compute_slot_ms(request, called, service) for called in plan.calls
    )


def measure_answered_part(calls: Sequence[CallRecord]) -> float:
    """Return the fraction of calls that were answered; 1 if there are no calls."""
    answered = sum(call.last.outcome == "answered" for call in calls)
    return answered / len(calls) if calls else 1.0


def measure_p99_ms(calls: Sequence[CallRecord], kind: str) -> float:
    """Return the 99th percentile latency of a kind's answered calls in milliseconds.

    Infinity stands for no answered calls.
    """
    times = [
        call.seconds * 1000
        for call in calls
        if call.kind == kind and call.last.outcome == "answered"
    ]
    return float(np.percentile(times, 99)) if times else float("inf")


def select_important(
    request: ExperimentRequest, calls: Sequence[CallRecord]
) -> list[CallRecord]:
    """Return the calls of important kinds: bookings, returns, bids and settlements."""
    kinds = request.deployment.kinds
    return [call for call in calls if kinds[call.kind].importance >= MIN_IMPORTANCE]


def add_target(
    report: ExperimentReport, name: str, measured: float, bound: float, sense: str
) -> None:
    """Add a target and its measured value to the report."""
    report.targets.append(
        TargetReport(name=name, measured=measured, bound=bound, sense=sense)
    )


def plot_trials(
    request: ExperimentRequest, report: ExperimentReport, trials: Sequence[Trial]
) -> None:
    """Plot the goodput of all trials over time, if the report has a folder."""
    lines = {
        trial.policy: compute_goodput(trial.calls, trial.started, trial.seconds)
        for trial in trials
    }
    if request.report_folder is not None:
        title = f"{report.experiment}, {report.deployment}, seed {report.seed}"
        plot_goodput(request.report_folder / "goodput.png", title, lines)


def measure_recovery_s(trial: Trial, end_s: float) -> float:
    """Return the seconds from the end of the overload to full goodput.

    Goodput is full from the first of four consecutive windows in each of which at
    least 95% of the started calls were answered. Infinity means that the trial ended
    without it. `end_s` is the end of the overload in seconds of the trial.
    """
    start_s = end_s
    full_windows = 0
    while start_s + WINDOW_S <= trial.seconds:
        part = measure_answered_part(trial.select(start_s, start_s + WINDOW_S))
        full_windows = full_windows + 1 if part >= 0.95 else 0
        start_s += WINDOW_S
        if full_windows == 4:
            return start_s - 4 * WINDOW_S - end_s
    return float("inf")


def measure_attempts(calls: Sequence[CallRecord]) -> float:
    """Return the mean number of submissions per call, retries by callers included."""
    return sum(len(call.attempts) for call in calls) / max(1, len(calls))
