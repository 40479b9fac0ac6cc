"""The one client of the platform's store, over HTTP."""

import asyncio
import base64
import binascii
import struct
from typing import TypeVar
from urllib.parse import quote

import msgspec

from pimentoscale.http import (
    HttpClient,
    HttpClientConnection,
    HttpRequest,
    HttpResponse,
    IncompleteResponseError,
    NotConnectedError,
)
from pimentoscale.settings import Address
from pimentoscale.store import (
    KeyedRecord,
    NewestPage,
    RecordPage,
    StoreError,
    StoreGapError,
)

# Answers of the store take some 4 ms when it is well, and up to a quarter second when
# it is slow; a call that has no answer by then is lost.
CALL_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 16
CONFIGURATION_TOPIC = "keyed.op"
MEMBERS_TOPIC = "keyed.members"
OFFSETS = struct.Struct(">QQ")
LENGTH = struct.Struct(">I")
GONE = 410
OK = 200

T = TypeVar("T")


class _Appended(msgspec.Struct):
    offset: int
    end_offset: int


class _Gone(msgspec.Struct):
    first_offset: int


class _Item(msgspec.Struct):
    key: str
    value: str
    offset: int


class _Newest(msgspec.Struct):
    items: list[_Item]
    has_more: bool
    end_offset: int


class StoreClient:
    """Calls the store; it keeps connections and no other state."""

    __slots__ = ("_client", "calls")

    def __init__(self, *, address: Address) -> None:
        self._client = HttpClient(address=address, limit=MAX_CONNECTIONS)
        self.calls = 0

    async def append(self, *, topic: str, records: list[bytes]) -> int:
        """Append records to partition 0, all or none."""
        body = b"".join(LENGTH.pack(len(record)) + record for record in records)
        path = f"/v1/log-append?topic={quote(topic)}&part=0"
        response = await self._call(b"POST", path, body, CALL_TIMEOUT_S)
        return _decode(response, _Appended).offset

    async def put(self, *, topic: str, key: bytes, value: bytes) -> int:
        """Append the record of one key."""
        return await self.append(
            topic=topic, records=[bytes((len(key),)) + key + value]
        )

    async def read(self, *, topic: str, offset: int, wait_ms: int) -> RecordPage:
        """Return the records of partition 0 from an offset on."""
        path = f"/v1/log-read?topic={quote(topic)}&part=0&from={offset}"
        path += f"&wait_ms={wait_ms}"
        timeout_s = CALL_TIMEOUT_S + wait_ms / 1000
        response = await self._call(b"GET", path, b"", timeout_s)
        return decode_page(response.body, offset=offset)

    async def read_newest(self, *, topic: str) -> NewestPage:
        """Return the newest record of each key.

        Pages are not a snapshot: the offset of the first one counts, so that what
        changed meanwhile is read again.
        """
        items: list[KeyedRecord] = []
        next_offset: int | None = None
        after = ""
        while True:
            path = f"/v1/log-newest?topic={quote(topic)}&part=0"
            if after:
                path += f"&after={quote(after, safe='')}"
            response = await self._call(b"GET", path, b"", CALL_TIMEOUT_S)
            found = _decode(response, _Newest)
            if next_offset is None:
                next_offset = found.end_offset
            items.extend(_make_record(item) for item in found.items)
            if not found.has_more or not found.items:
                return NewestPage(items=items, next_offset=next_offset)
            after = found.items[-1].key

    def use_address(self, address: Address) -> None:
        """Send the calls that follow to another address."""
        if address != self._client.address:
            self._client.close()
            self._client = HttpClient(address=address, limit=MAX_CONNECTIONS)

    def decode_keyed(self, data: bytes, *, offset: int) -> KeyedRecord:
        """Return the record of a keyed topic."""
        return decode_keyed(data, offset=offset)

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def _call(
        self, method: bytes, path: str, body: bytes, timeout_s: float
    ) -> HttpResponse:
        headers = [(b"host", str(self._client.address).encode())]
        request = HttpRequest(
            method=method, path=path.encode(), headers=headers, body=body
        )
        self.calls += 1
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._client.acquire(now=loop.time())
                response = await self._exchange(connection, request)
        except (TimeoutError, NotConnectedError, IncompleteResponseError) as error:
            reason = str(error) or f"no answer in {timeout_s:.1f} s"
            raise StoreError(f"{path}: {reason}") from error
        if response.status == GONE:
            gone = _decode(response, _Gone)
            reason = f"{path}: the records before {gone.first_offset} are gone"
            raise StoreGapError(reason, first_offset=gone.first_offset)
        if response.status != OK:
            raise StoreError(f"{path}: status {response.status}")
        return response

    async def _exchange(
        self, connection: HttpClientConnection, request: HttpRequest
    ) -> HttpResponse:
        loop = asyncio.get_running_loop()
        try:
            return await connection.exchange(request)
        except BaseException:
            # A connection on which an answer is lost returns nothing further.
            connection.close()
            raise
        finally:
            self._client.release(connection, now=loop.time())


def decode_page(data: bytes, *, offset: int) -> RecordPage:
    """Return the records that a read's answer holds.

    It begins with the end of the partition and the first offset kept; each record
    follows its length.
    """
    if len(data) < OFFSETS.size:
        raise StoreError("the page has no offsets")
    position = OFFSETS.size
    records: list[bytes] = []
    while position < len(data):
        if position + LENGTH.size > len(data):
            raise StoreError("the page ends inside a length")
        (size,) = LENGTH.unpack_from(data, position)
        position += LENGTH.size
        if position + size > len(data):
            raise StoreError("the page ends inside a record")
        records.append(data[position : position + size])
        position += size
    return RecordPage(
        first_offset=offset, next_offset=offset + len(records), records=records
    )


def decode_keyed(data: bytes, *, offset: int) -> KeyedRecord:
    """Return a record that begins with its key's length and key."""
    if not data or len(data) < 1 + data[0]:
        raise StoreError("the record has no key")
    end = 1 + data[0]
    return KeyedRecord(key=data[1:end], value=data[end:], offset=offset)


def _make_record(item: _Item) -> KeyedRecord:
    try:
        value = base64.b64decode(item.value, validate=True)
    except binascii.Error as error:
        raise StoreError(f"the value of key {item.key!r} is not base64") from error
    return KeyedRecord(
        key=item.key.encode("utf-8", "surrogateescape"),
        value=value,
        offset=item.offset,
    )


def _decode(response: HttpResponse, shape: type[T]) -> T:
    try:
        return msgspec.json.decode(response.body, type=shape)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise StoreError(f"the answer can't be read: {error}") from error
