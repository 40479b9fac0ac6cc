"""A bare msgpack stream server, as the floor for what a hop costs."""

import asyncio
import sys

import msgpack
import uvloop

READ_BYTES = 65536


async def forward(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Pass each item on to the next server, or send it back if there is none."""
    following = None
    if len(sys.argv) > 3:
        following = await asyncio.open_connection(sys.argv[3], int(sys.argv[4]))
    unpacker = msgpack.Unpacker()
    answers = msgpack.Unpacker()
    while data := await reader.read(READ_BYTES):
        unpacker.feed(data)
        for item in unpacker:
            if following is not None:
                following[1].write(msgpack.packb(item))
                answers.feed(await following[0].read(READ_BYTES))
                item = next(iter(answers))
            writer.write(msgpack.packb(item))


async def serve() -> None:
    """Serve until the process is ended."""
    server = await asyncio.start_server(forward, sys.argv[1], int(sys.argv[2]))
    await server.serve_forever()


if __name__ == "__main__":
    uvloop.run(serve())
