"""pimento: the operator's command.

Exit codes: 0 success, or the patch is in force; 2 invalid file or argument; 3 patch
rejected for its base version; 4 patch rejected by a check; 5 patch rejected since a
zone did not consent; 6 no verdict in time; 7 a node is not reachable or answered with
an error.
"""

import getpass
import json
import secrets
import sys
import time
from enum import Enum
from pathlib import Path
from typing import Annotated, Any

import cyclopts
import msgspec
from result import Err, Ok
from rich.console import Console
from rich.table import Table

from pimentoscale.configuration import Patch, Rejection, read_patch
from pimentoscale.distribution.patches import (
    IN_FORCE,
    REJECTED,
    PatchSubmission,
)
from pimentoscale.programs.client import NodeClient, fetch_events
from pimentoscale.programs.log_search import find_lines
from pimentoscale.programs.timeline_page import render_timeline
from pimentoscale.timeline import Event, merge_events
from pimentoscale.timeline.clock import extract_wall_ms

EXIT_BAD_INPUT = 2
EXIT_NO_VERDICT = 6
VERDICT_TIMEOUT_S = 10.0
VERDICT_POLL_S = 0.05
CONSOLE_WIDTH_COLUMNS = 140
PATCH_ID_BYTES = 8
CANDIDATE_COLUMNS = (
    "instance",
    "zone",
    "limit",
    "in_flight",
    "queue_ms",
    "load_age_ms",
    "expected_ms",
    "why not",
)
EXIT_CODES = {
    Rejection.STALE_BASE.value: 3,
    Rejection.BASE_AHEAD.value: 3,
    Rejection.ANOTHER_PENDING.value: 3,
    Rejection.FAILED_CHECK.value: 4,
    Rejection.NO_CONSENT.value: 5,
}

Node = Annotated[
    str, cyclopts.Parameter(help="HTTP address of any node", env_var="PIMENTO_NODE")
]
Json = Annotated[bool, cyclopts.Parameter(name="--json", help="print JSON")]


class Format(Enum):
    """Output formats of a time line."""

    TEXT = "text"
    JSON = "json"
    HTML = "html"


app = cyclopts.App(name="pimento", help=__doc__)
config = cyclopts.App(name="config", help="Read and change the configuration.")
app.command(config)
console = Console() if sys.stdout.isatty() else Console(width=CONSOLE_WIDTH_COLUMNS)


@app.command
def trace(request: str, logs: list[Path], /) -> None:
    """Print the lines of a request in collected log files, in order of time."""
    try:
        lines = find_lines(request=request, paths=logs)
    except OSError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)
    for line in lines:
        print(f"{line.time} {line.origin} {line.message}".strip())
    if not lines:
        print(f"no log line found for request {request}", file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)


@app.command(name="explain")
def explain_request(
    host: str,
    path: str,
    /,
    *,
    node: Node,
    key_file: Path | None = None,
    json: Json = False,
) -> None:
    """Tell where a request would go now and why, without sending it.

    `node` is the metrics address of a node on the users' platform. The file holds the
    key of an organisation, which is not printed.
    """
    question: dict[str, str] = {"host": host, "path": path}
    if key_file is not None:
        try:
            question["key"] = key_file.read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as error:
            print(f"the key can't be read: {error}", file=sys.stderr)
            sys.exit(EXIT_BAD_INPUT)
    answer = NodeClient(address=node).post("/explain", question)
    if json:
        _print_json(answer)
        return
    _print_explanation(answer)


@config.command
def show(*, node: Node, json: Json = False) -> None:
    """Print the configuration in force and its version."""
    current = NodeClient(address=node).get("/control/configuration")
    if json:
        _print_json(current)
        return
    console.print(
        f"version {current['version']} is in force (offset {current['offset']})"
    )
    console.print_json(data=current["configuration"])


@config.command
def log(*, node: Node, json: Json = False) -> None:
    """Print the history of versions: when, by whom and why each came into force."""
    history = NodeClient(address=node).get("/control/configuration")["history"]
    if json:
        _print_json(history)
        return
    table = Table("version", "when", "submitter", "message", "patch")
    for entry in history:
        at = time.strftime("%F %T", time.gmtime(entry["at_ms"] / 1000))
        row = (at, entry["submitter"], entry["message"], entry["patch"])
        table.add_row(str(entry["version"]), *row)
    console.print(table)


@config.command
def diff(older: int, newer: int, *, node: Node, json: Json = False) -> None:
    """Print the changes between two versions."""
    history = NodeClient(address=node).get("/control/configuration")["history"]
    changes = [entry for entry in history if older < entry["version"] <= newer]
    if len(changes) != newer - older:
        print("the node does not have all of these versions", file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)
    if json:
        _print_json(changes)
        return
    for entry in changes:
        console.print(f"version {entry['version']}: {entry['message']}")
        console.print_json(data=entry["change"])


@config.command
def submit(
    file: Path,
    *,
    node: Node,
    message: str = "",
    id: str = "",
    wait: bool = True,
) -> None:
    """Submit a patch and wait for its verdict.

    It is safe to submit a patch again with the same id.
    """
    match read_patch(path=file):
        case Err(faults):
            for fault in faults:
                print(fault, file=sys.stderr)
            sys.exit(EXIT_BAD_INPUT)
        case Ok(patch):
            pass
    submission = _make_submission(patch, id, message)
    client = NodeClient(address=node)
    client.post("/control/patches", submission)
    if not wait:
        console.print(submission.id)
        return
    sys.exit(_wait_verdict(client, submission.id))


@config.command
def verdict(id: str, *, node: Node, json: Json = False) -> None:
    """Print the verdict on a patch."""
    status = NodeClient(address=node).get(f"/control/patches/{id}")
    if json:
        _print_json(status)
        return
    sys.exit(_print_verdict(status))


@config.command
def explain(kind: str, *, node: Node, json: Json = False) -> None:
    """Print a kind's declaration and targets, and a node's refusals of it by reason."""
    client = NodeClient(address=node)
    declared = client.get("/control/configuration")["configuration"]["kinds"]
    if kind not in declared:
        print(f"unknown kind {kind}; declared: {sorted(declared)}", file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)
    status = client.get("/control/status")
    service = declared[kind]["service"]
    explanation = {
        "declared": declared[kind],
        "refusals": _select_refusals(status, kind),
        "targets": [item for item in status["targets"] if item["service"] == service],
    }
    if json:
        _print_json(explanation)
        return
    console.print_json(data=explanation)


@app.command
def status(*, node: Node, json: Json = False) -> None:
    """Print all instances with their versions, limits, loads and refusals."""
    members = NodeClient(address=node).get("/control/status")["members"]
    rows = [_fetch_status(member) for member in members]
    if json:
        _print_json(rows)
        return
    columns = ("instance", "zone", "service", "state", "version", "running")
    table = Table(*columns, "queued", "limit", "retries", "refusals")
    for row in rows:
        table.add_row(
            *(str(row.get(name, "")) for name in columns), *_format_counts(row)
        )
    console.print(table)


@app.command
def timeline(
    *,
    node: Node,
    request: str = "",
    kind: str = "",
    instance: str = "",
    last_s: float = 0.0,
    format: Format = Format.TEXT,
    output: Path | None = None,
) -> None:
    """Print the events of all processes, merged in causal order."""
    since = int((time.time() - last_s) * 1000) << 16 if last_s else 0
    streams, unreachable = fetch_events(
        node, request=request, kind=kind, instance=instance, since=since
    )
    events = list(merge_events(streams))
    for name in unreachable:
        print(f"no answer from {name}: its events are missing", file=sys.stderr)
    text = _format_events(events, format)
    if output is not None:
        output.write_text(text, encoding="utf-8")
    else:
        print(text)


@app.command
def drain(instance: str, *, node: Node) -> None:
    """Drain an instance: refuse new calls and stop once running ones have ended."""
    members = NodeClient(address=node).get("/control/status")["members"]
    addresses = {member["instance"]: member["http"] for member in members}
    if instance not in addresses:
        print(
            f"unknown instance {instance}; known: {sorted(addresses)}", file=sys.stderr
        )
        sys.exit(EXIT_BAD_INPUT)
    NodeClient(address=addresses[instance]).post("/control/drain")
    console.print(f"{instance} is draining")


def _make_submission(patch: Patch, id: str, message: str) -> PatchSubmission:
    return PatchSubmission(
        id=id or secrets.token_hex(PATCH_ID_BYTES),
        base=patch.base,
        submitter=getpass.getuser(),
        message=message,
        set=patch.set,
        remove=patch.remove,
    )


def _wait_verdict(client: NodeClient, patch: str) -> int:
    deadline = time.monotonic() + VERDICT_TIMEOUT_S
    while time.monotonic() < deadline:
        status = client.get(f"/control/patches/{patch}")
        if status["state"] in (IN_FORCE, REJECTED):
            return _print_verdict(status)
        time.sleep(VERDICT_POLL_S)
    print(f"no verdict on patch {patch} yet; check with: config verdict {patch}")
    return EXIT_NO_VERDICT


def _print_verdict(status: dict[str, Any]) -> int:
    """Print a verdict and return the exit code for it."""
    if status["state"] == IN_FORCE:
        console.print(f"in force as version {status['version']} in every zone")
        return 0
    if status["state"] == REJECTED:
        console.print(f"rejected, {status['reason']}: {status['detail']}")
        return EXIT_CODES[status["reason"]]
    missing = ", ".join(status["missing"])
    console.print(f"{status['state']}; no consent yet from: {missing}")
    return EXIT_NO_VERDICT


def _select_refusals(status: dict[str, Any], kind: str) -> dict[str, int]:
    prefix = f"{kind}:"
    return {
        label.removeprefix(prefix): count
        for label, count in status["refusals"].items()
        if label.startswith(prefix)
    }


def _fetch_status(member: dict[str, Any]) -> dict[str, Any]:
    """Return a member with the status of its node, or marked silent if unreachable."""
    if member["state"] == "gone":
        return member
    try:
        status = NodeClient(address=member["http"]).get("/control/status")
    except SystemExit:
        return member | {"state": "silent"}
    keys = ("version", "running", "queued", "limit", "retries", "refusals")
    return member | {key: status[key] for key in keys}


def _format_counts(row: dict[str, Any]) -> list[str]:
    refusals = sum(row.get("refusals", {}).values())
    return [str(row.get(key, "")) for key in ("queued", "limit", "retries")] + [
        str(refusals)
    ]


def _print_explanation(answer: dict[str, Any]) -> None:
    console.print(
        f"{answer['node']}, version {answer['version']}: {answer['verdict']} "
        f"{answer['detail']}".rstrip()
    )
    if answer["route"]:
        console.print(
            f"route {answer['route']}, idempotent: {answer['idempotent']}, "
            f"organisation: {answer['organisation'] or 'none'}, "
            f"admitted share: {answer['admitted_share']:.2f}"
        )
    for service, candidates in answer["candidates"].items():
        table = Table(*CANDIDATE_COLUMNS, title=f"service {service}")
        for item in candidates:
            reasons = [*item["penalties"], item["left_out"]]
            cells = [str(item[name]) for name in CANDIDATE_COLUMNS[:-1]]
            table.add_row(*cells, ", ".join(filter(None, reasons)))
        console.print(table)


def _format_events(events: list[Event], output_format: Format) -> str:
    if output_format is Format.HTML:
        return render_timeline(events)
    if output_format is Format.JSON:
        return "\n".join(msgspec.json.encode(event).decode() for event in events)
    return "\n".join(map(_format_event, events))


def _format_event(event: Event) -> str:
    ms = extract_wall_ms(event.clock)
    at = time.strftime("%T", time.gmtime(ms / 1000)) + f".{ms % 1000:03d}"
    fields = (event.name, event.request, event.kind, event.detail)
    return f"{at} {event.instance:16} " + " ".join(field for field in fields if field)


def _print_json(value: object) -> None:
    print(json.dumps(value, indent=2))


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
