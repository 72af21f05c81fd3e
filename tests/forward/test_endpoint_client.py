"""Wrong or truncated responses of endpoints, over real sockets."""

import asyncio
from contextlib import asynccontextmanager
from itertools import count

import aiohttp
import pytest

from ebonyglade.forward.types import ControlCall
from ebonyglade_node.endpoint_client import (
    MAX_REQUESTS,
    EndpointClient,
    NotSent,
    ProgressLimits,
    SendAttempt,
)
from helpers.scripted_answers import late_copies, plain_response, reset

ID = "Request-Id"


def http_response(request_id, body=b"ok", extra=b""):
    head = f"HTTP/1.1 200 OK\r\n{ID}: {request_id}\r\nContent-Length: {len(body)}"
    return head.encode() + b"\r\n\r\n" + body + extra


@asynccontextmanager
async def endpoint(serve):
    """Serve raw connections; yield the address, a client and the connections."""
    connections = []

    async def connected(reader, writer):
        connections.append(writer)
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                await serve(len(connections), writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    server = await asyncio.start_server(connected, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    client = EndpointClient(1.0, ID)
    try:
        yield address, client, connections
    finally:
        await client.close()
        server.close()


async def ask(client, address, request_id, may_send=lambda: True, reuse=True):
    attempt = SendAttempt(request_id, may_send, reuse)
    response = await client.request(
        address, "GET", "/x", [(ID, request_id)], b"", attempt
    )
    async with response:
        return await response.read()


async def test_late_second_response_is_not_taken_for_the_next_one():
    async def serve(connection, writer):
        served.append(None)
        if len(served) == 1:
            writer.write(http_response("a"))
            return
        # A second response to the first request, then the right one.
        writer.write(http_response("a", b"wrong") + http_response("b", b"right"))

    served = []
    async with endpoint(serve) as (address, client, _):
        assert await ask(client, address, "a") == b"ok"
        assert await ask(client, address, "b") == b"right"


async def test_connection_with_extra_bytes_is_not_reused():
    async def serve(connection, writer):
        request = "a" if connection == 1 else "b"
        writer.write(http_response(request, extra=http_response(request, b"extra")))

    async with endpoint(serve) as (address, client, connections):
        assert await ask(client, address, "a") == b"ok"
        await asyncio.sleep(0.05)
        assert await ask(client, address, "b") == b"ok"
        assert len(connections) == 2


async def test_connection_is_reused_after_a_normal_response():
    async def serve(connection, writer):
        writer.write(http_response(next(ids)))

    ids = iter("ab")
    async with endpoint(serve) as (address, client, connections):
        await ask(client, address, "a")
        await ask(client, address, "b")
        assert len(connections) == 1


async def test_connection_is_not_reused_for_an_id_that_it_had_before():
    async def serve(connection, writer):
        writer.write(http_response("a", b"%d" % connection))

    async with endpoint(serve) as (address, client, connections):
        assert await ask(client, address, "a") == b"1"
        assert await ask(client, address, "a") == b"2"
        assert len(connections) == 2


async def test_connection_is_closed_after_many_requests():
    async def serve(connection, writer):
        writer.write(http_response(f"{next(numbers)}"))

    numbers = count()
    async with endpoint(serve) as (address, client, connections):
        for number in range(MAX_REQUESTS + 1):
            await ask(client, address, f"{number}")
        assert len(connections) == 2


# It was taken for the answer to a request that the endpoint ran.
@pytest.mark.parametrize("status", [400, 429, 503])
async def test_error_without_an_id_is_not_the_response_to_a_request_with_one(status):
    async def serve(connection, writer):
        head = f"HTTP/1.1 {status} X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
        writer.write(head.encode() + http_response("a", b"mine"))

    async with endpoint(serve) as (address, client, _):
        assert await ask(client, address, "a") == b"mine"


# Each report of an engine opened a connection.
async def test_connection_of_calls_that_may_share_it_is_reused():
    async def serve(connection, writer):
        writer.write(plain_response(b"%d" % connection))

    async with endpoint(serve) as (address, client, _):
        call = ControlCall("GET", "/r")
        bodies = [(await client.call(address, call, 1.0, True)).body for _ in range(3)]
        assert bodies == [b"1", b"1", b"1"]


async def test_call_without_an_id_uses_no_connection_of_a_request_with_one():
    async def serve(connection, writer):
        served.append(connection)
        writer.write(http_response("a") if connection == 1 else plain_response(b"x"))

    served = []
    async with endpoint(serve) as (address, client, _):
        await ask(client, address, "a")
        await client.call(address, ControlCall("GET", "/r"), 1.0)
        assert served == [1, 2]


async def test_response_without_length_that_ends_in_a_reset_is_an_error():
    async def serve(connection, writer):
        writer.write(f"HTTP/1.1 200 OK\r\n{ID}: a\r\n\r\nhalf".encode())
        await writer.drain()
        await asyncio.sleep(0.05)
        reset(writer.transport)

    async with endpoint(serve) as (address, client, _):
        with pytest.raises(aiohttp.ClientError):
            await ask(client, address, "a")


# The reset arrives while reading is paused, since nobody reads the bytes before it.
async def test_reset_behind_bytes_that_wait_to_be_read_is_an_error():
    async def serve(connection, writer):
        writer.write(f"HTTP/1.1 200 OK\r\n{ID}: a\r\n\r\n".encode() + b"x" * 400_000)
        await asyncio.sleep(0.1)
        reset(writer.transport)

    async with endpoint(serve) as (address, client, _):
        attempt = SendAttempt("a", lambda: True)
        response = await client.request(address, "GET", "/x", [(ID, "a")], b"", attempt)
        await asyncio.sleep(0.3)
        async with response:
            with pytest.raises(aiohttp.ClientError):
                await response.read()


async def test_response_without_length_that_ends_cleanly_is_complete():
    async def serve(connection, writer):
        writer.write(f"HTTP/1.1 200 OK\r\n{ID}: a\r\n\r\nwhole".encode())
        await writer.drain()
        writer.close()

    async with endpoint(serve) as (address, client, _):
        assert await ask(client, address, "a") == b"whole"


async def test_aiohttp_does_not_retry_after_a_lost_connection():
    async def serve(connection, writer):
        served.append(connection)
        if len(served) > 1:
            writer.transport.abort()
            return
        writer.write(http_response("a"))

    served = []
    async with endpoint(serve) as (address, client, _):
        await ask(client, address, "a")
        with pytest.raises(aiohttp.ClientError):
            await ask(client, address, "a")
        assert len(served) == 2


async def test_request_is_not_sent_when_may_send_returns_false():
    async def serve(connection, writer):
        served.append(connection)

    served = []
    async with endpoint(serve) as (address, client, _):
        with pytest.raises(NotSent):
            await ask(client, address, "a", lambda: False)
        assert served == []


async def test_connection_is_not_reused_shortly_before_its_keep_alive_timeout():
    async def serve(connection, writer):
        head = f"HTTP/1.1 200 OK\r\n{ID}: a\r\nKeep-Alive: timeout=1\r\n"
        writer.write(head.encode() + b"Content-Length: 2\r\n\r\nok")

    async with endpoint(serve) as (address, client, connections):
        await ask(client, address, "a")
        await asyncio.sleep(0.4)
        await ask(client, address, "a")
        assert len(connections) == 2


async def test_call_without_an_id_ignores_responses_with_one():
    async def serve(connection, writer):
        body = b"mine"
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        writer.write(http_response("late", b"other") + head + body)

    async with endpoint(serve) as (address, client, _):
        response = await client.call(address, ControlCall("GET", "/r"), 1.0)
        assert (response.status, response.body) == (200, b"mine")


LIMITS = ProgressLimits(1.0, 1.0, 1.0)
CALL = ControlCall("GET", "/r")


async def call_at_once(client, address):
    return await client.call(address, CALL, 1.0)


async def call_store(client, address):
    return await client.call_while_progressing(address, CALL, LIMITS, lambda _: None)


# Responses to calls of the store, and to reports and reservations, carry no id: an old
# copy of the store's documents was taken for the newest one.
@pytest.mark.parametrize("call", [call_at_once, call_store])
async def test_late_second_response_without_an_id_is_not_taken_for_the_next_one(call):
    async with late_copies(b"%d") as address, endpoint(None) as (_, client, _):
        bodies = [(await call(client, address)).body for _ in range(3)]
    assert bodies == [b"0", b"1", b"2"]


# A prompt is prefilled and its answer decoded under one id, at times at one endpoint.
async def test_late_second_response_is_not_taken_for_one_to_the_same_id():
    async def serve(connection, writer):
        before = served.get(connection, b"")
        served[connection] = http_response("a", b"%d" % len(served))
        writer.write(before + served[connection])

    served = {}
    async with endpoint(serve) as (address, client, _):
        assert await ask(client, address, "a", reuse=False) == b"0"
        assert await ask(client, address, "a") == b"1"


@pytest.mark.parametrize("abandon", ["timeout", "cancelled"])
async def test_connection_of_an_abandoned_request_is_not_reused(abandon):
    """Its response comes late and would be the first one that the next request sees."""

    async def serve(connection, writer):
        if connection == 1:
            await asyncio.sleep(0.2)
        writer.write(plain_response(b"%d" % connection))

    async with endpoint(serve) as (address, client, connections):
        first = asyncio.ensure_future(
            client.call(address, CALL, 0.1 if abandon == "timeout" else 1.0)
        )
        await asyncio.sleep(0.05)
        if abandon == "cancelled":
            first.cancel()
        with pytest.raises((TimeoutError, asyncio.CancelledError)):
            await first
        assert (await client.call(address, CALL, 1.0)).body == b"2"
        assert len(connections) == 2


# Closing the client ended a body without a length as if its endpoint had ended it.
async def test_body_that_ends_with_the_client_is_not_complete():
    async def serve(connection, writer):
        writer.write(f"HTTP/1.1 200 OK\r\n{ID}: a\r\n\r\nhalf".encode())

    async with endpoint(serve) as (address, client, _):
        reading = asyncio.ensure_future(ask(client, address, "a"))
        await asyncio.sleep(0.2)
        await client.close()
        with pytest.raises(aiohttp.ClientError):
            await reading
