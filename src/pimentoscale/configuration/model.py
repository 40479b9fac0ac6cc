"""The configuration that operators declare, as one version."""

from dataclasses import dataclass, field
from typing import Annotated, Literal

from msgspec import Meta

from pimentoscale.decoding import MAX_INTEGER
from pimentoscale.settings import Name, PositiveInt

# Products of ratios and limits stay finite.
MAX_RATIO = 1e6

Importance = Annotated[int, Meta(ge=0, le=100)]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Count = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
Ratio = Annotated[float, Meta(gt=0.0, le=MAX_RATIO)]


@dataclass(slots=True, kw_only=True, frozen=True)
class Zone:
    """An availability zone; a patch needs the consent of every zone."""

    region: Name = "default"


@dataclass(slots=True, kw_only=True, frozen=True)
class Service:
    """A service; `long_share` is the share of its slots for calls of long kinds."""

    long_share: Share = 0.5


@dataclass(slots=True, kw_only=True, frozen=True)
class Kind:
    """A kind of request.

    Under overload, kinds of lower `importance` are refused first. `retries` bounds
    the retries of one request over its whole call tree. `calls` names the kinds that
    it may call.
    """

    service: Name
    importance: Importance
    idempotent: bool
    length: Literal["short", "long"] = "short"
    retries: Count = 0
    timeout_ms: PositiveInt = 2000
    calls: list[Name] = field(default_factory=list)


@dataclass(slots=True, kw_only=True, frozen=True)
class Policy:
    """Parameters of limits, routing and queues.

    The queue of a target holds at most `queue_factor` times its concurrency limit.
    A target that is `probation_ratio` times slower than the best of its service's
    other targets is put on probation; `probation_share` bounds the share of a
    service's targets that may be on probation at once. `ramp_s` is the time in which
    a target reaches its limit after a cold start. `hedge_part` is the maximum number
    of hedges per call; 0 disables hedging.
    """

    queue_factor: Ratio = 2.0
    min_limit: PositiveInt = 2
    out_of_zone_ms: Count = 2
    probation_ratio: Ratio = 3.0
    probation_share: Share = 0.5
    ramp_s: Count = 10
    hedge_part: Share = 0.05


@dataclass(slots=True, kw_only=True, frozen=True)
class Configuration:
    """The declared zones, services, kinds and policy of one version."""

    zones: dict[str, Zone] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    kinds: dict[str, Kind] = field(default_factory=dict)
    policy: Policy = field(default_factory=Policy)
    retry_bound: Count = 8
