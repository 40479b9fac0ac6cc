"""The audit compares callers' outcomes with the upstreams' records of runs."""

import pytest

from pimentoscale_bench.audit import Run, audit
from pimentoscale_bench.caller import Attempt, CallRecord
from pimentoscale_bench.deployment import KindPlan

IDEMPOTENT, ONCE = "view", "book"


KINDS = {
    IDEMPOTENT: KindPlan(service="s", importance=1, idempotent=True, service_ms=1.0),
    ONCE: KindPlan(service="s", importance=1, idempotent=False, service_ms=1.0),
}


def make_call(kind: str) -> CallRecord:
    """Return a call whose first submission failed and whose second was refused."""
    outcomes = (("s.1", 0.0, 1.0, "failed"), ("s.2", 1.0, 1.3, "refused"))
    attempts = [
        Attempt(
            request="r",
            submission=submission,
            kind=kind,
            started=started,
            ended=ended,
            outcome=outcome,
        )
        for submission, started, ended, outcome in outcomes
    ]
    return CallRecord(request="r", kind=kind, started=0.0, attempts=attempts)


@pytest.mark.parametrize(
    ("kind", "request_id", "submission", "at", "breaches"),
    [
        # A run of the earlier, failed submission begins late.
        (IDEMPOTENT, "r", "s.1", 1.05, 0),
        (IDEMPOTENT, "r", "s.2", 1.05, 1),
        # A refusal covers all later runs and all sub-calls.
        (IDEMPOTENT, "r", "s.2", 5.0, 1),
        (IDEMPOTENT, "r/1", "s.2", 1.05, 1),
        # A run without a submission id may belong to the refused submission.
        (IDEMPOTENT, "r", "", 1.05, 1),
        # For a non-idempotent request, a run of any submission counts.
        (ONCE, "r", "s.1", 1.05, 1),
        (ONCE, "r", "s.2", 5.0, 1),
    ],
)
def test_run_of_a_refused_submission_is_a_breach(
    kind: str, request_id: str, submission: str, at: float, breaches: int
) -> None:
    runs = [Run(request=request_id, kind=kind, submission=submission, at=at)]
    report = audit(calls=[make_call(kind)], runs=runs, kinds=KINDS)
    assert len(report.refused_but_ran) == breaches
