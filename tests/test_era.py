"""The era that answers of the store state, and positions that have one."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentoscale.store import (
    EraTracker,
    KeyedRecord,
    Position,
    StoreError,
    TopicReplica,
)
from tests.replicas import hold

NUMBERS = st.integers(1, 3)


def make_tracker(*stated: bytes) -> EraTracker:
    """Return a tracker that has observed answers, one after the other."""
    tracker = EraTracker()
    for text in stated:
        tracker.observe(text, asked_in=tracker.current)
    return tracker


def make_record(key: bytes, era: int, offset: int, value: bytes = b"v") -> KeyedRecord:
    position = Position(era=era, offset=offset)
    return KeyedRecord(key=key, value=value, position=position)


def test_era_that_rises_by_one_is_known_at_once() -> None:
    assert make_tracker(b"7", b"8").current == 8


def test_first_era_may_be_any() -> None:
    assert make_tracker(b"41").current == 41


@pytest.mark.parametrize(
    "text", [None, b"", b"x", b"-1", b"1.5", b"0", b"6", b"9" * 40, b"\xb2"]
)
def test_bad_era_of_an_answer_changes_nothing(text: bytes | None) -> None:
    tracker = make_tracker(b"7")
    assert tracker.observe(text, asked_in=7) == 7
    assert tracker.current == 7


def test_late_answer_of_an_earlier_era_is_refused() -> None:
    tracker = make_tracker(b"7", b"8")
    with pytest.raises(StoreError):
        tracker.observe(b"7", asked_in=7)
    assert tracker.current == 8


def test_era_that_jumps_counts_once_it_is_confirmed() -> None:
    tracker = make_tracker(b"7")
    assert tracker.observe(b"9", asked_in=7) == 7
    assert tracker.unconfirmed == 9
    assert tracker.observe(b"9", asked_in=7) == 9
    assert not tracker.unconfirmed


def test_era_that_jumps_once_is_forgotten() -> None:
    tracker = make_tracker(b"7", b"90", b"7", b"80", b"7")
    assert tracker.current == 7
    assert tracker.observe(b"8", asked_in=7) == 8


def test_rise_is_told_once() -> None:
    tracker = make_tracker(b"7")
    rises: list[int] = []
    tracker.on_rise = lambda: rises.append(tracker.current)
    for text in (b"7", b"8", b"8", b"7", b"10", b"10"):
        tracker.observe(text, asked_in=tracker.current)
    assert rises == [8, 10]


def test_record_of_a_later_era_replaces_one_of_a_higher_offset() -> None:
    replica = TopicReplica(topic="t")
    hold(replica, [make_record(b"k", 1, 14)], source="store")
    newer = hold(replica, [make_record(b"k", 2, 6, b"older")], source="store")
    assert [item.crosses_era for item in newer] == [True]
    assert not hold(replica, [make_record(b"k", 1, 15)], source="n2")


def test_record_that_the_store_has_lost_is_not_found_but_held() -> None:
    replica = TopicReplica(topic="t")
    hold(replica, [make_record(b"k", 1, 14)], source="store")
    replica.advance(Position(era=1, offset=15))
    assert replica.find(b"k") is not None
    replica.advance(Position(era=2, offset=3))
    assert replica.find(b"k") is None
    assert replica.list_lost_keys() == [b"k"]
    assert hold(replica, [make_record(b"k", 2, 3)], source="store")
    assert replica.find(b"k") is not None


@given(
    records=st.lists(
        st.tuples(st.sampled_from([b"a", b"b"]), NUMBERS, NUMBERS),
        unique_by=lambda item: item[1:],
        max_size=9,
    ),
    order=st.randoms(use_true_random=False),
)
def test_replicas_agree_over_eras_whatever_the_order_of_records(
    records: list[tuple[bytes, int, int]], order: object
) -> None:
    items = [make_record(key, era, offset) for key, era, offset in records]
    first, second = TopicReplica(topic="t"), TopicReplica(topic="t")
    hold(first, items, source="store")
    order.shuffle(items)  # type: ignore[attr-defined]
    for item in items:
        hold(second, [item], source="peer")
    start = Position(era=0, offset=0)
    assert [item.position for item in first.list_since(start)] == [
        item.position for item in second.list_since(start)
    ]
