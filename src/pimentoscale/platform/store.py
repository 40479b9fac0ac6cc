"""The HTTP client of the platform's record store."""

import asyncio
import base64
import json
import struct
from collections import Counter
from collections.abc import Callable
from typing import Annotated, Any, TypeVar
from urllib.parse import quote

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from pimentoscale.decoding import MAX_INTEGER, MAX_REASON_CHARS, decode
from pimentoscale.http import (
    HttpClient,
    HttpClientConnection,
    HttpRequest,
    HttpResponse,
    IncompleteResponseError,
    NotConnectedError,
)
from pimentoscale.logs import get_logger
from pimentoscale.settings import Address
from pimentoscale.store import (
    EraTracker,
    KeyedRecord,
    NewestPage,
    Position,
    RecordPage,
    StoreError,
    StoreGapError,
)

# The store answers in about 4 ms, or in up to 250 ms when it is slow; a call without an
# answer by this time-out is lost. A read can be repeated at no cost to others.
CALL_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 1.0
MAX_CONNECTIONS = 16
CONFIGURATION_TOPIC = "keyed.op"
MEMBERS_TOPIC = "keyed.members"
PAGE_HEADER = struct.Struct(">QQ")
RECORD_LENGTH = struct.Struct(">I")
# How often the store has returned from an older copy, in all its answers.
ERA_HEADER = b"store-era"
STATUS_GONE = 410
STATUS_OK = 200
MAX_KEY_BYTES = 255
# Bytes of a key that are not UTF-8 become lone surrogates in its text.
KEY_ERRORS = "surrogateescape"

log = get_logger("store")

T = TypeVar("T")


Offset = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]


class _AppendAnswer(msgspec.Struct):
    offset: Offset
    end_offset: Offset


class _GoneAnswer(msgspec.Struct):
    first_offset: Offset


class _KeyedItem(msgspec.Struct):
    key: str
    value: str
    offset: Offset


class _NewestAnswer(msgspec.Struct):
    items: list[Any]
    has_more: bool
    end_offset: Offset


class StoreClient:
    """Client of the store; its state is connections, a count of calls and the era."""

    __slots__ = ("_client", "_eras", "calls")

    def __init__(self, *, address: Address) -> None:
        self._client = HttpClient(address=address, limit=MAX_CONNECTIONS)
        self._eras = EraTracker()
        self.calls: Counter[str] = Counter()

    @property
    def era(self) -> int:
        """Return the era of the store, 0 if it is not known."""
        return self._eras.current

    @property
    def has_unconfirmed_era(self) -> bool:
        """Return whether an era was stated that another answer has to confirm."""
        return bool(self._eras.unconfirmed)

    def watch_era(self, on_rise: Callable[[], None]) -> None:
        """Have a function called when the store has returned from an older copy."""
        self._eras.on_rise = on_rise

    async def append(self, *, topic: str, records: list[bytes]) -> int:
        """Append all records or none to partition 0; return the first offset."""
        body = b"".join(RECORD_LENGTH.pack(len(record)) + record for record in records)
        path = f"/v1/log-append?topic={quote(topic)}&part=0"
        response, _ = await self._call("append", path, body, CALL_TIMEOUT_S)
        return _decode(response, _AppendAnswer).offset

    async def put(self, *, topic: str, key: bytes, value: bytes) -> int:
        """Append the record of one key and return its offset."""
        return await self.append(
            topic=topic, records=[bytes((len(key),)) + key + value]
        )

    async def read(self, *, topic: str, offset: int, wait_ms: int) -> RecordPage:
        """Return the records of partition 0 from an offset on."""
        path = f"/v1/log-read?topic={quote(topic)}&part=0&from={offset}"
        path += f"&wait_ms={wait_ms}"
        timeout_s = READ_TIMEOUT_S + wait_ms / 1000
        response, era = await self._call("read", path, b"", timeout_s)
        return decode_page(bytes(response.body), offset=offset, era=era)

    async def read_newest(self, *, topic: str) -> NewestPage:
        """Return the newest record of each key.

        The pages are not one snapshot. `next_position` is that of the first page, and
        records appended in the meantime are left out, since they are read after it.
        """
        items: list[KeyedRecord] = []
        next_position: Position | None = None
        after = ""
        while True:
            path = f"/v1/log-newest?topic={quote(topic)}&part=0"
            if after:
                path += f"&after={quote(after, safe='', errors=KEY_ERRORS)}"
            response, era = await self._call("newest", path, b"", READ_TIMEOUT_S)
            page = _decode_newest(response)
            if next_position is None:
                next_position = Position(era=era, offset=page.end_offset)
            if era != next_position.era:
                raise StoreError(f"{path}: era {era} after {next_position.era}")
            for item in page.items:
                match _decode_item(item, era=era):
                    case Ok(record) if record.position < next_position:
                        items.append(record)
                    case Err(reason):
                        log.warning("topic %s: skipped record: %s", topic, reason)
            if not page.has_more or not page.items:
                return NewestPage(items=items, next_position=next_position)
            after = _find_next_key(page.items[-1], after=after)

    def use_address(self, address: Address) -> None:
        """Send all later calls to this address."""
        if address != self._client.address:
            self._client.close()
            self._client = HttpClient(address=address, limit=MAX_CONNECTIONS)

    def decode_keyed(self, data: bytes, *, position: Position) -> KeyedRecord:
        """Decode a record of a keyed topic."""
        return decode_keyed(data, position=position)

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def _call(
        self, kind: str, path: str, body: bytes, timeout_s: float
    ) -> tuple[HttpResponse, int]:
        """Return the response to a call, and the era in which the store gave it."""
        # Another address may be set meanwhile.
        client = self._client
        asked_in = self.era
        method = b"POST" if kind == "append" else b"GET"
        headers = [(b"host", str(client.address).encode())]
        request = HttpRequest(
            method=method, path=path.encode(), headers=headers, body=body
        )
        self.calls[kind] += 1
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                connection = await client.acquire(now=loop.time())
                response = await self._exchange(client, connection, request)
        except (TimeoutError, NotConnectedError, IncompleteResponseError) as error:
            reason = str(error) or f"no answer in {timeout_s:.1f} s"
            raise StoreError(f"{path}: {reason}") from error
        era = self._eras.observe(response.find(ERA_HEADER), asked_in=asked_in)
        if response.status == STATUS_GONE:
            gone = _decode(response, _GoneAnswer)
            reason = f"{path}: not kept; the oldest record is {gone.first_offset}"
            raise StoreGapError(reason, first_offset=gone.first_offset)
        if response.status != STATUS_OK:
            raise StoreError(f"{path}: status {response.status}")
        return response, era

    async def _exchange(
        self,
        client: HttpClient,
        connection: HttpClientConnection,
        request: HttpRequest,
    ) -> HttpResponse:
        loop = asyncio.get_running_loop()
        try:
            return await connection.exchange(request)
        except BaseException:
            # After a lost answer the connection is not usable for another exchange.
            connection.close()
            raise
        finally:
            if client is not self._client:
                connection.close()
            client.release(connection, now=loop.time())


def decode_page(data: bytes, *, offset: int, era: int) -> RecordPage:
    """Decode the body of the answer to a read.

    It starts with the end offset of the partition and the first offset kept; each
    record is preceded by its length. Raises `StoreError` if it is malformed.
    """
    if len(data) < PAGE_HEADER.size:
        raise StoreError("the page is too short for its offsets")
    end_offset, _ = PAGE_HEADER.unpack_from(data)
    position = PAGE_HEADER.size
    records: list[bytes] = []
    while position < len(data):
        if position + RECORD_LENGTH.size > len(data):
            raise StoreError("the page ends inside a length")
        (size,) = RECORD_LENGTH.unpack_from(data, position)
        position += RECORD_LENGTH.size
        if position + size > len(data):
            raise StoreError("the page ends inside a record")
        records.append(data[position : position + size])
        position += size
    return RecordPage(
        era=era,
        first_offset=offset,
        next_offset=offset + len(records),
        records=records,
        is_complete=offset + len(records) >= end_offset,
    )


def decode_keyed(data: bytes, *, position: Position) -> KeyedRecord:
    """Decode a record that starts with the length of its key and the key.

    Raises `StoreError` if it is malformed.
    """
    if not data or not data[0] or len(data) < 1 + data[0]:
        raise StoreError("the record has no key")
    end = 1 + data[0]
    return KeyedRecord(key=data[1:end], value=data[end:], position=position)


def _decode_newest(response: HttpResponse) -> _NewestAnswer:
    """Decode a page of newest records, whose keys may be any bytes.

    msgspec refuses text that is not UTF-8, and with it all other records of the page.
    """
    try:
        text = response.body.decode("utf-8", KEY_ERRORS)
        return msgspec.convert(json.loads(text), _NewestAnswer)
    except (msgspec.ValidationError, ValueError, RecursionError) as error:
        reason = str(error)[:MAX_REASON_CHARS]
        raise StoreError(f"malformed answer: {reason}") from error


def _decode_item(item: Any, *, era: int) -> Result[KeyedRecord, str]:
    """Return the record in an item of a page, or why it can't be read."""
    try:
        fields = msgspec.convert(item, _KeyedItem)
        key = fields.key.encode("utf-8", KEY_ERRORS)
        value = base64.b64decode(fields.value, validate=True)
    except (msgspec.ValidationError, ValueError) as error:
        return Err(str(error)[:MAX_REASON_CHARS])
    if not 1 <= len(key) <= MAX_KEY_BYTES:
        return Err(f"key of {len(key)} bytes at offset {fields.offset}")
    position = Position(era=era, offset=fields.offset)
    return Ok(KeyedRecord(key=key, value=value, position=position))


def _find_next_key(last: Any, *, after: str) -> str:
    """Return the key after which the next page begins.

    Raises `StoreError` if the page does not tell, or not one after the last page's.
    """
    key = last.get("key") if isinstance(last, dict) else None
    if not isinstance(key, str) or not key or key == after:
        raise StoreError("the page has no last key from which to continue")
    return key


def _decode(response: HttpResponse, answer_type: type[T]) -> T:
    match decode(msgspec.json.Decoder(answer_type), bytes(response.body)):
        case Ok(answer):
            return answer
        case Err(reason):
            raise StoreError(f"malformed answer: {reason}")
