"""The frames that nodes exchange, and their numbers on the wire.

On a connection only the side that opened it sends calls and queries; the other
side sends what answers them. A chunk belongs to the request's body when the opener
sends it and to the answer's body when the acceptor does. `clock` is the sender's
hybrid logical clock, by which events of several processes are put in order.
"""

from collections.abc import Callable
from typing import TypeVar

import msgspec

PROTOCOL_VERSION = 3

FRAMES: dict[int, type["Frame"]] = {}
CODES: dict[type["Frame"], int] = {}

F = TypeVar("F", bound="Frame")


class Frame(msgspec.Struct, kw_only=True, array_like=True, forbid_unknown_fields=True):
    """Base of all frames; on the wire a frame is the list of its fields' values."""


def register_frame(code: int) -> Callable[[type[F]], type[F]]:
    """Give a frame class its number on the wire."""

    def register(frame: type[F]) -> type[F]:
        FRAMES[code] = frame
        CODES[frame] = code
        return frame

    return register


@register_frame(1)
class Hello(Frame, kw_only=True):
    """First frame of both sides: who they are. A restart is a new incarnation."""

    protocol: int
    instance: str
    incarnation: int
    zone: str


@register_frame(2)
class Call(Frame, kw_only=True):
    """A call, with its body or the body's first part.

    With `submission` the receiver is asked to act as the ticket's home; without,
    to run the call on its own upstream. Times are relative, since clocks differ.
    """

    call: int
    submission: bool
    kind: str
    version: int
    caller: str
    request: str
    ticket: str
    method: str
    path: str
    headers: list[list[bytes]]
    timeout_ms: int
    retries: int
    depth: int
    work_ms: int
    body_bytes: int
    body: bytes
    more: bool
    clock: int


@register_frame(3)
class Chunk(Frame, kw_only=True):
    """A further part of a body; the last one carries the whole body's digest."""

    call: int
    data: bytes
    last: bool
    digest: bytes


@register_frame(4)
class Credit(Frame, kw_only=True):
    """Leave to send so many more bytes of a body."""

    call: int
    size: int


@register_frame(5)
class Cancel(Frame, kw_only=True):
    """The caller no longer wants the call's answer."""

    call: int


@register_frame(6)
class Reply(Frame, kw_only=True):
    """The answer to a call, with its body or the body's first part.

    `in_flight`, `limit` and `queue_ms` are the target's load as it answers;
    `admitted` is the least importance that it now takes in.
    """

    call: int
    outcome: str
    error: str
    detail: str
    retry_after_ms: int
    status: int
    headers: list[list[bytes]]
    ticket: str
    retries_spent: int
    in_flight: int
    limit: int
    queue_ms: int
    admitted: int
    body: bytes
    more: bool
    digest: bytes
    clock: int


@register_frame(7)
class Heartbeat(Frame, kw_only=True):
    """Sent at a fixed period by both sides.

    `version` and `offset` are of the configuration that the sender holds;
    `held` is the lowest offset held in the sender's part of its zone's tree, and
    `age_ms` the time since the version was last confirmed by the log. `parent` is
    the sender's parent in the tree, empty at the root.
    """

    version: int
    offset: int
    held: int
    age_ms: int
    parent: str
    draining: bool
    clock: int


@register_frame(8)
class Leaving(Frame, kw_only=True):
    """The sender's instance takes no new work from now on."""

    incarnation: int


@register_frame(15)
class SlowCall(Frame, kw_only=True):
    """The sender's upstream has not answered a call after the kind's usual time."""

    kind: str
    late_ms: int


@register_frame(9)
class RecordIntent(Frame, kw_only=True):
    """The home asks the witness to record that the ticket's call is to run."""

    query: int
    ticket: str


@register_frame(10)
class ResolveTicket(Frame, kw_only=True):
    """A node asks the witness about a ticket whose home it can't reach.

    `replacement` is the ticket under which the asker would run the call.
    """

    query: int
    ticket: str
    replacement: str


@register_frame(11)
class Verdict(Frame, kw_only=True):
    """The witness's verdict on a ticket."""

    query: int
    verdict: str
    replacement: str


@register_frame(12)
class FetchRecords(Frame, kw_only=True):
    """Ask a peer for the configuration records from an offset on, and all later."""

    query: int
    offset: int


@register_frame(13)
class Records(Frame, kw_only=True):
    """Configuration records in log order, from offset `first` on.

    `query` is 0 where they were sent unasked; `snapshot` stands before them where
    earlier records are gone.
    """

    query: int
    first: int
    records: list[bytes] = msgspec.field(default_factory=list)
    snapshot: bytes = b""


@register_frame(14)
class Announcements(Frame, kw_only=True):
    """Announcements of members, passed on over the tree and between roots."""

    members: list[bytes]


@register_frame(16)
class Forward(Frame, kw_only=True):
    """One attempt at a request, whole, for the target beside the receiver.

    `timeout_ms` is what is left of the request's time. `inner` marks the call of a
    target that runs an admitted request, `returning` a caller that has come back.
    `lines` are the encoded headers.
    """

    query: int
    identity: str
    service: str
    route: str
    idempotent: bool
    importance: int
    inner: bool
    returning: bool
    timeout_ms: int
    objective_ms: int
    method: bytes
    path: bytes
    lines: bytes
    body: bytes


@register_frame(17)
class ForwardReply(Frame, kw_only=True):
    """What has become of a forwarded request; `status` is 0 without an answer.

    `calls_others` tells that a run of the target may cause calls of other services.
    `lines` are the encoded headers.
    `in_flight`, `limit`, `queue_ms` and `admitted` are the target's load.
    """

    query: int
    outcome: str
    arrived: bool
    error: str
    detail: str
    retry_after_ms: int
    run_ms: int
    calls_others: bool
    status: int
    lines: bytes
    body: bytes
    in_flight: int
    limit: int
    queue_ms: int
    admitted: int


@register_frame(18)
class FetchRoutes(Frame, kw_only=True):
    """Ask a peer for the newest record of the routes that it holds."""

    query: int


@register_frame(19)
class RoutesRecord(Frame, kw_only=True):
    """The newest record of the routes as it stands in the store; empty if none."""

    query: int
    data: bytes


@register_frame(20)
class CallersRoutes(Frame, kw_only=True):
    """Names of routes that the sender has found to be used by callers."""

    routes: list[str]


@register_frame(21)
class DegradedRoute(Frame, kw_only=True):
    """A callers' route of this importance fails or is late at the sender's target."""

    importance: int
