"""SIGTERM to node processes while callers keep sending on open connections."""

import asyncio
import os
import random
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import httpx
import pytest

from tests.node_processes import (
    ANSWER_BYTES,
    RUN_MS,
    NodeFleet,
    NodeProcess,
    Run,
    run_node_fleet,
)

# More seeds by hand: SIGNAL_SEEDS=1,2,3
SEEDS = [int(text) for text in os.environ.get("SIGNAL_SEEDS", "29301").split(",")]
SERVICES = {
    "f0": "front",
    "f1": "front",
    "f2": "front",
    "b0": "back",
    "b1": "back",
    "b2": "back",
}
GRACES_S = (1, 3, 6)
CALLERS = 4
RUNS_MS = (10, 10, 50, 200, 600, 1500)
ANSWERS_BYTES = (2, 2, 2, 400_000)
WARM_UP_S = 1.0
GAPS_S = (0.0, 0.3, 0.8, 1.3)
LOST = "lost"
NOT_TAKEN = "witness_silent"
LOST_ERRORS = (httpx.RemoteProtocolError, httpx.ReadError, httpx.WriteError)


@dataclass(slots=True, kw_only=True)
class Submission:
    """One exchange of a caller and its outcome; `LOST` if it got no whole answer."""

    request: str
    kind: str
    entry: str
    sent: float
    ended: float = 0.0
    outcome: str = LOST
    error: str = ""
    detail: str = ""


@dataclass(slots=True, kw_only=True)
class Callers:
    """Callers that send to each node until its process is gone."""

    fleet: NodeFleet
    rng: random.Random
    submissions: list[Submission] = field(default_factory=list)
    count: int = 0

    async def call_until_gone(self, node: NodeProcess) -> None:
        """Send calls, one after the other, on an open connection."""
        async with httpx.AsyncClient(timeout=30) as http:
            while node.is_running:
                self.count += 1
                kind = self.rng.choice(("read", "write"))
                try:
                    await self._call(http, node, kind, f"r{self.count}")
                except httpx.ConnectError:
                    await asyncio.sleep(0.02)

    async def _call(
        self, http: httpx.AsyncClient, node: NodeProcess, kind: str, request: str
    ) -> None:
        headers = {
            "pimento-kind": kind,
            "pimento-request-id": request,
            "pimento-caller": "tests",
            RUN_MS: str(self.rng.choice(RUNS_MS)),
            ANSWER_BYTES: str(self.rng.choice(ANSWERS_BYTES)),
        }
        if kind == "write":
            ticket = await self._get_ticket(http, node, headers)
            if not ticket:
                return
            headers["pimento-ticket"] = ticket
        last = await self._submit(http, node, headers)
        if kind == "write" and last.outcome in (LOST, "unknown"):
            await self._submit_elsewhere(node, headers)

    async def _get_ticket(
        self, http: httpx.AsyncClient, node: NodeProcess, headers: dict[str, str]
    ) -> str:
        try:
            response = await http.post(f"{node.url}/call/run", headers=headers)
        except LOST_ERRORS:
            return ""
        ticket: str = response.headers.get("pimento-ticket", "")
        return ticket

    async def _submit_elsewhere(
        self, node: NodeProcess, headers: dict[str, str]
    ) -> None:
        others = [
            other
            for other in self.fleet.nodes.values()
            if other is not node and not other.signalled
        ]
        if not others:
            return
        async with httpx.AsyncClient(timeout=30) as http:
            try:
                await self._submit(http, self.rng.choice(others), headers)
            except httpx.ConnectError:
                return

    async def _submit(
        self, http: httpx.AsyncClient, node: NodeProcess, headers: dict[str, str]
    ) -> Submission:
        """Send one submission; raises `httpx.ConnectError` if nothing was sent."""
        loop = asyncio.get_running_loop()
        submission = Submission(
            request=headers["pimento-request-id"],
            kind=headers["pimento-kind"],
            entry=node.name,
            sent=loop.time(),
        )
        try:
            response = await http.post(f"{node.url}/call/run", headers=headers)
        except LOST_ERRORS as error:
            submission.detail = repr(error)
        else:
            found = response.headers
            submission.outcome = found.get("pimento-outcome", "none")
            submission.error = found.get("pimento-error", "")
            submission.detail = found.get("pimento-detail", "")
            if submission.outcome == "answered":
                assert len(response.content) == int(headers[ANSWER_BYTES])
        submission.ended = loop.time()
        self.submissions.append(submission)
        return submission


def get_due_at(node: NodeProcess) -> float:
    """Return by when the targets of a node's requests have to answer."""
    return node.shutdown.targets_due_at


def find_faults(fleet: NodeFleet, submissions: list[Submission]) -> list[str]:
    """Return a line for each submission or run that breaks a promise of a stop."""
    faults: list[str] = []
    entries: dict[str, set[str]] = {}
    answered = {item.request for item in submissions if item.outcome == "answered"}
    for item in submissions:
        entries.setdefault(item.request, set()).add(item.entry)
    for item in submissions:
        runs = fleet.runs.get(item.request, [])
        if fault := judge_submission(fleet, item, runs, entries[item.request]):
            faults.append(f"{fault}: {item}, {runs}")
    for request, runs in fleet.runs.items():
        kinds = {item.kind for item in submissions if item.request == request}
        is_safe = kinds <= {"read"}
        if len(runs) > 1 and not is_safe:
            faults.append(f"ran twice: {request} {runs}")
        # A safe request may be sent to two targets, and is cancelled at the later one.
        if is_safe and request in answered:
            continue
        for run in runs:
            nodes = entries.get(request, set()) | {run.node}
            due_at = min(get_due_at(fleet.nodes[name]) for name in nodes)
            if not run.is_whole and run.ended < due_at:
                faults.append(f"broken off before {due_at:.3f}: {request} {run}")
    return faults


def judge_submission(
    fleet: NodeFleet, item: Submission, runs: list[Run], entries: set[str]
) -> str:
    """Return the fault of a submission; empty if there is none.

    `entries` are the nodes to which the request was sent under its ticket.
    """
    if item.outcome == LOST:
        is_accepted = any(item.sent <= run.started <= item.ended for run in runs)
        return "accepted, and not answered" if is_accepted else ""
    if item.outcome == "refused":
        return "refused, but ran" if runs else ""
    if item.outcome == "answered":
        return "" if any(run.is_whole for run in runs) else "answered without a run"
    if item.outcome not in ("failed", "unknown"):
        return "no outcome"
    runs = [run for run in runs if run.started < item.ended]
    if item.error == NOT_TAKEN and not runs:
        # Not called refused, since an earlier submission may have run.
        is_stopping = any(node.signalled for node in fleet.nodes.values())
        return "" if is_stopping else "not taken, and no node stops"
    nodes = entries | {run.node for run in runs}
    if not runs:
        nodes = set(fleet.nodes)
    due_at = min(get_due_at(fleet.nodes[name]) for name in nodes)
    return f"given up before {due_at:.3f}" if item.ended < due_at else ""


async def stop_in_series(fleet: NodeFleet, rng: random.Random) -> list[str]:
    """Stop all nodes in an order and at times of their own; return the faults."""
    loop = asyncio.get_running_loop()
    nodes = list(fleet.nodes.values())
    rng.shuffle(nodes)
    endings = []
    repeats = []
    for node in nodes:
        await asyncio.sleep(rng.choice(GAPS_S))
        node.terminate(now=loop.time())
        endings.append(asyncio.create_task(node.wait_ended()))
        if rng.random() < 0.7:
            delay_s = rng.uniform(0.0, node.grace_s)
            repeats.append(asyncio.create_task(terminate_again(node, delay_s)))
    codes = await asyncio.gather(*endings)
    await asyncio.gather(*repeats)
    faults = []
    for node, code in zip(nodes, codes, strict=True):
        took_s = node.ended_at - node.signalled[0]
        if code != 0 or took_s > node.grace_s + node.waited_s:
            text = f"{node.name} ended with {code} after {took_s:.3f} s"
            signals = f"{len(node.signalled)} signals until {node.signalled[-1]:.3f}"
            waited = f"waited {node.waited_s:.3f} s for a processor"
            faults.append(f"{text} of {node.grace_s}, {signals}, {waited}")
    return faults


async def terminate_again(node: NodeProcess, delay_s: float) -> None:
    """Send further signals until the process has ended."""
    await asyncio.sleep(delay_s)
    while node.is_running:
        node.terminate(now=asyncio.get_running_loop().time())
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("seed", SEEDS)
def test_terminated_nodes_answer_all_that_they_accepted(
    tmp_path: Path, seed: int
) -> None:
    async def run() -> None:
        rng = random.Random(seed)
        graces = dict(zip(SERVICES, rng.sample(GRACES_S * 2, 6), strict=True))
        async with run_node_fleet(tmp_path) as fleet:
            await fleet.start(graces, SERVICES)
            callers = Callers(fleet=fleet, rng=rng)
            calling = [
                asyncio.create_task(callers.call_until_gone(node))
                for node in fleet.nodes.values()
                for _ in range(CALLERS)
            ]
            await asyncio.sleep(WARM_UP_S)
            faults = await stop_in_series(fleet, rng)
            await asyncio.gather(*calling)
            faults += find_faults(fleet, callers.submissions)
            outcomes = Counter(item.outcome for item in callers.submissions)
            print(seed, dict(outcomes), len(fleet.runs))
            assert not faults, "\n".join([f"{tmp_path}", *faults])
            assert outcomes["answered"] > 50

    # On uvloop httpx fails if a new connection closes before its first request.
    asyncio.run(run())
