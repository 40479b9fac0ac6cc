"""Takes the steps of a sidecar's stop by the rule of `pimentoscale.shutdown`."""

import asyncio
from collections.abc import Callable

from pimentoscale.forwarding.forwarder import Forwarder
from pimentoscale.forwarding.receiver import Receiver
from pimentoscale.forwarding.state import SidecarState
from pimentoscale.forwarding.target import LocalTarget
from pimentoscale.http import HttpServer
from pimentoscale.logs import get_logger
from pimentoscale.shutdown import send_last_answers

# The steps of a stop, in seconds after it began.

# The other nodes are notified. Until then the local target is used as before, since
# another target may be in another zone; most requests end within the time left then.
NOTIFY_NODES_S = 1.2
# Requests of other nodes are refused: a node without a stream to this one was not
# notified.
REFUSE_NODES_S = 1.6
# Each response closes its connection.
CLOSE_CONNECTIONS_S = 2.2
# The platform has moved callers away, which takes two failed readiness checks, one
# second apart. The node may end once it is idle.
CALLERS_MOVED_S = 2.6
# Requests of callers that were not moved away are refused.
REFUSE_CALLERS_S = 3.0

# With a grace period shorter than this, other nodes are notified and refused sooner in
# proportion.
FULL_GRACE_S = 6.0
STOP_POLL_S = 0.05

log = get_logger("sidecar")


class GracefulStop:
    """Takes the steps of a stop, then waits until the node owes no answer.

    `server` serves callers and the local target. `on_draining` is called when the other
    nodes are notified, and `on_stopped` at the end, within the grace period.
    """

    __slots__ = (
        "_forwarder",
        "_on_draining",
        "_on_stopped",
        "_receiver",
        "_server",
        "_state",
        "_target",
    )

    def __init__(
        self,
        *,
        state: SidecarState,
        forwarder: Forwarder,
        target: LocalTarget,
        receiver: Receiver,
        server: HttpServer,
        on_draining: Callable[[], None],
        on_stopped: Callable[[], None],
    ) -> None:
        self._state = state
        self._forwarder = forwarder
        self._target = target
        self._receiver = receiver
        self._server = server
        self._on_draining = on_draining
        self._on_stopped = on_stopped

    async def run(self) -> None:
        """Take each step at its time; return once the node may end."""
        loop = asyncio.get_running_loop()
        shutdown = self._state.shutdown
        shutdown.begin(grace_s=self._state.settings.stop_grace_s, now=loop.time())
        while True:
            now = loop.time()
            # The settings may change meanwhile.
            shutdown.set_grace(self._state.settings.stop_grace_s)
            self._state.time_limits.set_stop(shutdown.answers_due_at)
            self._take_steps(shutdown.get_elapsed_s(now=now))
            if now >= shutdown.targets_due_at:
                self._target.refuse_waiting(detail="the node stops")
            owed = self._count_owed()
            if shutdown.may_end(owed=owed, now=now, earliest_s=CALLERS_MOVED_S):
                if shutdown.is_closed or owed:
                    break
                # A request that has just been read is still answered.
                shutdown.is_closed = True
            await asyncio.sleep(STOP_POLL_S)
        owed = await send_last_answers(self._count_owed)
        await self._receiver.finish_streams(ends_at=shutdown.ends_at)
        if owed:
            log.warning("grace period over: stopping with %d answers owed", owed)
        self._server.close_idle()
        log.info("stopped after %.2f s", shutdown.get_elapsed_s(now=loop.time()))
        self._on_stopped()

    def _take_steps(self, elapsed_s: float) -> None:
        scale = min(1.0, self._state.settings.stop_grace_s / FULL_GRACE_S)
        if elapsed_s >= scale * NOTIFY_NODES_S and not self._state.is_draining:
            self._state.is_draining = True
            self._receiver.send_draining()
            self._on_draining()
        if elapsed_s >= scale * REFUSE_NODES_S:
            self._receiver.is_refusing = True
        if elapsed_s >= REFUSE_CALLERS_S:
            self._state.refuses_callers = True
        if elapsed_s >= CLOSE_CONNECTIONS_S:
            self._server.close_after_response()

    def _count_owed(self) -> int:
        """Return how many answers this node owes, to whomever it took requests from.

        A request counts once for each part of this node that handles it.
        """
        return (
            self._forwarder.in_progress
            + self._target.in_progress
            + self._server.busy_connections
            + self._receiver.in_progress
        )
