"""Records that a node could not apply are read again, and hold up no other."""

import asyncio
import random
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentoscale.http import HttpClient, HttpRequest
from pimentoscale.membership import encode_member
from pimentoscale.store import (
    KeyedRecord,
    NewestPage,
    Position,
    RecordPage,
    TopicReplica,
    TopicWatcher,
    unapplied,
    watch,
)
from pimentoscale.store.unapplied import MAX_TRIES
from tests.sidecars import Deployment, make_route, run_one_zone, wait_until
from tests.test_foreign_entries import MEMBERS, make_member, make_record

ROUTES = "keyed.op"
# The users' bound from the store's acknowledgement of a version to its use, in seconds.
CONFIG_BOUND_S = 2.0
MACHINES = 4

Handler = Callable[[KeyedRecord], None]


def fail_for(handle: Handler, key: bytes, failures: int) -> Handler:
    """Return a handler that fails so many times for the records of a key."""
    left = failures

    def handle_or_fail(record: KeyedRecord) -> None:
        nonlocal left
        if record.key == key and left:
            left -= 1
            raise TypeError("unexpected")
        handle(record)

    return handle_or_fail


def set_failures(
    deployment: Deployment, topic: str, *, key: bytes, failures: int
) -> None:
    """Have all nodes fail to apply the records of a key."""
    for machine in deployment.machines.values():
        handlers = machine.sidecar.relay._handlers
        handlers[topic] = fail_for(handlers[topic], key, failures)


def append_member(deployment: Deployment, name: str) -> None:
    value = encode_member(make_member(instance=name, zone="z9", service="c"))
    record = make_record(name.encode(), value)
    now = asyncio.get_running_loop().time()
    deployment.service.append(MEMBERS, [record], at=None, now=now)


def know_member(deployment: Deployment, name: str) -> bool:
    machines = deployment.machines.values()
    return all(name in machine.sidecar.state.members for machine in machines)


@pytest.mark.parametrize("failures", [1, 2])
def test_version_that_no_node_could_apply_is_in_force_in_time(failures: int) -> None:
    async def run() -> None:
        async with run_one_zone(machines=MACHINES) as deployment:
            set_failures(deployment, ROUTES, key=b"config", failures=failures)
            loop = asyncio.get_running_loop()
            began = loop.time()
            deployment.configure([make_route("more", "b")], ["b"])
            await deployment.wait_ready()
            assert loop.time() - began < CONFIG_BOUND_S

    asyncio.run(run())


def test_member_that_no_node_could_apply_is_known_soon() -> None:
    async def run() -> None:
        async with run_one_zone(machines=MACHINES) as deployment:
            set_failures(deployment, MEMBERS, key=b"late", failures=2)
            append_member(deployment, "late")
            append_member(deployment, "next")
            await wait_until(lambda: know_member(deployment, "late"))
            assert know_member(deployment, "next")

    asyncio.run(run())


class PageStore:
    """A store with one record."""

    era = 1
    has_unconfirmed_era = False
    record = KeyedRecord(key=b"k", value=b"v", position=Position(era=1, offset=0))

    def __init__(self) -> None:
        self.reads = 0

    async def read_newest(self, *, topic: str) -> NewestPage:
        next_position = Position(era=1, offset=1)
        return NewestPage(items=[self.record], next_position=next_position)

    async def read(self, *, topic: str, offset: int, wait_ms: int) -> RecordPage:
        self.reads += 1
        await asyncio.sleep(0.01)
        records = [] if offset else [b"\x01kv"]
        return RecordPage(era=1, first_offset=offset, next_offset=1, records=records)

    def decode_keyed(self, data: bytes, *, position: Position) -> KeyedRecord:
        return self.record


class StuckStore(PageStore):
    """A store whose reads have no record from the first offset on, though it has."""

    def __init__(self) -> None:
        super().__init__()
        self.newest_reads = 0

    async def read_newest(self, *, topic: str) -> NewestPage:
        self.newest_reads += 1
        if self.newest_reads == 1:
            return NewestPage(items=[], next_position=self.record.position)
        return await super().read_newest(topic=topic)

    async def read(self, *, topic: str, offset: int, wait_ms: int) -> RecordPage:
        await asyncio.sleep(0.01)
        return RecordPage(
            era=1, first_offset=offset, next_offset=offset, is_complete=bool(offset)
        )


class Receiver:
    """Takes the records of reads as a node does; its first calls raise."""

    def __init__(
        self, *, failures: int = 0, handle: Handler = lambda record: None
    ) -> None:
        self.failures = failures
        self.handle = handle
        self.received: list[KeyedRecord] = []

    def __call__(
        self,
        replica: TopicReplica,
        records: list[KeyedRecord],
        source: str,
        next_position: Position,
    ) -> None:
        if self.failures:
            self.failures -= 1
            raise TypeError("unexpected")
        self.received.extend(records)
        replica.apply(records, source=source, handle=self.handle, now=0.0)
        replica.advance(next_position)


def make_watcher(
    receiver: Receiver,
    *,
    store: PageStore | None = None,
    on_confirmed: Callable[[float], None] = lambda at: None,
) -> TopicWatcher:
    may_read = asyncio.Event()
    may_read.set()
    return TopicWatcher(
        store=store or PageStore(),  # type: ignore[arg-type]
        replica=TopicReplica(topic=MEMBERS),
        may_read=may_read,
        on_records=receiver,  # type: ignore[arg-type]
        on_result=lambda succeeded, now: None,
        on_confirmed=on_confirmed,
        wait_ms=0,
        pause_s=0.0,
        rng=random.Random(1),
    )


def test_records_are_read_again_if_their_receiver_fails(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(watch, "BACKOFF_MAX_S", 0.01)
    receiver = Receiver(failures=1)

    async def run() -> None:
        task = asyncio.create_task(make_watcher(receiver).run())
        await wait_until(lambda: bool(receiver.received))
        task.cancel()

    asyncio.run(run())
    assert receiver.received == [PageStore.record]


def test_record_that_no_page_contains_is_read_with_the_newest() -> None:
    receiver = Receiver()
    store = StuckStore()

    async def run() -> None:
        task = asyncio.create_task(make_watcher(receiver, store=store).run())
        await wait_until(lambda: bool(receiver.received))
        task.cancel()

    asyncio.run(run())
    assert store.newest_reads == 2
    assert receiver.received == [PageStore.record]


async def read_metric(deployment: Deployment, machine: str, name: str) -> float:
    """Return a gauge from the metrics address of a node."""
    client = HttpClient(address=deployment.machines[machine].settings.metrics, limit=1)
    connection = await client.acquire(now=asyncio.get_running_loop().time())
    request = HttpRequest(method=b"GET", path=b"/", headers=[(b"host", b"h")])
    try:
        answer = await connection.exchange(request)
    finally:
        connection.close()
    for line in answer.body.decode().splitlines():
        if line.startswith(f"pimento_{name} "):
            return float(line.split()[1])
    raise AssertionError(f"{name} is no metric")


def test_record_that_is_never_applied_is_counted_and_holds_up_no_other() -> None:
    async def run() -> None:
        async with run_one_zone(machines=MACHINES) as deployment:
            set_failures(deployment, MEMBERS, key=b"odd", failures=1000)
            append_member(deployment, "odd")
            append_member(deployment, "next")
            loop = asyncio.get_running_loop()
            began = loop.time()
            await wait_until(lambda: know_member(deployment, "next"))
            deployment.configure([make_route("more", "b")], ["b"])
            await wait_until(lambda: has_version(deployment))
            assert loop.time() - began < CONFIG_BOUND_S
            for name in deployment.machines:
                assert await read_metric(deployment, name, "records_unapplied_op") == 0
                left = await read_metric(deployment, name, "records_unapplied_members")
                assert left == 1
            replicas = [
                machine.sidecar.relay.replicas[MEMBERS]
                for machine in deployment.machines.values()
            ]
            await wait_until(lambda: all(is_given_up(item) for item in replicas))
            # It is gone once a later record of its key can be applied.
            for machine in deployment.machines.values():
                handlers = machine.sidecar.relay._handlers
                handlers[MEMBERS] = machine.sidecar.registry.apply_record
            append_member(deployment, "odd")
            await wait_until(lambda: know_member(deployment, "odd"))
            assert not any(item.unapplied for item in replicas)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(unapplied, "RETRY_MIN_S", 0.01)
        asyncio.run(run())


def has_version(deployment: Deployment) -> bool:
    machines = deployment.machines.values()
    return all(
        machine.sidecar.state.version == deployment.version for machine in machines
    )


def is_given_up(replica: TopicReplica) -> bool:
    return replica.unapplied.failures == MAX_TRIES


def test_replica_applies_the_others_and_then_what_failed_in_their_order() -> None:
    replica = TopicReplica(topic=MEMBERS)
    applied: list[bytes] = []
    left = 2

    def handle(record: KeyedRecord) -> None:
        nonlocal left
        if record.key == b"b" and left:
            left -= 1
            raise TypeError("unexpected")
        applied.append(record.key)

    records = [make_keyed(b"a", 1), make_keyed(b"b", 2), make_keyed(b"c", 3)]
    now = 0.0
    newer = replica.apply(records, source="store", handle=handle, now=now)
    assert newer == records
    assert applied == [b"a", b"c"]
    assert replica.unapplied.take_due(now=now) is None
    now += unapplied.RETRY_MIN_S
    assert replica.unapplied.take_due(now=now) == records[1].position
    assert not replica.apply(records, source="store", handle=handle, now=now)
    assert applied == [b"a", b"c"]
    # The second try comes after twice the time.
    assert replica.unapplied.take_due(now=now + unapplied.RETRY_MIN_S) is None
    now += 2 * unapplied.RETRY_MIN_S
    assert replica.unapplied.take_due(now=now) == records[1].position
    assert not replica.apply(records, source="store", handle=handle, now=now)
    assert applied == [b"a", b"c", b"b"]
    assert not replica.unapplied


def make_keyed(key: bytes, offset: int) -> KeyedRecord:
    return KeyedRecord(key=key, value=b"v", position=Position(era=1, offset=offset))


def fail(record: KeyedRecord) -> None:
    raise TypeError("unexpected")


def test_record_that_failed_is_forgotten_once_a_later_one_has_replaced_it() -> None:
    replica = TopicReplica(topic=MEMBERS)
    first, later = make_keyed(b"a", 1), make_keyed(b"a", 5)
    replica.apply([first], source="store", handle=fail, now=0.0)
    replica.apply([later], source="store", handle=fail, now=0.0)
    assert first.position not in replica.unapplied
    assert later.position in replica.unapplied
    # The older one comes again, as from a reader that is behind.
    applied: list[KeyedRecord] = []
    replica.apply([first], source="m1", handle=applied.append, now=0.0)
    assert not applied
    replica.unapplied.retain(set())
    assert not replica.unapplied


@given(
    failing=st.sets(st.integers(0, 11)),
    order=st.lists(st.integers(0, 11), min_size=1, max_size=40),
)
def test_records_of_any_order_and_failures_end_as_without_failures(
    failing: set[int], order: list[int]
) -> None:
    records = [make_keyed(b"abc"[index % 3 :][:1], index) for index in range(12)]
    replica = TopicReplica(topic=MEMBERS)
    applied: dict[bytes, Position] = {}
    left = set(failing)

    def handle(record: KeyedRecord) -> None:
        if record.position.offset in left:
            left.discard(record.position.offset)
            raise TypeError("unexpected")
        assert record.position >= applied.get(record.key, record.position)
        applied[record.key] = record.position

    for index in order:
        replica.apply([records[index]], source="m1", handle=handle, now=0.0)
    now = 0.0
    while replica.unapplied:
        now += 1000.0
        start = replica.unapplied.take_due(now=now)
        assert start is not None
        again = [item for item in records if item.position >= start]
        sent = [item for item in again if item.position.offset in order]
        replica.apply(sent, source="store", handle=handle, now=now)
    assert applied == {
        item.key: item.position
        for item in replica.list_since(make_keyed(b"a", 0).position)
    }


def test_version_that_is_not_applied_is_not_confirmed() -> None:
    """Keys that it withdraws must not stay accepted."""
    confirmed: list[float] = []
    receiver = Receiver(handle=fail)
    store = PageStore()

    async def run() -> None:
        watcher = make_watcher(receiver, store=store, on_confirmed=confirmed.append)
        task = asyncio.create_task(watcher.run())
        await wait_until(lambda: watcher.unapplied == 1)
        await wait_until(lambda: store.reads > 2)
        assert not confirmed
        receiver.handle = lambda record: None
        now = asyncio.get_running_loop().time()
        watcher.read_again(PageStore.record.position, now=now)
        await wait_until(lambda: bool(confirmed))
        task.cancel()

    asyncio.run(run())
