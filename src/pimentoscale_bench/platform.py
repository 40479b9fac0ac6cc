"""pimento-platform: a stand-in for the platform's log service, with faults."""

import asyncio
import time
from collections import defaultdict
from dataclasses import dataclass, field, replace
from typing import Annotated, Any

import cyclopts
import msgspec
import uvicorn
from litestar import Litestar, Request, Response, get, post
from litestar.datastructures import State

app = cyclopts.App(name="pimento-platform", help=__doc__)

MAX_PAGE = 500


@dataclass(slots=True, kw_only=True)
class LogFaults:
    """What goes wrong for now."""

    is_down: bool = False
    delay_ms: int = 0
    lost_answers: int = 0
    retention_s: float = 3600.0


@dataclass(slots=True, kw_only=True)
class _Stream:
    first: int = 0
    records: list[bytes] = field(default_factory=list)
    times: list[float] = field(default_factory=list)
    arrived: asyncio.Event = field(default_factory=asyncio.Event)


class LogService:
    """Streams of records in memory."""

    def __init__(self) -> None:
        self.faults = LogFaults()
        self._streams: dict[str, _Stream] = defaultdict(_Stream)
        self.appends = 0

    def append(self, name: str, data: bytes, *, now: float) -> int:
        """Append a record and return its offset."""
        stream = self._streams[name]
        stream.records.append(data)
        stream.times.append(now)
        stream.arrived.set()
        stream.arrived = asyncio.Event()
        self.appends += 1
        return stream.first + len(stream.records) - 1

    async def read(
        self, name: str, offset: int, wait_ms: int
    ) -> tuple[int, list[bytes]]:
        """Return the first offset and the records from there on."""
        stream = self._streams[name]
        if offset >= stream.first + len(stream.records) and wait_ms > 0:
            try:
                await asyncio.wait_for(stream.arrived.wait(), wait_ms / 1000)
            except TimeoutError:
                return offset, []
        first = max(offset, stream.first)
        start = first - stream.first
        return first, stream.records[start : start + MAX_PAGE]

    def expire(self, *, now: float) -> None:
        """Drop the records that are older than the retention."""
        for stream in self._streams.values():
            limit = now - self.faults.retention_s
            dropped = sum(at < limit for at in stream.times)
            del stream.records[:dropped]
            del stream.times[:dropped]
            stream.first += dropped


def _send_json(item: Any, status: int = 200) -> Response[bytes]:
    data = msgspec.json.encode(item)
    return Response(data, status_code=status, media_type="application/json")


async def _suffer(service: LogService) -> Response[bytes] | None:
    if service.faults.delay_ms:
        await asyncio.sleep(service.faults.delay_ms / 1000)
    if service.faults.is_down:
        return _send_json({"error": "down"}, 503)
    return None


@post("/streams/{name:str}/records", status_code=200)
async def append_record(
    name: str, request: Request[Any, Any, Any], state: State
) -> Response[bytes]:
    """Append the body as one record."""
    service: LogService = state.service
    if (failure := await _suffer(service)) is not None:
        return failure
    offset = service.append(name, await request.body(), now=time.monotonic())
    if service.faults.lost_answers > 0:
        service.faults.lost_answers -= 1
        return _send_json({"error": "lost"}, 504)
    return _send_json({"offset": offset})


@get("/streams/{name:str}/records")
async def read_records(
    name: str, request: Request[Any, Any, Any], state: State
) -> Response[bytes]:
    """Return a page of records from an offset on."""
    service: LogService = state.service
    if (failure := await _suffer(service)) is not None:
        return failure
    query = request.query_params
    service.expire(now=time.monotonic())
    first, records = await service.read(
        name, int(query.get("from", 0)), int(query.get("wait_ms", 0))
    )
    if service.faults.is_down:
        return _send_json({"error": "down"}, 503)
    return _send_json({"first": first, "records": records})


@post("/faults", status_code=200)
async def set_faults(request: Request[Any, Any, Any], state: State) -> Response[bytes]:
    """Change what goes wrong; keys that are absent stay as they are."""
    service: LogService = state.service
    service.faults = replace(service.faults, **(await request.json()))
    return _send_json(msgspec.to_builtins(service.faults))


@get("/counts")
async def get_counts(state: State) -> Response[bytes]:
    """Return how many records were appended."""
    return _send_json({"appends": state.service.appends})


@app.default
def run(
    *,
    host: str = "127.0.0.1",
    port: Annotated[int, cyclopts.Parameter(help="TCP port")] = 7000,
) -> None:
    """Run the stand-in until it is stopped."""
    application = Litestar(
        route_handlers=[append_record, read_records, set_faults, get_counts],
        state=State({"service": LogService()}),
        openapi_config=None,
        logging_config=None,
    )
    uvicorn.run(
        application,
        host=host,
        port=port,
        loop="uvloop",
        http="httptools",
        log_level="warning",
        access_log=False,
        timeout_graceful_shutdown=1,
    )


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
