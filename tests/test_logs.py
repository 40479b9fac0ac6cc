"""Structured log lines, their limits, and the search for a request in log files."""

import json
import logging
import os
from collections.abc import Iterator
from pathlib import Path

import pytest
from cyclopts import App

from pimentoscale import logs
from pimentoscale.programs.log_search import find_lines, parse_line
from pimentoscale.programs.operator import app


def make_line(request: str, time: str, message: str) -> str:
    fields = {"time": time, "part": "entry", "request": request, "message": message}
    return json.dumps(fields)


@pytest.fixture
def files(tmp_path: Path) -> Iterator[list[Path]]:
    first, second = tmp_path / "a.log", tmp_path / "b.log"
    first.write_text(
        "\n".join(
            [
                "   0.97 node-1 " + make_line("r1", "10:00:02", "answered 503"),
                make_line("r2", "10:00:03", "answered 200"),
                "not a line { of ours",
            ]
        )
    )
    second.write_text(make_line("r1", "10:00:01", "attempt refused") + "\n")
    yield [first, second]


def test_lines_of_a_request_are_found_in_order_of_time(files: list[Path]) -> None:
    lines = find_lines(request="r1", paths=files)
    assert [line.message for line in lines] == ["attempt refused", "answered 503"]
    assert lines[1].origin == "0.97 node-1"


@pytest.mark.parametrize("text", ["", "plain", "{", "{}", "[1]", '{"a": 1}'])
def test_lines_that_no_node_wrote_are_ignored(text: str) -> None:
    assert parse_line(text) is None


def test_command_prints_the_lines_and_fails_for_an_unknown_request(
    files: list[Path], capsys: pytest.CaptureFixture[str]
) -> None:
    command: App = app
    paths = [str(path) for path in files]
    command(["trace", "r1", *paths], result_action="return_value")
    assert "answered 503" in capsys.readouterr().out
    with pytest.raises(SystemExit) as exit_info:
        command(["trace", "r9", *paths], result_action="return_value")
    assert exit_info.value.code == 2


def test_lines_are_bounded_and_those_dropped_are_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    written: list[bytes] = []

    def write(descriptor: int, data: bytes) -> int:
        written.append(data)
        return len(data)

    monkeypatch.setattr(os, "write", write)
    handler = logs.BoundedHandler()
    record = logging.LogRecord("n", logging.INFO, "", 0, "line", (), None)
    for _ in range(int(logs.BURST_LINES) + 5000):
        handler.emit(record)
    handler.write_buffered()
    lines = b"".join(written).splitlines()
    assert len(lines) < logs.BURST_LINES + 1000
    assert b"lines dropped" in lines[-1]


def test_structured_line_of_a_request_has_its_fields(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    written: list[bytes] = []

    def write(descriptor: int, data: bytes) -> int:
        written.append(data)
        return len(data)

    monkeypatch.setattr(os, "write", write)
    handler = logs.BoundedHandler()
    monkeypatch.setattr(logs.structured_log, "handler", handler)
    log = logs.get_logger("entry")
    log.info("answered %d: %s", 503, "overloaded", request="r1")
    log.info("100% of a line without arguments")
    handler.write_buffered()
    first, second = map(json.loads, b"".join(written).splitlines())
    assert first.pop("time")
    assert first == {
        "level": "INFO",
        "part": "entry",
        "request": "r1",
        "message": "entry: answered 503: overloaded",
    }
    assert second["message"] == "entry: 100% of a line without arguments"


def test_blocked_standard_output_does_not_block_the_process(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def block(descriptor: int, data: bytes) -> int:
        raise BlockingIOError

    monkeypatch.setattr(os, "write", block)
    handler = logs.BoundedHandler()
    for _ in range(3 * logs.MAX_BUFFERED_LINES):
        handler.emit(logging.LogRecord("n", logging.INFO, "", 0, "line", (), None))
        handler.write_buffered()
    assert handler.count_buffered() <= logs.MAX_BUFFERED_LINES + 1
    written: list[bytes] = []

    def write(descriptor: int, data: bytes) -> int:
        written.append(data[:2])
        return 2

    monkeypatch.setattr(os, "write", write)
    for _ in range(4):
        handler.write_buffered()
    assert b"".join(written).startswith(b"line\nli")
