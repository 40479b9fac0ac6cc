"""The registry of experiments."""

import importlib
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, replace
from pathlib import Path

from pimentoscale_bench.deployment import Deployment
from pimentoscale_bench.report import ExperimentReport


@dataclass(slots=True, kw_only=True, frozen=True)
class ExperimentRequest:
    """The parameters of one run of an experiment.

    `deployment` is already scaled to `scale`. `folder` holds settings and logs of the
    run; plots go to `report_folder` if it is given.
    """

    deployment: Deployment
    seed: int
    scale: str
    folder: Path
    seconds: float
    report_folder: Path | None = None

    def scale_service_times(self, factor: float) -> "ExperimentRequest":
        """Return this request with all service times multiplied by a factor.

        Longer service times make the slots, not this machine's CPUs, the bottleneck.
        """
        kinds = {
            name: replace(kind, service_ms=kind.service_ms * factor)
            for name, kind in self.deployment.kinds.items()
        }
        return replace(self, deployment=replace(self.deployment, kinds=kinds))

    def order_by_seed(self, names: Sequence[str]) -> list[str]:
        """Return names in the given order for an odd seed, reversed for an even one."""
        return list(names) if self.seed % 2 else list(reversed(names))


Experiment = Callable[[ExperimentRequest], Awaitable[ExperimentReport]]
MODULES = (
    "mixed",
    "holds",
    "latency",
    "overload",
    "interference",
    "starts",
    "slopes",
    "patches",
)
_EXPERIMENTS: dict[str, Experiment] = {}


def register_experiment(name: str) -> Callable[[Experiment], Experiment]:
    """Return a decorator that registers an experiment under a name."""

    def register(experiment: Experiment) -> Experiment:
        _EXPERIMENTS[name] = experiment
        return experiment

    return register


def load_experiments() -> None:
    """Import the modules that register experiments."""
    for module in MODULES:
        importlib.import_module(f"pimentoscale_bench.{module}")


def find_experiment(name: str) -> Experiment | None:
    """Return the experiment of a name, or None."""
    return _EXPERIMENTS.get(name)


def list_experiments() -> list[str]:
    """Return a line for each experiment: its name and the summary of its docstring."""
    return [
        f"{name}: {(experiment.__doc__ or '').splitlines()[0]}"
        for name, experiment in sorted(_EXPERIMENTS.items())
    ]


def start_report(request: ExperimentRequest, name: str) -> ExperimentReport:
    """Return an empty report for an experiment."""
    return ExperimentReport(
        experiment=name,
        deployment=request.deployment.name,
        seed=request.seed,
        scale=request.scale,
    )
