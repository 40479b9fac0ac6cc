"""The registry of the faults that a soak injects."""

import asyncio
import contextlib
import random
import signal
from bisect import bisect_right
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass

import httpx

from pimentoscale.http import IncompleteResponseError, NotConnectedError
from pimentoscale_bench.relay import Relay
from pimentoscale_bench.soak.callers import send_once
from pimentoscale_bench.soak.deployment import SERVICES, SoakDeployment, SoakNode
from pimentoscale_bench.soak.record import AFTER_GRACE_S, DISTURBANCE_GRACE_S, STOP
from pimentoscale_bench.target import StandInTarget

# A target receives no new requests later than this after its draining was acknowledged,
# in seconds (the users' bound).
DRAIN_BOUND_S = 2.0
# A new configuration version is in force at most this long after its acknowledgement,
# in seconds (the users' bound).
CONFIGURATION_BOUND_S = 2.0
# A node's answers may still be late for this time after it was resumed.
SETTLE_S = 1.0
MAX_PAUSE_S = 4.0
# A reload of the settings lengthens the grace period by up to this.
MAX_ADDED_GRACE_S = 1.0
# Share of the stops in which the node gets a second SIGTERM.
REPEAT_SHARE = 0.3
# In a series of stops, up to one of this many nodes is stopped, at least two; after
# each, another target leaves with this probability.
ROLL_PART = 3
ROLL_LEAVE_SHARE = 0.5
MAX_ROLL_GAP_S = 1.5
# A target that left without draining is replaced within this time.
MAX_LEAVE_S = 3.0
MAX_CUT_S = 5.0
MAX_DELAY_S = 0.3
MAX_SILENCE_S = 2.0
# A target that states a rate limit gets in each window at most this factor times what
# the limit allows, plus some requests, from some seconds after it first did so (the
# users' bounds).
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
LIMIT_NOTICE_S = 3.0
LIMIT_RATES = (1.0, 2.5, 6.0)
MAX_LIMIT_S = 8.0
NOT_FOUND = 404
OK = 200
ANNOUNCE_ATTEMPTS = 20
ANNOUNCE_PAUSE_S = 0.2
# Each fault of the store with the change that repairs it.
STORE_FAULTS = (
    ({"is_down": True}, {"is_down": False}),
    ({"delay_ms": 700}, {"delay_ms": 0}),
    ({"reject_status": 429}, {"reject_status": 0}),
    ({"lost_answers": 4, "late_ms": 900}, {"lost_answers": 0}),
    ({"forget": True}, {"forget": False}),
)


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


def _get_now() -> float:
    return asyncio.get_running_loop().time()


async def _restart(context: FaultContext, node: SoakNode) -> None:
    await asyncio.sleep(context.choose_seconds(1.5))
    deployment = context.deployment
    deployment.start_node(node)
    node.is_starting = True
    try:
        await deployment.wait_ready(node)
    except TimeoutError:
        deployment.record.breaches.append(f"{node.name} did not get ready")
    node.is_starting = False


@contextlib.contextmanager
def _claim(node: SoakNode) -> Iterator[None]:
    """Keep other faults from replacing the process or the target of a node."""
    node.is_restarting = True
    try:
        yield
    finally:
        node.is_restarting = False


@register_fault("kill")
async def kill_node(context: FaultContext) -> str:
    """Kill a node but not its target, and start it again."""
    node, deployment = context.choose_node(), context.deployment
    if node.is_restarting:
        return f"{node.name} is already being restarted"
    with (
        _claim(node),
        deployment.record.track_disturbance(
            "kill", node=node.name, breaks_callers=True, breaks_runs=True
        ),
    ):
        deployment.signal_node(node, signal.SIGKILL)
        await _restart(context, node)
    return node.name


@register_fault("terminate")
async def terminate_node(context: FaultContext) -> str:
    """Stop a node with SIGTERM under load, and start it again."""
    node = context.choose_node()
    if node.is_restarting:
        return f"{node.name} is already being restarted"
    return await _stop_and_restart(context, node)


async def _stop_and_restart(context: FaultContext, node: SoakNode) -> str:
    """Stop a node with SIGTERM, perhaps with a second one, and start it again."""
    with _claim(node):
        return await _stop_and_restart_claimed(context, node)


async def _stop_and_restart_claimed(context: FaultContext, node: SoakNode) -> str:
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
        stopped_s = _get_now() - stop.began
    longest_s = node.first_grace_s + MAX_ADDED_GRACE_S + AFTER_GRACE_S
    is_late = stopped_s > longest_s and not record.has_disturbance(
        "pause", node=node.name, since=stop.began, until=_get_now()
    )
    if is_late or not has_ended:
        record.breaches.append(
            f"{node.name} had not ended {stopped_s:.2f} s after SIGTERM"
        )
    with record.track_disturbance("down", node=node.name, breaks_callers=True):
        if not has_ended:
            deployment.signal_node(node, signal.SIGKILL)
            await deployment.wait_ended(node)
        await _restart(context, node)
    return f"{node.name} ended after {stopped_s:.2f} s" + repeats * ", two SIGTERM"


@register_fault("roll")
async def roll_nodes(context: FaultContext) -> str:
    """Stop several nodes, each before the last one has ended, and start them again.

    Meanwhile targets of other nodes may leave.
    """
    rng, nodes = context.rng, context.deployment.nodes
    most = max(2, len(nodes) // ROLL_PART)
    tasks = []
    for node in rng.sample(nodes, min(len(nodes), rng.randint(2, most))):
        if not node.is_restarting:
            tasks.append(asyncio.create_task(_stop_and_restart(context, node)))
        await asyncio.sleep(rng.uniform(0, MAX_ROLL_GAP_S))
        other = context.choose_node()
        if not other.is_restarting and rng.random() < ROLL_LEAVE_SHARE:
            leaving = _replace_target(context, other, stops_node=False)
            tasks.append(asyncio.create_task(leaving))
            await asyncio.sleep(0)
    return "; ".join(await asyncio.gather(*tasks))


@register_fault("pause")
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


@register_fault("reload")
async def reload_settings(context: FaultContext) -> str:
    """Rewrite a node's settings file, with or without a SIGHUP."""
    node = context.choose_node()
    node.grace_s = node.first_grace_s + context.rng.choice((0.0, MAX_ADDED_GRACE_S))
    context.deployment.write_settings(node)
    # A process ends by a SIGHUP that it gets before it handles signals.
    if context.rng.random() < 0.5 and not node.is_starting:
        context.deployment.signal_node(node, signal.SIGHUP)
    return node.name


@register_fault("cut_store")
async def cut_store(context: FaultContext) -> str:
    """Block a node's connections to the store, in one direction or both."""
    node = context.choose_node()
    forward, reverse = context.rng.choice(((True, True), (True, False), (False, True)))
    with context.deployment.record.track_disturbance("cut_store", node=node.name):
        node.store.cut(forward=forward, reverse=reverse)
        await asyncio.sleep(context.choose_seconds(MAX_CUT_S))
        node.store.heal()
    return f"{node.name} forth={forward} back={reverse}"


@register_fault("reset")
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


@register_fault("silence")
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


@register_fault("delay")
async def delay_connections(context: FaultContext) -> str:
    """Delay the bytes between a node and its target or its callers."""
    node = context.choose_node()
    relay = context.rng.choice((node.upstream, node.callers))
    relay.delay_s = context.choose_seconds(MAX_DELAY_S)
    await asyncio.sleep(context.choose_seconds(MAX_CUT_S))
    relay.delay_s = 0.0
    return node.name


@register_fault("store")
async def degrade_store(context: FaultContext) -> str:
    """Inject one of `STORE_FAULTS` for a while.

    The store is down or slow, rejects calls with 429 as for lack of space, loses
    answers, or truncates its log.
    """
    faults, repair = context.rng.choice(STORE_FAULTS)
    with context.deployment.record.track_disturbance("store"):
        await context.deployment.set_store_faults(**faults)
        await asyncio.sleep(context.choose_seconds(MAX_CUT_S))
        await context.deployment.set_store_faults(**repair)
    return str(faults)


@register_fault("configure")
async def change_configuration(context: FaultContext) -> str:
    """Add a route; every undisturbed node must serve it within the bound."""
    deployment = context.deployment
    name = deployment.add_route(context.rng.choice(SERVICES))
    try:
        await deployment.configure()
    except httpx.HTTPError as error:
        # The store is down or loses answers; the next version includes the route.
        return f"{name} not acknowledged: {error!r}"
    acknowledged = _get_now()
    await asyncio.sleep(CONFIGURATION_BOUND_S)
    for node in deployment.nodes:
        await _check_route(deployment, node, name, acknowledged)
    return name


async def _check_route(
    deployment: SoakDeployment, node: SoakNode, name: str, acknowledged: float
) -> None:
    path = f"/{name}/probe"
    try:
        response = await send_once(node.get_address("callers_relay"), path)
    except (IncompleteResponseError, NotConnectedError, TimeoutError):
        # The node is down or partitioned, so its routes cannot be checked here; other
        # checks cover its answers.
        return
    is_undisturbed = deployment.record.is_undisturbed(
        node.name, since=acknowledged - DISTURBANCE_GRACE_S, until=_get_now()
    )
    if response.status == NOT_FOUND and is_undisturbed:
        deployment.record.breaches.append(
            f"{node.name} answers 404 for {name} {CONFIGURATION_BOUND_S} s "
            "after its version was acknowledged"
        )


@register_fault("limit")
async def limit_target(context: FaultContext) -> str:
    """Let a target state a rate limit for a while, and check what it gets."""
    target = context.choose_node().target
    if target.rate_header:
        return f"{target.identity} already states a limit"
    rate = context.rng.choice(LIMIT_RATES)
    target.rate_header = f"{rate}".encode()
    since = _get_now() + LIMIT_NOTICE_S
    await asyncio.sleep(LIMIT_NOTICE_S + context.choose_seconds(MAX_LIMIT_S))
    target.rate_header = b""
    until = _get_now()
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


@register_fault("drain")
async def drain_target(context: FaultContext) -> str:
    """Drain a target and replace it by a new one.

    Its answers state that it leaves; it may say so before it announces it.
    """
    node = context.choose_node()
    if node.is_restarting:
        return f"{node.name} is being restarted"
    old_target = node.target
    with _claim(node):
        old_target.is_leaving = True
        if context.rng.random() < 0.5:
            await asyncio.sleep(context.choose_seconds(SETTLE_S))
        old_target.state = "draining"
        acknowledged = await _repeat(old_target.announce)
        await asyncio.sleep(DRAIN_BOUND_S + SETTLE_S)
        _check_arrivals(context, old_target, acknowledged)
        await _start_target(context, node)
    return old_target.identity


@register_fault("leave")
async def leave_target(context: FaultContext) -> str:
    """Deregister a target without draining, perhaps stop its node, and replace both.

    The target goes on serving what it has.
    """
    node = context.choose_node()
    if node.is_restarting:
        return f"{node.name} is being restarted"
    stops_node = context.rng.random() < 0.5
    return await _replace_target(context, node, stops_node=stops_node)


async def _replace_target(
    context: FaultContext, node: SoakNode, *, stops_node: bool
) -> str:
    old_target = node.target
    with _claim(node):
        if context.rng.random() < 0.5:
            old_target.is_leaving = True
            await asyncio.sleep(context.rng.uniform(0, SETTLE_S))
        acknowledged = await _repeat(old_target.deregister)
        detail = f"{old_target.identity} left at {acknowledged:.3f}"
        if stops_node:
            await asyncio.sleep(context.rng.uniform(0, SETTLE_S))
            detail += f", {await _stop_and_restart_claimed(context, node)}"
        else:
            await asyncio.sleep(context.choose_seconds(MAX_LEAVE_S))
        _check_arrivals(context, old_target, acknowledged)
        await _start_target(context, node)
    return detail


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
                return _get_now()
        await asyncio.sleep(ANNOUNCE_PAUSE_S)
    return 0.0
