"""The closed list of outcomes of a call."""

from enum import Enum


class Outcome(Enum):
    """How a call ended; callers may rely on it.

    `ANSWERED`: an upstream answered in full.
    `REFUSED`: neither the call nor any of its sub-calls reached an upstream.
    `FAILED`: the call ran, or may have run in part.
    `UNKNOWN`: it can't be determined whether the call ran; it is not run again.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    UNKNOWN = "unknown"
