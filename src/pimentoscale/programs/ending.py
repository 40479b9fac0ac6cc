"""The run of a program on an event loop, and the end of its process."""

import os
import sys
from collections.abc import Coroutine
from typing import Any, NoReturn

import uvloop

EXIT_STOPPED = 0


def run_to_exit(serving: Coroutine[Any, Any, None]) -> NoReturn:
    """Run a program to its end, and end its process at once.

    The interpreter's finalization is left out: it restores the default actions of
    signals, so that a further one kills the process, and it frees all objects one by
    one, for which a short grace period has no time.
    """
    uvloop.run(serving)
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(EXIT_STOPPED)
