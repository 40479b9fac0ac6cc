"""A TCP relay with which the bench simulates network partitions and delays."""

import asyncio
import contextlib

from pimentoscale.settings import Address

READ_BYTES = 65536


class Relay:
    """Forwards TCP connections to one address; each direction can be blocked.

    Blocked bytes are delivered when the cut heals, as after a TCP retransmission.
    `delay_s` delays each chunk, in seconds.
    """

    def __init__(self, *, listen: Address, target: Address) -> None:
        self.listen = listen
        self._target = target
        self._forward_open = asyncio.Event()
        self._reverse_open = asyncio.Event()
        self._forward_open.set()
        self._reverse_open.set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.delay_s = 0.0

    async def start(self) -> None:
        """Listen for connections; raises `OSError` if the address is not free."""
        self._server = await asyncio.start_server(
            self._serve, self.listen.host, self.listen.port
        )

    def cut(self, *, forward: bool = True, reverse: bool = True) -> None:
        """Block the direction to the target, the reverse direction, or both."""
        if forward:
            self._forward_open.clear()
        if reverse:
            self._reverse_open.clear()

    def heal(self) -> None:
        """Unblock both directions."""
        self._forward_open.set()
        self._reverse_open.set()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in self._writers:
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening; open connections stay."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._forward_open.wait()
            target = await asyncio.open_connection(self._target.host, self._target.port)
        except OSError:
            writer.close()
            return
        ends = {writer, target[1]}
        self._writers |= ends
        forward = asyncio.create_task(self._copy(reader, target[1], self._forward_open))
        reverse = asyncio.create_task(self._copy(target[0], writer, self._reverse_open))
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait({forward, reverse}, return_when=asyncio.FIRST_COMPLETED)
        for task in (forward, reverse):
            task.cancel()
        self._writers -= ends
        for end in ends:
            end.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        open_event: asyncio.Event,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await open_event.wait()
                writer.write(data)
                await writer.drain()


class RelayMesh:
    """A relay for each ordered pair of instances, and from each to the platform."""

    def __init__(self) -> None:
        self._pairs: dict[tuple[str, str], Relay] = {}

    def add(self, source: str, target: str, relay: Relay) -> None:
        """Add a relay; `target` is an instance, or empty for the platform."""
        self._pairs[(source, target)] = relay

    async def start(self) -> None:
        """Start all relays."""
        for relay in self._pairs.values():
            await relay.start()

    def cut(
        self,
        sources: set[str],
        targets: set[str],
        *,
        forward: bool = True,
        reverse: bool = True,
    ) -> None:
        """Block all connections from the source instances to the target instances."""
        for (source, target), relay in self._pairs.items():
            if source in sources and target in targets:
                relay.cut(forward=forward, reverse=reverse)

    def heal(self) -> None:
        """Unblock all relays."""
        for relay in self._pairs.values():
            relay.heal()

    def close(self) -> None:
        """Close all relays."""
        for relay in self._pairs.values():
            relay.close()

    def get_addresses(self, source: str) -> dict[str, Address]:
        """Return the relay addresses by which an instance reaches each other one."""
        return {
            target: relay.listen
            for (origin, target), relay in self._pairs.items()
            if origin == source and target
        }

    def get_platform(self, source: str) -> Address:
        """Return the relay address by which an instance reaches the platform."""
        return self._pairs[(source, "")].listen
