"""Passes the records of the store on from node to node within a zone."""

import asyncio
from collections.abc import Callable, Iterable
from heapq import nsmallest

from pimentoscale.forwarding.links import Links
from pimentoscale.forwarding.sources import READERS, SourceSelection
from pimentoscale.forwarding.state import SidecarState
from pimentoscale.logs import get_logger
from pimentoscale.membership.tree import rank_root
from pimentoscale.store import (
    KeyedRecord,
    Position,
    RecordHandler,
    TopicReplica,
)
from pimentoscale.stream import Connection, FollowTopics, Hello, TopicRecords

# Period of the messages that state a confirmation while there are no new records.
STATUS_PERIOD_S = 0.5
MAX_AGE_MS = 86_400_000
AGE_UNKNOWN = -1
# So many nodes of a zone, the next in order after its readers, read beside them for a
# moment once a reader has had no answer: both may be without answers.
ASSISTANTS = 4
ASSISTANCE_S = 1.0
POSITION_UNKNOWN = (-1, -1)
START = (0, 0)
MAX_KEY_BYTES = 255

log = get_logger("relay")


class RecordRelay:
    """Keeps a replica of each topic up to date and sends its records to followers.

    `may_read` tells for each topic whether this node reads it from the store. The
    replica of `first_topic` is read before the others, since it names the other nodes.
    """

    def __init__(
        self,
        *,
        state: SidecarState,
        links: Links,
        handlers: dict[str, RecordHandler],
        first_topic: str,
        now: float,
    ) -> None:
        self._state = state
        self._links = links
        self._handlers = handlers
        self._first_topic = first_topic
        self._followers: set[Connection] = set()
        self._status_sent_at = now
        self._assists_until = now
        self.replicas = {topic: TopicReplica(topic=topic) for topic in handlers}
        self.may_read = {topic: asyncio.Event() for topic in handlers}
        self._eras = dict.fromkeys(handlers, 0)
        self.on_loaded: Callable[[], None] | None = None
        self.on_read_again: Callable[[str, Position], None] | None = None
        self.on_new_era: Callable[[TopicReplica], None] | None = None
        self.selection = SourceSelection(own_instance=state.settings.instance, now=now)

    def receive(
        self,
        replica: TopicReplica,
        records: Iterable[KeyedRecord],
        source: str,
        next_position: Position | None,
    ) -> None:
        """Apply records from a source and send those that are new to the followers.

        With them all records before `next_position` have come, unless it is None.
        """
        now = asyncio.get_running_loop().time()
        handle = self._handlers[replica.topic]
        newer = replica.apply(records, source=source, handle=handle, now=now)
        if next_position is not None:
            replica.advance(next_position)
        try:
            self._announce(replica, newer, now=now)
        except Exception as error:
            # The records are applied: reading them again would not mend this.
            log.error(
                "topic %s: records from %s not announced",
                replica.topic,
                source,
                exc_info=error,
            )

    def _announce(
        self, replica: TopicReplica, newer: list[KeyedRecord], *, now: float
    ) -> None:
        """Tell this node's parts and the followers of what was received."""
        if newer:
            self._send_to_followers(self._make_frame(replica, newer, now=now))
        if replica.topic == self._first_topic and replica.next_position is not None:
            self.selection.record_loaded(now=now)
            if self.on_loaded is not None:
                self.on_loaded()
        self._check_era(replica)

    def read_unapplied_again(self, *, now: float) -> None:
        """Have the records that could not be applied read or sent again when due."""
        source = self.selection.choice.node
        for topic, replica in self.replicas.items():
            reads_store = self.may_read[topic].is_set()
            if not reads_store and source is None:
                continue
            start = replica.unapplied.take_due(now=now)
            if start is None:
                continue
            if source is not None:
                follow = FollowTopics(positions={topic: (start.era, start.offset)})
                self._links.send(source, follow)
            if reads_store and self.on_read_again is not None:
                self.on_read_again(topic, start)

    def _check_era(self, replica: TopicReplica) -> None:
        """Handle the first records of a new era, which are all that the store has."""
        position = replica.next_position
        if position is None or position.era <= self._eras[replica.topic]:
            return
        log.info(
            "topic %s: era %d after %d, records lost by the store: %d",
            replica.topic,
            position.era,
            self._eras[replica.topic],
            len(replica.list_lost_keys()),
        )
        if self.on_new_era is not None:
            self.on_new_era(replica)
        self._eras[replica.topic] = position.era

    def record_store_call(self, succeeded: bool, now: float) -> None:
        """Record the result of a call; tell the followers if it ends the reading."""
        stated_before = self.selection.get_stated_age_s(now=now)
        self.selection.record_store_call(succeeded=succeeded, now=now)
        stated = self.selection.get_stated_age_s(now=now)
        if stated is None and stated_before is not None:
            self._status_sent_at = now - STATUS_PERIOD_S
            self.send_status(now=now)
            self.update(now=now)

    def record_registration(self, *, now: float) -> None:
        """Note that this node's own member record is in the store."""
        self.selection.record_registration(now=now)

    def get_phase(self) -> float:
        """Return the part of a wait by which this reader's waits end before others'.

        The readers of all zones get records at the same time. Their waits end evenly
        apart, so that some reader soon notices that the store does not answer.
        """
        zones = {member.zone for member in self._state.members.values()}
        zones.add(self._state.settings.zone)
        index = sorted(zones).index(self._state.settings.zone)
        if self.selection.is_second_reader:
            index += len(zones)
        return index / (2 * len(zones))

    def update(self, *, now: float) -> None:
        """Choose the source of the records anew, and use it."""
        previous = self.selection.choice
        if previous.node is not None and self._links.is_receiving(
            previous.node, now=now
        ):
            self.selection.record_receiving(previous.node, now=now)
        known = self._list_zone()
        reachable = [name for name in known if self._links.is_up(name)]
        choice = self.selection.choose(reachable, known=len(known), now=now)
        reads_store = choice.reads_store or now < self._assists_until
        for topic, event in self.may_read.items():
            is_loaded = self.replicas[self._first_topic].next_position is not None
            if reads_store and (is_loaded or topic == self._first_topic):
                event.set()
            else:
                event.clear()
        if choice.node != previous.node:
            if previous.node is not None:
                self._links.send(previous.node, FollowTopics(positions={}))
            if choice.node is not None:
                self._links.send(choice.node, self._make_follow())

    def assist(self, *, now: float) -> None:
        """Read beside the readers for a moment if this node is one of the next."""
        own = self._state.settings.instance
        reachable = [name for name in self._list_zone() if self._links.is_up(name)]
        next_nodes = nsmallest(READERS + ASSISTANTS, [own, *reachable], key=rank_root)
        if self.selection.choice.reads_store or own not in next_nodes:
            return
        log.info("reading the store beside the readers for %.1f s", ASSISTANCE_S)
        self._assists_until = now + ASSISTANCE_S
        self.update(now=now)

    def _list_zone(self) -> list[str]:
        """Return the other members of this node's zone."""
        return [
            name
            for name, member in self._state.members.items()
            if member.zone == self._state.settings.zone
            and name != self._state.settings.instance
        ]

    def send_status(self, *, now: float) -> None:
        """State the confirmation to the followers once in `STATUS_PERIOD_S`."""
        if now - self._status_sent_at < STATUS_PERIOD_S:
            return
        self._status_sent_at = now
        if self._followers:
            replica = self.replicas[self._first_topic]
            self._send_to_followers(self._make_frame(replica, [], now=now))

    def on_up(self, *, name: str, now: float) -> None:
        """Handle a new stream to another node."""
        if self.selection.choice.node == name:
            self._links.send(name, self._make_follow())
        else:
            self.update(now=now)

    def follow(self, connection: Connection, frame: FollowTopics) -> None:
        """Send a follower the records that it lacks, and all later ones."""
        if not frame.positions:
            self._followers.discard(connection)
            return
        now = asyncio.get_running_loop().time()
        self._followers.add(connection)
        for topic, (era, offset) in frame.positions.items():
            replica = self.replicas.get(topic)
            if replica is None:
                log.warning("unknown topic %r requested by a follower", topic[:64])
                continue
            records = replica.list_since(Position(era=era, offset=offset))
            connection.send(self._make_frame(replica, records, now=now))

    def has_follower(self, connection: Connection) -> bool:
        """Return whether a node gets all records on a connection."""
        return connection in self._followers

    def remove_follower(self, connection: Connection) -> None:
        """Remove a follower whose stream has ended."""
        self._followers.discard(connection)

    def on_topic_records(self, *, remote: Hello, frame: TopicRecords) -> None:
        """Apply the records that another node sent; refuse a frame with a fault."""
        replica = self.replicas.get(frame.topic)
        fault = _find_fault(frame)
        if replica is None:
            fault = "unknown topic"
        elif remote.zone != self._state.settings.zone:
            fault = "the sender is in another zone"
        if fault or replica is None:
            log.warning(
                "records of topic %r from %s refused: %s",
                frame.topic[:64],
                remote.instance,
                fault,
            )
            return
        now = asyncio.get_running_loop().time()
        is_source = remote.instance == self.selection.choice.node
        next_position = None
        if is_source and _get_next(frame) != POSITION_UNKNOWN:
            # All records from the requested position on came before on this stream.
            next_position = Position(era=frame.next_era, offset=frame.next_offset)
        records = [
            KeyedRecord(key=key, value=value, position=Position(era=era, offset=offset))
            for key, value, era, offset in frame.items
        ]
        self.receive(replica, records, remote.instance, next_position)
        age_s = None if frame.age_ms == AGE_UNKNOWN else frame.age_ms / 1000
        self.selection.record_status(remote.instance, age_s=age_s, now=now)
        if age_s is None and is_source:
            self.update(now=now)

    def _make_follow(self) -> FollowTopics:
        positions = {
            topic: _encode_position(replica.next_position, unknown=START)
            for topic, replica in self.replicas.items()
        }
        return FollowTopics(positions=positions)

    def _make_frame(
        self, replica: TopicReplica, records: list[KeyedRecord], *, now: float
    ) -> TopicRecords:
        age_s = self.selection.get_stated_age_s(now=now)
        next_era, next_offset = _encode_position(
            replica.next_position, unknown=POSITION_UNKNOWN
        )
        return TopicRecords(
            topic=replica.topic,
            next_era=next_era,
            next_offset=next_offset,
            age_ms=(
                AGE_UNKNOWN if age_s is None else min(MAX_AGE_MS, int(1000 * age_s))
            ),
            items=[
                (item.key, item.value, item.position.era, item.position.offset)
                for item in records
            ],
        )

    def _send_to_followers(self, frame: TopicRecords) -> None:
        for connection in self._followers:
            if connection.is_open:
                connection.send(frame)


def _encode_position(
    position: Position | None, *, unknown: tuple[int, int]
) -> tuple[int, int]:
    return unknown if position is None else (position.era, position.offset)


def _get_next(frame: TopicRecords) -> tuple[int, int]:
    return frame.next_era, frame.next_offset


def _find_fault(frame: TopicRecords) -> str:
    """Return what is wrong with a frame, or an empty text."""
    next_position = _get_next(frame)
    is_known = next_position != POSITION_UNKNOWN
    if (is_known and min(next_position) < 0) or frame.age_ms < AGE_UNKNOWN:
        return "a negative offset, era or age"
    for key, _, era, offset in frame.items:
        if not key or len(key) > MAX_KEY_BYTES:
            return "a key of no or too many bytes"
        if min(era, offset) < 0 or (is_known and (era, offset) >= next_position):
            return f"position {(era, offset)} is not before {next_position}"
    return ""
