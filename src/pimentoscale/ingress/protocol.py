"""Uvicorn's HTTP protocol with bounds on what belongs to no body.

Uvicorn holds a head or trailers that never end until the process has no memory left.
"""

from typing import Any

import httptools
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from pimentoscale.logs import get_logger

MAX_HEAD_BYTES = 64 * 1024
MAX_HEADERS = 1024

log = get_logger("http")


class LimitedHttpProtocol(HttpToolsProtocol):
    """One connection of a caller, closed once a head exceeds its bounds."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        # Bytes received since the last part of a body or the end of a request, and
        # whether there was neither in the bytes that are parsed now.
        self._head_received = 0
        self._is_head_only = True

    def data_received(self, data: bytes) -> None:
        """Parse the bytes; reject a head without end."""
        if self.transport.is_closing():
            return
        self._is_head_only = True
        super().data_received(data)
        self._head_received += len(data)
        if not self._is_head_only:
            self._head_received = 0
        if self._head_received > MAX_HEAD_BYTES and not self.transport.is_closing():
            log.warning("head of a request rejected: %d bytes", self._head_received)
            self.send_400_response("The head is too large.")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add one header of the request."""
        if len(self.headers) >= MAX_HEADERS:
            raise httptools.HttpParserError("too many header lines")
        super().on_header(name, value)

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        self._is_head_only = False
        super().on_body(body)

    def on_message_complete(self) -> None:
        """End the request."""
        self._is_head_only = False
        super().on_message_complete()
