"""Settings of a sidecar: where it listens, and what it stands beside."""

from dataclasses import dataclass

from pimentoscale.settings import Address


@dataclass(slots=True, kw_only=True, frozen=True)
class SidecarSettings:
    """All settings of one sidecar; times are in seconds.

    `outgoing` takes the requests of callers and of the own upstream, `readiness` the
    platform's question whether callers may be sent here, `announcements` what the own
    upstream says of itself, `stream` the other nodes. The retry figures bound the
    repeated requests of all nodes together.
    """

    instance: str
    zone: str
    outgoing: Address
    readiness: Address
    announcements: Address
    stream: Address
    metrics: Address
    upstream: Address
    upstream_service: str
    store: Address
    stop_grace_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
