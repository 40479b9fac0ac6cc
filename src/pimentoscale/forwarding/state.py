"""State that all parts of a sidecar share."""

from dataclasses import dataclass, field

from pimentoscale.forwarding.settings import SidecarSettings
from pimentoscale.membership import Member
from pimentoscale.metrics import Metrics
from pimentoscale.organisations import AccessPolicy
from pimentoscale.routes import RouteTable
from pimentoscale.shutdown import Shutdown, TimeLimits
from pimentoscale.stream import Hello
from pimentoscale.stream.frames import PROTOCOL_VERSION


@dataclass(slots=True, kw_only=True)
class SidecarState:
    """The routes in force, the members and the state of this node.

    `record` is the newest record of the routes as it is in the store, kept for
    peers that can't read it there.

    A node stops in three steps. While `is_stopping`, it reports itself as not ready,
    so that the platform sends it no new callers. While `is_draining`, other nodes
    should send it no requests either. At last `refuses_callers` is set: requests of
    callers that still send to it might not finish before it ends.
    """

    settings: SidecarSettings
    incarnation: int
    metrics: Metrics = field(default_factory=Metrics)
    table: RouteTable | None = None
    record: bytes = b""
    members: dict[str, Member] = field(default_factory=dict)
    is_stopping: bool = False
    is_draining: bool = False
    refuses_callers: bool = False
    shutdown: Shutdown = field(default_factory=Shutdown)
    time_limits: TimeLimits = field(default_factory=TimeLimits)
    access: AccessPolicy = field(
        default_factory=lambda: AccessPolicy(revocation_s=None)
    )

    @property
    def version(self) -> int:
        """Return the version of the routes in force; 0 before the first."""
        return self.table.version if self.table else 0

    def make_hello(self) -> Hello:
        """Return the frame that opens a stream to or from a peer."""
        return Hello(
            protocol=PROTOCOL_VERSION,
            instance=self.settings.instance,
            incarnation=self.incarnation,
            zone=self.settings.zone,
        )
