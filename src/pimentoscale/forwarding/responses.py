"""Builds the response to the sender of a forwarded request."""

import random

from pimentoscale.errors import ANSWERS, CallError, ErrorKind
from pimentoscale.forwarding.exchange import Attempt, AttemptHistory, ForwardRequest
from pimentoscale.forwarding.state import SidecarState
from pimentoscale.http import HttpResponse
from pimentoscale.logs import get_logger

# Retry-After in seconds if the error suggests no longer time. Jitter of up to the same
# time again is added, so that callers refused together don't retry together.
RETRY_AFTER_S = 0.3
RETRY_JITTER = 1.0
REFUSED_STATUS = 503
RETRY_STATUSES = (REFUSED_STATUS, 429)
MIN_SERVER_ERROR = 500

# Organisations that a node counts one by one; the others are counted together.
MAX_ORGANISATIONS = 50
OTHER_ORGANISATIONS = "(others)"

log = get_logger("entry")


class ResponseBuilder:
    """Builds the responses of an entry node, and logs and counts each of them."""

    __slots__ = ("_organisations", "_rng", "_state")

    def __init__(self, *, state: SidecarState, rng: random.Random) -> None:
        self._state = state
        self._rng = rng
        # Organisations with a label of their own in the metrics.
        self._organisations: set[str] = set()

    def build(
        self,
        forward: ForwardRequest,
        history: AttemptHistory,
        *,
        has_targets: bool,
        started: float,
        now: float,
    ) -> HttpResponse:
        """Return the response to a request after its last attempt.

        A request that may have run gets no status that promises that it did not.
        """
        self._state.metrics.record_duration(
            kind=forward.route, part="whole", seconds=now - started
        )
        attempt = history.last
        if attempt is not None and attempt.response is not None:
            self._record_response(
                forward, history, attempt, attempt.response, started, now
            )
            return attempt.response
        error = attempt.error if attempt is not None else None
        if error is None and has_targets:
            # No attempt was made: each node has just refused the route or is ejected,
            # or no time was left.
            error = CallError(kind=ErrorKind.OVERLOADED, detail="known from before")
        if error is None:
            error = CallError(kind=ErrorKind.NO_TARGET)
        if history.may_have_run and ANSWERS[error.kind].status == REFUSED_STATUS:
            error = CallError(kind=ErrorKind.UPSTREAM_FAILED, detail=error.kind.value)
        return self.build_error(
            error,
            forward.identity,
            forward.route,
            ran_nowhere=not history.may_have_run,
            organisation=forward.organisation,
        )

    def build_error(
        self,
        error: CallError,
        identity: str,
        route: str,
        *,
        ran_nowhere: bool = True,
        organisation: str = "",
    ) -> HttpResponse:
        """Return the response to a request that no target has answered."""
        row = ANSWERS[error.kind]
        status = row.status
        headers = [(b"content-type", b"text/plain; charset=utf-8")]
        if ran_nowhere and status >= MIN_SERVER_ERROR:
            status = REFUSED_STATUS
        if status in RETRY_STATUSES and ran_nowhere:
            base_s = max(RETRY_AFTER_S, error.retry_after_ms / 1000)
            wait_s = base_s * self._rng.uniform(1, 1 + RETRY_JITTER)
            headers.append((b"retry-after", f"{wait_s:.2f}".encode()))
        self._state.metrics.count("errors", error.kind.value)
        if organisation:
            self._count_organisation(organisation, error.kind.value)
        log.info(
            "answered %d: %s %s route=%s organisation=%s version=%d",
            status,
            error.kind.value,
            error.detail,
            route,
            organisation,
            self._state.version,
            request=identity,
        )
        return HttpResponse(
            status=status, headers=headers, body=row.text.encode() + b"\n"
        )

    def _count_organisation(self, organisation: str, outcome: str) -> None:
        """Count a request of an organisation; those beyond a number share a label."""
        if organisation not in self._organisations:
            if len(self._organisations) >= MAX_ORGANISATIONS:
                organisation = OTHER_ORGANISATIONS
            self._organisations.add(organisation)
        self._state.metrics.count("organisation_requests", f"{organisation} {outcome}")

    def _record_response(
        self,
        forward: ForwardRequest,
        history: AttemptHistory,
        attempt: Attempt,
        response: HttpResponse,
        started: float,
        now: float,
    ) -> None:
        """Count and log the response of a target."""
        self._state.metrics.count("answers", str(response.status))
        if forward.organisation:
            self._count_organisation(forward.organisation, "answered")
        log.info(
            "answered %d: at=%s route=%s inner=%s run_ms=%.0f total_ms=%.0f "
            "left_ms=%.0f offers=%d organisation=%s version=%d",
            response.status,
            ",".join(history.nodes),
            forward.route,
            forward.is_inner,
            attempt.run_ms,
            (now - started) * 1000,
            (forward.deadline - now) * 1000,
            len(history.nodes),
            forward.organisation,
            self._state.version,
            request=forward.identity,
        )
