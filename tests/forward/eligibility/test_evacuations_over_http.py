"""Entries over HTTP while the operator evacuates a zone."""

import asyncio
from functools import partial
from itertools import count

from helpers.forwarding_path import MODEL, forwarding_fleet, received

EVACUATE_S = 5.0  # the platform's bound from the acknowledged key to the last request
INTERVAL_S = 0.02
EVACUATION = "op/evacuate/z2"


async def until_evacuated(setups, zones):
    for setup in setups:
        await setup.until(partial(has_evacuated, setup, zones), EVACUATE_S)


def has_evacuated(setup, zones):
    return set(setup.entry.entry.replica.evacuations.zones) == zones


class Load:
    """Sends requests to all entries in turn, and keeps the answers by time."""

    def __init__(self, setups):
        self.setups, self.answers = setups, []
        self._ids = count(1)

    async def run(self, seconds):
        loop = asyncio.get_running_loop()
        until, asked = loop.time() + seconds, []
        while loop.time() < until:
            asked.append(asyncio.create_task(self._ask(next(self._ids))))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*asked)

    def not_served(self):
        return [(status, body) for _, status, body in self.answers if status != 200]

    async def _ask(self, number):
        setup = self.setups[number % len(self.setups)]
        headers = {"X-Request-Id": f"id-{number}"}
        sent_at = asyncio.get_running_loop().time()
        if number % 2:
            status, body, _ = await setup.ask("/read/x", **headers)
        else:
            headers |= MODEL
            status, body, _ = await setup.ask("/write/x", "POST", **headers)
        self.answers.append((sent_at, status, body))


def record_arrivals(worker):
    """Return a list that gets the time of each request to an endpoint."""
    arrivals = []

    class Recorder:
        async def send(self, request, headers):
            arrivals.append(asyncio.get_running_loop().time())

    worker.answer = worker.prefill_answer = Recorder()
    return arrivals


async def test_no_request_reaches_an_evacuated_zone_after_the_bound():
    """One entry is turned away by the store and learns of the key from the other one.

    Guards against entries that read the key and use the zone all the same.
    """
    async with forwarding_fleet(2, ("v1", "v1")) as setups:
        store = setups[0].store
        names = ("plain-2", "decode", "prefill")
        await setups[0].move("z2", *names)
        # No endpoint is in the entries' own zone, which they would prefer.
        await setups[0].move("z3", "plain-1", "decode-1")
        arrivals = {name: record_arrivals(setups[0].workers[name]) for name in names}
        load = Load(setups)
        running = asyncio.create_task(load.run(EVACUATE_S + 3.0))
        await asyncio.sleep(1.0)
        turn_away(setups[1])
        await store.put(EVACUATION, {})
        acknowledged = asyncio.get_running_loop().time()
        await running
        assert all(arrivals.values())  # the zone was used before
        for times in arrivals.values():
            assert [at for at in times if at > acknowledged + EVACUATE_S] == []
        assert load.not_served() == []


def turn_away(setup):
    """Make the store unreachable for one entry only."""
    client = setup.entry.node.client

    async def refuse(*args):
        raise OSError("turned away")

    client.call_while_progressing = refuse


async def test_requests_are_refused_at_once_while_all_zones_are_evacuated():
    async with forwarding_fleet(2) as setups:
        store = setups[0].store
        for zone in ("z1", "z2"):
            await store.put(f"op/evacuate/{zone}", {})
        await until_evacuated(setups, {"z1", "z2"})
        before = len(received(setups[0]))
        started = asyncio.get_running_loop().time()
        for setup in setups:
            for target, method, headers in (
                ("/read/x", "GET", {}),
                ("/write/x", "POST", MODEL),
            ):
                status, body, sent = await setup.ask(target, method, **headers)
                assert status == 503
                assert b"zone_evacuated" in body
                assert float(sent["Retry-After"]) > 0
        assert asyncio.get_running_loop().time() - started < 1.0
        assert len(received(setups[0])) == before
        await store.remove("op/evacuate/z1")
        await until_evacuated(setups, {"z2"})
        assert (await setups[0].ask("/read/x"))[0] == 200


async def test_an_evacuation_survives_the_stores_return_from_an_older_copy():
    """The operator writes the key again, as the platform states."""
    async with forwarding_fleet(2) as setups:
        store = setups[0].store
        await setups[0].move("z2", "plain-2")
        await setups[0].move("z3", "plain-1")
        copy = store.copy()
        await store.put(EVACUATION, {})
        await until_evacuated(setups, {"z2"})
        arrivals = record_arrivals(setups[0].workers["plain-2"])
        load = Load(setups)
        running = asyncio.create_task(load.run(4.0))
        await store.restore(copy)
        await asyncio.sleep(2.0)
        await store.put(EVACUATION, {})
        await running
        assert arrivals == []
        assert load.not_served() == []
