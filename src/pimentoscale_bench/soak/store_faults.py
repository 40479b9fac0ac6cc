"""Faults of a soak's store, and changes of the configuration that it holds."""

import asyncio

import httpx

from pimentoscale.http import IncompleteResponseError, NotConnectedError
from pimentoscale_bench.soak.callers import send_once
from pimentoscale_bench.soak.deployment import SERVICES, SoakDeployment, SoakNode
from pimentoscale_bench.soak.fault_context import FaultContext, get_now
from pimentoscale_bench.soak.record import DISTURBANCE_GRACE_S, Disturbance

# A new configuration version is in force at most this long after its acknowledgement,
# in seconds (the users' bound).
CONFIGURATION_BOUND_S = 2.0
MAX_DEGRADED_S = 5.0
# A store that returns from a copy was away for up to `MAX_AWAY_S`, and has lost what it
# acknowledged up to `MAX_LOST_S` before.
MAX_AWAY_S = 3.0
MAX_LOST_S = 6.0
NOT_FOUND = 404
# Each fault of the store with the change that repairs it.
STORE_FAULTS = (
    ({"is_down": True}, {"is_down": False}),
    ({"delay_ms": 700}, {"delay_ms": 0}),
    ({"reject_status": 429}, {"reject_status": 0}),
    ({"lost_answers": 4, "late_ms": 900}, {"lost_answers": 0}),
    ({"forget": True}, {"forget": False}),
)


async def degrade_store(context: FaultContext) -> str:
    """Inject one of `STORE_FAULTS` for a while.

    The store is down or slow, rejects calls with 429 as for lack of space, loses
    answers, or truncates its log.
    """
    faults, repair = context.rng.choice(STORE_FAULTS)
    with context.deployment.record.track_disturbance("store"):
        await context.deployment.set_store_faults(**faults)
        await asyncio.sleep(context.choose_seconds(MAX_DEGRADED_S))
        await context.deployment.set_store_faults(**repair)
    return str(faults)


async def return_older_copy(context: FaultContext) -> str:
    """Let the store be away and return from an older copy.

    It is silent or rejects calls meanwhile. Then the operator writes the configuration
    again, and a version with one more route, which is in force in time.
    """
    deployment = context.deployment
    away = context.rng.choice(("is_silent", "is_down"))
    lost_s = context.choose_seconds(MAX_LOST_S)
    with deployment.record.track_disturbance("store") as drill:
        await deployment.set_store_faults(**{away: True})
        await asyncio.sleep(context.choose_seconds(MAX_AWAY_S))
        await deployment.set_store_faults(**{away: False}, lost_s=lost_s)
    detail = f"{away}, {lost_s:.2f} s of records lost"
    try:
        await deployment.write_configuration()
    except httpx.HTTPError as error:
        # Another fault of the store; the next version is written anyway.
        return f"{detail}, configuration not written again: {error!r}"
    # A node that never saw that a key is taken away can't know before.
    withdrawn = deployment.record.withdrawn
    for key, at in withdrawn.items():
        if at >= drill.began - MAX_LOST_S:
            withdrawn[key] = get_now()
    return f"{detail}, {await _add_route(context, apart_from=drill)}"


async def change_configuration(context: FaultContext) -> str:
    """Add a route; every undisturbed node must serve it within the bound."""
    return await _add_route(context)


async def withdraw_key(context: FaultContext) -> str:
    """Take a key away; no request that is sent with it after the bound may run."""
    deployment = context.deployment
    key = deployment.renew_key()
    try:
        await deployment.configure()
    except httpx.HTTPError as error:
        return f"{key} not acknowledged as taken away: {error!r}"
    deployment.record.withdrawn[key] = get_now()
    return key


async def _add_route(
    context: FaultContext, *, apart_from: Disturbance | None = None
) -> str:
    """Add a route and check it at all nodes that only this fault has disturbed."""
    deployment = context.deployment
    name = deployment.add_route(context.rng.choice(SERVICES))
    try:
        await deployment.configure()
    except httpx.HTTPError as error:
        # The store is down or loses answers; the next version includes the route.
        return f"{name} not acknowledged: {error!r}"
    acknowledged = get_now()
    await asyncio.sleep(CONFIGURATION_BOUND_S)
    for node in deployment.nodes:
        is_undisturbed = deployment.record.is_undisturbed(
            node.name,
            since=acknowledged - DISTURBANCE_GRACE_S,
            until=get_now(),
            apart_from=apart_from,
        )
        if is_undisturbed:
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
        node.name, since=acknowledged + CONFIGURATION_BOUND_S, until=get_now()
    )
    if response.status == NOT_FOUND and is_undisturbed:
        deployment.record.breaches.append(
            f"{node.name} answers 404 for {name} {CONFIGURATION_BOUND_S} s "
            "after its version was acknowledged"
        )
