"""Faults of a soak's connections: they are held up, delayed or reset by relays."""

import asyncio

from pimentoscale_bench.relay import Relay
from pimentoscale_bench.soak.fault_context import FaultContext

MAX_CUT_S = 5.0
MAX_DELAY_S = 0.3
MAX_SILENCE_S = 2.0


async def cut_store(context: FaultContext) -> str:
    """Block a node's connections to the store, in one direction or both."""
    node = context.choose_node()
    forward, reverse = context.rng.choice(((True, True), (True, False), (False, True)))
    with context.deployment.record.track_disturbance("cut_store", node=node.name):
        node.store.cut(forward=forward, reverse=reverse)
        await asyncio.sleep(context.choose_seconds(MAX_CUT_S))
        node.store.heal()
    return f"{node.name} forth={forward} back={reverse}"


async def reset_connections(context: FaultContext) -> str:
    """Reset a node's connections to its target, to the store or from its callers."""
    node = context.choose_node()
    relay_name = context.rng.choice(("callers", "store", "upstream"))
    relay: Relay = getattr(node, relay_name)
    is_callers = relay_name == "callers"
    with context.deployment.record.track_disturbance(
        "reset",
        node=node.name,
        breaks_callers=is_callers,
        breaks_runs=relay_name == "upstream",
    ):
        relay.reset()
    return f"{node.name} {relay_name}"


async def silence_target(context: FaultContext) -> str:
    """Block the bytes from a target to its node, or in both directions."""
    node = context.choose_node()
    with context.deployment.record.track_disturbance(
        "silence", node=node.name, breaks_runs=True
    ):
        node.upstream.cut(forward=context.rng.random() < 0.5)
        await asyncio.sleep(context.choose_seconds(MAX_SILENCE_S))
        node.upstream.heal()
    return node.name


async def delay_connections(context: FaultContext) -> str:
    """Delay the bytes between a node and its target or its callers."""
    node = context.choose_node()
    relay = context.rng.choice((node.upstream, node.callers))
    relay.delay_s = context.choose_seconds(MAX_DELAY_S)
    await asyncio.sleep(context.choose_seconds(MAX_CUT_S))
    relay.delay_s = 0.0
    return node.name
