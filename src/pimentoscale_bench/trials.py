"""One policy under one load, and what is measured of it."""

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
from pimentoscale_bench.fleet import Fleet, make_random_source, run_fleet
from pimentoscale_bench.plots import count_answered, plot_goodput
from pimentoscale_bench.report import (
    ExperimentReport,
    TargetReport,
)

POLICY = "adaptive"
POLICIES = ("none", "static", POLICY)
IMPORTANT = 90
RAMP_WAIT_S = 10.0
WINDOW_S = 0.5

Disturbance = Callable[[Fleet], Coroutine[Any, Any, None]]


@dataclass(slots=True, kw_only=True)
class Trial:
    """One policy under one load."""

    policy: str
    calls: list[CallRecord]
    started: float
    seconds: float

    def select(self, start_s: float, end_s: float) -> list[CallRecord]:
        """Return the calls that were started in a part of the trial."""
        first, last = self.started + start_s, self.started + end_s
        return [call for call in self.calls if first <= call.started < last]

    def select_ended(self, start_s: float, end_s: float) -> list[CallRecord]:
        """Return the calls that ended in a part of the trial."""
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
    """Run a fresh fleet under a policy and a load, and audit it."""
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
            source=make_random_source(request.seed, "caller"),
            immediate_retries=immediate_retries,
        )
        started = time.time()
        load = generate_load(
            caller,
            phases=list(phases),
            weights=weights,
            source=make_random_source(request.seed, "load"),
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
    """Return the deployment's own mix of short kinds."""
    return {
        name: kind.weight
        for name, kind in request.deployment.kinds.items()
        if kind.weight and kind.length == "short"
    }


def measure_useful_work(
    request: ExperimentRequest, calls: Sequence[CallRecord], seconds: float
) -> float:
    """Return the slot time of answered calls as a part of the busiest service's."""
    deployment = request.deployment
    best = 0.0
    for service, plan in deployment.services.items():
        used_ms = sum(
            get_work_ms(request, call.kind, service)
            for call in calls
            if call.last.outcome == "answered"
        )
        best = max(best, used_ms / 1000 / (plan.targets * plan.slots * seconds))
    return best


def get_work_ms(request: ExperimentRequest, kind: str, service: str) -> float:
    """Return the slot time that a call of a kind takes of a service."""
    plan = request.deployment.kinds[kind]
    own = get_holding_ms(request.deployment, kind) if plan.service == service else 0.0
    return own + sum(get_work_ms(request, called, service) for called in plan.calls)


def measure_answered_part(calls: Sequence[CallRecord]) -> float:
    """Return the answered part of some calls; 1 if there are none."""
    answered = sum(call.last.outcome == "answered" for call in calls)
    return answered / len(calls) if calls else 1.0


def measure_p99(calls: Sequence[CallRecord], kind: str) -> float:
    """Return the 99th percentile of a kind's answered calls in milliseconds."""
    times = [
        call.seconds * 1000
        for call in calls
        if call.kind == kind and call.last.outcome == "answered"
    ]
    return float(np.percentile(times, 99)) if times else float("inf")


def select_important(
    request: ExperimentRequest, calls: Sequence[CallRecord]
) -> list[CallRecord]:
    """Return the calls of bookings, returns, bids and settlements."""
    kinds = request.deployment.kinds
    return [call for call in calls if kinds[call.kind].importance >= IMPORTANT]


def add_target(
    report: ExperimentReport, name: str, measured: float, bound: float, sense: str
) -> None:
    """Add a stated target with what was measured."""
    report.targets.append(
        TargetReport(name=name, measured=measured, bound=bound, sense=sense)
    )


def plot_trials(
    request: ExperimentRequest, report: ExperimentReport, trials: Sequence[Trial]
) -> None:
    """Plot the goodput of all trials over time."""
    lines = {
        trial.policy: count_answered(trial.calls, trial.started, trial.seconds)
        for trial in trials
    }
    if request.report_folder is not None:
        title = f"{report.experiment}, {report.deployment}, seed {report.seed}"
        plot_goodput(request.report_folder / "goodput.png", title, lines)


def measure_recovery_s(trial: Trial, end_s: float) -> float:
    """Return the seconds from the trigger's end until calls are answered again.

    Full goodput is 95% of the calls that were started in a window; it must last for
    four windows.
    """
    at = end_s
    good = 0
    while at + WINDOW_S <= trial.seconds:
        part = measure_answered_part(trial.select(at, at + WINDOW_S))
        good = good + 1 if part >= 0.95 else 0
        at += WINDOW_S
        if good == 4:
            return at - 4 * WINDOW_S - end_s
    return float("inf")


def measure_attempts(calls: Sequence[CallRecord]) -> float:
    """Return the callers' submissions per call."""
    return sum(len(call.attempts) for call in calls) / max(1, len(calls))
