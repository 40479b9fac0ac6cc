"""A TCP relay by which the bench cuts processes off from each other."""

import asyncio
import contextlib

from pimentoscale.settings import Address

READ_BYTES = 65536


class Relay:
    """Forwards connections to one address; each direction can be held up.

    What is held up goes on when the cut heals, as TCP would send it again.
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
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, self.listen.host, self.listen.port
        )

    def cut(self, *, forward: bool = True, reverse: bool = True) -> None:
        """Hold up one direction or both."""
        if forward:
            self._forward_open.clear()
        if reverse:
            self._reverse_open.clear()

    def heal(self) -> None:
        """Let everything pass again."""
        self._forward_open.set()
        self._reverse_open.set()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in self._writers:
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._forward_open.wait()
            there = await asyncio.open_connection(self._target.host, self._target.port)
        except OSError:
            writer.close()
            return
        ends = {writer, there[1]}
        self._writers |= ends
        forward = asyncio.create_task(self._pump(reader, there[1], self._forward_open))
        reverse = asyncio.create_task(self._pump(there[0], writer, self._reverse_open))
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait({forward, reverse}, return_when=asyncio.FIRST_COMPLETED)
        for task in (forward, reverse):
            task.cancel()
        self._writers -= ends
        for end in ends:
            end.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        admission: asyncio.Event,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await admission.wait()
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
        """Hold up all connections from some instances to others."""
        for (source, target), relay in self._pairs.items():
            if source in sources and target in targets:
                relay.cut(forward=forward, reverse=reverse)

    def heal(self) -> None:
        """Let everything pass again."""
        for relay in self._pairs.values():
            relay.heal()

    def close(self) -> None:
        """Close all relays."""
        for relay in self._pairs.values():
            relay.close()

    def get_addresses(self, source: str) -> dict[str, Address]:
        """Return the addresses at which an instance finds the others."""
        return {
            target: relay.listen
            for (origin, target), relay in self._pairs.items()
            if origin == source and target
        }

    def get_platform(self, source: str) -> Address:
        """Return the address at which an instance finds the platform."""
        return self._pairs[(source, "")].listen
