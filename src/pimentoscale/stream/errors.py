"""Errors of calls and queries to another node."""

import asyncio

from pimentoscale.stream.frames import Frame


class PeerUnreachableError(Exception):
    """There is no open connection to the peer; nothing was sent."""


class PeerLostError(Exception):
    """The frame was sent, and the connection was lost or no answer came in time."""


class PeerSilentError(Exception):
    """Nothing is received from the other side; `answer` may still come.

    Whoever catches this cancels `answer` if it is no longer awaited.
    """

    def __init__(self, message: str, *, answer: "asyncio.Future[Frame]") -> None:
        super().__init__(message)
        self.answer = answer
