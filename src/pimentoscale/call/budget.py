"""Retry budgets, which bound the retries of a request over its whole call tree."""

from collections import OrderedDict
from dataclasses import dataclass

RETENTION_S = 60.0
MAX_BUDGETS = 20_000


class RetryBudget:
    """The retry budget of one hop, parts of which it allocates to the hops below.

    The retries spent at and below a hop plus those it has remaining never exceed
    its total, so the whole call tree stays within the root's bound without shared
    state.
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
        """Return the retries spent here or below.

        Allocated retries count as spent until they are reclaimed.
        """
        return self._total - self._remaining

    def spend(self) -> bool:
        """Spend one retry; return False if none remains."""
        if self._remaining == 0:
            return False
        self._remaining -= 1
        return True

    def refund(self) -> None:
        """Return one retry that was spent in advance and not used."""
        if not self._is_closed:
            self._remaining = min(self._total, self._remaining + 1)

    def allocate_all(self) -> int:
        """Allocate all remaining retries to an attempt that the hop waits for."""
        allocated = self._remaining
        self._remaining = 0
        return allocated

    def allocate_half(self) -> int:
        """Allocate half the remaining retries, rounded up, to a sub-call.

        The rest is kept for other sub-calls of the same call.
        """
        allocated = (self._remaining + 1) // 2
        self._remaining -= allocated
        return allocated

    def close(self) -> int:
        """Return the retries spent and set the remaining retries to zero.

        Retries reclaimed after this call are discarded.
        """
        spent = self.spent
        self._is_closed = True
        self._remaining = 0
        return spent

    def reclaim(self, *, allocated: int, spent: int) -> None:
        """Add the unspent part of an allocation to the remaining retries.

        If `spent` is negative or exceeds `allocated`, the whole allocation counts as
        spent.
        """
        if 0 <= spent <= allocated and not self._is_closed:
            self._remaining = min(self._total, self._remaining + allocated - spent)


class RequestBudgets:
    """The retry budgets of requests whose callers sent a request id.

    A request that is sent again shares the budget of its first submission, as long
    as it enters at the same node. Entries are evicted `RETENTION_S` after their last
    use; beyond `MAX_BUDGETS`, the least recently used ones are evicted earlier.
    """

    __slots__ = ("_budgets",)

    def __init__(self) -> None:
        self._budgets: OrderedDict[tuple[str, str], _BudgetEntry] = OrderedDict()

    def __len__(self) -> int:
        return len(self._budgets)

    def get_or_create(
        self, *, caller: str, request: str, retries: int, now: float
    ) -> RetryBudget:
        """Return the budget of a request, creating it at the first submission."""
        self._evict_old(now)
        key = (caller, request)
        entry = self._budgets.pop(key, None)
        if entry is None:
            entry = _BudgetEntry(budget=RetryBudget(retries=retries), used_at=now)
        entry.used_at = now
        self._budgets[key] = entry
        return entry.budget

    def _evict_old(self, now: float) -> None:
        while self._budgets:
            key, entry = next(iter(self._budgets.items()))
            is_old = now - entry.used_at > RETENTION_S
            if not is_old and len(self._budgets) < MAX_BUDGETS:
                return
            del self._budgets[key]


@dataclass(slots=True, kw_only=True)
class _BudgetEntry:
    budget: RetryBudget
    used_at: float
