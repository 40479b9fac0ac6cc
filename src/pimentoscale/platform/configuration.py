"""Decoding of the operator's configuration record into a route table."""

from string import hexdigits
from typing import Annotated, Any

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from pimentoscale.decoding import MAX_INTEGER, decode
from pimentoscale.organisations import (
    Organisation,
    OrganisationRegistry,
    RegistryBuilder,
)
from pimentoscale.platform.names import NAME_PATTERN
from pimentoscale.routes import (
    CallerLimits,
    Route,
    RouteTable,
    ServiceSettings,
    ServiceShare,
)

# The operator stores the complete current configuration under this key.
CONFIGURATION_KEY = b"config"
VERSION_DIGITS = 8
# Priority 0 is the most urgent. It is converted to an importance, where a higher value
# is more urgent.
MAX_PRIORITY = 1000
# Whether requests to a route of a kind may run more than once.
IDEMPOTENT_BY_KIND = {"safe": True, "unsafe": False, "upload": False}
# Keys are sent in a header.
MAX_KEY_BYTES = 1024
MAX_RATE_PER_S = 1e9

Count = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
Positive = Annotated[int, Meta(ge=1, le=MAX_INTEGER)]
Seconds = Annotated[float, Meta(gt=0, le=86_400)]
Text = Annotated[str, Meta(min_length=1, max_length=4096)]


class _Service(msgspec.Struct):
    name: Text
    health_path: Text
    max_connections: Positive


class _Limits(msgspec.Struct):
    header_bytes: Positive
    body_bytes: Count
    header_timeout_s: Seconds
    idle_timeout_s: Seconds


class _Share(msgspec.Struct):
    service: Text
    weight: Count


class _Route(msgspec.Struct):
    name: Text
    path_prefix: Text
    kind: str
    timeout_s: Seconds
    max_attempts: Positive
    aim_s: Seconds | None = None
    priority: Count = 1
    service: str = ""
    traffic_split: list[_Share] = msgspec.field(default_factory=list)
    public: bool = False


class _Host(msgspec.Struct):
    host: Text
    paths: list[_Route]


# What the platform calls a tenant is an organisation here.
class _Tenant(msgspec.Struct):
    name: Annotated[str, Meta(min_length=1, max_length=256, pattern=NAME_PATTERN)]
    keys: list[Annotated[str, Meta(max_length=MAX_KEY_BYTES)]]
    priority: Count = 1
    rate_per_s: Annotated[float, Meta(ge=0, le=MAX_RATE_PER_S)] = 0.0
    burst: Annotated[float, Meta(ge=0, le=MAX_RATE_PER_S)] = 0.0


class _Configuration(msgspec.Struct):
    version: Text
    services: list[_Service]
    limits: _Limits
    hosts: list[_Host]
    # Decoded one by one, so that one that can't be read leaves the others in force.
    tenants: list[msgspec.Raw] | None = None


_DECODER = msgspec.json.Decoder(_Configuration)
_TENANT_DECODER = msgspec.json.Decoder(_Tenant)


def decode_configuration(data: bytes) -> Result[RouteTable, str]:
    """Return the route table, or the reason why the record is invalid."""
    decoded = decode(_DECODER, data)
    if isinstance(decoded, Err):
        return decoded
    record = decoded.ok_value
    version = _decode_version(record.version)
    if version is None:
        return Err(f"version {record.version!r} is not {VERSION_DIGITS} hex digits")
    services = {
        item.name: ServiceSettings(
            name=item.name,
            health_path=item.health_path,
            max_connections=item.max_connections,
        )
        for item in record.services
    }
    faults: list[str] = []
    routes: list[Route] = []
    prefixes: set[tuple[str, str]] = set()
    for host in record.hosts:
        for item in host.paths:
            reason = _find_error(host.host, item, services, prefixes)
            if reason is not None:
                return Err(f"route {item.name!r}: {reason}")
            prefixes.add((host.host, item.path_prefix))
            route = _make_route(host.host, item)
            if not route.is_readable:
                faults.append(f"route {item.name!r}: unknown kind {item.kind[:64]!r}")
            routes.append(route)
    organisations = None
    if record.tenants is not None:
        organisations = _decode_organisations(record.tenants, faults)
    limits = CallerLimits(
        header_bytes=record.limits.header_bytes,
        body_bytes=record.limits.body_bytes,
        header_timeout_s=record.limits.header_timeout_s,
        idle_timeout_s=record.limits.idle_timeout_s,
    )
    table = RouteTable(
        version=version,
        services=services,
        limits=limits,
        routes=routes,
        organisations=organisations,
        faults=faults,
    )
    return Ok(table)


def _decode_organisations(
    items: list[msgspec.Raw], faults: list[str]
) -> OrganisationRegistry:
    """Return the organisations that can be read; add what is wrong to `faults`."""
    builder = RegistryBuilder()
    for index, item in enumerate(items):
        match decode(_TENANT_DECODER, item):
            case Ok(tenant):
                organisation = Organisation(
                    name=tenant.name,
                    importance=_get_importance(tenant.priority),
                    rate_limit=tenant.rate_per_s,
                    burst=tenant.burst,
                )
                builder.add(organisation, tenant.keys)
            case Err(reason):
                builder.add_unreadable(f"organisation {index}: {reason}")
    faults.extend(builder.faults)
    return builder.build()


def _get_importance(priority: int) -> int:
    return MAX_PRIORITY - min(priority, MAX_PRIORITY)


def _decode_version(text: str) -> int | None:
    if len(text) != VERSION_DIGITS or not set(text) <= set(hexdigits):
        return None
    return int(text, 16)


def _find_error(
    host: str, item: _Route, services: dict[str, Any], prefixes: set[tuple[str, str]]
) -> str | None:
    prefix = item.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        return f"prefix {prefix!r} does not begin and end with a slash"
    if (host, prefix) in prefixes:
        return f"prefix {prefix!r} of host {host!r} occurs twice"
    names = [share.service for share in item.traffic_split] or [item.service]
    unknown = [name for name in names if name not in services]
    if unknown:
        return f"service {unknown[0]!r} is not declared"
    if item.traffic_split and not any(share.weight for share in item.traffic_split):
        return "no service has a weight above 0"
    return None


def _make_route(host: str, item: _Route) -> Route:
    shares = tuple(
        ServiceShare(service=share.service, weight=share.weight)
        for share in item.traffic_split
        if share.weight > 0
    )
    return Route(
        name=item.name,
        host=host.lower(),
        prefix=item.path_prefix,
        idempotent=IDEMPOTENT_BY_KIND.get(item.kind, False),
        importance=_get_importance(item.priority),
        timeout_s=item.timeout_s,
        objective_s=item.aim_s or item.timeout_s,
        max_targets=item.max_attempts,
        shares=shares or (ServiceShare(service=item.service, weight=1),),
        is_public=item.public,
        is_readable=item.kind in IDEMPOTENT_BY_KIND,
    )
