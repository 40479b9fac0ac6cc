"""Replicas of topics without a node."""

from collections.abc import Iterable

from pimentoscale.store import KeyedRecord, Position, TopicReplica


def hold(
    replica: TopicReplica, records: Iterable[KeyedRecord], *, source: str
) -> list[KeyedRecord]:
    """Have a replica hold records, with nothing to do for them."""
    return replica.apply(records, source=source, handle=lambda record: None, now=0.0)


def receive(
    replica: TopicReplica,
    records: Iterable[KeyedRecord],
    source: str,
    next_position: Position,
) -> None:
    """Receive the records of a read as a node does."""
    hold(replica, records, source=source)
    replica.advance(next_position)
