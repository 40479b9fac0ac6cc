"""The registry of faults that experiments and tests inject."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from pimentoscale_bench.fleet import Fleet

MAX_FREEZE_S = 6.0
MAX_CUT_S = 5.0
MAX_OUTAGE_S = 6.0


@dataclass(slots=True, kw_only=True, frozen=True)
class FaultContext:
    """What a fault is drawn from."""

    fleet: Fleet
    source: random.Random

    def choose_instance(self) -> str:
        """Return any instance."""
        return self.source.choice(sorted(self.fleet.instances))

    def choose_seconds(self, most: float) -> float:
        """Return a duration."""
        return self.source.uniform(0.2, most)


Fault = Callable[[FaultContext], Awaitable[str]]
FAULTS: dict[str, Fault] = {}


def register_fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault; it heals before it returns what it did."""

    def register(fault: Fault) -> Fault:
        FAULTS[name] = fault
        return fault

    return register


@register_fault("kill")
async def kill_instance(request: FaultContext) -> str:
    """Kill an instance and replace it."""
    name = request.choose_instance()
    request.fleet.kill(name)
    await asyncio.sleep(request.choose_seconds(2.0))
    request.fleet.replace(name)
    await request.fleet.wait_node_ready(name)
    return name


@register_fault("kill_node")
async def kill_node(request: FaultContext) -> str:
    """Kill a node but not its upstream, and replace it."""
    name = request.choose_instance()
    request.fleet.kill_node(name)
    await asyncio.sleep(request.choose_seconds(2.0))
    request.fleet.replace_node(name)
    await request.fleet.wait_node_ready(name)
    return name


@register_fault("freeze")
async def suspend_node(request: FaultContext) -> str:
    """Pause a node and let it go on."""
    name = request.choose_instance()
    request.fleet.suspend_node(name)
    await asyncio.sleep(request.choose_seconds(MAX_FREEZE_S))
    request.fleet.resume_node(name)
    return name


@register_fault("drain")
async def drain_instance(request: FaultContext) -> str:
    """Drain an instance, wait until its node has stopped, and replace it."""
    name = request.choose_instance()
    node = request.fleet.instances[name].node
    await request.fleet.drain(name)
    while node.poll() is None:
        await asyncio.sleep(0.05)
    request.fleet.kill(name)
    request.fleet.replace(name)
    await request.fleet.wait_node_ready(name)
    return f"{name}, exit code {node.returncode}"


@register_fault("cut_zone")
async def cut_zone(request: FaultContext) -> str:
    """Cut a zone off from the others and from the platform."""
    fleet = request.fleet
    zone = request.source.choice(fleet.deployment.zones)
    inside = {plan.instance for plan in fleet.plans if plan.zone == zone}
    outside = {plan.instance for plan in fleet.plans} - inside
    fleet.relays.cut(inside, outside | {""})
    fleet.relays.cut(outside, inside)
    await asyncio.sleep(request.choose_seconds(MAX_CUT_S))
    fleet.relays.heal()
    return zone


@register_fault("cut_pair")
async def cut_pair(request: FaultContext) -> str:
    """Cut two instances off from each other, in one direction or both."""
    names = sorted(request.fleet.instances)
    first, second = request.source.sample(names, 2)
    forward, reverse = request.source.choice(
        [(True, True), (True, False), (False, True)]
    )
    request.fleet.relays.cut({first}, {second}, forward=forward, reverse=reverse)
    request.fleet.relays.cut({second}, {first}, forward=reverse, reverse=forward)
    await asyncio.sleep(request.choose_seconds(MAX_CUT_S))
    request.fleet.relays.heal()
    return f"{first} {second} {forward} {reverse}"


@register_fault("platform_down")
async def stop_platform(request: FaultContext) -> str:
    """Let the platform's log fail for a while."""
    await request.fleet.set_platform_faults(is_down=True)
    await asyncio.sleep(request.choose_seconds(MAX_OUTAGE_S))
    await request.fleet.set_platform_faults(is_down=False)
    return ""


@register_fault("lost_answers")
async def lose_answers(request: FaultContext) -> str:
    """Let some answers of the log be lost after the write."""
    await request.fleet.set_platform_faults(lost_answers=3, delay_ms=100)
    await asyncio.sleep(request.choose_seconds(2.0))
    await request.fleet.set_platform_faults(lost_answers=0, delay_ms=0)
    return ""
