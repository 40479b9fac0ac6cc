"""The rule by which a stopping node takes requests, answers them and ends.

It is the same on both interfaces, and for each node of a request: the one that took it
from a caller or an upstream, and the one beside the target that got it from that node.

- A request is taken only if it is expected to end before the answers are due, and its
  target gets no more time than that, so that the target itself answers.
- A request that was taken ends by its answer, its sender, its deadline or the loss of
  the other node, or once the answers are due. A change of members does not end it.
- The node ends once it owes no answer, or at the end of its grace period.
"""

import math

# Part of the grace period at whose start the requests still in progress get their last
# answers, and the most that it takes.
LAST_ANSWERS_SHARE = 1 / 12
MAX_LAST_ANSWERS_S = 0.55
# Part of that time in which the last answers are sent; the rest is left for closing.
SENDING_SHARE = 0.2
# The answer of a target has to come this long before the answers are due.
REPLY_S = 0.15


class Shutdown:
    """The times of a node's stop, on the event loop's clock; infinite until it begins.

    While `is_closed` is set no request is taken, since the node ends next.
    """

    __slots__ = ("_grace_s", "_started", "is_closed")

    def __init__(self) -> None:
        self._started = math.inf
        self._grace_s = 0.0
        self.is_closed = False

    @property
    def has_begun(self) -> bool:
        """Return whether the node is stopping."""
        return self._started < math.inf

    def begin(self, *, grace_s: float, now: float) -> None:
        """Begin the stop of a node that is killed after `grace_s`."""
        self._started = now
        self._grace_s = grace_s

    def set_grace(self, grace_s: float) -> None:
        """Change the grace period, as by a reload of the settings."""
        self._grace_s = grace_s

    @property
    def answers_due_at(self) -> float:
        """Return when the requests in progress get their last answers."""
        return self._started + self._grace_s - self._last_answers_s

    @property
    def ends_at(self) -> float:
        """Return when the node ends though it still owes answers."""
        return self.answers_due_at + SENDING_SHARE * self._last_answers_s

    @property
    def _last_answers_s(self) -> float:
        return min(MAX_LAST_ANSWERS_S, LAST_ANSWERS_SHARE * self._grace_s)

    def get_elapsed_s(self, *, now: float) -> float:
        """Return how long ago the stop began; 0 before it."""
        return max(0.0, now - self._started)

    def may_take(self, *, expected_s: float, now: float) -> bool:
        """Return whether a request that comes now and takes so long ends in time."""
        return not self.is_closed and now + expected_s < self.targets_due_at

    @property
    def targets_due_at(self) -> float:
        """Return by when targets have to answer, so that the answers are passed on.

        From then on nothing is handed over to a target.
        """
        return self.answers_due_at - REPLY_S

    def limit_deadline(self, deadline: float) -> float:
        """Return the deadline to pass on with a request."""
        if not self.has_begun:
            return deadline
        return min(deadline, self.targets_due_at)

    def may_end(self, *, owed: int, now: float, earliest_s: float) -> bool:
        """Return whether the node may end.

        `owed` is how many answers it owes, counting those that are not sent whole.
        `earliest_s` is how long after the begin new requests still have to be expected.
        """
        if now >= self.ends_at:
            return True
        return owed == 0 and now >= self._started + earliest_s
