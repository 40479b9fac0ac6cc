"""Attempts requests at the targets of their services."""

import asyncio
from collections.abc import Awaitable
from typing import Any

from msgspec.structs import replace

from pimentoscale.errors import ErrorKind
from pimentoscale.forwarding.exchange import (
    Attempt,
    AttemptHistory,
    AttemptOutcome,
    ForwardRequest,
    get_deadline,
)
from pimentoscale.forwarding.frames import make_forward, read_forward_reply
from pimentoscale.forwarding.links import Links
from pimentoscale.forwarding.placement import (
    ANY_ZONE,
    NodeView,
    Placement,
    PlacementRequest,
)
from pimentoscale.forwarding.reservations import LARGE_BODY_BYTES
from pimentoscale.forwarding.retries import RetryBudget, get_slack_share
from pimentoscale.forwarding.state import SidecarState
from pimentoscale.forwarding.target import LocalTarget
from pimentoscale.forwarding.views import NodeViews
from pimentoscale.logs import get_logger
from pimentoscale.routes import Route
from pimentoscale.stream import (
    BodyReserved,
    ForwardReply,
    Frame,
    FrameError,
    Peer,
    PeerLostError,
    PeerSilentError,
    PeerUnreachableError,
    ReserveBody,
)

# Limits of attempts at one request, for inner requests and for those of callers. An
# attempt that no target received is no retry, so it spends no retry budget.
MAX_ATTEMPTS = 4
MAX_CALLER_ATTEMPTS = 2
# The target's node ends a request at its deadline. The entry node waits this much
# longer for that result before it ends the request itself.
ANSWER_GRACE_S = 0.15
# How long a node may take to answer whether it has room for a large body.
RESERVE_TIMEOUT_S = 0.5
# Rough size of the head of a request or a response.
HEAD_BYTES = 200

# Errors after which the node is ejected.
_EJECTION_ERRORS = (
    ErrorKind.PEER_UNREACHABLE,
    ErrorKind.PEER_LOST,
    ErrorKind.UPSTREAM_UNREACHABLE,
    ErrorKind.NO_TARGET,
    ErrorKind.DRAINING,
    ErrorKind.ANSWER_OVERSIZED,
)

# Errors after which the node gets no caller's request of the route for a short time.
_REFUSAL_ERRORS = (
    ErrorKind.OVERLOADED,
    ErrorKind.DISPLACED,
    ErrorKind.RATE_LIMITED,
)

log = get_logger("entry")


class Attempts:
    """Sends each request to a chosen node, and retries it within the limits."""

    def __init__(
        self,
        *,
        state: SidecarState,
        target: LocalTarget,
        links: Links,
        views: NodeViews,
        placement: Placement,
    ) -> None:
        self._state = state
        self._target = target
        self._links = links
        self._views = views
        self._placement = placement
        self._budgets: dict[str, RetryBudget] = {}

    async def run(
        self, forward: ForwardRequest, route: Route, history: AttemptHistory
    ) -> None:
        """Attempt the request until a target answers or no attempt is left.

        The attempts are added to `history`.
        """
        loop = asyncio.get_running_loop()
        budget = self._get_budget(forward.service)
        if not history.nodes:
            budget.record_request(now=loop.time())
        placement = PlacementRequest(
            route=forward.route,
            zone=self._state.settings.zone,
            objective_s=forward.objective_s,
            is_inner=forward.is_inner,
        )
        max_attempts = MAX_ATTEMPTS if forward.is_inner else MAX_CALLER_ATTEMPTS
        while len(history.nodes) < max_attempts:
            now = loop.time()
            view = self._placement.choose(
                self._views.list(forward.service),
                placement,
                attempted=history.nodes,
                now=now,
            )
            if view is None or now >= self._get_deadline(forward):
                break
            history.nodes.append(view.member.instance)
            try:
                attempt = await self._attempt(view, forward)
            except PeerSilentError as silence:
                await self._run_in_silence(silence, view, forward, route, history)
                break
            self._record_attempt(view, forward, attempt, now=loop.time())
            history.add(attempt)
            if not self._may_continue(attempt, history, forward, route, budget):
                break
            if attempt.error is not None and attempt.error.kind in _REFUSAL_ERRORS:
                placement = replace(placement, zone=ANY_ZONE)
                if attempt.error.kind is ErrorKind.RATE_LIMITED:
                    # A limit says nothing about the other targets of the service.
                    max_attempts = MAX_ATTEMPTS

    def _may_continue(
        self,
        attempt: Attempt,
        history: AttemptHistory,
        forward: ForwardRequest,
        route: Route,
        budget: RetryBudget,
    ) -> bool:
        """Return whether to attempt the request again; count it if it is a retry."""
        if attempt.outcome is AttemptOutcome.ANSWERED:
            return False
        now = asyncio.get_running_loop().time()
        if now >= self._get_deadline(forward):
            return False
        if attempt.outcome is AttemptOutcome.UNKNOWN and not forward.idempotent:
            return False
        if not attempt.arrived:
            return True
        if history.arrivals >= route.max_targets:
            return False
        return budget.try_retry(calls_others=attempt.calls_others, now=now)

    async def _run_in_silence(
        self,
        silence: PeerSilentError,
        view: NodeView,
        forward: ForwardRequest,
        route: Route,
        history: AttemptHistory,
    ) -> None:
        """Wait for the answer of a silent node, and run the request elsewhere as well.

        The node may only be paused, with the target at work, so its attempt is not
        given up before another target has answered.
        """
        attempt = Attempt.make_unknown(ErrorKind.PEER_LOST, detail=str(silence))
        self._record_attempt(
            view, forward, attempt, now=asyncio.get_running_loop().time()
        )
        history.add(attempt)
        other: asyncio.Task[None] | None = None
        if self._may_continue(
            attempt, history, forward, route, self._get_budget(forward.service)
        ):
            other = asyncio.create_task(self.run(forward, route, history))
        view.outstanding += 1
        try:
            await self._wait_for_either(silence.answer, other, view, forward, history)
        finally:
            view.outstanding -= 1
            silence.answer.cancel()
            if other is not None:
                other.cancel()

    async def _wait_for_either(
        self,
        answer: "asyncio.Future[Frame]",
        other: "asyncio.Task[None] | None",
        view: NodeView,
        forward: ForwardRequest,
        history: AttemptHistory,
    ) -> None:
        """Wait for the answer of a silent node, or for that of another attempt."""
        loop = asyncio.get_running_loop()
        waiting: set[asyncio.Future[Any]] = {answer}
        if other is not None:
            waiting.add(other)
        while waiting:
            timeout_s = self._get_deadline(forward) + ANSWER_GRACE_S - loop.time()
            done, waiting = await asyncio.wait(
                waiting, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
            if not done:
                return
            if other in done and other is not None:
                other.result()
            if history.last is not None and history.last.response is not None:
                return
            if answer in done:
                attempt = await _receive(answer)
                self._record_attempt(view, forward, attempt, now=loop.time())
                if attempt.response is not None:
                    history.last = attempt
                    return

    async def _attempt(self, view: NodeView, forward: ForwardRequest) -> Attempt:
        view.outstanding += 1
        forward.is_handed_over = False
        try:
            if view.is_own:
                return await self._target.run(forward)
            return await self._send(view, forward)
        finally:
            view.outstanding -= 1

    async def _send(self, view: NodeView, forward: ForwardRequest) -> Attempt:
        loop = asyncio.get_running_loop()
        try:
            peer = await self._links.get(
                view.member, expires_at=self._get_deadline(forward), now=loop.time()
            )
            if not await self._reserve(peer, forward):
                return Attempt.make_not_run(
                    ErrorKind.OVERLOADED, detail="no memory for the body"
                )
            now = loop.time()
            remaining_s = max(0.0, self._get_deadline(forward) - now)
            frame = make_forward(forward, remaining_s=remaining_s, stated=view.stated)
            timeout_s = remaining_s + ANSWER_GRACE_S
            forward.is_handed_over = True
            # Work that must not run again is awaited in a silence; other work is also
            # run elsewhere then.
            answering = peer.query(
                frame,
                timeout_s=timeout_s,
                waits_in_silence=not forward.idempotent,
                reports_silence=forward.idempotent,
            )
        except PeerUnreachableError as error:
            kind = ErrorKind.PEER_UNREACHABLE
            if loop.time() >= self._get_deadline(forward):
                # The node may be well: the request came late.
                kind = ErrorKind.DEADLINE_BEFORE_RUN
            return Attempt.make_not_run(kind, detail=str(error))
        return await _receive(answering)

    async def _reserve(self, peer: Peer, forward: ForwardRequest) -> bool:
        """Have a node keep room for a large body; return False if it has none.

        Raises `PeerUnreachableError` if it does not answer: nothing was handed over.
        """
        size = len(forward.message.body)
        if size <= LARGE_BODY_BYTES:
            return True
        remaining_s = self._get_deadline(forward) - asyncio.get_running_loop().time()
        timeout_s = max(0.0, min(RESERVE_TIMEOUT_S, remaining_s))
        try:
            answer = await peer.query(
                ReserveBody(query=0, size=size), timeout_s=timeout_s
            )
        except PeerLostError as error:
            raise PeerUnreachableError(str(error)) from error
        return isinstance(answer, BodyReserved) and answer.granted

    def _get_deadline(self, forward: ForwardRequest) -> float:
        """Return a request's deadline, sooner if this node stops meanwhile."""
        return self._state.shutdown.limit_deadline(get_deadline(forward))

    def _record_attempt(
        self, view: NodeView, forward: ForwardRequest, attempt: Attempt, *, now: float
    ) -> None:
        """Update the view of a node from an attempt, and log one that failed."""
        if attempt.load is not None:
            view.update_load(attempt.load, now=now)
        has_answered = attempt.outcome is AttemptOutcome.ANSWERED
        self._views.record_stated(view, attempt.stated, has_answered=has_answered)
        if attempt.outcome is AttemptOutcome.ANSWERED:
            slowdown = attempt.load.slowdown if attempt.load is not None else 0.0
            averages = self._placement.averages
            # What the told slowdown explains is not held against the target later.
            excess_ms = averages.estimate_excess_ms(
                route=forward.route, slowdown=slowdown
            )
            view.record_run(
                route=forward.route,
                run_ms=max(0.0, attempt.run_ms - excess_ms),
                now=now,
            )
            size = len(forward.message.body) + HEAD_BYTES
            if attempt.response is not None:
                size += len(attempt.response.body) + HEAD_BYTES
            averages.record(
                route=forward.route,
                run_ms=attempt.run_ms,
                size=size,
                slowdown=slowdown,
            )
            return
        error = attempt.error
        if error is None:
            return
        if error.kind in _REFUSAL_ERRORS and not forward.is_inner:
            view.record_refusal(route=forward.route, now=now)
        if error.kind is ErrorKind.UPSTREAM_SHED:
            view.record_shed(now=now)
        elif error.kind in _EJECTION_ERRORS:
            view.eject(now=now)
        log.info(
            "attempt at %s failed: %s %s %s arrived=%s in_flight=%s",
            view.member.instance,
            attempt.outcome.value,
            error.kind.value,
            error.detail,
            attempt.arrived,
            attempt.load.in_flight if attempt.load else None,
            request=forward.identity,
        )

    def apply_settings(self) -> None:
        """Apply the limits of retries for the settings and members in force."""
        settings = self._state.settings
        for budget in self._budgets.values():
            budget.set_limits(
                ratio=settings.retry_ratio,
                slack=self._get_slack(),
                window_s=settings.retry_window_s,
            )

    def _get_slack(self) -> float:
        share = get_slack_share(nodes=len(self._state.members))
        return self._state.settings.retry_slack * share

    def _get_budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            settings = self._state.settings
            budget = RetryBudget(
                ratio=settings.retry_ratio,
                slack=self._get_slack(),
                window_s=settings.retry_window_s,
            )
            self._budgets[service] = budget
        return budget


async def _receive(answering: Awaitable[Frame]) -> Attempt:
    """Return the attempt that the answer of another node, or its lack, tells."""
    try:
        answer = await answering
        if not isinstance(answer, ForwardReply):
            raise FrameError("the answer is of another kind")
        return read_forward_reply(answer)
    except PeerUnreachableError as error:
        return Attempt.make_not_run(ErrorKind.PEER_UNREACHABLE, detail=str(error))
    except PeerLostError as error:
        return Attempt.make_unknown(ErrorKind.PEER_LOST, detail=str(error))
    except FrameError as error:
        return Attempt.make_unknown(ErrorKind.ANSWER_DAMAGED, detail=str(error))
