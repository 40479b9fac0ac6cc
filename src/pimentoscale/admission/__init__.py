"""Admission control at the node beside the target: limits, queues, displacement."""

from pimentoscale.admission.call_queue import Entry
from pimentoscale.admission.controller import (
    Admission,
    Decision,
    Dequeued,
    Load,
    Verdict,
)
from pimentoscale.admission.learned_limit import LearnedLimit
from pimentoscale.admission.limit_algorithms import (
    LimitAlgorithm,
    Sample,
    make_limit_algorithm,
)
from pimentoscale.admission.rate_limit import StatedRateLimit
from pimentoscale.admission.root_limiter import RootRequestLimiter
from pimentoscale.admission.slot_shares import Length
from pimentoscale.admission.slots import Slot, SlotWaiters
from pimentoscale.admission.slowdown import SlowdownSlope, decay_slowdown
from pimentoscale.admission.urgency import UrgencyAdmission

__all__ = [
    "Admission",
    "Decision",
    "Dequeued",
    "Entry",
    "LearnedLimit",
    "Length",
    "LimitAlgorithm",
    "Load",
    "RootRequestLimiter",
    "Sample",
    "Slot",
    "SlotWaiters",
    "SlowdownSlope",
    "StatedRateLimit",
    "UrgencyAdmission",
    "Verdict",
    "decay_slowdown",
    "make_limit_algorithm",
]
