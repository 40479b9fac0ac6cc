"""The closed list of outcomes of a call."""

from enum import Enum


class Outcome(Enum):
    """How a call ended, as its caller may rely on it.

    `ANSWERED`: an upstream answered in full.
    `REFUSED`: no upstream was reached by the call or by any sub-call.
    `FAILED`: it ran, or may have run in part.
    `UNKNOWN`: whether it ran can't be known; it is not run again.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    UNKNOWN = "unknown"
