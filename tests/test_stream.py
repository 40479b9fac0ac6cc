"""Tests of the frames and their codec."""

import contextlib
from typing import Any

import msgpack
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentoscale.stream import Cancel, Frame, FrameError, Hello, decode_frame
from pimentoscale.stream.codec import (
    FRAME_HEADER,
    MAX_FRAME_BYTES,
    FrameReader,
    encode_frame,
)
from pimentoscale.stream.frames import FRAMES

VALUES: dict[Any, st.SearchStrategy[Any]] = {
    int: st.integers(0, 2**63),
    str: st.text(max_size=20),
    bytes: st.binary(max_size=50),
    bool: st.booleans(),
    list[bytes]: st.lists(st.binary(max_size=9), max_size=3),
    list[str]: st.lists(st.text(max_size=9), max_size=3),
    dict[str, int]: st.dictionaries(st.text(max_size=9), st.integers(0, 2**40)),
    dict[str, tuple[int, int]]: st.dictionaries(
        st.text(max_size=9), st.tuples(st.integers(0, 9), st.integers(0, 9))
    ),
    list[tuple[bytes, bytes, int, int]]: st.lists(
        st.tuples(
            st.binary(max_size=9),
            st.binary(max_size=9),
            st.integers(0, 9),
            st.integers(0, 9),
        ),
        max_size=3,
    ),
    list[list[bytes]]: st.lists(
        st.lists(st.binary(max_size=9), min_size=2, max_size=2), max_size=3
    ),
}


def build_frames() -> st.SearchStrategy[Frame]:
    strategies = []
    for frame_class in FRAMES.values():
        fields = {
            field.name: VALUES[field.type]
            for field in msgspec.structs.fields(frame_class)
        }
        strategies.append(st.builds(frame_class, **fields))
    return st.one_of(strategies)


@given(frames=st.lists(build_frames(), max_size=5), piece_bytes=st.integers(1, 40))
def test_frames_survive_any_split_of_the_stream(
    frames: list[Frame], piece_bytes: int
) -> None:
    data = b"".join(map(encode_frame, frames))
    reader = FrameReader()
    decoded = [
        frame
        for start in range(0, len(data), piece_bytes)
        for frame in reader.feed(data[start : start + piece_bytes])
    ]
    assert decoded == frames


@given(code=st.sampled_from([*FRAMES, 0, 255]), data=st.binary(max_size=200))
def test_garbage_gives_frames_or_a_frame_error(code: int, data: bytes) -> None:
    for stream in (data, FRAME_HEADER.pack(len(data), code) + data):
        try:
            for frame in FrameReader().feed(stream):
                assert isinstance(frame, Frame)
        except FrameError:
            pass


@given(
    code=st.sampled_from(list(FRAMES)),
    item=st.recursive(
        st.none() | st.booleans() | st.integers(-5, 5) | st.binary() | st.text(),
        lambda inner: st.lists(inner, max_size=20),
    ),
)
def test_any_item_gives_a_frame_or_a_frame_error(code: int, item: Any) -> None:
    with contextlib.suppress(FrameError):
        assert isinstance(decode_frame(code, msgpack.packb(item)), FRAMES[code])


@pytest.mark.parametrize(
    ("code", "item"),
    [
        (5, 1),
        (5, "x"),
        (5, []),
        (99, [1]),
        (5, ["1"]),
        (5, [1, 2]),
        (5, [True]),
        (5, [1.0]),
        (5, {"a": 1}),
        (5, {"call": 1}),
        (3, [1, "not bytes", True, b""]),
    ],
)
def test_invalid_frame_is_an_error(code: int, item: Any) -> None:
    with pytest.raises(FrameError):
        decode_frame(code, msgpack.packb(item))


def test_frame_over_the_limit_is_an_error_before_it_has_arrived() -> None:
    with pytest.raises(FrameError):
        list(FrameReader().feed(FRAME_HEADER.pack(MAX_FRAME_BYTES + 1, 5)))


def test_known_frame_is_decoded() -> None:
    assert decode_frame(5, msgpack.packb([7])) == Cancel(call=7)
    hello = Hello(protocol=1, instance="i", incarnation=2, zone="z")
    assert list(FrameReader().feed(encode_frame(hello))) == [hello]
