"""Frames and their codec."""

import dataclasses
from typing import Any

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentoscale.stream import Cancel, Frame, FrameError, Hello, decode_frame
from pimentoscale.stream.codec import FrameReader, encode_frame
from pimentoscale.stream.frames import FRAMES

VALUES: dict[Any, st.SearchStrategy[Any]] = {
    int: st.integers(0, 2**63),
    str: st.text(max_size=20),
    bytes: st.binary(max_size=50),
    bool: st.booleans(),
    list[bytes]: st.lists(st.binary(max_size=9), max_size=3),
    list[str]: st.lists(st.text(max_size=9), max_size=3),
    list[list[bytes]]: st.lists(
        st.lists(st.binary(max_size=9), min_size=2, max_size=2), max_size=3
    ),
}


def build_frames() -> st.SearchStrategy[Frame]:
    strategies = []
    for kind in FRAMES.values():
        fields = {
            field.name: VALUES[field.type]
            for field in dataclasses.fields(kind)  # type: ignore[arg-type]
        }
        strategies.append(st.builds(kind, **fields))
    return st.one_of(strategies)


@given(frames=st.lists(build_frames(), max_size=5), cut=st.integers(1, 40))
def test_frames_survive_any_split_of_the_stream(frames: list[Frame], cut: int) -> None:
    data = b"".join(map(encode_frame, frames))
    reader = FrameReader()
    found = [
        frame
        for start in range(0, len(data), cut)
        for frame in reader.feed(data[start : start + cut])
    ]
    assert found == frames


@given(data=st.binary(max_size=200))
def test_garbage_gives_frames_or_a_frame_error(data: bytes) -> None:
    try:
        for frame in FrameReader().feed(data):
            assert isinstance(frame, Frame)
    except FrameError:
        pass


@pytest.mark.parametrize(
    "item",
    [1, "x", [], [99, 1], [5], [5, "1"], [5, 1, 2], [True, 1], {"a": 1}],
)
def test_what_is_no_frame_is_an_error(item: Any) -> None:
    with pytest.raises(FrameError):
        decode_frame(msgpack.unpackb(msgpack.packb(item)))


def test_known_frame_is_decoded() -> None:
    assert decode_frame([5, 7]) == Cancel(call=7)
    hello = Hello(protocol=1, instance="i", incarnation=2, zone="z")
    assert list(FrameReader().feed(encode_frame(hello))) == [hello]
