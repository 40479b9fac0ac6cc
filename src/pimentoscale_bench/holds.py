"""The experiment that draws faults over a mixed load and audits what must hold."""

import asyncio

from pimentoscale_bench.audit import audit, read_runs
from pimentoscale_bench.caller import Caller, Phase, generate_load
from pimentoscale_bench.experiments import (
    ExperimentRequest,
    register_experiment,
    start_report,
)
from pimentoscale_bench.faults import FAULTS, FaultContext
from pimentoscale_bench.fleet import Fleet, make_random_source, run_fleet
from pimentoscale_bench.report import ExperimentReport, measure_kinds

POLICY = "adaptive"
RATE_PER_S = 80.0
WARM_UP_S = 1.0
LEAST_ORDERS = 0.5


@register_experiment("holds")
async def run_holds(request: ExperimentRequest) -> ExperimentReport:
    """Faults drawn by the seed over a mixed load; every promise is audited."""
    report = start_report(request, "holds")
    fleet = Fleet(
        deployment=request.deployment,
        folder=request.folder,
        policy=POLICY,
        has_relays=True,
    )
    async with run_fleet(fleet):
        caller, faults = await _drive(fleet, request)
    kinds = request.deployment.kinds
    runs = read_runs(fleet.record_files)
    report.policies[POLICY] = {
        "kinds": measure_kinds(caller.calls, request.seconds),
        "faults": faults,
    }
    report.audits[POLICY] = audit(calls=caller.calls, runs=runs, kinds=kinds)
    return report


async def _drive(fleet: Fleet, request: ExperimentRequest) -> tuple[Caller, list[str]]:
    kinds = request.deployment.kinds
    caller = Caller(
        entry_nodes=[plan.http for plan in fleet.plans],
        kinds=kinds,
        source=make_random_source(request.seed, "caller"),
    )
    weights = {
        name: kind.weight if kind.idempotent else max(LEAST_ORDERS, kind.weight)
        for name, kind in kinds.items()
        if kind.weight
    }
    faults: list[str] = []
    load = generate_load(
        caller,
        phases=[Phase(rate=RATE_PER_S, seconds=request.seconds)],
        weights=weights,
        source=make_random_source(request.seed, "load"),
    )
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(load)
        tasks.create_task(_inject(fleet, request, faults))
    caller.close()
    return caller, faults


async def _inject(fleet: Fleet, request: ExperimentRequest, done: list[str]) -> None:
    """Inject one fault after the other until the load ends."""
    source = make_random_source(request.seed, "faults")
    loop = asyncio.get_running_loop()
    end = loop.time() + request.seconds
    await asyncio.sleep(WARM_UP_S)
    while loop.time() < end - WARM_UP_S:
        name = source.choice(sorted(FAULTS))
        detail = await FAULTS[name](FaultContext(fleet=fleet, source=source))
        done.append(f"{name} {detail}")
        await asyncio.sleep(source.uniform(0.0, 1.0))
