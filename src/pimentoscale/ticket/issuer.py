"""Issuing, signing and verifying tickets."""

import base64
import binascii
import hashlib
import hmac
import secrets
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from pimentoscale.decoding import decode
from pimentoscale.errors import CallError, ErrorKind

TICKET_TTL_MS = 120_000
NONCE_BYTES = 12
MAC_BYTES = 16


@dataclass(slots=True, kw_only=True, frozen=True)
class NodeIdentity:
    """The identity of one node process; a restart makes another incarnation."""

    instance: str
    incarnation: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Ticket:
    """Permission to run one call at most once, through `home`.

    `home` may run it only after `witness` has recorded the intent. `expires_ms` is
    wall time in milliseconds since the Unix epoch.
    """

    nonce: str
    request: str
    caller: str
    kind: str
    home: NodeIdentity
    witness: NodeIdentity
    expires_ms: int

    def is_expired(self, *, now_ms: int) -> bool:
        """Return whether the ticket can no longer start a run."""
        return now_ms >= self.expires_ms


_DECODER = msgspec.msgpack.Decoder(Ticket)


class TicketIssuer:
    """Issues tickets that only nodes with the shared secret can make or alter."""

    __slots__ = ("_key",)

    def __init__(self, *, secret: str) -> None:
        self._key = hashlib.blake2b(secret.encode(), digest_size=32).digest()

    def issue(
        self,
        *,
        request: str,
        caller: str,
        kind: str,
        home: NodeIdentity,
        witness: NodeIdentity,
        now_ms: int,
    ) -> Ticket:
        """Return a new ticket, valid for `TICKET_TTL_MS`."""
        return Ticket(
            nonce=secrets.token_hex(NONCE_BYTES),
            request=request,
            caller=caller,
            kind=kind,
            home=home,
            witness=witness,
            expires_ms=now_ms + TICKET_TTL_MS,
        )

    def encode(self, ticket: Ticket) -> str:
        """Return the signed ticket as text for a header."""
        data = msgspec.msgpack.encode(ticket)
        return base64.urlsafe_b64encode(self._sign(data) + data).decode()

    def decode(self, text: str) -> Result[Ticket, CallError]:
        """Return the ticket; an error if it is malformed or its signature differs."""
        try:
            raw = base64.urlsafe_b64decode(text.encode())
        except (ValueError, binascii.Error):
            return _make_error("not base64")
        mac, data = raw[:MAC_BYTES], raw[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._sign(data)):
            return _make_error("the signature differs")
        match decode(_DECODER, data):
            case Ok(ticket):
                return Ok(ticket)
            case Err(_):
                return _make_error("not a ticket of this version")

    def _sign(self, data: bytes) -> bytes:
        return hashlib.blake2b(data, key=self._key, digest_size=MAC_BYTES).digest()


def _make_error(detail: str) -> Result[Ticket, CallError]:
    return Err(CallError(kind=ErrorKind.TICKET_INVALID, detail=detail))
