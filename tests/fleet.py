"""A small deployment of real processes, shared by the tests of one module."""

import asyncio
import random
from collections.abc import Coroutine, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, TypeVar

from pimentoscale_bench.audit import read_runs
from pimentoscale_bench.caller import Attempt, Caller
from pimentoscale_bench.deployment import read_deployment
from pimentoscale_bench.fleet import Fleet

DEPLOYMENT = Path(__file__).parents[1] / "deployments" / "prairie-pall.toml"
WAIT_S = 20.0
POLL_S = 0.05

T = TypeVar("T")


class FleetHarness:
    """A running fleet, with callers that send to chosen instances."""

    def __init__(self, *, fleet: Fleet, runner: "asyncio.Runner") -> None:
        self.fleet = fleet
        self._runner = runner
        self._count = 0

    def run(self, step: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine on the fleet's event loop."""
        return self._runner.run(step)

    def make_request(self) -> str:
        """Return a request id that is unique within the fleet."""
        self._count += 1
        return f"t-{self._count}"

    def make_caller(self, *instances: str) -> Caller:
        """Return a caller that sends to the given instances."""
        entry_nodes = [self.fleet.instances[name].plan.http for name in instances]
        kinds = self.fleet.deployment.kinds
        return Caller(entry_nodes=entry_nodes, kinds=kinds, rng=random.Random(1))

    async def send(
        self,
        instance: str,
        kind: str,
        request: str,
        ticket: str = "",
        body: bytes = b"",
    ) -> Attempt:
        """Send one submission to one instance."""
        caller = self.make_caller(instance)
        try:
            return await caller.send(kind, request, body, ticket)
        finally:
            caller.close()

    async def get_ticket(self, instance: str, kind: str, request: str) -> str:
        """Return a ticket that the given instance issues and is the home of."""
        attempt = await self.send(instance, kind, request)
        assert attempt.error == "ticket_required"
        return attempt.ticket

    def count_runs(self, request: str) -> int:
        """Return how many times the upstreams started a request."""
        runs = read_runs(self.fleet.record_files)
        return sum(run.request == request for run in runs)

    async def wait_status(self, instance: str, key: str, value: object) -> None:
        """Wait until a node's status shows a value."""
        async with asyncio.timeout(WAIT_S):
            while (await self.fleet.get_status(instance))[key] != value:
                await asyncio.sleep(POLL_S)

    async def wait_runs(self, request: str) -> None:
        """Wait until an upstream has started a request."""
        async with asyncio.timeout(WAIT_S):
            while not self.count_runs(request):
                await asyncio.sleep(POLL_S)

    async def restore(self, *instances: str) -> None:
        """Replace instances; wait until they serve and all nodes list them as members.

        A node must list the new incarnation, not the one that was killed.
        """
        for instance in instances:
            self.fleet.kill(instance)
            self.fleet.replace(instance)
        for name in self.fleet.instances:
            await self.fleet.wait_node_ready(name)
        async with asyncio.timeout(WAIT_S):
            for instance in instances:
                while not await self._is_member_everywhere(instance):
                    await asyncio.sleep(POLL_S)

    async def _is_member_everywhere(self, instance: str) -> bool:
        current = (await self.fleet.get_status(instance))["incarnation"]
        for name in self.fleet.instances:
            members = (await self.fleet.get_status(name))["members"]
            listed = [m["incarnation"] for m in members if m["instance"] == instance]
            if listed != [current]:
                return False
        return True


@contextmanager
def start_fleet(folder: Path) -> Iterator[FleetHarness]:
    """Start the prairie-pall deployment at scale small; relays can cut connections."""
    deployment = read_deployment(DEPLOYMENT).scale("small")
    fleet = Fleet(
        deployment=deployment,
        folder=folder,
        policy="adaptive",
        has_relays=True,
    )
    with asyncio.Runner() as runner:
        try:
            runner.run(fleet.start())
            yield FleetHarness(fleet=fleet, runner=runner)
        finally:
            fleet.stop()
