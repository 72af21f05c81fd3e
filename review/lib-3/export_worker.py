"""A sound worker as a process of its own: answers each request with a large body.

Its arguments are its id, the bytes of an answer, its slots and the seconds of a run. It
prints its port.
"""

import asyncio
import sys


async def main(name: str, size: int, slots: int, work_s: float) -> None:
    """Serve until the process is killed."""
    free = asyncio.Semaphore(slots)
    body = b"x" * size

    async def serve(reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                fields = {
                    key.lower(): value.strip()
                    for key, _, value in (
                        line.partition(":") for line in head.split("\r\n")[1:] if line
                    )
                }
                await reader.readexactly(int(fields.get("content-length", "0")))
                request_id = fields.get("x-request-id", "")
                common = f"X-Request-Id: {request_id}\r\nX-Instance-Id: {name}\r\n"
                if not request_id:
                    answer = "400 Bad Request\r\nX-Not-Executed: 1\r\n"
                elif fields.get("x-target-instance", name) != name:
                    answer = "421 Misdirected Request\r\n"
                else:
                    async with free:
                        await asyncio.sleep(work_s)
                    signed = f"X-Response-Signature: {name}.{request_id}\r\n"
                    lines = f"HTTP/1.1 200 OK\r\n{common}{signed}"
                    writer.write(f"{lines}Content-Length: {size}\r\n\r\n".encode())
                    writer.write(body)
                    await writer.drain()
                    continue
                lines = f"HTTP/1.1 {answer}{common}Content-Length: 0\r\n\r\n"
                writer.write(lines.encode())
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0, backlog=500)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(
        main(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4]))
    )
