"""The experiment `slopes`: growth of resource use with the size of a deployment.

docs/CAPACITY.md is computed from the slopes and fixed costs that it reports.
"""

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
INTENT_COUNTS = (100, 10_000, 50_000)
IDLE_SCALES = ("latency", "small", "full")

# Pairs of a count and the resource use measured at it.
Points = list[tuple[float, float]]


@register_experiment("slopes")
async def run_slopes(request: ExperimentRequest) -> ExperimentReport:
    """Measure how state, messages and CPU time grow with members and services."""
    report = start_report(request, "slopes")
    slopes = {
        "directory_bytes": _measure_points(MEMBER_COUNTS, _measure_directory_bytes),
        "plan_us": _measure_points(ZONE_COUNTS, _time_find_parent),
        "configuration_bytes": _measure_points(
            SERVICE_COUNTS, _measure_configuration_bytes
        ),
        "snapshot_bytes": _measure_points(SERVICE_COUNTS, _measure_snapshot_bytes),
        "patch_us": _measure_points(SERVICE_COUNTS, _time_patch),
        "witness_bytes": _measure_points(INTENT_COUNTS, _measure_witness_bytes),
    }
    fixed = {
        "heartbeat_us": _time_heartbeat(),
        "heartbeat_bytes": len(encode_frame(_make_heartbeat())),
        "announcement_us": _time_announcement(),
        "announcement_bytes": len(encode_member(_make_member(1))),
        "consent_bytes": len(encode_record(_make_consent(1))),
        "ticket_us": _time_ticket(),
    }
    idle = [await _measure_idle(request, scale) for scale in IDLE_SCALES]
    slopes["idle_cpu_percent"] = [(row["peers"], row["cpu_percent"]) for row in idle]
    slopes["idle_bytes_per_s"] = [(row["peers"], row["bytes_per_s"]) for row in idle]
    slopes["memory_mb"] = [(row["peers"], row["memory_mb"]) for row in idle]
    report.policies["slopes"] = {
        name: {"points": points, **fit_line(points)} for name, points in slopes.items()
    }
    report.policies["fixed"] = {name: round(value, 3) for name, value in fixed.items()}
    return report


def fit_line(points: Points) -> dict[str, float]:
    """Return slope and intercept (`start`) of the least-squares line through points."""
    xs, ys = zip(*points, strict=True)
    slope, intercept = np.polyfit(xs, ys, 1)
    return {"slope": float(slope), "start": float(intercept)}


def _measure_points(counts: Iterable[int], measure: Callable[[int], float]) -> Points:
    return [(count, measure(count)) for count in counts]


def _measure_resident_bytes(build: str, count: int) -> float:
    """Return the resident memory of a structure, measured in a new process.

    `build` is the name of the function of this module that builds the structure.
    """
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


def _measure_directory_bytes(count: int) -> float:
    return _measure_resident_bytes("build_directory", count)


def _measure_configuration_bytes(count: int) -> float:
    return _measure_resident_bytes("build_fold", count)


def _measure_witness_bytes(count: int) -> float:
    return _measure_resident_bytes("build_witness", count)


def _measure_snapshot_bytes(count: int) -> float:
    return float(len(build_fold(count).make_snapshot(instance="i").state))


def _time_us(step: Callable[[], object], repeats: int) -> float:
    """Return the lowest mean time of a step over all batches, in microseconds.

    Each batch runs the step `repeats` times.
    """
    times_s = []
    for _ in range(BATCHES):
        started = time.perf_counter()
        for _ in range(repeats):
            step()
        times_s.append((time.perf_counter() - started) / repeats)
    return min(times_s) * 1e6


def _time_find_parent(count: int) -> float:
    names = [f"service-{number}" for number in range(count)]
    return _time_us(lambda: find_parent(names[0], names), 20)


def _time_patch(count: int) -> float:
    """Return the microseconds to apply a patch and its consent at `count` services."""
    fold = build_fold(count)

    def step() -> None:
        version = fold.version
        change = {"kinds": {"kind-0": {"importance": version % 100}}}
        record = _make_patch(f"p{version}", version, change)
        for data in (record, encode_record(_make_consent(version))):
            fold.apply(offset=fold.next_offset, data=data)

    return _time_us(step, 5)


def _time_heartbeat() -> float:
    reader = FrameReader()
    frame = _make_heartbeat()
    return _time_us(lambda: list(reader.feed(encode_frame(frame))), 2000)


def _time_announcement() -> float:
    directory = Directory()
    numbers = iter(range(10**9))

    def step() -> None:
        member = decode_member(encode_member(_make_member(next(numbers)))).unwrap()
        directory.apply(member, now=0.0)

    return _time_us(step, 500)


def _time_ticket() -> float:
    """Return the microseconds to issue, encode, decode and record a ticket."""
    issuer = TicketIssuer(secret="a secret for the slopes")
    identity = NodeIdentity(instance="i", incarnation=1)
    ledger = WitnessLedger(identity=identity)

    def step() -> None:
        ticket = issuer.decode(issuer.encode(_issue_ticket(issuer, identity))).unwrap()
        ledger.record_intent(ticket, now_ms=0)

    return _time_us(step, 500)


def build_directory(count: int) -> Directory:
    """Return a directory of `count` members, each decoded from its encoded form."""
    directory = Directory()
    for number in range(count):
        data = encode_member(_make_member(number))
        directory.apply(decode_member(data).unwrap(), now=0.0)
    return directory


def build_fold(count: int) -> Fold:
    """Return a fold whose version 1 declares `count` services with one kind each."""
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
    """Return a witness ledger that holds `count` intents."""
    issuer = TicketIssuer(secret="a secret for the slopes")
    identity = NodeIdentity(instance="i", incarnation=1)
    ledger = WitnessLedger(identity=identity)
    for _ in range(count):
        ledger.record_intent(_issue_ticket(issuer, identity), now_ms=0)
    return ledger


def _issue_ticket(issuer: TicketIssuer, identity: NodeIdentity) -> Any:
    return issuer.issue(
        request="r", caller="c", kind="k", home=identity, witness=identity, now_ms=0
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
    """Return the highest value of each measure among the nodes of an idle fleet."""
    deployment = request.deployment
    if scale == "latency":
        deployment = read_deployment(LATENCY_DEPLOYMENT)
    else:
        deployment = deployment.scale(scale)
    fleet = Fleet(deployment=deployment, folder=request.folder / scale, policy=POLICY)
    async with run_fleet(fleet):
        await asyncio.sleep(5)
        pids = [running.node.pid for running in fleet.instances.values()]
        before = [(read_cpu_s(pid), _read_io_bytes(pid)) for pid in pids]
        await asyncio.sleep(IDLE_S)
        used = [
            (read_cpu_s(pid) - cpu_s, _read_io_bytes(pid) - io_bytes)
            for pid, (cpu_s, io_bytes) in zip(pids, before, strict=True)
        ]
        memory_mb = max(map(read_memory_mb, pids))
    return {
        "peers": len(pids),
        "cpu_percent": 100 * max(row[0] for row in used) / IDLE_S,
        "bytes_per_s": max(row[1] for row in used) / IDLE_S,
        "memory_mb": memory_mb,
    }


def _read_io_bytes(pid: int) -> float:
    """Return the bytes that a process has read and written by system calls."""
    with open(f"/proc/{pid}/io", encoding="ascii") as file:
        rows = dict(line.split(": ") for line in file.read().splitlines())
    return float(rows["rchar"]) + float(rows["wchar"])
