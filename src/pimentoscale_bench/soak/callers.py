"""Callers that keep their connections until these end."""

import asyncio
import random
from dataclasses import dataclass

from pimentoscale.http import (
    HttpClient,
    HttpClientConnection,
    HttpResponse,
    IncompleteResponseError,
    NotConnectedError,
)
from pimentoscale.settings import Address
from pimentoscale_bench.soak.deployment import (
    SoakDeployment,
    SoakNode,
    is_whole,
    make_request,
)
from pimentoscale_bench.soak.record import Exchange

DEADLINE_S = 2.0
# A caller waits a little longer than it says, so that a late answer is seen.
PATIENCE_S = 1.0
PAUSE_S = 0.1
ROUTES = ("a", "b", "c", "once")


async def send_once(address: Address, path: str) -> HttpResponse:
    """Send one request on a connection of its own and return the answer.

    Raises `NotConnectedError`, `IncompleteResponseError` or `TimeoutError`.
    """
    loop = asyncio.get_running_loop()
    client = HttpClient(address=address, limit=1)
    connection = await client.acquire(now=loop.time())
    try:
        return await connection.exchange(
            make_request(
                path=path, identity=f"probe{path}", method=b"GET", remaining_ms=1500
            ),
            expires_at=loop.time() + DEADLINE_S,
        )
    finally:
        connection.close()


@dataclass(slots=True, kw_only=True)
class SoakCaller:
    """Sends one request after the other to one node."""

    soak: SoakDeployment
    node: SoakNode
    name: str
    source: random.Random
    sent: int = 0

    async def run(self) -> None:
        """Send requests until it is cancelled."""
        loop = asyncio.get_running_loop()
        client = HttpClient(address=self.node.get_address("callers_relay"), limit=1)
        connection: HttpClientConnection | None = None
        while True:
            await asyncio.sleep(self.source.uniform(0, 2 * PAUSE_S))
            if connection is None or not connection.is_usable(now=loop.time()):
                try:
                    connection = await client.acquire(now=loop.time())
                except NotConnectedError:
                    # The node is down; there is no request yet.
                    continue
            await self._exchange(connection)
            client.release(connection, now=loop.time())

    async def _exchange(self, connection: HttpClientConnection) -> None:
        loop = asyncio.get_running_loop()
        self.sent += 1
        route = self.source.choice(ROUTES)
        item = Exchange(
            identity=f"{self.name}-{self.sent}",
            node=self.node.name,
            repeatable=route != "once",
            sent_at=loop.time(),
        )
        path = f"/{route}/{item.identity}"
        request = make_request(
            path=path,
            identity=item.identity,
            method=b"GET" if item.repeatable else b"POST",
            remaining_ms=int(DEADLINE_S * 1000),
        )
        self.soak.record.exchanges.append(item)
        try:
            response = await connection.exchange(
                request, expires_at=loop.time() + DEADLINE_S + PATIENCE_S
            )
        except (IncompleteResponseError, NotConnectedError, TimeoutError) as error:
            item.detail = str(error) or "no answer in time"
        else:
            item.status = response.status
            if response.status == 200:
                item.is_whole = is_whole(response, path=path, identity=item.identity)
                item.detail = f"answer {response.body[:60]!r}"
        item.ended_at = loop.time()
