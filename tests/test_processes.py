import asyncio
from itertools import cycle

import aiohttp
import pytest

from ebonyglade_lab import demo
from ebonyglade_lab.fleet import FleetSize
from ebonyglade_lab.processes import prepare_processes, wait_for_url
from ebonyglade_lab.standins.answers import answer_tokens

STOPS = {"http": {"leave_s": 0.3}, "endpoint": {"leave_s": 0.5}}


@pytest.fixture
def fleet(tmp_path):
    size = FleetSize(entries=2, prefill=4, decode=4, service=2)
    processes = prepare_processes(tmp_path, size, STOPS)
    try:
        processes.start_all()
        yield processes
    finally:
        processes.stop_all()


async def held_jobs(fleet, session):
    held = []
    for item in fleet.plan.instances:
        if item.stage in ("prefill", "decode"):
            async with session.get(item.url + "/v1/held") as answer:
                held += (await answer.json())["jobs"]
    return held


async def ask_many(urls, prompts):
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        return await asyncio.gather(
            *(
                demo.ask(session, url, text)
                for url, text in zip(cycle(urls), prompts, strict=False)
            ),
            return_exceptions=True,
        )


def expected(prompts):
    return ["".join(answer_tokens(text, demo.MAX_TOKENS)) for text in prompts]


async def test_200_prompts_get_their_own_answers_and_engine_memory_is_freed(fleet):
    prompts = [f"Seminar {number}: " + "words " * number for number in range(200)]
    urls = [item.url for item in fleet.plan.of_role("entry")]
    answers = await ask_many(urls, prompts)
    assert answers == expected(prompts)
    async with aiohttp.ClientSession() as session:
        async with asyncio.timeout(10):
            while await held_jobs(fleet, session):
                await asyncio.sleep(0.1)


async def test_rolling_restart_under_load_loses_no_request(fleet):
    """As a load balancer does, the callers use an entry only while it is ready."""
    entries = fleet.plan.of_role("entry")
    ready = {item.name: item.url for item in entries}
    failures, answered, done = [], [], asyncio.Event()

    async def caller(number):
        async with aiohttp.ClientSession() as session:
            attempt = 0
            while not done.is_set():
                text = f"caller {number} turn {attempt}"
                urls = list(ready.values())
                url = urls[(number + attempt) % len(urls)]
                try:
                    answer = await demo.ask(session, url, text)
                except (ValueError, aiohttp.ClientError) as error:
                    failures.append(f"{text}: {error!r}")
                else:
                    assert [answer] == expected([text])
                    answered.append(text)
                attempt += 1

    callers = [asyncio.ensure_future(caller(number)) for number in range(12)]
    for item in fleet.plan.instances:
        ready.pop(item.name, None)
        code = await asyncio.to_thread(fleet.stop, item.name)
        assert code == 0, fleet.log(item.name)
        fleet.start(item)
        await asyncio.to_thread(wait_for_url, item.status_url + "/healthz")
        if item.role == "entry":
            await asyncio.to_thread(wait_for_url, item.url + "/readyz")
            ready[item.name] = item.url
    done.set()
    await asyncio.gather(*callers)
    assert not failures, failures[:5]
    assert len(answered) > 50
