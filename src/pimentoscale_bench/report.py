"""Reports of experiments: measures, targets and their files."""

import json
import subprocess
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import numpy as np
from rich.console import Console
from rich.table import Table

from pimentoscale_bench.audit import AuditReport
from pimentoscale_bench.caller import CallRecord

AT_MOST = "at_most"
AT_LEAST = "at_least"


@dataclass(slots=True, kw_only=True)
class TargetReport:
    """A stated target and the measured value.

    `sense` is `AT_MOST` or `AT_LEAST`: on which side of `bound` the value must lie.
    """

    name: str
    measured: float
    bound: float
    sense: str

    @property
    def holds(self) -> bool:
        """Return whether the target was met."""
        if self.sense == AT_MOST:
            return self.measured <= self.bound
        return self.measured >= self.bound


@dataclass(slots=True, kw_only=True)
class ExperimentReport:
    """The measures, targets and audits of one experiment.

    `policies` maps each policy to its measures, and `audits` to its audit.
    """

    experiment: str
    deployment: str
    seed: int
    scale: str
    policies: dict[str, dict[str, Any]] = field(default_factory=dict)
    targets: list[TargetReport] = field(default_factory=list)
    audits: dict[str, AuditReport] = field(default_factory=dict)

    @property
    def breaches(self) -> int:
        """Return the number of breaches that the audits found."""
        return sum(audit.breaches for audit in self.audits.values())

    @property
    def holds(self) -> bool:
        """Return whether all targets were met."""
        return all(target.holds for target in self.targets)

    def write(self, folder: Path) -> None:
        """Write `report.json` to a folder, which is created if it does not exist."""
        folder.mkdir(parents=True, exist_ok=True)
        data = asdict(self)
        data["commit"] = find_commit()
        for entry, target in zip(data["targets"], self.targets, strict=True):
            entry["holds"] = target.holds
        (folder / "report.json").write_text(json.dumps(data, indent=2) + "\n")


def find_commit() -> str:
    """Return the measured commit's short id, or an empty text outside a checkout."""
    command = ["git", "rev-parse", "--short", "HEAD"]
    try:
        result = subprocess.run(command, capture_output=True, text=True, check=False)
    except OSError:
        return ""
    return result.stdout.strip()


def measure_kinds(calls: Iterable[CallRecord], seconds: float) -> dict[str, Any]:
    """Return goodput, latency percentiles and outcomes by kind.

    `seconds` is the duration of the load.
    """
    by_kind: dict[str, list[CallRecord]] = defaultdict(list)
    for call in calls:
        by_kind[call.kind].append(call)
    return {
        kind: _measure(kind_calls, seconds)
        for kind, kind_calls in sorted(by_kind.items())
    }


def _measure(calls: list[CallRecord], seconds: float) -> dict[str, Any]:
    answered = [call for call in calls if call.last.outcome == "answered"]
    latencies_ms = [call.seconds * 1000 for call in answered] or [0.0]
    outcomes: dict[str, int] = defaultdict(int)
    for call in calls:
        outcomes[call.last.outcome] += 1
    return {
        "calls": len(calls),
        "goodput_per_s": round(len(answered) / seconds, 2),
        "p50_ms": round(float(np.percentile(latencies_ms, 50)), 2),
        "p95_ms": round(float(np.percentile(latencies_ms, 95)), 2),
        "p99_ms": round(float(np.percentile(latencies_ms, 99)), 2),
        "outcomes": dict(outcomes),
    }


def print_report(report: ExperimentReport, console: Console) -> None:
    """Print a report: measures by policy, audits and targets."""
    for policy, measures in report.policies.items():
        kinds = measures.get("kinds")
        if kinds:
            console.print(_make_kind_table(policy, kinds))
        others = {key: value for key, value in measures.items() if key != "kinds"}
        for key, value in others.items():
            console.print(f"{policy}: {key} = {value}")
    for policy, audit in report.audits.items():
        console.print(
            f"audit of {policy}: {audit.calls} calls, {audit.runs} runs, "
            f"{audit.breaches} breaches"
        )
    for target in report.targets:
        verdict = "holds" if target.holds else "MISSED"
        sign = "<=" if target.sense == AT_MOST else ">="
        console.print(
            f"{verdict}: {target.name} {target.measured:.3f} {sign} {target.bound}"
        )


def _make_kind_table(policy: str, kinds: dict[str, Any]) -> Table:
    table = Table(title=policy)
    columns = ("kind", "calls", "goodput/s", "p50 ms", "p95 ms", "p99 ms", "outcomes")
    for column in columns:
        table.add_column(column, justify="left" if column == "kind" else "right")
    for kind, row in kinds.items():
        outcomes = ", ".join(f"{name} {n}" for name, n in row["outcomes"].items())
        table.add_row(
            kind,
            str(row["calls"]),
            str(row["goodput_per_s"]),
            str(row["p50_ms"]),
            str(row["p95_ms"]),
            str(row["p99_ms"]),
            outcomes,
        )
    return table
