"""Progress is noted after the work: what raised half-way is done again."""

import asyncio
import json
import random
from types import SimpleNamespace
from typing import Any

import pytest

from pimentoscale.configuration import (
    ConfigurationReplica,
    Consent,
    Patch,
    PatchRecord,
    encode_record,
)
from pimentoscale.distribution.log_tasks import LogTasks
from pimentoscale.distribution.tree import Distribution
from pimentoscale.membership import encode_roster
from pimentoscale.metrics import Metrics
from pimentoscale.routes import RouteTable
from pimentoscale.store import RecordPage
from tests.test_foreign_entries import make_member
from tests.test_platform import make_configuration
from tests.test_version_fetch import make_updater


class FailingOnce:
    """Records its arguments, except for those of the first call, which raises."""

    def __init__(self) -> None:
        self.calls = 0
        self.received: list[Any] = []

    def __call__(self, value: Any) -> None:
        self.calls += 1
        if self.calls == 1:
            raise TypeError("unexpected")
        self.received.append(value)


def make_distribution(confirmed: list[float]) -> Distribution:
    replica = ConfigurationReplica()
    state = SimpleNamespace(
        replica=replica,
        version=1,
        configuration=replica.fold.configuration,
        record=lambda name, detail: None,
    )
    peers = SimpleNamespace(heartbeat_watchers=[], record_watchers=[], up_watchers=[])
    pauses = SimpleNamespace(
        confirm=lambda *, requested_at: confirmed.append(requested_at)
    )
    overlay = SimpleNamespace(get_parent_peer=lambda: None)
    return Distribution(
        state=state,  # type: ignore[arg-type]
        peers=peers,  # type: ignore[arg-type]
        overlay=overlay,  # type: ignore[arg-type]
        pauses=pauses,  # type: ignore[arg-type]
    )


def encode_first_version() -> list[bytes]:
    patch = Patch(base=0, set={"zones": {"a": {}}, "services": {"s": {}}})
    record = PatchRecord(id="p1", patch=patch, submitter="op", message="", at_ms=0)
    consent = Consent(patch="p1", zone="a", instance="i")
    return [encode_record(record), encode_record(consent)]


def test_watcher_that_failed_is_told_of_the_version_again_before_a_confirmation() -> (
    None
):
    async def run() -> None:
        confirmed: list[float] = []
        distribution = make_distribution(confirmed)
        watch = FailingOnce()
        distribution.configuration_watchers.append(watch)
        records = encode_first_version()
        with pytest.raises(TypeError):
            distribution.apply_page(first=0, records=records, requested_at=1.0)
        assert not confirmed
        assert distribution.apply_page(first=2, records=[], requested_at=2.0)
        assert len(watch.received) == 1
        assert confirmed == [2.0]

    asyncio.run(run())


def test_route_version_whose_parts_were_not_all_told_is_told_again() -> None:
    updater, state = make_updater({})
    tell = FailingOnce()
    updater.on_change = tell
    data = json.dumps(make_configuration()).encode()
    with pytest.raises(TypeError):
        updater.apply(data, source="store")
    updater.apply(data, source="store")
    assert tell.received == [state.table]
    assert isinstance(state.table, RouteTable)
    updater.apply(data, source="store")
    assert tell.calls == 2


def test_member_that_raises_does_not_hold_up_the_others_of_its_page() -> None:
    metrics = Metrics()
    applied: list[str] = []
    store = SimpleNamespace()

    def apply(member: Any) -> None:
        if member.instance == "odd":
            raise TypeError("unexpected")
        applied.append(member.instance)

    async def read(*, topic: str, offset: int, wait_ms: int) -> RecordPage:
        names = ("a", "odd", "b")
        data = encode_roster([make_member(instance=name) for name in names])
        return RecordPage(
            era=1, first_offset=offset, next_offset=offset + 1, records=[data]
        )

    store.read = read
    tasks = LogTasks(
        state=SimpleNamespace(metrics=metrics),  # type: ignore[arg-type]
        store=store,
        overlay=SimpleNamespace(own_watchers=[], apply_member=apply),  # type: ignore[arg-type]
        distribution=SimpleNamespace(),  # type: ignore[arg-type]
        rng=random.Random(1),
    )
    asyncio.run(tasks._read_member_page())
    assert applied == ["a", "b"]
    assert metrics.get_count("bad_announcements") == 1
    assert tasks._next_member_offset == 1
