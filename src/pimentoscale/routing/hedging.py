"""The bound on second attempts that are sent before the first is answered."""

MAX_SAVED = 10.0
SAVED_AT_START = 0.0


class HedgeBudget:
    """Each call saves up a part of a hedge, so hedges stay within that part."""

    __slots__ = ("_saved",)

    def __init__(self) -> None:
        self._saved = SAVED_AT_START

    def note_call(self, *, hedges_per_call: float) -> None:
        """Add the hedges that one more call allows."""
        self._saved = min(MAX_SAVED, self._saved + hedges_per_call)

    def spend(self) -> bool:
        """Take one hedge out of what was saved; return False if there is none."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
