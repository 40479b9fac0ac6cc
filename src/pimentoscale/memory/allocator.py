"""Settings of the C library's allocator."""

import contextlib
import ctypes

# Parameter of `mallopt` for the size from which blocks are mapped on their own.
M_MMAP_THRESHOLD = -3
MAPPED_BYTES = 256 * 1024


def configure_allocator() -> None:
    """Have large blocks returned to the system as soon as they are freed.

    The GNU C library raises this threshold once such a block is freed: later blocks
    would then come from the heap, which keeps its size.
    """
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES)
