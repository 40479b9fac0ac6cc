"""The experiment `added-latency`: the time that two nodes add to a call."""

import asyncio
import random
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgpack
import numpy as np

from pimentoscale.call import Body, CallRequest, Header, collect_body
from pimentoscale.settings import Address
from pimentoscale.upstream import ConnectionPool
from pimentoscale_bench.deployment import read_deployment
from pimentoscale_bench.experiments import (
    ExperimentRequest,
    register_experiment,
    start_report,
)
from pimentoscale_bench.fleet import Fleet, make_rng, run_fleet
from pimentoscale_bench.report import AT_MOST, ExperimentReport, TargetReport

POLICY = "adaptive"
LATENCY_DEPLOYMENT = Path(__file__).parents[2] / "deployments" / "latency.toml"
ECHO_PORT = 6000
LOAD_FRACTION = 0.3
CAPACITY_WORKERS = 16
CAPACITY_RUN_S = 2.0
SLICE_S = 1.0
MIN_SLICES = 4
BODY = b"x" * 200
ADDED_P99_BOUND_MS = 0.57
MEMORY_BOUND_MB = 64.0
CPU_BOUND_PERCENT = 4.3
IDLE_S = 10.0
START_TIMEOUT_S = 20.0
POLL_S = 0.05

# Sends one request over a measured path and waits for its answer.
RoundTrip = Callable[[], Awaitable[None]]


@register_experiment("added-latency")
async def run_latency(request: ExperimentRequest) -> ExperimentReport:
    """Measure the latency that two nodes add at 30% load, and the cost of idle nodes.

    Two bare stream servers give the baseline for the added latency.
    """
    report = start_report(request, "added-latency")
    fleet = Fleet(
        deployment=read_deployment(LATENCY_DEPLOYMENT),
        folder=request.folder,
        policy=POLICY,
    )
    async with run_fleet(fleet):
        idle_cpu_percent = await _measure_idle_cpu_percent(fleet)
        measures = await _measure_paths(fleet, request)
        memory_mb = max(
            _read_node_memory_mb(fleet, plan.instance) for plan in fleet.plans
        )
    measures["idle_cpu_percent"] = idle_cpu_percent
    measures["memory_mb"] = memory_mb
    report.policies[POLICY] = dict(measures)
    rows = (
        ("added_p99_ms", ADDED_P99_BOUND_MS),
        ("memory_mb", MEMORY_BOUND_MB),
        ("idle_cpu_percent", CPU_BOUND_PERCENT),
    )
    for name, bound in rows:
        report.targets.append(
            TargetReport(name=name, measured=measures[name], bound=bound, sense=AT_MOST)
        )
    return report


async def _measure_paths(fleet: Fleet, request: ExperimentRequest) -> dict[str, float]:
    """Return percentiles of the direct path, through two nodes and over bare streams.

    The streams are the baseline: they carry the same body in msgpack frames and do no
    other work.
    """
    entry, target = fleet.plans
    through = _make_round_trip(entry.http, "/call/run/probe.call", _PROBE_HEADERS)
    direct = _make_round_trip(target.upstream, "/run/probe.call", [])
    chain = _EchoChain(host=target.host)
    try:
        await chain.start()
        capacity = await _measure_capacity(through)
        paths = {"direct": direct, "through": through, "streams": chain.send}
        rate = LOAD_FRACTION * capacity
        times_ms = await _run_interleaved(paths, rate, request)
    finally:
        chain.stop()
    measures = {"capacity_per_s": capacity, "rate_per_s": rate}
    for name, path_times_ms in times_ms.items():
        for percentile in (50, 99):
            key = f"{name}_p{percentile}_ms"
            measures[key] = float(np.percentile(path_times_ms, percentile))
    for percentile in (50, 99):
        direct_ms = measures[f"direct_p{percentile}_ms"]
        added_ms = measures[f"through_p{percentile}_ms"] - direct_ms
        measures[f"added_p{percentile}_ms"] = added_ms
        streams_ms = measures[f"streams_p{percentile}_ms"]
        measures[f"added_over_streams_p{percentile}_ms"] = added_ms - streams_ms
    return {key: round(value, 4) for key, value in measures.items()}


_PROBE_HEADERS: list[Header] = [(b"pimento-kind", b"probe.call")]


def _make_round_trip(address: Address, path: str, headers: list[Header]) -> RoundTrip:
    pool = ConnectionPool(address=address, limit=512)

    async def send() -> None:
        request = CallRequest(
            method="POST",
            path=path,
            headers=headers,
            body=Body.of(BODY),
            body_bytes=len(BODY),
        )
        connection = await pool.acquire()
        answer = await pool.send(
            connection=connection, request=request, extra_headers=()
        )
        await collect_body(answer.body)
        pool.release(connection)

    return send


class _EchoChain:
    """Two bare stream servers, of which the first forwards to the second."""

    def __init__(self, *, host: str) -> None:
        self._processes: list[subprocess.Popen[bytes]] = []
        self._host = host
        self._idle_connections: list[
            tuple[asyncio.StreamReader, asyncio.StreamWriter]
        ] = []

    async def start(self) -> None:
        """Start the second server, then the first, which connects to it."""
        first, second = str(ECHO_PORT), str(ECHO_PORT + 1)
        await self._start_server(ECHO_PORT + 1, [second])
        await self._start_server(ECHO_PORT, [first, self._host, second])

    async def _start_server(self, port: int, arguments: list[str]) -> None:
        command = [sys.executable, "-m", "pimentoscale_bench.echo", self._host]
        self._processes.append(subprocess.Popen([*command, *arguments]))
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                try:
                    _, writer = await asyncio.open_connection(self._host, port)
                except OSError:
                    await asyncio.sleep(POLL_S)
                else:
                    writer.close()
                    return

    async def send(self) -> None:
        """Send one message through both servers and wait for its echo."""
        if self._idle_connections:
            reader, writer = self._idle_connections.pop()
        else:
            reader, writer = await asyncio.open_connection(self._host, ECHO_PORT)
        writer.write(msgpack.packb([1, BODY]))
        await reader.read(65536)
        self._idle_connections.append((reader, writer))

    def stop(self) -> None:
        """Kill both servers."""
        for process in self._processes:
            process.kill()
            process.wait()


async def _measure_capacity(send: RoundTrip) -> float:
    """Return the calls per second that closed-loop workers complete."""
    end = time.perf_counter() + CAPACITY_RUN_S
    count = 0

    async def work() -> None:
        nonlocal count
        while time.perf_counter() < end:
            await send()
            count += 1

    await asyncio.gather(*(work() for _ in range(CAPACITY_WORKERS)))
    return count / CAPACITY_RUN_S


async def _run_interleaved(
    paths: dict[str, RoundTrip], rate: float, request: ExperimentRequest
) -> dict[str, list[float]]:
    """Load the paths in turn, a slice of time each, and return latencies in ms.

    `rate` is in calls per second.
    """
    rng = make_rng(request.seed, "latency")
    times_ms: dict[str, list[float]] = {name: [] for name in paths}
    slices = max(MIN_SLICES, int(request.seconds / SLICE_S / len(paths)))
    for _ in range(slices):
        for name, send in paths.items():
            await _run_slice(send, rate, times_ms[name], rng)
    return times_ms


async def _run_slice(
    send: RoundTrip, rate: float, times_ms: list[float], rng: random.Random
) -> None:
    """Send open-loop Poisson arrivals for one slice and append their latencies."""
    loop = asyncio.get_running_loop()
    running: set[asyncio.Task[None]] = set()
    due = loop.time()
    end = due + SLICE_S

    async def run() -> None:
        started = time.perf_counter()
        await send()
        times_ms.append((time.perf_counter() - started) * 1000)

    while due < end:
        due += rng.expovariate(rate)
        await asyncio.sleep(max(0.0, due - loop.time()))
        task = asyncio.create_task(run())
        running.add(task)
        task.add_done_callback(running.discard)
    if running:
        await asyncio.wait(running)


async def _measure_idle_cpu_percent(fleet: Fleet) -> float:
    """Return the CPU use of the busiest idle node in per cent of one core."""
    pids = [fleet.instances[plan.instance].node.pid for plan in fleet.plans]
    before = [read_cpu_s(pid) for pid in pids]
    await asyncio.sleep(IDLE_S)
    used_s = [read_cpu_s(pid) - cpu_s for pid, cpu_s in zip(pids, before, strict=True)]
    return round(100 * max(used_s) / IDLE_S, 3)


def read_cpu_s(pid: int) -> float:
    """Return the CPU time of a process's main thread in seconds, to the microsecond."""
    text = Path(f"/proc/{pid}/schedstat").read_text()
    return int(text.split()[0]) / 1e9


def read_memory_mb(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    kilobytes = next(int(s.split()[1]) for s in lines if s.startswith("VmRSS"))
    return round(kilobytes / 1024, 2)


def _read_node_memory_mb(fleet: Fleet, instance: str) -> float:
    return read_memory_mb(fleet.instances[instance].node.pid)
