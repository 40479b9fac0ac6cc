"""The record of a soak, and the breaches of guarantees that it shows."""

import asyncio
import math
from collections import Counter
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

REFUSED_STATUSES = (408, 421, 429, 503)
# A node counts as undisturbed only this long after a fault at it has ended.
DISTURBANCE_GRACE_S = 3.0
# The kind of disturbance in which a node shuts down gracefully.
STOP = "stop"


@dataclass(slots=True, kw_only=True)
class Exchange:
    """One request of a caller and its outcome.

    `status` is 0 if no complete answer arrived, and `ended_at` is 0 until the end.
    """

    identity: str
    node: str
    is_idempotent: bool
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    is_intact: bool = True
    detail: str = ""


@dataclass(slots=True, kw_only=True)
class Disturbance:
    """The time span of a fault; `node` is empty if it affects all nodes.

    With `breaks_callers`, connections from callers may break or answers may be late.
    """

    node: str
    kind: str
    began: float
    breaks_callers: bool
    ended: float = math.inf


@dataclass(slots=True, kw_only=True)
class SoakRecord:
    """All that is checked at the end of a soak; times are those of the event loop.

    `runs` counts the runs of each request at the targets; `breaches` are those found
    while the soak ran.
    """

    exchanges: list[Exchange] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    runs: Counter[str] = field(default_factory=Counter)
    breaches: list[str] = field(default_factory=list)

    @contextmanager
    def track_disturbance(
        self, kind: str, *, node: str = "", breaks_callers: bool = False
    ) -> Iterator[None]:
        """Record a fault as in progress while the context is active.

        Enter it inside a running event loop.
        """
        loop = asyncio.get_running_loop()
        disturbance = Disturbance(
            node=node, kind=kind, began=loop.time(), breaks_callers=breaks_callers
        )
        self.disturbances.append(disturbance)
        try:
            yield
        finally:
            disturbance.ended = loop.time()

    def is_undisturbed(self, node: str, *, since: float, until: float) -> bool:
        """Return whether no fault affected a node in a span of time."""
        return not any(_find_disturbances(self.disturbances, node, since, until))

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
        if (
            disturbance.node in ("", node)
            and disturbance.began <= until
            and disturbance.ended >= since
        ):
            yield disturbance
