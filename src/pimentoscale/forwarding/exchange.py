"""Types that the sending and the target side of a forwarded request share."""

from enum import Enum
from typing import Protocol

import msgspec

from pimentoscale.admission import Load
from pimentoscale.errors import CallError, ErrorKind
from pimentoscale.http import Header, HttpRequest, HttpResponse
from pimentoscale.suspension import MIN_SUSPENSION_S, read_suspended_s


class RequestMetadata(msgspec.Struct, kw_only=True, frozen=True):
    """What the headers of a request state about it.

    `remaining_s` is how long the sender waits for the response, None if not stated.
    `key` is that of the sender's organisation, None if there is none.
    """

    identity: str
    host: str
    remaining_s: float | None
    key: bytes | None = None


class Sender(msgspec.Struct, kw_only=True, frozen=True):
    """What a target is told of the sender of a request.

    `organisation` is empty if the sender is of none. With `hides_key` the target gets
    neither the key nor an organisation that the sender has named itself.
    """

    organisation: str = ""
    hides_key: bool = False


ANYBODY = Sender()


class ToldLoad(msgspec.Struct, kw_only=True, frozen=True):
    """The load that a target states with a response.

    `running` and `waiting` count its requests, `slots` how many it runs at once.
    `slowdown` is how long work takes there at that moment, 1 as usual.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float


class TargetAnswer(msgspec.Struct, kw_only=True, frozen=True):
    """What the response of a target states about the request and the target.

    `ran` tells that the target ran it, `is_genuine` that the response is signed for
    this request, `is_misdirected` that another instance than the expected one got it.
    `load` is None if the target tells none; `load_fault` says why a stated one is not
    valid. `rate_limit` is how many requests a second the target takes from all nodes
    together, None if it states no limit, and `rate_limit_fault` says why a stated one
    is not valid. `is_leaving` tells that the target is about to end.
    """

    ran: bool
    is_genuine: bool
    is_misdirected: bool
    load: ToldLoad | None = None
    load_fault: str = ""
    rate_limit: float | None = None
    rate_limit_fault: str = ""
    is_leaving: bool = False


class Messages(Protocol):
    """Reads and writes the headers of one platform; holds no policy."""

    def read_metadata(self, request: HttpRequest) -> RequestMetadata | None:
        """Return the metadata of a request, or None if a header is malformed."""

    def encode_request_headers(
        self, headers: list[Header], *, service: str, sender: Sender = ANYBODY
    ) -> bytes:
        """Return the header lines to forward; `service` is the sending node's own."""

    def encode_target_headers(self, *, remaining_ms: int, instance: str) -> bytes:
        """Return the header lines that the node beside the target adds."""

    def matches(self, response: HttpResponse, identity: str) -> bool:
        """Return whether a response is the one to the request."""

    def read_answer(self, response: HttpResponse, identity: str) -> TargetAnswer:
        """Return what a target's response states about the request."""


class StatedCondition(msgspec.Struct, kw_only=True, frozen=True):
    """What a target states about how long and how much it takes requests.

    `upstream` identifies the start of the target. `rate_limit` is how many requests a
    second it takes from all nodes together, None without a limit. `is_leaving` tells
    that it is about to end.
    """

    upstream: str
    rate_limit: float | None = None
    is_leaving: bool = False


class AttemptOutcome(Enum):
    """How one attempt ended."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ForwardRequest(msgspec.Struct, kw_only=True):
    """A request to be run at one target.

    `deadline` is on this process's monotonic clock, in seconds. `is_inner` marks a call
    that a target makes for a request already admitted; `was_refused` a caller that was
    refused before and retries. `suspended_s` is how long the machine had been suspended
    when this node received the request: that clock stands still meanwhile, while the
    sender's goes on. `organisation` is that of the caller, empty if there is none,
    and `organisation_rank` its place among all by importance.
    `stated` is what the sending node has heard of the target, None if it has heard of
    no limit. `is_handed_over` tells that this node has sent the request to a target or
    to the node beside one in the attempt in progress.
    """

    identity: str
    service: str
    route: str
    idempotent: bool
    importance: int
    is_inner: bool
    was_refused: bool
    deadline: float
    objective_s: float
    message: HttpRequest
    suspended_s: float
    organisation: str = ""
    organisation_rank: int = 0
    stated: StatedCondition | None = None
    is_handed_over: bool = False


def get_deadline(request: ForwardRequest) -> float:
    """Return a request's deadline, sooner if the machine was suspended meanwhile."""
    suspended_s = read_suspended_s() - request.suspended_s
    if suspended_s < MIN_SUSPENSION_S:
        return request.deadline
    return request.deadline - suspended_s


class Attempt(msgspec.Struct, kw_only=True):
    """The result of one attempt.

    `arrived` tells that a target received the request, even if it did not run it;
    `run_ms` is the time that the target took; `calls_others` tells that runs at this
    target may call other services. `stated` is what the target states about its
    condition, None if it neither states a limit nor leaves.
    """

    outcome: AttemptOutcome
    arrived: bool = False
    response: HttpResponse | None = None
    error: CallError | None = None
    load: Load | None = None
    run_ms: float = 0.0
    calls_others: bool = True
    stated: StatedCondition | None = None

    @classmethod
    def make_not_run(
        cls, kind: ErrorKind, *, detail: str = "", retry_after_ms: int = 0
    ) -> "Attempt":
        """Return an attempt that no target ran."""
        error = CallError(kind=kind, detail=detail, retry_after_ms=retry_after_ms)
        return cls(outcome=AttemptOutcome.NOT_RUN, error=error)

    @classmethod
    def make_unknown(cls, kind: ErrorKind, *, detail: str = "") -> "Attempt":
        """Return an attempt that may have run."""
        error = CallError(kind=kind, detail=detail)
        return cls(outcome=AttemptOutcome.UNKNOWN, arrived=True, error=error)

    @classmethod
    def make_interrupted(cls, request: ForwardRequest, *, detail: str) -> "Attempt":
        """Return the attempt in progress at a request as this node gives it up."""
        if request.is_handed_over:
            return cls.make_unknown(ErrorKind.DEADLINE_WHILE_RUNNING, detail=detail)
        return cls.make_not_run(ErrorKind.DRAINING, detail=detail)


class AttemptHistory(msgspec.Struct, kw_only=True):
    """The attempts at one request so far.

    `nodes` are the instances that it was sent to, in order; `arrivals` counts the
    attempts that a target received.
    """

    nodes: list[str] = msgspec.field(default_factory=list)
    arrivals: int = 0
    may_have_run: bool = False
    last: Attempt | None = None

    def add(self, attempt: Attempt) -> None:
        """Add an attempt that has ended."""
        self.last = attempt
        self.arrivals += attempt.arrived
        if attempt.outcome is not AttemptOutcome.NOT_RUN:
            self.may_have_run = True
