"""The frames that nodes exchange, and their numbers on the wire.

On a connection only the initiator, the side that opened it, sends calls and queries;
the acceptor sends the replies. A chunk from the initiator belongs to the body of a
request, one from the acceptor to the body of an answer. `clock` is the sender's hybrid
logical clock, which orders the events of several processes.
"""

from collections.abc import Callable
from typing import TypeVar

import msgspec

PROTOCOL_VERSION = 8

FRAMES: dict[int, type["Frame"]] = {}
CODES: dict[type["Frame"], int] = {}

F = TypeVar("F", bound="Frame")


class Frame(msgspec.Struct, kw_only=True, array_like=True, forbid_unknown_fields=True):
    """Base of all frames; a frame is encoded as the list of its fields' values."""


def register_frame(code: int) -> Callable[[type[F]], type[F]]:
    """Return a decorator that gives a frame class its number on the wire."""

    def register(frame: type[F]) -> type[F]:
        FRAMES[code] = frame
        CODES[frame] = code
        return frame

    return register


@register_frame(1)
class Hello(Frame, kw_only=True):
    """Identifies the sender; first frame of both sides.

    `incarnation` is a new number after each restart.
    """

    protocol: int
    instance: str
    incarnation: int
    zone: str


@register_frame(2)
class Call(Frame, kw_only=True):
    """A call, with its body or the body's first part.

    With `submission` the receiver acts as the home of the ticket; otherwise it runs
    the call on its own upstream. Times are durations, since clocks of hosts differ.
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
    """A further part of a body; the last chunk carries the digest of the whole body."""

    call: int
    data: bytes
    last: bool
    digest: bytes


@register_frame(4)
class Credit(Frame, kw_only=True):
    """Flow-control credit: its receiver may send `size` more bytes of a body."""

    call: int
    size: int


@register_frame(5)
class Cancel(Frame, kw_only=True):
    """Cancels a call or a query: the initiator no longer waits for its answer."""

    call: int


@register_frame(6)
class Reply(Frame, kw_only=True):
    """The answer to a call, with its body or the body's first part.

    `in_flight`, `limit` and `queue_ms` are the load of the target when it answers;
    `admitted` is the lowest importance that it currently admits.
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
    """Sent by both sides at a fixed period.

    `version` and `offset` identify the configuration that the sender holds. `held` is
    the lowest offset held in the sender's subtree of its zone's distribution tree, and
    `age_ms` the time since the log last confirmed the version. `parent` is the
    sender's parent in the tree, empty at the root.
    """

    version: int
    offset: int
    held: int
    age_ms: int
    parent: str
    draining: bool
    clock: int


@register_frame(8)
class Draining(Frame, kw_only=True):
    """The sender's instance is draining: it admits no new work from now on."""

    incarnation: int


@register_frame(15)
class SlowCall(Frame, kw_only=True):
    """A call has run on the sender's upstream for longer than is usual for its kind."""

    kind: str
    late_ms: int


@register_frame(9)
class RecordIntent(Frame, kw_only=True):
    """Asks the witness to record that the home is about to run the ticket's call."""

    query: int
    ticket: str


@register_frame(10)
class ResolveTicket(Frame, kw_only=True):
    """Asks the witness for the verdict on a ticket whose home is unreachable.

    `replacement` is the ticket under which the sender would run the call.
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
    """Requests the configuration records from an offset on, and all later ones."""

    query: int
    offset: int


@register_frame(13)
class Records(Frame, kw_only=True):
    """Configuration records in log order, from offset `first` on.

    `query` is 0 if they were not requested. `snapshot` replaces the records before
    `first` if these are no longer kept.
    """

    query: int
    first: int
    records: list[bytes] = msgspec.field(default_factory=list)
    snapshot: bytes = b""


@register_frame(14)
class Announcements(Frame, kw_only=True):
    """Announcements of members, sent along each zone's tree and between the roots."""

    members: list[bytes]


@register_frame(16)
class Forward(Frame, kw_only=True):
    """One attempt at a request, with its whole body, for the receiver's target.

    `timeout_ms` is the time left until the request's deadline. `inner` marks a call
    that a target makes while it runs an admitted request, `returning` a caller that
    was refused before and tries again. `lines` are the encoded headers. `organisation`
    is that of the caller, and `organisation_rank` its importance among all.
    `rate_limit` is the limit, in thousandths of a request a second, that the sender has
    heard of from the start `upstream` of the receiver's target; `upstream` is empty if
    it has heard of none.
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
    organisation: str = ""
    organisation_rank: int = 0
    rate_limit: int = 0
    upstream: str = ""


@register_frame(17)
class ForwardReply(Frame, kw_only=True):
    """The outcome of a forwarded request; `status` is 0 without an answer.

    `arrived` states that the request reached the target, even if it was not run, and
    `calls_others` that a run of the target may call other services. `lines` are the
    encoded headers. `in_flight`, `limit`, `queue_ms` and `admitted` are the load of
    the target, and `slowdown_percent` is how slow its work is, 0 if it does not tell.
    `upstream` identifies the start of a target that states a rate limit or is
    `leaving`; otherwise it is empty. `rate_limit` is in thousandths of a request a
    second, negative without a limit.
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
    slowdown_percent: int
    rate_limit: int = -1
    leaving: bool = False
    upstream: str = ""


@register_frame(18)
class FetchRoutes(Frame, kw_only=True):
    """Asks a peer for the newest record of the routes that it holds."""

    query: int


@register_frame(19)
class RoutesRecord(Frame, kw_only=True):
    """The newest record of the routes, as stored; empty if there is none."""

    query: int
    data: bytes


@register_frame(20)
class CallerRoutes(Frame, kw_only=True):
    """Names of routes on which the sender has observed requests of callers."""

    routes: list[str]


@register_frame(22)
class FollowTopics(Frame, kw_only=True):
    """Asks for the records of topics from a position on, and for all later ones.

    A position is an era of the store and an offset. Without any topic, the sender wants
    no further records.
    """

    positions: dict[str, tuple[int, int]]


@register_frame(23)
class TopicRecords(Frame, kw_only=True):
    """The newest records of a topic's keys: key, value, era and offset of each.

    All records before `next_offset` of `next_era` that the receiver asked for have been
    sent; `age_ms` is how long ago the store confirmed that there are no others. Each is
    -1 if unknown.
    """

    topic: str
    next_era: int
    next_offset: int
    age_ms: int
    items: list[tuple[bytes, bytes, int, int]]


@register_frame(21)
class DegradedRoute(Frame, kw_only=True):
    """A caller route of this importance fails or is late at the sender's target."""

    importance: int


@register_frame(24)
class HoldRecord(Frame, kw_only=True):
    """Asks for the newest member record of a node that the receiver holds.

    `data` is a record of that node for the receiver to hold; empty if there is none.
    """

    query: int
    instance: str
    data: bytes


@register_frame(25)
class HeldRecord(Frame, kw_only=True):
    """The newest member record that the sender holds of a node; empty if none.

    `query` is 0 if the record is that of the receiver and was not asked for. `holders`
    is then how many nodes hold that record, as far as the sender knows; 0 if the sender
    is none of them.
    """

    query: int
    data: bytes
    holders: int = 0


@register_frame(26)
class CheckStore(Frame, kw_only=True):
    """Asks a reader of the store to check on its reads: the sender had no answer."""


@register_frame(27)
class AskConfirmation(Frame, kw_only=True):
    """Asks the source of the sender's records how old their confirmation is.

    `clock_us` is the sender's clock in microseconds, which the answer returns.
    """

    clock_us: int


@register_frame(28)
class StateConfirmation(Frame, kw_only=True):
    """How long ago the store confirmed the configuration; -1 if the sender can't tell.

    `clock_us` is that of the question.
    """

    clock_us: int
    age_us: int


@register_frame(29)
class ReportUsage(Frame, kw_only=True):
    """Requests of each organisation since the last report: those asked and admitted."""

    usage: dict[str, tuple[int, int]]


@register_frame(30)
class AdmittedShares(Frame, kw_only=True):
    """Which share of an organisation's requests to admit, in millionths, if not all."""

    shares: dict[str, int]


@register_frame(31)
class ZoneDemand(Frame, kw_only=True):
    """The demand of a zone, in thousandths of a request a second, by organisation.

    It is the statement number `serial` of the home `incarnation`, and confirms a
    statement of the receiving zone by the same two numbers.
    """

    zone: str
    incarnation: int
    serial: int
    demands: dict[str, int]
    confirmed_incarnation: int
    confirmed_serial: int


@register_frame(32)
class ReserveBody(Frame, kw_only=True):
    """Asks for room for the body of a request that the sender is about to forward."""

    query: int
    size: int


@register_frame(33)
class BodyReserved(Frame, kw_only=True):
    """Whether there is room for a body; it is kept for a short time."""

    query: int
    granted: bool
