"""Bounds the repeated requests that a node sends.

All nodes together keep to the operators' bound without talking to each other. A repeat
at one service causes repeats of all the calls below it, and each service on the way may
add its own. So a node spends a part of the ratio on its own requests, and of the slack
only the share that one of many nodes may take.
"""

from collections import deque

# A repeat causes repeats of all calls below it, and a chain has some levels, so each
# level that causes calls gets this part of the ratio; three of them and the last one,
# which causes none, keep to the whole.
INNER_SHARE = 0.15
LEAF_SHARE = 0.55
# After so many runs a target is known to call others or to be the end of its trees.
LEAF_RUNS = 200
# Calls for each run up to which it is the end: some requests of callers can't be told
# from calls, such as those on routes that have just been added.
LEAF_CALLS_SHARE = 0.05


def may_call(*, runs: int, calls: int) -> bool:
    """Tell whether a run of a target may call other services."""
    return runs < LEAF_RUNS or calls > LEAF_CALLS_SHARE * runs


class RetryBudget:
    """Counts requests and repeats of one service in a sliding window."""

    __slots__ = ("_ratio", "_repeats", "_requests", "_slack", "_window_s")

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def set_limits(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Take over other bounds; what was counted still counts."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def record_request(self, *, now: float) -> None:
        """Count a request that is sent for the first time."""
        self._requests.append(now)
        self._forget(now)

    def try_retry(self, *, calls_others: bool, now: float) -> bool:
        """Return True and count a repeat if the budget has room for it."""
        self._forget(now)
        share = INNER_SHARE if calls_others else LEAF_SHARE
        allowed = self._ratio * share * len(self._requests) + self._slack
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now)
        return True

    def _forget(self, now: float) -> None:
        limit = now - self._window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < limit:
                times.popleft()
