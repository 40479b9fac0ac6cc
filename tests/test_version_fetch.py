"""A node that hears of a newer version fetches it from a peer."""

import asyncio
import json
from types import SimpleNamespace
from typing import Any, cast

from pimentoscale.forwarding.links import Links
from pimentoscale.forwarding.routes import RouteUpdater
from pimentoscale.forwarding.state import SidecarState
from pimentoscale.platform.configuration import decode_configuration
from pimentoscale.stream import Frame, Hello, PeerLostError, RoutesRecord
from pimentoscale.stream.frames import PROTOCOL_VERSION
from tests.sidecars import wait_until
from tests.test_platform import make_configuration

# The users' bound from the store's acknowledgement of a version to its use, in seconds.
CONFIG_BOUND_S = 2.0
# Peers state their versions once in this time.
HEARTBEAT_PERIOD_S = 1.0


class SilentPeer:
    """A peer that gives no answer in time."""

    async def query(
        self, frame: Frame, *, timeout_s: float, **options: Any
    ) -> RoutesRecord:
        await asyncio.sleep(timeout_s)
        raise PeerLostError("no answer")


class AnsweringPeer:
    """A peer that has a version of the routes."""

    def __init__(self, *, version: int) -> None:
        document = make_configuration()
        document["version"] = f"{version:08x}"
        self._data = json.dumps(document).encode()

    async def query(
        self, frame: Frame, *, timeout_s: float, **options: Any
    ) -> RoutesRecord:
        return RoutesRecord(query=0, data=self._data)


def make_hello(name: str) -> Hello:
    return Hello(protocol=PROTOCOL_VERSION, instance=name, incarnation=1, zone="z1")


def make_updater(peers: dict[str, Any]) -> tuple[RouteUpdater, SidecarState]:
    state = SidecarState(settings=cast(Any, SimpleNamespace()), incarnation=1)
    links = cast(Links, SimpleNamespace(find_peer=peers.get))
    updater = RouteUpdater(
        state=state, key=b"config", decode=decode_configuration, links=links
    )
    return updater, state


async def state_version(updater: RouteUpdater, name: str, version: int) -> None:
    """State a version as a peer does in its heartbeats."""
    while True:
        updater.start_fetch(make_hello(name), version)
        await asyncio.sleep(HEARTBEAT_PERIOD_S)


def test_version_is_fetched_in_time_though_the_first_peer_is_silent() -> None:
    """What other peers stated during the first fetch was ignored."""

    async def run() -> None:
        peers = {"silent": SilentPeer(), "other": AnsweringPeer(version=9)}
        updater, state = make_updater(peers)
        loop = asyncio.get_running_loop()
        began = loop.time()
        # All peers state a new version when they put it in force.
        updater.start_fetch(make_hello("silent"), 9)
        heartbeats = asyncio.create_task(state_version(updater, "other", 9))
        await wait_until(lambda: state.version == 9)
        heartbeats.cancel()
        assert loop.time() - began < CONFIG_BOUND_S

    asyncio.run(run())


def test_peer_that_does_not_answer_is_not_asked_again_at_once() -> None:
    async def run() -> None:
        updater, state = make_updater({"silent": SilentPeer()})
        updater.start_fetch(make_hello("silent"), 9)
        updater.start_fetch(make_hello("silent"), 9)
        await wait_until(lambda: not updater.is_fetching)
        assert state.version == 0

    asyncio.run(run())
