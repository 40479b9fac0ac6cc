"""End-to-end tests on real processes: answers, bad input, drains, outages, patches."""

import asyncio
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import httpx
import pytest

from pimentoscale.settings import Address
from tests.fleet import POLL_S, Bench, start_bench

MEGABYTE = 1024 * 1024
CALLS = 30
MAX_GROWTH_KB = 8 * 1024


@pytest.fixture(scope="module")
def bench(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Bench]:
    with start_bench(tmp_path_factory.mktemp("fleet")) as bench:
        yield bench


async def post(
    bench: Bench, instance: str, path: str, **options: Any
) -> httpx.Response:
    address = bench.fleet.instances[instance].plan.http
    async with httpx.AsyncClient(timeout=30) as client:
        return await client.post(f"http://{address}{path}", **options)


async def submit(bench: Bench, name: str, base: int, change: dict[str, Any]) -> Any:
    """Submit a patch, wait until it is decided, and return its status."""
    patch = {"id": name, "base": base, "submitter": "test", "set": change}
    await post(bench, "photos-0", "/control/patches", json=patch)
    address = bench.fleet.instances["photos-0"].plan.http
    async with asyncio.timeout(20), httpx.AsyncClient() as client:
        while True:
            response = await client.get(f"http://{address}/control/patches/{name}")
            if response.json()["state"] in ("in_force", "rejected"):
                return response.json()
            await asyncio.sleep(POLL_S)


async def send_raw(address: Address, data: bytes) -> bytes:
    """Send bytes, half-close the connection, and return all that is received."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(data)
    if writer.can_write_eof():
        writer.write_eof()
    answer = await asyncio.wait_for(reader.read(), 20)
    writer.close()
    return answer


def read_peak_kb(process: int) -> int:
    """Return a process's peak resident memory in KiB."""
    lines = Path(f"/proc/{process}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM"))


def test_every_entry_serves_every_kind(bench: Bench) -> None:
    async def check() -> None:
        caller = bench.make_caller(*bench.fleet.instances)
        kinds = [name for name, k in bench.fleet.deployment.kinds.items() if k.weight]
        sends = [caller.call(kinds[n % len(kinds)]) for n in range(CALLS)]
        records = await asyncio.gather(*sends)
        assert {record.last.outcome for record in records} == {"answered"}
        assert all(record.last.is_intact for record in records)

    bench.run(check())


def test_callers_with_the_same_request_id_get_their_own_answers(bench: Bench) -> None:
    async def check() -> None:
        request = bench.make_request()
        bodies = [bytes([n]) * (n * 7000) for n in range(12)]
        sends = [
            bench.send("returns-0", "catalogue.check", request, body=body)
            for body in bodies
        ]
        attempts = await asyncio.gather(*sends)
        assert all(attempt.is_intact for attempt in attempts)

    bench.run(check())


def test_photo_of_20_mb_passes_with_bounded_memory(bench: Bench) -> None:
    async def check() -> None:
        before = read_peak_kb(bench.fleet.instances["catalogue-0"].node.pid)
        request = bench.make_request()
        body = bytes(range(256)) * (20 * MEGABYTE // 256)
        attempt = await bench.send("catalogue-0", "photo.upload", request, body=body)
        assert attempt.outcome == "answered"
        assert attempt.is_intact
        for name in ("catalogue-0", "photos-0", "photos-1"):
            peak = read_peak_kb(bench.fleet.instances[name].node.pid)
            assert peak - before < MAX_GROWTH_KB

    bench.run(check())


@pytest.mark.parametrize(
    ("headers", "status", "error"),
    [
        ({}, 400, "bad_header"),
        ({"pimento-kind": "no.such"}, 404, "unknown_kind"),
        ({"pimento-kind": "a b"}, 400, "bad_header"),
        ({"pimento-kind": "catalogue.check", "pimento-token": "x"}, 400, "bad_header"),
        ({"pimento-kind": "booking.create"}, 400, "bad_header"),
        (
            {"pimento-kind": "catalogue.check", "pimento-timeout-ms": "soon"},
            400,
            "bad_header",
        ),
        (
            {"pimento-kind": "catalogue.check", "x-long": "x" * 40_000},
            400,
            "bad_header",
        ),
    ],
)
def test_bad_request_headers_are_refused_with_a_reason(
    bench: Bench, headers: dict[str, str], status: int, error: str
) -> None:
    answer = bench.run(post(bench, "returns-0", "/call/run/x", headers=headers))
    assert answer.status_code == status
    assert answer.headers["pimento-error"] == error
    assert answer.headers["pimento-outcome"] == "refused"


def test_oversized_body_is_refused(bench: Bench) -> None:
    async def check() -> None:
        head = (
            b"POST /call/run/x HTTP/1.1\r\nhost: x\r\n"
            b"pimento-kind: photo.upload\r\ncontent-length: 1000000000\r\n\r\n"
        )
        answer = await send_raw(bench.fleet.instances["returns-0"].plan.http, head)
        assert b"pimento-error: body_too_large" in answer

    bench.run(check())


@pytest.mark.parametrize("data", [b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 100, b""])
def test_invalid_bytes_on_the_stream_port_close_only_that_stream(
    bench: Bench, data: bytes
) -> None:
    async def check() -> None:
        plan = bench.fleet.instances["returns-0"].plan
        await send_raw(plan.stream, data)
        request = bench.make_request()
        attempt = await bench.send("returns-0", "catalogue.check", request)
        assert attempt.outcome == "answered"

    bench.run(check())


def test_truncated_body_runs_at_most_once_and_the_node_keeps_serving(
    bench: Bench,
) -> None:
    async def check() -> None:
        plan = bench.fleet.instances["returns-0"].plan
        request = bench.make_request()
        head = (
            f"POST /call/run/photo.upload HTTP/1.1\r\nhost: x\r\n"
            f"pimento-kind: photo.upload\r\npimento-request-id: {request}\r\n"
            f"content-length: 500000\r\n\r\n"
        )
        await send_raw(plan.http, head.encode() + b"x" * 200_000)
        await bench.wait_status("returns-0", "in_progress", 0)
        assert bench.count_runs(request) <= 1
        attempt = await bench.send("returns-0", "photo.upload", bench.make_request())
        assert attempt.outcome == "answered"

    bench.run(check())


def test_draining_instance_finishes_its_running_call_and_stops(bench: Bench) -> None:
    async def check() -> None:
        await bench.fleet.set_upstream_faults("photos-1", slow_factor=15.0)
        caller = bench.make_caller("photos-1")
        sending = asyncio.create_task(caller.call("photo.upload"))
        await bench.wait_runs("r-1")
        node = bench.fleet.instances["photos-1"].node
        await bench.fleet.drain("photos-1")
        others = [name for name in bench.fleet.instances if name != "photos-1"]
        for name in others:
            await _wait_member(bench, name, "photos-1", "draining")
        assert (await sending).last.outcome == "answered"
        async with asyncio.timeout(20):
            while node.poll() is None:
                await asyncio.sleep(POLL_S)
        assert node.returncode == 0
        await bench.restore("photos-1")

    bench.run(check())


async def _wait_member(bench: Bench, node: str, instance: str, state: str) -> None:
    """Wait until a node lists an instance as a member in the given state."""
    async with asyncio.timeout(20):
        while True:
            members = (await bench.fleet.get_status(node))["members"]
            if any(m["instance"] == instance and m["state"] == state for m in members):
                return
            await asyncio.sleep(POLL_S)


def test_killed_instance_is_gone_in_every_directory_of_its_zone(bench: Bench) -> None:
    async def check() -> None:
        bench.fleet.kill("photos-1")
        for name in ("catalogue-1", "bookings-1", "returns-1"):
            await _wait_member(bench, name, "photos-1", "gone")
        await bench.restore("photos-1")

    bench.run(check())


def test_platform_outage_prevents_no_call_and_no_restart(bench: Bench) -> None:
    async def check() -> None:
        await bench.fleet.set_platform_faults(is_down=True)
        bench.fleet.kill("returns-0")
        bench.fleet.replace("returns-0")
        await bench.fleet.wait_node_ready("returns-0")
        attempt = await bench.send("returns-0", "catalogue.check", bench.make_request())
        assert attempt.outcome == "answered"
        await bench.wait_status("photos-0", "is_confirmed", False)
        await bench.fleet.set_platform_faults(is_down=False)
        await bench.wait_status("photos-0", "is_confirmed", True)

    bench.run(check())


def test_patch_needs_the_consent_of_every_zone(bench: Bench) -> None:
    async def check() -> None:
        version = (await bench.fleet.get_status("photos-0"))["version"]
        inside = {p.instance for p in bench.fleet.plans if p.zone == "sk-regina"}
        outside = set(bench.fleet.instances) - inside
        change = {"kinds": {"catalogue.browse": {"importance": 21}}}
        # The empty name stands for the platform.
        bench.fleet.relays.cut(inside, outside | {""})
        bench.fleet.relays.cut(outside, inside)
        verdict = await submit(bench, "cut", version, change)
        assert verdict["reason"] == "no_consent"
        assert "sk-regina" in verdict["detail"]
        attempt = await bench.send("photos-1", "photo.upload", bench.make_request())
        assert (attempt.outcome, attempt.version) == ("answered", version)
        bench.fleet.relays.heal()
        await bench.wait_status("photos-1", "is_confirmed", True)
        verdict = await submit(bench, "healed", version, change)
        assert verdict["version"] == version + 1
        for name in bench.fleet.instances:
            await bench.wait_status(name, "version", version + 1)

    bench.run(check())


def test_patch_takes_effect_once_if_answers_of_the_log_are_lost(bench: Bench) -> None:
    async def check() -> None:
        version = (await bench.fleet.get_status("photos-0"))["version"]
        await bench.fleet.set_platform_faults(lost_answers=2)
        change = {"kinds": {"catalogue.browse": {"importance": 22}}}
        verdict = await submit(bench, "lost", version, change)
        await bench.fleet.set_platform_faults(lost_answers=0)
        assert verdict["version"] == version + 1

    bench.run(check())


def test_resumed_node_serves_under_the_version_in_force(bench: Bench) -> None:
    async def check() -> None:
        version = (await bench.fleet.get_status("photos-0"))["version"]
        bench.fleet.suspend_node("bookings-0")
        change = {"kinds": {"catalogue.browse": {"importance": 23}}}
        verdict = await submit(bench, "frozen", version, change)
        async with asyncio.timeout(30):
            while verdict["state"] == "rejected":
                assert verdict["reason"] == "no_consent"
                verdict = await submit(bench, bench.make_request(), version, change)
        bench.fleet.resume_node("bookings-0")
        attempt = await bench.send("bookings-0", "catalogue.check", "woken")
        assert attempt.version == version + 1

    bench.run(check())


def test_call_that_ran_is_not_reported_refused_after_a_retry(bench: Bench) -> None:
    async def check() -> None:
        await bench.fleet.set_upstream_faults("catalogue-0", sheds=True)
        upstream = bench.fleet.instances["catalogue-1"].upstream
        upstream.kill()
        upstream.wait()
        for _ in range(10):
            request = bench.make_request()
            attempt = await bench.send("returns-1", "catalogue.check", request)
            has_run = bench.count_runs(request) > 0
            # Only a call that no upstream ran may be reported as refused.
            assert attempt.outcome == ("failed" if has_run else "refused")
        await bench.restore("catalogue-0", "catalogue-1")

    bench.run(check())


def test_retries_of_a_resubmitted_request_stay_within_its_bound(bench: Bench) -> None:
    async def check() -> None:
        for name in ("catalogue-0", "catalogue-1"):
            await bench.fleet.set_upstream_faults(name, sheds=True)
        request = bench.make_request()
        submissions = 5
        for _ in range(submissions):
            await bench.send("returns-0", "catalogue.check", request)
        for name in ("catalogue-0", "catalogue-1"):
            await bench.fleet.set_upstream_faults(name, sheds=False)
        retries = bench.fleet.deployment.kinds["catalogue.check"].retries
        assert bench.count_runs(request) <= submissions + retries

    bench.run(check())
