"""Passes the bytes of connections on to another port without reading them."""

import asyncio
import sys

PART_BYTES = 64 * 1024


async def copy(reader, writer):
    """Pass bytes on in one direction until they end."""
    while part := await reader.read(PART_BYTES):
        writer.write(part)
        await writer.drain()
    writer.close()


async def main(port, target):
    """Serve until the process is killed."""

    async def connected(reader, writer):
        to_reader, to_writer = await asyncio.open_connection("127.0.0.1", target)
        await asyncio.gather(copy(reader, to_writer), copy(to_reader, writer))

    server = await asyncio.start_server(connected, "127.0.0.1", port)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2])))
