"""pimento-node: the node process beside each upstream instance."""

import asyncio
import contextlib
import random
import signal
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import cyclopts
import uvicorn
import uvloop
from litestar import Litestar
from litestar.datastructures import State
from litestar.types import ASGIApp, Receive, Scope, Send
from result import Err, Ok

from pimentoscale.garbage_collection import configure_garbage_collector
from pimentoscale.ingress.control import CONTROL_HANDLERS
from pimentoscale.ingress.endpoint import CALL_PATH_PREFIX, CallEndpoint
from pimentoscale.logs import configure_logs, get_logger
from pimentoscale.node.node import Node
from pimentoscale.policy import get_policy, list_policies
from pimentoscale.settings import NodeSettings, read_node_settings

EXIT_BAD_SETTINGS = 2
BACKLOG = 4096

log = get_logger("node")
app = cyclopts.App(name="pimento-node", help=__doc__)


class _Server(uvicorn.Server):
    """Uvicorn server that leaves the handling of signals to the node."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


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
        http="httptools",
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
    await node.start()
    configure_garbage_collector()
    server_task = asyncio.create_task(server.serve())
    await node.wait_stopped()
    server.should_exit = True
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
    uvloop.run(serve(node_settings))


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
