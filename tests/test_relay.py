"""Records relayed between nodes: choice of a source, and nodes with real sockets."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentoscale.forwarding.sources import (
    COLD_WAIT_S,
    GRACE_S,
    SETTLE_S,
    SILENT_S,
    STALE_S,
    STORE_FAILURE_S,
    UNFIT_S,
    SourceSelection,
)
from pimentoscale.http import HttpResponse
from pimentoscale.membership.tree import find_root
from pimentoscale.platform.store import StoreClient
from pimentoscale.store import KeyedRecord, Position, StoreError, TopicReplica
from pimentoscale.stream import Hello, TopicRecords
from pimentoscale.stream.frames import PROTOCOL_VERSION
from tests.replicas import hold
from tests.sidecars import Deployment, make_route, run_one_zone, wait_until

ZONE = [f"n{index}" for index in range(40)]
MEMBERS = "keyed.members"
ROUTES = "keyed.op"
# The users' bound from the store's acknowledgement of a version to its use.
CONFIG_BOUND_S = 2.0


def make_selection(name: str, *, now: float = 0.0) -> SourceSelection:
    selection = SourceSelection(own_instance=name, now=0.0)
    selection.record_loaded(now=now)
    return selection


def list_others(name: str, names: list[str] = ZONE) -> list[str]:
    return [other for other in names if other != name]


def choose_all(names: list[str], *, now: float) -> dict[str, SourceSelection]:
    selections = {name: make_selection(name, now=now) for name in names}
    for name, selection in selections.items():
        others = list_others(name, names)
        selection.choose(others, known=len(others), now=now)
    return selections


@given(names=st.sets(st.sampled_from(ZONE), min_size=1))
def test_two_nodes_read_and_all_others_hear_from_them(names: set[str]) -> None:
    selections = choose_all(sorted(names), now=COLD_WAIT_S)
    readers = {name for name, item in selections.items() if item.choice.reads_store}
    assert len(readers) == min(2, len(names))
    for name in names:
        seen = []
        source: str | None = name
        while source is not None and source not in readers:
            seen.append(source)
            source = selections[source].choice.node
            assert source not in seen
        assert source in readers


def test_no_node_has_many_followers() -> None:
    names = [f"m{index}" for index in range(1036)]
    selections = choose_all(names, now=0.0)
    followers: dict[str, int] = {}
    for selection in selections.values():
        source = selection.choice.node
        if source is not None:
            followers[source] = followers.get(source, 0) + 1
    # The degree of the tree is geometrically distributed about eight.
    assert max(followers.values()) < 80


def test_next_node_reads_once_the_readers_are_lost() -> None:
    name = list_readers(ZONE[:5])[0]
    rest = [other for other in ZONE[:5] if other not in list_readers(ZONE[:5])]
    heir = find_root(rest)
    assert heir is not None
    selection = make_selection(heir)
    others = list_others(heir, ZONE[:5])
    assert not selection.choose(others, known=4, now=0.0).reads_store
    alive = list_others(heir, rest)
    assert selection.choose(alive, known=4, now=SETTLE_S).reads_store
    assert name not in rest


def list_readers(names: list[str]) -> list[str]:
    first = find_root(names)
    second = find_root(name for name in names if name != first)
    assert first is not None and second is not None
    return [first, second]


def test_silent_source_is_replaced_though_its_stream_is_up() -> None:
    follower = next(name for name in ZONE if name not in list_readers(ZONE))
    selection = make_selection(follower)
    source = selection.choose(list_others(follower), known=39, now=0.0).node
    assert source is not None
    now = 0.0
    while now < SILENT_S:
        selection.record_status(source, age_s=0.1, now=0.0)
        now += 0.25
    choice = selection.choose(list_others(follower), known=39, now=now)
    assert choice.node != source
    later = now + UNFIT_S + 0.1
    selection.record_status(str(choice.node), age_s=0.1, now=later)
    assert selection.choose(list_others(follower), known=39, now=later).node == source


def test_source_that_is_cut_from_the_store_is_replaced() -> None:
    follower = next(name for name in ZONE if name not in list_readers(ZONE))
    selection = make_selection(follower)
    others = list_others(follower)
    source = selection.choose(others, known=39, now=0.0).node
    assert source is not None
    now = 0.0
    while selection.choose(others, known=39, now=now).node == source:
        assert now < STALE_S + GRACE_S + 1
        # The node sends its status, but its confirmation only gets older.
        selection.record_status(source, age_s=1.0 + now, now=now)
        now += 0.25
    assert now >= STALE_S - 1.0


def test_source_that_the_store_turns_away_is_replaced_at_once() -> None:
    follower = next(name for name in ZONE if name not in list_readers(ZONE))
    selection = make_selection(follower)
    others = list_others(follower)
    source = selection.choose(others, known=39, now=0.0).node
    assert source is not None
    selection.record_status(source, age_s=None, now=0.3)
    assert selection.choose(others, known=39, now=0.3).node != source


def test_reader_whose_calls_fail_follows_another_node() -> None:
    reader = list_readers(ZONE)[0]
    selection = make_selection(reader)
    others = list_others(reader)
    assert selection.choose(others, known=39, now=1.0).reads_store
    selection.record_store_call(succeeded=False, now=1.0)
    assert selection.choose(others, known=39, now=1.2).reads_store
    selection.record_store_call(succeeded=False, now=1.0 + STORE_FAILURE_S)
    choice = selection.choose(others, known=39, now=1.6)
    assert not choice.reads_store
    assert choice.node is not None
    selection.record_status(choice.node, age_s=0.0, now=5.0)
    assert selection.choose(others, known=39, now=1.6 + UNFIT_S).reads_store


def test_node_that_reaches_nobody_reads_the_store() -> None:
    selection = make_selection("n1")
    assert not selection.choose([], known=3, now=SETTLE_S / 2).reads_store
    assert selection.choose([], known=3, now=SETTLE_S).reads_store


def test_first_nodes_of_a_deployment_wait_for_each_other_but_not_for_ever() -> None:
    selection = make_selection("n1")
    assert not selection.choose([], known=0, now=COLD_WAIT_S / 2).reads_store
    assert selection.choose([], known=0, now=COLD_WAIT_S).reads_store


def make_position(offset: int) -> Position:
    return Position(era=1, offset=offset)


START = make_position(0)


def test_older_record_never_replaces_a_newer_one() -> None:
    replica = TopicReplica(topic=MEMBERS)
    new = KeyedRecord(key=b"a", value=b"gone", position=make_position(7))
    old = KeyedRecord(key=b"a", value=b"alive", position=make_position(3))
    assert hold(replica, [new], source="store") == [new]
    assert hold(replica, [old], source="n2") == []
    assert replica.list_since(START) == [new]


@given(
    offsets=st.lists(
        st.tuples(st.sampled_from([b"a", b"b", b"c"]), st.integers(0, 20)),
        unique_by=lambda item: item[1],
        max_size=20,
    ),
    order=st.randoms(use_true_random=False),
)
def test_replicas_agree_whatever_the_order_in_which_records_come(
    offsets: list[tuple[bytes, int]], order: object
) -> None:
    records = [
        KeyedRecord(key=key, value=b"%d" % offset, position=make_position(offset))
        for key, offset in offsets
    ]
    first, second = TopicReplica(topic="t"), TopicReplica(topic="t")
    hold(first, records, source="store")
    shuffled = list(records)
    order.shuffle(shuffled)  # type: ignore[attr-defined]
    for record in shuffled:
        hold(second, [record], source="peer")
    assert first.list_since(START) == second.list_since(START)


Scenario = Callable[[Deployment], Awaitable[None]]


def run_zone(scenario: Scenario, *, machines: int = 5) -> None:
    """Run a scenario in one zone whose nodes are ready."""

    async def run() -> None:
        async with run_one_zone(machines=machines) as deployment:
            await wait_until(lambda: len(get_readers(deployment)) == 2)
            await scenario(deployment)

    asyncio.run(run())


def get_readers(deployment: Deployment) -> list[str]:
    return [
        name
        for name, machine in deployment.machines.items()
        if machine.sidecar.relay.selection.choice.reads_store
    ]


def count_calls(deployment: Deployment) -> int:
    return sum(
        machine.sidecar._store.calls.total() for machine in deployment.machines.values()
    )


def test_change_of_routes_costs_one_call_for_each_reader() -> None:
    async def scenario(deployment: Deployment) -> None:
        before = count_calls(deployment)
        deployment.configure([make_route("new", "b")], ["b"])
        await deployment.wait_ready()
        # Both readers have read the change; one may have ended a wait meanwhile.
        assert count_calls(deployment) - before <= 4

    run_zone(scenario)


def test_members_and_routes_arrive_after_both_readers_are_lost() -> None:
    async def scenario(deployment: Deployment) -> None:
        for name in get_readers(deployment):
            machine = deployment.machines.pop(name)
            machine.sidecar.close()
            machine.target.close()
        deployment.configure([make_route("new", "b")], ["b"])
        await wait_until(
            lambda: all(
                machine.sidecar.state.version == deployment.version
                for machine in deployment.machines.values()
            )
        )
        started = await deployment.start_machine("late", "b")
        await wait_until(
            lambda: all(
                "late" in machine.sidecar.state.members
                for machine in deployment.machines.values()
            )
        )
        await wait_until(lambda: started.sidecar.state.version == deployment.version)

    run_zone(scenario)


def test_version_arrives_though_the_store_turns_both_readers_away(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(deployment: Deployment) -> None:
        readers = get_readers(deployment)
        stores = [deployment.machines[name].sidecar._store for name in readers]
        call = StoreClient._call

        async def turn_away(
            self: StoreClient, *arguments: Any
        ) -> tuple[HttpResponse, int]:
            if self in stores:
                raise StoreError("503")
            return await call(self, *arguments)

        monkeypatch.setattr(StoreClient, "_call", turn_away)
        # Versions come by the store's records only.
        for machine in deployment.machines.values():
            machine.sidecar.links.on_version = None
        loop = asyncio.get_running_loop()
        await wait_until(
            lambda: any(name not in readers for name in get_readers(deployment))
        )
        deployment.configure([make_route("new", "b")], ["b"])
        started = loop.time()
        await deployment.wait_ready()
        assert loop.time() - started < CONFIG_BOUND_S

    run_zone(scenario)


def test_starting_node_gets_its_state_from_a_node_of_its_zone() -> None:
    async def scenario(deployment: Deployment) -> None:
        machine = await deployment.start_machine("late", "b")
        await wait_until(lambda: machine.sidecar.state.version == deployment.version)
        if not machine.sidecar.relay.selection.choice.reads_store:
            # Only the members are read from the store, once.
            assert machine.sidecar._store.calls["newest"] == 1

    run_zone(scenario)


def test_target_that_ends_without_draining_is_removed_everywhere() -> None:
    async def scenario(deployment: Deployment) -> None:
        machine = deployment.machines["m1"]
        others = [
            item.sidecar for name, item in deployment.machines.items() if name != "m1"
        ]
        assert await machine.target.deregister() == 200
        await wait_until(lambda: all("m1" not in item.state.members for item in others))

    run_zone(scenario, machines=3)


def make_records(
    following: tuple[int, int],
    items: list[tuple[bytes, bytes, int, int]],
    *,
    topic: str = MEMBERS,
) -> TopicRecords:
    era, offset = following
    return TopicRecords(
        topic=topic, next_era=era, next_offset=offset, age_ms=0, items=items
    )


@pytest.mark.parametrize(
    "frame",
    [
        make_records((1, 9), [(b"k", b"v", 1, 1)], topic="other"),
        make_records((1, -5), []),
        make_records((-5, 1), []),
        make_records((1, 99), [(b"", b"v", 1, 1)]),
        make_records((1, 99), [(b"k", b"", 1, -1)]),
        make_records((1, 99), [(b"k", b"", -1, 1)]),
        make_records((1, 3), [(b"k", b"v", 1, 3)]),
        make_records((1, 3), [(b"k", b"v", 2, 1)]),
    ],
)
def test_relayed_records_with_a_fault_are_refused(frame: TopicRecords) -> None:
    async def scenario(deployment: Deployment) -> None:
        relay = deployment.machines["m1"].sidecar.relay
        remote = Hello(
            protocol=PROTOCOL_VERSION, instance="m0", incarnation=1, zone="z1"
        )
        before = relay.replicas[MEMBERS].list_since(START)
        relay.on_topic_records(remote=remote, frame=frame)
        assert relay.replicas[MEMBERS].list_since(START) == before
        assert "other" not in relay.replicas

    run_zone(scenario, machines=2)


def test_records_of_another_zone_are_refused() -> None:
    async def scenario(deployment: Deployment) -> None:
        relay = deployment.machines["m1"].sidecar.relay
        remote = Hello(
            protocol=PROTOCOL_VERSION, instance="x", incarnation=1, zone="z2"
        )
        frame = make_records((1, 99), [(b"k", b"v", 1, 98)])
        relay.on_topic_records(remote=remote, frame=frame)
        assert not [
            item
            for item in relay.replicas[MEMBERS].list_since(START)
            if item.key == b"k"
        ]

    run_zone(scenario, machines=2)
