"""Prints the tables of CAPACITY.md from the measured slopes in slopes.json."""

import json
from pathlib import Path

NODES = 18_000
SERVICES = 2_000
ZONES = 17
CALLS_PER_S = 1_700_000
PATCHES_PER_DAY = 7_100
RESTARTS_PER_DAY = 3_400
DAY_S = 86_400
TREE_DEGREE = 8
SERVICES_CALLED = 4
NON_IDEMPOTENT_PART = 0.1
TICKET_KEPT_S = 180
EVENT_BYTES = 400
KEPT_EVENTS = 4_096
ANNOUNCEMENTS_PER_RESTART = 3
LOG_APPENDS_PER_S = 300
RETENTION_H = 1

BOUND_CPU_PERCENT = 4.3
BOUND_MEMORY_MB = 64
BOUND_BYTES_PER_S = 16_000
MB = 1024 * 1024


def load() -> tuple[dict[str, dict[str, float]], dict[str, float]]:
    """Return the fitted slopes and the fixed costs."""
    path = Path(__file__).parent / "slopes.json"
    report = json.loads(path.read_text(encoding="utf-8"))
    return report["policies"]["slopes"], report["policies"]["fixed"]


def at(line: dict[str, float], x: float) -> float:
    """Return the value of a fitted line, never below 0."""
    return max(0.0, line["start"] + line["slope"] * x)


def main() -> None:
    """Print the tables."""
    slopes, fixed = load()
    zone = NODES / ZONES
    calls = CALLS_PER_S / NODES
    call_peers = SERVICES_CALLED * NODES / SERVICES
    peers = call_peers + TREE_DEGREE + 1 + 3
    patches = PATCHES_PER_DAY / DAY_S
    announced = RESTARTS_PER_DAY * ANNOUNCEMENTS_PER_RESTART / DAY_S

    print(f"nodes in a zone                     {zone:10.0f}")
    print(f"calls a second at each target       {calls:10.1f}")
    print(f"connections of a node               {peers:10.0f}")
    print()
    print("Processor time for control, in percent of a core")
    idle = at(slopes["idle_cpu_percent"], peers)
    fold = 100 * patches * at(slopes["patch_us"], SERVICES) / 1e6
    consents = 100 * patches * ZONES * fixed["heartbeat_us"] / 1e6
    member = (
        100 * announced * (fixed["announcement_us"] + at(slopes["plan_us"], zone)) / 1e6
    )
    rows = {
        "heartbeats and ticks": idle,
        "folding patches": fold,
        "consents": consents,
        "announcements of members": member,
    }
    print_rows(rows, BOUND_CPU_PERCENT)
    print("Bytes a second for control")
    patch_bytes = 300 + ZONES * fixed["consent_bytes"]
    rows = {
        "heartbeats": at(slopes["idle_bytes_per_s"], peers),
        "records passed on": patches * patch_bytes * (1 + TREE_DEGREE),
        "announcements of members": announced
        * fixed["announcement_bytes"]
        * (1 + TREE_DEGREE),
    }
    print_rows(rows, BOUND_BYTES_PER_S)
    print("Resident memory in MB")
    tickets = calls * NON_IDEMPOTENT_PART * TICKET_KEPT_S
    rows = {
        "process with its connections": at(slopes["memory_mb"], peers),
        "directory of all members": at(slopes["directory_bytes"], NODES) / MB,
        "configuration": at(slopes["configuration_bytes"], SERVICES) / MB,
        "time line": EVENT_BYTES * KEPT_EVENTS / MB,
        "witness and home entries": 2 * at(slopes["witness_bytes"], tickets) / MB,
    }
    print_rows(rows, BOUND_MEMORY_MB)
    print("Appends a second to the platform's log")
    per_hour = 2 * ZONES * 4 / RETENTION_H
    rows = {
        "patches and consents": patches * (1 + ZONES),
        "announcements": 2 * RESTARTS_PER_DAY / DAY_S,
        "rosters and snapshots": per_hour / 3600,
    }
    print_rows(rows, LOG_APPENDS_PER_S)
    print("Worst hours")
    restart_s = NODES / LOG_APPENDS_PER_S
    lost_ms = zone * fixed["announcement_us"] / 1000
    snapshot_mb = at(slopes["snapshot_bytes"], SERVICES) / MB
    print(f"  mass restart, one append a node   {restart_s:10.0f} s")
    print(f"  zone lost, time at each node      {lost_ms:10.1f} ms")
    print(f"  snapshot for a restarted node     {snapshot_mb:10.2f} MB")
    most = (BOUND_CPU_PERCENT - slopes["idle_cpu_percent"]["start"]) / slopes[
        "idle_cpu_percent"
    ]["slope"]
    print(f"  connections at {BOUND_CPU_PERCENT}% of a core       {most:10.0f}")


def print_rows(rows: dict[str, float], bound: float) -> None:
    """Print rows with their sum and the bound."""
    for name, value in rows.items():
        print(f"  {name:33} {value:10.3f}")
    verdict = "fits" if sum(rows.values()) <= bound else "DOES NOT FIT"
    print(f"  {'sum':33} {sum(rows.values()):10.3f} of {bound}: {verdict}")
    print()


if __name__ == "__main__":
    main()
