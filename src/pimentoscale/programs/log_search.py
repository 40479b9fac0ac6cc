"""Search of collected log files for the lines of one request."""

import json
from dataclasses import dataclass
from pathlib import Path

# Starts the node's own line; a log collector may write a prefix before it.
JSON_START = "{"


@dataclass(slots=True, kw_only=True, frozen=True)
class LogLine:
    """A line of a node's log; `origin` is the prefix that the log collector wrote."""

    time: str
    part: str
    request: str
    message: str
    origin: str


def parse_line(text: str) -> LogLine | None:
    """Return the parsed line, or None if it is not a line of a node's log."""
    start = text.find(JSON_START)
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
    except json.JSONDecodeError:
        return None
    if not isinstance(fields, dict) or "message" not in fields:
        return None
    return LogLine(
        time=str(fields.get("time", "")),
        part=str(fields.get("part", "")),
        request=str(fields.get("request") or ""),
        message=str(fields["message"]),
        origin=text[:start].strip(),
    )


def find_lines(*, request: str, paths: list[Path]) -> list[LogLine]:
    """Return the log lines of a request in all files, in order of time.

    Raises `OSError` for a file that can't be read.
    """
    lines: list[LogLine] = []
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            for text in file:
                if request not in text:
                    continue
                line = parse_line(text)
                if line is not None and line.request == request:
                    lines.append(line)
    return sorted(lines, key=lambda line: line.time)
