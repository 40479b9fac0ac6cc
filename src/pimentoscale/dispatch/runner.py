"""Execution of calls on the node's own upstream, behind admission control."""

import asyncio
from collections.abc import Callable, Sequence

from pimentoscale.admission import (
    Admission,
    Entry,
    Length,
    Load,
    Slot,
    SlotWaiters,
    Verdict,
    make_limit_algorithm,
)
from pimentoscale.call import (
    Answer,
    BodyTruncatedError,
    CallContext,
    CallRequest,
    ContextTable,
    Header,
)
from pimentoscale.configuration import Configuration, Kind
from pimentoscale.errors import CallError, ErrorKind
from pimentoscale.expiry import expire_at
from pimentoscale.ingress import head
from pimentoscale.logs import get_logger
from pimentoscale.node.state import NodeState
from pimentoscale.outcome import Outcome
from pimentoscale.routing import LatencyEstimator
from pimentoscale.settings import Address
from pimentoscale.timeline import EventName
from pimentoscale.upstream import (
    ConnectionPool,
    UpstreamAnswer,
    UpstreamConnectionError,
    UpstreamUnreachableError,
)
from pimentoscale.upstream.connection import UpstreamConnection

SHED_STATUS = 503
MIN_ERROR_STATUS = 500
LATE_REPORT_PERIOD_S = 0.25
LATE_FACTOR = 2.0

log = get_logger("runner")


class UpstreamRunner:
    """Admits calls and forwards them to the upstream.

    `on_slow_call` is called with a kind and a latency in milliseconds if a call of the
    kind is late, at most once per `LATE_REPORT_PERIOD_S` and kind. The latency is
    `LATE_FACTOR` times the one above which a call of the kind is late.
    """

    def __init__(self, *, state: NodeState, now: float) -> None:
        upstream = state.settings.upstream
        address = Address(host=upstream.host, port=upstream.port)
        policy = state.configuration.policy
        self._state = state
        self._pool = ConnectionPool(address=address, limit=upstream.connections)
        algorithm = make_limit_algorithm(
            name=state.algorithms.limit_algorithm,
            slots=upstream.slots,
            min_limit=policy.min_limit,
        )
        self._admission = Admission(
            algorithm=algorithm, policy=policy, long_share=0.5, now=now
        )
        self._waiters = SlotWaiters(admission=self._admission)
        self._latencies = LatencyEstimator()
        self._reported_at: dict[str, float] = {}
        self.on_slow_call: Callable[[str, float], None] | None = None
        self.contexts = ContextTable()
        self.in_progress = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def configure(self, configuration: Configuration) -> None:
        """Apply a changed configuration to admission control."""
        service = configuration.services.get(self._state.settings.upstream.service)
        if service is not None:
            policy = configuration.policy
            self._admission.configure(policy=policy, long_share=service.long_share)

    @property
    def queued(self) -> int:
        """Return the number of calls that wait for a slot."""
        return self._admission.queued

    @property
    def running(self) -> int:
        """Return the number of calls that hold a slot."""
        return self._admission.running

    def admit_waiting(self, *, now: float) -> None:
        """Start queued calls that fit within an increased concurrency limit."""
        if self._admission.queued:
            self._waiters.start_waiting(now=now)

    def report_load(self, *, now: float) -> Load:
        """Return the current load, which is sent with each answer."""
        return self._admission.report(now=now)

    async def run(
        self, context: CallContext, kind: Kind, request: CallRequest
    ) -> Answer:
        """Run one call and return its answer, the body of which may be incomplete.

        The slot is held until the upstream has sent its complete answer, at most until
        the deadline.
        """
        if self._state.is_draining:
            return Answer.of_error(CallError(kind=ErrorKind.DRAINING))
        self.in_progress += 1
        slot = Slot(entry=self._make_entry(context, kind))
        try:
            error = await self._acquire_slot(slot)
            if error is not None:
                self._record_refusal(context, error)
                return Answer.of_error(error)
            return await self._forward(context, request, slot)
        finally:
            self._release_slot(slot, is_overload=False)
            self.in_progress -= 1

    def _make_entry(self, context: CallContext, kind: Kind) -> Entry:
        in_order = self._state.algorithms.in_order_of_arrival
        return Entry(
            request=context.request,
            caller="" if in_order else context.caller,
            kind=context.kind,
            importance=0 if in_order else kind.importance,
            length=Length.SHORT if in_order else Length(kind.length),
            depth=0 if in_order else context.depth,
            work_ms=0 if in_order else context.work_ms,
            deadline=context.deadline,
        )

    async def _acquire_slot(self, slot: Slot) -> CallError | None:
        """Acquire a slot, in the queue if necessary; return the error on refusal."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        decision = self._waiters.offer(slot, now=now)
        if decision.verdict is not Verdict.WAIT:
            return decision.error
        self._state.record(
            EventName.CALL_QUEUED, request=slot.entry.request, kind=slot.entry.kind
        )
        error = await self._waiters.wait(slot)
        self._state.metrics.record_duration(
            kind=slot.entry.kind, part="queue", seconds=loop.time() - now
        )
        return error

    def _release_slot(self, slot: Slot, *, is_overload: bool) -> None:
        """Release the slot; has no effect if the call does not hold it."""
        now = asyncio.get_running_loop().time()
        self._waiters.release(slot, is_overload=is_overload, now=now)

    async def _forward(
        self, context: CallContext, request: CallRequest, slot: Slot
    ) -> Answer:
        try:
            connection = await self._pool.acquire()
        except UpstreamUnreachableError as error:
            kind = ErrorKind.UPSTREAM_UNREACHABLE
            return Answer.of_error(CallError(kind=kind, detail=str(error)))
        token = self.contexts.add(context=context)
        started = asyncio.get_running_loop().time()
        timer = self._start_late_timer(context.kind)
        # The node may have begun to stop while the call was queued.
        context.deadline = self._state.shutdown.limit_deadline(context.deadline)
        context.may_have_run = True
        try:
            async with expire_at(context.deadline):
                answer = await self._pool.send(
                    connection=connection,
                    request=request,
                    extra_headers=self._make_call_headers(context, token),
                )
        except (TimeoutError, UpstreamConnectionError, BodyTruncatedError) as error:
            self._end_exchange(connection, token)
            self._release_slot(slot, is_overload=isinstance(error, TimeoutError))
            return Answer.of_error(_make_error(error))
        except BaseException:
            self._end_exchange(connection, token)
            raise
        finally:
            if timer is not None:
                timer.cancel()
        elapsed = asyncio.get_running_loop().time() - started
        self._latencies.record_answer(kind=context.kind, latency_ms=elapsed * 1000)
        return self._process_answer(context, slot, connection, token, answer)

    def _start_late_timer(self, kind: str) -> asyncio.TimerHandle | None:
        """Start a timer that reports the kind as late to the callers' nodes."""
        late_ms = self._latencies.get_late_ms(kind)
        if late_ms is None:
            return None
        loop = asyncio.get_running_loop()
        return loop.call_later(late_ms / 1000, self._report_late, kind, late_ms)

    def _report_late(self, kind: str, late_ms: float) -> None:
        now = asyncio.get_running_loop().time()
        if (
            now - self._reported_at.get(kind, -LATE_REPORT_PERIOD_S)
            < LATE_REPORT_PERIOD_S
        ):
            return
        self._reported_at[kind] = now
        if self.on_slow_call is not None:
            self.on_slow_call(kind, LATE_FACTOR * late_ms)

    def _make_call_headers(self, context: CallContext, token: str) -> Sequence[Header]:
        """Return the headers that describe a call, and record that it started."""
        now = asyncio.get_running_loop().time()
        remaining_ms = max(1, int(context.time_left(now=now) * 1000))
        self._state.record(
            EventName.CALL_STARTED, request=context.request, kind=context.kind
        )
        return (
            (head.TOKEN, token.encode()),
            (head.REQUEST, context.request.encode()),
            (head.TIMEOUT, b"%d" % remaining_ms),
        )

    def _end_exchange(self, connection: UpstreamConnection, token: str) -> None:
        self.contexts.remove(token=token)
        if not connection.is_idle:
            connection.close()
        self._pool.release(connection)

    def _process_answer(
        self,
        context: CallContext,
        slot: Slot,
        connection: UpstreamConnection,
        token: str,
        answer: UpstreamAnswer,
    ) -> Answer:
        is_overload = answer.status == SHED_STATUS
        if answer.body.is_complete:
            self._end_exchange(connection, token)
            self._release_slot(slot, is_overload=is_overload)
        else:
            self._hold_slot_until_end(context, slot, connection, token, is_overload)
        return _make_answer(answer)

    def _hold_slot_until_end(
        self,
        context: CallContext,
        slot: Slot,
        connection: UpstreamConnection,
        token: str,
        is_overload: bool,
    ) -> None:
        """Hold the slot until the answer is complete or the deadline has passed."""
        transferred = slot.transfer()
        self.in_progress += 1

        async def wait_for_end() -> None:
            try:
                async with asyncio.timeout_at(context.deadline):
                    await connection.wait_end()
            except TimeoutError:
                log.warning(
                    "deadline passed before the answer was complete",
                    request=context.request,
                )
            finally:
                self._end_exchange(connection, token)
                self._release_slot(transferred, is_overload=is_overload)
                self.in_progress -= 1

        task = asyncio.create_task(wait_for_end())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _record_refusal(self, context: CallContext, error: CallError) -> None:
        self._state.metrics.count("refusals", f"{context.kind}:{error.kind.value}")
        self._state.record(
            EventName.CALL_REFUSED,
            request=context.request,
            kind=context.kind,
            detail=error.kind.value,
        )


def _make_answer(answer: UpstreamAnswer) -> Answer:
    error = None
    outcome = Outcome.ANSWERED
    if answer.status >= MIN_ERROR_STATUS:
        outcome = Outcome.FAILED
        is_shed = answer.status == SHED_STATUS
        kind = ErrorKind.UPSTREAM_SHED if is_shed else ErrorKind.UPSTREAM_FAILED
        error = CallError(kind=kind, detail=f"status {answer.status}")
    return Answer(
        outcome=outcome,
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
        error=error,
    )


def _make_error(error: Exception) -> CallError:
    if isinstance(error, TimeoutError):
        return CallError(kind=ErrorKind.DEADLINE_WHILE_RUNNING)
    if isinstance(error, BodyTruncatedError):
        return CallError(kind=ErrorKind.BODY_TRUNCATED, detail=str(error))
    return CallError(kind=ErrorKind.UPSTREAM_BROKE, detail=str(error))
