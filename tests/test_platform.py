"""Tests of the platform adapter: any input gives a value or a named error."""

import json
import struct
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from pimentoscale.forwarding.settings import SidecarSettings
from pimentoscale.http import HttpRequest, HttpResponse
from pimentoscale.platform.announcement import decode_announcement, decode_identity
from pimentoscale.platform.configuration import decode_configuration
from pimentoscale.platform.messages import PlatformMessages
from pimentoscale.platform.settings import decode_settings, read_sidecar_settings
from pimentoscale.platform.store import decode_keyed, decode_page
from pimentoscale.store import Position, StoreError

SETTINGS = """
node=sidecar-1
ip_address=10.1.0.8
zone=ab-calgary
listen_addresses.outbound=10.1.0.8:8304
listen_addresses.ready=10.1.0.8:8302
listen_addresses.control=10.1.0.8:8306
internal_port_range=7620,7635
application_address=10.1.0.8:8301
service=huvo11a
platform.address=10.200.1.7:8309
bounds=grace_s=6,budget_ratio=0.25,something=true
new.key=whatever
"""


def make_configuration() -> dict[str, Any]:
    return {
        "version": "0000000c",
        "services": [
            {"name": "a", "health_path": "/h", "max_connections": 7},
            {"name": "b", "health_path": "/h", "max_connections": 7},
        ],
        "limits": {
            "header_bytes": 16384,
            "body_bytes": 1000,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
        "hosts": [
            {
                "host": "H.example",
                "paths": [
                    {
                        "name": "r1",
                        "path_prefix": "/x/",
                        "kind": "safe",
                        "timeout_s": 5,
                        "aim_s": 1.2,
                        "priority": 2,
                        "max_attempts": 2,
                        "traffic_split": [
                            {"service": "a", "weight": 90},
                            {"service": "b", "weight": 10},
                        ],
                    },
                    {
                        "name": "r2",
                        "path_prefix": "/x/y/",
                        "kind": "unsafe",
                        "timeout_s": 5,
                        "max_attempts": 1,
                        "service": "b",
                    },
                ],
            }
        ],
    }


def make_announcement(**changes: Any) -> bytes:
    announcement: dict[str, Any] = {
        "service": "a",
        "address": "10.1.0.8:8301",
        "zone": "z",
        "version": "v1",
        "slots": 5,
        "state": "ready",
        "cold_remaining_s": 0,
        "sequence": 4,
        "born": 17,
    }
    announcement.update(changes)
    return json.dumps(
        {key: value for key, value in announcement.items() if value != ""}
    ).encode()


def get_settings() -> SidecarSettings:
    match decode_settings(text=SETTINGS):
        case Ok(settings):
            return settings
        case Err(faults):
            raise AssertionError(faults)


def test_settings_are_decoded_and_unknown_keys_ignored() -> None:
    settings = get_settings()
    assert str(settings.outgoing) == "10.1.0.8:8304"
    assert settings.stream.port == 7620
    assert settings.stop_grace_s == 6.0
    assert settings.retry_ratio == 0.25


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("node", ""),
        ("listen_addresses.outbound", "10.1.0.8"),
        ("listen_addresses.ready", "nowhere:1"),
        ("internal_port_range", "7620"),
        ("application_address", "10.1.0.8:99999"),
    ],
)
def test_fault_in_the_settings_names_its_key(key: str, value: str) -> None:
    lines = [line for line in SETTINGS.splitlines() if not line.startswith(key)]
    match decode_settings(text="\n".join([*lines, f"{key}={value}"])):
        case Ok(_):
            raise AssertionError("no fault was found")
        case Err(faults):
            assert key in [fault.key for fault in faults]


def test_missing_settings_file_is_a_fault(tmp_path: Path) -> None:
    assert read_sidecar_settings(path=tmp_path / "none").is_err()


def test_route_with_the_longest_prefix_is_found() -> None:
    table = decode_configuration(json.dumps(make_configuration()).encode()).unwrap()
    assert table.version == 12
    names = [
        getattr(table.find(host="h.example", path=path), "name", None)
        for path in ("/x/1", "/x/y/1", "/x/y", "/x", "/z/1", "/")
    ]
    assert names == ["r1", "r2", "r1", None, None, None]
    assert table.find(host="other", path="/x/1") is None


def test_only_the_kind_decides_what_may_run_again() -> None:
    table = decode_configuration(json.dumps(make_configuration()).encode()).unwrap()
    assert [route.idempotent for route in table.routes] == [True, False]
    assert [route.importance for route in table.routes] == [998, 999]


@pytest.mark.parametrize(
    "path",
    [
        ("version", "12"),
        ("version", "zzzzzzzz"),
        ("hosts", 0, "paths", 0, "path_prefix", "x/"),
        ("hosts", 0, "paths", 0, "path_prefix", "/x"),
        ("hosts", 0, "paths", 0, "timeout_s", 1e9),
        ("hosts", 0, "paths", 1, "service", "unknown"),
        ("hosts", 0, "paths", 1, "path_prefix", "/x/"),
    ],
)
def test_invalid_configuration_is_refused_with_a_reason(path: tuple[Any, ...]) -> None:
    document: Any = make_configuration()
    parent = document
    for part in path[:-2]:
        parent = parent[part]
    parent[path[-2]] = path[-1]
    assert decode_configuration(json.dumps(document).encode()).is_err()


def test_announcement_is_decoded() -> None:
    announcement = decode_announcement(
        path=b"/v1/instances/i-7", body=make_announcement()
    ).unwrap()
    assert (announcement.identity, announcement.slots, announcement.is_draining) == (
        "i-7",
        5,
        False,
    )
    assert announcement.precedence == (17, 4)


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "asleep"},
        {"slots": 0},
        {"slots": "5"},
        {"service": ""},
        {"address": "nowhere"},
        {"sequence": 1.5},
        {"born": "x"},
    ],
)
def test_malformed_announcement_is_refused(changes: dict[str, Any]) -> None:
    body = make_announcement(**changes)
    assert decode_announcement(path=b"/v1/instances/i-7", body=body).is_err()


@pytest.mark.parametrize(
    "path", [b"/v1/instances/", b"/v1/other/i", b"/v1/instances/a/b"]
)
def test_path_without_identity_is_refused(path: bytes) -> None:
    assert decode_identity(path) is None


@given(st.binary(max_size=400))
def test_any_bytes_give_a_value_or_a_named_error(data: bytes) -> None:
    for result in (
        decode_configuration(data),
        decode_announcement(path=b"/v1/instances/i", body=data),
        decode_settings(text=data.decode("latin-1")),
    ):
        assert result.is_err()
    decode_any_keyed = partial(decode_keyed, position=Position(era=1, offset=3))
    decode_any_page = partial(decode_page, offset=3, era=1)
    decode: Callable[[bytes], object]
    for decode in (decode_any_keyed, decode_any_page):
        try:
            decode(data)
        except StoreError as error:
            assert str(error)


@given(st.recursive(st.none() | st.integers() | st.text() | st.floats(), st.lists))
def test_any_value_in_a_field_gives_a_value_or_an_error(value: Any) -> None:
    document = make_configuration()
    document["hosts"][0]["paths"][0]["timeout_s"] = value
    result = decode_configuration(json.dumps(document).encode())
    assert result.is_ok() == (
        isinstance(value, int | float)
        and not isinstance(value, bool)
        and 0 < value <= 86_400
    )


@given(st.lists(st.binary(max_size=50), max_size=20))
def test_page_of_records_is_read_back(records: list[bytes]) -> None:
    body = b"".join(struct.pack(">I", len(item)) + item for item in records)
    page = decode_page(struct.pack(">QQ", 9, 0) + body, offset=5, era=1)
    assert page.records == records
    assert page.next_offset == 5 + len(records)


def test_metadata_of_a_request() -> None:
    messages = PlatformMessages()
    request = HttpRequest(
        method=b"GET",
        path=b"/x/1",
        headers=[
            (b"host", b"H.example:80"),
            (b"attempt-id", b"9c"),
            (b"deadline-remaining-ms", b"1500"),
        ],
    )
    metadata = messages.read_metadata(request)
    assert metadata is not None
    assert (metadata.identity, metadata.host, metadata.remaining_s) == (
        "9c",
        "h.example",
        1.5,
    )
    request.headers[2] = (b"deadline-remaining-ms", b"-4")
    assert messages.read_metadata(request) is None


def test_headers_that_the_node_sets_replace_those_of_the_sender() -> None:
    messages = PlatformMessages()
    sent = [
        (b"caller-service", b"forged"),
        (b"expected-instance", b"other"),
        (b"deadline-remaining-ms", b"99999"),
        (b"x", b"y"),
    ]
    lines = messages.encode_request_headers(sent, service="own")
    lines += messages.encode_target_headers(remaining_ms=70, instance="i-1")
    assert sorted(lines.split(b"\r\n")) == [
        b"",
        b"caller-service: own",
        b"deadline-remaining-ms: 70",
        b"expected-instance: i-1",
        b"x: y",
    ]


@pytest.mark.parametrize(
    ("status", "headers", "ran", "genuine"),
    [
        (200, [(b"attempt-id", b"a"), (b"response-signature", b"s")], True, True),
        (200, [(b"attempt-id", b"a")], True, False),
        (200, [(b"response-signature", b"s")], True, False),
        (503, [(b"not-executed", b"1")], False, False),
        (421, [], False, False),
        (500, [], True, False),
    ],
)
def test_headers_of_an_answer_are_decoded(
    status: int, headers: list[tuple[bytes, bytes]], ran: bool, genuine: bool
) -> None:
    stated = PlatformMessages().read_answer(
        HttpResponse(status=status, headers=headers), "a"
    )
    assert (stated.ran, stated.is_genuine) == (ran, genuine)
