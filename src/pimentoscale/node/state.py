"""What all parts of one node process share."""

import time
from dataclasses import dataclass

from pimentoscale.configuration import Configuration, ConfigurationFeed, Kind
from pimentoscale.membership import Directory, Member, MemberState
from pimentoscale.metrics import Metrics
from pimentoscale.policy import PolicyMode
from pimentoscale.settings import NodeSettings
from pimentoscale.ticket import NodeIdentity
from pimentoscale.timeline import EventName, HybridClock, Timeline


def get_wall_ms() -> int:
    """Return wall time in milliseconds since the epoch."""
    return time.time_ns() // 1_000_000


@dataclass(slots=True, kw_only=True)
class NodeState:
    """Identity, configuration, members and records of one process."""

    settings: NodeSettings
    mode: PolicyMode
    identity: NodeIdentity
    feed: ConfigurationFeed
    directory: Directory
    metrics: Metrics
    timeline: Timeline
    clock: HybridClock
    own: Member
    is_draining: bool = False
    is_confirmed: bool = False

    @property
    def zone(self) -> str:
        """Return this node's availability zone."""
        return self.settings.zone

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force, as far as this node knows."""
        return self.feed.fold.configuration

    @property
    def version(self) -> int:
        """Return the number of the version in force."""
        return self.feed.fold.version

    def find_kind(self, name: str) -> Kind | None:
        """Return a declared kind."""
        return self.configuration.kinds.get(name)

    def tick(self) -> int:
        """Return a stamp of the hybrid clock for a frame to send."""
        return self.clock.tick(now_ms=get_wall_ms())

    def observe(self, stamp: int) -> None:
        """Take note of the stamp on a received frame."""
        self.clock.observe(stamp=stamp, now_ms=get_wall_ms())

    def record(
        self, name: EventName, *, request: str = "", kind: str = "", detail: str = ""
    ) -> None:
        """Keep an event on the time line."""
        now_ms = get_wall_ms()
        self.timeline.record(
            name, now_ms=now_ms, request=request, kind=kind, detail=detail
        )


def make_own_member(
    *, settings: NodeSettings, incarnation: int, slots: int, state: MemberState
) -> Member:
    """Return this node's own announcement."""
    return Member(
        instance=settings.instance,
        incarnation=incarnation,
        sequence=0,
        state=state,
        zone=settings.zone,
        service=settings.upstream.service,
        slots=slots,
        http=settings.http,
        stream=settings.stream,
    )
