"""The ASGI endpoint of calls."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

from result import Err, Ok

from pimentoscale.call import Answer, Body, BodyTruncatedError, CallRequest
from pimentoscale.dispatch.stopping import refuse_for_stop
from pimentoscale.errors import ANSWERS, CallError, ErrorKind
from pimentoscale.ingress.entry import CallEntry
from pimentoscale.ingress.head import CallHead, read_head, write_head
from pimentoscale.logs import get_logger
from pimentoscale.node.state import NodeState

Message = Any
Receive = Callable[[], Awaitable[Any]]
Send = Callable[[Any], Awaitable[None]]

CALL_PATH_PREFIX = "/call"

log = get_logger("endpoint")


class CallEndpoint:
    """Decodes calls from HTTP requests and writes their answers."""

    def __init__(
        self, *, state: NodeState, entry: CallEntry, rng: random.Random
    ) -> None:
        self._state = state
        self._entry = entry
        self._rng = rng
        self.in_progress = 0

    async def serve(self, scope: Message, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        self.in_progress += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self.in_progress -= 1

    async def _serve(self, scope: Message, receive: Receive, send: Send) -> None:
        client = scope.get("client") or ("unknown", 0)
        match read_head(scope["headers"], peer=client[0]):
            case Err(error):
                await self._write(Answer.of_error(error), send)
                return
            case Ok(head):
                pass
        if head.content_length > self._state.settings.max_body_bytes:
            error = CallError(kind=ErrorKind.BODY_TOO_LARGE)
            await self._write(Answer.of_error(error), send)
            return
        try:
            async with self._state.time_limits.limit():
                first = await receive()
        except TimeoutError:
            await self._write(refuse_for_stop(has_ticket=bool(head.ticket)), send)
            return
        if first["type"] != "http.request":
            return
        if not first.get("more_body"):
            body = Body.of(first.get("body", b""))
            await self._handle(scope, head, body, send)
            return
        await self._serve_streaming(scope, head, first, receive, send)

    async def _serve_streaming(
        self,
        scope: Message,
        head: CallHead,
        first: Message,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve a call while its body is still being received."""
        body = Body()
        limit = self._state.settings.max_body_bytes
        receiving = asyncio.create_task(_receive_body(first, receive, body, limit))
        try:
            await self._handle(scope, head, body, send)
        finally:
            receiving.cancel()

    async def _handle(
        self, scope: Message, head: CallHead, body: Body, send: Send
    ) -> None:
        request = CallRequest(
            method=scope["method"],
            path=_get_path(scope),
            headers=head.forwarded_headers,
            body=body,
            body_bytes=head.content_length,
        )
        answer = await self._entry.handle(head, request)
        await self._write(answer, send)

    async def _write(self, answer: Answer, send: Send) -> None:
        body = answer.body
        if body.is_complete:
            data = body.take_buffered() or _format_error(answer)
            await self._send_head(answer, send, length=len(data))
            await send({"type": "http.response.body", "body": data})
            return
        chunks = body.__aiter__()
        try:
            data = await anext(chunks, b"")
        except BodyTruncatedError as error:
            damaged = CallError(kind=ErrorKind.ANSWER_DAMAGED, detail=str(error))
            await self._write(Answer.of_error(damaged), send)
            return
        await self._send_head(answer, send, length=_get_length(answer))
        await send({"type": "http.response.body", "body": data, "more_body": True})
        # An incomplete body raises here: the server then aborts the connection, so that
        # the caller can't mistake a truncated answer for a complete one.
        async for data in chunks:
            await send({"type": "http.response.body", "body": data, "more_body": True})
        await send({"type": "http.response.body", "body": b""})

    async def _send_head(self, answer: Answer, send: Send, *, length: int) -> None:
        headers = write_head(
            answer,
            version=self._state.version,
            is_confirmed=self._state.is_confirmed,
            rng=self._rng,
        )
        if length >= 0:
            headers.append((b"content-length", b"%d" % length))
        if self._state.shutdown.has_begun:
            headers.append((b"connection", b"close"))
        start = {
            "type": "http.response.start",
            "status": answer.status,
            "headers": headers,
        }
        await send(start)


async def _receive_body(
    first: Message, receive: Receive, body: Body, limit: int
) -> None:
    """Copy the chunks of a request's body into `body` as they arrive."""
    message = first
    size = 0
    try:
        while True:
            if message["type"] != "http.request":
                body.fail("the caller left")
                return
            chunk = message.get("body", b"")
            size += len(chunk)
            if size > limit:
                body.fail(f"the body exceeds {limit} bytes")
                return
            await body.put(chunk)
            if not message.get("more_body"):
                body.finish()
                return
            message = await receive()
    except BodyTruncatedError:
        log.debug("request body discarded: its reader has stopped")


def _get_path(scope: Message) -> str:
    """Return the path of the upstream's request, with its query."""
    raw = scope.get("raw_path") or scope["path"].encode()
    path: str = raw.decode("latin-1")
    path = path.removeprefix(CALL_PATH_PREFIX) or "/"
    query = scope.get("query_string", b"")
    return f"{path}?{query.decode('latin-1')}" if query else path


def _get_length(answer: Answer) -> int:
    """Return the length of the answer's body, or -1 if it is unknown."""
    for name, value in answer.headers:
        if name == b"content-length":
            return int(value)
    return -1


def _format_error(answer: Answer) -> bytes:
    """Return a readable line as the body of an error that has none."""
    if answer.error is None:
        return b""
    text = answer.error.detail or ANSWERS[answer.error.kind].text
    return f"{answer.error.kind.value}: {text}\n".encode()
