"""The state that all parts of a node process share."""

import time
from dataclasses import dataclass, field

from pimentoscale.configuration import Configuration, ConfigurationReplica, Kind
from pimentoscale.membership import Directory, Member, MemberState
from pimentoscale.metrics import Metrics
from pimentoscale.policy import PolicyAlgorithms
from pimentoscale.settings import NodeSettings
from pimentoscale.shutdown import Shutdown, TimeLimits
from pimentoscale.ticket import NodeIdentity
from pimentoscale.timeline import EventName, HybridClock, Timeline


def get_wall_ms() -> int:
    """Return Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


@dataclass(slots=True, kw_only=True)
class NodeState:
    """Identity, configuration, members, metrics and clock of one node process.

    `own` is the node's own announcement. `is_confirmed` is true while the last
    confirmation of the version in force is within its lease. `time_limits` ends the
    calls in progress when the node stops.
    """

    settings: NodeSettings
    algorithms: PolicyAlgorithms
    identity: NodeIdentity
    replica: ConfigurationReplica
    directory: Directory
    metrics: Metrics
    timeline: Timeline
    clock: HybridClock
    own: Member
    is_draining: bool = False
    is_confirmed: bool = False
    shutdown: Shutdown = field(default_factory=Shutdown)
    time_limits: TimeLimits = field(default_factory=TimeLimits)

    @property
    def zone(self) -> str:
        """Return this node's availability zone."""
        return self.settings.zone

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force according to the local replica."""
        return self.replica.fold.configuration

    @property
    def version(self) -> int:
        """Return the number of the version in force; 0 before the first."""
        return self.replica.fold.version

    def find_kind(self, name: str) -> Kind | None:
        """Return a declared kind, or None."""
        return self.configuration.kinds.get(name)

    def tick(self) -> int:
        """Advance the hybrid clock; return its timestamp for a frame to send."""
        return self.clock.tick(now_ms=get_wall_ms())

    def observe(self, timestamp: int) -> None:
        """Advance the hybrid clock to the timestamp of a received frame.

        The clock ignores a timestamp that is too far ahead of the wall time.
        """
        self.clock.observe(timestamp=timestamp, now_ms=get_wall_ms())

    def record(
        self, name: EventName, *, request: str = "", kind: str = "", detail: str = ""
    ) -> None:
        """Record an event on the time line."""
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
