"""pimento-sidecar: the node process beside an upstream on the users' platform.

Exit codes: 0 after a graceful stop, 2 for faults in the settings.
"""

import asyncio
import os
import random
import signal
import sys
from dataclasses import replace
from pathlib import Path

from result import Err, Ok

from pimentoscale.forwarding.node import Sidecar, StoreTopics
from pimentoscale.forwarding.settings import SidecarSettings
from pimentoscale.garbage_collection import configure_garbage_collector
from pimentoscale.logs import configure_structured_logs, get_logger
from pimentoscale.memory import configure_allocator
from pimentoscale.platform.announcement_handler import handle_announcement
from pimentoscale.platform.configuration import (
    CONFIGURATION_KEY,
    decode_configuration,
)
from pimentoscale.platform.messages import PlatformMessages
from pimentoscale.platform.settings import (
    DEFAULT_PATH,
    SETTINGS_VARIABLE,
    read_sidecar_settings,
)
from pimentoscale.platform.store import (
    CONFIGURATION_TOPIC,
    MEMBERS_TOPIC,
    StoreClient,
)
from pimentoscale.programs.ending import run_to_exit

EXIT_BAD_SETTINGS = 2
# Names the limit of the requests at the upstream: one of these, the first by default.
LIMIT_VARIABLE = "PIMENTOSCALE_UPSTREAM_LIMIT"
LIMITS = ("aimd", "learned")
# Operators expect a change of the settings file to take effect within seconds.
SETTINGS_POLL_S = 1.0

# Inode, size and modification time of a file, which change with its content.
FileState = tuple[int, int, int]

log = get_logger("sidecar")


def make_sidecar(
    settings: SidecarSettings, *, rng: random.Random, now: float
) -> Sidecar:
    """Return a sidecar that uses the platform's protocols."""
    return Sidecar(
        settings=settings,
        messages=PlatformMessages(),
        store=StoreClient(address=settings.store),
        topics=StoreTopics(
            routes=CONFIGURATION_TOPIC,
            routes_key=CONFIGURATION_KEY,
            members=MEMBERS_TOPIC,
            decode_routes=decode_configuration,
        ),
        handle_announcement=handle_announcement,
        rng=rng,
        now=now,
    )


async def serve(
    settings: SidecarSettings, path: Path, *, file_state: FileState | None
) -> None:
    """Serve until SIGTERM or SIGINT, and then until all requests have ended.

    `file_state` is that of the settings file before the settings were read.
    """
    loop = asyncio.get_running_loop()
    configure_structured_logs()
    sidecar = make_sidecar(settings, rng=random.Random(), now=loop.time())
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, sidecar.stop)
    loop.add_signal_handler(signal.SIGHUP, reload_settings, sidecar, path)
    await sidecar.start()
    configure_garbage_collector()
    configure_allocator()
    watcher = asyncio.create_task(watch_settings(sidecar, path, last_state=file_state))
    await sidecar.wait_stopped()
    watcher.cancel()
    sidecar.close()


async def watch_settings(
    sidecar: Sidecar,
    path: Path,
    *,
    last_state: FileState | None,
    period_s: float = SETTINGS_POLL_S,
) -> None:
    """Reload the settings when their file has changed, without waiting for SIGHUP.

    `last_state` is the state of the file before it was last read.
    """
    while True:
        await asyncio.sleep(period_s)
        state = read_file_state(path)
        if state not in (last_state, None):
            last_state = state
            reload_settings(sidecar, path)


def read_file_state(path: Path) -> FileState | None:
    """Return the state of a file, or None if it can't be examined."""
    try:
        status = path.stat()
    except OSError as error:
        log.warning("stat of settings file %s failed: %s", path, error)
        return None
    return status.st_ino, status.st_size, status.st_mtime_ns


def reload_settings(sidecar: Sidecar, path: Path) -> None:
    """Reload the settings; keep the current ones if the file has faults."""
    match read_sidecar_settings(path=path):
        case Err(faults):
            for fault in faults:
                log.warning("settings not reloaded, fault in the file: %s", fault)
        case Ok(settings):
            sidecar.reload(settings)


def main() -> None:
    """Run the program."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH))
    file_state = read_file_state(path)
    match read_sidecar_settings(path=path):
        case Err(faults):
            for fault in faults:
                print(fault, file=sys.stderr)
            sys.exit(EXIT_BAD_SETTINGS)
        case Ok(settings):
            limit = os.environ.get(LIMIT_VARIABLE) or LIMITS[0]
            if limit not in LIMITS:
                allowed = ", ".join(LIMITS)
                print(
                    f"{LIMIT_VARIABLE}={limit!r}: allowed: {allowed}", file=sys.stderr
                )
                sys.exit(EXIT_BAD_SETTINGS)
            settings = replace(settings, limit_algorithm=limit)
            run_to_exit(serve(settings, path, file_state=file_state))


if __name__ == "__main__":
    main()
