"""The users' deployments, and the processes that stand in for one."""

import tomllib
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from result import Err, Ok

from pimentoscale.checking import convert_document
from pimentoscale.settings import Address

NODE_PORT = 8080
STREAM_PORT = 9080
UPSTREAM_PORT = 7080
PLATFORM_PORT = 7000
SMALL_TARGETS = 2
SMALL_DIVISOR = 8
MIN_SLOTS = 2
TICKET_SECRET = "a secret for the test bench only"


@dataclass(slots=True, kw_only=True, frozen=True)
class ServicePlan:
    """A service of a deployment.

    `targets` is its number of instances; `slots` and `connections` are those of one
    instance. `long_share` is the share of the slots that belongs to long calls.
    """

    targets: int
    slots: int
    connections: int
    long_share: float = 0.5


@dataclass(slots=True, kw_only=True, frozen=True)
class KindPlan:
    """A kind of call, with the behaviour of its stand-in and its share of the load.

    `service_ms` is the upstream's own time, without sub-calls; `calls` names the kinds
    of the sub-calls, sent one after the other. `weight` is the kind's weight in the
    callers' load.
    """

    service: str
    importance: int
    idempotent: bool
    service_ms: float
    length: str = "short"
    retries: int = 2
    timeout_ms: int = 2000
    calls: list[str] = field(default_factory=list)
    answer_bytes: int = 200
    body_bytes: int = 0
    weight: float = 0.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Deployment:
    """One of the users' deployments, as in its file."""

    name: str
    region: str
    zones: list[str]
    one_way_ms: float
    client_ms: float
    connect_ms: float
    services: dict[str, ServicePlan]
    kinds: dict[str, KindPlan]

    def scale(self, size: str) -> "Deployment":
        """Return the deployment at `full` or `small` size.

        The small one has fewer targets, slots, connections and zones.
        """
        if size == "full":
            return self
        services = {
            name: replace(
                plan,
                targets=min(plan.targets, SMALL_TARGETS),
                slots=max(MIN_SLOTS, plan.slots // SMALL_DIVISOR),
                connections=max(MIN_SLOTS, plan.connections // SMALL_DIVISOR),
            )
            for name, plan in self.services.items()
        }
        return replace(self, services=services, zones=self.zones[:SMALL_TARGETS])


@dataclass(slots=True, kw_only=True, frozen=True)
class InstancePlan:
    """One upstream instance and its node, both on the same host."""

    instance: str
    zone: str
    service: str
    slots: int
    connections: int
    host: str

    @property
    def http(self) -> Address:
        """Return the node's address for callers."""
        return Address(host=self.host, port=NODE_PORT)

    @property
    def stream(self) -> Address:
        """Return the node's address for other nodes."""
        return Address(host=self.host, port=STREAM_PORT)

    @property
    def upstream(self) -> Address:
        """Return the upstream's address."""
        return Address(host=self.host, port=UPSTREAM_PORT)


def read_deployment(path: Path) -> Deployment:
    """Read a deployment file; raises `ValueError` that names every fault found."""
    document = tomllib.loads(path.read_text(encoding="utf-8"))
    match convert_document(document=document, schema=Deployment):
        case Ok(deployment):
            return deployment
        case Err(faults):
            raise ValueError("; ".join(map(str, faults)))


def plan_instances(deployment: Deployment, *, subnet: int) -> list[InstancePlan]:
    """Return the instances, spread evenly over the zones.

    `subnet` is the second byte of their loopback addresses; concurrent runs need
    different ones.
    """
    plans: list[InstancePlan] = []
    zones = deployment.zones
    for row, (service, plan) in enumerate(deployment.services.items()):
        for number in range(plan.targets):
            plans.append(
                InstancePlan(
                    instance=f"{service}-{number}",
                    zone=zones[number % len(zones)],
                    service=service,
                    slots=plan.slots,
                    connections=plan.connections,
                    host=f"127.{subnet}.{row + 1}.{number + 1}",
                )
            )
    return plans


def make_patch(deployment: Deployment) -> dict[str, Any]:
    """Return the first patch, which declares the whole deployment."""
    kinds = {
        name: {
            "service": kind.service,
            "importance": kind.importance,
            "idempotent": kind.idempotent,
            "length": kind.length,
            "retries": kind.retries,
            "timeout_ms": kind.timeout_ms,
            "calls": kind.calls,
        }
        for name, kind in deployment.kinds.items()
    }
    services = {
        name: {"long_share": plan.long_share}
        for name, plan in deployment.services.items()
    }
    zones = {zone: {"region": deployment.region} for zone in deployment.zones}
    return {"zones": zones, "services": services, "kinds": kinds}
