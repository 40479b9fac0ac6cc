"""The experiment `holds`: random faults under a mixed load, audited afterwards."""

import asyncio

from pimentoscale_bench.audit import audit, read_runs
from pimentoscale_bench.caller import Caller, Phase, generate_load
from pimentoscale_bench.experiments import (
    ExperimentRequest,
    register_experiment,
    start_report,
)
from pimentoscale_bench.faults import FAULTS, FaultContext
from pimentoscale_bench.fleet import Fleet, make_rng, run_fleet
from pimentoscale_bench.report import ExperimentReport, measure_kinds

POLICY = "adaptive"
RATE_PER_S = 80.0
WARM_UP_S = 1.0
# Least weight of a non-idempotent kind, so that the audit for calls that ran twice
# sees enough of them.
MIN_NON_IDEMPOTENT_WEIGHT = 0.5


@register_experiment("holds")
async def run_holds(request: ExperimentRequest) -> ExperimentReport:
    """Inject faults drawn from the seed under a mixed load and audit the guarantees."""
    report = start_report(request, "holds")
    fleet = Fleet(
        deployment=request.deployment,
        folder=request.folder,
        policy=POLICY,
        has_relays=True,
    )
    async with run_fleet(fleet):
        caller, faults = await _run_load(fleet, request)
    kinds = request.deployment.kinds
    runs = read_runs(fleet.record_files)
    report.policies[POLICY] = {
        "kinds": measure_kinds(caller.calls, request.seconds),
        "faults": faults,
    }
    report.audits[POLICY] = audit(calls=caller.calls, runs=runs, kinds=kinds)
    return report


async def _run_load(
    fleet: Fleet, request: ExperimentRequest
) -> tuple[Caller, list[str]]:
    kinds = request.deployment.kinds
    caller = Caller(
        entry_nodes=[plan.http for plan in fleet.plans],
        kinds=kinds,
        rng=make_rng(request.seed, "caller"),
    )
    weights = {
        name: kind.weight
        if kind.idempotent
        else max(MIN_NON_IDEMPOTENT_WEIGHT, kind.weight)
        for name, kind in kinds.items()
        if kind.weight
    }
    faults: list[str] = []
    load = generate_load(
        caller,
        phases=[Phase(rate=RATE_PER_S, seconds=request.seconds)],
        weights=weights,
        rng=make_rng(request.seed, "load"),
    )
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(load)
        tasks.create_task(_inject_faults(fleet, request, faults))
    caller.close()
    return caller, faults


async def _inject_faults(
    fleet: Fleet, request: ExperimentRequest, injected: list[str]
) -> None:
    """Inject one fault after another until the load ends.

    Append the name and the details of each fault to `injected`.
    """
    rng = make_rng(request.seed, "faults")
    loop = asyncio.get_running_loop()
    end = loop.time() + request.seconds
    await asyncio.sleep(WARM_UP_S)
    while loop.time() < end - WARM_UP_S:
        name = rng.choice(sorted(FAULTS))
        detail = await FAULTS[name](FaultContext(fleet=fleet, rng=rng))
        injected.append(f"{name} {detail}")
        await asyncio.sleep(rng.uniform(0.0, 1.0))
