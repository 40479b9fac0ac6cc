"""Encoding of frames by msgpack."""

import dataclasses
import typing
from collections.abc import Callable, Iterator
from operator import attrgetter
from typing import Any

import msgpack

from pimentoscale.stream.frames import CODES, FRAMES, Frame

# Forwarded bodies travel whole: the greatest that operators allow, and its head.
MAX_FRAME_BYTES = 68 * 1024 * 1024


class FrameError(Exception):
    """The bytes on a stream are not a frame of this protocol."""


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class _Layout:
    names: tuple[str, ...]
    types: tuple[type, ...]
    get_values: Callable[[Any], tuple[Any, ...]]


def _describe(frame: type[Frame]) -> _Layout:
    hints = typing.get_type_hints(frame)
    names = tuple(field.name for field in dataclasses.fields(frame))  # type: ignore[arg-type]
    types = tuple(typing.get_origin(hints[name]) or hints[name] for name in names)
    getter = attrgetter(*names)
    if len(names) == 1:
        return _Layout(names=names, types=types, get_values=lambda f: (getter(f),))
    return _Layout(names=names, types=types, get_values=getter)


_LAYOUTS = {frame: _describe(frame) for frame in CODES}


def encode_frame(frame: Frame) -> bytes:
    """Return the frame's bytes."""
    kind = type(frame)
    values = _LAYOUTS[kind].get_values(frame)
    packed: bytes = msgpack.packb((CODES[kind], *values))
    return packed


def decode_frame(item: object) -> Frame:
    """Return the frame that an unpacked item stands for.

    Raises `FrameError` if it is none, or a field has another type.
    """
    if not isinstance(item, list) or not item or not isinstance(item[0], int):
        raise FrameError("not a frame")
    kind = FRAMES.get(item[0])
    if kind is None:
        raise FrameError(f"unknown frame number {item[0]}")
    layout = _LAYOUTS[kind]
    values = item[1:]
    if tuple(map(type, values)) != layout.types:
        raise FrameError(f"malformed {kind.__name__}")
    return kind(**dict(zip(layout.names, values, strict=True)))


class FrameReader:
    """Takes bytes as they arrive and yields whole frames."""

    __slots__ = ("_unpacker",)

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(max_buffer_size=2 * MAX_FRAME_BYTES)

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yield the frames that `data` completes.

        Raises `FrameError` on anything that is not a frame.
        """
        try:
            self._unpacker.feed(data)
            for item in self._unpacker:
                yield decode_frame(item)
        except (ValueError, msgpack.UnpackException, msgpack.BufferFull) as error:
            raise FrameError(f"bytes are not msgpack: {error}") from error
