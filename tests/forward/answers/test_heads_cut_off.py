"""Answers that end within their head, on fresh and kept connections."""

import asyncio

import aiohttp
import pytest

from ebonyglade_agent.staging.service import StagingAgent
from ebonyglade_agent.staging.settings import StagingSettings
from helpers.forwarding_path import MODEL, ROUTES, forwarding_setup, settings
from helpers.raw_endpoints import raw_endpoints, read_request, response
from helpers.scripted_answers import reset
from helpers.users_platform import PlatformStore, PlatformWorker, config

TARGETS = {"read": "/read/x", "booking": "/book/x", "stream": "/write/x"}
ENDPOINTS = ("plain-1", "plain-2", "prefill", "decode")
HANDLE = b'{"KvHandle": "h", "Tokens": 10, "Version": 1}'
HOLD = b'{"Hold": "h"}'
# Places in a head after which nothing comes, from its end or its beginning on.
CUTS = {
    "within the status": 10,
    "after the status line": len(b"HTTP/1.1 200 X\r\n"),
    "within the name of a header": len(b"HTTP/1.1 200 X\r\nX-Requ"),
    "within the value of a header": -8,
    "before the end of the last line": -4,
    "after the last line": -2,
    "within the empty line": -1,
}
all_cuts = pytest.mark.parametrize("cut", CUTS.values(), ids=CUTS.keys())
all_ends = pytest.mark.parametrize("end", ["closed", "reset"])


class Endpoints:
    """Answer all requests whole, but one kind of them with a part of the head.

    Attributes:
        cut: where the head is cut.
        end: how the connection ends then.
        spoilt: kind of request whose answers are cut.
        armed: whether they are cut now.
    """

    def __init__(self, cut, end, spoilt):
        self.cut, self.end, self.spoilt, self.armed = cut, end, spoilt, False
        self.cut_off = 0

    def respond(self, endpoint, request, state):
        kind = self._kind(request)
        bodies = {"prefill": HANDLE, "reservation": HOLD, "run": b"id: 1\ndata: a\n\n"}
        headers = {"X-Request-Id": request.id}
        if kind == "run":
            headers["X-Response-Signature"] = f"signed-by-{endpoint.name}"
        whole = response(200, headers, bodies[kind])
        if not (self.armed and kind == self.spoilt):
            return whole
        self.cut_off += 1
        head, _, _ = whole.partition(b"\r\n\r\n")
        loop = asyncio.get_running_loop()
        loop.call_later(0.05, getattr(self, f"_{self.end}"), state)
        return (head + b"\r\n\r\n")[: self.cut]

    def _kind(self, request):
        if request.line.startswith("POST /hold-take"):
            return "reservation"
        return "prefill" if request.headers.get("x-stage") == "prefill" else "run"

    def _closed(self, state):
        state["close"]()

    def _reset(self, state):
        reset(state["transport"])


def ask(setup, kind, request_id):
    headers = {"X-Request-Id": request_id} | (MODEL if kind == "stream" else {})
    return setup.ask(TARGETS[kind], "POST", body=b"p", **headers)


@all_cuts
@all_ends
@pytest.mark.parametrize("kept", [False, True])
async def test_an_answer_that_ends_within_its_head_is_no_answer(cut, end, kept):
    endpoints = Endpoints(cut, end, "run")
    async with (
        forwarding_setup() as setup,
        raw_endpoints(setup, endpoints.respond, ENDPOINTS),
    ):
        for kind in TARGETS:
            endpoints.armed = False
            for number in range(2 if kept else 0):
                assert (await ask(setup, kind, f"{kind}-{number}"))[0] == 200
            endpoints.armed = True
            try:
                status, _, headers = await ask(setup, kind, f"{kind}-cut")
            except aiohttp.ClientError:
                continue
            assert status in (502, 504)
            assert "X-Response-Signature" not in headers
        assert endpoints.cut_off >= len(TARGETS)


@all_cuts
@all_ends
@pytest.mark.parametrize("spoilt", ["prefill", "reservation"])
async def test_a_prefill_or_call_whose_answer_ends_within_its_head_has_failed(
    cut, end, spoilt
):
    endpoints = Endpoints(cut, end, spoilt)
    async with (
        forwarding_setup() as setup,
        raw_endpoints(setup, endpoints.respond, ENDPOINTS),
    ):
        endpoints.armed = True
        status, body, _ = await ask(setup, "stream", "one")
        assert endpoints.cut_off
        if spoilt == "prefill":
            # The decode endpoint prefills the prompt itself.
            assert (status, body) == (200, b"id: 1\ndata: a\n\n")
        else:
            assert status == 503


@all_cuts
@all_ends
async def test_a_report_whose_answer_ends_within_its_head_is_not_used(
    cut, end, monkeypatch
):
    asked = 0

    async def connected(reader, writer):
        nonlocal asked
        try:
            await read_request(reader)
        except asyncio.IncompleteReadError:
            writer.close()
            return
        asked += 1
        writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n"[:cut])
        await asyncio.sleep(0.02)
        if end == "reset":
            reset(writer.transport)
        writer.close()

    server = await asyncio.start_server(connected, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with (
        server,
        PlatformStore() as store,
        PlatformWorker("a", "decode") as worker,
    ):
        await store.put("op/config", config(1, ROUTES))
        document = worker.registration("model", Address=f"127.0.0.1:{port}")
        await store.put("servers/a", document)
        endpoint = {"address": f"127.0.0.1:{port}", "poll_ms": 50}
        async with StagingAgent(
            settings(StagingSettings, store, endpoint=endpoint)
        ) as agent:
            reports = []
            monkeypatch.setattr(agent.agent, "on_report", reports.append)
            async with asyncio.timeout(3.0):
                while asked < 2:
                    await asyncio.sleep(0.02)
        await asyncio.sleep(0.1)  # for connections that are still open to end
        assert not reports
