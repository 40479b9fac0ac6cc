"""Entries that another program has written: they are skipped, and the others hold."""

import asyncio
from dataclasses import replace
from typing import Any

import msgspec
import pytest
from result import Ok

from pimentoscale.http import (
    HttpClient,
    NotConnectedError,
)
from pimentoscale.membership import Member, MemberState
from pimentoscale.membership.member import decode_member
from pimentoscale.settings import Address
from pimentoscale.stream.connection import connect

ADDRESS = Address(host="10.0.0.9", port=9000)
# Deep enough to exceed every limit of recursion.


def make_member(**changes: Any) -> Member:
    member = Member(
        instance="odd",
        incarnation=1,
        sequence=1,
        state=MemberState.ALIVE,
        zone="z1",
        service="b",
        slots=4,
        http=ADDRESS,
        stream=ADDRESS,
    )
    return replace(member, **changes)


def encode_fields(**changes: Any) -> bytes:
    """Return an encoded member with some fields changed; those of None are missing."""
    fields = msgspec.to_builtins(make_member()) | changes
    kept = {name: value for name, value in fields.items() if value is not None}
    return msgspec.msgpack.encode(kept)


@pytest.mark.parametrize(
    ("host", "is_address"),
    [
        ("10.0.0.1", True),
        ("::1", True),
        ("fe80::1:2", True),
        ("::ffff:10.0.0.1", True),
        ("1..2", False),
        ("1.2.3", False),
        ("abc", False),
        (":1..2", False),
        ("10.0.0.1\n", False),
        ("", False),
    ],
)
def test_host_is_an_address(host: str, is_address: bool) -> None:
    data = encode_fields(stream={"host": host, "port": 9000})
    assert isinstance(decode_member(data), Ok) == is_address


@pytest.mark.parametrize("host", ["1..2", "1" * 300, "::1::"])
def test_connection_to_no_address_fails_without_an_unexpected_error(host: str) -> None:
    async def run() -> None:
        address = Address(host=host, port=80)
        with pytest.raises(OSError, match=r"\S"):
            await connect(address)
        with pytest.raises(NotConnectedError):
            await HttpClient(address=address, limit=1).acquire(now=0.0)

    asyncio.run(run())
