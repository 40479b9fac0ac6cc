"""Events of all processes in causal order."""

from pimentoscale.timeline.clock import HybridClock
from pimentoscale.timeline.events import Event, EventName, Timeline, merge_events

__all__ = ["Event", "EventName", "HybridClock", "Timeline", "merge_events"]
