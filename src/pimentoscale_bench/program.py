"""pimento-bench: runs deployments as processes, loads them and reports."""

import asyncio
import logging
import signal
import sys
import tempfile
from pathlib import Path
from typing import Annotated

import cyclopts
import uvloop
from rich.console import Console

from pimentoscale.garbage_collection import configure_garbage_collector
from pimentoscale_bench.deployment import read_deployment
from pimentoscale_bench.experiments import (
    Experiment,
    ExperimentRequest,
    find_experiment,
    list_experiments,
    load_experiments,
)
from pimentoscale_bench.fleet import Fleet, run_fleet
from pimentoscale_bench.report import ExperimentReport, print_report
from pimentoscale_bench.soak.faults import FAULTS
from pimentoscale_bench.soak.run import SoakRun

EXIT_TARGET_MISSED = 1
EXIT_BAD_ARGUMENTS = 2
EXIT_AUDIT_FAILED = 3
MAX_BREACH_LINES = 20
# Limits the load on the machine to a few hundred processes.
MAX_SOAK_PROCESSES = 250
DEPLOYMENTS = Path(__file__).parents[2] / "deployments"

app = cyclopts.App(name="pimento-bench", help=__doc__)
console = Console()


@app.command(name="list")
def list_names() -> None:
    """List the experiments."""
    for line in list_experiments():
        console.print(line)


@app.command
def run(
    experiment: str,
    *,
    deployment: Annotated[str, cyclopts.Parameter(help="name or file")],
    seed: int = 1,
    scale: str = "small",
    seconds: float = 20.0,
    report: Path | None = None,
) -> None:
    """Run an experiment and print its report.

    Exit codes: 1 if a target was missed, 2 for bad arguments, 3 if an audit failed.
    """
    function = find_experiment(experiment)
    path = DEPLOYMENTS / f"{deployment}.toml"
    if function is None or not path.exists() or scale not in ("small", "full"):
        print(
            "unknown experiment, deployment or scale; "
            f"experiments: {list_experiments()}",
            file=sys.stderr,
        )
        sys.exit(EXIT_BAD_ARGUMENTS)
    logging.basicConfig(level=logging.WARNING)
    with tempfile.TemporaryDirectory(prefix="pimento-") as folder:
        request = ExperimentRequest(
            deployment=read_deployment(path).scale(scale),
            seed=seed,
            scale=scale,
            folder=Path(folder),
            seconds=seconds,
            report_folder=report,
        )
        result = uvloop.run(_run(function, request))
    print_report(result, console)
    if report is not None:
        result.write(report)
    if result.breaches:
        sys.exit(EXIT_AUDIT_FAILED)
    if not result.holds:
        sys.exit(EXIT_TARGET_MISSED)


@app.command
def serve(
    *,
    deployment: Annotated[str, cyclopts.Parameter(help="name or file")],
    scale: str = "small",
    policy: str = "adaptive",
) -> None:
    """Start a deployment and run it until interrupted."""
    path = DEPLOYMENTS / f"{deployment}.toml"
    if not path.exists() or scale not in ("small", "full"):
        print(f"no deployment {deployment} at scale {scale}", file=sys.stderr)
        sys.exit(EXIT_BAD_ARGUMENTS)
    with tempfile.TemporaryDirectory(prefix="pimento-") as folder:
        fleet = Fleet(
            deployment=read_deployment(path).scale(scale),
            folder=Path(folder),
            policy=policy,
        )
        uvloop.run(_serve(fleet))


@app.command
def soak(
    *,
    seed: int = 1,
    runs: int = 1,
    seconds: float = 20.0,
    processes: int = 6,
    faults: Annotated[
        str, cyclopts.Parameter(help="comma-separated names, all or none")
    ] = "all",
    folder: Path = Path("soak"),
) -> None:
    """Run nodes of the users' platform under random faults, one run for each seed.

    The folder of a run with breaches keeps its time line and logs. Exit codes: 2 for
    bad arguments, 3 if a run had breaches.
    """
    names = {"all": list(FAULTS), "none": []}.get(faults, faults.split(","))
    unknown = [name for name in names if name not in FAULTS]
    if unknown or runs < 1 or not 1 <= processes <= MAX_SOAK_PROCESSES:
        print(
            f"bad arguments; faults: all, none or {', '.join(FAULTS)}", file=sys.stderr
        )
        sys.exit(EXIT_BAD_ARGUMENTS)
    logging.basicConfig(level=logging.WARNING)
    failed_runs = 0
    for run_seed in range(seed, seed + runs):
        soak_run = SoakRun(
            seed=run_seed,
            seconds=seconds,
            processes=processes,
            folder=folder / f"seed-{run_seed}",
        )
        report = uvloop.run(soak_run.run(faults=names))
        failed_runs += bool(report.breaches)
        console.print(
            f"seed {run_seed}: {report.requests} requests, statuses {report.statuses}, "
            f"faults {report.faults}, breaches {len(report.breaches)}"
        )
        for breach in report.breaches[:MAX_BREACH_LINES]:
            console.print(f"  {breach}", markup=False)
        if report.breaches:
            console.print(
                f"  logs in {report.folder}; repeat with: pimento-bench soak "
                f"--seed {run_seed} --seconds {seconds} --processes {processes} "
                f"--faults {faults}"
            )
    if failed_runs:
        sys.exit(EXIT_AUDIT_FAILED)


async def _serve(fleet: Fleet) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stopped.set)
    async with run_fleet(fleet):
        for plan in fleet.plans:
            console.print(f"{plan.instance} in {plan.zone}: http://{plan.http}")
        await stopped.wait()


async def _run(experiment: Experiment, request: ExperimentRequest) -> ExperimentReport:
    """Run an experiment; on SIGTERM, cancel it so that it stops its processes."""
    task = asyncio.ensure_future(experiment(request))
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


def main() -> None:
    """Run the program."""
    load_experiments()
    configure_garbage_collector()
    app()


if __name__ == "__main__":
    main()
