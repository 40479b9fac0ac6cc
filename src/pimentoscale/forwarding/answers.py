"""What the sender of a forwarded request is told in the end."""

import random

from pimentoscale.errors import ANSWERS, CallError, ErrorKind
from pimentoscale.forwarding.exchange import Attempt, ForwardRequest, Tried
from pimentoscale.forwarding.state import SidecarState
from pimentoscale.http import HttpResponse
from pimentoscale.logs import get_logger

# When to come back if no better time is known, in seconds, and the spread around it:
# callers that were refused together should not come back together.
RETRY_AFTER_S = 0.3
RETRY_SPREAD = 1.0
REFUSED_STATUS = 503
FIRST_FAILURE = 500

log = get_logger("entry")


class Answers:
    """Makes the answers of an entry node, each with its log line and count."""

    __slots__ = ("_source", "_state")

    def __init__(self, *, state: SidecarState, source: random.Random) -> None:
        self._state = state
        self._source = source

    def finish(
        self,
        forward: ForwardRequest,
        tried: Tried,
        *,
        has_targets: bool,
        started: float,
        now: float,
    ) -> HttpResponse:
        """Return the answer to a request after all attempts."""
        self._state.metrics.record_duration(
            kind=forward.route, part="whole", seconds=now - started
        )
        attempt = tried.last
        if attempt is not None and attempt.response is not None:
            self._note_answer(forward, tried, attempt, attempt.response, started, now)
            return attempt.response
        error = attempt.error if attempt is not None else None
        if error is None and has_targets:
            error = CallError(kind=ErrorKind.OVERLOADED, detail="known from before")
        if error is None:
            error = CallError(kind=ErrorKind.NO_TARGET)
        if tried.may_have_run and ANSWERS[error.kind].status == REFUSED_STATUS:
            error = CallError(kind=ErrorKind.UPSTREAM_FAILED, detail=error.kind.value)
        return self.make_error(
            error, forward.identity, forward.route, ran_nowhere=not tried.may_have_run
        )

    def make_error(
        self, error: CallError, identity: str, route: str, *, ran_nowhere: bool = True
    ) -> HttpResponse:
        """Return the answer to a request that no target has answered."""
        row = ANSWERS[error.kind]
        status = row.status
        headers = [(b"content-type", b"text/plain; charset=utf-8")]
        if ran_nowhere and status >= FIRST_FAILURE:
            status = REFUSED_STATUS
            base_s = max(RETRY_AFTER_S, error.retry_after_ms / 1000)
            wait_s = base_s * self._source.uniform(1, 1 + RETRY_SPREAD)
            headers.append((b"retry-after", f"{wait_s:.2f}".encode()))
        self._state.metrics.count("errors", error.kind.value)
        log.info(
            "answered %d: %s %s route=%s version=%d",
            status,
            error.kind.value,
            error.detail,
            route,
            self._state.version,
            request=identity,
        )
        return HttpResponse(
            status=status, headers=headers, body=row.text.encode() + b"\n"
        )

    def _note_answer(
        self,
        forward: ForwardRequest,
        tried: Tried,
        attempt: Attempt,
        response: HttpResponse,
        started: float,
        now: float,
    ) -> None:
        self._state.metrics.count("answers", str(response.status))
        log.info(
            "answered %d: at=%s route=%s inner=%s run_ms=%.0f total_ms=%.0f "
            "left_ms=%.0f offers=%d version=%d",
            response.status,
            ",".join(tried.nodes),
            forward.route,
            forward.is_inner,
            attempt.run_ms,
            (now - started) * 1000,
            (forward.deadline - now) * 1000,
            len(tried.nodes),
            self._state.version,
            request=forward.identity,
        )
