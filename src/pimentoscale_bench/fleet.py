"""Starts, kills, suspends and replaces the processes of one deployment."""

import asyncio
import contextlib
import os
import random
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import httpx
import msgspec
import tomli_w

from pimentoscale.configuration import Patch, PatchRecord, encode_record
from pimentoscale.platform.store import StoreClient
from pimentoscale.settings import Address
from pimentoscale_bench.deployment import (
    PLATFORM_PORT,
    STREAM_PORT,
    TICKET_SECRET,
    Deployment,
    InstancePlan,
    make_patch,
    plan_instances,
)
from pimentoscale_bench.relay import Relay, RelayMesh

READY_TIMEOUT_S = 30.0
POLL_S = 0.05
STOP_TIMEOUT_S = 15.0
# A fleet's addresses are 127.<subnet>.x.y. The subnet is chosen by process id, so that
# concurrent runs are unlikely to share addresses.
SUBNETS = 200
FIRST_SUBNET = 20
# Relays use the third bytes of addresses from this one on, instances those below.
FIRST_RELAY_ROW = 100


@dataclass(slots=True, kw_only=True)
class RunningInstance:
    """The two processes of one instance."""

    plan: InstancePlan
    node: "subprocess.Popen[bytes]"
    upstream: "subprocess.Popen[bytes]"


class Fleet:
    """All processes of one run, with their settings and logs in one folder.

    `policy` is the policy of all nodes; `subnet` is the second byte of all addresses,
    by default derived from the process id. With `has_relays` all connections between
    nodes and to the platform pass through relays.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        folder: Path,
        policy: str,
        subnet: int | None = None,
        has_relays: bool = False,
    ) -> None:
        if subnet is None:
            subnet = FIRST_SUBNET + os.getpid() % SUBNETS
        self.deployment = deployment
        self.folder = folder
        self.plans = plan_instances(deployment, subnet=subnet)
        self.platform = Address(host=f"127.{subnet}.0.1", port=PLATFORM_PORT)
        self.instances: dict[str, RunningInstance] = {}
        self.relays = RelayMesh()
        self._has_relays = has_relays
        self._subnet = subnet
        self._deployment_file = folder / "deployment.toml"
        self._policy = policy
        self._platform_process: subprocess.Popen[bytes] | None = None
        self._stopped: list[subprocess.Popen[bytes]] = []

    @property
    def record_files(self) -> list[Path]:
        """Return the files to which the upstreams write their runs."""
        return sorted(self.folder.glob("*.runs"))

    async def start(self) -> None:
        """Start all processes and wait until every node has the first version.

        Raises `TimeoutError`.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        text = tomli_w.dumps(msgspec.to_builtins(self.deployment))
        self._deployment_file.write_text(text, encoding="utf-8")
        self.start_platform()
        await self._wait_for_platform()
        if self._has_relays:
            self._add_relays()
            await self.relays.start()
        for plan in self.plans:
            self.start_instance(plan)
        await self.submit_first_patch()
        await self.wait_ready()

    def start_platform(self) -> None:
        """Start the stand-in for the platform."""
        host, port = self.platform.host, str(self.platform.port)
        command = ["pimentoscale_bench.platform", "--host", host, "--port", port]
        self._platform_process = self._spawn("platform", command)

    def start_instance(self, plan: InstancePlan) -> RunningInstance:
        """Start an upstream and its node."""
        upstream = self._start_upstream(plan)
        node = self.start_node(plan)
        running = RunningInstance(plan=plan, node=node, upstream=upstream)
        self.instances[plan.instance] = running
        return running

    def start_node(self, plan: InstancePlan) -> "subprocess.Popen[bytes]":
        """Start the node of an instance."""
        path = self.folder / f"{plan.instance}.toml"
        path.write_text(tomli_w.dumps(self._make_settings(plan)))
        command = ["pimentoscale.programs.node", "--settings", str(path)]
        return self._spawn(plan.instance, command)

    async def submit_first_patch(self) -> None:
        """Append the patch that declares the deployment to the configuration log."""
        patch = Patch(base=0, set=make_patch(self.deployment))
        record = PatchRecord(
            id="first",
            patch=patch,
            submitter="bench",
            message="the deployment",
            at_ms=int(time.time() * 1000),
        )
        client = StoreClient(address=self.platform)
        await client.append(topic="configuration", records=[encode_record(record)])

    async def wait_ready(self) -> None:
        """Wait until every node is ready, as `wait_node_ready` does for one.

        Raises `TimeoutError`.
        """
        async with httpx.AsyncClient(timeout=2) as client:
            names = [plan.instance for plan in self.plans]
            async with asyncio.timeout(READY_TIMEOUT_S):
                for name in names:
                    await self._wait_node_ready(client, name)

    async def wait_node_ready(self, instance: str) -> None:
        """Wait until a node has a configuration and sees all members alive.

        Its upstream must be healthy as well. Raises `TimeoutError`.
        """
        async with httpx.AsyncClient(timeout=2) as client:
            async with asyncio.timeout(READY_TIMEOUT_S):
                await self._wait_node_ready(client, instance)

    async def get_status(self, instance: str) -> Any:
        """Return a node's status as decoded JSON."""
        address = self.instances[instance].plan.http
        async with httpx.AsyncClient(timeout=2) as client:
            answer = await client.get(f"http://{address}/control/status")
            return answer.json()

    async def set_platform_faults(self, **faults: Any) -> None:
        """Change the faults that the platform injects."""
        async with httpx.AsyncClient(timeout=2) as client:
            await client.post(f"http://{self.platform}/faults", json=faults)

    async def set_upstream_faults(self, instance: str, **faults: Any) -> None:
        """Change the faults that an upstream injects."""
        address = self.instances[instance].plan.upstream
        async with httpx.AsyncClient(timeout=2) as client:
            await client.post(f"http://{address}/faults", json=faults)

    async def drain(self, instance: str) -> None:
        """Start draining a node."""
        address = self.instances[instance].plan.http
        async with httpx.AsyncClient(timeout=2) as client:
            await client.post(f"http://{address}/control/drain")

    def kill(self, instance: str) -> None:
        """Kill the node and the upstream of an instance."""
        running = self.instances[instance]
        for process in (running.node, running.upstream):
            process.kill()
            process.wait()

    def kill_node(self, instance: str) -> None:
        """Kill the node of an instance, but not its upstream."""
        process = self.instances[instance].node
        process.kill()
        process.wait()

    def suspend_node(self, instance: str) -> None:
        """Suspend the node of an instance with SIGSTOP."""
        self.instances[instance].node.send_signal(signal.SIGSTOP)

    def resume_node(self, instance: str) -> None:
        """Resume a suspended node."""
        self.instances[instance].node.send_signal(signal.SIGCONT)

    def replace(self, instance: str) -> None:
        """Start an instance again on the same addresses."""
        self.start_instance(self.instances[instance].plan)

    def replace_node(self, instance: str) -> None:
        """Start the node of an instance again."""
        running = self.instances[instance]
        running.node = self.start_node(running.plan)

    def stop(self) -> None:
        """Kill all processes that this fleet has started, and close the relays."""
        self.relays.close()
        processes = [
            process
            for running in self.instances.values()
            for process in (running.node, running.upstream)
        ]
        if self._platform_process is not None:
            processes.append(self._platform_process)
        for process in processes:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        for process in processes:
            process.wait(timeout=STOP_TIMEOUT_S)

    def _start_upstream(self, plan: InstancePlan) -> "subprocess.Popen[bytes]":
        record = self.folder / f"{plan.instance}.runs"
        command = ["pimentoscale_bench.upstream", "--host", plan.host]
        command += ["--deployment", str(self._deployment_file)]
        command += ["--port", str(plan.upstream.port)]
        command += ["--node-host", plan.host, "--node-port", str(plan.http.port)]
        command += ["--slots", str(plan.slots), "--record", str(record)]
        return self._spawn(f"{plan.instance}-upstream", command)

    def _spawn(self, name: str, command: list[str]) -> "subprocess.Popen[bytes]":
        with (self.folder / f"{name}.log").open("ab") as output:
            return subprocess.Popen(
                [sys.executable, "-m", *command], stdout=output, stderr=output
            )

    def _add_relays(self) -> None:
        for row, source in enumerate(self.plans):
            prefix = f"127.{self._subnet}.{FIRST_RELAY_ROW + row}"
            listen = Address(host=f"{prefix}.250", port=PLATFORM_PORT)
            relay = Relay(listen=listen, target=self.platform)
            self.relays.add(source.instance, "", relay)
            for column, target in enumerate(self.plans):
                if target is not source:
                    listen = Address(host=f"{prefix}.{column + 1}", port=STREAM_PORT)
                    relay = Relay(listen=listen, target=target.stream)
                    self.relays.add(source.instance, target.instance, relay)

    def _make_settings(self, plan: InstancePlan) -> dict[str, Any]:
        addresses: dict[str, Address] = {}
        platform = self.platform
        if self._has_relays:
            addresses = self.relays.get_addresses(plan.instance)
            platform = self.relays.get_platform(plan.instance)
        first_peers = [
            msgspec.to_builtins(addresses.get(other.instance, other.stream))
            for other in self.plans
            if other.zone == plan.zone and other.instance != plan.instance
        ][:2]
        return {
            "addresses": msgspec.to_builtins(addresses),
            "instance": plan.instance,
            "zone": plan.zone,
            "http": msgspec.to_builtins(plan.http),
            "stream": msgspec.to_builtins(plan.stream),
            "platform": msgspec.to_builtins(platform),
            "ticket_secret": TICKET_SECRET,
            "policy": self._policy,
            "first_peers": first_peers,
            "upstream": {
                "service": plan.service,
                "host": plan.host,
                "port": plan.upstream.port,
                "slots": plan.slots,
                "connections": plan.connections,
            },
        }

    async def _wait_for_platform(self) -> None:
        async with httpx.AsyncClient(timeout=2) as client:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while not await _is_ok(client, f"http://{self.platform}/counts"):
                    await asyncio.sleep(POLL_S)

    async def _wait_node_ready(self, client: httpx.AsyncClient, instance: str) -> None:
        plan = self.instances[instance].plan
        while not await _is_ok(client, f"http://{plan.http}/healthz"):
            await asyncio.sleep(POLL_S)
        while not await self._has_all_members(client, plan):
            await asyncio.sleep(POLL_S)
        while not await _is_ok(client, f"http://{plan.upstream}/health"):
            await asyncio.sleep(POLL_S)

    async def _has_all_members(
        self, client: httpx.AsyncClient, plan: InstancePlan
    ) -> bool:
        answer = await client.get(f"http://{plan.http}/control/status")
        alive = {
            member["instance"]
            for member in answer.json()["members"]
            if member["state"] == "alive"
        }
        return alive >= set(self.instances)


async def _is_ok(client: httpx.AsyncClient, url: str) -> bool:
    try:
        answer = await client.get(url)
    except httpx.HTTPError:
        return False
    return answer.status_code == httpx.codes.OK


@contextlib.asynccontextmanager
async def run_fleet(fleet: Fleet) -> AsyncIterator[Fleet]:
    """Start a fleet; stop it on exit, also after an error."""
    try:
        await fleet.start()
        yield fleet
    finally:
        fleet.stop()


def make_rng(seed: int, purpose: str) -> random.Random:
    """Return a random number generator, seeded by the run and its purpose."""
    return random.Random(f"{seed}/{purpose}")
