"""The experiments `head-of-line` and `stragglers`: slow work alongside fast."""

import asyncio

from pimentoscale_bench.caller import Phase
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
    POLICIES,
    POLICY,
    Trial,
    add_target,
    measure_p99_ms,
    run_trial,
)

MAX_CHECK_RATE_PER_S = 150.0


@register_experiment("head-of-line")
async def run_head_of_line(request: ExperimentRequest) -> ExperimentReport:
    """Run short checks alongside an overload of uploads on shared nodes and slots."""
    report = start_report(request, "head-of-line")
    short, long = _find_short_and_long_kind(request)
    deployment = request.deployment
    service = deployment.services[deployment.kinds[long].service]
    slots = service.targets * service.slots
    check_rate = min(
        MAX_CHECK_RATE_PER_S,
        0.3 * 1000 * slots / get_holding_ms(request.deployment, short),
    )
    upload_rate = (
        1.5
        * service.long_share
        * 1000
        * slots
        / get_holding_ms(request.deployment, long)
    )
    loads = {
        "checks alone": {short: check_rate},
        "uploads alone": {long: upload_rate},
        "both": {short: check_rate, long: upload_rate},
    }
    trials: dict[str, Trial] = {}
    for name, weights in loads.items():
        phases = [Phase(rate=sum(weights.values()), seconds=request.seconds)]
        trials[name] = await run_trial(
            request, report, policy=POLICY, phases=phases, weights=weights, name=name
        )
        report.policies[name] = {
            "kinds": measure_kinds(trials[name].calls, request.seconds)
        }
    alone_ms = measure_p99_ms(trials["checks alone"].calls, short)
    combined_ms = measure_p99_ms(trials["both"].calls, short)
    add_target(report, "checks_p99_ratio", combined_ms / alone_ms, 1.2, AT_MOST)
    upload_ms = get_holding_ms(deployment, long)
    share_per_s = service.long_share * 1000 * slots / upload_ms
    alone_per_s = _count_answered(trials["uploads alone"], long) / request.seconds
    combined_per_s = _count_answered(trials["both"], long) / request.seconds
    # Without checks, uploads also use slots beyond their share, which the target
    # doesn't cover.
    expected_per_s = min(alone_per_s, share_per_s)
    add_target(report, "uploads_ratio", combined_per_s / expected_per_s, 0.9, AT_LEAST)
    return report


def _find_short_and_long_kind(request: ExperimentRequest) -> tuple[str, str]:
    """Return a short kind and the long kind that share a service."""
    kinds = request.deployment.kinds
    long = next(name for name, kind in kinds.items() if kind.length == "long")
    short = [
        name
        for name, kind in kinds.items()
        if kind.service == kinds[long].service and kind.length == "short"
    ]
    return short[0], long


def _count_answered(trial: Trial, kind: str) -> int:
    return sum(
        call.kind == kind and call.last.outcome == "answered" for call in trial.calls
    )


@register_experiment("stragglers")
async def run_stragglers(request: ExperimentRequest) -> ExperimentReport:
    """Slow the targets of a service down tenfold, one at a time for 2 s each."""
    request = request.scale_service_times(2.0)
    report = start_report(request, "stragglers")
    kind = "catalogue.check"
    weights = {kind: 1.0}
    capacity = compute_capacity(request.deployment, weights)
    phases = [Phase(rate=min(120.0, 0.3 * capacity), seconds=request.seconds)]

    async def slow_targets_in_turn(fleet: Fleet) -> None:
        targets = [p.instance for p in fleet.plans if p.service == "catalogue"]
        loop = asyncio.get_running_loop()
        end = loop.time() + request.seconds
        turn = 0
        while loop.time() < end - 2:
            name = targets[turn % len(targets)]
            await fleet.set_upstream_faults(name, slow_factor=10.0)
            await asyncio.sleep(2)
            await fleet.set_upstream_faults(name, slow_factor=1.0)
            await asyncio.sleep(1)
            turn += 1

    baseline = await run_trial(
        request, report, policy=POLICY, phases=phases, weights=weights, name="calm"
    )
    baseline_p99_ms = measure_p99_ms(baseline.calls, kind)
    for policy in request.order_by_seed(POLICIES):
        trial = await run_trial(
            request,
            report,
            policy=policy,
            phases=phases,
            weights=weights,
            disturb=slow_targets_in_turn,
        )
        report.policies[policy] = {
            "kinds": measure_kinds(trial.calls, request.seconds),
            "p99_ratio": measure_p99_ms(trial.calls, kind) / baseline_p99_ms,
            "extra_attempts": report.audits[policy].runs / len(trial.calls) - 1,
        }
    measures = report.policies[POLICY]
    add_target(report, "p99_ratio", measures["p99_ratio"], 1.5, AT_MOST)
    add_target(report, "extra_attempts", measures["extra_attempts"], 0.05, AT_MOST)
    return report
