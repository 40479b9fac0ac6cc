"""pimento-node: the node process beside each upstream instance."""

import asyncio
import contextlib
import math
import random
import signal
import socket
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import cyclopts
import uvicorn
from litestar import Litestar
from litestar.datastructures import State
from litestar.types import ASGIApp, Receive, Scope, Send
from result import Err, Ok
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from pimentoscale.garbage_collection import configure_garbage_collector
from pimentoscale.ingress.control import CONTROL_HANDLERS
from pimentoscale.ingress.endpoint import CALL_PATH_PREFIX, CallEndpoint
from pimentoscale.ingress.protocol import LimitedHttpProtocol
from pimentoscale.logs import configure_logs, get_logger
from pimentoscale.node.node import Node
from pimentoscale.policy import get_policy, list_policies
from pimentoscale.programs.ending import run_to_exit
from pimentoscale.settings import NodeSettings, read_node_settings

EXIT_BAD_SETTINGS = 2
BACKLOG = 4096
# Period of uvicorn's periodic work; it counts ten ticks a second.
TICK_PERIOD_S = 0.1
CLOSE_POLL_S = 0.01

log = get_logger("node")
app = cyclopts.App(name="pimento-node", help=__doc__)


class _Server(uvicorn.Server):
    """Uvicorn server that leaves the handling of signals and its end to the node."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._stopping = asyncio.Event()
        self._ends_at = math.inf

    def stop(self, *, ends_at: float) -> None:
        """Close all connections: those with an answer to send before `ends_at`."""
        self._ends_at = ends_at
        self.should_exit = True
        self._stopping.set()

    def count_owed(self) -> int:
        """Return on how many connections an answer is not sent whole."""
        return len(self._list_busy())

    def _list_busy(self) -> list[HttpToolsProtocol]:
        return [
            connection
            for connection in self.server_state.connections
            if isinstance(connection, HttpToolsProtocol) and _is_busy(connection)
        ]

    async def main_loop(self) -> None:
        """Update the default headers until the node has stopped."""
        counter = 0
        while not await self.on_tick(counter):
            counter += 1
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TICK_PERIOD_S):
                    await self._stopping.wait()

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        """Close the connections; abort those that are busy at the end of the stop."""
        loop = asyncio.get_running_loop()
        for server in self.servers:
            server.close()
        # Connections that were accepted in this turn of the loop join the others.
        await asyncio.sleep(0)
        for connection in list(self.server_state.connections):
            connection.shutdown()
        while self._list_busy() and loop.time() < self._ends_at:
            await asyncio.sleep(CLOSE_POLL_S)
        for connection in self._list_busy():
            connection.transport.abort()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


def _is_busy(connection: HttpToolsProtocol) -> bool:
    cycle = connection.cycle
    is_in_progress = cycle is not None and not cycle.response_complete
    return is_in_progress or connection.transport.get_write_buffer_size() > 0


def make_application(node: Node) -> ASGIApp:
    """Return the ASGI application, which passes calls directly to their endpoint.

    Only control requests go through Litestar's router, which would use up part of the
    delay that a node may add to a call.
    """
    endpoint: CallEndpoint = node.endpoint
    control = Litestar(
        route_handlers=CONTROL_HANDLERS,
        state=State({"node": node}),
        openapi_config=None,
        logging_config=None,
    )

    async def serve_request(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["path"].startswith(CALL_PATH_PREFIX):
            await endpoint.serve(scope, receive, send)
        else:
            await control(scope, receive, send)

    return serve_request


async def serve(settings: NodeSettings) -> None:
    """Run a node until a signal or a drain request has stopped it."""
    loop = asyncio.get_running_loop()
    algorithms = get_policy(settings.policy)
    assert algorithms is not None
    node = Node(
        settings=settings,
        algorithms=algorithms,
        rng=random.Random(),
        now=loop.time(),
    )
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, node.drain)
    await serve_node(node)


async def serve_node(node: Node) -> None:
    """Serve until the node is drained, and then until all calls have ended."""
    settings = node.state.settings
    config = uvicorn.Config(
        make_application(node),
        host=settings.http.host,
        port=settings.http.port,
        loop="uvloop",
        http=LimitedHttpProtocol,
        ws="none",
        lifespan="off",
        interface="asgi3",
        proxy_headers=False,
        server_header=False,
        log_config=None,
        access_log=False,
        backlog=BACKLOG,
        timeout_keep_alive=60,
    )
    server = _Server(config)
    node.count_http_owed = server.count_owed
    await node.start()
    configure_garbage_collector()
    server_task = asyncio.create_task(server.serve())
    await node.wait_stopped()
    server.stop(ends_at=node.state.shutdown.ends_at)
    await server_task
    node.close()


@app.default
def run(
    *,
    settings: Annotated[Path, cyclopts.Parameter(help="settings file in TOML")],
    check: Annotated[bool, cyclopts.Parameter(help="only check the file")] = False,
) -> None:
    """Run a node.

    Exit codes: 0 after a graceful stop, 2 for faults in the settings.
    """
    match read_node_settings(path=settings):
        case Err(faults):
            for fault in faults:
                print(fault, file=sys.stderr)
            sys.exit(EXIT_BAD_SETTINGS)
        case Ok(node_settings):
            pass
    if get_policy(node_settings.policy) is None:
        names = ", ".join(list_policies())
        print(
            f"policy: saw {node_settings.policy!r}; allowed: {names}", file=sys.stderr
        )
        sys.exit(EXIT_BAD_SETTINGS)
    if check:
        print(f"{settings}: no faults")
        return
    configure_logs(settings=node_settings.log)
    run_to_exit(serve(node_settings))


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
