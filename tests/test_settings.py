"""Settings of a node, and the faults reported for an invalid file."""

from pathlib import Path
from typing import Any

import pytest
import tomli_w
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from pimentoscale.checking import convert_document
from pimentoscale.settings import NodeSettings, read_node_settings


def make_document() -> dict[str, Any]:
    return {
        "instance": "bookings-0",
        "zone": "ab-calgary",
        "http": {"host": "127.0.0.1", "port": 8080},
        "stream": {"host": "127.0.0.1", "port": 9080},
        "platform": {"host": "127.0.0.1", "port": 7000},
        "ticket_secret": "sixteen characters or more",
        "upstream": {
            "service": "bookings",
            "host": "127.0.0.1",
            "port": 7080,
            "slots": 10,
            "connections": 100,
        },
    }


def test_good_file_is_read(tmp_path: Path) -> None:
    path = tmp_path / "node.toml"
    path.write_text(tomli_w.dumps(make_document()))
    result = read_node_settings(path=path)
    assert isinstance(result, Ok)
    assert result.ok_value.upstream.slots == 10


def test_every_fault_is_reported(tmp_path: Path) -> None:
    document = make_document()
    document["http"]["port"] = 0
    document["upstream"]["slots"] = "many"
    document["color"] = "red"
    del document["zone"]
    path = tmp_path / "node.toml"
    path.write_text(tomli_w.dumps(document))
    result = read_node_settings(path=path)
    assert isinstance(result, Err)
    keys = {fault.key for fault in result.err_value}
    assert keys == {"http.port", "upstream.slots", "color", "zone"}


@pytest.mark.parametrize("text", ["= nothing", "\x00", "a = [1"])
def test_ill_formed_file_is_one_fault(tmp_path: Path, text: str) -> None:
    path = tmp_path / "node.toml"
    path.write_text(text)
    assert isinstance(read_node_settings(path=path), Err)


def test_missing_file_is_one_fault(tmp_path: Path) -> None:
    assert isinstance(read_node_settings(path=tmp_path / "none.toml"), Err)


SCALARS = st.one_of(st.none(), st.integers(), st.text(max_size=5), st.booleans())
TREES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)


@given(key=st.sampled_from(sorted(make_document())), value=TREES)
def test_any_value_is_read_or_reported(key: str, value: Any) -> None:
    document = make_document() | {key: value}
    result = convert_document(document=document, schema=NodeSettings)
    assert isinstance(result, Ok | Err)
