"""The experiments on configuration: time until in force, races, cuts and outages."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any

import httpx
import numpy as np

from pimentoscale.distribution.patches import IN_FORCE, REJECTED
from pimentoscale_bench.audit import AuditReport
from pimentoscale_bench.experiments import (
    ExperimentRequest,
    register_experiment,
    start_report,
)
from pimentoscale_bench.fleet import Fleet, run_fleet
from pimentoscale_bench.report import AT_LEAST, AT_MOST, ExperimentReport
from pimentoscale_bench.trials import add_target

POLICY = "adaptive"
PATCHES = 30
OPERATORS = 5
ROUNDS = 8
IN_FORCE_BOUND_S = 3.0
VERDICT_TIMEOUT_S = 15.0
POLL_S = 0.02


class Operators:
    """Submit patches at nodes and follow them to their verdicts."""

    def __init__(self, *, fleet: Fleet, client: httpx.AsyncClient) -> None:
        self._fleet = fleet
        self._client = client
        self._count = 0
        self.versions: dict[str, int] = {}
        self.reverted: list[str] = []

    async def read_version(self, instance: str) -> int:
        """Return a node's version, and take note if it has gone back."""
        address = self._fleet.instances[instance].plan.http
        answer = await self._client.get(f"http://{address}/healthz")
        version = int(answer.json()["version"])
        if version < self.versions.get(instance, 0):
            self.reverted.append(f"{instance} {version}")
        self.versions[instance] = version
        return version

    async def submit(self, instance: str, base: int) -> dict[str, Any]:
        """Submit a patch at a node and return its verdict there."""
        self._count += 1
        name = f"patch-{self._count}"
        address = self._fleet.instances[instance].plan.http
        change = {"policy": {"out_of_zone_ms": self._count}}
        body = {"id": name, "base": base, "submitter": instance, "set": change}
        url = f"http://{address}/control/patches"
        await self._client.post(url, json=body)
        async with asyncio.timeout(VERDICT_TIMEOUT_S):
            while True:
                found: dict[str, Any] = (await self._client.get(f"{url}/{name}")).json()
                if found["state"] in (IN_FORCE, REJECTED):
                    return found
                await asyncio.sleep(POLL_S)

    async def wait_everywhere(self, version: int) -> None:
        """Wait until every node has a version."""
        async with asyncio.timeout(VERDICT_TIMEOUT_S):
            for instance in self._fleet.instances:
                while await self.read_version(instance) < version:
                    await asyncio.sleep(POLL_S)


Scenario = Callable[[Fleet, Operators, ExperimentReport], Awaitable[None]]


async def _run(
    request: ExperimentRequest, name: str, scenario: Scenario
) -> ExperimentReport:
    report = start_report(request, name)
    fleet = Fleet(
        deployment=request.deployment,
        folder=request.folder,
        policy=POLICY,
        has_relays=True,
    )
    async with run_fleet(fleet), httpx.AsyncClient(timeout=10) as client:
        operators = Operators(fleet=fleet, client=client)
        await scenario(fleet, operators, report)
        report.audits[POLICY] = AuditReport(reverted=operators.reverted)
    return report


@register_experiment("config-races")
async def run_races(request: ExperimentRequest) -> ExperimentReport:
    """Patches one by one, then by several operators against one version at once."""
    return await _run(request, "config-races", _race)


async def _race(fleet: Fleet, operators: Operators, report: ExperimentReport) -> None:
    names = sorted(fleet.instances)
    version = await operators.read_version(names[0])
    times = []
    for number in range(PATCHES):
        started = time.perf_counter()
        found = await operators.submit(names[number % len(names)], version)
        if found["state"] == IN_FORCE:
            version += 1
            await operators.wait_everywhere(version)
        times.append(time.perf_counter() - started)
    winners = []
    for _ in range(ROUNDS):
        submits = [operators.submit(name, version) for name in names[:OPERATORS]]
        found_all = await asyncio.gather(*submits)
        winners.append(sum(found["state"] == IN_FORCE for found in found_all))
        version += winners[-1]
        await operators.wait_everywhere(version)
    p50, p99 = np.percentile(times, (50, 99))
    report.policies[POLICY] = {
        "in_force_p50_s": round(float(p50), 3),
        "in_force_p99_s": round(float(p99), 3),
        "in_force": version - 1,
        "winners_per_race": winners,
    }
    add_target(report, "in_force_p99_s", float(p99), IN_FORCE_BOUND_S, AT_MOST)
    add_target(report, "most_winners_of_a_race", float(max(winners)), 1.0, AT_MOST)
    add_target(report, "least_winners_of_a_race", float(min(winners)), 1.0, AT_LEAST)


@register_experiment("config-cuts")
async def run_cuts(request: ExperimentRequest) -> ExperimentReport:
    """Patches while each zone in turn is cut off, and after it has healed."""
    return await _run(request, "config-cuts", _cut)


async def _cut(fleet: Fleet, operators: Operators, report: ExperimentReport) -> None:
    names = sorted(fleet.instances)
    version = await operators.read_version(names[0])
    rejected = 0
    healed_s = []
    for zone in fleet.deployment.zones:
        inside = {plan.instance for plan in fleet.plans if plan.zone == zone}
        outside = set(names) - inside
        fleet.relays.cut(inside, outside | {""})
        fleet.relays.cut(outside, inside)
        found = await operators.submit(min(outside), version)
        rejected += found["state"] == REJECTED
        fleet.relays.heal()
        started = time.perf_counter()
        while found["state"] == REJECTED:
            found = await operators.submit(min(outside), version)
        version += 1
        await operators.wait_everywhere(version)
        healed_s.append(round(time.perf_counter() - started, 3))
    report.policies[POLICY] = {
        "cuts": len(fleet.deployment.zones),
        "rejected_while_cut": rejected,
        "in_force_after_heal_s": healed_s,
    }
    split = len(fleet.deployment.zones) - rejected
    add_target(report, "in_force_while_cut", float(split), 0.0, AT_MOST)


@register_experiment("platform-outage")
async def run_outage(request: ExperimentRequest) -> ExperimentReport:
    """Restart a node while the log is down, and submit a patch after it is back."""
    return await _run(request, "platform-outage", _outage)


async def _outage(fleet: Fleet, operators: Operators, report: ExperimentReport) -> None:
    names = sorted(fleet.instances)
    version = await operators.read_version(names[0])
    await fleet.set_platform_faults(is_down=True)
    started = time.perf_counter()
    fleet.kill_node(names[0])
    fleet.replace_node(names[0])
    await fleet.wait_node_ready(names[0])
    joined_s = time.perf_counter() - started
    kept = await operators.read_version(names[0])
    await fleet.set_platform_faults(is_down=False, lost_answers=2)
    found = await operators.submit(names[1], version)
    await operators.wait_everywhere(version + 1)
    report.policies[POLICY] = {
        "joined_without_log_s": round(joined_s, 3),
        "version_kept": kept,
        "verdict_after": found["state"],
    }
    add_target(report, "version_after_restart", float(kept), version, AT_LEAST)
