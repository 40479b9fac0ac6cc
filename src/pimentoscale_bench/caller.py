"""A stand-in for callers: sends calls, resubmits with tickets, records outcomes."""

import asyncio
import json
import random
import time
from dataclasses import dataclass, field

import xxhash

from pimentoscale.call import (
    Body,
    BodyTruncatedError,
    CallRequest,
    Header,
    collect_body,
)
from pimentoscale.ingress import head
from pimentoscale.settings import Address
from pimentoscale.upstream import (
    ConnectionPool,
    UpstreamConnectionError,
    UpstreamUnreachableError,
)
from pimentoscale_bench.deployment import KindPlan

CONNECTIONS = 2000
DIGEST_HEX = 32
TICKET_REQUIRED_STATUS = 428
LOST = "lost"
# Distinguishes the submissions of one request in the upstreams' records. Upstreams copy
# the header to their sub-calls.
SUBMISSION_HEADER = b"x-submission"
MAX_SUBMISSIONS = 4
RESUBMIT_PAUSE_S = 0.2
BODIES_PER_KIND = 4
LOST_ERRORS = (UpstreamConnectionError, UpstreamUnreachableError, BodyTruncatedError)


@dataclass(slots=True, kw_only=True)
class Attempt:
    """One submission of a caller and its outcome.

    Times are wall-clock times in seconds, as in the upstreams' records. `outcome` is
    `LOST` if no complete answer arrived.
    """

    request: str
    submission: str
    kind: str
    started: float
    ended: float
    outcome: str
    error: str = ""
    is_intact: bool = True
    version: int = 0
    retries_spent: int = 0
    ticket: str = ""

    @property
    def seconds(self) -> float:
        """Return the duration of the exchange in seconds."""
        return self.ended - self.started


@dataclass(slots=True, kw_only=True)
class CallRecord:
    """One call of a caller; the outcome of its last submission is that of the call."""

    request: str
    kind: str
    started: float
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def last(self) -> Attempt:
        """Return the last submission."""
        return self.attempts[-1]

    @property
    def seconds(self) -> float:
        """Return the seconds from the first submission to the end of the last one."""
        return self.last.ended - self.started


class Caller:
    """Sends calls to entry nodes, each submission to one chosen at random.

    `immediate_retries` bounds the retries of an idempotent call, which are sent without
    a pause. `prefix` begins the ids of this caller's requests and submissions.
    """

    def __init__(
        self,
        *,
        entry_nodes: list[Address],
        kinds: dict[str, KindPlan],
        rng: random.Random,
        name: str = "director",
        prefix: str = "r",
        immediate_retries: int = 0,
    ) -> None:
        self._entry_pools = [
            ConnectionPool(address=address, limit=CONNECTIONS)
            for address in entry_nodes
        ]
        self._kinds = kinds
        self._rng = rng
        self._name = name
        self._prefix = prefix
        self._immediate_retries = immediate_retries
        self._bodies: dict[str, list[bytes]] = {}
        self._count = 0
        self._sent = 0
        self.calls: list[CallRecord] = []

    async def call(
        self, kind: str, *, submissions: int = MAX_SUBMISSIONS
    ) -> CallRecord:
        """Send one call and return its record.

        A non-idempotent call is submitted again until it is answered or has failed. An
        idempotent call is retried without a pause up to `immediate_retries` times, as
        by a caller that retries aggressively. At most `submissions` + 1 exchanges are
        made, the one that returns a ticket included.
        """
        self._count += 1
        request = f"{self._prefix}-{self._count}"
        record = CallRecord(request=request, kind=kind, started=time.time())
        body = self._choose_body(kind)
        ticket = ""
        for _ in range(submissions + 1):
            attempt = await self.send(kind, request, body, ticket)
            if attempt.error == "ticket_required":
                ticket = attempt.ticket
                continue
            record.attempts.append(attempt)
            if attempt.outcome == "answered" or self._is_final(kind, record):
                break
            if self._kinds[kind].idempotent:
                continue
            ticket = attempt.ticket or ticket
            await asyncio.sleep(RESUBMIT_PAUSE_S * (0.5 + self._rng.random()))
        if record.attempts:
            self.calls.append(record)
        return record

    def _choose_body(self, kind: str) -> bytes:
        """Return one of a few bodies, reused since large ones take time to generate."""
        bodies = self._bodies.setdefault(kind, [])
        if len(bodies) < BODIES_PER_KIND:
            bodies.append(self._rng.randbytes(self._kinds[kind].body_bytes))
            return bodies[-1]
        return self._rng.choice(bodies)

    def _is_final(self, kind: str, record: CallRecord) -> bool:
        if self._kinds[kind].idempotent:
            return len(record.attempts) > self._immediate_retries
        return record.last.outcome == "failed"

    async def send(self, kind: str, request: str, body: bytes, ticket: str) -> Attempt:
        """Send one submission, check its answer and return the attempt."""
        pool = self._rng.choice(self._entry_pools)
        self._sent += 1
        attempt = Attempt(
            request=request,
            submission=f"{self._prefix}.{self._sent}",
            kind=kind,
            started=time.time(),
            ended=0.0,
            outcome=LOST,
        )
        call = CallRequest(
            method="POST",
            path=f"/call/run/{kind}",
            headers=self._make_headers(attempt, ticket),
            body=Body.of(body),
            body_bytes=len(body),
        )
        try:
            await self._submit(pool, call, attempt, body)
        except LOST_ERRORS as error:
            attempt.error = str(error)
        attempt.ended = time.time()
        return attempt

    def close(self) -> None:
        """Close the connections."""
        for pool in self._entry_pools:
            pool.close()

    def _make_headers(self, attempt: Attempt, ticket: str) -> list[Header]:
        headers = [
            (head.KIND, attempt.kind.encode()),
            (head.REQUEST, attempt.request.encode()),
            (head.CALLER, self._name.encode()),
            (SUBMISSION_HEADER, attempt.submission.encode()),
        ]
        if ticket:
            headers.append((head.TICKET, ticket.encode()))
        return headers

    async def _submit(
        self, pool: ConnectionPool, call: CallRequest, attempt: Attempt, body: bytes
    ) -> None:
        connection = await pool.acquire()
        try:
            answer = await pool.send(
                connection=connection, request=call, extra_headers=()
            )
            data = await collect_body(answer.body)
        finally:
            if not connection.is_idle:
                connection.close()
            pool.release(connection)
        headers = dict(answer.headers)
        attempt.outcome = headers.get(head.OUTCOME, b"none").decode()
        attempt.error = headers.get(head.ERROR, b"").decode()
        attempt.version = int(headers.get(head.VERSION, b"0"))
        attempt.retries_spent = int(headers.get(head.RETRIES_SPENT, b"0"))
        attempt.ticket = headers.get(head.TICKET, b"").decode()
        if attempt.outcome == "answered":
            attempt.is_intact = is_answer_intact(data, attempt.request, body)


def is_answer_intact(data: bytes, request: str, body: bytes) -> bool:
    """Return whether an answer matches its digest and belongs to the request."""
    content, digest = data[:-DIGEST_HEX], data[-DIGEST_HEX:]
    if xxhash.xxh3_128_hexdigest(content).encode() != digest:
        return False
    head_line = json.loads(content.split(b"\n", 1)[0])
    expected = xxhash.xxh3_128_hexdigest(body)
    return bool(
        head_line["request"] == request and head_line["body_digest"] == expected
    )


@dataclass(slots=True, kw_only=True, frozen=True)
class Phase:
    """A phase of a load: `rate` calls per second for `seconds`."""

    rate: float
    seconds: float


async def generate_load(
    caller: Caller,
    *,
    phases: list[Phase],
    weights: dict[str, float],
    rng: random.Random,
) -> None:
    """Send calls with Poisson arrivals, as an open-loop load generator.

    Calls start at their times whether or not earlier ones were answered. `weights`
    gives each kind's weight in the load. Returns when every call has ended.
    """
    loop = asyncio.get_running_loop()
    kinds, kind_weights = list(weights), list(weights.values())
    running: set[asyncio.Task[CallRecord]] = set()
    due = loop.time()
    for phase in phases:
        end = due + phase.seconds
        while due < end:
            due += rng.expovariate(phase.rate)
            await asyncio.sleep(max(0.0, due - loop.time()))
            kind = rng.choices(kinds, kind_weights)[0]
            task = asyncio.create_task(caller.call(kind))
            running.add(task)
            task.add_done_callback(running.discard)
    if running:
        await asyncio.wait(running)
