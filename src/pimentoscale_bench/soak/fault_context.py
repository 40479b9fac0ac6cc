"""What every fault of a soak is given, and the time at which it acts."""

import asyncio
import random
from dataclasses import dataclass

from pimentoscale_bench.soak.deployment import SoakDeployment, SoakNode


@dataclass(slots=True, kw_only=True, frozen=True)
class FaultContext:
    """The deployment in which a fault is injected, and the generator of its choices."""

    deployment: SoakDeployment
    rng: random.Random

    def choose_node(self) -> SoakNode:
        """Return a random node."""
        return self.rng.choice(self.deployment.nodes)

    def choose_seconds(self, longest: float) -> float:
        """Return a random duration of up to `longest` seconds."""
        return self.rng.uniform(0.1, longest)


def get_now() -> float:
    """Return the present time of the event loop."""
    return asyncio.get_running_loop().time()
