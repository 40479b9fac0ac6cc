"""The interface of the record store, and a watcher of keyed topics."""

from pimentoscale.store.era import EraTracker
from pimentoscale.store.interface import (
    KeyedRecord,
    NewestPage,
    Position,
    RecordPage,
    RecordStore,
    StoreError,
    StoreGapError,
    format_position,
)
from pimentoscale.store.replica import RecordHandler, TopicReplica
from pimentoscale.store.watch import TopicWatcher

__all__ = [
    "EraTracker",
    "KeyedRecord",
    "NewestPage",
    "Position",
    "RecordHandler",
    "RecordPage",
    "RecordStore",
    "StoreError",
    "StoreGapError",
    "TopicReplica",
    "TopicWatcher",
    "format_position",
]
