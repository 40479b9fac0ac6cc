"""How many requests an organisation may send, and a bucket of tokens for them."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class QuotaBounds:
    """By how much all nodes together may exceed what an organisation is allowed.

    Within any `window_s`, a rate and a burst allow `rate * window_s + burst` requests;
    `overage` is a share of these and `slack` a number of requests beyond them.
    """

    window_s: float = 0.0
    overage: float = 0.0
    slack: float = 0.0

    def get_spare(self, *, rate: float, burst: float) -> float:
        """Return how many requests in a window may exceed the allowed ones."""
        return self.overage * (rate * self.window_s + burst) + self.slack


@dataclass(slots=True, kw_only=True)
class Usage:
    """Requests of one organisation: those that came, and those that were admitted."""

    asked: int = 0
    admitted: int = 0


class TokenBucket:
    """Tokens that are added at a rate up to a depth; may be in debt."""

    __slots__ = ("_depth", "_rate", "_updated_at", "tokens")

    def __init__(self, *, rate: float, depth: float, tokens: float, now: float) -> None:
        self._rate = rate
        self._depth = depth
        self._updated_at = now
        self.tokens = min(tokens, depth)

    @property
    def rate(self) -> float:
        """Return the tokens added in a second."""
        return self._rate

    def set_limit(self, *, rate: float, depth: float, now: float) -> None:
        """Set the rate and the depth from now on."""
        self.refill(now=now)
        self._rate = rate
        self._depth = depth
        self.tokens = min(self.tokens, depth)

    def refill(self, *, now: float) -> None:
        """Add the tokens of the time since the last update."""
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        self.tokens = min(self._depth, self.tokens + self._rate * elapsed_s)

    def try_take(self, *, now: float) -> bool:
        """Take one token if there is one."""
        self.refill(now=now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
