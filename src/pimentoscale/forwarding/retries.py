"""Limits the retries that a node sends.

All nodes together must keep to the operators' limit without exchanging messages. A
retry at one service causes retries of all the calls below it, and each service on the
path may add its own. So a node spends only a share of the configured ratio on its own
requests, and only the share of the slack that one of many nodes may use.
"""

from collections import deque

# A retry causes retries of all calls below it, and a call tree has several levels, so
# each level that calls others gets this share of the ratio. Three of them and the leaf
# level, which calls nobody, stay within the whole ratio.
INNER_SHARE = 0.15
LEAF_SHARE = 0.55
# Runs from which on it is decided whether a target calls others or is a leaf of the
# call trees.
LEAF_RUNS = 200
# Calls per run up to which a target counts as a leaf. Some requests of callers can't be
# distinguished from calls, such as those on routes that have just been added.
LEAF_CALLS_SHARE = 0.05


def may_call(*, runs: int, calls: int) -> bool:
    """Return whether a run of a target may call other services."""
    return runs < LEAF_RUNS or calls > LEAF_CALLS_SHARE * runs


class RetryBudget:
    """Counts requests and retries of one service in a sliding window."""

    __slots__ = ("_ratio", "_requests", "_retries", "_slack", "_window_s")

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def set_limits(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Replace the limits; requests and retries counted before still count."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def record_request(self, *, now: float) -> None:
        """Count a request that is sent for the first time."""
        self._requests.append(now)
        self._remove_expired(now)

    def try_retry(self, *, calls_others: bool, now: float) -> bool:
        """Count a retry and return True if the budget allows it."""
        self._remove_expired(now)
        share = INNER_SHARE if calls_others else LEAF_SHARE
        allowed = self._ratio * share * len(self._requests) + self._slack
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def _remove_expired(self, now: float) -> None:
        window_start = now - self._window_s
        for times in (self._requests, self._retries):
            while times and times[0] < window_start:
                times.popleft()
