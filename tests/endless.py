"""Bytes without end, sent to a server of the test's process."""

import asyncio
import contextlib

# A server that takes this many bytes outside of a body has no bound on them.
MAX_SENT_BYTES = 8_000_000


async def send_without_end(
    *, host: str, port: int, start: bytes, repeated: bytes
) -> int:
    """Send bytes until the server closes; return how many were sent.

    Stops at `MAX_SENT_BYTES`.
    """
    _, writer = await asyncio.open_connection(host, port)
    writer.write(start)
    sent = 0
    with contextlib.suppress(ConnectionError):
        while sent < MAX_SENT_BYTES:
            writer.write(repeated)
            await writer.drain()
            sent += len(repeated)
            # The server runs on the same event loop.
            await asyncio.sleep(0)
    writer.transport.abort()
    return sent
