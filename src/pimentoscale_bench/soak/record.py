"""What callers, targets and the injector of faults have seen, and what it breaks."""

import asyncio
import math
from collections import Counter
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

REFUSED_STATUSES = (408, 421, 429, 503)
# A machine is in touch once nothing has gone wrong at it for so long, in seconds.
TOUCH_S = 3.0
# The kind of disturbance in which a node stops as planned.
STOP = "stop"


@dataclass(slots=True, kw_only=True)
class Exchange:
    """One request of a caller; `status` is 0 if no answer came."""

    identity: str
    node: str
    repeatable: bool
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    is_whole: bool = True
    detail: str = ""


@dataclass(slots=True, kw_only=True)
class Disturbance:
    """A fault's time; `node` is empty if all nodes suffer from it.

    With `breaks_callers` connections of callers may break, or their answers be late.
    """

    node: str
    kind: str
    began: float
    breaks_callers: bool
    ended: float = math.inf


@dataclass(slots=True, kw_only=True)
class SoakRecord:
    """All that is judged at the end of a soak; times are of the loop's clock."""

    exchanges: list[Exchange] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    runs: Counter[str] = field(default_factory=Counter)
    breaches: list[str] = field(default_factory=list)

    @contextmanager
    def disturb(
        self, kind: str, *, node: str = "", breaks_callers: bool = False
    ) -> Iterator[None]:
        """Note that a fault goes on; it must be entered in a running loop."""
        loop = asyncio.get_running_loop()
        item = Disturbance(
            node=node, kind=kind, began=loop.time(), breaks_callers=breaks_callers
        )
        self.disturbances.append(item)
        try:
            yield
        finally:
            item.ended = loop.time()

    def is_calm(self, node: str, *, since: float, until: float) -> bool:
        """Tell whether nothing went wrong at a node in a span of time."""
        return not any(_list_hits(self.disturbances, node, since, until))

    def judge(self) -> list[str]:
        """Return every breach: those noted while it ran and those of the record."""
        found = list(self.breaches)
        for item in self.exchanges:
            found.extend(self._judge(item))
        return found

    def _judge(self, item: Exchange) -> Iterable[str]:
        runs = self.runs[item.identity]
        if runs > 1 and not item.repeatable:
            yield f"{item.identity} at {item.node} ran {runs} times"
        if item.status in REFUSED_STATUSES and runs:
            yield f"{item.identity} at {item.node} got {item.status} and ran"
        if not item.is_whole:
            yield f"{item.identity} at {item.node}: {item.detail}"
        if item.status == 0 and not self._is_excused(item, runs):
            yield (
                f"{item.identity} at {item.node} lost after "
                f"{item.ended_at - item.sent_at:.3f} s: {item.detail}"
            )

    def _is_excused(self, item: Exchange, runs: int) -> bool:
        hits = _list_hits(
            self.disturbances, item.node, item.sent_at - TOUCH_S, item.ended_at
        )
        for hit in hits:
            if hit.breaks_callers:
                return True
            # A request that crosses the close of a stopping node has not been read.
            if hit.kind == STOP and runs == 0:
                return True
        return False


def _list_hits(
    disturbances: Iterable[Disturbance], node: str, since: float, until: float
) -> Iterable[Disturbance]:
    for item in disturbances:
        if item.node in ("", node) and item.began <= until and item.ended >= since:
            yield item
