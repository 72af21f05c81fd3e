"""Documents of other writers among those of the endpoints, at entries and agents."""

import asyncio
import json

import pytest

from ebonyglade_agent.staging.service import StagingAgent
from ebonyglade_agent.staging.settings import StagingSettings
from ebonyglade_platform import decode_endpoint
from helpers.forwarding_path import MODEL, ROUTES, forwarding_setup, settings
from helpers.users_platform import PlatformStore, PlatformWorker, config

SOUND = {
    "Service": "plain",
    "Address": "127.0.0.1:8080",
    "Zone": "z1",
    "Version": "v1",
    "Slots": 4,
    "State": "ready",
    "Seq": 1,
    "born": 1_700_000_000_000,
}
HUGE = int("9" * 400)
ODD_FIELDS = {
    "port above 65535": {"Address": "127.0.0.1:99999"},
    "port 0": {"Address": "127.0.0.1:0"},
    "port of many digits": {"Address": f"127.0.0.1:{HUGE}"},
    "number above 255 in the address": {"Address": "300.0.0.1:8080"},
    "digits of another script": {"Address": "١٢٧.٠.٠.١:8080"},
    "line end after the address": {"Address": "127.0.0.1:8080\n"},
    "many slots": {"Slots": HUGE},
    "slots of 64 bits": {"Slots": 2**63},
    "slots that are no number": {"Slots": float("nan")},
    "start of 400 digits": {"born": HUGE},
    "start before 1970": {"born": -(2**70)},
    "start of 64 bits": {"born": 2**64},
    "infinite cold state": {"ColdLeftMs": float("inf")},
    "cold state of 400 digits": {"ColdLeftMs": HUGE},
    "cold state that is no number": {"ColdLeftMs": float("nan")},
    "half a character in the version": {"Version": "\ud800"},
    "half a character in the zone": {"Zone": "\udfff"},
    "half a character in the service": {"Service": "\ud800"},
    "long version": {"Version": "v" * 700_000},
    "long zone": {"Zone": "z" * 700_000},
    "list as version": {"Version": ["v1"]},
}
NESTED = b'{"Service": ' + b"[" * 50_000 + b"]" * 50_000 + b"}"
ODD = {name: json.dumps(SOUND | odd).encode() for name, odd in ODD_FIELDS.items()}
ODD |= {"nested deeply": NESTED, "not UTF-8": b"\xff\xfe{}", "nothing": b""}
KINDS = (("/read/x", {}), ("/book/x", {}), ("/write/x", MODEL))
# Their numbers are such that a log line, a message or a sum can't hold them.
odd_documents = pytest.mark.parametrize("document", ODD.values(), ids=ODD.keys())


# A port above 65535 gave callers 500 until the document was removed.
@odd_documents
async def test_an_odd_document_names_no_endpoint(document):
    with pytest.raises(ValueError):
        decode_endpoint("odd", document)


@pytest.mark.parametrize("service", ["plain", "model"])
async def test_requests_are_served_beside_odd_documents(service):
    async with forwarding_setup() as setup:
        for number, document in enumerate(ODD.values()):
            named = document.replace(b'"plain"', f'"{service}"'.encode())
            await setup.store.put(f"servers/odd-{number}", named)
        await setup.store.put("op/config", config(2, ROUTES))
        replica = setup.entry.entry.replica
        await setup.until(lambda: replica.table.version == 2)
        for target, headers in KINDS:
            for number in range(6):
                request_id = f"{target}-{number}"
                status, _, _ = await setup.ask(
                    target, "POST", **headers, **{"X-Request-Id": request_id}
                )
                assert status == 200
        assert not setup.entry.crashed


async def test_an_agent_follows_the_store_beside_odd_documents():
    async with PlatformStore() as store, PlatformWorker("a", "prefill") as worker:
        await store.put("op/config", config(1, ROUTES))
        for number, document in enumerate(ODD.values()):
            await store.put(f"servers/odd-{number}", document)
        endpoint = {"address": f"127.0.0.1:{worker.port}", "poll_ms": 50}
        async with StagingAgent(
            settings(StagingSettings, store, endpoint=endpoint)
        ) as agent:
            await store.put("servers/a", worker.registration("model"))
            async with asyncio.timeout(3.0):
                while "a" not in agent.agent.replica.registry.endpoints:
                    await asyncio.sleep(0.02)
            assert set(agent.agent.replica.registry.endpoints) == {"a"}
            assert not agent.crashed


# The calls of workers are the same, so that theirs must be read as strictly.
@pytest.mark.parametrize("field", ["Seq", "Queued", "KvUsed", "born"])
async def test_an_agent_goes_on_after_a_report_with_a_huge_number(field):
    async with PlatformStore() as store, PlatformWorker("a", "prefill") as worker:
        await store.put("op/config", config(1, ROUTES))
        await store.put("servers/a", worker.registration("model"))
        endpoint = {"address": f"127.0.0.1:{worker.port}", "poll_ms": 50}
        async with StagingAgent(
            settings(StagingSettings, store, endpoint=endpoint)
        ) as agent:
            worker.malformed_report = json.dumps(
                {"Stage": "prefill", field: HUGE}
            ).encode()
            await asyncio.sleep(0.4)
            worker.malformed_report, reports = None, worker.reports
            await asyncio.sleep(0.3)
            assert worker.reports > reports
            assert not agent.crashed
