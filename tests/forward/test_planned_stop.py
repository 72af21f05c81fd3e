"""Planned stops of an entry whose callers go on using their open connections."""

import asyncio
import random
import sys
from contextlib import AsyncExitStack, suppress

import aiohttp
import pytest
import tomli_w

from ebonyglade_entry.forwarding import server
from ebonyglade_entry.forwarding.settings import ForwardSettings
from helpers.callers import Caller
from helpers.forwarding_path import (
    forwarding_setup,
    received,
    settings,
    start_platform,
)
from helpers.ports import free_port

CALLERS = 30
BALANCER_DELAY_S = 0.4  # shortened, so that many stops fit into one test
GRACE_S = 2.0
PROCESS_GRACE_S = 8.0  # GraceS of the specification; SIGKILL follows
MAX_PAUSE_S = 0.15


def request(number, extra=""):
    return (
        "GET /open/x HTTP/1.1\r\nHost: h.example\r\n"
        f"X-Request-Id: id-{number}\r\nX-Deadline-Ms: 1000\r\n{extra}\r\n"
    ).encode()


def start_callers(address, count, stopped):
    """Start callers that go on until they can't connect once `stopped` is set."""
    tasks = []
    for number in range(count):
        rng = random.Random(number)
        caller = Caller(address, lambda rng=rng: rng.uniform(0, MAX_PAUSE_S), request)
        tasks.append(asyncio.ensure_future(caller.run(stopped)))
    return tasks


async def until_ready(url):
    async with asyncio.timeout(10.0), aiohttp.ClientSession() as session:
        while True:
            with suppress(aiohttp.ClientError):
                async with session.get(url) as response:
                    if response.status == 200:
                        return
            await asyncio.sleep(0.05)


async def stop_under_load(setup, callers):
    """Stop an entry while its callers go on; return the status of each request."""
    stopped = asyncio.Event()
    address = setup.base.removeprefix("http://").split(":")
    tasks = start_callers(address, callers, stopped)
    await asyncio.sleep(0.3)
    await setup.entry.drain()
    await setup.entry.server.stop()
    stopped.set()
    return [status for task in tasks for status in await task]


# The target: 30 callers and 20 stops, and no request that was sent completely is left
# without a response or a refusal. Idle connections were closed at once while callers'
# next requests were on their way.
@pytest.mark.parametrize("stop", range(20))
async def test_a_planned_stop_answers_every_request_on_open_connections(
    stop, monkeypatch
):
    monkeypatch.setattr(server, "BALANCER_DELAY_S", BALANCER_DELAY_S)
    async with forwarding_setup(grace_s=GRACE_S) as setup:
        statuses = await stop_under_load(setup, CALLERS)
    assert len(statuses) > 3 * CALLERS
    assert statuses.count(None) == 0
    assert set(statuses) <= {200, 503}


async def test_a_request_that_outlasts_a_planned_stop_is_answered_in_its_time(
    monkeypatch,
):
    """A request without a response at the end of the stop was cut off."""
    monkeypatch.setattr(server, "BALANCER_DELAY_S", BALANCER_DELAY_S)
    async with forwarding_setup(grace_s=GRACE_S) as setup:
        for worker in setup.workers.values():
            worker.failure = "silent"
        running = asyncio.ensure_future(setup.ask("/book/x", "POST", body=b"seat"))
        await setup.until(lambda: received(setup))
        started = asyncio.get_running_loop().time()
        await setup.entry.drain()
        assert asyncio.get_running_loop().time() - started < GRACE_S
        status, _, headers = await running
        # It may have run, so that it must not be refused as not run.
        assert (status, headers["Connection"]) == (504, "close")
        assert len(received(setup)) == 1


def send_sigterm(process):
    if process.returncode is None:
        process.terminate()


async def upload_while_stopping(setup, last_byte_after_s):
    """Send a booking whose last byte comes some time after the beginning of a stop.

    Returns:
        The status of its answer, and when it came; None and the end of the connection
        if there is no answer.
    """
    loop = asyncio.get_running_loop()
    host, port = setup.base.removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b"POST /book/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: id-1\r\n"
        b"X-Deadline-Ms: 5000\r\nApi-Key: key-1\r\nContent-Length: 2\r\n\r\ns"
    )
    await asyncio.sleep(0.1)
    started = loop.time()

    async def stop():
        await setup.entry.drain()
        await setup.entry.server.stop()

    stopping = asyncio.ensure_future(stop())
    if last_byte_after_s is not None:
        loop.call_later(last_byte_after_s, writer.write, b"t")
    try:
        async with asyncio.timeout(2 * GRACE_S):
            line = await reader.readline()
    except (TimeoutError, ConnectionError):
        line = b""
    answered_s = loop.time() - started
    writer.close()
    stopping.cancel()
    return int(line.split()[1]) if line else None, answered_s


# LOST: an upload that was whole late in the grace was passed on, and cut at its end
# with no answer. It may run, so that it must not be refused as not run after that.
@pytest.mark.parametrize("last_byte_after_s", [0.7, 1.2, 1.45, 1.6])
async def test_an_upload_that_is_whole_late_in_a_stop_is_not_passed_on(
    last_byte_after_s, monkeypatch
):
    monkeypatch.setattr(server, "BALANCER_DELAY_S", BALANCER_DELAY_S)
    async with forwarding_setup(grace_s=GRACE_S) as setup:
        for worker in setup.workers.values():
            worker.failure = "silent"
        status, answered_s = await upload_while_stopping(setup, last_byte_after_s)
        assert status == 503
        assert answered_s < GRACE_S
        assert not received(setup)


async def test_an_upload_that_outlasts_a_stop_is_refused_in_its_time(monkeypatch):
    monkeypatch.setattr(server, "BALANCER_DELAY_S", BALANCER_DELAY_S)
    async with forwarding_setup(grace_s=GRACE_S) as setup:
        status, answered_s = await upload_while_stopping(setup, None)
        assert status == 503
        assert answered_s < GRACE_S


# LOST: a second SIGTERM ended the stop at once, and active requests with it.
@pytest.mark.parametrize("signals", [1, 3])
async def test_a_process_that_gets_sigterm_answers_every_request(tmp_path, signals):
    """The whole stop of a process, with the delays and the grace period in use."""
    async with AsyncExitStack() as stack:
        store, _ = await start_platform(stack)
        callers, ready = free_port(), free_port()
        listen = {"callers": f"127.0.0.1:{callers}", "ready": f"127.0.0.1:{ready}"}
        chosen = settings(
            ForwardSettings, store, grace_s=PROCESS_GRACE_S, listen=listen
        )
        file = tmp_path / "entry.toml"
        file.write_text(tomli_w.dumps(chosen.model_dump(mode="json")))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            "from ebonyglade_entry.forwarding.program import main; main()",
            str(file),
            env={"PYTHONPATH": ":".join(sys.path), "PATH": "/usr/bin:/bin"},
            stdout=asyncio.subprocess.DEVNULL,
        )
        try:
            await until_ready(f"http://127.0.0.1:{ready}/ready")
            stopped = asyncio.Event()
            tasks = start_callers(("127.0.0.1", callers), CALLERS, stopped)
            await asyncio.sleep(1.0)
            loop = asyncio.get_running_loop()
            for number in range(signals):
                loop.call_later(0.5 * number, send_sigterm, process)
            async with asyncio.timeout(PROCESS_GRACE_S):
                assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
        stopped.set()
        statuses = [status for task in tasks for status in await task]
    assert len(statuses) > 3 * CALLERS
    assert set(statuses) <= {200, 503}
