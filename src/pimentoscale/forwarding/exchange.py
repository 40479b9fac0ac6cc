"""What passes between the two sides of a forwarded request."""

from enum import Enum
from typing import Protocol

import msgspec

from pimentoscale.admission import Load
from pimentoscale.errors import CallError, ErrorKind
from pimentoscale.http import Header, HttpRequest, HttpResponse


class RequestMetadata(msgspec.Struct, kw_only=True, frozen=True):
    """What a request asks for; `remaining_s` is how long its sender waits."""

    identity: str
    host: str
    remaining_s: float | None


class TargetAnswer(msgspec.Struct, kw_only=True, frozen=True):
    """What a target's answer states about itself."""

    ran: bool
    is_genuine: bool
    is_misdirected: bool


class Messages(Protocol):
    """Names of headers at the edges; an implementation decides nothing."""

    def read_metadata(self, request: HttpRequest) -> RequestMetadata | None:
        """Return what a request asks for, or None if a header is malformed."""

    def encode_request_headers(self, headers: list[Header], *, service: str) -> bytes:
        """Return the header lines to pass on, with the service where it began."""

    def encode_target_headers(self, *, remaining_ms: int, instance: str) -> bytes:
        """Return the header lines that the node beside the target adds."""

    def belongs_to(self, response: HttpResponse, identity: str) -> bool:
        """Tell whether an answer is the one to the request."""

    def read_answer(self, response: HttpResponse, identity: str) -> TargetAnswer:
        """Return what a target's answer states."""


class AttemptOutcome(Enum):
    """What has become of one attempt."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ForwardRequest(msgspec.Struct, kw_only=True):
    """One attempt at one target; `deadline` is on this process's clock, in seconds.

    `is_inner` marks a call of a target, which an admitted request needs;
    `was_refused` a caller that has been refused before.
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


class Attempt(msgspec.Struct, kw_only=True):
    """The outcome of one attempt.

    `arrived` tells that a target has received it, even if it did not run it;
    `run_ms` is the time that the target took; `calls_others` tells that its runs may
    cause calls of other services.
    """

    outcome: AttemptOutcome
    arrived: bool = False
    response: HttpResponse | None = None
    error: CallError | None = None
    load: Load | None = None
    run_ms: float = 0.0
    calls_others: bool = True

    @classmethod
    def of_error(
        cls, kind: ErrorKind, *, detail: str = "", retry_after_ms: int = 0
    ) -> "Attempt":
        """Return an attempt that ran nowhere."""
        error = CallError(kind=kind, detail=detail, retry_after_ms=retry_after_ms)
        return cls(outcome=AttemptOutcome.NOT_RUN, error=error)

    @classmethod
    def of_doubt(cls, kind: ErrorKind, *, detail: str = "") -> "Attempt":
        """Return an attempt that may have run."""
        error = CallError(kind=kind, detail=detail)
        return cls(outcome=AttemptOutcome.UNKNOWN, arrived=True, error=error)


class Tried(msgspec.Struct, kw_only=True):
    """What the attempts at one request have come to so far."""

    nodes: list[str] = msgspec.field(default_factory=list)
    arrivals: int = 0
    may_have_run: bool = False
    last: Attempt | None = None
