"""The experiment `mixed` of `make run`: all kinds, one instance killed and replaced."""

import asyncio

from rich.progress import Progress

from pimentoscale_bench.audit import audit, read_runs
from pimentoscale_bench.caller import Caller, Phase, generate_load
from pimentoscale_bench.experiments import (
    ExperimentRequest,
    register_experiment,
    start_report,
)
from pimentoscale_bench.fleet import Fleet, make_rng, run_fleet
from pimentoscale_bench.report import ExperimentReport, measure_kinds

POLICY = "adaptive"
RATE_PER_S = 60.0
# Fractions of the duration of the load.
KILL_AT_FRACTION = 0.3
REPLACE_AT_FRACTION = 0.5
PROGRESS_INTERVAL_S = 0.25


@register_experiment("mixed")
async def run_mixed(request: ExperimentRequest) -> ExperimentReport:
    """Send calls of all kinds at a moderate load; kill and replace one instance."""
    report = start_report(request, "mixed")
    fleet = Fleet(
        deployment=request.deployment,
        folder=request.folder,
        policy=POLICY,
    )
    async with run_fleet(fleet):
        caller = await _run_load(fleet, request)
    kinds = request.deployment.kinds
    report.policies[POLICY] = {"kinds": measure_kinds(caller.calls, request.seconds)}
    runs = read_runs(fleet.record_files)
    report.audits[POLICY] = audit(calls=caller.calls, runs=runs, kinds=kinds)
    return report


async def _run_load(fleet: Fleet, request: ExperimentRequest) -> Caller:
    kinds = request.deployment.kinds
    victim = fleet.plans[0].instance
    caller = Caller(
        entry_nodes=[plan.http for plan in fleet.plans if plan.instance != victim],
        kinds=kinds,
        rng=make_rng(request.seed, "caller"),
    )
    load = generate_load(
        caller,
        phases=[Phase(rate=RATE_PER_S, seconds=request.seconds)],
        weights={name: kind.weight for name, kind in kinds.items() if kind.weight},
        rng=make_rng(request.seed, "load"),
    )
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(load)
        tasks.create_task(_kill_and_replace(fleet, victim, request.seconds))
        tasks.create_task(_show_progress(caller, request.seconds))
    caller.close()
    return caller


async def _kill_and_replace(fleet: Fleet, victim: str, seconds: float) -> None:
    await asyncio.sleep(KILL_AT_FRACTION * seconds)
    fleet.kill(victim)
    await asyncio.sleep((REPLACE_AT_FRACTION - KILL_AT_FRACTION) * seconds)
    fleet.replace(victim)
    await fleet.wait_node_ready(victim)


async def _show_progress(caller: Caller, seconds: float) -> None:
    loop = asyncio.get_running_loop()
    started = loop.time()
    with Progress() as progress:
        bar = progress.add_task("calls", total=seconds)
        while (elapsed := loop.time() - started) < seconds:
            text = f"{len(caller.calls)} calls"
            progress.update(bar, completed=elapsed, description=text)
            await asyncio.sleep(PROGRESS_INTERVAL_S)
        progress.update(bar, completed=seconds)
