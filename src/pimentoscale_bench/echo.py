"""A minimal msgpack stream server, as the lower bound for the cost of a hop."""

import asyncio
import sys

import msgpack
import uvloop

READ_BYTES = 65536


async def forward(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Forward each message to the next server, or echo it if there is none."""
    next_server = None
    if len(sys.argv) > 3:
        next_server = await asyncio.open_connection(sys.argv[3], int(sys.argv[4]))
    unpacker = msgpack.Unpacker()
    answers = msgpack.Unpacker()
    while data := await reader.read(READ_BYTES):
        unpacker.feed(data)
        for message in unpacker:
            if next_server is not None:
                next_server[1].write(msgpack.packb(message))
                answers.feed(await next_server[0].read(READ_BYTES))
                message = next(iter(answers))
            writer.write(msgpack.packb(message))


async def serve() -> None:
    """Serve until the process is stopped."""
    server = await asyncio.start_server(forward, sys.argv[1], int(sys.argv[2]))
    await server.serve_forever()


if __name__ == "__main__":
    uvloop.run(serve())
