"""Connections of ordinary callers are not taken for those of a crowd."""

import asyncio
from dataclasses import replace

import pytest

from ebonyglade_node.callers.connection import is_costly
from helpers.forwarding_path import forwarding_setup

HEAD_S = 0.3
HEAD = (
    b"POST /open/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: id-%d\r\n"
    b"X-Deadline-Ms: 3000\r\n"
)


@pytest.fixture
async def connection():
    async with forwarding_setup() as setup:
        policy = setup.entry.server._callers._policy
        policy.limits = replace(policy.limits, head_s=HEAD_S)
        host, port = setup.base.removeprefix("http://").split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        yield reader, writer
        writer.close()


async def read_status(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    length = head.partition("content-length: ")[2].partition("\r\n")[0]
    await reader.readexactly(int(length))
    return int(head.split()[1])


# The end of the chunks counted as the beginning of the next head, so that the
# connection was closed when that head was late.
async def test_a_connection_is_kept_after_chunks_whose_end_came_apart(connection):
    reader, writer = connection
    head = HEAD % 1 + b"Transfer-Encoding: chunked\r\n\r\n"
    for part in (head, b"1\r\nx\r\n", b"0\r\n\r\n"):
        writer.write(part)
        await asyncio.sleep(0.05)
    assert await read_status(reader) == 200
    await asyncio.sleep(2 * HEAD_S)
    writer.write(HEAD % 2 + b"Content-Length: 1\r\n\r\nx")
    assert await read_status(reader) == 200


async def test_a_connection_whose_next_head_is_late_is_closed(connection):
    reader, writer = connection
    writer.write(HEAD % 1 + b"Content-Length: 1\r\n\r\nx")
    assert await read_status(reader) == 200
    writer.write(HEAD % 2)
    assert await reader.read() == b""


@pytest.mark.parametrize(
    ("data", "content", "costly"),
    [
        (b"1\r\nx\r\n" * 1000, 1000, True),
        (b"a:\r\n" * 1000, 0, True),
        (b"a line\n" * 1000, 7000, False),
        (b"", 0, False),
    ],
)
def test_only_lines_that_are_no_content_are_costly(data, content, costly):
    assert is_costly(data, content) is costly
