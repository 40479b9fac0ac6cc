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
INNER_SHARE = 0.1
LEAF_SHARE = 0.7
# Runs from which on it is decided whether a target calls others or is a leaf of the
# call trees.
LEAF_RUNS = 200
# Calls per run up to which a target counts as a leaf. Some requests of callers can't be
# distinguished from calls, such as those on routes that have just been added.
LEAF_CALLS_SHARE = 0.05
# Requests are counted in this many periods for each window.
PERIODS_PER_WINDOW = 20
# The largest share of the slack that one node may use. In a fleet of many nodes each
# one may use its part, so that all together keep to the slack.
MAX_SLACK_SHARE = 0.04


def get_slack_share(*, nodes: int) -> float:
    """Return the share of the slack that one of all nodes may use."""
    return min(MAX_SLACK_SHARE, 1 / max(1, nodes))


def may_call(*, runs: int, calls: int) -> bool:
    """Return whether a run of a target may call other services."""
    return runs < LEAF_RUNS or calls > LEAF_CALLS_SHARE * runs


class RetryBudget:
    """Counts requests and retries of one service in sliding windows.

    The requests that allow retries are those of the last window, the one before it or
    the one between them, whichever has most. So retries are still allowed while fewer
    requests are let in because most attempts fail.
    """

    __slots__ = ("_ratio", "_requests", "_retries", "_slack", "_window_s")

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        # Requests by the number of their period, a share of the window.
        self._requests: deque[tuple[int, int]] = deque()
        self._retries: deque[float] = deque()

    def set_limits(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Replace the limits; requests and retries counted before still count."""
        if window_s != self._window_s:
            # Periods have another length now.
            self._requests.clear()
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def record_request(self, *, now: float) -> None:
        """Count a request that is sent for the first time."""
        period = self._get_period(now)
        if self._requests and self._requests[-1][0] == period:
            self._requests[-1] = (period, self._requests[-1][1] + 1)
        else:
            self._requests.append((period, 1))
            self._remove_expired(now)

    def try_retry(self, *, calls_others: bool, now: float) -> bool:
        """Count a retry and return True if the budget allows it."""
        self._remove_expired(now)
        share = INNER_SHARE if calls_others else LEAF_SHARE
        allowed = self._ratio * share * self._count_requests(now) + self._slack
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def _count_requests(self, now: float) -> int:
        """Return the requests of the window that has most."""
        newest = self._get_period(now)
        half = PERIODS_PER_WINDOW // 2
        counts = [0, 0, 0]
        for period, count in self._requests:
            age = newest - period
            for index in range(3):
                if index * half <= age < index * half + PERIODS_PER_WINDOW:
                    counts[index] += count
        return max(counts)

    def _get_period(self, now: float) -> int:
        return int(now * PERIODS_PER_WINDOW / self._window_s)

    def _remove_expired(self, now: float) -> None:
        oldest = self._get_period(now) - 2 * PERIODS_PER_WINDOW
        while self._requests and self._requests[0][0] < oldest:
            self._requests.popleft()
        window_start = now - self._window_s
        while self._retries and self._retries[0] < window_start:
            self._retries.popleft()
