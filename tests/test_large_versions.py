"""Versions and records of any size, up to the limits of the store."""

import asyncio
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentoscale.http.message import LARGE_BODY_BYTES, BodyBuffer
from pimentoscale.platform.store import StoreClient
from pimentoscale.store import Position
from pimentoscale_bench.store_service import (
    KILOBYTE,
    MAX_NEWEST_ITEMS,
    MAX_READ_KB,
    MAX_RECORD_BYTES,
)
from tests.sidecars import Deployment, make_route, run_deployment, wait_until

# The users' bound from the store's acknowledgement of a version to its use, in seconds.
CONFIG_BOUND_S = 2.0
TOPIC = "keyed.some"
START = Position(era=1, offset=0)


def add_routes(deployment: Deployment, count: int) -> None:
    names = [f"route-of-some-customer-{index}" for index in range(count)]
    deployment.configure([make_route(name, "b") for name in ("rb", *names)], ["b"])


@pytest.mark.parametrize("count", [500, 2000, 5000])
def test_version_of_many_routes_is_in_force_in_time(count: int) -> None:
    """One above `LARGE_BODY_BYTES` was lost by every node that read it."""

    async def run() -> None:
        async with run_deployment() as deployment:
            add_routes(deployment, 1)
            services = {"z1": "b", "z2": "b"}
            await deployment.start_zones({"z1": 4, "z2": 3}, services=services)
            loop = asyncio.get_running_loop()
            add_routes(deployment, count)
            began = loop.time()
            await deployment.wait_ready()
            assert loop.time() - began < CONFIG_BOUND_S
            path = f"/route-of-some-customer-{count - 1}/x"
            for name in deployment.machines:
                assert (await deployment.send(name, path)).status == 200

    asyncio.run(run())


def test_node_that_starts_with_a_version_of_many_routes_serves() -> None:
    async def run() -> None:
        async with run_deployment() as deployment:
            add_routes(deployment, 3000)
            for index in range(3):
                await deployment.start_machine(f"m{index}", "b")
            await deployment.wait_ready()
            late = await deployment.start_machine("late", "b")
            await wait_until(lambda: late.sidecar.state.version == deployment.version)
            assert (await deployment.send("late", "/rb/x")).status == 200

    asyncio.run(run())


def test_records_up_to_the_limits_of_the_store_are_read_whole() -> None:
    """Pages of reads and of newest records end within these limits."""
    rng = random.Random(1)
    sizes = [MAX_RECORD_BYTES - 16, 1, 255 * KILOBYTE, 0, 70_000] * 3
    sizes += [rng.randint(0, 400) for _ in range(MAX_NEWEST_ITEMS)]
    expected = {
        f"key-{index}".encode(): rng.randbytes(size) for index, size in enumerate(sizes)
    }
    kept = {key: value for key, value in expected.items() if value}
    assert sum(sizes) > MAX_READ_KB * KILOBYTE
    assert len(kept) > MAX_NEWEST_ITEMS

    async def run() -> None:
        async with run_deployment() as deployment:
            client = StoreClient(address=deployment.store)
            for key, value in expected.items():
                await client.put(topic=TOPIC, key=key, value=value)
            read: dict[bytes, bytes] = {}
            offset = 0
            while offset < len(expected):
                page = await client.read(topic=TOPIC, offset=offset, wait_ms=0)
                assert page.next_offset > offset
                assert page.is_complete == (page.next_offset == len(expected))
                for data in page.records:
                    record = client.decode_keyed(data, position=START)
                    assert type(record.key) is type(record.value) is bytes
                    read[record.key] = record.value
                offset = page.next_offset
            assert read == expected
            newest = await client.read_newest(topic=TOPIC)
            assert {item.key: item.value for item in newest.items} == kept
            client.close()

    asyncio.run(run())


@given(
    sizes=st.lists(
        st.one_of(st.integers(0, 50), st.sampled_from([LARGE_BODY_BYTES, 200_000])),
        max_size=4,
    )
)
def test_body_is_whole_whatever_its_parts(sizes: list[int]) -> None:
    buffer = BodyBuffer()
    parts = [bytes([index]) * size for index, size in enumerate(sizes, start=1)]
    for part in parts:
        buffer.add(part)
    assert buffer.take() == b"".join(parts)
    assert buffer.take() == b""
