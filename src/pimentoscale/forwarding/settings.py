"""Settings of a sidecar: its addresses, its upstream and its limits."""

from dataclasses import dataclass, fields, replace

from pimentoscale.settings import Address


@dataclass(slots=True, kw_only=True, frozen=True)
class SidecarSettings:
    """All settings of one sidecar; times are in seconds.

    `outgoing` is the address for requests of callers and of the local upstream,
    `readiness` for the platform's readiness checks, `announcements` for the local
    upstream's announcements, and `stream` for the other nodes. `store_writes_per_s`
    limits the writes, and the `retry_` fields the retries, of all nodes together.
    `revocation_s` is the time after which no node may accept a withdrawn key, None if a
    node that is cut off may go on. All nodes together may exceed what an organisation
    is allowed within `rate_window_s` by the share `rate_overage`, and by
    `rate_slack` requests. The process may take `memory_mb` and `file_descriptors`; 0
    is no limit. `limit_algorithm` names what bounds the requests at the upstream.
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
    store_writes_per_s: float
    stop_grace_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    revocation_s: float | None = None
    rate_window_s: float = 0.0
    rate_overage: float = 0.0
    rate_slack: float = 0.0
    memory_mb: int = 0
    file_descriptors: int = 0
    limit_algorithm: str = "aimd"


# Fields that can change while a node runs; the others take effect after a restart.
RELOADABLE_FIELDS = frozenset(
    (
        "store",
        "stop_grace_s",
        "retry_ratio",
        "retry_window_s",
        "retry_slack",
        "revocation_s",
        "rate_window_s",
        "rate_overage",
        "rate_slack",
    )
)


@dataclass(slots=True, kw_only=True, frozen=True)
class SettingsChange:
    """The result of a reload.

    `settings` are those in force from now on; `changed` and `ignored` name the fields
    that differ, those that take effect and those that need a restart.
    """

    settings: SidecarSettings
    changed: list[str]
    ignored: list[str]


def merge_settings(old: SidecarSettings, new: SidecarSettings) -> SettingsChange:
    """Return `old` with the reloadable fields of `new`."""
    names = [
        field.name
        for field in fields(SidecarSettings)
        if getattr(old, field.name) != getattr(new, field.name)
    ]
    changed = [name for name in names if name in RELOADABLE_FIELDS]
    return SettingsChange(
        settings=replace(old, **{name: getattr(new, name) for name in changed}),
        changed=changed,
        ignored=[name for name in names if name not in RELOADABLE_FIELDS],
    )
