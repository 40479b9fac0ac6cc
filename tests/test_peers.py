"""Tests of the pool of connections that a node opens to other nodes."""

import asyncio
from collections.abc import Coroutine
from dataclasses import replace
from typing import Any

import msgspec
import pytest

from pimentoscale.membership import Member, MemberState
from pimentoscale.node.node import make_state
from pimentoscale.node.state import make_own_member
from pimentoscale.peering.peers import IDLE_TIMEOUT_S, PeerPool, TrafficClass
from pimentoscale.policy import get_policy
from pimentoscale.settings import Address, NodeSettings
from pimentoscale.stream import Connection, Listener, PeerUnreachableError
from tests.addresses import HOST
from tests.test_settings import make_document


def make_pool() -> PeerPool:
    settings = msgspec.convert(make_document(), NodeSettings)
    algorithms = get_policy("adaptive")
    assert algorithms is not None
    state = make_state(settings, algorithms)
    return PeerPool(state=state, replica=state.replica)


def make_member(pool: PeerPool, port: int, incarnation: int) -> Member:
    settings = msgspec.convert(make_document(), NodeSettings)
    member = make_own_member(
        settings=settings, incarnation=incarnation, slots=1, state=MemberState.ALIVE
    )
    return replace(member, stream=Address(host=HOST, port=port))


def run_with_server(check: Any) -> None:
    """Run a check with a server that sends the pool's own hello to each connection.

    So a member with the pool's incarnation is reached, and any other is not.
    """

    async def run() -> None:
        pool = make_pool()
        hello = pool.build_hello()

        async def serve(connection: Connection) -> None:
            await connection.exchange_hello(hello=hello)
            await connection.run(lambda _: connection.send(pool.build_heartbeat()))
            connection.close()

        server = Listener(accept=serve)
        await server.start(Address(host=HOST, port=0), backlog=8)
        port = server.port
        member = make_member(pool, port, hello.incarnation)
        step: Coroutine[Any, Any, None] = check(pool, member)
        try:
            await step
        finally:
            pool.close_all()
            server.close()

    asyncio.run(run())


def test_idle_connection_is_closed_and_opened_again() -> None:
    async def check(pool: PeerPool, member: Member) -> None:
        await pool.wait_up(member, TrafficClass.SHORT)
        control = await pool.wait_up(member, TrafficClass.CONTROL)
        now = asyncio.get_running_loop().time()
        assert pool.close_idle(now=now + IDLE_TIMEOUT_S - 1) == 0
        assert pool.close_idle(now=now + IDLE_TIMEOUT_S + 1) == 1
        assert pool.count_up() == 1
        assert control.is_up
        assert (await pool.wait_up(member, TrafficClass.SHORT)).is_up

    run_with_server(check)


def test_closing_an_idle_connection_does_not_report_the_target_as_lost() -> None:
    async def check(pool: PeerPool, member: Member) -> None:
        await pool.wait_up(member, TrafficClass.SHORT)
        lost: list[str | None] = []
        pool.down_watchers.append(lambda peer: lost.append(pool.find_instance(peer)))
        now = asyncio.get_running_loop().time()
        pool.close_idle(now=now + IDLE_TIMEOUT_S + 1)
        assert lost == [None]

    run_with_server(check)


def test_node_of_another_incarnation_is_unreachable() -> None:
    async def check(pool: PeerPool, member: Member) -> None:
        later = replace(member, incarnation=member.incarnation + 1)
        with pytest.raises(PeerUnreachableError):
            await pool.wait_up(later, TrafficClass.SHORT)

    run_with_server(check)


@pytest.mark.parametrize("turns", range(4))
def test_peer_that_is_stopped_while_its_connection_is_lost_ends(turns: int) -> None:
    async def check(pool: PeerPool, member: Member) -> None:
        peer = await pool.wait_up(member, TrafficClass.SHORT)
        connection, task = peer._connection, peer._task
        assert connection is not None and task is not None
        connection.connection_lost(ConnectionResetError())
        for _ in range(turns):
            await asyncio.sleep(0)
        peer.stop()
        await asyncio.wait([task], timeout=1.0)
        assert task.cancelled()

    run_with_server(check)
