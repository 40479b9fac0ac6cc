"""pimento-sidecar: the node beside an upstream on the users' platform.

Exit codes: 0 after a graceful stop, 2 for faults in the settings.
"""

import asyncio
import os
import random
import signal
import sys
from pathlib import Path

import uvloop
from result import Err, Ok

from pimentoscale.forwarding.node import Sidecar, StoreTopics
from pimentoscale.forwarding.settings import SidecarSettings
from pimentoscale.garbage_collection import configure_garbage_collector
from pimentoscale.logs import configure_structured_logs, get_logger
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

EXIT_BAD_SETTINGS = 2
# How often the settings file is looked at; operators expect a change within seconds.
SETTINGS_POLL_S = 1.0

log = get_logger("sidecar")


def make_sidecar(
    settings: SidecarSettings, *, source: random.Random, now: float
) -> Sidecar:
    """Return a sidecar that speaks the platform's protocols."""
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
        announcements=handle_announcement,
        source=source,
        now=now,
    )


async def serve(settings: SidecarSettings, path: Path) -> None:
    """Serve until SIGTERM has let all requests end."""
    loop = asyncio.get_running_loop()
    configure_structured_logs()
    sidecar = make_sidecar(settings, source=random.Random(), now=loop.time())
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, sidecar.stop)
    loop.add_signal_handler(signal.SIGHUP, reload_settings, sidecar, path)
    await sidecar.start()
    configure_garbage_collector()
    watching = asyncio.create_task(watch_settings(sidecar, path))
    await sidecar.wait_stopped()
    watching.cancel()
    sidecar.close()


async def watch_settings(
    sidecar: Sidecar, path: Path, *, period_s: float = SETTINGS_POLL_S
) -> None:
    """Read the settings again when their file has changed without a signal."""
    seen = find_file_state(path)
    while True:
        await asyncio.sleep(period_s)
        state = find_file_state(path)
        if state not in (seen, None):
            seen = state
            reload_settings(sidecar, path)


def find_file_state(path: Path) -> tuple[int, int, int] | None:
    """Return what changes with a file's content; None while there is no file."""
    try:
        found = path.stat()
    except OSError as error:
        log.warning("settings file %s can't be looked at: %s", path, error)
        return None
    return found.st_ino, found.st_size, found.st_mtime_ns


def reload_settings(sidecar: Sidecar, path: Path) -> None:
    """Read the settings again; a file with faults changes nothing."""
    match read_sidecar_settings(path=path):
        case Err(faults):
            for fault in faults:
                log.warning("settings not reloaded: %s", fault)
        case Ok(settings):
            sidecar.reload(settings)


def main() -> None:
    """Run the program."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH))
    match read_sidecar_settings(path=path):
        case Err(faults):
            for fault in faults:
                print(fault, file=sys.stderr)
            sys.exit(EXIT_BAD_SETTINGS)
        case Ok(settings):
            uvloop.run(serve(settings, path))


if __name__ == "__main__":
    main()
