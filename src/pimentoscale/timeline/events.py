"""Time line events and the ring buffer of the latest ones of a process."""

import heapq
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

from pimentoscale.timeline.clock import HybridClock

MAX_EVENTS = 4096


class EventName(Enum):
    """The closed list of names of events."""

    CALL_ENTERED = "call_entered"
    CALL_QUEUED = "call_queued"
    CALL_STARTED = "call_started"
    CALL_REFUSED = "call_refused"
    CALL_ENDED = "call_ended"
    CALL_JOINED = "call_joined"
    RETRY_SENT = "retry_sent"
    INTENT_RECORDED = "intent_recorded"
    TICKET_VETOED = "ticket_vetoed"
    VERSION_IN_FORCE = "version_in_force"
    CONSENT_GIVEN = "consent_given"
    MEMBER_JOINED = "member_joined"
    MEMBER_DRAINING = "member_draining"
    MEMBER_GONE = "member_gone"
    PEER_UP = "peer_up"
    PEER_DOWN = "peer_down"
    PROCESS_PAUSED = "process_paused"
    PROBATION_STARTED = "probation_started"


@dataclass(slots=True, kw_only=True, frozen=True)
class Event:
    """An event; `clock` is its hybrid logical timestamp."""

    clock: int
    instance: str
    name: str
    request: str = ""
    kind: str = ""
    detail: str = ""


class Timeline:
    """The latest events of one process, in a ring buffer."""

    __slots__ = ("_clock", "_events", "_instance")

    def __init__(self, *, instance: str, clock: HybridClock) -> None:
        self._instance = instance
        self._clock = clock
        self._events: deque[Event] = deque(maxlen=MAX_EVENTS)

    def record(
        self,
        name: EventName,
        *,
        now_ms: int,
        request: str = "",
        kind: str = "",
        detail: str = "",
    ) -> None:
        """Append an event; the oldest one is dropped if the buffer is full."""
        timestamp = self._clock.tick(now_ms=now_ms)
        self._events.append(
            Event(
                clock=timestamp,
                instance=self._instance,
                name=name.value,
                request=request,
                kind=kind,
                detail=detail,
            )
        )

    def select(
        self, *, since: int = 0, request: str = "", kind: str = ""
    ) -> Iterator[Event]:
        """Yield the buffered events after the timestamp `since` that match.

        The sub-calls of `request` match too; their ids begin with its id and a slash.
        """
        for event in self._events:
            if event.clock <= since or (kind and event.kind != kind):
                continue
            if not request or (event.request + "/").startswith(request + "/"):
                yield event


def merge_events(streams: Iterable[Iterable[Event]]) -> Iterator[Event]:
    """Merge the events of several processes, each in order, into causal order."""
    return heapq.merge(*streams, key=lambda event: (event.clock, event.instance))
