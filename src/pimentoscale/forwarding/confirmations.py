"""Keeps the age of the configuration's confirmation, on every node of a zone.

The readers of the store learn it from their reads, and each other node asks the node
from which it gets its records. The question bears the clock of the node that asks: the
age in the answer counts from then, however long question and answer were under way.
"""

from pimentoscale.forwarding.links import Links
from pimentoscale.forwarding.relay import RecordRelay
from pimentoscale.forwarding.state import SidecarState
from pimentoscale.logs import get_logger
from pimentoscale.organisations import get_read_wait_s
from pimentoscale.stream import (
    AskConfirmation,
    Connection,
    Hello,
    StateConfirmation,
)

MICROSECONDS = 1_000_000
UNKNOWN = -1
MAX_AGE_S = 86_400.0

log = get_logger("keys")


class Confirmations:
    """Asks for the confirmation, answers other nodes, and logs when it is too old.

    `topic` is that of the configuration.
    """

    __slots__ = ("_links", "_relay", "_state", "_topic", "_was_confirmed")

    def __init__(
        self, *, state: SidecarState, links: Links, relay: RecordRelay, topic: str
    ) -> None:
        self._state = state
        self._links = links
        self._relay = relay
        self._topic = topic
        self._was_confirmed = True

    @property
    def is_needed(self) -> bool:
        """Return whether requests bear keys that may be withdrawn."""
        table = self._state.table
        has_keys = table is None or table.organisations is not None
        return has_keys and self._state.access.revocation_s is not None

    def choose_read_wait_ms(self, usual_ms: int) -> int:
        """Return how long reads of the configuration wait at the store."""
        revocation_s = self._state.access.revocation_s
        if revocation_s is None or not self.is_needed:
            return usual_ms
        return min(usual_ms, int(1000 * get_read_wait_s(revocation_s)))

    def record_read(self, at: float) -> None:
        """Note that the store held nothing else at a moment on the boot-time clock."""
        self._state.access.confirmation.record(at)

    def ask(self, *, now: float) -> None:
        """Ask the source of this node's records; `now` is on the boot-time clock."""
        if not self.is_needed:
            return
        source = self._relay.selection.choice.node
        if source is not None:
            self._links.send(source, AskConfirmation(clock_us=int(now * MICROSECONDS)))
        is_confirmed = self._state.access.is_confirmed(now=now)
        if is_confirmed != self._was_confirmed:
            self._was_confirmed = is_confirmed
            age_s = self._state.access.confirmation.get_age_s(now=now)
            log.warning(
                "keys %s: version=%d confirmed_s_ago=%s source=%s",
                "are accepted again" if is_confirmed else "are refused",
                self._state.version,
                "never" if age_s is None else f"{age_s:.2f}",
                source or "store",
            )

    def answer(
        self, connection: Connection, remote: Hello, frame: AskConfirmation, now: float
    ) -> None:
        """Answer a node that gets its records from this one."""
        age_s = self._state.access.confirmation.get_age_s(now=now)
        age_us = UNKNOWN
        if age_s is not None and self._relay.has_follower(connection):
            # Rounded up: a confirmation must not seem newer than it is.
            age_us = int(min(MAX_AGE_S, max(0.0, age_s)) * MICROSECONDS) + 1
        connection.send(StateConfirmation(clock_us=frame.clock_us, age_us=age_us))

    def record_answer(self, remote: Hello, frame: StateConfirmation) -> None:
        """Use the answer of this node's source."""
        if remote.instance != self._relay.selection.choice.node or frame.age_us < 0:
            return
        if self._relay.replicas[self._topic].unapplied:
            return
        at = (frame.clock_us - frame.age_us) / MICROSECONDS
        self._state.access.confirmation.record(at)
