"""Faults of a soak's processes: they are killed, stopped, suspended or reloaded."""

import asyncio
import signal

from pimentoscale_bench.soak.fault_context import FaultContext
from pimentoscale_bench.soak.restarts import (
    MAX_ADDED_GRACE_S,
    claim,
    kill_and_restart,
    stop_and_restart,
)
from pimentoscale_bench.soak.target_faults import replace_target

# A node's answers may still be late for this time after it was resumed.
SETTLE_S = 1.0
MAX_PAUSE_S = 4.0
# In a series of stops, up to one of this many nodes is stopped, at least two; after
# each, another target leaves with this probability.
ROLL_PART = 3
ROLL_LEAVE_SHARE = 0.5
MAX_ROLL_GAP_S = 1.5


async def kill_node(context: FaultContext) -> str:
    """Kill a node but not its target, and start it again."""
    node = context.choose_node()
    if node.is_restarting:
        return f"{node.name} is already being restarted"
    with claim(node):
        await kill_and_restart(context, node)
    return node.name


async def terminate_node(context: FaultContext) -> str:
    """Stop a node with SIGTERM under load, and start it again."""
    node = context.choose_node()
    if node.is_restarting:
        return f"{node.name} is already being restarted"
    return await stop_and_restart(context, node)


async def roll_nodes(context: FaultContext) -> str:
    """Stop several nodes, each before the last one has ended, and start them again.

    Meanwhile targets of other nodes may leave.
    """
    rng, nodes = context.rng, context.deployment.nodes
    most = max(2, len(nodes) // ROLL_PART)
    tasks = []
    for node in rng.sample(nodes, min(len(nodes), rng.randint(2, most))):
        if not node.is_restarting:
            tasks.append(asyncio.create_task(stop_and_restart(context, node)))
        await asyncio.sleep(rng.uniform(0, MAX_ROLL_GAP_S))
        other = context.choose_node()
        if not other.is_restarting and rng.random() < ROLL_LEAVE_SHARE:
            leaving = replace_target(context, other, stops_node=False)
            tasks.append(asyncio.create_task(leaving))
            await asyncio.sleep(0)
    return "; ".join(await asyncio.gather(*tasks))


async def pause_node(context: FaultContext) -> str:
    """Suspend a node's process for a while."""
    node, deployment = context.choose_node(), context.deployment
    with deployment.record.track_disturbance(
        "pause", node=node.name, breaks_callers=True, breaks_runs=True
    ):
        deployment.signal_node(node, signal.SIGSTOP)
        await asyncio.sleep(context.choose_seconds(MAX_PAUSE_S))
        deployment.signal_node(node, signal.SIGCONT)
        await asyncio.sleep(SETTLE_S)
    return node.name


async def reload_settings(context: FaultContext) -> str:
    """Rewrite a node's settings file, with or without a SIGHUP."""
    node = context.choose_node()
    node.grace_s = node.first_grace_s + context.rng.choice((0.0, MAX_ADDED_GRACE_S))
    context.deployment.write_settings(node)
    # A process ends by a SIGHUP that it gets before it handles signals.
    if context.rng.random() < 0.5 and not node.is_starting:
        context.deployment.signal_node(node, signal.SIGHUP)
    return node.name
