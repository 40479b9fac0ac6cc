"""The side of a forwarded request that stands beside its target."""

import asyncio
from collections.abc import Callable

from pimentoscale.admission import (
    Entry,
    Length,
    LimitAlgorithm,
    Load,
    RootRequestLimiter,
    Slot,
    SlotWaiters,
    UrgencyAdmission,
    Verdict,
    make_limit_algorithm,
)
from pimentoscale.errors import CallError, ErrorKind
from pimentoscale.forwarding.exchange import (
    Attempt,
    AttemptOutcome,
    ForwardRequest,
    Messages,
)
from pimentoscale.forwarding.retries import may_call
from pimentoscale.forwarding.settings import SidecarSettings
from pimentoscale.http import (
    HttpClient,
    HttpClientConnection,
    HttpRequest,
    HttpResponse,
    IncompleteResponseError,
    NotConnectedError,
    drop_connection_headers,
    encode_headers,
)
from pimentoscale.logs import get_logger
from pimentoscale.membership.upstream import (
    ApplyResult,
    UpstreamAnnouncement,
    UpstreamRegistration,
)

LIMIT_LAW = "aimd"
# A request that can't be repeated uses a connection only if it was just in use: one
# that has been idle may be closed by the target as the request arrives.
FRESH_WITHIN_S = 1.0
# The target answers at the deadline itself; its answer is waited for so much longer.
TARGET_DEADLINE_GRACE_S = 0.02
# Calls of targets go before requests of callers, whatever the importance of those.
INNER_IMPORTANCE = 10_000
DEFAULT_CONNECTIONS = 128
# When a caller whose route is at its limit may come back, as a part of its objective.
ROOT_RETRY_SHARE = 0.5
# Only this node sends to the target, so one that sheds below its own slots is not full:
# it fails part of its work. The limit is cut to this part of the slots at most.
LEAST_LIMIT_SHARE = 0.75
# Targets may slow down when they are nearly full, so one slot in sixteen stays free.
# Where they don't, that costs this part of what a full target can do.
USED_SLOTS_SHARE = 0.94
# A request is due after this part of the time that its sender still waits.
DUE_SHARE = 0.5
FIRST_FAILURE = 500
CONNECTIONS_SPARE = 2

log = get_logger("target")


class LocalTarget:
    """Admits requests to the upstream beside this node and hands them over.

    A request is handed over once at most, and only while the upstream's own
    announcements say that it takes work.
    """

    def __init__(
        self, *, settings: SidecarSettings, messages: Messages, now: float
    ) -> None:
        self._messages = messages
        self._slots = 0
        self._admission = UrgencyAdmission(algorithm=_make_law(1))
        self._waiters = SlotWaiters(admission=self._admission)
        self._roots = RootRequestLimiter(capacity=1)
        self._idle_since = now
        self._client = HttpClient(address=settings.upstream, limit=DEFAULT_CONNECTIONS)
        self.registration = UpstreamRegistration(address=settings.upstream)
        self.in_progress = 0
        self._runs = 0
        self.get_rank: Callable[[int], float] = lambda importance: 0.0
        self.count_calls: Callable[[], int] = lambda: 0
        self.on_change: Callable[[], None] | None = None

    def apply_announcement(
        self, announcement: UpstreamAnnouncement, *, now: float
    ) -> ApplyResult:
        """Take in what the upstream says of itself."""
        result = self.registration.apply(announcement)
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
            log.info("announcement of %s is %s", announcement.identity, result.value)
        return result

    def deregister(self, *, identity: str, now: float) -> None:
        """Take note that the upstream has gone."""
        if self.registration.end(identity=identity):
            log.info("upstream %s has gone", identity)
            self._apply_change(self._slots, now)

    def set_connection_limit(self, limit: int) -> None:
        """Take over how many connections the upstream accepts."""
        self._client.limit = max(1, limit - CONNECTIONS_SPARE)

    def report_load(self, *, now: float) -> Load:
        """Return the load for an answer."""
        return self._admission.report(now=now)

    def find_strained(self, *, now: float) -> int | None:
        """Return the importance of the most important route that is strained here."""
        return self._roots.get_degraded_importance(now=now)

    def make_room(self, importance: int, *, now: float) -> None:
        """Let less important routes make room for one that is strained somewhere."""
        self._roots.note_degraded_route(importance, now=now)

    def close_idle(self, *, now: float) -> None:
        """Close connections that have been idle for too long."""
        self._client.close_idle(now=now)

    def close(self) -> None:
        """Close the idle connections."""
        self._client.close()

    async def run(self, request: ForwardRequest) -> Attempt:
        """Run one request; the answer is whole."""
        current = self.registration.current
        if current is None or current.service != request.service:
            return self._report(Attempt.make_not_run(ErrorKind.NO_TARGET))
        if current.is_draining:
            return self._report(Attempt.make_not_run(ErrorKind.DRAINING))
        if request.is_inner:
            return self._report(await self._run_admitted(request))
        if not self._roots.try_start(
            request.route,
            was_refused=request.was_refused,
        ):
            error = CallError(
                kind=ErrorKind.OVERLOADED,
                detail="the route's limit at this target",
                retry_after_ms=int(request.objective_s * 1000 * ROOT_RETRY_SHARE),
            )
            return self._report(Attempt(outcome=AttemptOutcome.NOT_RUN, error=error))
        try:
            started = asyncio.get_running_loop().time()
            attempt = await self._run_admitted(request)
            self._observe_root(request, attempt, started)
            return self._report(attempt)
        finally:
            self._roots.end(request.route)

    def get_idle_s(self, *, now: float) -> float:
        """Return for how long nothing has been handed to the upstream."""
        return 0.0 if self._admission.running else now - self._idle_since

    async def _run_admitted(self, request: ForwardRequest) -> Attempt:
        """Wait for a slot, then hand the request over."""
        slot = Slot(entry=_make_entry(request))
        self.in_progress += 1
        is_overload = False
        try:
            error = await self._enter(slot)
            if error is not None:
                return Attempt(outcome=AttemptOutcome.NOT_RUN, error=error)
            attempt = await self._hand_over(request)
            is_overload = attempt.outcome is AttemptOutcome.NOT_RUN and attempt.arrived
            return attempt
        finally:
            self._leave(slot, is_overload=is_overload)
            self.in_progress -= 1

    def _observe_root(
        self, request: ForwardRequest, attempt: Attempt, started: float
    ) -> None:
        response = attempt.response
        if response is None and attempt.outcome is AttemptOutcome.NOT_RUN:
            return
        now = asyncio.get_running_loop().time()
        is_cut = self._roots.observe(
            request.route,
            elapsed_s=now - started,
            objective_s=request.objective_s,
            failed=response is None or response.status >= FIRST_FAILURE,
            rank=self.get_rank(request.importance),
            importance=request.importance,
            now=now,
        )
        if is_cut:
            described = self._roots.describe(request.route)
            log.info("limit of route %s cut: %s", request.route, described)

    def _apply_change(self, slots: int, now: float) -> None:
        if slots != self._slots and slots > 0:
            self._admission.set_limit_algorithm(_make_law(slots))
            self._roots.set_capacity(slots)
            self._slots = slots
            self._waiters.start_waiting(now=now)
        if self.on_change is not None:
            self.on_change()

    def _report(self, attempt: Attempt) -> Attempt:
        attempt.calls_others = may_call(runs=self._runs, calls=self.count_calls())
        attempt.load = self.report_load(now=asyncio.get_running_loop().time())
        return attempt

    async def _enter(self, slot: Slot) -> CallError | None:
        """Wait for a slot; return the error if there is none."""
        loop = asyncio.get_running_loop()
        decision = self._waiters.offer(slot, now=loop.time())
        if decision.verdict is Verdict.WAIT:
            return await self._waiters.wait(slot)
        return decision.error

    def _leave(self, slot: Slot, *, is_overload: bool) -> None:
        if not slot.is_held:
            return
        now = asyncio.get_running_loop().time()
        self._waiters.release(slot, is_overload=is_overload, now=now)
        self._idle_since = now

    async def _hand_over(self, request: ForwardRequest) -> Attempt:
        """Send the request to the upstream and take its answer."""
        loop = asyncio.get_running_loop()
        max_idle_s = None if request.idempotent else FRESH_WITHIN_S
        try:
            connection = await self._client.acquire(
                now=loop.time(), max_idle_s=max_idle_s
            )
        except NotConnectedError as error:
            return Attempt.make_not_run(
                ErrorKind.UPSTREAM_UNREACHABLE, detail=str(error)
            )
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
        # Checked again: it may have said that it leaves while this request waited.
        if current is None or current.is_draining:
            return Attempt.make_not_run(ErrorKind.DRAINING)
        remaining_ms = int((request.deadline - started) * 1000)
        if remaining_ms <= 0:
            return Attempt.make_not_run(ErrorKind.DEADLINE_BEFORE_RUN)
        message = self._make_message(request, current.identity, remaining_ms)
        self._runs += 1
        try:
            response = await connection.exchange(
                message,
                accepts=lambda item: self._messages.belongs_to(item, request.identity),
                expires_at=request.deadline + TARGET_DEADLINE_GRACE_S,
            )
        except TimeoutError:
            return Attempt.make_unknown(ErrorKind.DEADLINE_WHILE_RUNNING)
        except NotConnectedError as error:
            return Attempt.make_not_run(
                ErrorKind.UPSTREAM_UNREACHABLE, detail=str(error)
            )
        except IncompleteResponseError as error:
            connection.close()
            return Attempt.make_unknown(ErrorKind.UPSTREAM_BROKE, detail=str(error))
        run_ms = (loop.time() - started) * 1000
        return self._judge(connection, request, response, run_ms)

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

    def _judge(
        self,
        connection: HttpClientConnection,
        request: ForwardRequest,
        response: HttpResponse,
        run_ms: float,
    ) -> Attempt:
        stated = self._messages.read_answer(response, request.identity)
        if stated.is_misdirected:
            connection.close()
            attempt = Attempt.make_not_run(
                ErrorKind.NO_TARGET, detail="another instance"
            )
            attempt.arrived = True
            return attempt
        if not stated.ran:
            attempt = Attempt.make_not_run(ErrorKind.UPSTREAM_SHED)
            attempt.arrived = True
            return attempt
        if response.status < 300 and not stated.is_genuine:
            connection.close()
            detail = "the answer does not prove that it is the target's"
            return Attempt.make_unknown(ErrorKind.ANSWER_DAMAGED, detail=detail)
        kept = drop_connection_headers(response.headers)
        whole = HttpResponse(
            status=response.status,
            encoded_headers=encode_headers(kept),
            body=response.body,
        )
        return Attempt(
            outcome=AttemptOutcome.ANSWERED,
            arrived=True,
            response=whole,
            run_ms=run_ms,
        )


def find_usable_slots(slots: int) -> int:
    """Return how many of a target's slots are used at once."""
    return max(1, int(slots * USED_SLOTS_SHARE))


def _make_law(slots: int) -> LimitAlgorithm:
    usable = find_usable_slots(slots)
    least = max(1, min(usable, int(slots * LEAST_LIMIT_SHARE)))
    return make_limit_algorithm(name=LIMIT_LAW, slots=usable, min_limit=least)


def _find_due(request: ForwardRequest, *, now: float) -> float:
    """Return when the request is due; one whose sender has little time goes first."""
    remaining_s = max(0.0, request.deadline - now)
    return now + min(request.objective_s, remaining_s * DUE_SHARE)


def _make_entry(request: ForwardRequest) -> Entry:
    importance = request.importance
    if request.is_inner:
        importance += INNER_IMPORTANCE
    return Entry(
        request=request.identity,
        caller="",
        kind=request.route,
        importance=importance,
        length=Length.SHORT,
        depth=0,
        work_ms=0,
        deadline=request.deadline,
        due=_find_due(request, now=asyncio.get_running_loop().time()),
    )
