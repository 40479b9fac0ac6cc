"""Restarts of a soak's processes, which no two faults do at once at a node."""

import asyncio
import contextlib
import signal
from collections.abc import Iterator

from pimentoscale_bench.soak.deployment import SoakNode
from pimentoscale_bench.soak.fault_context import FaultContext, get_now
from pimentoscale_bench.soak.record import AFTER_GRACE_S, DOWN, STOP

# A reload of the settings lengthens the grace period by up to this.
MAX_ADDED_GRACE_S = 1.0
# Share of the stops in which the node gets a second SIGTERM.
REPEAT_SHARE = 0.3


@contextlib.contextmanager
def claim(node: SoakNode) -> Iterator[None]:
    """Keep other faults from replacing the process or the target of a node."""
    node.is_restarting = True
    try:
        yield
    finally:
        node.is_restarting = False


async def restart(context: FaultContext, node: SoakNode) -> None:
    """Start a node that has ended, after a while, and wait until it is ready."""
    await asyncio.sleep(context.choose_seconds(1.5))
    deployment = context.deployment
    deployment.start_node(node)
    node.is_starting = True
    try:
        await deployment.wait_ready(node)
    except TimeoutError:
        deployment.record.breaches.append(f"{node.name} did not get ready")
    node.is_starting = False


async def kill_and_restart(context: FaultContext, node: SoakNode) -> None:
    """Kill a node that the caller has claimed, but not its target; start it again."""
    deployment = context.deployment
    with deployment.record.track_disturbance(
        "kill", node=node.name, breaks_callers=True, breaks_runs=True
    ):
        deployment.signal_node(node, signal.SIGKILL)
        await restart(context, node)


async def stop_and_restart(context: FaultContext, node: SoakNode) -> str:
    """Stop a node with SIGTERM, perhaps with a second one, and start it again."""
    with claim(node):
        return await stop_and_restart_claimed(context, node)


async def stop_and_restart_claimed(context: FaultContext, node: SoakNode) -> str:
    """Do what `stop_and_restart` does at a node that the caller has claimed."""
    deployment, record = context.deployment, context.deployment.record
    loop = asyncio.get_running_loop()
    repeats = context.rng.random() < REPEAT_SHARE
    repeat_s = context.choose_seconds(node.grace_s)
    with record.track_disturbance(
        STOP, node=node.name, grace_s=node.first_grace_s
    ) as stop:
        deployment.signal_node(node, signal.SIGTERM)
        if repeats:
            repeat = loop.call_later(
                repeat_s, deployment.signal_node, node, signal.SIGTERM
            )
        has_ended = await deployment.wait_ended(node)
        if repeats:
            # The next process must not get it.
            repeat.cancel()
        stopped_s = get_now() - stop.began
    longest_s = node.first_grace_s + MAX_ADDED_GRACE_S + AFTER_GRACE_S
    is_late = stopped_s > longest_s and not record.has_disturbance(
        "pause", node=node.name, since=stop.began, until=get_now()
    )
    if is_late or not has_ended:
        record.breaches.append(
            f"{node.name} had not ended {stopped_s:.2f} s after SIGTERM"
        )
    with record.track_disturbance(DOWN, node=node.name, breaks_callers=True):
        if not has_ended:
            deployment.signal_node(node, signal.SIGKILL)
            await deployment.wait_ended(node)
        await restart(context, node)
    return f"{node.name} ended after {stopped_s:.2f} s" + repeats * ", two SIGTERM"
