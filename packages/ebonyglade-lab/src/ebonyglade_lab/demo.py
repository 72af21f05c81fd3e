"""The main job end to end on the stand-ins, in one process."""

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
    """What the demo saw.

    Attributes:
        whole: answers that were complete and right.
        wrong: answers that were not.
        bookings: status and count of executions of the booking.
        first_answer: text of one answer, to show.
        held_pieces: engine memory held afterwards.
        seconds: duration of the prompts.
    """

    whole: int = 0
    wrong: int = 0
    bookings: list[tuple[int, int]] = field(default_factory=list)
    first_answer: str = ""
    held_pieces: int = 0
    seconds: float = 0.0

    @property
    def good(self) -> bool:
        """Whether everything was as promised."""
        booked = all(status == 201 and count == 1 for status, count in self.bookings)
        return self.wrong == 0 and booked and self.held_pieces == 0


async def ask(session: aiohttp.ClientSession, url: str, prompt: str) -> str:
    """Return the text of one streamed answer, whole or raising."""
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
                raise ValueError("the stream failed")
            if line.strip() == b"data: [DONE]":
                return "".join(text)
            if line.startswith(b"data: "):
                text.append(json.loads(line[6:])["choices"][0]["text"])
    raise ValueError("the stream ended early")


async def book(session: aiohttp.ClientSession, url: str, body: str) -> tuple[int, int]:
    """Make one booking; return its status and how often it was executed."""
    headers = {"Authorization": f"Bearer {KEY}"}
    async with session.post(url + "/bookings", data=body, headers=headers) as answer:
        return answer.status, (await answer.json()).get("count", 0)


async def wait_ready(session: aiohttp.ClientSession, fleet: Fleet) -> None:
    """Wait until every entry knows every agent."""
    async with asyncio.timeout(READY_TIMEOUT_S):
        for entry in fleet.entries.values():
            while len(entry.node.config.view.instances) < len(fleet.agents):
                await asyncio.sleep(0.05)


async def run_demo() -> DemoReport:
    """Start a fleet, send prompts and a booking, and stop it."""
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
        right = answer == "".join(answer_tokens(prompt, MAX_TOKENS))
        report.whole += right
        report.wrong += not right
    report.first_answer = str(answers[0])


def render(report: DemoReport) -> str:
    """Return the summary as a table."""
    rows = [
        ("prompts answered whole", report.whole),
        ("prompts answered wrongly", report.wrong),
        ("seconds for all prompts", round(report.seconds, 2)),
        ("bookings (status, executions)", report.bookings),
        ("engine memory still held", report.held_pieces),
        ("verdict", "good" if report.good else "BAD"),
    ]
    lines = [f"first answer: {report.first_answer[:60]} ...", ""]
    lines += [f"{name:<32} {value}" for name, value in rows]
    return "\n".join(lines)
