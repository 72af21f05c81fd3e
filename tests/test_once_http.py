"""The agent's HTTP client sends each call at most once."""

import asyncio

import pytest

from ebonyglade.ports import EngineError
from ebonyglade_agent.engine import HttpService, new_session


@pytest.fixture
async def endpoint():
    """Count the requests of a server that reads each and hangs up."""
    seen = []

    async def serve(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        seen.append(head.split(b" ", 1)[0].decode())
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    yield seen, f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    server.close()


@pytest.mark.parametrize("method", ["POST", "GET", "PUT"])
async def test_lost_connection_is_never_tried_again(endpoint, method):
    seen, url = endpoint
    async with new_session() as session:
        with pytest.raises(EngineError) as failed:
            await HttpService(url, session).call(method, "/", [], b"", lambda: True)
    assert seen == [method]
    assert failed.value.ran
    assert failed.value.lost


async def test_nothing_is_sent_once_it_was_given_up(endpoint):
    seen, url = endpoint
    async with new_session() as session:
        with pytest.raises(EngineError) as failed:
            await HttpService(url, session).call("POST", "/", [], b"x", lambda: False)
        await asyncio.sleep(0)
    assert not seen
    assert not failed.value.ran
    assert not failed.value.lost
