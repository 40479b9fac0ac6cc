"""A budget for hedged requests: second attempts sent before the first is answered."""

MAX_TOKENS = 10.0
INITIAL_TOKENS = 0.0


class HedgeBudget:
    """A token bucket that bounds hedges to a given part of the calls.

    Each call adds a part of a token, up to `MAX_TOKENS`, and each hedge takes one.
    """

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = INITIAL_TOKENS

    def record_call(self, *, hedges_per_call: float) -> None:
        """Add the part of a token that one call earns."""
        self._tokens = min(MAX_TOKENS, self._tokens + hedges_per_call)

    def spend(self) -> bool:
        """Take one token for a hedge; return False if less than one is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
