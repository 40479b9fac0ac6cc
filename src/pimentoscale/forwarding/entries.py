"""How the node beside a target admits requests: its limit, and their urgency."""

from pimentoscale.admission import (
    Entry,
    Length,
    LimitAlgorithm,
    make_limit_algorithm,
)
from pimentoscale.forwarding.exchange import ForwardRequest

DEFAULT_LIMIT_ALGORITHM = "aimd"
# Added to the importance of targets' calls, so that they take precedence over requests
# of callers of any importance.
INNER_IMPORTANCE = 100_000_000
# An organisation's rank goes before the importance of a route, which is below this.
RANK_IMPORTANCE = 10_000
# Only this node sends to the target, so a target that sheds while it runs fewer
# requests than its slots is not full: it fails part of its work. The limit is never cut
# below this share of the slots.
MIN_LIMIT_SHARE = 0.75
# Targets may slow down when they are nearly full, so one slot in sixteen stays free.
# For targets that don't, this costs one sixteenth of the capacity.
USED_SLOTS_SHARE = 0.94
# For a target that states a rate limit, a caller's request waits for at most this share
# of the time until it is due, and the call of a target until it is due. What would wait
# longer is refused, so that another target may run it in time.
RATE_WAIT_SHARE = 0.5
# A request is due at the latest after this share of the time that its sender waits.
DUE_SHARE = 0.5


def get_usable_slots(slots: int) -> int:
    """Return how many of a target's slots may be in use at once."""
    return max(1, int(slots * USED_SLOTS_SHARE))


def make_target_limit(
    slots: int, *, algorithm: str = DEFAULT_LIMIT_ALGORITHM
) -> LimitAlgorithm:
    """Return the limit of concurrent requests at a target.

    Raises `KeyError` for an unknown algorithm.
    """
    usable = get_usable_slots(slots)
    min_limit = max(1, min(usable, int(slots * MIN_LIMIT_SHARE)))
    return make_limit_algorithm(name=algorithm, slots=usable, min_limit=min_limit)


def make_entry(request: ForwardRequest, *, now: float) -> Entry:
    """Return the entry of a request in the queue of its target."""
    importance = request.importance + RANK_IMPORTANCE * request.organisation_rank
    due = _get_due(request, now=now)
    start_by = now + (due - now) * RATE_WAIT_SHARE
    if request.is_inner:
        importance += INNER_IMPORTANCE
        start_by = due
    return Entry(
        request=request.identity,
        caller=request.organisation,
        kind=request.route,
        importance=importance,
        length=Length.SHORT,
        depth=0,
        work_ms=0,
        deadline=request.deadline,
        due=due,
        start_by=start_by,
    )


def _get_due(request: ForwardRequest, *, now: float) -> float:
    """Return when the request is due: the sooner, the less time its sender has left."""
    remaining_s = max(0.0, request.deadline - now)
    return now + min(request.objective_s, remaining_s * DUE_SHARE)
