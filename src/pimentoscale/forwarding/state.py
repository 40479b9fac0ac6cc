"""What all parts of a forwarding node share."""

from dataclasses import dataclass, field

from pimentoscale.forwarding.settings import SidecarSettings
from pimentoscale.membership import Member
from pimentoscale.metrics import Metrics
from pimentoscale.routes import RouteTable
from pimentoscale.stream import Hello
from pimentoscale.stream.frames import PROTOCOL_VERSION


@dataclass(slots=True, kw_only=True)
class SidecarState:
    """The routes in force, the members and the state of this node.

    `record` is the newest record of the routes as it stands in the store, kept for
    peers that can't read it there. A node that
    is stopping takes no new callers; once it is leaving, no work of other nodes either;
    in the end it refuses callers that still send to it, while there is no time to
    finish their requests.
    """

    settings: SidecarSettings
    incarnation: int
    metrics: Metrics = field(default_factory=Metrics)
    table: RouteTable | None = None
    record: bytes = b""
    members: dict[str, Member] = field(default_factory=dict)
    is_stopping: bool = False
    is_leaving: bool = False
    refuses_callers: bool = False

    @property
    def version(self) -> int:
        """Return the version of the routes in force; 0 before the first."""
        return self.table.version if self.table else 0

    def greet(self) -> Hello:
        """Return this node's greeting to peers."""
        return Hello(
            protocol=PROTOCOL_VERSION,
            instance=self.settings.instance,
            incarnation=self.incarnation,
            zone=self.settings.zone,
        )
