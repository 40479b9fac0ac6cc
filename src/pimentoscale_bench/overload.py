"""The experiments crest and recovery, with the policies side by side."""

import asyncio
from typing import Any

from pimentoscale_bench.caller import CallRecord, Phase
from pimentoscale_bench.capacity import compute_capacity, get_holding_ms
from pimentoscale_bench.experiments import (
    ExperimentRequest,
    register_experiment,
    start_report,
)
from pimentoscale_bench.fleet import Fleet
from pimentoscale_bench.report import (
    AT_LEAST,
    AT_MOST,
    ExperimentReport,
    measure_kinds,
)
from pimentoscale_bench.trials import (
    IMPORTANT,
    POLICIES,
    POLICY,
    Trial,
    add_target,
    get_weights,
    measure_answered_part,
    measure_attempts,
    measure_recovery_s,
    measure_useful_work,
    plot_trials,
    run_trial,
    select_important,
)

TIME_FACTOR = 8.0
HARD_RETRIES = 4
CREST_FACTOR = 2.0
IMPORTANT_PART = 0.7
MAX_CUTS = 40


def get_crest_weights(request: ExperimentRequest) -> dict[str, float]:
    """Return the mix in which the important kinds alone fit their services.

    Where they alone are more than a service's slots can take, no policy can serve
    them all; such a kind's part of the mix is cut until it fits at the crest.
    """
    weights = get_weights(request)
    kinds = request.deployment.kinds
    for _ in range(MAX_CUTS):
        crest = CREST_FACTOR * compute_capacity(request.deployment, weights)
        total = sum(weights.values())
        fits = True
        for name in [n for n in weights if kinds[n].importance >= IMPORTANT]:
            plan = request.deployment.services[kinds[name].service]
            used_ms = (
                crest * weights[name] / total * get_holding_ms(request.deployment, name)
            )
            if used_ms > IMPORTANT_PART * 1000 * plan.targets * plan.slots:
                weights[name] *= 0.8
                fits = False
        if fits:
            break
    return weights


@register_experiment("crest")
async def run_crest(request: ExperimentRequest) -> ExperimentReport:
    """Demand rises to four times within 2 s and falls again."""
    request = request.scale_service_times(TIME_FACTOR)
    report = start_report(request, "crest")
    weights = get_crest_weights(request)
    capacity = compute_capacity(request.deployment, weights)
    base, crest = 0.5 * capacity, CREST_FACTOR * capacity
    phases = [
        Phase(rate=base, seconds=3),
        Phase(rate=2 * base, seconds=1),
        Phase(rate=3 * base, seconds=1),
        Phase(rate=crest, seconds=6),
        Phase(rate=base, seconds=4),
    ]
    trials = []
    for policy in request.order_by_seed(POLICIES):
        trial = await run_trial(
            request, report, policy=policy, phases=phases, weights=weights
        )
        trials.append(trial)
        at_crest = trial.select(5, 11)
        report.policies[policy] = _describe_crest(request, trial, at_crest)
        ended = trial.select_ended(5, 11)
        useful = measure_useful_work(request, ended, 6.0)
        report.policies[policy]["useful_work_part"] = useful
    own = report.policies[POLICY]
    add_target(report, "useful_work_part", own["useful_work_part"], 0.95, AT_LEAST)
    served = own["important_answered_part"]
    add_target(report, "important_answered_part", served, 1.0, AT_LEAST)
    plot_trials(request, report, trials)
    return report


def _describe_crest(
    request: ExperimentRequest, trial: Trial, at_crest: list[CallRecord]
) -> dict[str, Any]:
    important = select_important(request, at_crest)
    return {
        "kinds": measure_kinds(at_crest, 6.0),
        "important_answered_part": measure_answered_part(important),
        "answered_part": measure_answered_part(trial.calls),
    }


@register_experiment("recovery")
async def run_recovery(request: ExperimentRequest) -> ExperimentReport:
    """Show the return to goodput after a deep service was slow for 10 s."""
    request = request.scale_service_times(TIME_FACTOR)
    report = start_report(request, "recovery")
    weights = get_weights(request)
    capacity = compute_capacity(request.deployment, weights)
    phases = [
        Phase(rate=0.8 * capacity, seconds=4),
        Phase(rate=1.2 * capacity, seconds=10),
        Phase(rate=0.8 * capacity, seconds=16),
    ]

    async def slow_deep_service(fleet: Fleet) -> None:
        deep = [plan.instance for plan in fleet.plans if plan.service == "catalogue"]
        await asyncio.sleep(4)
        for name in deep:
            await fleet.set_upstream_faults(name, slow_factor=10.0)
        await asyncio.sleep(10)
        for name in deep:
            await fleet.set_upstream_faults(name, slow_factor=1.0)

    trials = []
    for policy in request.order_by_seed(POLICIES):
        trial = await run_trial(
            request,
            report,
            policy=policy,
            phases=phases,
            weights=weights,
            disturb=slow_deep_service,
            immediate_retries=HARD_RETRIES,
        )
        trials.append(trial)
        report.policies[policy] = {
            "kinds": measure_kinds(trial.select(4, 14), 10.0),
            "recovery_s": measure_recovery_s(trial, 14.0),
            "attempts_per_call": measure_attempts(trial.select(4, 14)),
        }
    own = report.policies[POLICY]["recovery_s"]
    add_target(report, "recovery_s", own, 2.0, AT_MOST)
    plot_trials(request, report, trials)
    return report
