"""Exit codes and output of the programs, and the order of time line events."""

import contextlib
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest
import tomli_w

from pimentoscale.platform.settings import SETTINGS_VARIABLE
from pimentoscale.programs.timeline_page import render_timeline
from pimentoscale.timeline import Event, EventName, HybridClock, Timeline, merge_events
from tests.addresses import find_address
from tests.test_settings import make_document

UNREACHABLE = "127.254.254.254:1"
SIDECAR = Path(__file__).parents[1] / "src" / "sidecar.py"
TIMEOUT_S = 30.0


def run_program(module: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", f"pimentoscale.programs.{module}", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=60)


def test_node_checks_its_settings(tmp_path: Path) -> None:
    path = tmp_path / "node.toml"
    path.write_text(tomli_w.dumps(make_document()))
    assert run_program("node", "--settings", str(path), "--check").returncode == 0


@pytest.mark.parametrize(
    ("change", "key"),
    [({"zone": "No Such Zone"}, "zone"), ({"policy": "wishful"}, "policy")],
)
def test_node_names_each_fault(
    tmp_path: Path, change: dict[str, str], key: str
) -> None:
    path = tmp_path / "node.toml"
    path.write_text(tomli_w.dumps(make_document() | change))
    done = run_program("node", "--settings", str(path))
    assert done.returncode == 2
    assert done.stderr.startswith(f"{key}: saw")


def test_operator_names_a_bad_file(tmp_path: Path) -> None:
    path = tmp_path / "patch.toml"
    path.write_text("base = -1\nsets = 3\n")
    done = run_program("operator", "config", "submit", str(path), "--node", UNREACHABLE)
    assert done.returncode == 2
    assert "base: saw -1" in done.stderr
    assert "sets: saw an unknown key" in done.stderr


def test_operator_names_an_unreachable_node() -> None:
    done = run_program("operator", "config", "show", "--node", UNREACHABLE)
    assert done.returncode == 7
    assert UNREACHABLE in done.stderr


def test_events_of_two_processes_are_in_causal_order() -> None:
    clocks = [HybridClock(), HybridClock()]
    timelines = [
        Timeline(instance=name, clock=clock)
        for name, clock in zip(("a", "b"), clocks, strict=True)
    ]
    for _ in range(5):
        timelines[0].record(EventName.CALL_ENTERED, now_ms=5_000, request="r")
        clocks[1].observe(timestamp=clocks[0].tick(now_ms=5_000), now_ms=1_000)
        timelines[1].record(EventName.CALL_STARTED, now_ms=1_000, request="r/1")
        clocks[0].observe(timestamp=clocks[1].tick(now_ms=1_000), now_ms=5_000)
    merged = list(merge_events(timeline.select(request="r") for timeline in timelines))
    assert [event.instance for event in merged] == ["a", "b"] * 5


def test_timestamp_far_ahead_is_ignored() -> None:
    clock = HybridClock()
    clock.observe(timestamp=10**9 << 16, now_ms=1_000)
    assert clock.tick(now_ms=1_000) == 1_000 << 16


def test_page_escapes_the_texts_of_events() -> None:
    event = Event(clock=1 << 16, instance="i", name="n", detail="<script>")
    page = render_timeline([event])
    assert "<script>" not in page
    assert "&lt;script&gt;" in page


def has_signal(pid: int, number: int, *, mask: str) -> bool:
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith(mask))
    return bool(int(line.split()[1], 16) >> (number - 1) & 1)


def wait_for_signal_mask(
    process: "subprocess.Popen[bytes]", number: int, *, mask: str
) -> None:
    ends_at = time.monotonic() + TIMEOUT_S
    while not has_signal(process.pid, number, mask=mask):
        assert process.poll() is None
        assert time.monotonic() < ends_at


def test_starting_sidecar_is_not_ended_by_a_change_of_its_settings(
    tmp_path: Path,
) -> None:
    environment = {**os.environ, SETTINGS_VARIABLE: str(tmp_path / "missing.conf")}
    process = subprocess.Popen(
        [sys.executable, str(SIDECAR)], env=environment, stderr=subprocess.DEVNULL
    )
    wait_for_signal_mask(process, signal.SIGHUP, mask="SigIgn")
    process.send_signal(signal.SIGHUP)
    # Bad settings, which are read at the end of the start.
    assert process.wait(TIMEOUT_S) == 2


def start_node_program(folder: Path) -> "subprocess.Popen[bytes]":
    path = folder / "node.toml"
    addresses = {
        key: msgspec.to_builtins(find_address())
        for key in ("http", "stream", "platform")
    }
    document = make_document() | addresses | {"stop_grace_s": 1}
    path.write_text(tomli_w.dumps(document))
    module = ["-m", "pimentoscale.programs.node"]
    return subprocess.Popen(
        [sys.executable, *module, "--settings", str(path)], stderr=subprocess.DEVNULL
    )


def start_sidecar_program(folder: Path) -> "subprocess.Popen[bytes]":
    path = folder / "sidecar.conf"
    ports = [find_address() for _ in range(2)]
    settings = {
        "node": "s1",
        "ip_address": ports[0].host,
        "zone": "z1",
        "listen_addresses.outbound": find_address(),
        "listen_addresses.ready": find_address(),
        "listen_addresses.control": find_address(),
        "internal_port_range": f"{ports[0].port},{ports[1].port}",
        "application_address": find_address(),
        "platform.address": find_address(),
        "bounds": "grace_s=1",
    }
    path.write_text("\n".join(f"{key}={value}" for key, value in settings.items()))
    return subprocess.Popen(
        [sys.executable, str(SIDECAR)],
        env={**os.environ, SETTINGS_VARIABLE: str(path)},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )


@pytest.mark.parametrize("start", [start_node_program, start_sidecar_program])
def test_program_that_is_ending_is_not_killed_by_further_signals(
    tmp_path: Path, start: Callable[[Path], "subprocess.Popen[bytes]"]
) -> None:
    process = start(tmp_path)
    wait_for_signal_mask(process, signal.SIGTERM, mask="SigCgt")
    ends_at = time.monotonic() + TIMEOUT_S
    while process.poll() is None:
        assert time.monotonic() < ends_at
        process.send_signal(signal.SIGTERM)
        with contextlib.suppress(subprocess.TimeoutExpired):
            process.wait(0.0005)
    assert process.returncode == 0
