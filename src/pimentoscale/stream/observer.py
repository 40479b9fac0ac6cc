"""What a peer asks of its owner, and of the frames that it sends."""

from typing import TYPE_CHECKING, Protocol

from pimentoscale.stream.frames import (
    Announcements,
    CallerRoutes,
    Frame,
    Heartbeat,
    HeldRecord,
    Hello,
    HoldRecord,
    Records,
    SlowCall,
    TopicRecords,
)

if TYPE_CHECKING:
    from pimentoscale.stream.peer import Peer


class Query(Protocol):
    """A frame that is answered by one frame with the same query number."""

    query: int


class PeerObserver(Protocol):
    """Callbacks of the owner of a peer."""

    def build_heartbeat(self) -> Heartbeat:
        """Return the heartbeat to send."""

    def on_heartbeat(self, *, remote: Hello, frame: Heartbeat) -> None:
        """Handle a heartbeat of the other side."""

    def on_records(self, *, frame: Records) -> None:
        """Handle configuration records."""

    def on_announcements(self, *, frame: Announcements, peer: "Peer") -> None:
        """Handle announcements of members."""

    def on_slow_call(self, *, remote: Hello, frame: SlowCall) -> None:
        """Handle a report that a call on the other side's upstream is slow."""

    def on_caller_routes(self, *, frame: CallerRoutes) -> None:
        """Handle the names of routes that callers use."""

    def on_topic_records(self, *, remote: Hello, frame: TopicRecords) -> None:
        """Handle records of the store's topics."""

    def on_hold_record(self, *, frame: HoldRecord) -> HeldRecord | None:
        """Return the answer to a question for a member record, None without one."""

    def on_notice(self, *, remote: Hello, frame: Frame) -> None:
        """Handle a frame that only nodes on the users' platform send."""

    def on_draining(self, *, remote: Hello) -> None:
        """Handle the notice that the other side admits no new work."""

    def on_up(self, *, remote: Hello, peer: "Peer") -> None:
        """Handle a new connection: the peer can be used."""

    def on_down(self, *, peer: "Peer") -> None:
        """Handle the end of the connection: the peer can't be used."""
