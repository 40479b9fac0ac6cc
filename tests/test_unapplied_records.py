"""Records that a node could not apply are read again, and hold up no other."""

import asyncio
import random
from collections.abc import Callable

import pytest

from pimentoscale.membership import encode_member
from pimentoscale.store import (
    KeyedRecord,
    NewestPage,
    Position,
    RecordPage,
    TopicReplica,
    TopicWatcher,
    watch,
)
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

    async def read_newest(self, *, topic: str) -> NewestPage:
        next_position = Position(era=1, offset=1)
        return NewestPage(items=[self.record], next_position=next_position)

    async def read(self, *, topic: str, offset: int, wait_ms: int) -> RecordPage:
        await asyncio.sleep(0.01)
        return RecordPage(era=1, first_offset=offset, next_offset=offset)


def test_records_are_read_again_if_their_receiver_fails(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(watch, "BACKOFF_MAX_S", 0.01)
    received: list[KeyedRecord] = []
    calls = 0

    def receive(
        replica: TopicReplica, records: list[KeyedRecord], source: str, *rest: object
    ) -> None:
        nonlocal calls
        calls += 1
        if calls == 1:
            raise TypeError("unexpected")
        received.extend(records)

    async def run() -> None:
        may_read = asyncio.Event()
        may_read.set()
        watcher = TopicWatcher(
            store=PageStore(),  # type: ignore[arg-type]
            replica=TopicReplica(topic=MEMBERS),
            may_read=may_read,
            on_records=receive,  # type: ignore[arg-type]
            on_result=lambda succeeded, now: None,
            wait_ms=0,
            pause_s=0.0,
            rng=random.Random(1),
        )
        task = asyncio.create_task(watcher.run())
        await wait_until(lambda: calls > 1)
        task.cancel()

    asyncio.run(run())
    assert received == [PageStore.record]
