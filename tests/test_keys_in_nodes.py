"""Keys and quotas on nodes with real sockets, beside one failure at a time."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import pytest

from pimentoscale.organisations import get_usable_age_s
from pimentoscale.stream import StateConfirmation
from pimentoscale.suspension import read_boot_time
from tests.sidecars import Deployment, make_route, run_deployment, wait_until

REVOCATION_S = 2.0
QUOTA = {"rate_window_s": 5.0, "rate_overage": 0.1, "rate_slack": 20.0}
ROUTES = [make_route("rb", "b"), make_route("pub", "b", public=True)]
NAMES = ["m0", "m1", "m2"]

Scenario = Callable[[Deployment], Awaitable[None]]


def make_tenant(name: str, *keys: str, **fields: Any) -> dict[str, Any]:
    return {"name": name, "keys": list(keys), **fields}


TENANTS = [make_tenant("one", "k1"), make_tenant("two", "k2")]


def run(scenario: Scenario, **settings: Any) -> None:
    async def main() -> None:
        async with run_deployment() as deployment:
            deployment.settings = {"revocation_s": REVOCATION_S, **QUOTA, **settings}
            deployment.configure(ROUTES, ["b"], TENANTS)
            for name in NAMES:
                await deployment.start_machine(name, "b", slots=50)
            await deployment.wait_ready()
            await wait_confirmed(deployment)
            await scenario(deployment)

    asyncio.run(main())


async def wait_confirmed(deployment: Deployment, names: list[str] = NAMES) -> None:
    """Wait until nodes accept keys."""
    policies = [deployment.machines[name].sidecar.state.access for name in names]
    await wait_until(
        lambda: all(item.is_confirmed(now=read_boot_time()) for item in policies)
    )


async def wait_refusing(deployment: Deployment, names: list[str] = NAMES) -> None:
    """Wait until nodes refuse keys."""
    policies = [deployment.machines[name].sidecar.state.access for name in names]
    await wait_until(
        lambda: not any(item.is_confirmed(now=read_boot_time()) for item in policies)
    )


async def find_follower(deployment: Deployment) -> str:
    """Return the one node that gets its records from another one."""
    selections = {
        name: machine.sidecar.relay.selection
        for name, machine in deployment.machines.items()
    }

    def list_followers() -> list[str]:
        return [name for name in NAMES if selections[name].choice.node is not None]

    # Two nodes of a zone read the store once they know each other.
    await wait_until(
        lambda: all(
            machine.sidecar.links.count_up() == len(NAMES) - 1
            for machine in deployment.machines.values()
        )
    )
    await wait_until(
        lambda: (
            len(list_followers()) == 1
            and sum(item.is_second_reader for item in selections.values()) == 1
        )
    )
    return list_followers()[0]


def set_silent(deployment: Deployment, is_silent: bool) -> None:
    service = deployment.service
    service.set_faults(replace(service.faults, is_silent=is_silent))


async def check_refused(deployment: Deployment, name: str) -> None:
    """Check that a node refuses keys truly and serves public routes."""
    before = sum(deployment.count_runs().values())
    for key in ("k1", "unknown"):
        answer = await deployment.send(name, "/rb/x", key=key)
        assert answer.status == 503
        assert float(answer.find(b"retry-after") or b"0") > 0
    assert sum(deployment.count_runs().values()) == before
    assert (await deployment.send(name, "/pub/x")).status == 200
    assert (await deployment.send(name, "/pub/x", key="k1")).status == 200


def test_target_gets_the_organisation_whatever_the_caller_sent() -> None:
    async def scenario(deployment: Deployment) -> None:
        forged = ((b"tenant", b"two"),)
        for name in NAMES:
            for path, key, expected in (
                ("/rb/x", "k1", "one"),
                ("/rb/x", "k2", "two"),
                ("/pub/x", "", None),
                ("/pub/x", "k1", "one"),
                ("/pub/x", "unknown", None),
            ):
                identity = f"{name}-{path}-{key}"
                answer = await deployment.send(
                    name, path, key=key, identity=identity, headers=forged
                )
                assert answer.status == 200
                headers = next(
                    machine.target.record.headers[identity]
                    for machine in deployment.machines.values()
                    if identity in machine.target.record.headers
                )
                assert headers.get("tenant") == expected
                assert "authorization" not in headers

    run(scenario)


def test_request_without_a_known_key_is_401_and_runs_nowhere() -> None:
    async def scenario(deployment: Deployment) -> None:
        # A first request shows the nodes that callers use the route.
        assert (await deployment.send("m0", "/rb/x", key="k1")).status == 200
        before = sum(deployment.count_runs().values())
        for name in NAMES:
            assert (await deployment.send(name, "/rb/x", key="no")).status == 401
            assert (await deployment.send(name, "/none/x")).status == 404
        await wait_until(
            lambda: all(
                machine.sidecar.forwarder.origins.is_caller_route("rb")
                for machine in deployment.machines.values()
            )
        )
        for name in NAMES:
            assert (await deployment.send(name, "/rb/x")).status == 401
        assert sum(deployment.count_runs().values()) == before

    run(scenario)


def test_key_that_was_taken_away_is_refused_also_on_an_open_connection() -> None:
    async def scenario(deployment: Deployment) -> None:
        assert (await deployment.send("m1", "/rb/x", key="k1")).status == 200
        # The last key of an organisation first.
        deployment.configure(ROUTES, ["b"], [make_tenant("one"), TENANTS[1]])
        await deployment.wait_ready()
        for name in NAMES:
            assert (await deployment.send(name, "/rb/x", key="k1")).status == 401
            assert (await deployment.send(name, "/rb/x", key="k2")).status == 200

    run(scenario)


@pytest.mark.parametrize("how", ["silent", "down"])
def test_keys_are_refused_while_the_store_is_away_and_accepted_after_it(
    how: str,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        faults = deployment.service.faults
        changed = (
            replace(faults, is_silent=True)
            if how == "silent"
            else replace(faults, is_down=True)
        )
        deployment.service.set_faults(changed)
        await wait_refusing(deployment)
        for name in NAMES:
            await check_refused(deployment, name)
        deployment.service.set_faults(replace(faults, is_silent=False, is_down=False))
        await wait_confirmed(deployment)
        for name in NAMES:
            assert (await deployment.send(name, "/rb/x", key="k1")).status == 200

    run(scenario)


def test_key_withdrawn_while_the_store_is_silent_runs_nowhere_after_the_bound() -> None:
    async def scenario(deployment: Deployment) -> None:
        set_silent(deployment, True)
        deployment.configure(ROUTES, ["b"], [make_tenant("one"), TENANTS[1]])
        withdrawn = asyncio.get_running_loop().time()
        while (sent := asyncio.get_running_loop().time()) < (
            withdrawn + 1.5 * REVOCATION_S
        ):
            answers = [await deployment.send(name, "/rb/x", key="k1") for name in NAMES]
            if sent > withdrawn + REVOCATION_S:
                assert {answer.status for answer in answers} <= {503, 401}
        set_silent(deployment, False)
        await deployment.wait_ready()
        await wait_confirmed(deployment)
        assert (await deployment.send("m0", "/rb/x", key="k1")).status == 401
        assert (await deployment.send("m0", "/rb/x", key="k2")).status == 200

    run(scenario)


def test_node_that_hears_no_confirmation_refuses_keys_alone() -> None:
    async def scenario(deployment: Deployment) -> None:
        follower = await find_follower(deployment)
        sidecar = deployment.machines[follower].sidecar
        sidecar.links.notice_handlers[StateConfirmation] = lambda remote, frame: None
        await wait_refusing(deployment, [follower])
        await check_refused(deployment, follower)
        others = [name for name in NAMES if name != follower]
        for name in others:
            assert (await deployment.send(name, "/rb/x", key="k1")).status == 200
        sidecar.links.notice_handlers[StateConfirmation] = (
            sidecar.confirmations.record_answer
        )
        await wait_confirmed(deployment, [follower])

    run(scenario)


def test_answer_that_was_under_way_for_long_confirms_nothing() -> None:
    async def scenario(deployment: Deployment) -> None:
        sidecar = deployment.machines[await find_follower(deployment)].sidecar
        held: list[Any] = []
        handlers = sidecar.links.notice_handlers
        handlers[StateConfirmation] = lambda remote, frame: held.append((remote, frame))
        await wait_until(lambda: len(held) >= 1)
        policy = sidecar.state.access
        usable_s = get_usable_age_s(REVOCATION_S)
        remote, frame = held[0]
        asked_at = frame.clock_us / 1e6
        await wait_until(lambda: read_boot_time() - asked_at > usable_s)
        sidecar.confirmations.record_answer(remote, frame)
        assert not policy.is_confirmed(now=read_boot_time())
        age_s = policy.confirmation.get_age_s(now=read_boot_time())
        assert age_s is not None
        assert age_s > usable_s

    run(scenario)


def test_restarted_node_refuses_keys_until_it_has_read_the_configuration() -> None:
    async def scenario(deployment: Deployment) -> None:
        set_silent(deployment, True)
        await deployment.restart_node("m1")
        answer = await deployment.send("m1", "/rb/x", key="k1")
        assert answer.status == 503
        set_silent(deployment, False)
        await deployment.wait_ready()
        await wait_confirmed(deployment)
        assert (await deployment.send("m1", "/rb/x", key="k1")).status == 200

    run(scenario)


def test_nodes_go_on_without_strict_revocation() -> None:
    async def scenario(deployment: Deployment) -> None:
        set_silent(deployment, True)
        for name in NAMES:
            assert (await deployment.send(name, "/rb/x", key="k1")).status == 200

    run(scenario, revocation_s=None)


async def ask(deployment: Deployment, count: int, *, key: str) -> Counter[int]:
    """Send requests over all nodes and return the answers' statuses."""
    tenth = len(NAMES) * 10
    statuses: Counter[int] = Counter()
    for first in range(0, count, tenth):
        answers = await asyncio.gather(
            *[
                deployment.send(NAMES[index % len(NAMES)], "/rb/x", key=key)
                for index in range(first, min(first + tenth, count))
            ]
        )
        statuses.update(answer.status for answer in answers)
    return statuses


async def wait_in_touch(deployment: Deployment) -> None:
    """Wait until all nodes hear from the home of their zone."""
    loop = asyncio.get_running_loop()
    gates = [machine.sidecar.quotas.gate for machine in deployment.machines.values()]
    await wait_until(lambda: not any(gate.is_alone(now=loop.time()) for gate in gates))


def test_organisation_over_its_quota_gets_429_and_the_other_is_served() -> None:
    tenants = [
        make_tenant("one", "k1", rate_per_s=8, burst=8),
        make_tenant("two", "k2", rate_per_s=200, burst=200),
    ]

    async def scenario(deployment: Deployment) -> None:
        deployment.configure(ROUTES, ["b"], tenants)
        await deployment.wait_ready()
        await wait_in_touch(deployment)
        loop = asyncio.get_running_loop()
        began = loop.time()
        statuses: Counter[int] = Counter()
        while loop.time() < began + 3.0:
            statuses += await ask(deployment, 30, key="k1")
        elapsed_s = loop.time() - began
        assert set(statuses) == {200, 429}
        # The window's bound for as many seconds as it took, if that is longer.
        bound = (8 * max(5.0, elapsed_s) + 8) * 1.1 + 20
        assert statuses[200] <= bound
        assert (await ask(deployment, 20, key="k2")) == {200: 20}
        answer = next(
            item
            for item in [
                await deployment.send("m0", "/rb/x", key="k1") for _ in range(40)
            ]
            if item.status == 429
        )
        assert float(answer.find(b"retry-after") or b"0") > 0

    run(scenario)


def test_quota_holds_while_its_home_is_lost() -> None:
    tenants = [make_tenant("one", "k1", rate_per_s=8, burst=8)]

    async def scenario(deployment: Deployment) -> None:
        deployment.configure(ROUTES, ["b"], tenants)
        await deployment.wait_ready()
        await wait_in_touch(deployment)
        home = deployment.machines["m0"].sidecar.quotas._find_home()
        deployment.end_node(home)
        others = [name for name in NAMES if name != home]
        loop = asyncio.get_running_loop()
        began = loop.time()
        served = 0
        while loop.time() < began + 3.0:
            answers = await asyncio.gather(
                *[deployment.send(others[i % 2], "/rb/x", key="k1") for i in range(20)]
            )
            served += sum(answer.status == 200 for answer in answers)
        elapsed_s = loop.time() - began
        assert served <= (8 * max(5.0, elapsed_s) + 8) * 1.1 + 20
        # The two that are left are a majority: one of them is the home now.
        gates = [deployment.machines[name].sidecar.quotas.gate for name in others]
        await wait_until(
            lambda: not any(gate.is_alone(now=loop.time()) for gate in gates)
        )

    run(scenario)
