"""The answer to a call: an upstream's response or an error."""

from dataclasses import dataclass, field

from pimentoscale.call.body import Body
from pimentoscale.errors import ANSWERS, CallError
from pimentoscale.outcome import Outcome

Header = tuple[bytes, bytes]


@dataclass(slots=True, kw_only=True)
class Answer:
    """An upstream's response, or the error returned instead of one.

    `retries_spent` counts the retries used by this call and all its sub-calls.
    """

    outcome: Outcome
    status: int
    headers: list[Header] = field(default_factory=list)
    body: Body = field(default_factory=lambda: Body.of(b""))
    error: CallError | None = None
    retries_spent: int = 0
    ticket: str = ""

    @classmethod
    def of_error(cls, error: CallError) -> "Answer":
        """Return the answer with the outcome and status of the error's kind."""
        row = ANSWERS[error.kind]
        return cls(outcome=row.outcome, status=row.status, error=error)
