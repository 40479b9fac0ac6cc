"""The ASGI endpoint of calls."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

from result import Err, Ok

from pimentoscale.call import Answer, Body, BodyTruncatedError, CallRequest
from pimentoscale.errors import ANSWERS, CallError, ErrorKind
from pimentoscale.ingress.entry import CallEntry
from pimentoscale.ingress.head import CallHead, read_head, write_head
from pimentoscale.logs import get_logger
from pimentoscale.node.state import NodeState

Message = Any
Receive = Callable[[], Awaitable[Any]]
Send = Callable[[Any], Awaitable[None]]

MOUNT = "/call"

log = get_logger("endpoint")


class CallEndpoint:
    """Reads calls from HTTP and writes their answers."""

    def __init__(
        self, *, state: NodeState, entry: CallEntry, rng: random.Random
    ) -> None:
        self._state = state
        self._entry = entry
        self._rng = rng
        self.in_progress = 0

    async def serve(self, scope: Message, receive: Receive, send: Send) -> None:
        """Serve one HTTP exchange."""
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
        first = await receive()
        if first["type"] != "http.request":
            return
        if not first.get("more_body"):
            body = Body.of(first.get("body", b""))
            await self._answer(scope, head, body, send)
            return
        await self._serve_long(scope, head, first, receive, send)

    async def _serve_long(
        self,
        scope: Message,
        head: CallHead,
        first: Message,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve a call whose body is still arriving."""
        body = Body()
        limit = self._state.settings.max_body_bytes
        arriving = asyncio.create_task(_pump(first, receive, body, limit))
        try:
            await self._answer(scope, head, body, send)
        finally:
            arriving.cancel()

    async def _answer(
        self, scope: Message, head: CallHead, body: Body, send: Send
    ) -> None:
        request = CallRequest(
            method=scope["method"],
            path=_get_path(scope),
            headers=head.passed_on,
            body=body,
            body_bytes=head.content_length,
        )
        answer = await self._entry.handle(head, request)
        await self._write(answer, send)

    async def _write(self, answer: Answer, send: Send) -> None:
        body = answer.body
        if body.is_complete:
            data = body.take_buffered() or _explain(answer)
            await self._start(answer, send, length=len(data))
            await send({"type": "http.response.body", "body": data})
            return
        chunks = body.__aiter__()
        try:
            data = await anext(chunks, b"")
        except BodyTruncatedError as error:
            damaged = CallError(kind=ErrorKind.ANSWER_DAMAGED, detail=str(error))
            await self._write(Answer.of_error(damaged), send)
            return
        await self._start(answer, send, length=_get_length(answer))
        await send({"type": "http.response.body", "body": data, "more_body": True})
        # A broken body raises here, so that the server cuts the connection and the
        # caller can't take a part for the whole.
        async for data in chunks:
            await send({"type": "http.response.body", "body": data, "more_body": True})
        await send({"type": "http.response.body", "body": b""})

    async def _start(self, answer: Answer, send: Send, *, length: int) -> None:
        headers = write_head(
            answer,
            version=self._state.version,
            is_confirmed=self._state.is_confirmed,
            rng=self._rng,
        )
        if length >= 0:
            headers.append((b"content-length", b"%d" % length))
        start = {
            "type": "http.response.start",
            "status": answer.status,
            "headers": headers,
        }
        await send(start)


async def _pump(first: Message, receive: Receive, body: Body, limit: int) -> None:
    """Move the chunks of a request's body as they arrive."""
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
        log.debug("the body is no longer wanted")


def _get_path(scope: Message) -> str:
    raw = scope.get("raw_path") or scope["path"].encode()
    path: str = raw.decode("latin-1")
    path = path.removeprefix(MOUNT) or "/"
    query = scope.get("query_string", b"")
    return f"{path}?{query.decode('latin-1')}" if query else path


def _get_length(answer: Answer) -> int:
    for name, value in answer.headers:
        if name == b"content-length":
            return int(value)
    return -1


def _explain(answer: Answer) -> bytes:
    """Return a line for people where an error has no body of its own."""
    if answer.error is None:
        return b""
    text = answer.error.detail or ANSWERS[answer.error.kind].text
    return f"{answer.error.kind.value}: {text}\n".encode()
