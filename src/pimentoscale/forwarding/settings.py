"""Settings of a sidecar: where it listens, and what it stands beside."""

from dataclasses import dataclass, fields, replace

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


# What may change while a node runs; the rest takes a restart.
LIVE_FIELDS = frozenset(
    ("store", "stop_grace_s", "retry_ratio", "retry_window_s", "retry_slack")
)


@dataclass(slots=True, kw_only=True, frozen=True)
class SettingsChange:
    """Settings read again: what is in force from now on, and what is not taken over."""

    settings: SidecarSettings
    changed: list[str]
    ignored: list[str]


def merge_settings(old: SidecarSettings, new: SidecarSettings) -> SettingsChange:
    """Return the settings that are in force once `new` has been read."""
    names = [
        field.name
        for field in fields(SidecarSettings)
        if getattr(old, field.name) != getattr(new, field.name)
    ]
    changed = [name for name in names if name in LIVE_FIELDS]
    return SettingsChange(
        settings=replace(old, **{name: getattr(new, name) for name in changed}),
        changed=changed,
        ignored=[name for name in names if name not in LIVE_FIELDS],
    )
