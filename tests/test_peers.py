"""Connections of a node to other nodes."""

import asyncio
from collections.abc import Coroutine
from dataclasses import replace
from typing import Any

import msgspec
import pytest

from pimentoscale.membership import Member, MemberState
from pimentoscale.node.node import make_state
from pimentoscale.node.state import make_own_member
from pimentoscale.peering.peers import IDLE_CLOSE_S, Lane, PeerPool
from pimentoscale.policy import get_policy
from pimentoscale.settings import Address, NodeSettings
from pimentoscale.stream import Connection, Listener, PeerUnreachableError
from tests.test_settings import make_document

HOST = "127.251.1.1"


def make_book() -> PeerPool:
    settings = msgspec.convert(make_document(), NodeSettings)
    mode = get_policy("adaptive")
    assert mode is not None
    state = make_state(settings, mode)
    return PeerPool(state=state, feed=state.feed)


def make_member(book: PeerPool, port: int, incarnation: int) -> Member:
    settings = msgspec.convert(make_document(), NodeSettings)
    member = make_own_member(
        settings=settings, incarnation=incarnation, slots=1, state=MemberState.ALIVE
    )
    return replace(member, stream=Address(host=HOST, port=port))


def run_with_server(check: Any) -> None:
    """Run a check beside a server that greets, as itself, whoever connects."""

    async def run() -> None:
        book = make_book()
        hello = book.greet()

        async def greet(connection: Connection) -> None:
            await connection.exchange_hello(hello=hello)
            await connection.run(lambda _: connection.send(book.build_heartbeat()))
            connection.close()

        server = Listener(accept=greet)
        await server.start(Address(host=HOST, port=0), backlog=8)
        port = server.port
        member = make_member(book, port, hello.incarnation)
        step: Coroutine[Any, Any, None] = check(book, member)
        try:
            await step
        finally:
            book.close_all()
            server.close()

    asyncio.run(run())


def test_idle_connection_is_closed_and_opened_again() -> None:
    async def check(book: PeerPool, member: Member) -> None:
        await book.wait_up(member, Lane.SHORT)
        control = await book.wait_up(member, Lane.CONTROL)
        now = asyncio.get_running_loop().time()
        assert book.close_idle(now=now + IDLE_CLOSE_S - 1) == 0
        assert book.close_idle(now=now + IDLE_CLOSE_S + 1) == 1
        assert book.count_up() == 1
        assert control.is_up
        assert (await book.wait_up(member, Lane.SHORT)).is_up

    run_with_server(check)


def test_closing_an_idle_connection_says_nothing_about_the_target() -> None:
    async def check(book: PeerPool, member: Member) -> None:
        await book.wait_up(member, Lane.SHORT)
        found: list[str | None] = []
        book.down_watchers.append(lambda peer: found.append(book.find_instance(peer)))
        now = asyncio.get_running_loop().time()
        book.close_idle(now=now + IDLE_CLOSE_S + 1)
        assert found == [None]

    run_with_server(check)


def test_other_incarnation_is_not_taken_for_the_member() -> None:
    async def check(book: PeerPool, member: Member) -> None:
        later = replace(member, incarnation=member.incarnation + 1)
        with pytest.raises(PeerUnreachableError):
            await book.wait_up(later, Lane.SHORT)

    run_with_server(check)
