"""Experiments on configuration: activation time, races, partitions and outages."""

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
SEQUENTIAL_PATCHES = 30
CONCURRENT_PATCHES = 5
RACES = 8
IN_FORCE_BOUND_S = 3.0
VERDICT_TIMEOUT_S = 15.0
POLL_S = 0.02


class PatchClient:
    """Submits patches to nodes and waits for their verdicts.

    `versions` has the last version read from each instance; `reverted` lists each
    instance whose version was lower than the one read before, with that version.
    """

    def __init__(self, *, fleet: Fleet, client: httpx.AsyncClient) -> None:
        self._fleet = fleet
        self._client = client
        self._count = 0
        self.versions: dict[str, int] = {}
        self.reverted: list[str] = []

    async def read_version(self, instance: str) -> int:
        """Return a node's configuration version and record any decrease of it."""
        address = self._fleet.instances[instance].plan.http
        answer = await self._client.get(f"http://{address}/healthz")
        version = int(answer.json()["version"])
        if version < self.versions.get(instance, 0):
            self.reverted.append(f"{instance} {version}")
        self.versions[instance] = version
        return version

    async def submit(self, instance: str, base: int) -> dict[str, Any]:
        """Submit a patch to a node and return the verdict of that node.

        Raises `TimeoutError` if there is none within `VERDICT_TIMEOUT_S`.
        """
        self._count += 1
        name = f"patch-{self._count}"
        address = self._fleet.instances[instance].plan.http
        change = {"policy": {"out_of_zone_ms": self._count}}
        body = {"id": name, "base": base, "submitter": instance, "set": change}
        url = f"http://{address}/control/patches"
        await self._client.post(url, json=body)
        async with asyncio.timeout(VERDICT_TIMEOUT_S):
            while True:
                patch: dict[str, Any] = (await self._client.get(f"{url}/{name}")).json()
                if patch["state"] in (IN_FORCE, REJECTED):
                    return patch
                await asyncio.sleep(POLL_S)

    async def wait_for_version(self, version: int) -> None:
        """Wait until every node has a version or a later one.

        Raises `TimeoutError` after `VERDICT_TIMEOUT_S`.
        """
        async with asyncio.timeout(VERDICT_TIMEOUT_S):
            for instance in self._fleet.instances:
                while await self.read_version(instance) < version:
                    await asyncio.sleep(POLL_S)


Scenario = Callable[[Fleet, PatchClient, ExperimentReport], Awaitable[None]]


async def _run_scenario(
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
        patches = PatchClient(fleet=fleet, client=client)
        await scenario(fleet, patches, report)
        report.audits[POLICY] = AuditReport(reverted=patches.reverted)
    return report


@register_experiment("config-races")
async def run_races(request: ExperimentRequest) -> ExperimentReport:
    """Submit patches in sequence, then several at once against the same version."""
    return await _run_scenario(request, "config-races", _race_patches)


async def _race_patches(
    fleet: Fleet, patches: PatchClient, report: ExperimentReport
) -> None:
    names = sorted(fleet.instances)
    version = await patches.read_version(names[0])
    times_s = []
    for number in range(SEQUENTIAL_PATCHES):
        started = time.perf_counter()
        verdict = await patches.submit(names[number % len(names)], version)
        if verdict["state"] == IN_FORCE:
            version += 1
            await patches.wait_for_version(version)
        times_s.append(time.perf_counter() - started)
    winners = []
    for _ in range(RACES):
        submits = [patches.submit(name, version) for name in names[:CONCURRENT_PATCHES]]
        verdicts = await asyncio.gather(*submits)
        winners.append(sum(verdict["state"] == IN_FORCE for verdict in verdicts))
        version += winners[-1]
        await patches.wait_for_version(version)
    p50, p99 = np.percentile(times_s, (50, 99))
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
    """Submit patches while each zone in turn is partitioned, and after it healed."""
    return await _run_scenario(request, "config-cuts", _partition_zones)


async def _partition_zones(
    fleet: Fleet, patches: PatchClient, report: ExperimentReport
) -> None:
    names = sorted(fleet.instances)
    version = await patches.read_version(names[0])
    rejected = 0
    in_force_after_heal_s = []
    for zone in fleet.deployment.zones:
        inside = {plan.instance for plan in fleet.plans if plan.zone == zone}
        outside = set(names) - inside
        # The empty name stands for the platform.
        fleet.relays.cut(inside, outside | {""})
        fleet.relays.cut(outside, inside)
        verdict = await patches.submit(min(outside), version)
        rejected += verdict["state"] == REJECTED
        fleet.relays.heal()
        started = time.perf_counter()
        while verdict["state"] == REJECTED:
            verdict = await patches.submit(min(outside), version)
        version += 1
        await patches.wait_for_version(version)
        in_force_after_heal_s.append(round(time.perf_counter() - started, 3))
    report.policies[POLICY] = {
        "cuts": len(fleet.deployment.zones),
        "rejected_while_cut": rejected,
        "in_force_after_heal_s": in_force_after_heal_s,
    }
    accepted = len(fleet.deployment.zones) - rejected
    add_target(report, "in_force_while_cut", float(accepted), 0.0, AT_MOST)


@register_experiment("platform-outage")
async def run_outage(request: ExperimentRequest) -> ExperimentReport:
    """Restart a node while the log is down; submit a patch once the log is back."""
    return await _run_scenario(request, "platform-outage", _restart_in_outage)


async def _restart_in_outage(
    fleet: Fleet, patches: PatchClient, report: ExperimentReport
) -> None:
    names = sorted(fleet.instances)
    version = await patches.read_version(names[0])
    await fleet.set_platform_faults(is_down=True)
    started = time.perf_counter()
    fleet.kill_node(names[0])
    fleet.replace_node(names[0])
    await fleet.wait_node_ready(names[0])
    joined_s = time.perf_counter() - started
    version_kept = await patches.read_version(names[0])
    await fleet.set_platform_faults(is_down=False, lost_answers=2)
    verdict = await patches.submit(names[1], version)
    await patches.wait_for_version(version + 1)
    report.policies[POLICY] = {
        "joined_without_log_s": round(joined_s, 3),
        "version_kept": version_kept,
        "verdict_after": verdict["state"],
    }
    add_target(report, "version_after_restart", float(version_kept), version, AT_LEAST)
