"""The experiments `cold-start` and `small-slots`: reduced and small capacity."""

import asyncio

from pimentoscale_bench.caller import Phase
from pimentoscale_bench.capacity import compute_capacity
from pimentoscale_bench.experiments import (
    ExperimentRequest,
    register_experiment,
    start_report,
)
from pimentoscale_bench.fleet import Fleet
from pimentoscale_bench.report import AT_LEAST, ExperimentReport, measure_kinds
from pimentoscale_bench.trials import (
    POLICIES,
    POLICY,
    WINDOW_S,
    Trial,
    add_target,
    get_weights,
    measure_answered_part,
    run_trial,
)

SERVICE_TIME_FACTOR = 8.0
COLD_START_S = 10.0
REPLACE_AT_S = 4.0
TRIAL_S = 16.0
LOAD_FRACTION = 0.4
SMALL_SERVICES = ("returns", "settlement")


@register_experiment("cold-start")
async def run_cold_start(request: ExperimentRequest) -> ExperimentReport:
    """Under load, replace an instance by one that runs at half speed for 10 s."""
    request = request.scale_service_times(SERVICE_TIME_FACTOR)
    report = start_report(request, "cold-start")
    weights = get_weights(request)
    rate = LOAD_FRACTION * compute_capacity(request.deployment, weights)

    async def replace_instance(fleet: Fleet) -> None:
        name = fleet.plans[0].instance
        await asyncio.sleep(REPLACE_AT_S)
        await fleet.drain(name)
        node = fleet.instances[name].node
        while node.poll() is None:
            await asyncio.sleep(0.05)
        fleet.kill(name)
        fleet.replace(name)
        await fleet.wait_node_ready(name)
        await fleet.set_upstream_faults(name, cold_start_s=COLD_START_S)

    for policy in request.order_by_seed(POLICIES):
        trial = await run_trial(
            request,
            report,
            policy=policy,
            phases=[Phase(rate=rate, seconds=TRIAL_S)],
            weights=weights,
            disturb=replace_instance,
            entry_nodes=slice(1, None),
        )
        report.policies[policy] = {
            "kinds": measure_kinds(trial.calls, TRIAL_S),
            "least_answered_part": measure_worst_window(trial),
        }
    answered_part = report.policies[POLICY]["least_answered_part"]
    add_target(report, "least_answered_part", answered_part, 1.0, AT_LEAST)
    return report


def measure_worst_window(trial: Trial) -> float:
    """Return the lowest fraction of answered calls among the windows of a trial.

    A call belongs to the window of `WINDOW_S` in which it started.
    """
    windows = int(trial.seconds / WINDOW_S)
    parts = [
        measure_answered_part(trial.select(n * WINDOW_S, (n + 1) * WINDOW_S))
        for n in range(windows)
    ]
    return min(parts)


@register_experiment("small-slots")
async def run_small_slots(request: ExperimentRequest) -> ExperimentReport:
    """Load the service with the fewest slots to 70% and to 150% of its capacity."""
    request = request.scale_service_times(SERVICE_TIME_FACTOR / 2)
    report = start_report(request, "small-slots")
    kinds = request.deployment.kinds
    kind = next(name for name, k in kinds.items() if k.service in SMALL_SERVICES)
    weights = {kind: 1.0}
    capacity = compute_capacity(request.deployment, weights)
    phases = [
        Phase(rate=0.7 * capacity, seconds=6),
        Phase(rate=1.5 * capacity, seconds=6),
    ]
    for policy in request.order_by_seed(POLICIES):
        trial = await run_trial(
            request, report, policy=policy, phases=phases, weights=weights
        )
        below, above = trial.select(0, 6), trial.select(6, 12)
        answered = sum(call.last.outcome == "answered" for call in above)
        report.policies[policy] = {
            "kinds": measure_kinds(trial.calls, 12.0),
            "answered_part_at_70": measure_answered_part(below),
            "goodput_part_at_150": answered / (6 * capacity),
        }
    measures = report.policies[POLICY]
    add_target(report, "answered_at_70", measures["answered_part_at_70"], 1.0, AT_LEAST)
    add_target(
        report, "goodput_at_150", measures["goodput_part_at_150"], 0.95, AT_LEAST
    )
    return report
