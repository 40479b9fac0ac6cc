"""What an operator asks of a node at its metrics address: metrics and explanations."""

import asyncio
from collections.abc import Sequence

from pimentoscale.admission import LearnedLimit
from pimentoscale.forwarding.explanation import Explainer
from pimentoscale.forwarding.forwarder import Forwarder
from pimentoscale.forwarding.links import Links
from pimentoscale.forwarding.routes import RouteUpdater
from pimentoscale.forwarding.sources import SourceSelection
from pimentoscale.forwarding.state import SidecarState
from pimentoscale.forwarding.target import LocalTarget
from pimentoscale.http import HttpRequest, HttpResponse
from pimentoscale.memory import MemoryAccount
from pimentoscale.metrics import Gauge
from pimentoscale.store import RecordStore, TopicWatcher
from pimentoscale.suspension import read_boot_time

# Path at which an operator asks about a request; any other path returns the metrics.
EXPLAIN_PATH = b"/explain"
# Value of a gauge of which nothing is known.
UNKNOWN = -1.0


class OperatorInterface:
    """Answers the requests of operators; reads the state of the node's parts."""

    __slots__ = (
        "_account",
        "_explainer",
        "_forwarder",
        "_links",
        "_routes",
        "_selection",
        "_state",
        "_store",
        "_target",
        "_watchers",
    )

    def __init__(
        self,
        *,
        state: SidecarState,
        forwarder: Forwarder,
        target: LocalTarget,
        links: Links,
        routes: RouteUpdater,
        selection: SourceSelection,
        store: RecordStore,
        watchers: Sequence[TopicWatcher],
        account: MemoryAccount,
        explainer: Explainer,
    ) -> None:
        self._state = state
        self._forwarder = forwarder
        self._target = target
        self._links = links
        self._routes = routes
        self._selection = selection
        self._store = store
        self._watchers = watchers
        self._account = account
        self._explainer = explainer

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return an explanation, or the metrics as text."""
        if request.path == EXPLAIN_PATH:
            now = asyncio.get_running_loop().time()
            return self._explainer.answer(request, now=now, boot_time=read_boot_time())
        metrics = self._state.metrics
        for name, value in self._list_gauges().items():
            metrics.set_gauge(Gauge(name=name, value=value))
        headers = [(b"content-type", b"text/plain; version=0.0.4")]
        return HttpResponse(status=200, headers=headers, body=metrics.render())

    def _list_gauges(self) -> dict[str, float]:
        rate_limit = self._target.rate_limit
        limit = self._target.limit
        values: dict[str, float] = {
            "routes_version": self._state.version,
            "routes_version_stated": self._routes.stated_version,
            "records_age_seconds": self._get_records_age_s(),
            "requests_in_progress": self._forwarder.in_progress,
            "target_in_progress": self._target.in_progress,
            "target_sent_requests": self._target.sent_requests,
            "target_rate_limit": UNKNOWN if rate_limit is None else rate_limit,
            "target_limit": limit.get_limit(),
            "streams_up": self._links.count_up(),
            "members": len(self._state.members),
            "held_bytes": self._account.held,
            "store_answer_age_seconds": self._get_store_age_s(),
            "store_era": self._store.era,
        }
        if isinstance(limit, LearnedLimit):
            values["target_speed"] = limit.speed
            values["target_speed_baseline"] = limit.baseline or 0.0
        for watcher in self._watchers:
            name = watcher.topic.rpartition(".")[2]
            values[f"store_answer_age_seconds_{name}"] = _get_age_s(
                watcher.last_answer_at
            )
            offset = watcher.next_offset
            values[f"records_next_offset_{name}"] = (
                UNKNOWN if offset is None else offset
            )
            values[f"read_errors_{name}"] = watcher.failed_reads.errors
            values[f"records_unapplied_{name}"] = watcher.unapplied
            values[f"records_failed_{name}"] = watcher.failures
        for kind, calls in self._store.calls.items():
            values[f"store_calls_{kind}"] = calls
        return values

    def _get_records_age_s(self) -> float:
        """Return how long ago the store confirmed the records held; -1 if never."""
        age_s = self._selection.get_age_s(now=asyncio.get_running_loop().time())
        return UNKNOWN if age_s is None else age_s

    def _get_store_age_s(self) -> float:
        """Return how long ago the store last responded; -1 if it never has."""
        times = [
            item.last_answer_at
            for item in self._watchers
            if item.last_answer_at is not None
        ]
        return _get_age_s(max(times, default=None))


def _get_age_s(at: float | None) -> float:
    return UNKNOWN if at is None else asyncio.get_running_loop().time() - at
