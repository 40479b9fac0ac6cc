"""Large bodies between nodes: sent once the other node has room for them."""

import asyncio
from collections.abc import Awaitable, Callable

from pimentoscale.forwarding.reservations import LARGE_BODY_BYTES, BodyReservations
from pimentoscale.memory import Holding, MemoryAccount
from pimentoscale.memory.account import COPIES
from tests.sidecars import Deployment, make_route, run_deployment, wait_until

SIZE = 2 * LARGE_BODY_BYTES
Scenario = Callable[[Deployment], Awaitable[None]]


def run(scenario: Scenario) -> None:
    async def main() -> None:
        async with run_deployment() as deployment:
            routes = [make_route("up", "b", kind="upload"), make_route("other", "c")]
            deployment.configure(routes, ["b", "c"], body_bytes=4 * SIZE)
            await deployment.start_machine("entry", "c")
            await deployment.start_machine("beside", "b")
            await deployment.wait_ready()
            await scenario(deployment)

    asyncio.run(main())


def test_large_upload_passes_to_another_node_whole_and_runs_once() -> None:
    async def scenario(deployment: Deployment) -> None:
        body = bytes(range(256)) * (SIZE // 256)
        answer = await deployment.send(
            "entry", "/up/x", method=b"POST", body=body, identity="one"
        )
        assert answer.status == 200
        assert answer.body.endswith(body)
        assert deployment.count_runs() == {"one": 1}
        account = deployment.machines["beside"].sidecar.account
        await wait_until(lambda: account.held == 0)

    run(scenario)


def test_large_upload_is_refused_truly_if_the_other_node_has_no_room() -> None:
    async def scenario(deployment: Deployment) -> None:
        account = deployment.machines["beside"].sidecar.account
        # An announcement that is arriving counts in the account as well.
        deployment.machines["beside"].target.stop_announcing()
        await wait_until(lambda: account.held == 0)
        account.capacity = SIZE
        answer = await deployment.send(
            "entry", "/up/x", method=b"POST", body=b"x" * SIZE, identity="one"
        )
        assert answer.status == 503
        assert float(answer.find(b"retry-after") or b"0") > 0
        assert deployment.count_runs() == {}
        assert account.held == 0
        # The refusal is known to the entry node for a moment.
        view = deployment.machines["entry"].sidecar.views.find("beside")
        assert view is not None
        view.refused_until.clear()
        small = await deployment.send("entry", "/up/x", method=b"POST", body=b"x")
        assert small.status == 200

    run(scenario)


def test_reserved_room_is_taken_by_its_body_or_released() -> None:
    async def scenario() -> None:
        account = MemoryAccount(capacity=COPIES * SIZE)
        reservations = BodyReservations(account=account)
        assert not reservations.reserve(-1)
        assert reservations.reserve(SIZE)
        assert not reservations.reserve(SIZE)
        assert reservations.take(SIZE - 1) is None
        holding = reservations.take(SIZE)
        assert isinstance(holding, Holding)
        account.release(holding)
        assert reservations.reserve(SIZE)
        reservations.close()
        assert account.held == 0

    asyncio.run(scenario())
