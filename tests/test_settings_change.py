"""Changes of a sidecar's settings while it runs."""

import asyncio
from dataclasses import replace
from pathlib import Path

import pytest
import uvloop

from pimentoscale.forwarding.node import Sidecar
from pimentoscale.forwarding.retries import LEAF_SHARE, RetryBudget
from pimentoscale.forwarding.settings import SidecarSettings, merge_settings
from pimentoscale.platform.settings import SETTINGS_VARIABLE
from pimentoscale.platform.store import StoreClient
from pimentoscale.programs import sidecar as program
from pimentoscale.programs.sidecar import (
    read_file_state,
    reload_settings,
    watch_settings,
)
from pimentoscale.settings import Address
from tests.sidecars import (
    CONFIGURATION_TOPIC,
    WAIT_S,
    Deployment,
    run_deployment,
    wait_until,
)
from tests.test_platform import SETTINGS, get_settings

OTHER = Address(host="10.9.9.9", port=99)
POLL_S = 0.01


@pytest.mark.parametrize(
    ("name", "value", "is_applied"),
    [
        ("retry_ratio", 0.5, True),
        ("stop_grace_s", 9.0, True),
        ("store", OTHER, True),
        ("outgoing", OTHER, False),
        ("instance", "another", False),
        ("upstream_service", "another", False),
    ],
)
def test_only_settings_that_may_change_are_applied(
    name: str, value: object, is_applied: bool
) -> None:
    old = get_settings()
    change = merge_settings(old, replace(old, **{name: value}))  # type: ignore[arg-type]
    assert getattr(change.settings, name) == (
        value if is_applied else getattr(old, name)
    )
    assert (change.changed, change.ignored) == (
        ([name], []) if is_applied else ([], [name])
    )


def test_new_retry_limits_apply_to_requests_counted_before() -> None:
    budget = RetryBudget(ratio=0.0, slack=0.0, window_s=10.0)
    for _ in range(100):
        budget.record_request(now=1.0)
    assert not budget.try_retry(calls_others=False, now=1.0)
    budget.set_limits(ratio=0.2, slack=0.0, window_s=10.0)
    allowed = sum(budget.try_retry(calls_others=False, now=1.0) for _ in range(100))
    assert allowed == int(0.2 * LEAF_SHARE * 100)


async def run_with_watcher(deployment: Deployment, path: Path) -> None:
    machine = await deployment.start_machine("m1", "a")
    path.write_text(SETTINGS)
    watcher = asyncio.create_task(
        watch_settings(
            machine.sidecar,
            path,
            last_state=read_file_state(path),
            period_s=POLL_S,
        )
    )
    await asyncio.sleep(0)
    state = machine.sidecar.state
    path.write_text("no settings at all")
    reload_settings(machine.sidecar, path)
    assert state.settings == machine.settings
    store = f"platform.address={deployment.store}"
    lines = [
        store if line.startswith("platform.address") else line
        for line in SETTINGS.splitlines()
    ]
    path.write_text("\n".join(lines).replace("grace_s=6", "grace_s=11"))
    await wait_until(lambda: state.settings.stop_grace_s == 11.0)
    assert state.settings.retry_ratio == 0.25
    assert state.settings.outgoing == machine.settings.outgoing
    watcher.cancel()


def test_changed_file_is_reloaded_without_a_signal(tmp_path: Path) -> None:
    async def run() -> None:
        async with run_deployment() as deployment:
            await run_with_watcher(deployment, tmp_path / "node.conf")

    asyncio.run(run())


def test_missing_file_has_no_state(tmp_path: Path) -> None:
    assert read_file_state(tmp_path / "none") is None


def test_change_between_the_first_read_and_the_start_is_not_missed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "node.conf"
    path.write_text(SETTINGS)
    graces: list[float] = []

    async def start_with_new_file(sidecar: Sidecar) -> None:
        graces.append(sidecar.state.settings.stop_grace_s)
        path.write_text(SETTINGS.replace("grace_s=6", "grace_s=11"))

    def reload(sidecar: Sidecar, settings: SidecarSettings) -> None:
        graces.append(settings.stop_grace_s)
        sidecar._stopped.set()

    async def wait_stopped(sidecar: Sidecar) -> None:
        async with asyncio.timeout(WAIT_S):
            await sidecar._stopped.wait()

    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    monkeypatch.setattr(Sidecar, "start", start_with_new_file)
    monkeypatch.setattr(Sidecar, "reload", reload)
    monkeypatch.setattr(Sidecar, "wait_stopped", wait_stopped)
    monkeypatch.setattr(program, "configure_structured_logs", lambda: None)
    monkeypatch.setattr(program, "configure_garbage_collector", lambda: None)
    # The program would end the process of the tests.
    monkeypatch.setattr(program, "run_to_exit", uvloop.run)
    program.main()
    assert graces == [6.0, 11.0]


def test_calls_after_a_change_of_the_store_do_not_use_its_old_connections() -> None:
    async def run() -> None:
        async with run_deployment() as old, run_deployment() as new:
            store = StoreClient(address=old.store)
            waiting = asyncio.create_task(
                store.read(topic=CONFIGURATION_TOPIC, offset=0, wait_ms=500)
            )
            await wait_until(lambda: store._client.counts.opened == 1)
            store.use_address(new.store)
            new.write(b"x")
            assert not (await waiting).records
            for _ in range(2):
                page = await store.read(topic=CONFIGURATION_TOPIC, offset=0, wait_ms=0)
                assert len(page.records) == 1
            store.close()

    asyncio.run(run())
