"""Runs calls on the node's own upstream, behind its admission control."""

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
    UpstreamBrokenError,
    UpstreamUnreachableError,
)
from pimentoscale.upstream.connection import UpstreamConnection

SHED_STATUS = 503
LEAST_ERROR_STATUS = 500
TELL_PERIOD_S = 0.25
LATE_FACTOR = 2.0

log = get_logger("runner")


class UpstreamRunner:
    """Admits calls and hands them to the upstream."""

    def __init__(self, *, state: NodeState, now: float) -> None:
        upstream = state.settings.upstream
        address = Address(host=upstream.host, port=upstream.port)
        policy = state.configuration.policy
        self._state = state
        self._pool = ConnectionPool(address=address, limit=upstream.connections)
        algorithm = make_limit_algorithm(
            name=state.mode.limit_algorithm,
            slots=upstream.slots,
            min_limit=policy.min_limit,
        )
        self._admission = Admission(
            algorithm=algorithm, policy=policy, long_share=0.5, now=now
        )
        self._waiters = SlotWaiters(admission=self._admission)
        self._usual = LatencyEstimator()
        self._told_at: dict[str, float] = {}
        self.on_late: Callable[[str, float], None] | None = None
        self.contexts = ContextTable()
        self.in_progress = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def configure(self, configuration: Configuration) -> None:
        """Take over a changed configuration."""
        service = configuration.services.get(self._state.settings.upstream.service)
        if service is not None:
            policy = configuration.policy
            self._admission.configure(policy=policy, long_share=service.long_share)

    @property
    def queued(self) -> int:
        """Return the calls that wait for a slot."""
        return self._admission.queued

    @property
    def running(self) -> int:
        """Return the calls that hold a slot."""
        return self._admission.running

    def admit_waiting(self, *, now: float) -> None:
        """Start waiting calls for which a rising limit has made room."""
        if self._admission.queued:
            self._waiters.start_waiting(now=now)

    def report_load(self, *, now: float) -> Load:
        """Return the load for an answer."""
        return self._admission.report(now=now)

    async def run(
        self, context: CallContext, kind: Kind, request: CallRequest
    ) -> Answer:
        """Run one call; the answer's body may still be arriving.

        The slot is held until the upstream has sent its whole answer.
        """
        if self._state.is_draining:
            return Answer.of_error(CallError(kind=ErrorKind.DRAINING))
        self.in_progress += 1
        slot = Slot(entry=self._make_entry(context, kind))
        try:
            error = await self._enter(slot)
            if error is not None:
                self._record_refusal(context, error)
                return Answer.of_error(error)
            return await self._hand_over(context, request, slot)
        finally:
            self._leave(slot, is_overload=False)
            self.in_progress -= 1

    def _make_entry(self, context: CallContext, kind: Kind) -> Entry:
        in_order = self._state.mode.in_order_of_arrival
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

    async def _enter(self, slot: Slot) -> CallError | None:
        """Wait for a slot; return the error if there is none."""
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

    def _leave(self, slot: Slot, *, is_overload: bool) -> None:
        """Give the slot back, once."""
        now = asyncio.get_running_loop().time()
        self._waiters.release(slot, is_overload=is_overload, now=now)

    async def _hand_over(
        self, context: CallContext, request: CallRequest, slot: Slot
    ) -> Answer:
        try:
            connection = await self._pool.acquire()
        except UpstreamUnreachableError as error:
            kind = ErrorKind.UPSTREAM_UNREACHABLE
            return Answer.of_error(CallError(kind=kind, detail=str(error)))
        token = self.contexts.add(context=context)
        started = asyncio.get_running_loop().time()
        timer = self._watch_late(context.kind)
        try:
            async with asyncio.timeout_at(context.deadline):
                answer = await self._pool.send(
                    connection=connection,
                    request=request,
                    extra_headers=self._describe_call(context, token),
                )
        except (TimeoutError, UpstreamBrokenError, BodyTruncatedError) as error:
            self._end_exchange(connection, token)
            self._leave(slot, is_overload=isinstance(error, TimeoutError))
            return Answer.of_error(_explain(error))
        except BaseException:
            self._end_exchange(connection, token)
            raise
        finally:
            if timer is not None:
                timer.cancel()
        elapsed = asyncio.get_running_loop().time() - started
        self._usual.note_answer(kind=context.kind, latency_ms=elapsed * 1000)
        return self._pass_on(context, slot, connection, token, answer)

    def _watch_late(self, kind: str) -> asyncio.TimerHandle | None:
        """Start a timer that tells the callers' nodes if the answer is late."""
        late_ms = self._usual.get_late_ms(kind)
        if late_ms is None:
            return None
        loop = asyncio.get_running_loop()
        return loop.call_later(late_ms / 1000, self._note_late, kind, late_ms)

    def _note_late(self, kind: str, late_ms: float) -> None:
        now = asyncio.get_running_loop().time()
        if now - self._told_at.get(kind, -TELL_PERIOD_S) < TELL_PERIOD_S:
            return
        self._told_at[kind] = now
        if self.on_late is not None:
            self.on_late(kind, LATE_FACTOR * late_ms)

    def _describe_call(self, context: CallContext, token: str) -> Sequence[Header]:
        now = asyncio.get_running_loop().time()
        left_ms = max(1, int(context.time_left(now=now) * 1000))
        self._state.record(
            EventName.CALL_STARTED, request=context.request, kind=context.kind
        )
        return (
            (head.TOKEN, token.encode()),
            (head.REQUEST, context.request.encode()),
            (head.TIMEOUT, b"%d" % left_ms),
        )

    def _end_exchange(self, connection: UpstreamConnection, token: str) -> None:
        self.contexts.remove(token=token)
        if not connection.is_idle:
            connection.close()
        self._pool.release(connection)

    def _pass_on(
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
            self._leave(slot, is_overload=is_overload)
        else:
            self._follow_answer(context, slot, connection, token, is_overload)
        return _make_answer(answer)

    def _follow_answer(
        self,
        context: CallContext,
        slot: Slot,
        connection: UpstreamConnection,
        token: str,
        is_overload: bool,
    ) -> None:
        """Keep the slot until the rest of the answer has come."""
        held = slot.transfer()
        self.in_progress += 1

        async def wait_for_end() -> None:
            try:
                async with asyncio.timeout_at(context.deadline):
                    await connection.wait_end()
            except TimeoutError:
                log.warning("answer cut at its deadline", request=context.request)
            finally:
                self._end_exchange(connection, token)
                self._leave(held, is_overload=is_overload)
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
    if answer.status >= LEAST_ERROR_STATUS:
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


def _explain(error: Exception) -> CallError:
    if isinstance(error, TimeoutError):
        return CallError(kind=ErrorKind.DEADLINE_WHILE_RUNNING)
    if isinstance(error, BodyTruncatedError):
        return CallError(kind=ErrorKind.BODY_TRUNCATED, detail=str(error))
    return CallError(kind=ErrorKind.UPSTREAM_BROKE, detail=str(error))
