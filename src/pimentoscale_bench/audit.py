"""Compares the outcomes that callers received with the runs that upstreams recorded."""

import json
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from pimentoscale_bench.caller import Attempt, CallRecord
from pimentoscale_bench.deployment import KindPlan

# Tolerance between the wall-clock times of callers and upstreams.
CLOCK_MARGIN_S = 0.001


@dataclass(slots=True, kw_only=True, frozen=True)
class Run:
    """One start of a run, as an upstream recorded it.

    `submission` names the caller's submission that caused it; empty if unknown. `at` is
    the wall-clock time in seconds.
    """

    request: str
    kind: str
    submission: str
    at: float


@dataclass(slots=True, kw_only=True)
class AuditReport:
    """The numbers of calls and runs checked, and every breach found, by type.

    `over_bound` lists the requests that ran more often than the retry bound allows, and
    `reverted` those whose later attempt reported an older configuration version.
    """

    calls: int = 0
    runs: int = 0
    ran_twice: list[str] = field(default_factory=list)
    refused_but_ran: list[str] = field(default_factory=list)
    damaged: list[str] = field(default_factory=list)
    over_bound: list[str] = field(default_factory=list)
    reverted: list[str] = field(default_factory=list)

    @property
    def breaches(self) -> int:
        """Return the number of breaches found."""
        lists = (
            self.ran_twice,
            self.refused_but_ran,
            self.damaged,
            self.over_bound,
            self.reverted,
        )
        return sum(map(len, lists))


def read_runs(files: Iterable[Path]) -> list[Run]:
    """Return the starts of runs that the upstreams recorded in the files."""
    runs: list[Run] = []
    for file in files:
        for line in file.read_text().splitlines():
            event, request, kind, submission, at = json.loads(line)
            if event == "start":
                run = Run(request=request, kind=kind, submission=submission, at=at)
                runs.append(run)
    return runs


def audit(
    *, calls: Iterable[CallRecord], runs: Iterable[Run], kinds: dict[str, KindPlan]
) -> AuditReport:
    """Check every call against the runs of its tree of calls."""
    report = AuditReport()
    starts: dict[str, list[Run]] = defaultdict(list)
    roots: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        report.runs += 1
        starts[run.request].append(run)
        roots[run.request.split("/", 1)[0]].append(run)
    for request, own_runs in starts.items():
        if not kinds[own_runs[0].kind].idempotent and len(own_runs) > 1:
            report.ran_twice.append(request)
    for call in calls:
        report.calls += 1
        _audit_call(report, call, roots[call.request], starts[call.request], kinds)
    return report


def contradicts(run: Run, attempt: Attempt, *, idempotent: bool) -> bool:
    """Return whether a run contradicts the refusal of a submission.

    When a caller submits an idempotent request again under its id, the earlier
    submission was reported as failed, but a run of it may still begin late. So only
    runs of the refused submission contradict the refusal, whenever they begin. For a
    non-idempotent request, every run that began before the refusal does so as well.
    A run without a submission id counts as one of the refused submission.
    """
    if run.submission in ("", attempt.submission):
        return True
    return not idempotent and run.at <= attempt.ended + CLOCK_MARGIN_S


def _describe(call: CallRecord, tree_runs: list[Run]) -> str:
    """Describe a call's submissions and runs, with times in seconds from its start."""
    attempts = [
        f"{attempt.submission} {attempt.outcome} {attempt.error} "
        f"{attempt.started - call.started:.3f}"
        f"-{attempt.ended - call.started:.3f}"
        for attempt in call.attempts
    ]
    runs = [
        f"{run.request} {run.submission} {run.at - call.started:.3f}"
        for run in tree_runs
    ]
    return f"{call.request} {call.kind}: {attempts}; runs {runs}"


def _audit_call(
    report: AuditReport,
    call: CallRecord,
    tree_runs: list[Run],
    own_runs: list[Run],
    kinds: dict[str, KindPlan],
) -> None:
    version = 0
    for attempt in call.attempts:
        if not attempt.is_intact:
            report.damaged.append(call.request)
        if attempt.outcome == "refused":
            idempotent = kinds[call.kind].idempotent
            if any(
                contradicts(run, attempt, idempotent=idempotent) for run in tree_runs
            ):
                report.refused_but_ran.append(_describe(call, tree_runs))
        if attempt.version and attempt.version < version:
            report.reverted.append(call.request)
        version = max(version, attempt.version)
    bound = len(call.attempts) + kinds[call.kind].retries * len(call.attempts)
    if len(own_runs) > bound:
        report.over_bound.append(call.request)
