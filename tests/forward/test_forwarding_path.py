"""The forwarding entry and the agent against simulated parts of the users' platform."""

import asyncio
import json
from contextlib import AsyncExitStack

import aiohttp
import tomli_w

from ebonyglade_agent.staging.service import StagingAgent
from ebonyglade_agent.staging.settings import StagingSettings
from ebonyglade_entry.forwarding.service import ForwardingEntry
from ebonyglade_entry.forwarding.settings import ForwardSettings
from helpers.forwarding_path import (
    MODEL,
    ROUTES,
    forwarding_setup,
    received,
    settings,
    start_platform,
)
from helpers.ports import free_port
from helpers.users_platform import PlatformStore, PlatformWorker, config, route


async def test_a_request_reaches_an_endpoint_unchanged_without_its_key():
    async with forwarding_setup() as setup:
        status, body, headers = await setup.ask(
            "/read/x%2Fy?q=1", "POST", body=b"text", **{"X-Tenant": "forged"}
        )
        assert (status, body) == (200, b"echo text")
        assert headers["X-Response-Signature"].startswith("signed-by-plain")
        ((method, target, sent, sent_body),) = received(setup)
        assert (method, target, sent_body) == ("POST", "/read/x%2Fy?q=1", b"text")
        assert "Api-Key" not in sent
        assert sent["X-Tenant"] == "team-a"
        assert 0 < int(sent["X-Deadline-Ms"]) <= 2000


async def test_keys_and_routes_that_are_not_published_are_refused():
    async with forwarding_setup() as setup:
        assert (await setup.ask("/read/x", key="wrong"))[0] == 401
        assert (await setup.ask("/read/x", key=""))[0] == 401
        assert (await setup.ask("/none/x"))[0] == 404
        assert (await setup.ask("/open/x", key=""))[0] == 200


async def test_a_withdrawn_key_and_a_new_route_take_effect_at_once():
    async with forwarding_setup() as setup:
        await setup.ask("/read/x")
        routes = [*ROUTES, route("/new/", "plain")]
        await setup.store.put("op/config", config(2, routes, keys=("key-2",)))
        await setup.until(lambda: setup.entry.entry.replica.table.version == 2)
        assert (await setup.ask("/read/x"))[0] == 401
        assert (await setup.ask("/new/x", key="key-2"))[0] == 200


async def test_keys_are_refused_when_the_configuration_is_too_old():
    async with forwarding_setup(revoke_ms=1500) as setup:
        setup.store.down = True
        await asyncio.sleep(1.5)
        status, _, headers = await setup.ask("/read/x")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert (await setup.ask("/none/x"))[0] == 503
        async with setup.session.get(setup.ready) as response:
            assert response.status == 503
        setup.store.down = False
        await setup.until(lambda: setup.entry.entry.ready)
        assert (await setup.ask("/read/x"))[0] == 200


async def test_a_non_idempotent_request_whose_response_is_lost_is_not_retried():
    async with forwarding_setup() as setup:
        for worker in setup.workers.values():
            worker.failure = "reset"
        status, _, _ = await setup.ask("/book/x", "POST", body=b"seat")
        assert status == 502
        assert len(received(setup)) == 1


async def test_a_non_idempotent_request_that_did_not_run_is_retried_elsewhere():
    async with forwarding_setup() as setup:
        setup.workers["plain-1"].failure = "not executed"
        for _ in range(6):
            assert (await setup.ask("/book/x", "POST", body=b"seat"))[0] == 200


async def test_a_request_without_a_response_is_refused_at_its_timeout():
    async with forwarding_setup() as setup:
        for worker in setup.workers.values():
            worker.failure = "silent"
        started = asyncio.get_running_loop().time()
        status, _, _ = await setup.ask("/slow/x")
        assert status == 504
        assert 0.2 < asyncio.get_running_loop().time() - started < 0.6


async def test_a_stream_is_prefilled_separately_and_passed_on_event_by_event():
    async with forwarding_setup() as setup:
        status, body, headers = await setup.ask("/write/x", "POST", body=b"p", **MODEL)
        assert status == 200
        assert body.count(b"data: decode") == 3
        assert headers["X-Response-Signature"] == "signed-by-decode"
        ((_, _, sent, _),) = setup.workers["decode"].received
        address = setup.workers["prefill"].registration("model")["Address"]
        assert sent["X-Kv-Source"].startswith(f"{address}/handle-")
        assert sent["X-Kv-Hold"].startswith("hold-")
        assert not setup.workers["decode"].holds


async def test_a_truncated_stream_does_not_end_as_complete():
    async with forwarding_setup() as setup:
        setup.workers["decode"].abort_after_events = 2
        try:
            await setup.ask("/write/x", "POST", body=b"p", **MODEL)
        except aiohttp.ClientError:
            return
        raise AssertionError("the truncated stream ended as if it was complete")


async def test_a_caller_that_disconnects_ends_the_run():
    async with forwarding_setup() as setup:
        setup.workers["decode"].events = 1000
        setup.workers["decode"].event_interval_s = 0.02
        task = asyncio.ensure_future(setup.ask("/write/x", "POST", body=b"p", **MODEL))
        await setup.until(lambda: setup.workers["decode"].received)
        await asyncio.sleep(0.1)
        task.cancel()
        loads = setup.entry.entry.loads
        await setup.until(lambda: loads.in_flight("decode") == 0, 0.5)


async def test_the_store_is_read_again_when_its_history_was_compacted():
    async with forwarding_setup() as setup:
        setup.store.down = True
        await asyncio.sleep(1.2)
        await setup.store.remove("servers/plain-2")
        await setup.store.put("op/config", config(2, ROUTES))
        setup.store.forget_history()
        setup.store.down = False
        await setup.until(lambda: setup.entry.entry.replica.table.version == 2)
        # Its document may have expired in the outage, so that it is kept for a while.
        assert "plain-2" in setup.entry.entry.replica.registry.endpoints
        await setup.until(
            lambda: "plain-2" not in setup.entry.entry.replica.registry.endpoints
        )


async def test_a_store_that_comes_back_from_an_older_copy_is_followed():
    async with forwarding_setup() as setup:
        replica = setup.entry.entry.replica
        copy = setup.store.copy()
        await setup.store.put("op/config", config(2, ROUTES, keys=("key-2",)))
        await setup.store.remove("servers/plain-2")
        await setup.until(lambda: replica.table.version == 2)
        await setup.store.restore(copy)
        await setup.until(lambda: replica.as_of.era == 2)
        # The withdrawn key stays withdrawn, and the endpoint that left is not used.
        assert (await setup.ask("/read/x"))[0] == 401
        assert len(replica.registry.accepting("plain")) == 1
        await setup.store.put("op/config", config(3, ROUTES, keys=("key-1",)))
        await setup.until(lambda: replica.table.version == 3)
        assert (await setup.ask("/read/x"))[0] == 200


async def test_a_read_during_which_the_store_comes_back_is_begun_again():
    async with forwarding_setup() as setup:
        replica = setup.entry.entry.replica
        copy = setup.store.copy()
        for version in range(2, 6):
            await setup.store.put("op/config", config(version, ROUTES))
        await setup.until(lambda: replica.table.version == 5)
        setup.store.between_pages = lambda: setup.store.restore(copy)
        await setup.store.restore(copy)
        await setup.until(lambda: replica.as_of.era == 3)
        assert replica.table.version == 5
        await setup.store.put("op/config", config(6, ROUTES))
        await setup.until(lambda: replica.table.version == 6)


async def test_a_worker_that_says_that_it_leaves_gets_no_new_requests():
    async with forwarding_setup() as setup:
        setup.workers["plain-1"].leaving = setup.workers["plain-2"].leaving = True
        assert (await setup.ask("/read/x"))[0] == 200
        assert (await setup.ask("/read/x"))[0] == 200
        status, _, headers = await setup.ask("/read/x")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert len(received(setup)) == 2


async def test_a_worker_that_asks_for_backoff_gets_no_requests_during_it():
    async with forwarding_setup() as setup:
        for name in ("plain-1", "plain-2"):
            setup.workers[name].failure = "not executed"
            setup.workers[name].retry_after = 1.5
        status, _, headers = await setup.ask("/read/x")
        assert status == 503
        assert 1.0 <= float(headers["Retry-After"]) <= 1.5
        assert (await setup.ask("/read/x"))[0] == 503
        assert len(received(setup)) == 2
        for name in ("plain-1", "plain-2"):
            setup.workers[name].failure = None
        await asyncio.sleep(1.5)
        assert (await setup.ask("/read/x"))[0] == 200


async def test_a_planned_stop_finishes_open_requests_and_closes_connections():
    async with forwarding_setup() as setup:
        setup.workers["decode"].events = 60
        setup.workers["decode"].event_interval_s = 0.02
        running = asyncio.ensure_future(
            setup.ask("/write/x", "POST", body=b"p", **MODEL)
        )
        await setup.until(lambda: setup.workers["decode"].received)
        stopping = asyncio.ensure_future(setup.entry.drain())
        await asyncio.sleep(0.1)
        async with setup.session.get(setup.ready) as response:
            assert response.status == 503
        status, _, headers = await setup.ask("/read/x")
        assert (status, headers["Connection"]) == (200, "close")
        status, body, _ = await running
        assert (status, body.count(b"data:")) == (200, 60)
        await stopping


async def test_a_planned_stop_closes_idle_connections():
    async with forwarding_setup() as setup:
        host, _, port = setup.base.removeprefix("http://").partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"GET /open/x HTTP/1.1\r\nHost: h.example\r\n"
            b"X-Request-Id: id-1\r\nX-Deadline-Ms: 1000\r\n\r\n"
        )
        assert (await reader.readline()).split()[1] == b"200"
        stopping = asyncio.ensure_future(setup.entry.drain())
        async with asyncio.timeout(4.0):
            await reader.read()
        await stopping
        writer.close()


async def test_reload_adds_seeds_and_ignores_invalid_settings(tmp_path):
    async with forwarding_setup() as setup:
        changed = setup.entry.node.settings.model_dump(mode="json")
        changed["seeds"] = ["127.0.0.9:1"]
        file = tmp_path / "entry.toml"
        file.write_text(tomli_w.dumps(changed))
        setup.entry.node.reload(str(file), setup.entry.entry.members)
        assert any("127.0.0.9" in seed for seed in setup.entry.entry.members.seeds)
        file.write_text("seeds = 3")
        setup.entry.node.reload(str(file), setup.entry.entry.members)
        assert (await setup.ask("/read/x"))[0] == 200


# QUOTA: a file that changed without a signal was not read, so that an entry whose seeds
# were stale at its start stayed alone for good.
async def test_a_settings_file_that_changes_without_a_signal_is_applied(tmp_path):
    file = tmp_path / "entry.toml"
    async with AsyncExitStack() as stack:
        store, _ = await start_platform(stack)
        listen = {
            "callers": f"127.0.0.1:{free_port()}",
            "ready": f"127.0.0.1:{free_port()}",
        }
        loaded = settings(ForwardSettings, store, listen=listen, seeds=["127.0.0.8:1"])
        document = loaded.model_dump(mode="json")
        file.write_text(tomli_w.dumps(document))
        entry = ForwardingEntry(loaded, str(file))
        await stack.enter_async_context(entry)
        members = entry.entry.members
        document["seeds"] = ["127.0.0.9:1"]
        whole = tomli_w.dumps(document)
        file.write_text(whole[:40])  # as while it is being written
        await asyncio.sleep(0.7)
        assert [seed.split(":")[1] for seed in members.seeds] == ["//127.0.0.8"]
        file.write_text(whole)
        async with asyncio.timeout(3.0):
            while [seed.split(":")[1] for seed in members.seeds] != ["//127.0.0.9"]:
                await asyncio.sleep(0.05)


async def test_an_agent_orders_a_surplus_prefill_endpoint_to_decode():
    async with AsyncExitStack() as stack:
        store = PlatformStore()
        first, second = PlatformWorker("a", "prefill"), PlatformWorker("b", "prefill")
        third = PlatformWorker("c", "decode")
        for service in (store, first, second, third):
            await stack.enter_async_context(service)
        await store.put("op/config", config(1, ROUTES))
        for worker in (first, second, third):
            await store.put(f"servers/{worker.name}", worker.registration("model"))
        address = first.registration("model")["Address"]
        endpoint = {"address": address, "poll_ms": 50}
        agent = StagingAgent(settings(StagingSettings, store, endpoint=endpoint))
        await stack.enter_async_context(agent)
        async with asyncio.timeout(4.0):
            while not first.orders:
                await asyncio.sleep(0.05)
        order = json.loads(json.dumps(first.orders[0]))
        assert order["Stage"] == "decode"
        assert order["FencingToken"] >= 2
        assert second.orders == []
