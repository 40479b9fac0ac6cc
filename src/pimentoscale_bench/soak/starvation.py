"""Detects processes of a soak that are ready to run and get no processor.

A busy machine may stop a node for as long as a fault does. A node that is late for
another reason, such as a long computation of its own, does not wait for a processor.
"""

import asyncio
import os
from pathlib import Path

from pimentoscale_bench.soak.deployment import SoakDeployment
from pimentoscale_bench.soak.record import Disturbance

# The kind of disturbance in which a process waits for a processor.
STARVED = "starved"
PERIOD_S = 0.25
# A process that waited this long between two checks was starved.
STARVED_S = 0.5
NANOSECONDS = 1e9


async def watch_starvation(deployment: SoakDeployment) -> None:
    """Record starved nodes as disturbances until cancelled.

    If the soak's own process is starved, which runs targets and relays, all nodes are
    affected.
    """
    loop = asyncio.get_running_loop()
    last_waits: dict[int, float] = {}
    last_at = loop.time()
    while True:
        await asyncio.sleep(PERIOD_S)
        now = loop.time()
        names = {os.getpid(): ""}
        for node in deployment.nodes:
            if node.process is not None and node.process.poll() is None:
                names[node.process.pid] = node.name
        waits = {pid: read_wait_s(pid) for pid in names}
        for pid, name in names.items():
            waited_s = waits[pid] - last_waits.get(pid, waits[pid])
            if waited_s >= STARVED_S:
                # The wait is counted once it has ended, and may have begun before the
                # last check.
                deployment.record.disturbances.append(
                    Disturbance(
                        node=name,
                        kind=STARVED,
                        began=last_at - waited_s,
                        ended=now,
                        breaks_runs=True,
                    )
                )
        last_waits, last_at = waits, now


def read_wait_s(pid: int) -> float:
    """Return how long a process has waited for a processor, in seconds.

    Return 0 if the process has ended or the system does not count this.
    """
    try:
        fields = Path(f"/proc/{pid}/schedstat").read_text().split()
    except OSError:
        return 0.0
    return int(fields[1]) / NANOSECONDS if len(fields) > 1 else 0.0
