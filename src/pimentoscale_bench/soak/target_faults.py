"""Faults of a soak's targets: they leave, or state a limit."""

import asyncio
import contextlib
from bisect import bisect_right
from collections.abc import Awaitable, Callable

import httpx

from pimentoscale.http import IncompleteResponseError, NotConnectedError
from pimentoscale_bench.soak.deployment import SoakNode
from pimentoscale_bench.soak.fault_context import FaultContext, get_now
from pimentoscale_bench.soak.restarts import (
    claim,
    kill_and_restart,
    stop_and_restart_claimed,
)
from pimentoscale_bench.target import StandInTarget

# A target receives no new requests later than this after its draining was acknowledged,
# in seconds (the users' bound).
DRAIN_BOUND_S = 2.0
# A target may go on for this time after it has said, or announced, that it leaves.
MAX_NOTICE_S = 1.0
# A target that left without draining is replaced within this time.
MAX_LEAVE_S = 3.0
# The node of a target that has left is killed within this time.
MAX_KILL_DELAY_S = 0.5
# A target that states a rate limit gets in each window at most this factor times what
# the limit allows, plus some requests, from some seconds after it first did so (the
# users' bounds).
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
LIMIT_NOTICE_S = 3.0
LIMIT_RATES = (1.0, 2.5, 6.0)
MAX_LIMIT_S = 8.0
# What the store does while a departure is forgotten.
STORES = ("up", "down", "lost")
OK = 200
ANNOUNCE_ATTEMPTS = 20
ANNOUNCE_PAUSE_S = 0.2


async def limit_target(context: FaultContext) -> str:
    """Let a target state a rate limit for a while, and check what it gets."""
    target = context.choose_node().target
    if target.rate_header:
        return f"{target.identity} already states a limit"
    rate = context.rng.choice(LIMIT_RATES)
    target.rate_header = f"{rate}".encode()
    since = get_now() + LIMIT_NOTICE_S
    await asyncio.sleep(LIMIT_NOTICE_S + context.choose_seconds(MAX_LIMIT_S))
    target.rate_header = b""
    until = get_now()
    times = [at for at in target.record.arrived_at if since <= at <= until]
    most = max(
        (
            bisect_right(times, at + LIMIT_WINDOW_S) - index
            for index, at in enumerate(times)
        ),
        default=0,
    )
    if most > LIMIT_FACTOR * rate * LIMIT_WINDOW_S + LIMIT_EXTRA:
        context.deployment.record.breaches.append(
            f"{target.identity} states a limit of {rate} a second and received "
            f"{most} requests in {LIMIT_WINDOW_S} s"
        )
    return f"{target.identity} {rate} a second, {most} in {LIMIT_WINDOW_S} s"


async def drain_target(context: FaultContext) -> str:
    """Drain a target and replace it by a new one.

    Its answers state that it leaves; it may say so before it announces it.
    """
    node = context.choose_node()
    if node.is_restarting:
        return f"{node.name} is being restarted"
    old_target = node.target
    with claim(node):
        old_target.is_leaving = True
        if context.rng.random() < 0.5:
            await asyncio.sleep(context.choose_seconds(MAX_NOTICE_S))
        old_target.state = "draining"
        acknowledged = await _repeat(old_target.announce)
        await asyncio.sleep(DRAIN_BOUND_S + MAX_NOTICE_S)
        _check_arrivals(context, old_target, acknowledged)
        await _start_target(context, node)
    return old_target.identity


async def leave_target(context: FaultContext) -> str:
    """Deregister a target without draining, perhaps stop its node, and replace both.

    The target goes on serving what it has.
    """
    node = context.choose_node()
    if node.is_restarting:
        return f"{node.name} is being restarted"
    stops_node = context.rng.random() < 0.5
    return await replace_target(context, node, stops_node=stops_node)


async def replace_target(
    context: FaultContext, node: SoakNode, *, stops_node: bool
) -> str:
    """Let a target leave, perhaps stop its node, and replace both; say when it left."""
    old_target = node.target
    with claim(node):
        if context.rng.random() < 0.5:
            old_target.is_leaving = True
            await asyncio.sleep(context.rng.uniform(0, MAX_NOTICE_S))
        acknowledged = await _repeat(old_target.deregister)
        detail = f"{old_target.identity} left at {acknowledged:.3f}"
        if stops_node:
            await asyncio.sleep(context.rng.uniform(0, MAX_NOTICE_S))
            detail += f", {await stop_and_restart_claimed(context, node)}"
        else:
            await asyncio.sleep(context.choose_seconds(MAX_LEAVE_S))
        _check_arrivals(context, old_target, acknowledged)
        await _start_target(context, node)
    return detail


async def forget_departure(context: FaultContext) -> str:
    """Let a target leave, kill its node, and deliver a late announcement.

    The store may be down meanwhile, or return from a copy without the departure.
    """
    node, rng = context.choose_node(), context.rng
    if node.is_restarting:
        return f"{node.name} is being restarted"
    target, deployment = node.target, context.deployment
    with claim(node):
        store = rng.choice(STORES)
        with deployment.record.track_disturbance("store"):
            await deployment.set_store_faults(is_down=store == "down")
            target.stop_announcing()
            before = get_now()
            acknowledged = await _depart(context, target)
            if store == "lost":
                await deployment.set_store_faults(lost_s=get_now() - before)
                with contextlib.suppress(httpx.HTTPError):
                    # Another fault of the store may prevent it.
                    await deployment.write_configuration()
            await asyncio.sleep(rng.uniform(0, MAX_KILL_DELAY_S))
            killing = asyncio.create_task(kill_and_restart(context, node))
            await asyncio.sleep(context.choose_seconds(MAX_LEAVE_S))
            await deployment.set_store_faults(is_down=False)
        await killing
        target.state = "ready"
        await _repeat(target.announce)
        await asyncio.sleep(DRAIN_BOUND_S + MAX_NOTICE_S)
        _check_arrivals(context, target, acknowledged)
        await _start_target(context, node)
    return f"{target.identity} left at {acknowledged:.3f}, store: {store}"


async def _depart(context: FaultContext, target: StandInTarget) -> float:
    """Announce a departure in one of two ways; return when it was acknowledged."""
    if context.rng.random() < 0.5:
        return await _repeat(target.deregister)
    target.state = "draining"
    return await _repeat(target.announce)


def _check_arrivals(
    context: FaultContext, target: StandInTarget, acknowledged: float
) -> None:
    """Check that a target that left gets no requests after the bound."""
    late_s = target.record.last_arrival - acknowledged
    if acknowledged and late_s > DRAIN_BOUND_S:
        context.deployment.record.breaches.append(
            f"{target.identity} received a request {late_s:.2f} s "
            "after its leaving was acknowledged"
        )


async def _start_target(context: FaultContext, node: SoakNode) -> None:
    """Replace a node's target by a new one; the old one ends what it runs."""
    deployment = context.deployment
    node.target.close()
    identity = f"{node.name}-t{len(deployment.targets)}"
    node.target = deployment.make_target(node, identity)
    await node.target.start(node.get_address("target"))


async def _repeat(send: Callable[[], Awaitable[int]]) -> float:
    """Send until acknowledged; return the time of the acknowledgement, or 0."""
    for _ in range(ANNOUNCE_ATTEMPTS):
        with contextlib.suppress(IncompleteResponseError, NotConnectedError):
            if await send() == OK:
                return get_now()
        await asyncio.sleep(ANNOUNCE_PAUSE_S)
    return 0.0
