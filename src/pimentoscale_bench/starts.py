"""The experiments cold-start and small-slots."""

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

TIME_FACTOR = 8.0
COLD_S = 10.0
REPLACED_AT_S = 4.0
TRIAL_S = 16.0
LOAD_PART = 0.4
SMALL_SERVICES = ("returns", "settlement")


@register_experiment("cold-start")
async def run_cold_start(request: ExperimentRequest) -> ExperimentReport:
    """Replace an instance by one at half its speed for 10 s, under load."""
    request = request.scale_service_times(TIME_FACTOR)
    report = start_report(request, "cold-start")
    weights = get_weights(request)
    rate = LOAD_PART * compute_capacity(request.deployment, weights)

    async def replace_one(fleet: Fleet) -> None:
        name = fleet.plans[0].instance
        await asyncio.sleep(REPLACED_AT_S)
        await fleet.drain(name)
        node = fleet.instances[name].node
        while node.poll() is None:
            await asyncio.sleep(0.05)
        fleet.kill(name)
        fleet.replace(name)
        await fleet.wait_node_ready(name)
        await fleet.set_upstream_faults(name, cold_start_s=COLD_S)

    for policy in request.order_by_seed(POLICIES):
        trial = await run_trial(
            request,
            report,
            policy=policy,
            phases=[Phase(rate=rate, seconds=TRIAL_S)],
            weights=weights,
            disturb=replace_one,
            entry_nodes=slice(1, None),
        )
        report.policies[policy] = {
            "kinds": measure_kinds(trial.calls, TRIAL_S),
            "least_answered_part": measure_least_window(trial),
        }
    own = report.policies[POLICY]["least_answered_part"]
    add_target(report, "least_answered_part", own, 1.0, AT_LEAST)
    return report


def measure_least_window(trial: Trial) -> float:
    """Return the answered part of the calls of the worst window."""
    windows = int(trial.seconds / WINDOW_S)
    parts = [
        measure_answered_part(trial.select(n * WINDOW_S, (n + 1) * WINDOW_S))
        for n in range(windows)
    ]
    return min(parts)


@register_experiment("small-slots")
async def run_small_slots(request: ExperimentRequest) -> ExperimentReport:
    """Load the service with the fewest slots to 70% and to 150% of its capacity."""
    request = request.scale_service_times(TIME_FACTOR / 2)
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
        calm, over = trial.select(0, 6), trial.select(6, 12)
        answered = sum(call.last.outcome == "answered" for call in over)
        report.policies[policy] = {
            "kinds": measure_kinds(trial.calls, 12.0),
            "answered_part_at_70": measure_answered_part(calm),
            "goodput_part_at_150": answered / (6 * capacity),
        }
    own = report.policies[POLICY]
    add_target(report, "answered_at_70", own["answered_part_at_70"], 1.0, AT_LEAST)
    add_target(report, "goodput_at_150", own["goodput_part_at_150"], 0.95, AT_LEAST)
    return report
