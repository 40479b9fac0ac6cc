"""The registry of faults that experiments and tests inject."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from pimentoscale_bench.fleet import Fleet

MAX_SUSPENSION_S = 6.0
MAX_CUT_S = 5.0
MAX_OUTAGE_S = 6.0


@dataclass(slots=True, kw_only=True, frozen=True)
class FaultContext:
    """The fleet in which a fault is injected, and the generator of its choices."""

    fleet: Fleet
    rng: random.Random

    def choose_instance(self) -> str:
        """Return the name of a random instance."""
        return self.rng.choice(sorted(self.fleet.instances))

    def choose_seconds(self, longest: float) -> float:
        """Return a random duration of up to `longest` seconds."""
        return self.rng.uniform(0.2, longest)


Fault = Callable[[FaultContext], Awaitable[str]]
FAULTS: dict[str, Fault] = {}


def register_fault(name: str) -> Callable[[Fault], Fault]:
    """Return a decorator that registers a fault under a name.

    A fault returns after it was repaired; its result describes what it affected.
    """

    def register(fault: Fault) -> Fault:
        FAULTS[name] = fault
        return fault

    return register


@register_fault("kill")
async def kill_instance(context: FaultContext) -> str:
    """Kill an instance and replace it."""
    name = context.choose_instance()
    context.fleet.kill(name)
    await asyncio.sleep(context.choose_seconds(2.0))
    context.fleet.replace(name)
    await context.fleet.wait_node_ready(name)
    return name


@register_fault("kill_node")
async def kill_node(context: FaultContext) -> str:
    """Kill a node but not its upstream, and replace it."""
    name = context.choose_instance()
    context.fleet.kill_node(name)
    await asyncio.sleep(context.choose_seconds(2.0))
    context.fleet.replace_node(name)
    await context.fleet.wait_node_ready(name)
    return name


@register_fault("freeze")
async def suspend_node(context: FaultContext) -> str:
    """Suspend a node for a while."""
    name = context.choose_instance()
    context.fleet.suspend_node(name)
    await asyncio.sleep(context.choose_seconds(MAX_SUSPENSION_S))
    context.fleet.resume_node(name)
    return name


@register_fault("drain")
async def drain_instance(context: FaultContext) -> str:
    """Drain an instance, wait until its node has stopped, and replace it."""
    name = context.choose_instance()
    node = context.fleet.instances[name].node
    await context.fleet.drain(name)
    while node.poll() is None:
        await asyncio.sleep(0.05)
    context.fleet.kill(name)
    context.fleet.replace(name)
    await context.fleet.wait_node_ready(name)
    return f"{name}, exit code {node.returncode}"


@register_fault("cut_zone")
async def cut_zone(context: FaultContext) -> str:
    """Partition a zone from the others and from the platform for a while."""
    fleet = context.fleet
    zone = context.rng.choice(fleet.deployment.zones)
    inside = {plan.instance for plan in fleet.plans if plan.zone == zone}
    outside = {plan.instance for plan in fleet.plans} - inside
    # The empty name stands for the platform.
    fleet.relays.cut(inside, outside | {""})
    fleet.relays.cut(outside, inside)
    await asyncio.sleep(context.choose_seconds(MAX_CUT_S))
    fleet.relays.heal()
    return zone


@register_fault("cut_pair")
async def cut_pair(context: FaultContext) -> str:
    """Partition two instances for a while, in one direction or both."""
    names = sorted(context.fleet.instances)
    first, second = context.rng.sample(names, 2)
    forward, reverse = context.rng.choice([(True, True), (True, False), (False, True)])
    context.fleet.relays.cut({first}, {second}, forward=forward, reverse=reverse)
    context.fleet.relays.cut({second}, {first}, forward=reverse, reverse=forward)
    await asyncio.sleep(context.choose_seconds(MAX_CUT_S))
    context.fleet.relays.heal()
    return f"{first} {second} {forward} {reverse}"


@register_fault("platform_down")
async def stop_platform(context: FaultContext) -> str:
    """Make the platform's store answer with errors for a while."""
    await context.fleet.set_platform_faults(is_down=True)
    await asyncio.sleep(context.choose_seconds(MAX_OUTAGE_S))
    await context.fleet.set_platform_faults(is_down=False)
    return ""


@register_fault("lost_answers")
async def lose_answers(context: FaultContext) -> str:
    """Delay the store, and lose the answers of some appends after the write."""
    await context.fleet.set_platform_faults(lost_answers=3, delay_ms=100)
    await asyncio.sleep(context.choose_seconds(2.0))
    await context.fleet.set_platform_faults(lost_answers=0, delay_ms=0)
    return ""
