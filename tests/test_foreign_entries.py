"""Entries that another program has written: they are skipped, and the others hold."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from pimentoscale.decoding import MAX_INTEGER
from pimentoscale.http import (
    HttpClient,
    NotConnectedError,
)
from pimentoscale.membership import Member, MemberState
from pimentoscale.membership.directory import Directory
from pimentoscale.membership.member import decode_member, decode_roster, encode_member
from pimentoscale.peering.overlay import Overlay
from pimentoscale.settings import Address
from pimentoscale.stream import Announcements
from pimentoscale.stream.codec import FrameError, decode_frame
from pimentoscale.stream.connection import connect
from pimentoscale.stream.frames import FRAMES
from tests.sidecars import Deployment, make_route, run_deployment, wait_until

MEMBERS = "keyed.members"
ADDRESS = Address(host="10.0.0.9", port=9000)
# Deep enough to exceed every limit of recursion.
DEPTH = 100_000
DEEP_MSGPACK = b"\x91" * DEPTH

Scenario = Callable[[Deployment], Awaitable[None]]


def make_member(**changes: Any) -> Member:
    member = Member(
        instance="odd",
        incarnation=1,
        sequence=1,
        state=MemberState.ALIVE,
        zone="z1",
        service="b",
        slots=4,
        http=ADDRESS,
        stream=ADDRESS,
    )
    return replace(member, **changes)


def encode_fields(**changes: Any) -> bytes:
    """Return an encoded member with some fields changed; those of None are missing."""
    fields = msgspec.to_builtins(make_member()) | changes
    kept = {name: value for name, value in fields.items() if value is not None}
    return msgspec.msgpack.encode(kept)


def make_record(key: bytes, value: bytes) -> bytes:
    return bytes((len(key),)) + key + value


BAD_MEMBERS = {
    "nested": b"\x81\xa1x" + DEEP_MSGPACK,
    "not a map": DEEP_MSGPACK,
    "slots": encode_fields(slots=2**64 - 1),
    "no slots": encode_fields(slots=0),
    "negative": encode_fields(slots=-1),
    "sequence": encode_fields(sequence=2**64 - 1),
    "incarnation": encode_fields(incarnation=2**64 - 1),
    "port": encode_fields(stream={"host": "10.0.0.9", "port": 70_000}),
    "no port": encode_fields(http={"host": "10.0.0.9", "port": 0}),
    "host": encode_fields(stream={"host": "1..2", "port": 9000}),
    "long host": encode_fields(stream={"host": "1" * 300, "port": 9000}),
    "instance": encode_fields(instance=""),
    "long instance": encode_fields(instance="x" * 256),
    "state": encode_fields(state="resting"),
    "type": encode_fields(zone=7),
    "missing": encode_fields(zone=None),
    "not UTF-8": encode_member(make_member()).replace(b"odd", b"\xff\xfe\xfd"),
    "cut": encode_member(make_member())[:-5],
    "text": b"odd",
}


@pytest.mark.parametrize("name", BAD_MEMBERS)
def test_member_that_names_nothing_to_use_is_refused(name: str) -> None:
    data = BAD_MEMBERS[name]
    assert isinstance(decode_member(data), Err)
    assert isinstance(decode_roster(b"\x91" + data), Err)


def test_reason_of_a_refusal_is_short() -> None:
    refused = decode_member(encode_fields(state="x" * 100_000))
    assert isinstance(refused, Err)
    assert len(refused.err_value) <= 200


@given(data=st.binary(max_size=200), number=st.integers(-(2**63), 2**64 - 1))
def test_every_accepted_member_can_be_encoded(data: bytes, number: int) -> None:
    for encoded in (
        data,
        encode_fields(slots=number),
        encode_fields(sequence=number),
        encode_fields(incarnation=number),
    ):
        match decode_member(encoded):
            case Ok(member):
                assert decode_member(encode_member(member)) == Ok(member)
                later = replace(member, sequence=member.sequence + 1)
                assert encode_member(later)
            case Err(reason):
                assert reason


@pytest.mark.parametrize("code", FRAMES)
@pytest.mark.parametrize(
    "data", [DEEP_MSGPACK, b"\x81\xa1x" + DEEP_MSGPACK, b"\xdd\xff\xff\xff\xff", b""]
)
def test_frame_that_cannot_be_decoded_is_a_frame_error(code: int, data: bytes) -> None:
    with pytest.raises(FrameError):
        decode_frame(code, data)


def run_zone(scenario: Scenario, *, machines: int = 3) -> None:
    """Run a scenario in one zone whose nodes are ready and follow the store."""

    async def run() -> None:
        async with run_deployment() as deployment:
            deployment.configure([make_route("rb", "b")], ["b"])
            for index in range(machines):
                await deployment.start_machine(f"m{index}", "b")
            await deployment.wait_ready()
            await scenario(deployment)

    asyncio.run(run())


async def check_all_follow(deployment: Deployment, *, marker: str) -> None:
    """Check that all nodes apply what comes next, and serve requests.

    `marker` names a member of another zone that was registered beside the bad entry.
    """
    nodes = [machine.sidecar for machine in deployment.machines.values()]
    await wait_until(lambda: all(marker in node.state.members for node in nodes))
    deployment.configure([make_route("rb", "b"), make_route("more", "b")], ["b"])
    await wait_until(
        lambda: all(node.state.version == deployment.version for node in nodes)
    )
    for name in deployment.machines:
        assert (await deployment.send(name, "/more/x")).status == 200
    # The watchers, the publication and the timer.
    assert all(len(node._tasks) == 4 for node in nodes)


def append_beside_marker(deployment: Deployment, record: bytes, marker: str) -> None:
    """Append a record and, in the same call, a member of another zone after it."""
    member = make_member(instance=marker, zone="z9", service="c")
    good = make_record(marker.encode(), encode_member(member))
    deployment.service.append(MEMBERS, [record, good], at=None, now=0.0)


@pytest.mark.parametrize("name", BAD_MEMBERS)
def test_nodes_follow_the_store_past_a_bad_member(name: str) -> None:
    async def scenario(deployment: Deployment) -> None:
        record = make_record(b"odd", BAD_MEMBERS[name])
        append_beside_marker(deployment, record, "good")
        await check_all_follow(deployment, marker="good")
        late = await deployment.start_machine("late", "b")
        await wait_until(lambda: "good" in late.sidecar.state.members)
        for machine in deployment.machines.values():
            assert "odd" not in machine.sidecar.state.members
        # Each node still writes its own record.
        assert await deployment.machines["m1"].target.deregister() == 200
        others = [deployment.machines[item].sidecar for item in ("m0", "m2", "late")]
        await wait_until(lambda: all("m1" not in item.state.members for item in others))

    run_zone(scenario)


@pytest.mark.parametrize(
    ("host", "is_address"),
    [
        ("10.0.0.1", True),
        ("::1", True),
        ("fe80::1:2", True),
        ("::ffff:10.0.0.1", True),
        ("1..2", False),
        ("1.2.3", False),
        ("abc", False),
        (":1..2", False),
        ("10.0.0.1\n", False),
        ("", False),
    ],
)
def test_host_is_an_address(host: str, is_address: bool) -> None:
    data = encode_fields(stream={"host": host, "port": 9000})
    assert isinstance(decode_member(data), Ok) == is_address


@pytest.mark.parametrize("host", ["1..2", "1" * 300, "::1::"])
def test_connection_to_no_address_fails_without_an_unexpected_error(host: str) -> None:
    async def run() -> None:
        address = Address(host=host, port=80)
        with pytest.raises(OSError, match=r"\S"):
            await connect(address)
        with pytest.raises(NotConnectedError):
            await HttpClient(address=address, limit=1).acquire(now=0.0)

    asyncio.run(run())


@pytest.mark.parametrize(
    "changes", [{"sequence": MAX_INTEGER}, {"sequence": 2, "incarnation": MAX_INTEGER}]
)
def test_announcement_of_the_own_node_is_refuted_if_others_can_accept_that(
    changes: dict[str, int],
) -> None:
    async def run() -> None:
        own = make_member(instance="own")
        state = SimpleNamespace(
            own=own,
            directory=Directory(),
            metrics=SimpleNamespace(count=lambda name: None),
            record=lambda name, detail: None,
        )
        peers = SimpleNamespace(
            up_watchers=[],
            down_watchers=[],
            draining_watchers=[],
            announcement_watchers=[],
        )
        overlay = Overlay(state=state, peers=peers)  # type: ignore[arg-type]
        sent: list[Member] = []
        overlay.own_watchers.append(sent.append)
        foreign = replace(own, state=MemberState.GONE, **changes)  # type: ignore[arg-type]
        overlay.handle_announcements(
            Announcements(members=[BAD_MEMBERS["nested"], encode_member(foreign)]), None
        )
        for member in sent:
            assert decode_member(encode_member(member)) == Ok(member)
        overlay.handle_announcements(
            Announcements(members=[encode_member(make_member())]), None
        )
        assert state.directory.find(instance="odd") is not None

    asyncio.run(run())
