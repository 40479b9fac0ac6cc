"""The context of a running call, kept by the node under an opaque token."""

import secrets
from dataclasses import dataclass

from pimentoscale.call.budget import RetryBudget

TOKEN_BYTES = 16


@dataclass(slots=True, kw_only=True)
class CallContext:
    """What a node knows of one call.

    `deadline` is on this process's monotonic clock, in seconds. `depth` is 0 at
    the root. `work_ms` is upstream time already spent on the root before this call.
    """

    request: str
    caller: str
    kind: str
    deadline: float
    budget: RetryBudget
    depth: int
    work_ms: int
    version: int
    sub_calls: int = 0

    def time_left(self, *, now: float) -> float:
        """Return the seconds until the deadline; negative if it has passed."""
        return self.deadline - now

    def derive(
        self, *, kind: str, name: str, deadline: float, work_ms: int
    ) -> "CallContext":
        """Return the context of a sub-call, with retries lent by this one.

        The sub-call's request id is derived from this call's and `name`, or a
        number where it has none, so a sub-call of a call that runs at most once
        has an id that no other run can have.
        """
        self.sub_calls += 1
        return CallContext(
            request=f"{self.request}/{name or self.sub_calls}",
            caller=self.caller,
            kind=kind,
            deadline=min(self.deadline, deadline),
            budget=RetryBudget(retries=self.budget.allocate_half()),
            depth=self.depth + 1,
            work_ms=work_ms,
            version=self.version,
        )


class ContextTable:
    """Contexts of the calls that the node's own upstream is running."""

    __slots__ = ("_contexts",)

    def __init__(self) -> None:
        self._contexts: dict[str, CallContext] = {}

    def __len__(self) -> int:
        return len(self._contexts)

    def add(self, *, context: CallContext) -> str:
        """Keep a context and return its token."""
        token = secrets.token_urlsafe(TOKEN_BYTES)
        self._contexts[token] = context
        return token

    def find(self, *, token: str) -> CallContext | None:
        """Return the context of a running call, if the token names one."""
        return self._contexts.get(token)

    def remove(self, *, token: str) -> None:
        """Forget a call that has ended."""
        self._contexts.pop(token, None)
