"""Runs a fleet with its stand-ins in one process, and sends requests to it."""

import asyncio
import json
import time
from dataclasses import dataclass, field

import aiohttp

from ebonyglade_lab.fleet import KEY, Fleet
from ebonyglade_lab.standins.answers import answer_tokens

PROMPTS = 40
MAX_TOKENS = 64
READY_TIMEOUT_S = 10.0


@dataclass(slots=True)
class DemoReport:
    """The results of the demo.

    Attributes:
        correct: number of answers that were complete and correct.
        wrong: number of other answers.
        bookings: status and number of executions of each booking.
        first_answer: text of one answer, which is printed.
        held_pieces: KV-cache pieces that engines still hold afterwards.
        seconds: duration of all prompts.
    """

    correct: int = 0
    wrong: int = 0
    bookings: list[tuple[int, int]] = field(default_factory=list)
    first_answer: str = ""
    held_pieces: int = 0
    seconds: float = 0.0

    @property
    def passed(self) -> bool:
        """Whether all answers and bookings were correct and no memory is held."""
        booked = all(status == 201 and count == 1 for status, count in self.bookings)
        return self.wrong == 0 and booked and self.held_pieces == 0


async def ask(session: aiohttp.ClientSession, url: str, prompt: str) -> str:
    """Return the text of one streamed answer; raise an error if it is incomplete."""
    body = {
        "model": "abstracts",
        "prompt": prompt,
        "max_tokens": MAX_TOKENS,
        "stream": True,
    }
    headers = {"Authorization": f"Bearer {KEY}"}
    text: list[str] = []
    async with session.post(
        url + "/v1/completions", json=body, headers=headers
    ) as answer:
        if answer.status != 200:
            raise ValueError(await answer.text())
        async for line in answer.content:
            if line.startswith(b"event: error"):
                raise ValueError("the stream ended with an error event")
            if line.strip() == b"data: [DONE]":
                return "".join(text)
            if line.startswith(b"data: "):
                text.append(json.loads(line[6:])["choices"][0]["text"])
    raise ValueError("the stream ended before [DONE]")


async def book(session: aiohttp.ClientSession, url: str, body: str) -> tuple[int, int]:
    """Make one booking; return the HTTP status and the number of executions."""
    headers = {"Authorization": f"Bearer {KEY}"}
    async with session.post(url + "/bookings", data=body, headers=headers) as answer:
        return answer.status, (await answer.json()).get("count", 0)


async def wait_ready(session: aiohttp.ClientSession, fleet: Fleet) -> None:
    """Wait until every entry lists at least as many instances as there are agents."""
    async with asyncio.timeout(READY_TIMEOUT_S):
        for entry in fleet.entries.values():
            while len(entry.node.config.view.instances) < len(fleet.agents):
                await asyncio.sleep(0.05)


async def run_demo() -> DemoReport:
    """Start a fleet, send prompts and bookings, and stop it."""
    fleet = Fleet()
    report = DemoReport()
    await fleet.start()
    async with aiohttp.ClientSession() as session:
        await wait_ready(session, fleet)
        await _send_prompts(session, fleet, report)
        for index, url in enumerate(fleet.urls()):
            report.bookings.append(await book(session, url, f"room {index}"))
        await asyncio.sleep(1.0)
    report.held_pieces = fleet.held_pieces()
    await fleet.stop()
    return report


async def _send_prompts(
    session: aiohttp.ClientSession, fleet: Fleet, report: DemoReport
) -> None:
    urls = fleet.urls()
    prompts = [f"Abstract of talk {index}. " * 20 for index in range(PROMPTS)]
    started = time.monotonic()
    answers = await asyncio.gather(
        *(
            ask(session, urls[index % len(urls)], prompt)
            for index, prompt in enumerate(prompts)
        ),
        return_exceptions=True,
    )
    report.seconds = time.monotonic() - started
    for prompt, answer in zip(prompts, answers, strict=True):
        is_correct = answer == "".join(answer_tokens(prompt, MAX_TOKENS))
        report.correct += is_correct
        report.wrong += not is_correct
    report.first_answer = str(answers[0])


def render(report: DemoReport) -> str:
    """Return the summary as a table."""
    rows = [
        ("prompts answered correctly", report.correct),
        ("prompts answered wrongly", report.wrong),
        ("seconds for all prompts", round(report.seconds, 2)),
        ("bookings (status, executions)", report.bookings),
        ("engine memory still held", report.held_pieces),
        ("verdict", "good" if report.passed else "BAD"),
    ]
    lines = [f"first answer: {report.first_answer[:60]} ...", ""]
    lines += [f"{name:<32} {value}" for name, value in rows]
    return "\n".join(lines)
