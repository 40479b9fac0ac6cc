"""Decoding of bytes that another program has written.

msgspec raises other errors than its own for some input: `RecursionError` for deep
nesting, `ValueError` for bytes that are not UTF-8 or numbers with too many digits.
"""

from typing import Any, Protocol, TypeVar

import msgspec
from result import Err, Ok, Result

# The largest number that every reader and writer of a record can represent.
MAX_INTEGER = 2**63 - 1
# Decoding errors may quote their input, which may be long.
MAX_REASON_CHARS = 200

T = TypeVar("T")
T_co = TypeVar("T_co", covariant=True)


class Decoder(Protocol[T_co]):
    """A decoder of msgspec, for JSON or msgpack."""

    def decode(self, buf: Any, /) -> T_co:
        """Return the decoded value."""


def decode(decoder: Decoder[T], data: bytes | memoryview) -> Result[T, str]:
    """Return the decoded value, or why the bytes can't be decoded."""
    try:
        return Ok(decoder.decode(data))
    except (msgspec.MsgspecError, ValueError, OverflowError, RecursionError) as error:
        return Err(str(error)[:MAX_REASON_CHARS])
