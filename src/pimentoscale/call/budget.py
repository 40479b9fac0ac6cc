"""The bound on retries of one request over its whole tree of calls."""


class RetryBudget:
    """Retries that one hop holds; it lends them out and takes back the rest.

    The retries spent anywhere below a hop plus those it has left never exceed
    what it was given, so the whole tree stays within the root's bound with no
    shared state.
    """

    __slots__ = ("_given", "_is_settled", "_left")

    def __init__(self, *, retries: int) -> None:
        self._given = max(0, retries)
        self._left = self._given
        self._is_settled = False

    @property
    def left(self) -> int:
        """Return the retries that can still be spent or lent."""
        return self._left

    @property
    def spent(self) -> int:
        """Return the retries spent here or below, loans not returned included."""
        return self._given - self._left

    def spend(self) -> bool:
        """Take one retry; return False if none is left."""
        if self._left == 0:
            return False
        self._left -= 1
        return True

    def lend_all(self) -> int:
        """Lend all that is left, for an attempt that is waited for."""
        lent = self._left
        self._left = 0
        return lent

    def lend_half(self) -> int:
        """Lend half, rounded up, for a sub-call that may have siblings."""
        lent = (self._left + 1) // 2
        self._left -= lent
        return lent

    def settle(self) -> int:
        """Return what was spent, and let nothing more be spent or lent."""
        spent = self.spent
        self._is_settled = True
        self._left = 0
        return spent

    def take_back(self, *, lent: int, spent: int) -> None:
        """Return what a loan left unspent; an implausible report spends it all."""
        if 0 <= spent <= lent and not self._is_settled:
            self._left = min(self._given, self._left + lent - spent)
