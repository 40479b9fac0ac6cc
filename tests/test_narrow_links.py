"""Frames that take longer on a narrow link than an answer may take to begin."""

import asyncio
import gc
import tracemalloc
from collections.abc import Awaitable, Callable

import pytest

from pimentoscale.forwarding.routes import FETCH_RECEIVING_S, FETCH_TIMEOUT_S
from pimentoscale.forwarding.sources import SILENT_S
from pimentoscale.settings import Address
from pimentoscale.stream import (
    Connection,
    FetchRoutes,
    Frame,
    Listener,
    Peer,
    PeerLostError,
    RoutesRecord,
)
from pimentoscale.stream.codec import encode_frame
from pimentoscale.stream.connection import RECEIVING_S
from pimentoscale.stream.frames import PROTOCOL_VERSION, Hello
from tests.addresses import HOST
from tests.sidecars import wait_until
from tests.test_peers import make_pool
from tests.test_relay import ZONE, list_others, list_readers, make_selection

DATA = bytes(1_000_000)
PARTS = 8


def run_fetch(
    check: Callable[[Peer], Awaitable[None]], *, part_s: float, parts: int
) -> None:
    """Run a check of a fetch whose answer arrives in parts, perhaps not all."""
    hello = Hello(protocol=PROTOCOL_VERSION, instance="n", incarnation=1, zone="z")

    async def run() -> None:
        sending: list[asyncio.Task[None]] = []

        async def serve(connection: Connection) -> None:
            await connection.exchange_hello(hello=hello)

            def answer(frame: Frame) -> None:
                if isinstance(frame, FetchRoutes):
                    reply = RoutesRecord(query=frame.query, data=DATA)
                    sending.append(asyncio.create_task(send_parts(connection, reply)))

            await connection.run(answer)

        async def send_parts(connection: Connection, reply: Frame) -> None:
            data = encode_frame(reply)
            size = len(data) // PARTS + 1
            assert connection._transport is not None
            for index in range(parts):
                connection._transport.write(data[index * size : (index + 1) * size])
                await asyncio.sleep(part_s)

        server = Listener(accept=serve)
        await server.start(Address(host=HOST, port=0), backlog=8)
        pool = make_pool()
        peer = Peer(
            address=Address(host=HOST, port=server.port),
            hello=lambda: hello,
            observer=pool,
        )
        peer.start()
        await wait_until(lambda: peer.is_up)
        try:
            await check(peer)
        finally:
            peer.stop()
            server.close()

    asyncio.run(run())


async def fetch(peer: Peer) -> Frame:
    return await peer.query(
        FetchRoutes(query=0),
        timeout_s=FETCH_TIMEOUT_S,
        receiving_s=FETCH_RECEIVING_S,
    )


def test_fetch_is_not_given_up_while_its_answer_arrives() -> None:
    part_s = 2 * FETCH_TIMEOUT_S / PARTS

    async def check(peer: Peer) -> None:
        answer = await fetch(peer)
        assert isinstance(answer, RoutesRecord)
        assert answer.data == DATA

    run_fetch(check, part_s=part_s, parts=PARTS)


def test_fetch_whose_answer_stops_halfway_is_given_up_soon() -> None:
    async def check(peer: Peer) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        with pytest.raises(PeerLostError):
            await fetch(peer)
        # The parts end at once; the last check may come just before the pause is over.
        assert loop.time() - began < FETCH_TIMEOUT_S + 2 * RECEIVING_S

    run_fetch(check, part_s=0.0, parts=PARTS - 1)


def test_answers_that_were_taken_stay_nowhere_without_the_collector() -> None:
    async def check(peer: Peer) -> None:
        gc.disable()
        tracemalloc.start()
        try:
            for _ in range(8):
                await fetch(peer)
            held, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
            gc.enable()
        # The sender and the receiver may each hold one.
        assert held < 3 * len(DATA)

    run_fetch(check, part_s=0.0, parts=PARTS)


def test_source_whose_message_arrives_in_parts_is_not_replaced() -> None:
    follower = next(name for name in ZONE if name not in list_readers(ZONE))
    selection = make_selection(follower)
    others = list_others(follower)
    source = selection.choose(others, known=len(others), now=0.0).node
    assert source is not None
    selection.record_status(source, age_s=0.1, now=0.0)
    now = 0.0
    while now < 2 * SILENT_S:
        now += 0.25
        selection.record_receiving(source, now=now)
        assert selection.choose(others, known=len(others), now=now).node == source
