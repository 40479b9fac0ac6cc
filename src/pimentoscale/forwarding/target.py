"""Runs forwarded requests at the upstream beside this node."""

import asyncio
import math
from collections.abc import Callable

from pimentoscale.admission import (
    Entry,
    LimitAlgorithm,
    Load,
    RootRequestLimiter,
    Slot,
)
from pimentoscale.errors import CallError, ErrorKind
from pimentoscale.forwarding.entries import make_entry
from pimentoscale.forwarding.exchange import (
    Attempt,
    AttemptOutcome,
    ForwardRequest,
    Messages,
    StatedCondition,
    TargetAnswer,
    get_deadline,
)
from pimentoscale.forwarding.retries import may_call
from pimentoscale.forwarding.settings import SidecarSettings
from pimentoscale.forwarding.target_queue import TargetQueue
from pimentoscale.http import (
    HttpClient,
    HttpClientConnection,
    HttpRequest,
    HttpResponse,
    IncompleteResponseError,
    NotConnectedError,
    OversizedResponseError,
    drop_connection_headers,
    encode_headers,
)
from pimentoscale.logs import get_logger
from pimentoscale.membership.upstream import (
    ApplyResult,
    UpstreamAnnouncement,
    UpstreamRegistration,
)
from pimentoscale.memory import MemoryAccount
from pimentoscale.organisations import MAX_RANK

# A request that is not idempotent can't be retried, so it uses a connection only if
# that was in use within this time: the target may close an idle one just as the request
# arrives.
MAX_CONNECTION_IDLE_S = 1.0
# The target itself responds at the deadline; this node waits this much longer for that
# response.
TARGET_DEADLINE_GRACE_S = 0.02
# A connect that is not answered for this long shows that the target is unreachable,
# even if the request's deadline ends it.
SILENT_CONNECT_S = 0.2
# Limit of connections until the configuration sets one.
DEFAULT_CONNECTIONS = 128
# A caller whose route is at its limit should retry after this share of its objective.
ROOT_RETRY_SHARE = 0.5
MIN_SERVER_ERROR = 500
# Callers take these statuses as a promise that the request has not run.
REFUSAL_STATUSES = frozenset((408, 421, 429, 503))
# Connections of the upstream's limit that this node leaves unused.
SPARE_CONNECTIONS = 2

log = get_logger("target")


class LocalTarget:
    """Admits requests to the upstream beside this node and sends them to it.

    A request is sent at most once, and only while the upstream is registered by its own
    announcements and is not draining. `get_rank` scales the importance of a route to
    the range from 0 to 1, `knows_service` tells whether a service exists, `count_calls`
    returns how many requests may have been calls of the upstream, and `limit_deadline`
    bounds the deadline of what is sent.
    """

    def __init__(
        self,
        *,
        settings: SidecarSettings,
        messages: Messages,
        now: float,
        account: MemoryAccount | None = None,
    ) -> None:
        self._messages = messages
        self._queue = TargetQueue(algorithm=settings.limit_algorithm, now=now)
        self._root_limiter = RootRequestLimiter(capacity=1)
        self._client = HttpClient(
            address=settings.upstream, limit=DEFAULT_CONNECTIONS, account=account
        )
        self.registration = UpstreamRegistration(address=settings.upstream)
        # Until this node knows what it acknowledged before a restart, nothing is sent.
        self.is_open = True
        self.in_progress = 0
        self._run_count = 0
        # Deadlines passed on with the requests that run, by their number.
        self._deadlines: dict[int, float] = {}
        # The start of the upstream whose statements `_queue` holds.
        self._current_start = ""
        self.get_rank: Callable[[int], float] = lambda importance: 0.0
        self.knows_service: Callable[[str], bool] = lambda service: True
        self.count_calls: Callable[[], int] = lambda: 0
        self.limit_deadline: Callable[[float], float] = lambda deadline: deadline
        self.on_change: Callable[[], None] | None = None

    def apply_announcement(
        self, announcement: UpstreamAnnouncement, *, now: float
    ) -> ApplyResult:
        """Apply an announcement of the upstream to its registration."""
        result = ApplyResult.FOREIGN
        if self.knows_service(announcement.service):
            result = self.registration.apply(announcement, now=now)
        if result is ApplyResult.CHANGED:
            log.info(
                "upstream %s of %s: slots=%d leaving=%s sequence=%d",
                announcement.identity,
                announcement.service,
                announcement.slots,
                announcement.is_draining,
                announcement.sequence,
            )
            self._apply_change(announcement.slots, now)
        elif result is not ApplyResult.UNCHANGED:
            log.info(
                "announcement of %s ignored: %s", announcement.identity, result.value
            )
        return result

    def deregister(self, *, identity: str, now: float) -> None:
        """Remove the registration of an upstream that has ended."""
        if self.registration.deregister(identity=identity, now=now):
            log.info("upstream %s deregistered", identity)
            self._apply_change(self._queue.slots, now)

    def set_announcement_floor(
        self, serial: int, *, left_start: str, now: float
    ) -> None:
        """Take announcements up to a serial as stale, as after a restart.

        So are all of the start that `left_start` identifies, if it is not empty.
        """
        if self.registration.set_floor(serial, left_start=left_start):
            log.info("upstream removed: its end was published before the restart")
            self._apply_change(self._queue.slots, now)

    def set_former_start(self, start: str, *, now: float) -> None:
        """Set the start of the upstream that was registered before a restart."""
        if self.registration.set_former_start(start):
            log.info("upstream %s removed: it was deregistered", start)
            self._apply_change(self._queue.slots, now)

    def set_connection_limit(self, limit: int) -> None:
        """Set how many connections the upstream accepts."""
        self._client.limit = max(1, limit - SPARE_CONNECTIONS)

    @property
    def rate_limit(self) -> float | None:
        """Return the requests a second that the upstream takes, None if no limit."""
        return self._queue.rate_limit

    @property
    def sent_requests(self) -> int:
        """Return how many requests were sent to the upstream."""
        return self._run_count

    @property
    def last_deadline(self) -> float:
        """Return the latest deadline of the requests that run; -inf if there is none.

        The calls that the upstream makes for them expire by then.
        """
        return max(self._deadlines.values(), default=-math.inf)

    @property
    def limit(self) -> LimitAlgorithm:
        """Return the limit of what runs at once."""
        return self._queue.limit

    def count_calls_with(self, count_calls: Callable[[], int]) -> None:
        """Set what tells how many calls of the upstream are in progress."""
        self._queue.count_calls_with(count_calls)

    def log_limit(self, *, now: float) -> None:
        """Log a limit that has changed much since the last line."""
        self._queue.log_limit(now=now)

    def log_rate(self, *, now: float) -> None:
        """Log the rate of sent requests while the upstream states a limit."""
        self._queue.log_rate(now=now)

    def report_load(self, *, now: float) -> Load:
        """Return the load to report with a response."""
        return self._queue.report_load(now=now)

    def get_degraded_importance(self, *, now: float) -> int | None:
        """Return the importance of the most important route that is degraded here."""
        return self._root_limiter.get_degraded_importance(now=now)

    def record_degraded_route(self, importance: int, *, now: float) -> None:
        """Let less important routes yield to a route that is degraded at any target."""
        self._root_limiter.record_degraded_route(importance, now=now)

    def close_idle(self, *, now: float) -> None:
        """Close connections that have been idle for too long."""
        self._client.close_idle(now=now)

    def close(self) -> None:
        """Close the idle connections."""
        self._client.close()
        self._queue.close()

    async def run(self, request: ForwardRequest) -> Attempt:
        """Run one request and return its attempt, with the complete response if any."""
        current = self.registration.current
        if not self.is_open or current is None or current.service != request.service:
            return self._add_load(Attempt.make_not_run(ErrorKind.NO_TARGET))
        if current.is_draining:
            return self._add_load(Attempt.make_not_run(ErrorKind.DRAINING))
        if request.stated is not None:
            self._adopt_stated(request.stated)
        if request.is_inner:
            return self._add_load(await self._run_admitted(request))
        if not self._root_limiter.try_start(
            request.route,
            was_refused=request.was_refused,
            organisation=request.organisation,
            rank=request.organisation_rank / MAX_RANK if request.organisation else 1.0,
        ):
            error = CallError(
                kind=ErrorKind.OVERLOADED,
                detail="the route's limit at this target",
                retry_after_ms=int(request.objective_s * 1000 * ROOT_RETRY_SHARE),
            )
            return self._add_load(Attempt(outcome=AttemptOutcome.NOT_RUN, error=error))
        try:
            attempt = await self._run_admitted(request)
            return self._add_load(attempt)
        finally:
            self._root_limiter.end(request.route, organisation=request.organisation)

    def estimate_run_s(self, route: str, *, now: float) -> float:
        """Return how long a request of a route is expected to run here."""
        return self._queue.estimate_run_s(route, now=now)

    def refuse_waiting(self, *, detail: str) -> None:
        """Refuse the requests that have not been sent yet."""
        self._queue.refuse_waiting(CallError(kind=ErrorKind.DRAINING, detail=detail))

    def get_idle_s(self, *, now: float) -> float:
        """Return for how long the upstream has run no request."""
        return self._queue.get_idle_s(now=now)

    async def _run_admitted(self, request: ForwardRequest) -> Attempt:
        """Wait for a slot, then send the request to the upstream."""
        slot = Slot(entry=make_entry(request, now=asyncio.get_running_loop().time()))
        self.in_progress += 1
        # Whether the upstream itself shed the request.
        is_overload = False
        try:
            error = await self._queue.acquire(slot)
            if error is not None:
                return Attempt(outcome=AttemptOutcome.NOT_RUN, error=error)
            attempt = await self._send(request)
            if not request.is_inner:
                self._update_root_limit(request, attempt, slot.entry)
            is_overload = attempt.outcome is AttemptOutcome.NOT_RUN and attempt.arrived
            return attempt
        finally:
            now = asyncio.get_running_loop().time()
            self._queue.release(slot, is_overload=is_overload, now=now)
            self.in_progress -= 1

    def _update_root_limit(
        self, request: ForwardRequest, attempt: Attempt, entry: Entry
    ) -> None:
        response = attempt.response
        if response is None and attempt.outcome is AttemptOutcome.NOT_RUN:
            return
        now = asyncio.get_running_loop().time()
        # A wait for the stated rate limit says nothing about the services below.
        is_limited = self.rate_limit is not None
        began = entry.started if is_limited else entry.arrived
        was_cut = self._root_limiter.observe(
            request.route,
            elapsed_s=now - began,
            objective_s=request.objective_s,
            failed=response is None or response.status >= MIN_SERVER_ERROR,
            rank=self.get_rank(request.importance),
            importance=request.importance,
            now=now,
        )
        if was_cut:
            details = self._root_limiter.describe(request.route)
            log.info("limit of route %s cut: %s", request.route, details)

    def _apply_change(self, slots: int, now: float) -> None:
        current = self.registration.current
        if current is not None and current.start != self._current_start:
            self._current_start = current.start
            self._queue.reset(now=now)
        if current is None or current.is_draining:
            self.refuse_waiting(detail="the upstream leaves")
        if slots != self._queue.slots and slots > 0:
            self._root_limiter.set_capacity(slots)
            self._queue.set_slots(slots, now=now)
        if self.on_change is not None:
            self.on_change()

    def _add_load(self, attempt: Attempt) -> Attempt:
        """Add the target's load, and whether it calls others, to an attempt."""
        attempt.calls_others = may_call(runs=self._run_count, calls=self.count_calls())
        attempt.load = self.report_load(now=asyncio.get_running_loop().time())
        current = self.registration.current
        if current is not None and (current.is_draining or self.rate_limit is not None):
            attempt.stated = StatedCondition(
                upstream=current.start,
                rate_limit=self.rate_limit,
                is_leaving=current.is_draining,
            )
        return attempt

    async def _send(self, request: ForwardRequest) -> Attempt:
        """Send the request to the upstream on a connection of its pool."""
        loop = asyncio.get_running_loop()
        max_idle_s = None if request.idempotent else MAX_CONNECTION_IDLE_S
        started = loop.time()
        try:
            connection = await self._client.acquire(
                now=started,
                max_idle_s=max_idle_s,
                expires_at=self.limit_deadline(get_deadline(request)),
            )
        except NotConnectedError as error:
            waited_s = loop.time() - started
            return _make_not_connected(request, str(error), waited_s, now=loop.time())
        try:
            return await self._exchange(connection, request)
        finally:
            self._client.release(connection, now=loop.time())

    async def _exchange(
        self, connection: HttpClientConnection, request: ForwardRequest
    ) -> Attempt:
        loop = asyncio.get_running_loop()
        started = loop.time()
        current = self.registration.current
        # Checked again: the upstream may have changed while this request waited.
        if current is None or current.is_draining:
            return Attempt.make_not_run(ErrorKind.DRAINING)
        if current.service != request.service:
            return Attempt.make_not_run(ErrorKind.NO_TARGET)
        deadline = self.limit_deadline(get_deadline(request))
        remaining_ms = int((deadline - started) * 1000)
        if remaining_ms <= 0:
            return Attempt.make_not_run(ErrorKind.DEADLINE_BEFORE_RUN)
        message = self._make_message(request, current.identity, remaining_ms)
        self._run_count += 1
        number = self._run_count
        self._deadlines[number] = deadline
        request.is_handed_over = True
        try:
            response = await connection.exchange(
                message,
                accepts=lambda response: self._messages.matches(
                    response, request.identity
                ),
                expires_at=request.deadline + TARGET_DEADLINE_GRACE_S,
            )
        except TimeoutError:
            return Attempt.make_unknown(ErrorKind.DEADLINE_WHILE_RUNNING)
        except NotConnectedError as error:
            return Attempt.make_not_run(
                ErrorKind.UPSTREAM_UNREACHABLE, detail=str(error)
            )
        except OversizedResponseError as error:
            connection.close()
            return Attempt.make_unknown(ErrorKind.ANSWER_OVERSIZED, detail=str(error))
        except IncompleteResponseError as error:
            connection.close()
            return Attempt.make_unknown(ErrorKind.UPSTREAM_BROKE, detail=str(error))
        finally:
            del self._deadlines[number]
        run_ms = (loop.time() - started) * 1000
        answer = self._messages.read_answer(response, request.identity)
        self._queue.record_load(answer, now=loop.time())
        self._record_stated(answer, current.start, now=loop.time())
        return self._interpret_response(connection, answer, response, run_ms)

    def _make_message(
        self, request: ForwardRequest, instance: str, remaining_ms: int
    ) -> HttpRequest:
        added = self._messages.encode_target_headers(
            remaining_ms=remaining_ms, instance=instance
        )
        return HttpRequest(
            method=request.message.method,
            path=request.message.path,
            headers=request.message.headers,
            encoded_headers=request.message.encoded_headers + added,
            body=request.message.body,
        )

    def _interpret_response(
        self,
        connection: HttpClientConnection,
        answer: TargetAnswer,
        response: HttpResponse,
        run_ms: float,
    ) -> Attempt:
        if answer.is_misdirected:
            connection.close()
            attempt = Attempt.make_not_run(
                ErrorKind.NO_TARGET, detail="another instance"
            )
            attempt.arrived = True
            return attempt
        if not answer.ran:
            attempt = Attempt.make_not_run(ErrorKind.UPSTREAM_SHED)
            attempt.arrived = True
            return attempt
        if response.status < 300 and not answer.is_genuine:
            connection.close()
            detail = "the answer does not prove that it is the target's"
            return Attempt.make_unknown(ErrorKind.ANSWER_DAMAGED, detail=detail)
        if response.status in REFUSAL_STATUSES:
            connection.close()
            detail = f"status {response.status} without a statement that nothing ran"
            return Attempt.make_unknown(ErrorKind.ANSWER_DAMAGED, detail=detail)
        kept = drop_connection_headers(response.headers)
        forwarded = HttpResponse(
            status=response.status,
            encoded_headers=encode_headers(kept),
            body=response.body,
        )
        return Attempt(
            outcome=AttemptOutcome.ANSWERED,
            arrived=True,
            response=forwarded,
            run_ms=run_ms,
        )

    def _record_stated(self, answer: TargetAnswer, start: str, *, now: float) -> None:
        """Apply what an upstream states about its limit and its end.

        `start` identifies the start of the upstream that made the answer.
        """
        current = self.registration.current
        if answer.is_misdirected or current is None or current.start != start:
            return
        self._queue.record_rate(answer, now=now)
        if answer.is_leaving and self.registration.set_leaving():
            log.info("upstream %s states that it leaves", current.identity)
            self._apply_change(self._queue.slots, now)

    def _adopt_stated(self, stated: StatedCondition) -> None:
        """Keep a limit of which another node has heard and this one has not yet."""
        current = self.registration.current
        if current is None or current.start != stated.upstream:
            return
        if stated.rate_limit is not None:
            now = asyncio.get_running_loop().time()
            self._queue.adopt_rate(stated.rate_limit, now=now)


def _make_not_connected(
    request: ForwardRequest, reason: str, waited_s: float, *, now: float
) -> Attempt:
    """Return the attempt of a request for which there was no connection."""
    kind = ErrorKind.UPSTREAM_UNREACHABLE
    if waited_s < SILENT_CONNECT_S and now >= get_deadline(request):
        # The target may be well: the request came late.
        kind = ErrorKind.DEADLINE_BEFORE_RUN
    return Attempt.make_not_run(kind, detail=reason)
