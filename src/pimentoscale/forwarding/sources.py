"""Decides from where a node gets the records of the store.

Each call to the store costs, and a record would wake every node of the fleet. So two
nodes of each zone read the store, and the others get its records from a node of their
zone: their parent in the zone's distribution tree. No message is needed to agree on
this. All nodes compute the same tree from the nodes that they can reach, and where
their views differ for a moment, more nodes read than needed.

Each node states how long ago the store confirmed what it holds. A node whose source is
silent or states too old a confirmation uses another one, and reads the store itself if
the tree without the unfit ones names it as a reader. So the loss of a reader, its pause
and a cut between it and the store are found in the same way.
"""

from collections.abc import Collection

import msgspec

from pimentoscale.logs import get_logger
from pimentoscale.membership.tree import find_parent, find_root

# Nodes of each zone that read the store.
READERS = 2
# A source must send something at least this often, or a part of it.
SILENT_S = 1.2
# A source whose confirmation is older than this is unfit. Readers confirm every two
# seconds, and each hop may add one period of the status messages. While one reader is
# cut off from the store, versions of the routes still come from the other one, through
# the heartbeats of all nodes.
STALE_S = 4.0
# How long a new source may take to state a recent confirmation.
GRACE_S = 1.5
# How long a node counts as unfit, and how many may at most: with the store down for
# all, a few nodes of the zone try to read it, not each of them.
UNFIT_S = 4.0
MAX_UNFIT = 6
# A reader whose calls have failed for this long uses another node as its source.
STORE_FAILURE_S = 0.5
# A starting node waits this long for streams to the nodes of its zone.
SETTLE_S = 0.6
# With no other member of its zone known, a starting node reads again only after this
# time, or once its own target has been registered for `REGISTERED_WAIT_S`: all nodes of
# a new deployment start together, and register within a second or two.
COLD_WAIT_S = 2.0
REGISTERED_WAIT_S = 0.5

log = get_logger("sources")


class SourceChoice(msgspec.Struct, kw_only=True, frozen=True):
    """Where the records come from: the store, another node, or none for now."""

    reads_store: bool = False
    node: str | None = None


class SourceSelection:
    """Chooses the source of one node's records."""

    __slots__ = (
        "_chosen_at",
        "_confirmed_at",
        "_failing_since",
        "_heard_at",
        "_loaded_at",
        "_own",
        "_registered_at",
        "_started_at",
        "_unfit_until",
        "choice",
        "is_second_reader",
    )

    def __init__(self, *, own_instance: str, now: float) -> None:
        self._own = own_instance
        self._started_at = now
        self._loaded_at: float | None = None
        self._registered_at: float | None = None
        self._confirmed_at: float | None = None
        self._chosen_at = now
        self._heard_at = now
        self._failing_since: float | None = None
        self._unfit_until: dict[str, float] = {}
        self.choice = SourceChoice()
        self.is_second_reader = False

    def record_loaded(self, *, now: float) -> None:
        """Note that the members have been read once."""
        if self._loaded_at is None:
            self._loaded_at = now

    def record_registration(self, *, now: float) -> None:
        """Note that this node's own member record is in the store."""
        if self._registered_at is None:
            self._registered_at = now

    def record_status(self, name: str, *, age_s: float | None, now: float) -> None:
        """Record a message of the source; `age_s` is that of its confirmation.

        It is None if the store turns the source away, or has not answered it yet.
        """
        if name != self.choice.node:
            return
        self._heard_at = now
        if age_s is None:
            self._mark_unfit(name, "the store does not answer it", now)
        else:
            self._confirm(now - age_s)

    def record_receiving(self, name: str, *, now: float) -> None:
        """Note that a message of the source is arriving in parts."""
        if name == self.choice.node:
            self._heard_at = now

    def record_store_call(self, *, succeeded: bool, now: float) -> None:
        """Record the result of a call to the store."""
        if succeeded:
            self._failing_since = None
            self._confirm(now)
        elif self._failing_since is None:
            self._failing_since = now
        elif now - self._failing_since >= STORE_FAILURE_S:
            self._failing_since = None
            self._mark_unfit(self._own, "its calls to the store fail", now)

    def get_stated_age_s(self, *, now: float) -> float | None:
        """Return the age to state to followers; None while own calls to the store fail.

        So the followers of all readers that the store turns away find another one at
        once, though those readers may follow each other.
        """
        return None if self._own in self._unfit_until else self.get_age_s(now=now)

    def get_age_s(self, *, now: float) -> float | None:
        """Return how long ago the store confirmed the records; None if it never did."""
        return None if self._confirmed_at is None else now - self._confirmed_at

    def choose(
        self, reachable: Collection[str], *, known: int, now: float
    ) -> SourceChoice:
        """Return the source to use from now on.

        `reachable` are the other nodes of the zone to which there is a stream, and
        `known` is how many of them have a member record.
        """
        self._check_source(reachable, now)
        self._forget_unfit(now)
        choice = self._choose(reachable, known, now)
        if choice != self.choice:
            log.info(
                "source of records: reads_store=%s node=%s age_s=%s reachable=%d",
                choice.reads_store,
                choice.node,
                _format_age(self.get_age_s(now=now)),
                len(reachable),
            )
            self.choice = choice
            self._chosen_at = now
            self._heard_at = now
        return choice

    def _choose(
        self, reachable: Collection[str], known: int, now: float
    ) -> SourceChoice:
        if self._loaded_at is None:
            return SourceChoice(reads_store=True)
        if not reachable:
            return SourceChoice(reads_store=not self._awaits_others(known, now))
        fit = [name for name in reachable if name not in self._unfit_until]
        is_settling = len(reachable) < known and self._awaits_others(known, now)
        if self._own in self._unfit_until or is_settling:
            source = find_root(fit)
            return SourceChoice(reads_store=source is None, node=source)
        first = find_root([self._own, *fit])
        second = find_root(name for name in (self._own, *fit) if name != first)
        self.is_second_reader = self._own == second
        if self._own in (first, second):
            return SourceChoice(reads_store=True)
        return SourceChoice(node=find_parent(self._own, fit))

    def _awaits_others(self, known: int, now: float) -> bool:
        """Return whether a starting node may soon reach others of its zone."""
        assert self._loaded_at is not None
        if known:
            return now - self._loaded_at < SETTLE_S
        if now - self._started_at >= COLD_WAIT_S:
            return False
        registered = self._registered_at
        return registered is None or now - registered < REGISTERED_WAIT_S

    def _check_source(self, reachable: Collection[str], now: float) -> None:
        node = self.choice.node
        if node is None or node not in reachable:
            return
        age_s = self.get_age_s(now=now)
        if now - self._heard_at > SILENT_S:
            self._mark_unfit(node, "it is silent", now)
        elif now - self._chosen_at > GRACE_S and (age_s is None or age_s > STALE_S):
            self._mark_unfit(node, "its confirmation is too old", now)

    def _mark_unfit(self, name: str, reason: str, now: float) -> None:
        log.info("node %s is no source for %.0f s: %s", name, UNFIT_S, reason)
        self._unfit_until[name] = now + UNFIT_S
        if len(self._unfit_until) > MAX_UNFIT:
            del self._unfit_until[min(self._unfit_until, key=self._get_unfit_until)]

    def _get_unfit_until(self, name: str) -> float:
        return self._unfit_until[name]

    def _forget_unfit(self, now: float) -> None:
        for name in [key for key, until in self._unfit_until.items() if now >= until]:
            del self._unfit_until[name]

    def _confirm(self, at: float) -> None:
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at


def _format_age(age_s: float | None) -> str:
    return "never" if age_s is None else f"{age_s:.2f}"
