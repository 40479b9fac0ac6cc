"""A stand-in for a target on the platform's protocol, inside this process."""

import asyncio
import contextlib
import json
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from pimentoscale.http import (
    HttpClient,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    IncompleteResponseError,
    NotConnectedError,
)
from pimentoscale.settings import Address

ANNOUNCEMENT_INTERVAL_S = 0.2


@dataclass(slots=True, kw_only=True)
class TargetRecord:
    """Counts of a target's arrivals and runs by attempt id.

    `headers` holds the request headers of each id's last run, and `cancelled` the ids
    whose run was cancelled; `arrived_at` holds the times of all arrivals on the event
    loop's clock, in seconds.
    """

    runs: Counter[str] = field(default_factory=Counter)
    arrivals: Counter[str] = field(default_factory=Counter)
    headers: dict[str, dict[str, str]] = field(default_factory=dict)
    cancelled: set[str] = field(default_factory=set)
    arrived_at: list[float] = field(default_factory=list)

    @property
    def last_arrival(self) -> float:
        """Return the time of the last arrival, 0 if there was none."""
        return self.arrived_at[-1] if self.arrived_at else 0.0


RunHandler = Callable[[HttpRequest], Awaitable[HttpResponse | None]]


class StandInTarget:
    """Runs requests, announces itself to the local node, and records its runs.

    `run_handler` overrides the response of a run; if it returns None, the default
    response is sent. `announced_address` is announced instead of the target's own
    address, for example that of a relay. With `load_header` the responses have a load
    header with this value, and with `rate_header` one that states a rate limit. With
    `is_leaving` they state that the target is about to end.
    """

    def __init__(
        self,
        *,
        identity: str,
        service: str,
        zone: str,
        slots: int,
        control: Address,
        announced_address: Address | None = None,
        run_handler: RunHandler | None = None,
    ) -> None:
        self.identity = identity
        self.service = service
        self.zone = zone
        self.slots = slots
        self.control = control
        self.announced_address = announced_address
        self.run_handler = run_handler
        self.record = TargetRecord()
        self.running = 0
        self.run_s = 0.01
        self.state = "ready"
        self.load_header = b""
        self.rate_header = b""
        self.is_leaving = False
        self.born = 1
        self._sequence = 0
        self._server = HttpServer(handler=self._serve, limits=HttpLimits())
        self._client = HttpClient(address=control, limit=2)
        self._announcing: asyncio.Task[None] | None = None
        self.address = Address(host="127.0.0.1", port=1)

    async def start(self, address: Address) -> None:
        """Listen, and send an announcement every `ANNOUNCEMENT_INTERVAL_S` seconds."""
        self.address = address
        await self._server.start(host=address.host, port=address.port)
        self._announcing = asyncio.create_task(self._announce_regularly())

    async def announce(self) -> int:
        """Send one announcement and return the status of its acknowledgement.

        Raises `NotConnectedError` or `IncompleteResponseError`.
        """
        self._sequence += 1
        announcement = {
            "service": self.service,
            "address": str(self.announced_address or self.address),
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_s": 0,
            "sequence": self._sequence,
            "born": self.born,
        }
        return await self._send(b"PUT", json.dumps(announcement).encode())

    async def deregister(self) -> int:
        """Remove the target's announcement at the node and return the status.

        Raises `NotConnectedError` or `IncompleteResponseError`.
        """
        self.stop_announcing()
        return await self._send(b"DELETE", b"")

    def stop_announcing(self) -> None:
        """Stop the regular announcements."""
        if self._announcing is not None:
            self._announcing.cancel()

    def close(self) -> None:
        """Stop announcing and serving, and close the connections."""
        self.stop_announcing()
        self._server.close()
        self._client.close()

    async def _announce_regularly(self) -> None:
        while True:
            # The local node may not have started yet, or may have stopped.
            with contextlib.suppress(NotConnectedError, IncompleteResponseError):
                await self.announce()
            await asyncio.sleep(ANNOUNCEMENT_INTERVAL_S)

    async def _send(self, method: bytes, body: bytes) -> int:
        loop = asyncio.get_running_loop()
        request = HttpRequest(
            method=method,
            path=b"/v1/instances/" + self.identity.encode(),
            headers=[(b"host", b"x"), (b"content-type", b"application/json")],
            body=body,
        )
        connection = await self._client.acquire(now=loop.time())
        try:
            return (await connection.exchange(request)).status
        finally:
            self._client.release(connection, now=loop.time())

    async def _serve(self, request: HttpRequest) -> HttpResponse:
        identity = (request.find(b"attempt-id") or b"").decode()
        self.record.arrivals[identity] += 1
        self.record.arrived_at.append(asyncio.get_running_loop().time())
        headers = [(b"attempt-id", identity.encode())]
        if self.load_header:
            headers.append((b"instance-load", self.load_header))
        if self.rate_header:
            headers.append((b"server-limit", self.rate_header))
        if self.is_leaving:
            headers.append((b"server-leaving", b"1"))
        if (request.find(b"expected-instance") or b"").decode() != self.identity:
            return HttpResponse(status=421, headers=headers)
        if self.running >= self.slots:
            rejected = [*headers, (b"not-executed", b"1")]
            return HttpResponse(status=503, headers=rejected)
        self.record.runs[identity] += 1
        self.record.headers[identity] = {
            name.decode(): value.decode() for name, value in request.headers
        }
        self.running += 1
        try:
            response = await self.run_handler(request) if self.run_handler else None
            if response is None:
                await asyncio.sleep(self.run_s)
                body = b"%b ran %b %b" % (
                    self.identity.encode(),
                    request.path,
                    bytes(request.body),
                )
                signed = [*headers, (b"response-signature", b"s")]
                response = HttpResponse(status=200, headers=signed, body=body)
            return response
        except asyncio.CancelledError:
            self.record.cancelled.add(identity)
            raise
        finally:
            self.running -= 1
