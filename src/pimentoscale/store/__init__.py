"""What the product asks of a store of records, and how it follows a topic."""

from pimentoscale.store.interface import (
    KeyedRecord,
    NewestPage,
    RecordPage,
    RecordStore,
    StoreError,
    StoreGapError,
)
from pimentoscale.store.watch import TopicWatcher

__all__ = [
    "KeyedRecord",
    "NewestPage",
    "RecordPage",
    "RecordStore",
    "StoreError",
    "StoreGapError",
    "TopicWatcher",
]
