"""Limits, queues and displacement at the node beside the target."""

from pimentoscale.admission.controller import Admission, Decision, Freed, Load, Verdict
from pimentoscale.admission.laws import LimitLaw, Sample, make_limit_law
from pimentoscale.admission.shares import Length
from pimentoscale.admission.waiting import Entry

__all__ = [
    "Admission",
    "Decision",
    "Entry",
    "Freed",
    "Length",
    "LimitLaw",
    "Load",
    "Sample",
    "Verdict",
    "make_limit_law",
]
