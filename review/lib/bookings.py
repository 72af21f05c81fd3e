"""Bookings and reads at five entries before four plain workers, two of them faulty.

Rates, times and bounds are those of the sheet of the site aula-seminarios.
"""

import asyncio
from dataclasses import dataclass, field

from lib import http
from lib.deployment import TROUBLE, Deployment, Record, require_served
from lib.platform import Arrival, Identity, PlainWorker, Store, configuration, route

CALM_S = 4.0  # before the disruption; StableWindowMs is 3,000
BOOKINGS_PER_S = 38.4
READS_PER_S = 15.3
WORK_S = 0.0225
LENGTH_S = 12.0
GARBLE_FROM_S, GARBLE_FOR_S = 3.0, 5.0


class FaultyWorker(PlainWorker):
    """Hands out wrong bytes with some answers while the disruption lasts."""

    garbles_from = garbles_until = float("inf")
    answers = 0
    wrong = 0
    every = 34  # under 0.03 of the answers

    def garbles_now(self) -> bool:
        """Count an answer; return whether wrong bytes come with this one."""
        now = asyncio.get_running_loop().time()
        if not self.garbles_from <= now < self.garbles_until:
            return False
        FaultyWorker.answers += 1
        return FaultyWorker.answers % self.every == self.every // 2


@dataclass
class Played:
    """What clients and workers saw."""

    outcomes: list[http.Outcome] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    bookings: set[str] = field(default_factory=set)

    def runs(self, request: str) -> list[str]:
        """Return the workers at which a request has run."""
        return [
            item.worker for item in self.arrivals if item.ran and item.id == request
        ]


async def play(record: Record, faulty: type[FaultyWorker]) -> Played:
    """Start everything, send the traffic, disturb it, and record what was seen."""
    store, played = Store(), Played()
    await store.start()
    routes = [
        route("/release/", "paydesk", "non_idempotent"),
        route("/balance/", "paydesk", "idempotent"),
    ]
    await store.put("op/config", configuration(3, routes, ["key-1"]))
    workers = []
    for number, zone in enumerate("abcd"):
        kind = faulty if number < 2 else PlainWorker
        identity = Identity(f"i-{number}", "paydesk", zone, 6)
        worker = kind(identity, store, played.arrivals)
        worker.work_s = WORK_S
        await worker.start()
        workers.append(worker)
    deployment = Deployment(store.address)
    try:
        for zone in "aabcd":
            deployment.start(deployment.add("entry", zone))
        await deployment.wait_ready()
        await asyncio.sleep(CALM_S)
        begun = asyncio.get_running_loop().time()
        if TROUBLE:
            for worker in workers[:2]:
                worker.garbles_from = begun + GARBLE_FROM_S
                worker.garbles_until = begun + GARBLE_FROM_S + GARBLE_FOR_S
        await _send_all(deployment, played, begun)
        _write(record, played, begun)
    finally:
        deployment.end()
    return played


async def _send_all(deployment: Deployment, played: Played, begun: float) -> None:
    loop = asyncio.get_running_loop()
    entries = deployment.entries()
    per_s = BOOKINGS_PER_S + READS_PER_S
    sent = []
    for number in range(1, int(LENGTH_S * per_s)):
        await asyncio.sleep(max(0.0, begun + number / per_s - loop.time()))
        booking = number % 7 not in (0, 3)
        method, path = ("POST", "/release/") if booking else ("GET", "/balance/")
        if booking:
            played.bookings.add(f"r-{number}")
        headers = {
            "Host": "tally.example",
            "X-Request-Id": f"r-{number}",
            "X-Deadline-Ms": "600",
            "Api-Key": "key-1",
        }
        address = deployment.front(entries[number % len(entries)])
        body = b"pay" if booking else b""
        asked = http.send(address, method, f"{path}{number}", headers, body, 5.0)
        sent.append(asyncio.ensure_future(asked))
    played.outcomes += await asyncio.gather(*sent)
    await asyncio.sleep(0.5)


def _write(record: Record, played: Played, begun: float) -> None:
    for item in played.outcomes:
        signature = item.headers.get("x-response-signature", "none")
        record.add(
            f"client {item.id} sent {item.sent_at - begun:.3f} status {item.status} "
            f"signature {signature} ended {item.ended_at - begun:.3f} "
            f"{item.body[:60]!r} {item.error}"
        )
    for item in played.arrivals:
        record.add(
            f"worker {item.worker} {item.id} arrived {item.at - begun:.3f} "
            f"ran {item.ran} {item.ended}"
        )
    served = sum(item.status == 200 for item in played.outcomes)
    record.add(
        f"answered with 200: {served} of {len(played.outcomes)}; wrong bytes sent "
        f"{FaultyWorker.wrong} times"
    )
    require_served(served, len(played.outcomes))
