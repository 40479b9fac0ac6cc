"""Limits, queues and displacement at the node beside the target."""

from pimentoscale.admission.controller import Admission, Decision, Freed, Load, Verdict
from pimentoscale.admission.limit_algorithms import (
    LimitAlgorithm,
    Sample,
    make_limit_algorithm,
)
from pimentoscale.admission.root_limiter import RootRequestLimiter
from pimentoscale.admission.shares import Length
from pimentoscale.admission.slots import Slot, SlotWaiters
from pimentoscale.admission.urgency import UrgencyAdmission
from pimentoscale.admission.waiting import Entry

__all__ = [
    "Admission",
    "Decision",
    "Entry",
    "Freed",
    "Length",
    "LimitAlgorithm",
    "Load",
    "RootRequestLimiter",
    "Sample",
    "Slot",
    "SlotWaiters",
    "UrgencyAdmission",
    "Verdict",
    "make_limit_algorithm",
]
