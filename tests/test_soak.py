"""The checks of the soak test, and a short run of it."""

import asyncio
from pathlib import Path

import pytest

from pimentoscale_bench.soak import starvation
from pimentoscale_bench.soak.deployment import SoakDeployment
from pimentoscale_bench.soak.faults import FAULTS
from pimentoscale_bench.soak.record import (
    DOWN,
    STOP,
    Disturbance,
    Exchange,
    Run,
    SoakRecord,
)
from pimentoscale_bench.soak.run import SoakRun
from pimentoscale_bench.soak.starvation import read_wait_s

# These runs check the guarantees, not the latency.
SECONDS = 20.0
# Faults that restart or hold up nodes while targets state limits and leave.
RESTARTS = ["limit", "limit", "drain", "leave", "roll", "kill", "terminate", "pause"]

# Changes that are planned, so that no request may be given up.
PLANNED = ["leave", "roll", "terminate", "drain"]


def make_exchange(**changes: object) -> Exchange:
    fields: dict[str, object] = {
        "identity": "x",
        "node": "n",
        "is_idempotent": True,
        "sent_at": 10.0,
        "deadline": 12.0,
        "ended_at": 11.0,
        "status": 200,
    }
    return Exchange(**{**fields, **changes})  # type: ignore[arg-type]


def find_breaches(
    exchange: Exchange, *, runs: int, disturbances: list[Disturbance] | None = None
) -> list[str]:
    record = SoakRecord(exchanges=[exchange], disturbances=disturbances or [])
    record.runs["x"] = runs
    record.withdrawn["withdrawn"] = 10.0
    return record.find_breaches()


@pytest.mark.parametrize(
    ("changes", "runs", "breaches"),
    [
        ({}, 1, 0),
        ({}, 2, 0),
        ({"is_idempotent": False}, 2, 1),
        ({"status": 503}, 0, 0),
        ({"status": 503}, 1, 1),
        ({"status": 429}, 1, 1),
        ({"status": 502}, 1, 0),
        ({"status": 0}, 0, 1),
        ({"status": 0}, 1, 1),
        ({"is_intact": False}, 1, 1),
        ({"key": "withdrawn", "sent_at": 14.1}, 1, 1),
        ({"key": "withdrawn", "sent_at": 14.1, "status": 401}, 0, 0),
        ({"key": "withdrawn", "sent_at": 13.9}, 1, 0),
        ({"key": "other", "sent_at": 14.1}, 1, 0),
    ],
)
def test_breach_of_a_guarantee_is_found(
    changes: dict[str, object], runs: int, breaches: int
) -> None:
    assert len(find_breaches(make_exchange(**changes), runs=runs)) == breaches


@pytest.mark.parametrize(
    ("node", "kind", "breaks", "began", "runs", "breaches"),
    [
        ("n", "kill", True, 10.5, 1, 0),
        ("n", "kill", True, 20.0, 1, 1),
        ("other", "kill", True, 10.5, 1, 1),
        ("", "kill", True, 10.5, 1, 0),
        ("n", "store", False, 10.5, 1, 1),
        # A node that shuts down answers the requests that it has read.
        ("n", STOP, False, 9.0, 0, 0),
        ("n", STOP, False, 9.0, 1, 1),
    ],
)
def test_lost_request_is_excused_only_by_a_fault_that_can_cause_it(
    node: str, kind: str, breaks: bool, began: float, runs: int, breaches: int
) -> None:
    fault = Disturbance(node=node, kind=kind, began=began, breaks_callers=breaks)
    lost = make_exchange(status=0)
    assert len(find_breaches(lost, runs=runs, disturbances=[fault])) == breaches


def make_stop(node: str, began: float) -> Disturbance:
    return Disturbance(node=node, kind=STOP, began=began, grace_s=6.0)


@pytest.mark.parametrize(
    ("exchange", "run", "breaches"),
    [
        ({"status": 502}, {}, 1),
        ({"status": 504}, {}, 1),
        ({"status": 500}, {}, 1),
        ({"status": 500, "is_signed": True}, {}, 0),
        # The run has ended, and its answer was lost.
        ({"status": 502}, {"was_cut": False}, 0),
        ({"status": 502}, {"was_cut": False, "ended": 11.2}, 1),
        ({"status": 504, "ended_at": 12.0}, {}, 0),
    ],
)
def test_request_that_is_given_up_is_found(
    exchange: dict[str, object], run: dict[str, object], breaches: int
) -> None:
    fields: dict[str, object] = {"began": 10.1, "ended": 10.9, "was_cut": True}
    cut = Run(node="m", **{**fields, **run})  # type: ignore[arg-type]
    record = SoakRecord(exchanges=[make_exchange(**exchange)])
    record.timed_runs["x"].append(cut)
    assert len(record.find_breaches()) == breaches


@pytest.mark.parametrize(
    ("disturbance", "breaches"),
    [
        (Disturbance(node="m", kind="kill", began=10.5, breaks_runs=True), 0),
        (Disturbance(node="n", kind="pause", began=10.5, breaks_runs=True), 0),
        (Disturbance(node="o", kind="kill", began=10.5, breaks_runs=True), 1),
        (Disturbance(node="m", kind="kill", began=11.5, breaks_runs=True), 1),
        (
            Disturbance(node="m", kind="kill", began=9.0, ended=9.5, breaks_runs=True),
            1,
        ),
        (Disturbance(node="", kind="starved", began=10.5, breaks_runs=True), 0),
        (Disturbance(node="", kind="store", began=10.5), 1),
        (Disturbance(node="m", kind="cut_store", began=10.5), 1),
        # The request is cut at 10.9, and the last sixth of a grace period is its last
        # second.
        (make_stop("n", 5.8), 1),
        (make_stop("n", 10.2), 1),
        (make_stop("n", 6.0), 1),
        (make_stop("n", 2.0), 1),
    ],
)
def test_given_up_request_is_excused_only_by_a_fault_that_can_cause_it(
    disturbance: Disturbance, breaches: int
) -> None:
    record = SoakRecord(
        exchanges=[make_exchange(status=502)], disturbances=[disturbance]
    )
    run = Run(node="m", began=10.1, ended=10.9, was_cut=True)
    record.timed_runs["x"].append(run)
    assert len(record.find_breaches()) == breaches


@pytest.mark.parametrize(
    ("exchange", "run", "disturbance", "breaches"),
    [
        ({}, {}, None, 1),
        # An answer after the deadline is passed on as well.
        ({"ended_at": 12.2}, {}, None, 1),
        ({"status": 200}, {}, None, 0),
        ({"is_signed": True}, {}, None, 0),
        ({}, {"ended": 10.9}, None, 0),
        # A node that was paused passes on what came meanwhile.
        ({}, {}, ("n", "pause", 10.3), 1),
        ({}, {}, ("m", "pause", 10.3), 0),
        ({}, {}, ("m", "kill", 11.2), 0),
        ({}, {}, ("m", "kill", 11.8), 1),
        ({}, {}, ("", "starved", 11.2), 0),
        ({}, {}, ("m", DOWN, 11.2), 0),
        ({}, {}, ("m", STOP, 10.3), 1),
    ],
)
def test_answer_that_was_ready_and_not_passed_on_is_found(
    exchange: dict[str, object],
    run: dict[str, object],
    disturbance: tuple[str, str, float] | None,
    breaches: int,
) -> None:
    fields: dict[str, object] = {"status": 502, "ended_at": 11.7, **exchange}
    record = SoakRecord(exchanges=[make_exchange(**fields)])
    if disturbance is not None:
        node, kind, began = disturbance
        breaks_runs = kind not in (STOP, DOWN)
        record.disturbances.append(
            Disturbance(node=node, kind=kind, began=began, breaks_runs=breaks_runs)
        )
    times: dict[str, object] = {"began": 10.1, "ended": 10.4, **run}
    record.timed_runs["x"].append(Run(node="m", **times))  # type: ignore[arg-type]
    assert len(record.find_breaches()) == breaches


@pytest.mark.parametrize("node", ["n", "m"])
@pytest.mark.parametrize(
    ("sent_at", "cut_at", "breaches"),
    [
        (7.9, 9.9, 1),
        (7.9, 10.1, 0),
        (8.1, 10.1, 1),
        (7.9, 12.1, 1),
    ],
)
def test_stopping_node_gives_up_only_in_the_last_sixth_of_its_grace_period(
    node: str, sent_at: float, cut_at: float, breaches: int
) -> None:
    exchange = make_exchange(
        sent_at=sent_at, ended_at=cut_at, deadline=13.0, status=504
    )
    record = SoakRecord(exchanges=[exchange], disturbances=[make_stop(node, 5.0)])
    run = Run(node="m", began=sent_at, ended=cut_at, was_cut=True)
    record.timed_runs["x"].append(run)
    assert len(record.find_breaches()) == breaches


def test_process_that_waits_long_for_a_processor_is_starved(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    waits = iter([0.0, 0.4, 1.0])
    monkeypatch.setattr(starvation, "PERIOD_S", 0.01)
    monkeypatch.setattr(starvation, "read_wait_s", lambda pid: next(waits, 1.1))
    deployment = SoakDeployment(folder=tmp_path, seed=1, subnet=1, node_count=0)

    async def run() -> None:
        watching = asyncio.create_task(starvation.watch_starvation(deployment))
        await asyncio.sleep(0.1)
        watching.cancel()

    asyncio.run(run())
    (starved,) = deployment.record.disturbances
    assert starved.node == ""
    assert starved.breaks_runs
    assert not starved.breaks_callers
    assert starved.ended - starved.began >= 0.6


def test_wait_of_an_ended_process_is_none() -> None:
    assert read_wait_s(-1) == 0.0


def test_fault_in_progress_counts_as_a_disturbance() -> None:
    async def run() -> None:
        record = SoakRecord()
        loop = asyncio.get_running_loop()
        assert record.is_undisturbed("n", since=0.0, until=loop.time())
        with record.track_disturbance("kill", node="n"):
            assert not record.is_undisturbed("n", since=loop.time(), until=loop.time())
            assert record.is_undisturbed("m", since=loop.time(), until=loop.time())
        assert not record.is_undisturbed("n", since=loop.time() - 1, until=loop.time())

    asyncio.run(run())


@pytest.mark.parametrize(
    ("seed", "faults"),
    [
        (11, list(FAULTS)),
        (12, list(FAULTS)),
        (13, RESTARTS),
        (29101, PLANNED),
    ],
)
def test_short_soak_has_no_breaches(
    seed: int, faults: list[str], tmp_path: Path
) -> None:
    folder = tmp_path / "soak"
    soak_run = SoakRun(seed=seed, seconds=SECONDS, processes=6, folder=folder)
    report = asyncio.run(soak_run.run(faults=faults))
    assert report.breaches == []
    assert report.requests > 0
    assert report.statuses[200] > 0
    assert not folder.exists()
