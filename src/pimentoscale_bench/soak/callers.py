"""Callers with keep-alive connections, each reused until it is closed."""

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
    USUAL_KEY,
    SoakDeployment,
    SoakNode,
    is_answer_intact,
    is_signed,
    make_request,
)
from pimentoscale_bench.soak.record import Exchange

DEADLINE_S = 2.0
# A caller waits this much longer than the deadline it sends, so that a late answer is
# recorded and does not count as lost.
DEADLINE_MARGIN_S = 1.0
MEAN_PAUSE_S = 0.1
# Share of the requests with a key that may have been taken away.
LEAVING_SHARE = 0.2
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
    """Sends requests to one node, one at a time, with random pauses.

    `sent` counts them; the exchanges are recorded in the deployment's record.
    """

    deployment: SoakDeployment
    node: SoakNode
    name: str
    rng: random.Random
    sent: int = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        loop = asyncio.get_running_loop()
        client = HttpClient(address=self.node.get_address("callers_relay"), limit=1)
        connection: HttpClientConnection | None = None
        while True:
            await asyncio.sleep(self.rng.uniform(0, 2 * MEAN_PAUSE_S))
            if connection is None or not connection.is_usable(now=loop.time()):
                try:
                    connection = await client.acquire(now=loop.time())
                except NotConnectedError:
                    # The node is down, and no request was sent.
                    continue
            await self._exchange(connection)
            client.release(connection, now=loop.time())

    async def _exchange(self, connection: HttpClientConnection) -> None:
        loop = asyncio.get_running_loop()
        self.sent += 1
        route = self.rng.choice(ROUTES)
        key = USUAL_KEY
        if self.rng.random() < LEAVING_SHARE:
            key = self.rng.choice(self.deployment.leaving_keys[-2:])
        now = loop.time()
        exchange = Exchange(
            identity=f"{self.name}-{self.sent}",
            node=self.node.name,
            is_idempotent=route != "once",
            sent_at=now,
            deadline=now + DEADLINE_S,
            key=key,
        )
        path = f"/{route}/{exchange.identity}"
        request = make_request(
            path=path,
            identity=exchange.identity,
            method=b"GET" if exchange.is_idempotent else b"POST",
            remaining_ms=int(DEADLINE_S * 1000),
            key=key,
        )
        self.deployment.record.exchanges.append(exchange)
        try:
            response = await connection.exchange(
                request, expires_at=loop.time() + DEADLINE_S + DEADLINE_MARGIN_S
            )
        except (IncompleteResponseError, NotConnectedError, TimeoutError) as error:
            exchange.detail = str(error) or "no answer in time"
        else:
            exchange.status = response.status
            exchange.is_signed = is_signed(response)
            if response.status == 200:
                exchange.is_intact = is_answer_intact(
                    response, path=path, identity=exchange.identity
                )
                exchange.detail = f"answer {response.body[:60]!r}"
        exchange.ended_at = loop.time()
