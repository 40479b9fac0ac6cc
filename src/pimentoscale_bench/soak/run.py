"""Runs one soak and reports the breaches."""

import asyncio
import json
import random
import shutil
import socket
import time
from collections import Counter
from dataclasses import asdict, dataclass, field
from pathlib import Path

from pimentoscale.http import IncompleteResponseError, NotConnectedError
from pimentoscale_bench.soak.callers import SoakCaller, send_once
from pimentoscale_bench.soak.deployment import SoakDeployment, SoakNode
from pimentoscale_bench.soak.fault_context import FaultContext
from pimentoscale_bench.soak.faults import FAULTS
from pimentoscale_bench.soak.starvation import STARVED, watch_starvation

CALLERS_PER_NODE = 2
# Faults begin at random times, with this mean interval; several may overlap.
MEAN_GAP_S = 1.0
# All nodes must serve all routes again within this time after the last fault (the
# users' bound).
RECOVERY_S = 15.0
POLL_S = 0.2
# Each run draws the second byte of its loopback addresses, and listens on a port of
# them while it runs, so that concurrent runs share no addresses.
SUBNETS = range(20, 120)
RESERVED_PORT = 7699
SEND_ERRORS = (IncompleteResponseError, NotConnectedError, TimeoutError)
BASE_ROUTES = ("a", "b", "c", "once")


@dataclass(slots=True, kw_only=True)
class SoakReport:
    """The outcome of one soak.

    `statuses` counts the requests by status, where 0 stands for no complete answer.
    `faults` counts the injected faults. `folder` is set if the folder was kept.
    """

    seed: int
    requests: int = 0
    statuses: dict[int, int] = field(default_factory=dict)
    faults: dict[str, int] = field(default_factory=dict)
    breaches: list[str] = field(default_factory=list)
    folder: str = ""


class SoakRun:
    """One seeded run; its folder with logs and time line is kept after breaches."""

    __slots__ = (
        "_deployment",
        "_folder",
        "_reservation",
        "_rng",
        "_seconds",
        "_seed",
        "_timeline",
    )

    def __init__(
        self, *, seed: int, seconds: float, processes: int, folder: Path
    ) -> None:
        self._seed = seed
        self._seconds = seconds
        self._folder = folder
        self._rng = random.Random(seed)
        subnet, self._reservation = _reserve_subnet(random.Random(time.time_ns()))
        self._deployment = SoakDeployment(
            folder=folder, seed=seed, subnet=subnet, node_count=processes
        )
        self._timeline: list[str] = []

    async def run(self, *, faults: list[str]) -> SoakReport:
        """Run the load under the named faults and return the report.

        Raises `TimeoutError` if the deployment does not get ready.
        """
        self._folder.mkdir(parents=True, exist_ok=True)
        report = SoakReport(seed=self._seed)
        try:
            await self._deployment.start()
            watcher = asyncio.create_task(watch_starvation(self._deployment))
            await self._run_load(faults, report)
            watcher.cancel()
            await self._check_recovery()
        finally:
            self._deployment.stop()
            self._reservation.close()
        record = self._deployment.record
        for starved in record.disturbances:
            if starved.kind == STARVED:
                name = starved.node or "this process"
                span = f"{starved.began:.3f} to {starved.ended:.3f}"
                self._timeline.append(f"{span} {STARVED}: {name}")
        report.breaches = record.find_breaches()
        report.requests = len(record.exchanges)
        report.statuses = dict(
            Counter(exchange.status for exchange in record.exchanges)
        )
        self._store_results(report)
        return report

    async def _run_load(self, faults: list[str], report: SoakReport) -> None:
        """Run callers for the set time while faults are injected, then stop them."""
        callers = [
            SoakCaller(
                deployment=self._deployment,
                node=node,
                name=f"{node.name}.{number}",
                rng=random.Random(f"{self._seed}/{node.name}/{number}"),
            )
            for node in self._deployment.nodes
            for number in range(CALLERS_PER_NODE)
        ]
        caller_tasks = [asyncio.create_task(caller.run()) for caller in callers]
        fault_tasks: set[asyncio.Task[None]] = set()
        loop = asyncio.get_running_loop()
        end = loop.time() + self._seconds
        counts: Counter[str] = Counter()
        while loop.time() < end:
            await asyncio.sleep(self._rng.expovariate(1 / MEAN_GAP_S))
            if faults:
                name = self._rng.choice(faults)
                counts[name] += 1
                fault_tasks.add(asyncio.create_task(self._inject(name)))
        if fault_tasks:
            await asyncio.gather(*fault_tasks)
        await asyncio.sleep(MEAN_GAP_S)
        for task in caller_tasks:
            task.cancel()
        for result in await asyncio.gather(*caller_tasks, return_exceptions=True):
            if isinstance(result, Exception):
                raise result
        # Requests in flight when the callers were cancelled are not checked.
        exchanges = self._deployment.record.exchanges
        exchanges[:] = [exchange for exchange in exchanges if exchange.ended_at]
        report.faults = dict(counts)

    async def _inject(self, name: str) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        rng = random.Random(self._rng.random())
        detail = await FAULTS[name](FaultContext(deployment=self._deployment, rng=rng))
        self._timeline.append(f"{began:.3f} to {loop.time():.3f} {name}: {detail}")

    async def _check_recovery(self) -> None:
        """Check that all nodes serve all routes, one of a new version included."""
        loop = asyncio.get_running_loop()
        added = self._deployment.add_route(BASE_ROUTES[0])
        await self._deployment.configure()
        routes = (*BASE_ROUTES, added)
        end = loop.time() + RECOVERY_S
        checks = [
            self._check_node(node, routes, end) for node in self._deployment.nodes
        ]
        await asyncio.gather(*checks)

    async def _check_node(
        self, node: SoakNode, routes: tuple[str, ...], end: float
    ) -> None:
        loop = asyncio.get_running_loop()
        for route in routes:
            status = 0
            while status != 200 and loop.time() < end:
                try:
                    address = node.get_address("callers_relay")
                    response = await send_once(address, f"/{route}/{loop.time()}")
                    status = response.status
                except SEND_ERRORS as error:
                    self._timeline.append(f"{node.name} {route}: {error!r}")
                if status != 200:
                    await asyncio.sleep(POLL_S)
            if status != 200:
                self._deployment.record.breaches.append(
                    f"{node.name} does not serve route {route} within "
                    f"{RECOVERY_S} s after the last fault"
                )

    def _store_results(self, report: SoakReport) -> None:
        """Write time line and report if there were breaches, else delete the folder."""
        if not report.breaches:
            shutil.rmtree(self._folder, ignore_errors=True)
            return
        report.folder = str(self._folder)
        (self._folder / "timeline.txt").write_text("\n".join(self._timeline) + "\n")
        (self._folder / "report.json").write_text(json.dumps(asdict(report), indent=1))


def _reserve_subnet(rng: random.Random) -> tuple[int, socket.socket]:
    """Return a subnet that no other run uses, and the socket that reserves it.

    Raises `OSError` if all are in use.
    """
    for subnet in rng.sample(SUBNETS, len(SUBNETS)):
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{subnet}.0.1", RESERVED_PORT))
        except OSError:
            reservation.close()
            continue
        reservation.listen()
        return subnet, reservation
    raise OSError("all subnets of the soak are in use")
