"""The answer of a call, whatever its outcome."""

from dataclasses import dataclass, field

from pimentoscale.call.body import Body
from pimentoscale.errors import ANSWERS, CallError
from pimentoscale.outcome import Outcome

Header = tuple[bytes, bytes]


@dataclass(slots=True, kw_only=True)
class Answer:
    """An upstream's answer, or the error that stands in its place.

    `retries_spent` counts retries used by this call and everything below it.
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
        """Return the answer that the table gives for an error."""
        row = ANSWERS[error.kind]
        return cls(outcome=row.outcome, status=row.status, error=error)
