"""The bound on retries of one request over its whole tree of calls."""

from collections import OrderedDict
from dataclasses import dataclass

KEPT_S = 60.0
MAX_BUDGETS = 20_000


class RetryBudget:
    """Retries that one hop holds; it lends them out and takes back the rest.

    The retries spent anywhere below a hop plus those it has left never exceed
    what it was given, so the whole tree stays within the root's bound with no
    shared state.
    """

    __slots__ = ("_is_closed", "_remaining", "_total")

    def __init__(self, *, retries: int) -> None:
        self._total = max(0, retries)
        self._remaining = self._total
        self._is_closed = False

    @property
    def remaining(self) -> int:
        """Return the retries that can still be spent or allocated."""
        return self._remaining

    @property
    def spent(self) -> int:
        """Return the retries spent here or below, loans not returned included."""
        return self._total - self._remaining

    def spend(self) -> bool:
        """Take one retry; return False if none is left."""
        if self._remaining == 0:
            return False
        self._remaining -= 1
        return True

    def refund(self) -> None:
        """Give back one retry that was spent in advance and not used."""
        if not self._is_closed:
            self._remaining = min(self._total, self._remaining + 1)

    def allocate_all(self) -> int:
        """Lend all that is left, for an attempt that is waited for."""
        allocated = self._remaining
        self._remaining = 0
        return allocated

    def allocate_half(self) -> int:
        """Lend half, rounded up, for a sub-call that may have siblings."""
        allocated = (self._remaining + 1) // 2
        self._remaining -= allocated
        return allocated

    def close(self) -> int:
        """Return what was spent, and let nothing more be spent or allocated."""
        spent = self.spent
        self._is_closed = True
        self._remaining = 0
        return spent

    def reclaim(self, *, allocated: int, spent: int) -> None:
        """Return what a loan left unspent; an implausible report spends it all."""
        if 0 <= spent <= allocated and not self._is_closed:
            self._remaining = min(self._total, self._remaining + allocated - spent)


class RequestBudgets:
    """The budgets of requests that callers have named, one for each.

    A caller that sends a request again draws on the same budget, as long as it
    enters at the same node. Entries are kept for `KEPT_S` after the last use.
    """

    __slots__ = ("_budgets",)

    def __init__(self) -> None:
        self._budgets: OrderedDict[tuple[str, str], _KeptBudget] = OrderedDict()

    def __len__(self) -> int:
        return len(self._budgets)

    def get_or_create(
        self, *, caller: str, request: str, retries: int, now: float
    ) -> RetryBudget:
        """Return the budget of a request, a new one at its first submission."""
        self._forget_old(now)
        key = (caller, request)
        kept = self._budgets.pop(key, None)
        if kept is None:
            kept = _KeptBudget(budget=RetryBudget(retries=retries), used_at=now)
        kept.used_at = now
        self._budgets[key] = kept
        return kept.budget

    def _forget_old(self, now: float) -> None:
        while self._budgets:
            key, kept = next(iter(self._budgets.items()))
            is_old = now - kept.used_at > KEPT_S
            if not is_old and len(self._budgets) < MAX_BUDGETS:
                return
            del self._budgets[key]


@dataclass(slots=True, kw_only=True)
class _KeptBudget:
    budget: RetryBudget
    used_at: float
