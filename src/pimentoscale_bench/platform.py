"""pimento-platform: a stand-in for the platform's store, with fault injection.

It implements the part of the platform's protocol that the nodes use: append with `at`,
read with wait, and the newest record of each key of a keyed topic. It can return from
an older copy of its records; every answer states how often it has done so. Answers are
sent in parts of random sizes.
"""

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import replace
from typing import Annotated, Any

import cyclopts
import msgspec
import uvicorn
from litestar import Litestar, Request, Response, get, post
from litestar.datastructures import State
from litestar.response import Stream

from pimentoscale_bench.store_service import (
    MAX_READ_KB,
    MAX_RECORD_BYTES,
    StoreConditionError,
    StoreGoneError,
    StoreService,
    split_records,
)

app = cyclopts.App(name="pimento-platform", help=__doc__)
ERA_HEADER = "store-era"
# Only the operator writes here, whose records may be larger.
OPERATOR_TOPIC = "keyed.op"

Handler = Callable[[Request[Any, Any, Any], StoreService], Awaitable[Response[bytes]]]


def _answer_with_era(
    handler: Handler,
) -> Callable[[Request[Any, Any, Any], State], Awaitable[Stream]]:
    """Return a handler whose answers state the era, or never come in a silence."""

    async def handle(request: Request[Any, Any, Any], state: State) -> Stream:
        service: StoreService = state.service
        silences = service.silences
        response = None
        if not service.faults.is_silent:
            response = await handler(request, service)
        if response is None or service.faults.is_silent or silences != service.silences:
            await _wait_until_closed(request)
            response = _make_json_response({"error": "silent"}, 503)
        parts = service.split_answer(response.content)
        return Stream(
            _send_apart(parts),
            status_code=response.status_code,
            media_type=response.media_type,
            headers={
                ERA_HEADER: str(service.era),
                "content-length": str(len(response.content)),
            },
        )

    return handle


async def _send_apart(parts: list[bytes]) -> AsyncIterator[bytes]:
    """Yield parts so that each is sent before the next is there."""
    for part in parts:
        yield part
        await asyncio.sleep(0)


async def _wait_until_closed(request: Request[Any, Any, Any]) -> None:
    """Wait until the caller closes the connection."""
    while (await request.receive())["type"] != "http.disconnect":
        pass


def _make_json_response(content: Any, status: int = 200) -> Response[bytes]:
    data = msgspec.json.encode(content)
    return Response(data, status_code=status, media_type="application/json")


async def _inject_faults(service: StoreService) -> Response[bytes] | None:
    """Delay the call as configured; return the error response, if any."""
    if service.faults.delay_ms:
        await asyncio.sleep(service.faults.delay_ms / 1000)
    if service.faults.is_down:
        return _make_json_response({"error": "down"}, 503)
    if service.faults.reject_status:
        return _make_json_response({"error": "rejected"}, service.faults.reject_status)
    return None


@post("/v1/log-append", status_code=200)
@_answer_with_era
async def append_records(
    request: Request[Any, Any, Any], service: StoreService
) -> Response[bytes]:
    """Append the records of the body."""
    if (error := await _inject_faults(service)) is not None:
        return error
    query = request.query_params
    topic = query["topic"]
    at = int(query["at"]) if "at" in query else None
    records = split_records(await request.body())
    is_limited = topic != OPERATOR_TOPIC
    if is_limited and any(len(record) > MAX_RECORD_BYTES for record in records):
        return _make_json_response({"error": "a record is too large"}, 413)
    is_lost = service.faults.lost_answers > 0
    if is_lost:
        service.faults.lost_answers -= 1
        await asyncio.sleep(service.faults.late_ms / 1000)
    try:
        offset = service.append(topic, records, at=at, now=time.monotonic())
    except StoreConditionError:
        return _make_json_response({"end_offset": service.get_end(topic)}, 412)
    if is_lost:
        return _make_json_response({"error": "lost"}, 504)
    return _make_json_response({"offset": offset, "end_offset": service.get_end(topic)})


@get("/v1/log-read")
@_answer_with_era
async def read_records(
    request: Request[Any, Any, Any], service: StoreService
) -> Response[bytes]:
    """Return a page of records, starting at an offset."""
    if (error := await _inject_faults(service)) is not None:
        return error
    query = request.query_params
    topic = query["topic"]
    service.expire(now=time.monotonic())
    try:
        page = await service.read(
            topic,
            int(query["from"]),
            int(query["wait_ms"] or 0),
            max_kb=int(query.get("max_kb", MAX_READ_KB)),
        )
    except StoreGoneError:
        return _make_json_response({"first_offset": service.get_first(topic)}, 410)
    if service.faults.is_down:
        return _make_json_response({"error": "down"}, 503)
    return Response(page, media_type="application/octet-stream")


@get("/v1/log-newest")
@_answer_with_era
async def read_newest(
    request: Request[Any, Any, Any], service: StoreService
) -> Response[bytes]:
    """Return the newest record of each key."""
    if (error := await _inject_faults(service)) is not None:
        return error
    query = request.query_params
    page = service.describe_newest(query["topic"], after=query.get("after", ""))
    return _make_json_response(page)


@post("/faults", status_code=200)
async def set_faults(request: Request[Any, Any, Any], state: State) -> Response[bytes]:
    """Change the injected faults; keys that are absent keep their values.

    `forget` drops the log, and `lost_s` returns from a copy that is so old.
    """
    service: StoreService = state.service
    changes = await request.json()
    if changes.pop("forget", False):
        service.truncate()
    lost_s = changes.pop("lost_s", None)
    if lost_s is not None:
        service.return_older_copy(since=time.monotonic() - lost_s)
    service.set_faults(replace(service.faults, **changes))
    return _make_json_response(msgspec.to_builtins(service.faults))


@get("/counts")
async def get_counts(state: State) -> Response[bytes]:
    """Return the number of appends done."""
    return _make_json_response({"appends": state.service.appends})


def make_application(service: StoreService) -> Litestar:
    """Return the HTTP application of a stand-in."""
    return Litestar(
        route_handlers=[
            append_records,
            read_records,
            read_newest,
            set_faults,
            get_counts,
        ],
        state=State({"service": service}),
        openapi_config=None,
        logging_config=None,
    )


@app.default
def run(
    *,
    host: str = "127.0.0.1",
    port: Annotated[int, cyclopts.Parameter(help="TCP port")] = 7000,
) -> None:
    """Run the stand-in until it is stopped."""
    uvicorn.run(
        make_application(StoreService()),
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
