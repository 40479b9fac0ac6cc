"""Entries that another program has written: they are skipped, and the others hold."""

import asyncio
import base64
import json
import random
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from pimentoscale.configuration import (
    ConfigurationReplica,
    Consent,
    Patch,
    PatchRecord,
    SnapshotRecord,
    encode_record,
    read_patch,
)
from pimentoscale.configuration.fold import compute_digest
from pimentoscale.decoding import MAX_INTEGER
from pimentoscale.distribution import log_tasks
from pimentoscale.distribution.log_tasks import LogTasks
from pimentoscale.http import (
    HttpClient,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    NotConnectedError,
)
from pimentoscale.membership import Member, MemberState
from pimentoscale.membership.directory import Directory
from pimentoscale.membership.member import decode_member, decode_roster, encode_member
from pimentoscale.metrics import Metrics
from pimentoscale.peering.overlay import Overlay
from pimentoscale.platform.announcement import decode_announcement, decode_identity
from pimentoscale.platform.configuration import decode_configuration
from pimentoscale.platform.settings import decode_settings
from pimentoscale.platform.store import StoreClient
from pimentoscale.settings import Address, read_node_settings
from pimentoscale.store import (
    NewestPage,
    Position,
    RecordPage,
    StoreError,
    TopicReplica,
    TopicWatcher,
    watch,
)
from pimentoscale.stream import Announcements
from pimentoscale.stream.codec import FrameError, decode_frame
from pimentoscale.stream.connection import connect
from pimentoscale.stream.frames import FRAMES
from tests.addresses import HOST
from tests.replicas import receive
from tests.sidecars import Deployment, make_route, run_one_zone, wait_until
from tests.test_platform import SETTINGS, make_announcement, make_configuration

MEMBERS = "keyed.members"
ADDRESS = Address(host="10.0.0.9", port=9000)
# Deep enough to exceed every limit of recursion.
DEPTH = 100_000
DEEP_MSGPACK = b"\x91" * DEPTH
DEEP_JSON = b"[" * DEPTH
PATH = b"/v1/instances/i-1"

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


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("slots", 10**30),
        ("slots", 2**63),
        ("slots", 1_000_001),
        ("slots", 1e30),
        ("sequence", 10**30),
        ("sequence", 2**63),
        ("born", 10**30),
        ("born", 2**63),
        ("born", MAX_INTEGER // 1_000_000),
        ("cold_remaining_s", 1e30),
        ("cold_remaining_s", 10**30),
        ("address", "10.1.0.8:70000"),
        ("address", "10.1.0.8:" + "9" * 200),
        ("address", "1..2:80"),
        ("address", ":80"),
        ("state", "resting"),
        ("service", 7),
        ("zone", None),
    ],
)
def test_announcement_out_of_range_is_refused(field: str, value: Any) -> None:
    body = make_announcement(**{field: value})
    assert isinstance(decode_announcement(path=PATH, body=body), Err)


BAD_BODIES = {
    "nested": b'{"x":' + DEEP_JSON,
    "nested beside fields": make_announcement()[:-1]
    + b',"x":'
    + b"[" * 10_000
    + b"]" * 10_000
    + b"}",
    "infinite": make_announcement(slots=1).replace(b'"slots": 1', b'"slots": 1e400'),
    "digits": make_announcement(slots=1).replace(
        b'"slots": 1', b'"slots": 1' + b"0" * 9000
    ),
    "not UTF-8": make_announcement(service="odd").replace(b"odd", b"\xff\xfe"),
    "surrogate": make_announcement(service="odd").replace(b"odd", b"\\ud800"),
    "empty": b"",
}


@pytest.mark.parametrize("name", BAD_BODIES)
def test_announcement_that_cannot_be_read_is_refused(name: str) -> None:
    assert isinstance(decode_announcement(path=PATH, body=BAD_BODIES[name]), Err)


@given(
    slots=st.integers(),
    sequence=st.integers(),
    born=st.integers(),
    cold=st.floats(allow_nan=False, allow_infinity=False) | st.integers(),
)
def test_every_accepted_announcement_fits_a_member_record(
    slots: int, sequence: int, born: int, cold: float
) -> None:
    body = make_announcement(
        slots=slots, sequence=sequence, born=born, cold_remaining_s=cold
    )
    match decode_announcement(path=PATH, body=body):
        case Ok(found):
            member = make_member(slots=found.slots, sequence=found.serial)
            assert decode_member(encode_member(member)) == Ok(member)
        case Err(reason):
            assert reason


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("services", 0, "max_connections"), 10**400),
        (("limits", "header_bytes"), 10**400),
        (("limits", "body_bytes"), 2**63),
        (("hosts", 0, "paths", 0, "traffic_split", 0, "weight"), 10**400),
        (("hosts", 0, "paths", 0, "max_attempts"), 2**63),
        (("hosts", 0, "paths", 0, "priority"), 10**400),
        (("version",), "-000000c"),
        (("version",), " 000000c"),
        (("version",), "0_00000c"),
    ],
)
def test_configuration_out_of_range_is_refused(
    path: tuple[Any, ...], value: Any
) -> None:
    configuration = make_configuration()
    entry: Any = configuration
    for key in path[:-1]:
        entry = entry[key]
    entry[path[-1]] = value
    assert isinstance(decode_configuration(json.dumps(configuration).encode()), Err)


def make_item(key: str, value: bytes, offset: int) -> dict[str, Any]:
    return {
        "key": key,
        "value": base64.b64encode(value).decode(),
        "offset": offset,
    }


def read_newest_keys(body: bytes) -> list[bytes]:
    """Return the keys that a client reads from one page of the store."""

    async def answer(request: HttpRequest) -> HttpResponse:
        return HttpResponse(status=200, body=body)

    async def run() -> list[bytes]:
        server = HttpServer(handler=answer, limits=HttpLimits())
        await server.start(host=HOST, port=0)
        client = StoreClient(address=Address(host=HOST, port=server.port))
        try:
            page = await client.read_newest(topic=MEMBERS)
        finally:
            client.close()
            server.close()
        next_offset = page.next_position.offset
        assert all(0 <= item.position.offset < next_offset for item in page.items)
        return [item.key for item in page.items]

    return asyncio.run(run())


@pytest.mark.parametrize(
    "item",
    [
        {"key": "odd", "value": "ሴ", "offset": 1},
        {"key": "odd", "value": "a", "offset": 1},
        {"key": "odd", "value": None, "offset": 1},
        {"key": 7, "value": "", "offset": 1},
        {"key": "odd", "value": "", "offset": -1},
        {"key": "odd", "value": "", "offset": 2**70},
        {"key": "odd", "value": "", "offset": "1"},
        {"key": "odd", "value": ""},
        {"key": "", "value": "", "offset": 1},
        {"key": "\ud800", "value": "", "offset": 1},
        {"key": "x" * 256, "value": "", "offset": 1},
        # Appended after the end of the page was determined: it is read again.
        {"key": "odd", "value": "", "offset": 3},
        7,
        None,
    ],
)
def test_item_that_cannot_be_read_does_not_hide_the_others(item: Any) -> None:
    items = [make_item("a", b"1", 0), item, make_item("z", b"2", 2)]
    page = {"items": items, "has_more": False, "end_offset": 3}
    assert read_newest_keys(json.dumps(page).encode()) == [b"a", b"z"]


def test_key_that_is_not_utf_8_is_read_as_bytes() -> None:
    items = [make_item("a", b"1", 0), make_item("\udcff", b"1", 1)]
    page = {"items": items, "has_more": False, "end_offset": 3}
    assert read_newest_keys(json.dumps(page).encode()) == [b"a", b"\xff"]
    raw = json.dumps(page).encode().replace(rb"\udcff", b"\xff")
    assert read_newest_keys(raw) == [b"a", b"\xff"]


@pytest.mark.parametrize(
    "body",
    [
        DEEP_JSON,
        b'{"x":' + DEEP_JSON,
        b'{"items":[' + DEEP_JSON,
        b'{"items":[],"has_more":false,"end_offset":1e400}',
        b'{"items":[],"has_more":false,"end_offset":' + b"9" * 5000 + b"}",
        b'{"items":[],"has_more":false,"end_offset":-1}',
        b'{"items":[],"has_more":false,"end_offset":18446744073709551616}',
        b'{"items":{},"has_more":false,"end_offset":1}',
        b"\xff",
        b"",
    ],
)
def test_answer_of_the_store_that_cannot_be_read_is_a_store_error(body: bytes) -> None:
    with pytest.raises(StoreError):
        read_newest_keys(body)


def test_record_without_a_key_is_a_store_error() -> None:
    client = StoreClient(address=ADDRESS)
    for data in (b"", b"\x00", b"\x00value", b"\x05odd"):
        with pytest.raises(StoreError):
            client.decode_keyed(data, position=Position(era=1, offset=1))


@pytest.mark.parametrize(
    "body", [b'{"first_offset":' + DEEP_JSON, b'{"x":' + DEEP_JSON]
)
def test_lost_records_with_an_odd_answer_are_a_store_error(body: bytes) -> None:
    async def answer(request: HttpRequest) -> HttpResponse:
        return HttpResponse(status=410, body=body)

    async def run() -> None:
        server = HttpServer(handler=answer, limits=HttpLimits())
        await server.start(host=HOST, port=0)
        client = StoreClient(address=Address(host=HOST, port=server.port))
        try:
            with pytest.raises(StoreError):
                await client.read(topic=MEMBERS, offset=0, wait_ms=0)
        finally:
            client.close()
            server.close()

    asyncio.run(run())


def run_zone(scenario: Scenario, *, machines: int = 3) -> None:
    """Run a scenario in one zone whose nodes are ready and follow the store."""

    async def run() -> None:
        async with run_one_zone(machines=machines) as deployment:
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
    # The watchers, the publication, the quotas and the timer; one that shares a caller
    # route ends.
    await wait_until(lambda: all(len(node._tasks) == 5 for node in nodes))


def append_beside_marker(deployment: Deployment, record: bytes, marker: str) -> None:
    """Append a record and, in the same call, a member of another zone after it."""
    member = make_member(instance=marker, zone="z9", service="c")
    good = make_record(marker.encode(), encode_member(member))
    now = asyncio.get_running_loop().time()
    deployment.service.append(MEMBERS, [record, good], at=None, now=now)


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
    "record",
    [
        make_record(b"", encode_member(make_member())),
        make_record(b"", b""),
        b"",
        b"\x05odd",
        make_record(b"callers-route/\xff\xfe", b"1"),
        make_record(b"callers-route/", b"1"),
    ],
)
def test_nodes_follow_the_store_past_a_bad_key(record: bytes) -> None:
    async def scenario(deployment: Deployment) -> None:
        if record:
            append_beside_marker(deployment, record, "good")
        else:
            partition = deployment.service._topics[MEMBERS]
            partition.records.append(record)
            partition.appended_at.append(partition.appended_at[-1])
            append_beside_marker(deployment, make_record(b"x", b""), "good")
        await check_all_follow(deployment, marker="good")
        late = await deployment.start_machine("late", "b")
        await wait_until(lambda: "good" in late.sidecar.state.members)

    run_zone(scenario)


@pytest.mark.parametrize(
    "value",
    [
        b'{"x":' + DEEP_JSON,
        DEEP_JSON,
        b'{"version":1e400}',
        b"\xff",
        b"{}",
    ],
)
def test_nodes_follow_the_store_past_a_bad_configuration(value: bytes) -> None:
    async def scenario(deployment: Deployment) -> None:
        deployment.write(value)
        append_beside_marker(deployment, make_record(b"x", b""), "good")
        await check_all_follow(deployment, marker="good")

    run_zone(scenario)


def test_failed_handling_of_a_record_keeps_the_others_of_its_batch(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        for machine in deployment.machines.values():
            handlers = machine.sidecar.relay._handlers
            apply_record = handlers[MEMBERS]

            def fail_on_odd(record: Any, apply: Any = apply_record) -> None:
                if record.key == b"odd":
                    raise RuntimeError("unexpected")
                apply(record)

            handlers[MEMBERS] = fail_on_odd
        record = make_record(b"odd", encode_member(make_member()))
        append_beside_marker(deployment, record, "good")
        await check_all_follow(deployment, marker="good")
        end = deployment.service.get_end(MEMBERS)
        replicas = [
            machine.sidecar.relay.replicas[MEMBERS]
            for machine in deployment.machines.values()
        ]
        await wait_until(lambda: all(get_end(item) == end for item in replicas))

    run_zone(scenario)
    assert sum("not applied" in item.getMessage() for item in caplog.records) == 3


BAD_OWN_VALUES = {
    "deleted": b"",
    "nested": BAD_MEMBERS["nested"],
    "another": encode_member(make_member(instance="m2")),
}


@pytest.mark.parametrize("name", BAD_OWN_VALUES)
def test_own_record_that_another_writer_replaced_is_written_again(name: str) -> None:
    async def scenario(deployment: Deployment) -> None:
        record = make_record(b"m1", BAD_OWN_VALUES[name])
        before = deployment.service.get_end(MEMBERS)
        append_beside_marker(deployment, record, "good")
        await wait_until(lambda: deployment.service.get_end(MEMBERS) > before + 2)
        await check_all_follow(deployment, marker="good")
        nodes = [machine.sidecar for machine in deployment.machines.values()]
        await wait_until(
            lambda: all(
                node.views.find(item) is not None
                for node in nodes
                for item in ("m0", "m1", "m2")
            )
        )
        late = await deployment.start_machine("late", "b")
        await wait_until(lambda: late.sidecar.views.find("m1") is not None)
        assert late.sidecar.state.members["m1"].stream == (
            deployment.machines["m1"].settings.stream
        )

    run_zone(scenario)


def test_record_of_a_member_counts_only_under_its_own_key() -> None:
    async def scenario(deployment: Deployment) -> None:
        gone = make_member(instance="m1", state=MemberState.GONE, sequence=MAX_INTEGER)
        append_beside_marker(
            deployment, make_record(b"odd", encode_member(gone)), "good"
        )
        await check_all_follow(deployment, marker="good")
        for machine in deployment.machines.values():
            assert machine.sidecar.views.find("m1") is not None

    run_zone(scenario)


async def put(machine: Any, body: bytes) -> int:
    """Send an announcement to a node and return the status of the answer."""
    client = HttpClient(address=machine.settings.announcements, limit=1)
    connection = await client.acquire(now=asyncio.get_running_loop().time())
    path = f"/v1/instances/{machine.target.identity}".encode()
    request = HttpRequest(
        method=b"PUT", path=path, headers=[(b"host", b"h")], body=body
    )
    try:
        async with asyncio.timeout(2.0):
            return (await connection.exchange(request)).status
    finally:
        connection.close()


def make_own_announcement(machine: Any, **changes: Any) -> bytes:
    fields: dict[str, Any] = {
        "service": machine.target.service,
        "address": str(machine.settings.upstream),
        "zone": "z1",
    }
    return make_announcement(**(fields | changes))


@pytest.mark.parametrize(
    "change",
    [
        {"slots": 10**30},
        {"slots": 2**63},
        {"sequence": 10**30},
        {"born": 10**30},
        {"born": 2**53},
        {"cold_remaining_s": 1e300},
        {"address": "10.0.0.9:70000"},
        {"address": "1..2:80"},
        {"service": None},
    ],
)
def test_node_and_target_go_on_after_an_announcement_out_of_range(
    change: dict[str, Any],
) -> None:
    async def scenario(deployment: Deployment) -> None:
        machine = deployment.machines["m1"]
        assert await put(machine, make_own_announcement(machine, **change)) == 400
        append_beside_marker(deployment, make_record(b"x", b""), "good")
        await check_all_follow(deployment, marker="good")
        assert await machine.target.deregister() == 200
        others = [deployment.machines[item].sidecar for item in ("m0", "m2")]
        await wait_until(lambda: all("m1" not in item.state.members for item in others))

    run_zone(scenario)


@pytest.mark.parametrize(
    "service",
    ["nothing", "b\r\nx-injected: 1", "b\nx", "b x", "b\x00", "b\x7f", "bé"],
)
def test_announcement_of_another_service_changes_nothing_that_a_node_states(
    service: str,
) -> None:
    """A heartbeat added any header lines to the requests of all callers."""

    async def scenario(deployment: Deployment) -> None:
        machine = deployment.machines["m1"]
        machine.target.stop_announcing()
        body = make_own_announcement(
            machine, service=service, sequence=10**6, born=10**9
        )
        assert await put(machine, body) in (200, 400)
        runs: list[dict[str, str]] = []
        for _ in range(40):
            assert (await deployment.send("m1", "/rb/x")).status == 200
        for other in deployment.machines.values():
            runs.extend(other.target.record.headers.values())
        assert {headers["caller-service"] for headers in runs} == {"b"}
        assert not any("x-injected" in headers for headers in runs)
        assert machine.sidecar.target.registration.accepts_work

    run_zone(scenario)


@pytest.mark.parametrize("identity", [b"i\r\nx", b"i x", b"i\x00", b"i\x7f"])
def test_identity_that_can_end_a_header_line_is_refused(identity: bytes) -> None:
    assert decode_identity(b"/v1/instances/" + identity) is None


def test_announcement_that_cannot_be_read_is_answered() -> None:
    async def scenario(deployment: Deployment) -> None:
        machine = deployment.machines["m0"]
        for body in BAD_BODIES.values():
            assert await put(machine, body) in (400, 404)
        assert machine.sidecar.target.registration.accepts_work
        assert not machine.sidecar._announcements.busy_connections

    run_zone(scenario, machines=1)


@pytest.mark.parametrize("digits", [b"9" * 5000, b"0" * 5000 + b"900"])
def test_time_left_of_many_digits_is_read(digits: bytes) -> None:
    async def scenario(deployment: Deployment) -> None:
        client = HttpClient(
            address=deployment.machines["m0"].settings.outgoing, limit=1
        )
        connection = await client.acquire(now=asyncio.get_running_loop().time())
        headers = [
            (b"host", b"h.example"),
            (b"attempt-id", b"one"),
            (b"deadline-remaining-ms", digits),
        ]
        request = HttpRequest(method=b"GET", path=b"/rb/x", headers=headers, body=b"")
        try:
            async with asyncio.timeout(3.0):
                assert (await connection.exchange(request)).status == 200
        finally:
            connection.close()

    run_zone(scenario, machines=1)


def test_failed_handler_of_a_request_is_answered_and_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def fail(request: HttpRequest) -> HttpResponse:
        raise RecursionError("unexpected")

    async def run() -> None:
        server = HttpServer(handler=fail, limits=HttpLimits())
        await server.start(host=HOST, port=0)
        address = Address(host=HOST, port=server.port)
        client = HttpClient(address=address, limit=1)
        connection = await client.acquire(now=asyncio.get_running_loop().time())
        request = HttpRequest(
            method=b"GET", path=b"/", headers=[(b"host", b"h")], body=b""
        )
        try:
            async with asyncio.timeout(2.0):
                assert (await connection.exchange(request)).status == 500
        finally:
            connection.close()
        await wait_until(lambda: not server.connections)
        server.close()

    asyncio.run(run())
    assert sum("request failed" in item.getMessage() for item in caplog.records) == 1


def encode_patch(name: str, base: int, changes: Any) -> bytes:
    patch = Patch(base=base, set=changes)
    record = PatchRecord(id=name, patch=patch, submitter="op", message="", at_ms=0)
    return encode_record(record)


def nest(depth: int) -> Any:
    value: Any = {}
    for _ in range(depth):
        value = {"x": value}
    return value


BAD_PATCHES = {
    "nested": encode_patch("odd", 0, {"zones": {"a": {}}}).replace(
        b"\x81\xa1a\x80", b"\x81\xa1a" + b"\x81\xa1x" * DEPTH + b"\x80"
    ),
    "nested lists": encode_patch("odd", 0, {"zones": {"a": {}}}).replace(
        b"\x81\xa1a\x80", DEEP_MSGPACK + b"\x80"
    ),
    "nested, decodable": encode_patch("odd", 0, {"zones": {"a": nest(400)}}),
    "keys that are not text": encode_patch("odd", 0, {"zones": {1: {}, "a": {}}}),
    "infinite": encode_patch("odd", 0, {"policy": {"queue_factor": float("inf")}}),
    "not a number": encode_patch("odd", 0, {"policy": {"queue_factor": float("nan")}}),
    "number": encode_patch("odd", 0, {"retry_bound": 2**64 - 1}),
    "deep in the frame": b"\x81\xa1x" + DEEP_MSGPACK,
    "not UTF-8": encode_patch("odd", 0, {}).replace(b"odd", b"\xff\xfe\xfd"),
    "snapshot": encode_record(
        SnapshotRecord(
            offset=99,
            digest=compute_digest(b"\x81\xa1x" + DEEP_MSGPACK),
            state=b"\x81\xa1x" + DEEP_MSGPACK,
            instance="odd",
        )
    ),
}


@pytest.mark.parametrize("name", BAD_PATCHES)
@pytest.mark.parametrize("stack", [0, 600])
def test_fold_goes_on_after_a_bad_record(name: str, stack: int) -> None:
    def apply_all(levels: int) -> None:
        if levels:
            apply_all(levels - 1)
            return
        replica.apply(first=0, records=[BAD_PATCHES[name]], snapshot=b"")
        replica.apply(first=1, records=records, snapshot=BAD_PATCHES[name])

    replica = ConfigurationReplica()
    good = encode_patch("good", 0, {"zones": {"a": {}}})
    consent = encode_record(Consent(patch="good", zone="a", instance="i"))
    records = [good, consent]
    # A fold must not depend on the room on the stack, which differs between callers.
    apply_all(stack)
    assert replica.fold.version == 1
    assert replica.fold.next_offset == 3
    snapshot = replica.fold.make_snapshot(instance="i")
    other = ConfigurationReplica()
    assert other.fold.install_snapshot(snapshot)


TEXTS = st.text(alphabet="abx.", max_size=3)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.floats() | TEXTS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(TEXTS | st.integers(0, 9), inner, max_size=3)
    ),
    max_leaves=10,
)


@given(
    changes=st.dictionaries(
        st.sampled_from(["zones", "services", "kinds", "policy", "retry_bound", "x"]),
        VALUES,
    )
)
def test_any_patch_gets_a_verdict_or_is_skipped(changes: Any) -> None:
    replica = ConfigurationReplica()
    replica.apply(first=0, records=[encode_patch("odd", 0, changes)], snapshot=b"")
    fold = replica.fold
    is_decided = fold.find_verdict(patch="odd") is not None
    assert is_decided or fold.pending is not None or fold.skipped_records == 1
    assert fold.next_offset == 1


@pytest.mark.parametrize(
    "text",
    ["a=" + "[" * DEPTH, "a=" + "9" * 5000, "a=\ud800"],
)
def test_file_that_cannot_be_parsed_is_a_fault(text: str, tmp_path: Path) -> None:
    path = tmp_path / "file.toml"
    path.write_bytes(text.encode("utf-8", "surrogatepass"))
    assert isinstance(read_patch(path=path), Err)
    assert isinstance(read_node_settings(path=path), Err)


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("internal_port_range", "9" * 5000 + ",7635"),
        ("internal_port_range", "7620," + "9" * 5000),
        ("internal_port_range", "7620,70000"),
        ("internal_port_range", "0,7635"),
        ("internal_port_range", "²,7635"),
        ("ip_address", "1..2"),
        ("ip_address", "1" * 300),
        ("platform.address", "1..2:80"),
        ("platform.address", "10.0.0.1:" + "9" * 5000),
        ("application_address", "10.0.0.1:70000"),
    ],
)
def test_setting_out_of_range_is_a_fault(key: str, value: str) -> None:
    lines = [
        f"{key}={value}" if line.startswith(f"{key}=") else line
        for line in SETTINGS.splitlines()
    ]
    match decode_settings(text="\n".join(lines)):
        case Err(faults):
            assert [fault.key for fault in faults] == [key]
        case Ok(_):
            pytest.fail("no fault")


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


def test_stream_is_opened_again_after_an_unexpected_error(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        links = deployment.machines["m0"].sidecar.links
        await wait_until(lambda: links.is_up("m1"))
        peer = links.find_peer("m1")
        assert peer is not None
        calls = 0

        def fail_twice(name: str) -> None:
            nonlocal calls
            calls += 1
            if calls <= 2:
                raise RuntimeError("unexpected")

        links.on_stream_up = fail_twice
        assert peer._connection is not None
        peer._connection.abort()
        await wait_until(lambda: calls == 3)
        await wait_until(lambda: links.is_up("m1"))

    run_zone(scenario, machines=2)
    assert sum("failed" in item.getMessage() for item in caplog.records) == 2


def get_end(replica: TopicReplica) -> int:
    return replica.next_position.offset if replica.next_position else 0


class FailingStore:
    """A store whose first reads fail in a way that no client of it expects."""

    era = 1
    has_unconfirmed_era = False

    def __init__(self, *, failures: int) -> None:
        self._failures = failures
        self.reads = 0

    async def read_newest(self, *, topic: str) -> NewestPage:
        self.reads += 1
        if self.reads <= self._failures:
            raise RecursionError("unexpected")
        return NewestPage(items=[], next_position=Position(era=1, offset=7))

    async def read(self, *, topic: str, offset: int, wait_ms: int) -> RecordPage:
        await asyncio.Event().wait()
        raise AssertionError


def test_watch_goes_on_after_an_unexpected_error(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(watch, "BACKOFF_MAX_S", 0.01)

    async def run() -> None:
        replica = TopicReplica(topic=MEMBERS)
        may_read = asyncio.Event()
        may_read.set()
        watcher = TopicWatcher(
            store=FailingStore(failures=2),  # type: ignore[arg-type]
            replica=replica,
            may_read=may_read,
            on_records=receive,
            on_result=lambda succeeded, now: None,
            wait_ms=0,
            pause_s=0.0,
            rng=random.Random(1),
        )
        task = asyncio.create_task(watcher.run())
        await wait_until(lambda: get_end(replica) == 7)
        assert not task.done()
        task.cancel()

    asyncio.run(run())
    assert sum("unexpectedly" in item.getMessage() for item in caplog.records) == 2


def test_publication_goes_on_after_an_unexpected_error(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        machine = deployment.machines["m1"]
        store = machine.sidecar.registry._store
        put_record = store.put
        failures = 0

        async def fail_once(**arguments: Any) -> int:
            nonlocal failures
            if not failures:
                failures += 1
                raise OverflowError("unexpected")
            return await put_record(**arguments)

        machine.sidecar.registry._store = FakePut(fail_once)  # type: ignore[assignment]
        machine.sidecar.registry._changed.set()
        await wait_until(lambda: failures == 1)
        assert await machine.target.deregister() == 200
        other = deployment.machines["m0"].sidecar
        await wait_until(lambda: "m1" not in other.state.members)

    run_zone(scenario, machines=2)
    assert (
        sum("record not written" in item.getMessage() for item in caplog.records) == 1
    )


class FakePut:
    """A store that can only be written to."""

    def __init__(self, put: Callable[..., Awaitable[int]]) -> None:
        self.put = put


def test_periodic_checks_go_on_after_an_unexpected_error(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        sidecar = deployment.machines["m0"].sidecar
        checks = 0

        def fail(*, now: float) -> None:
            nonlocal checks
            checks += 1
            if checks <= 3:
                raise RuntimeError("unexpected")

        sidecar.target.close_idle = fail  # type: ignore[method-assign]
        await wait_until(lambda: checks >= 5)
        assert len(sidecar._tasks) == 5

    run_zone(scenario, machines=1)
    messages = [item.getMessage() for item in caplog.records]
    assert sum("periodic check failed" in item for item in messages) == 1


def make_log_tasks() -> LogTasks:
    return LogTasks(
        state=SimpleNamespace(metrics=Metrics()),  # type: ignore[arg-type]
        store=SimpleNamespace(),
        overlay=SimpleNamespace(own_watchers=[]),  # type: ignore[arg-type]
        distribution=SimpleNamespace(),  # type: ignore[arg-type]
        rng=random.Random(1),
    )


def test_failed_step_of_the_log_tasks_is_logged_and_tried_again(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(log_tasks, "RETRY_DELAY_S", 0.0)

    async def fail() -> None:
        raise OverflowError("unexpected")

    async def succeed() -> None:
        pass

    async def run() -> None:
        tasks = make_log_tasks()
        assert not await tasks._run_step(fail)
        assert tasks._state.metrics.get_count("log_step_errors") == 1
        assert await tasks._run_step(succeed)

    asyncio.run(run())
    assert sum("step of the log" in item.getMessage() for item in caplog.records) == 1


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
