"""The experiment that measures slopes from which docs/CAPACITY.md is worked out."""

import asyncio
import subprocess
import sys
import time
from collections.abc import Callable, Iterable
from typing import Any

import msgspec
import numpy as np

from pimentoscale.configuration import (
    Configuration,
    Consent,
    Fold,
    Kind,
    Patch,
    PatchRecord,
    Service,
    Zone,
    encode_record,
)
from pimentoscale.membership import (
    Directory,
    Member,
    MemberState,
    decode_member,
    encode_member,
    find_parent,
)
from pimentoscale.settings import Address
from pimentoscale.stream import Heartbeat
from pimentoscale.stream.codec import FrameReader, encode_frame
from pimentoscale.ticket import NodeIdentity, TicketIssuer, WitnessLedger
from pimentoscale_bench.deployment import read_deployment
from pimentoscale_bench.experiments import (
    ExperimentRequest,
    register_experiment,
    start_report,
)
from pimentoscale_bench.fleet import Fleet, run_fleet
from pimentoscale_bench.latency import LATENCY_DEPLOYMENT, read_cpu_s, read_memory_mb
from pimentoscale_bench.report import ExperimentReport

POLICY = "adaptive"
IDLE_S = 10.0
BATCHES = 5
MEMBER_COUNTS = (13, 1000, 4500, 18_000)
ZONE_COUNTS = (13, 250, 1060)
SERVICE_COUNTS = (4, 500, 2000)
ENTRY_COUNTS = (100, 10_000, 50_000)
PEER_SCALES = ("latency", "small", "full")

Points = list[tuple[float, float]]


@register_experiment("slopes")
async def run_slopes(request: ExperimentRequest) -> ExperimentReport:
    """Measure the slopes of state, messages and processor time."""
    report = start_report(request, "slopes")
    slopes = {
        "directory_bytes": _grow(MEMBER_COUNTS, _weigh_directory),
        "plan_us": _grow(ZONE_COUNTS, _time_plan),
        "configuration_bytes": _grow(SERVICE_COUNTS, _weigh_configuration),
        "snapshot_bytes": _grow(SERVICE_COUNTS, _weigh_snapshot),
        "patch_us": _grow(SERVICE_COUNTS, _time_patch),
        "witness_bytes": _grow(ENTRY_COUNTS, _weigh_witness),
    }
    fixed = {
        "heartbeat_us": _time_heartbeat(),
        "heartbeat_bytes": len(encode_frame(_make_heartbeat())),
        "announcement_us": _time_announcement(),
        "announcement_bytes": len(encode_member(_make_member(1))),
        "consent_bytes": len(encode_record(_make_consent(1))),
        "ticket_us": _time_ticket(),
    }
    idle = [await _measure_idle(request, scale) for scale in PEER_SCALES]
    slopes["idle_cpu_percent"] = [(row["peers"], row["cpu_percent"]) for row in idle]
    slopes["idle_bytes_per_s"] = [(row["peers"], row["bytes_per_s"]) for row in idle]
    slopes["memory_mb"] = [(row["peers"], row["memory_mb"]) for row in idle]
    report.policies["slopes"] = {
        name: {"points": points, **fit(points)} for name, points in slopes.items()
    }
    report.policies["fixed"] = {name: round(v, 3) for name, v in fixed.items()}
    return report


def fit(points: Points) -> dict[str, float]:
    """Return the straight line through some points, by least squares."""
    xs, ys = zip(*points, strict=True)
    slope, start = np.polyfit(xs, ys, 1)
    return {"slope": float(slope), "start": float(start)}


def _grow(counts: Iterable[int], measure: Callable[[int], float]) -> Points:
    return [(count, measure(count)) for count in counts]


def _weigh(build: str, count: int) -> float:
    """Return the resident bytes that a structure takes in a process of its own."""
    code = (
        "import gc, pimentoscale_bench.slopes as s\n"
        "def rss():\n"
        "    gc.collect()\n"
        "    return s.read_memory_mb(__import__('os').getpid())\n"
        f"before = rss()\nkept = s.{build}({count})\n"
        "print((rss() - before) * 1048576)\n"
    )
    command = [sys.executable, "-c", code]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    return float(done.stdout)


def _weigh_directory(count: int) -> float:
    return _weigh("build_directory", count)


def _weigh_configuration(count: int) -> float:
    return _weigh("build_fold", count)


def _weigh_witness(count: int) -> float:
    return _weigh("build_witness", count)


def _weigh_snapshot(count: int) -> float:
    return float(len(build_fold(count).make_snapshot(instance="i").state))


def _time(step: Callable[[], object], repeats: int) -> float:
    """Return the least mean time of a step over some batches, in microseconds."""
    times = []
    for _ in range(BATCHES):
        started = time.perf_counter()
        for _ in range(repeats):
            step()
        times.append((time.perf_counter() - started) / repeats)
    return min(times) * 1e6


def _time_plan(count: int) -> float:
    names = [f"service-{number}" for number in range(count)]
    return _time(lambda: find_parent(names[0], names), 20)


def _time_patch(count: int) -> float:
    """Return the time to fold a patch and a consent under `count` services."""
    fold = build_fold(count)

    def step() -> None:
        version = fold.version
        change = {"kinds": {"kind-0": {"importance": version % 100}}}
        record = _make_patch(f"p{version}", version, change)
        for data in (record, encode_record(_make_consent(version))):
            fold.apply(offset=fold.next_offset, data=data)

    return _time(step, 5)


def _time_heartbeat() -> float:
    reader = FrameReader()
    frame = _make_heartbeat()
    return _time(lambda: list(reader.feed(encode_frame(frame))), 2000)


def _time_announcement() -> float:
    directory = Directory()
    numbers = iter(range(10**9))

    def step() -> None:
        member = decode_member(encode_member(_make_member(next(numbers)))).unwrap()
        directory.apply(member, now=0.0)

    return _time(step, 500)


def _time_ticket() -> float:
    """Return the time to issue, read and record one ticket."""
    issuer = TicketIssuer(secret="a secret for the slopes")
    holder = NodeIdentity(instance="i", incarnation=1)
    ledger = WitnessLedger(identity=holder)

    def step() -> None:
        ticket = issuer.decode(issuer.encode(_issue(issuer, holder))).unwrap()
        ledger.record_intent(ticket, now_ms=0)

    return _time(step, 500)


def build_directory(count: int) -> Directory:
    """Return a directory of so many members, as decoded from the wire."""
    directory = Directory()
    for number in range(count):
        data = encode_member(_make_member(number))
        directory.apply(decode_member(data).unwrap(), now=0.0)
    return directory


def build_fold(count: int) -> Fold:
    """Return a fold with one version that declares so many services."""
    services = {f"service-{number}": Service() for number in range(count)}
    kinds = {
        f"kind-{number}": Kind(
            service=f"service-{number}", importance=50, idempotent=True
        )
        for number in range(count)
    }
    content = Configuration(zones={"z": Zone()}, services=services, kinds=kinds)
    fold = Fold()
    fold.apply(offset=0, data=_make_patch("p0", 0, msgspec.to_builtins(content)))
    fold.apply(offset=1, data=encode_record(_make_consent(0)))
    return fold


def build_witness(count: int) -> WitnessLedger:
    """Return a witness with so many intents on record."""
    issuer = TicketIssuer(secret="a secret for the slopes")
    holder = NodeIdentity(instance="i", incarnation=1)
    ledger = WitnessLedger(identity=holder)
    for _ in range(count):
        ledger.record_intent(_issue(issuer, holder), now_ms=0)
    return ledger


def _issue(issuer: TicketIssuer, holder: NodeIdentity) -> Any:
    return issuer.issue(
        request="r", caller="c", kind="k", home=holder, witness=holder, now_ms=0
    )


def _make_member(number: int) -> Member:
    host = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"
    address = Address(host=host, port=1)
    return Member(
        instance=f"service-{number}",
        incarnation=1796366201386785,
        sequence=0,
        state=MemberState.ALIVE,
        zone=f"zone-{number % 17}",
        service=f"service-{number % 2000}",
        slots=100,
        http=address,
        stream=address,
    )


def _make_heartbeat() -> Heartbeat:
    return Heartbeat(
        version=7100,
        offset=100_000,
        held=100_000,
        age_ms=900,
        parent="service-17",
        draining=False,
        clock=1796366201386 << 16,
    )


def _make_patch(name: str, base: int, change: dict[str, Any]) -> bytes:
    patch = Patch(base=base, set=change)
    return encode_record(
        PatchRecord(id=name, patch=patch, submitter="op", message="", at_ms=0)
    )


def _make_consent(number: int) -> Consent:
    return Consent(patch=f"p{number}", zone="z", instance="service-17")


async def _measure_idle(request: ExperimentRequest, scale: str) -> dict[str, float]:
    """Return what the busiest node of an idle fleet spends on control."""
    deployment = request.deployment
    if scale == "latency":
        deployment = read_deployment(LATENCY_DEPLOYMENT)
    else:
        deployment = deployment.scale(scale)
    fleet = Fleet(deployment=deployment, folder=request.folder / scale, policy=POLICY)
    async with run_fleet(fleet):
        await asyncio.sleep(5)
        pids = [running.node.pid for running in fleet.instances.values()]
        before = [(read_cpu_s(pid), _read_bytes(pid)) for pid in pids]
        await asyncio.sleep(IDLE_S)
        rows = [
            (read_cpu_s(pid) - cpu_s, _read_bytes(pid) - size)
            for pid, (cpu_s, size) in zip(pids, before, strict=True)
        ]
        memory_mb = max(map(read_memory_mb, pids))
    return {
        "peers": len(pids),
        "cpu_percent": 100 * max(row[0] for row in rows) / IDLE_S,
        "bytes_per_s": max(row[1] for row in rows) / IDLE_S,
        "memory_mb": memory_mb,
    }


def _read_bytes(pid: int) -> float:
    """Return the bytes that a process has read and written in system calls."""
    with open(f"/proc/{pid}/io", encoding="ascii") as file:
        rows = dict(line.split(": ") for line in file.read().splitlines())
    return float(rows["rchar"]) + float(rows["wchar"])
