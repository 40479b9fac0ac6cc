"""Unit tests of decisions about forwarded requests; the time is an argument."""

import random
from dataclasses import replace as replace_member
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from pimentoscale.admission import (
    Entry,
    Length,
    Load,
    RootRequestLimiter,
    UrgencyAdmission,
    Verdict,
    make_limit_algorithm,
)
from pimentoscale.errors import ErrorKind
from pimentoscale.forwarding import placement as placement_module
from pimentoscale.forwarding.entries import get_usable_slots
from pimentoscale.forwarding.exchange import (
    Attempt,
    AttemptOutcome,
    StatedCondition,
)
from pimentoscale.forwarding.frames import make_forward_reply, read_forward_reply
from pimentoscale.forwarding.origins import (
    INNER_MIN_REQUESTS,
    MIN_IDLE_S,
    STARTUP_S,
    OriginTracker,
)
from pimentoscale.forwarding.placement import (
    ANY_ZONE,
    EJECTION_MIN_S,
    NodeView,
    Placement,
    PlacementRequest,
)
from pimentoscale.forwarding.retries import (
    INNER_SHARE,
    LEAF_SHARE,
    MAX_SLACK_SHARE,
    RetryBudget,
    get_slack_share,
    may_call,
)
from pimentoscale.forwarding.views import NodeViews
from pimentoscale.membership import Member, MemberState
from pimentoscale.membership.upstream import (
    MAX_DELAY_S,
    ApplyResult,
    UpstreamAnnouncement,
    UpstreamRegistration,
)
from pimentoscale.routes import ServiceShare, WeightedRoundRobin
from pimentoscale.settings import Address
from tests.placement_model import play

ADDRESS = Address(host="10.0.0.1", port=80)
INNER_IMPORTANCE = 10_000


def make_entry(
    *, due: float, deadline: float, importance: int = 1, kind: str = "k"
) -> Entry:
    return Entry(
        request="",
        caller="",
        kind=kind,
        importance=importance,
        length=Length.SHORT,
        depth=0,
        work_ms=0,
        deadline=deadline,
        due=due,
    )


def make_admission(slots: int) -> UrgencyAdmission:
    return UrgencyAdmission(
        algorithm=make_limit_algorithm(name="fixed", slots=slots, min_limit=1)
    )


def train(admission: UrgencyAdmission, *, kind: str, run_s: float) -> None:
    """Run enough requests for the admission to estimate the run time of a kind."""
    for _ in range(100):
        entry = make_entry(due=1e9, deadline=1e9, kind=kind)
        assert admission.offer(entry, now=0.0).verdict is Verdict.START
        admission.release(entry, is_overload=False, now=run_s)


def make_announcement(
    *,
    identity: str = "i-1",
    started_ms: int = 100,
    sequence: int = 1,
    is_draining: bool = False,
    address: Address = ADDRESS,
) -> UpstreamAnnouncement:
    return UpstreamAnnouncement(
        identity=identity,
        service="s",
        address=address,
        zone="z",
        slots=4,
        is_draining=is_draining,
        warm_up_s=0.0,
        started_ms=started_ms,
        sequence=sequence,
    )


def make_view(
    name: str, *, zone: str = "a", slots: int = 10, is_own: bool = False
) -> NodeView:
    member = Member(
        instance=name,
        incarnation=1,
        sequence=0,
        state=MemberState.ALIVE,
        zone=zone,
        service="s",
        slots=slots,
        http=ADDRESS,
        stream=ADDRESS,
    )
    return NodeView(member=member, is_own=is_own)


def make_placement() -> tuple[Placement, PlacementRequest]:
    request = PlacementRequest(route="r", zone="a", objective_s=1.0)
    return Placement(rng=random.Random(1)), request


def test_waiting_requests_start_in_the_order_in_which_they_are_due() -> None:
    admission = make_admission(1)
    running = make_entry(due=5.0, deadline=9.0)
    admission.offer(running, now=0.0)
    late = make_entry(due=3.0, deadline=9.0, importance=INNER_IMPORTANCE)
    soon = make_entry(due=1.0, deadline=9.0)
    for entry in (late, soon):
        assert admission.offer(entry, now=0.0).verdict is Verdict.WAIT
    dequeued = admission.release(running, is_overload=False, now=0.1)
    assert dequeued.started == [soon]


def test_call_of_a_target_displaces_a_caller_that_is_due_before_it() -> None:
    admission = make_admission(1)
    train(admission, kind="k", run_s=0.1)
    running = make_entry(due=1.0, deadline=9.0)
    admission.offer(running, now=1.0)
    callers = [make_entry(due=1.1, deadline=9.0) for _ in range(5)]
    for entry in callers:
        admission.offer(entry, now=1.0)
    inner = make_entry(due=1.3, deadline=1.45, importance=INNER_IMPORTANCE)
    decision = admission.offer(inner, now=1.0)
    assert decision.verdict is Verdict.WAIT
    assert {item.error.kind for item in decision.displaced} == {ErrorKind.DISPLACED}
    assert all(item.entry in callers for item in decision.displaced)


def test_caller_never_displaces_the_call_of_a_target() -> None:
    admission = make_admission(1)
    train(admission, kind="k", run_s=0.1)
    admission.offer(make_entry(due=1.0, deadline=9.0), now=1.0)
    for _ in range(5):
        inner = make_entry(due=1.1, deadline=9.0, importance=INNER_IMPORTANCE)
        admission.offer(inner, now=1.0)
    caller = make_entry(due=1.3, deadline=1.4, importance=999)
    decision = admission.offer(caller, now=1.0)
    assert decision.verdict is Verdict.REFUSE
    assert decision.displaced == []


@given(
    st.lists(
        st.tuples(
            st.floats(0, 1), st.floats(0.05, 2), st.integers(0, 3), st.booleans()
        ),
        max_size=60,
    )
)
def test_every_request_is_either_started_refused_or_waiting(
    arrivals: list[tuple[float, float, int, bool]],
) -> None:
    admission = make_admission(2)
    running: list[Entry] = []
    not_run = 0
    now = 0.0
    for gap_s, remaining_s, importance, ends in arrivals:
        now += gap_s / 10
        entry = make_entry(
            due=now + remaining_s / 2, deadline=now + remaining_s, importance=importance
        )
        decision = admission.offer(entry, now=now)
        not_run += len(decision.displaced) + (decision.verdict is Verdict.REFUSE)
        if decision.verdict is Verdict.START:
            running.append(entry)
        if ends and running:
            dequeued = admission.release(running.pop(0), is_overload=False, now=now)
            running.extend(dequeued.started)
            not_run += len(dequeued.expired)
        assert len(running) == admission.running <= 2
    ended = len(arrivals) - not_run - admission.running - admission.queued
    assert ended >= 0


def test_limit_is_cut_while_answers_are_late_and_raised_again() -> None:
    limits = RootRequestLimiter(capacity=100)
    now = 0.0
    for _ in range(400):
        limits.try_start("r")
        now += 0.02
        limits.observe(
            "r", elapsed_s=2.0, objective_s=1.0, failed=False, rank=0.0, now=now
        )
    cut = limits.get_limit("r")
    assert cut is not None
    assert cut < 200
    for _ in range(2000):
        now += 0.02
        limits.observe(
            "r", elapsed_s=0.1, objective_s=1.0, failed=False, rank=0.0, now=now
        )
    grown = limits.get_limit("r")
    assert grown is not None
    assert grown > cut


def test_less_important_route_is_cut_first_also_at_another_target() -> None:
    low, high = RootRequestLimiter(capacity=100), RootRequestLimiter(capacity=100)
    rng = random.Random(1)
    now = 0.0
    for _ in range(400):
        now += 0.02
        # A service that both call fails two in five requests.
        failed = rng.random() < 0.4
        for limits, rank in ((low, 0.0), (high, 1.0)):
            limits.try_start("r")
            limits.observe(
                "r",
                elapsed_s=0.1,
                objective_s=1.0,
                failed=failed,
                rank=rank,
                now=now,
            )
    cut, kept = low.get_limit("r"), high.get_limit("r")
    assert cut is not None and kept is not None
    assert cut < kept == 200


def record_request(
    origins: OriginTracker, *, connection: int, route: str, idle_s: float = 0.0
) -> None:
    origins.record_request(
        connection=connection, route=route, target_idle_s=idle_s, now=STARTUP_S + 1
    )


def test_route_that_always_fails_makes_no_other_route_yield() -> None:
    limiter = RootRequestLimiter(capacity=100)

    def answer(*, failed: bool, now: float) -> int | None:
        limiter.try_start("r")
        limiter.observe(
            "r",
            elapsed_s=0.4,
            objective_s=1.0,
            failed=failed,
            rank=1.0,
            importance=7,
            now=now,
        )
        limiter.end("r")
        return limiter.get_degraded_importance(now=now)

    seen = [answer(failed=index % 5 < 3, now=index / 10) for index in range(400)]
    # While nothing usual is known, the route may count as degraded.
    assert set(seen[60:]) == {None}
    # Once it has served well, failures are a sign again.
    for index in range(400, 2400):
        answer(failed=False, now=index / 10)
    seen = [answer(failed=index % 5 < 3, now=index / 10) for index in range(2400, 2450)]
    assert seen[-1] == 7


def test_route_that_only_targets_call_is_identified_as_inner() -> None:
    origins = OriginTracker(now=0.0)
    record_request(origins, connection=1, route="root", idle_s=2 * MIN_IDLE_S)
    for _ in range(INNER_MIN_REQUESTS):
        record_request(origins, connection=3, route="inner")
        record_request(origins, connection=1, route="other")
        record_request(origins, connection=2, route="root")
    names = ("root", "other", "inner")
    assert [origins.is_inner(name) for name in names] == [False, False, True]
    assert origins.list_caller_routes() == ["other", "root"]


def test_node_that_is_never_idle_learns_from_others_which_routes_callers_use() -> None:
    origins = OriginTracker(now=0.0)
    for _ in range(2 * INNER_MIN_REQUESTS):
        record_request(origins, connection=1, route="root")
    assert origins.is_inner("root")
    origins.add_caller_routes(["root"])
    assert not origins.is_inner("root")


def test_idle_target_identifies_no_caller_route_during_startup() -> None:
    origins = OriginTracker(now=0.0)
    origins.record_request(
        connection=1, route="r", target_idle_s=2 * MIN_IDLE_S, now=STARTUP_S / 2
    )
    assert not origins.is_caller_route("r")


def test_caller_with_less_time_left_was_refused_before() -> None:
    origins = OriginTracker(now=0.0)
    assert not origins.was_refused("r", remaining_s=5.0)
    assert origins.was_refused("r", remaining_s=4.2)
    assert not origins.was_refused("r", remaining_s=4.99)


def test_limit_is_higher_for_a_caller_that_was_refused_before() -> None:
    limits = RootRequestLimiter(capacity=4)
    while limits.try_start("r"):
        pass
    assert limits.try_start("r", was_refused=True)
    assert not limits.try_start("r")


def test_node_that_refused_is_excluded_for_callers_but_not_for_inner_requests() -> None:
    placement, request = make_placement()
    view = make_view("full")
    view.record_refusal(route="r", now=1.0)
    assert placement.choose([view], request, attempted=(), now=1.01) is None
    inner = replace(request, is_inner=True)
    assert placement.choose([view], inner, attempted=(), now=1.01) is view
    other = replace(request, route="other")
    assert placement.choose([view], other, attempted=(), now=1.01) is view
    assert placement.choose([view], request, attempted=(), now=2.0) is view


def test_own_zone_is_preferred_while_it_is_fast_enough() -> None:
    placement, request = make_placement()
    near, far = make_view("near"), make_view("far", zone="b")
    near.update_load(Load(in_flight=12, limit=10, queue_ms=50, admitted=0), now=1.0)
    assert placement.choose([near, far], request, attempted=(), now=1.0) is near
    near.update_load(Load(in_flight=90, limit=10, queue_ms=900, admitted=0), now=1.0)
    assert placement.choose([near, far], request, attempted=(), now=1.0) is far


def test_request_that_was_refused_prefers_no_zone() -> None:
    placement, request = make_placement()
    near, far = make_view("near"), make_view("far", zone="b")
    near.update_load(Load(in_flight=12, limit=10, queue_ms=50, admitted=0), now=1.0)
    assert placement.choose([near, far], request, attempted=(), now=1.0) is near
    anywhere = replace(request, zone=ANY_ZONE)
    assert placement.choose([near, far], anywhere, attempted=(), now=1.0) is far


def test_request_with_many_bytes_stays_in_its_zone_for_longer() -> None:
    placement, request = make_placement()
    near, far = make_view("near"), make_view("far", zone="b")
    near.update_load(Load(in_flight=30, limit=10, queue_ms=700, admitted=0), now=1.0)
    placement.averages.record(route="r", run_ms=20.0, size=400)
    assert placement.choose([near, far], request, attempted=(), now=1.0) is far
    for _ in range(100):
        placement.averages.record(route="r", run_ms=20.0, size=9000)
    assert placement.choose([near, far], request, attempted=(), now=1.0) is near


def test_slow_target_is_avoided_and_used_again_later() -> None:
    placement, request = make_placement()
    slow, quick = make_view("slow"), make_view("quick")
    for view, run_ms in ((slow, 500.0), (quick, 20.0)):
        for _ in range(20):
            view.record_run(route="r", run_ms=run_ms, now=1.0)
            placement.averages.record(route="r", run_ms=20.0)
    assert placement.choose([slow, quick], request, attempted=(), now=1.0) is quick
    chosen = {
        placement.choose([slow, quick], request, attempted=(), now=60.0).member.instance  # type: ignore[union-attr]
        for _ in range(50)
    }
    assert chosen == {"slow", "quick"}


def test_ejected_and_attempted_nodes_are_not_chosen() -> None:
    placement, request = make_placement()
    lost, tried, last = make_view("lost"), make_view("tried"), make_view("last")
    lost.eject(now=1.0)
    views = [lost, tried, last]
    assert placement.choose(views, request, attempted={"tried"}, now=1.0) is last
    assert placement.choose([lost], request, attempted=(), now=1.0) is None
    assert placement.choose([lost], request, attempted=(), now=9.0) is lost


def test_target_that_sheds_is_used_only_where_there_is_no_other() -> None:
    placement, request = make_placement()
    shedding, far = make_view("shedding"), make_view("far", zone="b")
    shedding.record_shed(now=1.0)
    assert placement.choose([shedding, far], request, attempted=(), now=1.0) is far
    far.record_shed(now=1.0)
    assert placement.choose([shedding, far], request, attempted=(), now=1.0) is shedding
    later = 1.0 + EJECTION_MIN_S
    assert (
        placement.choose([shedding, far], request, attempted=(), now=later) is shedding
    )


def test_comparing_a_few_targets_serves_callers_sooner_than_comparing_all(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    load: dict[str, Any] = {
        "targets": 24,
        "entries": 40,
        "speeds": (0.7, 0.7, 1.6),
        "usage": 0.7,
        "length_s": 20.0,
    }
    few = [play(seed=seed, tells=False, **load) for seed in range(3)]
    monkeypatch.setattr(placement_module, "SAMPLE_SIZE", 1000)
    all_ = [play(seed=seed, tells=False, **load) for seed in range(3)]
    assert sum(item.get_mean() for item in few) < sum(item.get_mean() for item in all_)
    assert sum(item.get_quantile(0.99) for item in few) < sum(
        item.get_quantile(0.99) for item in all_
    )


def test_choice_considers_a_bounded_number_of_targets() -> None:
    placement, request = make_placement()
    views = [make_view(f"n{index}", zone="ab"[index % 2]) for index in range(400)]
    drawn = list(placement._draw(views, request, attempted=(), now=1.0))
    assert len(drawn) == 2 * placement_module.SAMPLE_SIZE
    assert len({view.member.zone for view in drawn}) == 2


def test_draining_node_is_used_only_where_there_is_no_other() -> None:
    placement, request = make_placement()
    stopping, far = make_view("stopping"), make_view("far", zone="b")
    stopping.is_draining = True
    assert placement.choose([stopping, far], request, attempted=(), now=1.0) is far
    assert placement.choose([stopping], request, attempted=(), now=1.0) is stopping


@given(st.integers(1, 500), st.integers(1, 2000), st.booleans())
def test_retries_stay_within_their_share_of_the_ratio(
    requests: int, attempts: int, calls_others: bool
) -> None:
    budget = RetryBudget(ratio=0.2, slack=2.0, window_s=10.0)
    for index in range(requests):
        budget.record_request(now=index * 0.001)
    allowed = sum(
        budget.try_retry(calls_others=calls_others, now=1.0) for _ in range(attempts)
    )
    share = INNER_SHARE if calls_others else LEAF_SHARE
    assert allowed <= 0.2 * share * requests + 2.0


@pytest.mark.parametrize(
    ("runs", "calls", "expected"),
    [
        (0, 0, True),
        (199, 0, True),
        (1000, 0, False),
        (1000, 30, False),
        (1000, 200, True),
    ],
)
def test_few_unattributed_requests_leave_a_target_a_leaf(
    runs: int, calls: int, expected: bool
) -> None:
    assert may_call(runs=runs, calls=calls) is expected


def test_requests_on_caller_routes_do_not_count_as_calls() -> None:
    origins = OriginTracker(now=0.0)
    for route, connection in (("probe", 1), ("ledger", 2), ("ledger", 2), ("view", 3)):
        origins.record_request(
            connection=connection, route=route, target_idle_s=0.0, now=9.0
        )
    origins.add_caller_routes(["view"])
    assert origins.count_inner() == 3


def test_requests_of_a_route_identified_late_no_longer_count_as_calls() -> None:
    origins = OriginTracker(now=0.0)
    for route in ("ledger", "view", "view"):
        origins.record_request(connection=1, route=route, target_idle_s=0.0, now=9.0)
    origins.record_request(connection=2, route="view", target_idle_s=1.0, now=9.0)
    for _ in range(2):
        origins.add_caller_routes(["view", "other"])
    assert origins.count_inner() == 1
    assert origins.count_caller_routes() == 2


def test_budget_is_renewed_as_the_window_slides() -> None:
    budget = RetryBudget(ratio=0.2, slack=1.0, window_s=10.0)
    times = (0.0, 5.0, 10.5)
    allowed = [budget.try_retry(calls_others=True, now=now) for now in times]
    assert allowed == [True, False, True]


def test_retries_are_still_allowed_when_most_requests_are_refused() -> None:
    budget = RetryBudget(ratio=0.2, slack=0.0, window_s=10.0)
    for index in range(1000):
        budget.record_request(now=index * 0.01)
    # The last request came 10 s ago; the window before this one allows the retries.
    allowed = sum(budget.try_retry(calls_others=False, now=19.9) for _ in range(500))
    assert 0.9 * 0.2 * LEAF_SHARE * 1000 < allowed <= 0.2 * LEAF_SHARE * 1000
    assert not budget.try_retry(calls_others=False, now=35.0)


@pytest.mark.parametrize("nodes", [1, 13, 83, 194, 18_000])
def test_all_nodes_together_stay_within_the_slack(nodes: int) -> None:
    share = get_slack_share(nodes=nodes)
    assert 0 < share <= MAX_SLACK_SHARE
    assert share * nodes <= 1.0 or (share == MAX_SLACK_SHARE and nodes < 26)


def test_all_levels_of_a_tree_together_stay_within_the_ratio() -> None:
    assert 3 * INNER_SHARE + LEAF_SHARE <= 1.0


@pytest.mark.parametrize(
    ("slots", "usable"),
    [(0, 1), (1, 1), (2, 1), (4, 3), (15, 14), (40, 37), (180, 169)],
)
def test_target_of_several_slots_is_never_filled_to_the_last_one(
    slots: int, usable: int
) -> None:
    assert get_usable_slots(slots) == usable


def test_announcement_of_a_later_start_takes_precedence() -> None:
    registration = UpstreamRegistration(address=ADDRESS)
    new = make_announcement(identity="i-2", started_ms=200)
    old = make_announcement(sequence=99)
    assert registration.apply(new, now=0.0) is ApplyResult.CHANGED
    assert registration.apply(old, now=0.0) is ApplyResult.STALE
    assert registration.current == new


def test_draining_upstream_accepts_work_again_only_after_a_restart() -> None:
    registration = UpstreamRegistration(address=ADDRESS)
    registration.apply(make_announcement(), now=0.0)
    registration.apply(make_announcement(sequence=2, is_draining=True), now=0.0)
    registration.apply(make_announcement(sequence=3), now=0.0)
    assert not registration.accepts_work
    registration.apply(make_announcement(started_ms=300), now=0.0)
    assert registration.accepts_work


def test_late_announcement_of_an_ended_upstream_is_stale() -> None:
    registration = UpstreamRegistration(address=ADDRESS)
    registration.apply(make_announcement(), now=0.0)
    assert registration.deregister(identity="i-1", now=0.0)
    late = make_announcement(sequence=2)
    assert registration.apply(late, now=0.0) is ApplyResult.STALE
    assert not registration.accepts_work


def test_ended_upstream_of_unknown_start_is_not_registered_by_a_late_announcement() -> (
    None
):
    registration = UpstreamRegistration(address=ADDRESS)
    # This node has restarted and has not heard of the upstream yet.
    assert not registration.deregister(identity="i-1", now=10.0)
    late = make_announcement(sequence=7)
    assert registration.apply(late, now=11.0) is ApplyResult.STALE
    again = make_announcement(sequence=1, started_ms=900)
    assert registration.apply(again, now=10.0 + MAX_DELAY_S) is ApplyResult.CHANGED


def test_announcements_up_to_a_published_end_are_stale() -> None:
    registration = UpstreamRegistration(address=ADDRESS)
    old = make_announcement(sequence=4)
    assert registration.apply(old, now=0.0) is ApplyResult.CHANGED
    assert registration.set_floor(make_announcement(sequence=9).serial)
    assert registration.current is None
    assert registration.apply(old, now=1.0) is ApplyResult.STALE
    new = make_announcement(started_ms=300)
    assert registration.apply(new, now=1.0) is ApplyResult.CHANGED
    assert not registration.set_floor(make_announcement(sequence=9).serial)


def test_upstream_that_states_that_it_leaves_gets_no_work_again_in_that_start() -> None:
    registration = UpstreamRegistration(address=ADDRESS)
    first = make_announcement()
    registration.apply(first, now=0.0)
    assert registration.set_leaving()
    assert not registration.set_leaving()
    registration.apply(make_announcement(sequence=5), now=1.0)
    assert not registration.accepts_work
    # The node restarts; announcements that it has not seen before are stale too.
    restarted = UpstreamRegistration(address=ADDRESS)
    restarted.apply(make_announcement(sequence=8), now=2.0)
    assert restarted.set_floor(registration.changed, left_start=first.start)
    late = make_announcement(sequence=9)
    assert restarted.apply(late, now=3.0) is ApplyResult.STALE
    again = make_announcement(started_ms=900)
    assert restarted.apply(again, now=4.0) is ApplyResult.CHANGED
    assert restarted.accepts_work


def test_what_an_upstream_stated_outlives_its_node_but_not_itself() -> None:
    views = NodeViews(own_instance="own", rng=random.Random(1))
    member = replace_member(make_view("m").member, upstream="i/1")
    views.put(member)
    view = views.find("m")
    assert view is not None
    limited = StatedCondition(upstream="i/1", rate_limit=5.0)
    views.record_stated(view, limited, has_answered=True)
    # A refusal of the restarted node, which has not heard of the limit, ends nothing.
    views.put(replace_member(member, incarnation=2))
    view = views.find("m")
    assert view is not None
    views.record_stated(view, None, has_answered=False)
    assert view.stated == limited
    views.record_stated(view, None, has_answered=True)
    assert view.stated is None
    leaving = StatedCondition(upstream="i/1", is_leaving=True)
    views.record_stated(view, leaving, has_answered=True)
    views.put(replace_member(member, incarnation=3))
    assert views.find("m") is None
    views.put(replace_member(member, incarnation=3, upstream="i/2"))
    view = views.find("m")
    assert view is not None
    assert view.stated is None
    # A late answer of the upstream before does not remove the one that took its place.
    views.record_stated(view, leaving, has_answered=True)
    assert views.find("m") is view


@pytest.mark.parametrize(
    "stated",
    [
        None,
        StatedCondition(upstream="i/1", rate_limit=37.2),
        StatedCondition(upstream="i/1", rate_limit=0.0),
        StatedCondition(upstream="i/1", is_leaving=True),
    ],
)
def test_stated_condition_is_the_same_on_both_sides_of_a_stream(
    stated: StatedCondition | None,
) -> None:
    attempt = Attempt(outcome=AttemptOutcome.UNKNOWN, stated=stated)
    assert read_forward_reply(make_forward_reply(1, attempt)).stated == stated


def test_announcement_of_another_address_is_ignored() -> None:
    registration = UpstreamRegistration(address=ADDRESS)
    foreign = make_announcement(address=Address(host="10.0.0.2", port=80))
    assert registration.apply(foreign, now=0.0) is ApplyResult.FOREIGN
    assert registration.current is None


@pytest.mark.parametrize("phase", [0.0, 0.3, 0.99])
@given(
    weights=st.lists(st.integers(1, 100), min_size=1, max_size=5),
    count=st.integers(1, 300),
)
def test_each_service_gets_its_share(
    phase: float, weights: list[int], count: int
) -> None:
    shares = [
        ServiceShare(service=str(index), weight=weight)
        for index, weight in enumerate(weights)
    ]
    counter = WeightedRoundRobin(shares=shares, phase=phase)
    chosen = [counter.choose() for _ in range(count)]
    for share in shares:
        expected = count * share.weight / sum(weights)
        assert abs(chosen.count(share.service) - expected) < 2.0
