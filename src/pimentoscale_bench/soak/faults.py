"""The registry of the soak's faults; each heals before it returns."""

import asyncio
import contextlib
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import httpx

from pimentoscale.http import IncompleteResponseError, NotConnectedError
from pimentoscale_bench.relay import Relay
from pimentoscale_bench.soak.callers import send_once
from pimentoscale_bench.soak.deployment import (
    GRACE_S,
    SERVICES,
    SoakDeployment,
    SoakNode,
)
from pimentoscale_bench.soak.record import STOP, TOUCH_S
from pimentoscale_bench.target import StandInTarget

# A target that said that it leaves gets nothing new after this time, in seconds (the
# users' bound).
DRAIN_S = 2.0
# A new version is in force after this time, in seconds (the users' bound).
CONFIG_S = 2.0
# After a pause a node may still be late for so long.
SETTLE_S = 1.0
MAX_PAUSE_S = 4.0
MAX_CUT_S = 5.0
MAX_DELAY_S = 0.3
MAX_SILENCE_S = 2.0
NOT_FOUND = 404
OK = 200
ANNOUNCE_TRIES = 20
ANNOUNCE_PAUSE_S = 0.2
STORE_FAULTS = (
    ({"is_down": True}, {"is_down": False}),
    ({"delay_ms": 700}, {"delay_ms": 0}),
    ({"reject_status": 429}, {"reject_status": 0}),
    ({"lost_answers": 4, "late_ms": 900}, {"lost_answers": 0}),
    ({"forget": True}, {"forget": False}),
)


@dataclass(slots=True, kw_only=True, frozen=True)
class FaultContext:
    """What a fault is drawn from."""

    soak: SoakDeployment
    source: random.Random

    def choose_node(self) -> SoakNode:
        """Return any node."""
        return self.source.choice(self.soak.nodes)

    def choose_seconds(self, most: float) -> float:
        """Return a duration."""
        return self.source.uniform(0.1, most)


Fault = Callable[[FaultContext], Awaitable[str]]
FAULTS: dict[str, Fault] = {}


def register_fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault; it returns what it did."""

    def register(fault: Fault) -> Fault:
        FAULTS[name] = fault
        return fault

    return register


def _get_now() -> float:
    return asyncio.get_running_loop().time()


async def _restart(request: FaultContext, node: SoakNode) -> None:
    await asyncio.sleep(request.choose_seconds(1.5))
    request.soak.start_node(node)
    await request.soak.wait_ready(node)


@register_fault("kill")
async def kill_node(request: FaultContext) -> str:
    """Kill a node; its target lives on."""
    node, soak = request.choose_node(), request.soak
    if node.busy:
        return f"{node.name} is already being restarted"
    node.busy = True
    with soak.record.disturb("kill", node=node.name, breaks_callers=True):
        soak.signal_node(node, signal.SIGKILL)
        await _restart(request, node)
    node.busy = False
    return node.name


@register_fault("terminate")
async def terminate_node(request: FaultContext) -> str:
    """Stop a node by SIGTERM and start it again; callers go on using it meanwhile."""
    node, soak = request.choose_node(), request.soak
    if node.busy:
        return f"{node.name} is already being restarted"
    node.busy = True
    began = _get_now()
    with soak.record.disturb(STOP, node=node.name):
        soak.signal_node(node, signal.SIGTERM)
        if not await soak.wait_ended(node):
            soak.record.breaches.append(f"{node.name} did not end on SIGTERM")
            soak.signal_node(node, signal.SIGKILL)
            await soak.wait_ended(node)
        stopped_s = _get_now() - began
    with soak.record.disturb("down", node=node.name, breaks_callers=True):
        await _restart(request, node)
    node.busy = False
    return f"{node.name} ended after {stopped_s:.2f} s"


@register_fault("pause")
async def pause_node(request: FaultContext) -> str:
    """Suspend a node's process and let it go on."""
    node, soak = request.choose_node(), request.soak
    with soak.record.disturb("pause", node=node.name, breaks_callers=True):
        soak.signal_node(node, signal.SIGSTOP)
        await asyncio.sleep(request.choose_seconds(MAX_PAUSE_S))
        soak.signal_node(node, signal.SIGCONT)
        await asyncio.sleep(SETTLE_S)
    return node.name


@register_fault("reload")
async def reload_settings(request: FaultContext) -> str:
    """Change a node's settings file, with SIGHUP or without."""
    node = request.choose_node()
    node.grace_s = GRACE_S + request.source.choice((0.0, 1.0))
    request.soak.write_settings(node)
    if request.source.random() < 0.5:
        request.soak.signal_node(node, signal.SIGHUP)
    return node.name


@register_fault("cut_store")
async def cut_store(request: FaultContext) -> str:
    """Hold up a node's connections to the store, in one direction or both."""
    node = request.choose_node()
    forward, reverse = request.source.choice(
        ((True, True), (True, False), (False, True))
    )
    with request.soak.record.disturb("cut_store", node=node.name):
        node.store.cut(forward=forward, reverse=reverse)
        await asyncio.sleep(request.choose_seconds(MAX_CUT_S))
        node.store.heal()
    return f"{node.name} forth={forward} back={reverse}"


@register_fault("reset")
async def reset_connections(request: FaultContext) -> str:
    """Reset all connections of a node to its target, to the store or of its callers."""
    node = request.choose_node()
    use = request.source.choice(("callers", "store", "upstream"))
    relay: Relay = getattr(node, use)
    is_callers = use == "callers"
    with request.soak.record.disturb(
        "reset", node=node.name, breaks_callers=is_callers
    ):
        relay.reset()
    return f"{node.name} {use}"


@register_fault("silence")
async def silence_target(request: FaultContext) -> str:
    """Hold up the bytes between a node and its target."""
    node = request.choose_node()
    with request.soak.record.disturb("silence", node=node.name):
        node.upstream.cut(forward=request.source.random() < 0.5)
        await asyncio.sleep(request.choose_seconds(MAX_SILENCE_S))
        node.upstream.heal()
    return node.name


@register_fault("delay")
async def delay_connections(request: FaultContext) -> str:
    """Delay the bytes between a node and its target or its callers."""
    node = request.choose_node()
    relay = request.source.choice((node.upstream, node.callers))
    relay.delay_s = request.choose_seconds(MAX_DELAY_S)
    await asyncio.sleep(request.choose_seconds(MAX_CUT_S))
    relay.delay_s = 0.0
    return node.name


@register_fault("store")
async def harm_store(request: FaultContext) -> str:
    """Let the store be slow, down, short of room, forgetful, or lose answers."""
    harm, heal = request.source.choice(STORE_FAULTS)
    with request.soak.record.disturb("store"):
        await request.soak.set_store_faults(**harm)
        await asyncio.sleep(request.choose_seconds(MAX_CUT_S))
        await request.soak.set_store_faults(**heal)
    return str(harm)


@register_fault("configure")
async def change_configuration(request: FaultContext) -> str:
    """Add a route; nodes in touch must serve it within the bound."""
    soak = request.soak
    name = soak.add_route(request.source.choice(SERVICES))
    try:
        await soak.configure()
    except httpx.HTTPError as error:
        # The store is down or loses answers; the route comes with the next version.
        return f"{name} not acknowledged: {error!r}"
    acknowledged = _get_now()
    await asyncio.sleep(CONFIG_S)
    for node in soak.nodes:
        await _check_route(soak, node, name, acknowledged)
    return name


async def _check_route(
    soak: SoakDeployment, node: SoakNode, name: str, acknowledged: float
) -> None:
    path = f"/{name}/probe"
    try:
        response = await send_once(node.get_address("callers_relay"), path)
    except (IncompleteResponseError, NotConnectedError, TimeoutError):
        # The node is down or cut off; what it serves is judged by others.
        return
    is_calm = soak.record.is_calm(
        node.name, since=acknowledged - TOUCH_S, until=_get_now()
    )
    if response.status == NOT_FOUND and is_calm:
        soak.record.breaches.append(
            f"{node.name} answers 404 for {name} {CONFIG_S} s after its acknowledgement"
        )


@register_fault("drain")
async def drain_target(request: FaultContext) -> str:
    """Let a target leave; a new one takes its place."""
    node, soak = request.choose_node(), request.soak
    if node.busy:
        return f"{node.name} is being restarted"
    node.busy = True
    old = node.target
    old.state = "draining"
    acknowledged = await _announce(old)
    await asyncio.sleep(DRAIN_S + SETTLE_S)
    if acknowledged and old.record.last_arrival > acknowledged + DRAIN_S:
        late_s = old.record.last_arrival - acknowledged
        soak.record.breaches.append(
            f"{old.identity} got work {late_s:.2f} s after it said that it leaves"
        )
    old.close()
    node.target = soak.make_target(node, f"{node.name}-t{len(soak.targets)}")
    await node.target.start(node.get_address("target"))
    node.busy = False
    return old.identity


async def _announce(target: StandInTarget) -> float:
    """Announce until it is acknowledged; return the time of that, or 0."""
    for _ in range(ANNOUNCE_TRIES):
        with contextlib.suppress(IncompleteResponseError, NotConnectedError):
            if await target.announce() == OK:
                return _get_now()
        await asyncio.sleep(ANNOUNCE_PAUSE_S)
    return 0.0
