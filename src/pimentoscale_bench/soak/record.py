"""The record of a soak, and the breaches of guarantees that it shows."""

import asyncio
import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

REFUSED_STATUSES = (408, 421, 429, 503)
# The statuses with which a node answers in place of a target that may have run.
OWN_ERROR_STATUSES = (500, 502, 504)
# A node counts as undisturbed only this long after a fault at it has ended.
DISTURBANCE_GRACE_S = 3.0
# The kind of disturbance in which a node shuts down gracefully.
STOP = "stop"
# A stopping node may give up a request that it still runs in the last part of its grace
# period if it was sent at most this long after the SIGTERM (the users' bounds).
LAST_PART = 1 / 6
TAKING_S = 3.0
# The kind of disturbance in which a node's process has ended after a stop.
DOWN = "down"
# An answer reaches its caller within this time of the end of the run, though the soak
# delays connections on both sides.
DELIVERY_S = 1.0
# No request runs that was sent later than this after its key was taken away.
REVOCATION_S = 4.0
# After the grace period, the node is killed within this time (the users' bound).
AFTER_GRACE_S = 1.0


@dataclass(slots=True, kw_only=True)
class Exchange:
    """One request of a caller and its outcome.

    `status` is 0 if no complete answer arrived, and `ended_at` is 0 until the end.
    `is_signed` is set if the answer is a target's.
    """

    identity: str
    node: str
    is_idempotent: bool
    sent_at: float
    deadline: float
    key: str = ""
    ended_at: float = 0.0
    status: int = 0
    is_signed: bool = False
    is_intact: bool = True
    detail: str = ""


@dataclass(slots=True, kw_only=True)
class Run:
    """The time span in which the target beside a node was at work on a request.

    `was_cut` is set if it was told to stop, as by the end of its connection.
    """

    node: str
    began: float
    ended: float = math.inf
    was_cut: bool = False


@dataclass(slots=True, kw_only=True)
class Disturbance:
    """The time span of a fault; `node` is empty if it affects all nodes.

    With `breaks_callers`, connections from callers may break or answers may be late;
    with `breaks_runs`, what the node's target runs or the node waits for may be given
    up. `grace_s` is the grace period of a stop.
    """

    node: str
    kind: str
    began: float
    breaks_callers: bool = False
    breaks_runs: bool = False
    grace_s: float = 0.0
    ended: float = math.inf

    def is_last_part(self, at: float) -> bool:
        """Return whether a time is in the last part of the grace period of a stop."""
        elapsed_s = at - self.began
        return (
            (1 - LAST_PART) * self.grace_s
            <= elapsed_s
            <= (self.grace_s + AFTER_GRACE_S)
        )


@dataclass(slots=True, kw_only=True)
class SoakRecord:
    """All that is checked at the end of a soak; times are those of the event loop.

    `runs` counts the runs of each request at the targets, and `timed_runs` holds them
    with their times; `breaches` are those found while the soak ran. `withdrawn` holds
    when the store acknowledged that a key is taken away.
    """

    exchanges: list[Exchange] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    runs: Counter[str] = field(default_factory=Counter)
    timed_runs: defaultdict[str, list[Run]] = field(
        default_factory=lambda: defaultdict(list)
    )
    breaches: list[str] = field(default_factory=list)
    withdrawn: dict[str, float] = field(default_factory=dict)

    @contextmanager
    def track_disturbance(
        self,
        kind: str,
        *,
        node: str = "",
        breaks_callers: bool = False,
        breaks_runs: bool = False,
        grace_s: float = 0.0,
    ) -> Iterator[Disturbance]:
        """Record a fault as in progress while the context is active.

        Enter it inside a running event loop.
        """
        loop = asyncio.get_running_loop()
        disturbance = Disturbance(
            node=node,
            kind=kind,
            began=loop.time(),
            breaks_callers=breaks_callers,
            breaks_runs=breaks_runs,
            grace_s=grace_s,
        )
        self.disturbances.append(disturbance)
        try:
            yield disturbance
        finally:
            disturbance.ended = loop.time()

    @contextmanager
    def track_run(self, identity: str, *, node: str) -> Iterator[None]:
        """Record a run at the target beside a node while the context is active.

        Enter it inside a running event loop.
        """
        loop = asyncio.get_running_loop()
        run = Run(node=node, began=loop.time())
        self.timed_runs[identity].append(run)
        try:
            yield
        except asyncio.CancelledError:
            run.was_cut = True
            raise
        finally:
            run.ended = loop.time()

    def is_undisturbed(
        self,
        node: str,
        *,
        since: float,
        until: float,
        apart_from: Disturbance | None = None,
    ) -> bool:
        """Return whether no fault, or only one, affected a node in a span of time."""
        found = _find_disturbances(self.disturbances, node, since, until)
        return all(disturbance is apart_from for disturbance in found)

    def has_disturbance(
        self, kind: str, *, node: str, since: float, until: float
    ) -> bool:
        """Return whether a fault of a kind affected a node in a span of time."""
        found = _find_disturbances(self.disturbances, node, since, until)
        return any(disturbance.kind == kind for disturbance in found)

    def find_breaches(self) -> list[str]:
        """Return every breach: those found while the soak ran and in the exchanges."""
        breaches = list(self.breaches)
        for exchange in self.exchanges:
            breaches.extend(self._check_exchange(exchange))
        return breaches

    def _check_exchange(self, exchange: Exchange) -> Iterable[str]:
        runs = self.runs[exchange.identity]
        if runs > 1 and not exchange.is_idempotent:
            yield f"{exchange.identity} at {exchange.node} ran {runs} times"
        withdrawn_at = self.withdrawn.get(exchange.key, math.inf)
        if runs and exchange.sent_at > withdrawn_at + REVOCATION_S:
            yield (
                f"{exchange.identity} at {exchange.node} ran with a key taken away "
                f"{exchange.sent_at - withdrawn_at:.3f} s before"
            )
        if exchange.status in REFUSED_STATUSES and runs:
            yield (
                f"{exchange.identity} at {exchange.node} was refused with "
                f"{exchange.status} but ran"
            )
        if not exchange.is_intact:
            yield f"{exchange.identity} at {exchange.node}: {exchange.detail}"
        if exchange.status == 0 and not self._is_excused(exchange, runs):
            yield (
                f"{exchange.identity} at {exchange.node} was lost after "
                f"{exchange.ended_at - exchange.sent_at:.3f} s: {exchange.detail}"
            )
        for run in self._find_given_up_runs(exchange):
            yield (
                f"{exchange.identity}, sent at {exchange.sent_at:.3f}, was given up: "
                f"{exchange.node} answered {exchange.status} at "
                f"{exchange.ended_at:.3f}, while {run.node} ran it from "
                f"{run.began:.3f} to {run.ended:.3f}, cut={run.was_cut}"
            )

        for run in self._find_undelivered_runs(exchange):
            yield (
                f"{exchange.identity}, sent at {exchange.sent_at:.3f}, was answered "
                f"{exchange.status} by {exchange.node} at {exchange.ended_at:.3f}, "
                f"though {run.node} ran it whole from {run.began:.3f} to "
                f"{run.ended:.3f}"
            )

    def _find_given_up_runs(self, exchange: Exchange) -> Iterable[Run]:
        """Return the runs in place of whose answers the node gave one without excuse.

        A run that goes on after that answer counts like one that was cut.
        """
        if exchange.is_signed or exchange.status not in OWN_ERROR_STATUSES:
            return
        if exchange.ended_at >= exchange.deadline:
            return
        for run in self.timed_runs[exchange.identity]:
            was_given_up = run.was_cut or run.ended > exchange.ended_at
            if was_given_up and not self._may_give_up(exchange, run):
                yield run

    def _find_undelivered_runs(self, exchange: Exchange) -> Iterable[Run]:
        """Return the runs that ended whole and whose answers were not passed on."""
        if exchange.is_signed or exchange.status not in OWN_ERROR_STATUSES:
            return
        for run in self.timed_runs[exchange.identity]:
            is_late = exchange.ended_at - run.ended > DELIVERY_S
            if not run.was_cut and is_late and not self._may_lose_answer(exchange, run):
                yield run

    def _may_lose_answer(self, exchange: Exchange, run: Run) -> bool:
        """Return whether a fault beside the target kept an answer from being passed on.

        The node that took the request passes it on even after a pause of its own.
        """
        return any(
            disturbance.breaks_runs or disturbance.kind == DOWN
            for disturbance in _find_disturbances(
                self.disturbances, run.node, run.ended, exchange.ended_at
            )
        )

    def _may_give_up(self, exchange: Exchange, run: Run) -> bool:
        """Return whether a fault or the end of a grace period excuses a cut run.

        Both nodes count: the one that took the request and the one beside the target.
        """
        at = min(run.ended, exchange.ended_at)
        for disturbance in self.disturbances:
            if disturbance.node not in ("", exchange.node, run.node):
                continue
            if disturbance.breaks_runs and _overlaps(
                disturbance, exchange.sent_at, exchange.ended_at
            ):
                return True
            if (
                disturbance.kind == STOP
                and exchange.sent_at <= disturbance.began + TAKING_S
                and disturbance.is_last_part(at)
            ):
                return True
        return False

    def _is_excused(self, exchange: Exchange, runs: int) -> bool:
        disturbances = _find_disturbances(
            self.disturbances,
            exchange.node,
            exchange.sent_at - DISTURBANCE_GRACE_S,
            exchange.ended_at,
        )
        for disturbance in disturbances:
            if disturbance.breaks_callers:
                return True
            # The node closed the connection while the request was in transit, so it
            # never read the request.
            if disturbance.kind == STOP and runs == 0:
                return True
        return False


def _find_disturbances(
    disturbances: Iterable[Disturbance], node: str, since: float, until: float
) -> Iterable[Disturbance]:
    """Return the disturbances that affect a node and overlap a span of time."""
    for disturbance in disturbances:
        if disturbance.node in ("", node) and _overlaps(disturbance, since, until):
            yield disturbance


def _overlaps(disturbance: Disturbance, since: float, until: float) -> bool:
    return disturbance.began <= until and disturbance.ended >= since
