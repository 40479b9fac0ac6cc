"""The experiments `crest` and `recovery`, which compare the policies in overload."""

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
    MIN_IMPORTANCE,
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

SERVICE_TIME_FACTOR = 8.0
# Retries by the callers of each failed idempotent call.
IMMEDIATE_RETRIES = 4
# Offered load at the crest, as a multiple of capacity.
CREST_FACTOR = 2.0
# Upper bound on the share of a service's slots that one important kind uses at the
# crest.
MAX_IMPORTANT_UTILISATION = 0.7
MAX_REDUCTIONS = 40


def get_crest_weights(request: ExperimentRequest) -> dict[str, float]:
    """Return the load mix in which the important kinds alone fit at the crest.

    If important calls alone need more than the slots of a service, no policy can
    answer them all. The weight of such a kind is therefore reduced until it uses no
    more than `MAX_IMPORTANT_UTILISATION` of the slots at the crest.
    """
    weights = get_weights(request)
    kinds = request.deployment.kinds
    for _ in range(MAX_REDUCTIONS):
        crest = CREST_FACTOR * compute_capacity(request.deployment, weights)
        total = sum(weights.values())
        fits = True
        for name in [n for n in weights if kinds[n].importance >= MIN_IMPORTANCE]:
            plan = request.deployment.services[kinds[name].service]
            used_ms = (
                crest * weights[name] / total * get_holding_ms(request.deployment, name)
            )
            if used_ms > MAX_IMPORTANT_UTILISATION * 1000 * plan.targets * plan.slots:
                weights[name] *= 0.8
                fits = False
        if fits:
            break
    return weights


@register_experiment("crest")
async def run_crest(request: ExperimentRequest) -> ExperimentReport:
    """Raise the offered load to four times its base within 2 s, then lower it."""
    request = request.scale_service_times(SERVICE_TIME_FACTOR)
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
        report.policies[policy] = _measure_crest(request, trial, at_crest)
        ended_at_crest = trial.select_ended(5, 11)
        useful_part = measure_useful_work(request, ended_at_crest, 6.0)
        report.policies[policy]["useful_work_part"] = useful_part
    measures = report.policies[POLICY]
    add_target(report, "useful_work_part", measures["useful_work_part"], 0.95, AT_LEAST)
    answered_part = measures["important_answered_part"]
    add_target(report, "important_answered_part", answered_part, 1.0, AT_LEAST)
    plot_trials(request, report, trials)
    return report


def _measure_crest(
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
    """Measure how goodput recovers after a leaf service was slow for 10 s."""
    request = request.scale_service_times(SERVICE_TIME_FACTOR)
    report = start_report(request, "recovery")
    weights = get_weights(request)
    capacity = compute_capacity(request.deployment, weights)
    phases = [
        Phase(rate=0.8 * capacity, seconds=4),
        Phase(rate=1.2 * capacity, seconds=10),
        Phase(rate=0.8 * capacity, seconds=16),
    ]

    async def slow_down_catalogue(fleet: Fleet) -> None:
        names = [plan.instance for plan in fleet.plans if plan.service == "catalogue"]
        await asyncio.sleep(4)
        for name in names:
            await fleet.set_upstream_faults(name, slow_factor=10.0)
        await asyncio.sleep(10)
        for name in names:
            await fleet.set_upstream_faults(name, slow_factor=1.0)

    trials = []
    for policy in request.order_by_seed(POLICIES):
        trial = await run_trial(
            request,
            report,
            policy=policy,
            phases=phases,
            weights=weights,
            disturb=slow_down_catalogue,
            immediate_retries=IMMEDIATE_RETRIES,
        )
        trials.append(trial)
        report.policies[policy] = {
            "kinds": measure_kinds(trial.select(4, 14), 10.0),
            "recovery_s": measure_recovery_s(trial, 14.0),
            "attempts_per_call": measure_attempts(trial.select(4, 14)),
        }
    recovery_s = report.policies[POLICY]["recovery_s"]
    add_target(report, "recovery_s", recovery_s, 2.0, AT_MOST)
    plot_trials(request, report, trials)
    return report
