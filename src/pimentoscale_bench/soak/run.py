"""Runs one soak and reports what it broke."""

import asyncio
import json
import random
import shutil
import time
from collections import Counter
from dataclasses import asdict, dataclass, field
from pathlib import Path

from pimentoscale.http import IncompleteResponseError, NotConnectedError
from pimentoscale_bench.soak.callers import SoakCaller, send_once
from pimentoscale_bench.soak.deployment import SoakDeployment
from pimentoscale_bench.soak.faults import FAULTS, FaultContext

CALLERS_PER_NODE = 2
# Faults begin at random times, on average so far apart; several go on at once.
MEAN_GAP_S = 1.0
# All nodes must serve all routes again so soon after the last fault (users' bound).
RECOVERY_S = 15.0
POLL_S = 0.2
# Loopback networks that runs draw from, so that two runs do not share addresses.
LANES = range(20, 120)
SEND_ERRORS = (IncompleteResponseError, NotConnectedError, TimeoutError)
BASE_ROUTES = ("a", "b", "c", "once")


@dataclass(slots=True, kw_only=True)
class SoakReport:
    """The outcome of one soak."""

    seed: int
    requests: int = 0
    statuses: dict[int, int] = field(default_factory=dict)
    faults: dict[str, int] = field(default_factory=dict)
    breaches: list[str] = field(default_factory=list)
    folder: str = ""


class SoakRun:
    """One seeded run; `folder` keeps logs and time line if it breaks a promise."""

    __slots__ = ("_folder", "_seconds", "_seed", "_soak", "_source", "_timeline")

    def __init__(
        self, *, seed: int, seconds: float, processes: int, folder: Path
    ) -> None:
        self._seed = seed
        self._seconds = seconds
        self._folder = folder
        self._source = random.Random(seed)
        lane = random.Random(time.time_ns()).choice(LANES)
        self._soak = SoakDeployment(folder=folder, lane=lane, count=processes)
        self._timeline: list[str] = []

    async def run(self, *, faults: list[str]) -> SoakReport:
        """Play the faults named; return what was broken."""
        self._folder.mkdir(parents=True, exist_ok=True)
        report = SoakReport(seed=self._seed)
        try:
            await self._soak.start()
            await self._play(faults, report)
            await self._check_recovery()
        finally:
            self._soak.stop()
        record = self._soak.record
        report.breaches = record.judge()
        report.requests = len(record.exchanges)
        report.statuses = dict(Counter(item.status for item in record.exchanges))
        self._keep(report)
        return report

    async def _play(self, faults: list[str], report: SoakReport) -> None:
        callers = [
            SoakCaller(
                soak=self._soak,
                node=node,
                name=f"{node.name}.{number}",
                source=random.Random(f"{self._seed}/{node.name}/{number}"),
            )
            for node in self._soak.nodes
            for number in range(CALLERS_PER_NODE)
        ]
        calling = [asyncio.create_task(caller.run()) for caller in callers]
        injecting: set[asyncio.Task[None]] = set()
        loop = asyncio.get_running_loop()
        end = loop.time() + self._seconds
        counts: Counter[str] = Counter()
        while loop.time() < end:
            await asyncio.sleep(self._source.expovariate(1 / MEAN_GAP_S))
            if faults:
                name = self._source.choice(faults)
                counts[name] += 1
                injecting.add(asyncio.create_task(self._inject(name)))
        if injecting:
            await asyncio.gather(*injecting)
        await asyncio.sleep(MEAN_GAP_S)
        for task in calling:
            task.cancel()
        for result in await asyncio.gather(*calling, return_exceptions=True):
            if isinstance(result, Exception):
                raise result
        # Requests whose callers were ended here are not judged.
        exchanges = self._soak.record.exchanges
        exchanges[:] = [item for item in exchanges if item.ended_at]
        report.faults = dict(counts)

    async def _inject(self, name: str) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        source = random.Random(self._source.random())
        done = await FAULTS[name](FaultContext(soak=self._soak, source=source))
        self._timeline.append(f"{began:.3f} to {loop.time():.3f} {name}: {done}")

    async def _check_recovery(self) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + RECOVERY_S
        for node in self._soak.nodes:
            for route in BASE_ROUTES:
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
                    self._soak.record.breaches.append(
                        f"{node.name} does not serve {route} after {RECOVERY_S} s"
                    )

    def _keep(self, report: SoakReport) -> None:
        """Keep the folder of a run that broke a promise, and drop any other."""
        if not report.breaches:
            shutil.rmtree(self._folder, ignore_errors=True)
            return
        report.folder = str(self._folder)
        (self._folder / "timeline.txt").write_text("\n".join(self._timeline) + "\n")
        (self._folder / "report.json").write_text(json.dumps(asdict(report), indent=1))
