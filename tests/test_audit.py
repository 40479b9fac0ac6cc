"""The audit of what callers were told against the upstreams' records."""

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
        # An earlier submission that failed begins to run late.
        (IDEMPOTENT, "r", "s.1", 1.05, 0),
        (IDEMPOTENT, "r", "s.2", 1.05, 1),
        # A refusal holds for the time after it, and for sub-calls.
        (IDEMPOTENT, "r", "s.2", 5.0, 1),
        (IDEMPOTENT, "r/1", "s.2", 1.05, 1),
        # A run that names no submission may be one of the refused submission.
        (IDEMPOTENT, "r", "", 1.05, 1),
        # The submissions of a non-idempotent request stand for one another.
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
