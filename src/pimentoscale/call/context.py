"""Contexts of running calls, stored by the node under opaque tokens."""

import secrets
from dataclasses import dataclass

from pimentoscale.call.budget import RetryBudget

TOKEN_BYTES = 16


@dataclass(slots=True, kw_only=True)
class CallContext:
    """The metadata of one call.

    `deadline` is on this process's monotonic clock, in seconds. `depth` is 0 for a
    root call. `work_ms` is the upstream time in milliseconds that was spent on the
    root call before this call. `may_have_run` is set once this node hands the call
    over, so that it must not be called refused any more.
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
    may_have_run: bool = False

    def time_left(self, *, now: float) -> float:
        """Return the seconds until the deadline; negative if it has passed."""
        return self.deadline - now

    def derive(
        self, *, kind: str, name: str, deadline: float, work_ms: int
    ) -> "CallContext":
        """Return the context of a sub-call, with half of this call's remaining retries.

        The sub-call's request id consists of this call's id and `name`, or a
        sequence number if `name` is empty. A sub-call of a call that runs at most
        once therefore has an id that no other run can have.
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
    """The contexts of the calls that run on the node's own upstream."""

    __slots__ = ("_contexts",)

    def __init__(self) -> None:
        self._contexts: dict[str, CallContext] = {}

    def __len__(self) -> int:
        return len(self._contexts)

    def add(self, *, context: CallContext) -> str:
        """Store a context and return its token."""
        token = secrets.token_urlsafe(TOKEN_BYTES)
        self._contexts[token] = context
        return token

    def find(self, *, token: str) -> CallContext | None:
        """Return the context stored under a token; None if there is none."""
        return self._contexts.get(token)

    def remove(self, *, token: str) -> None:
        """Remove the context of a call that has ended."""
        self._contexts.pop(token, None)
