"""Decisions on keys, without a network."""

import json
from typing import Any

import pytest

from pimentoscale.errors import ErrorKind
from pimentoscale.forwarding.exchange import Sender
from pimentoscale.http import HttpRequest
from pimentoscale.organisations import (
    AccessPolicy,
    Confirmation,
    Organisation,
    OrganisationRegistry,
    RegistryBuilder,
    get_usable_age_s,
)
from pimentoscale.platform.configuration import decode_configuration
from pimentoscale.platform.messages import PlatformMessages
from pimentoscale.platform.settings import decode_settings
from pimentoscale.routes import RouteTable
from tests.test_platform import SETTINGS, make_configuration

REVOCATION_S = 5.0


def make_tenant(name: str, *keys: str, **fields: Any) -> dict[str, Any]:
    return {"name": name, "keys": list(keys), **fields}


def decode_table(tenants: list[Any] | None, **route: Any) -> RouteTable:
    document = make_configuration()
    if tenants is not None:
        document["tenants"] = tenants
    document["hosts"][0]["paths"][0].update(route)
    return decode_configuration(json.dumps(document).encode()).unwrap()


def get_registry(*tenants: Any) -> OrganisationRegistry:
    registry = decode_table(list(tenants)).organisations
    assert registry is not None
    return registry


@pytest.fixture
def registry() -> OrganisationRegistry:
    return get_registry(
        make_tenant("one", "k1", "k2", priority=0, rate_per_s=5, burst=2),
        make_tenant("two", "k3"),
    )


@pytest.fixture
def policy() -> AccessPolicy:
    policy = AccessPolicy(revocation_s=REVOCATION_S)
    policy.confirmation.record(100.0)
    return policy


def test_organisations_are_decoded_with_importance_rate_and_burst(
    registry: OrganisationRegistry,
) -> None:
    one = registry.find(b"k2")
    assert one == Organisation(name="one", importance=1000, rate_limit=5, burst=2)
    two = registry.find(b"k3")
    assert two == Organisation(name="two", importance=999)
    assert list(registry.limited) == ["one"]
    assert registry.is_complete


def test_configuration_without_organisations_needs_no_keys() -> None:
    assert decode_table(None).organisations is None
    assert decode_table([]).organisations is not None


def test_uploads_run_once_and_public_routes_are_known() -> None:
    route = decode_table(None, kind="upload", public=True).routes[0]
    assert not route.idempotent
    assert route.is_public


def test_route_of_an_unknown_kind_is_refused_and_the_others_hold() -> None:
    table = decode_table(None, kind="other")
    assert [route.is_readable for route in table.routes] == [False, True]
    assert "unknown kind 'other'" in table.faults[0]


@pytest.mark.parametrize(
    "bad",
    [
        {"name": "x y", "keys": ["kx"]},
        {"name": "x\r\nz: 1", "keys": ["kx"]},
        {"name": "x"},
        {"name": "x", "keys": [7]},
        {"name": "x", "keys": ["kx"], "rate_per_s": -1},
        {"name": "x", "keys": ["kx"], "rate_per_s": 1e300},
        {"name": "x", "keys": ["kx"], "burst": "many"},
        {"name": "one", "keys": ["kx"]},
        17,
    ],
)
def test_organisation_that_cannot_be_read_leaves_the_others_in_force(
    bad: Any, policy: AccessPolicy
) -> None:
    registry = get_registry(make_tenant("one", "k1"), bad)
    assert registry.find(b"k1") is not None
    assert registry.find(b"kx") is None
    access = policy.check(registry, b"kx", is_public=False, is_call=False, now=101.0)
    assert access.error is not None
    # It may be valid: no promise that it is not.
    assert access.error.kind is ErrorKind.KEY_UNCONFIRMED


def test_key_of_two_organisations_is_nobodys_and_an_empty_key_is_none(
    policy: AccessPolicy,
) -> None:
    registry = get_registry(
        make_tenant("one", "k1", "same", ""), make_tenant("two", "same", "k2", "k2")
    )
    assert registry.find(b"same") is None
    assert registry.find(b"") is None
    assert registry.find(b"k1") is not None
    assert registry.find(b"k2") is not None
    for key, kind in (
        (b"same", ErrorKind.KEY_UNCONFIRMED),
        (b"", ErrorKind.KEY_UNKNOWN),
    ):
        access = policy.check(registry, key, is_public=False, is_call=False, now=100.0)
        assert access.error is not None
        assert access.error.kind is kind


def test_burst_without_a_rate_is_no_limit() -> None:
    assert not get_registry(make_tenant("one", "k1", burst=9)).limited


@pytest.mark.parametrize(
    ("key", "is_public", "is_call", "expected"),
    [
        (b"k1", False, False, "one"),
        (b"k1", True, False, "one"),
        (b"k3", False, True, "two"),
        (b"no", False, False, ErrorKind.KEY_UNKNOWN),
        (b"no", False, True, ErrorKind.KEY_UNKNOWN),
        (b"no", True, False, ""),
        (None, False, False, ErrorKind.KEY_MISSING),
        (None, True, False, ""),
        (None, False, True, ""),
    ],
)
def test_access_follows_from_key_and_route(
    registry: OrganisationRegistry,
    policy: AccessPolicy,
    key: bytes | None,
    is_public: bool,
    is_call: bool,
    expected: str | ErrorKind,
) -> None:
    access = policy.check(
        registry, key, is_public=is_public, is_call=is_call, now=100.5
    )
    if isinstance(expected, ErrorKind):
        assert access.error is not None
        assert access.error.kind is expected
    else:
        assert access.error is None
        name = access.organisation.name if access.organisation else ""
        assert name == expected


def test_keys_are_refused_before_the_bound_and_public_routes_go_on(
    registry: OrganisationRegistry, policy: AccessPolicy
) -> None:
    usable_s = get_usable_age_s(REVOCATION_S)
    assert usable_s < REVOCATION_S
    for key in (b"k1", b"no"):
        access = policy.check(
            registry, key, is_public=False, is_call=False, now=100.01 + usable_s
        )
        assert access.error is not None
        assert access.error.kind is ErrorKind.KEY_UNCONFIRMED
        assert access.error.retry_after_ms > 0
        access = policy.check(
            registry, key, is_public=True, is_call=False, now=100.01 + usable_s
        )
        assert access.error is None
    call = policy.check(registry, None, is_public=False, is_call=True, now=999.0)
    assert call.error is None
    policy.confirmation.record(104.5)
    access = policy.check(registry, b"k1", is_public=False, is_call=False, now=105.0)
    assert access.error is None


def test_node_that_has_never_heard_from_the_store_accepts_no_key(
    registry: OrganisationRegistry,
) -> None:
    policy = AccessPolicy(revocation_s=REVOCATION_S)
    access = policy.check(registry, b"k1", is_public=False, is_call=False, now=1.0)
    assert access.error is not None
    assert access.error.kind is ErrorKind.KEY_UNCONFIRMED
    lenient = AccessPolicy(revocation_s=None)
    access = lenient.check(registry, b"k1", is_public=False, is_call=False, now=1.0)
    assert access.error is None


def test_confirmation_never_goes_back() -> None:
    confirmation = Confirmation()
    assert confirmation.get_age_s(now=5.0) is None
    confirmation.record(4.0)
    confirmation.record(3.0)
    assert confirmation.get_age_s(now=5.0) == 1.0


@pytest.mark.parametrize(
    ("value", "key"),
    [
        (b"Token abc", b"abc"),
        (b"token  abc ", b"abc"),
        (b"Bearer abc", b""),
        (b"Token", b""),
        (b"", b""),
        (None, None),
    ],
)
def test_key_is_read_from_its_header(value: bytes | None, key: bytes | None) -> None:
    headers = [(b"host", b"h"), (b"attempt-id", b"a")]
    if value is not None:
        headers.append((b"authorization", value))
    request = HttpRequest(method=b"GET", path=b"/", headers=headers)
    metadata = PlatformMessages().read_metadata(request)
    assert metadata is not None
    assert metadata.key == key


def test_target_gets_the_organisation_and_never_the_key() -> None:
    sent = [
        (b"authorization", b"Token abc"),
        (b"tenant", b"forged"),
        (b"tenant", b"again"),
        (b"accept", b"*/*"),
    ]
    messages = PlatformMessages()
    lines = messages.encode_request_headers(
        sent, service="s", sender=Sender(organisation="one", hides_key=True)
    )
    assert lines == b"accept: */*\r\ncaller-service: s\r\ntenant: one\r\n"
    lines = messages.encode_request_headers(
        sent, service="s", sender=Sender(hides_key=True)
    )
    assert lines == b"accept: */*\r\ncaller-service: s\r\n"
    # Without organisations in the configuration both headers are the callers' own.
    lines = messages.encode_request_headers(sent, service="s")
    assert b"Token abc" in lines
    assert b"forged" in lines


@pytest.mark.parametrize(
    ("bounds", "expected"),
    [
        ("strict_revocation=true,revoke_s=5", 5.0),
        ("strict_revocation=false,revoke_s=5", None),
        ("revoke_s=5", None),
        ("strict_revocation=true", None),
    ],
)
def test_settings_tell_how_long_a_withdrawn_key_may_be_accepted(
    bounds: str, expected: float | None
) -> None:
    settings = decode_settings(text=f"{SETTINGS}\nbounds=grace_s=6,{bounds}").unwrap()
    assert settings.revocation_s == expected


@pytest.mark.parametrize("count", [80, 80_000])
def test_look_up_does_not_depend_on_the_number_of_keys(count: int) -> None:
    builder = RegistryBuilder()
    for index in range(count):
        builder.add(Organisation(name=f"o{index}", importance=1), [f"key{index}"])
    registry = builder.build()
    found = registry.find(b"key79")
    assert found is not None
    assert found.name == "o79"
    assert not builder.faults
