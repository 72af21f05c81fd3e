"""Endpoints that state a limit for all callers, and what they may get."""

import asyncio
import random
from dataclasses import dataclass, field
from itertools import count

from result import Ok

from ebonyglade.bodies import Body
from ebonyglade.completeness import Framing
from ebonyglade.forward.call import EndpointResponse
from ebonyglade.forward.types import ResponseMetadata, Share
from ebonyglade_lab.virtual.network import Network
from helpers.entries import Entry
from helpers.forwarding import endpoint, listed

# The platform's bound: from `STABLE_S` after a limit was first stated, `WINDOW_S` may
# hold `OVERAGE` of what it allows, and `SLACK` requests.
STABLE_S = 3.0
WINDOW_S = 4.0
OVERAGE = 1.5
SLACK = 5
RUN_S = 0.02  # time that a request runs


def allowed(limit_per_s):
    return OVERAGE * limit_per_s * WINDOW_S + SLACK


def most_in_window(times, since):
    """Return the most times in any window that begins at `since` or later."""
    counted = sorted(time for time in times if time >= since)
    return max(
        (
            sum(start <= time < start + WINDOW_S for time in counted)
            for start in counted
        ),
        default=0,
    )


@dataclass
class LimitedEndpoint:
    """One simulated endpoint.

    Attributes:
        limit_per_s: limit that its answers state; None for none.
        arrivals: when each request arrived.
    """

    limit_per_s: float | None = None
    arrivals: list = field(default_factory=list)


class SimulatedPort:
    """Sends requests to simulated endpoints, by id."""

    def __init__(self, endpoints):
        self.endpoints = endpoints

    async def send(self, call, endpoint, instructions, timeout_s):
        target = self.endpoints[endpoint.id]
        target.arrivals.append(asyncio.get_running_loop().time())
        metadata = ResponseMetadata("", True, True, limit_per_s=target.limit_per_s)
        await asyncio.sleep(RUN_S)
        body = Body(Framing.LENGTH, _parts(b"done"))
        return Ok(EndpointResponse(200, [], metadata, body, lambda: None))


async def _parts(*parts):
    for part in parts:
        yield part


class LimitedFleet:
    """Entries before simulated endpoints, and callers that use all of them.

    Attributes:
        network: the simulated network between the entries.
        endpoints: the endpoints, by id.
        entries: the entries.
        replies: what callers got, in order: time, request and reply.
    """

    def __init__(self, entries=5, zones=4, lose=0.0, endpoints=("a", "b")):
        self.network = Network(random.Random(1))
        self.network.faults.lose = lose
        self.endpoints = {name: LimitedEndpoint() for name in endpoints}
        self.zones = zones
        self.entries = [self.start_entry(number) for number in range(entries)]
        self.replies = []
        self._rng = random.Random(2)
        self._ids = count(1)

    def start_entry(self, number, incarnation="1"):
        listed_endpoints = [
            listed(endpoint(name, zone=f"z{index % self.zones}"), 10 + index)
            for index, name in enumerate(self.endpoints)
        ]
        return Entry(
            self.network,
            f"e{number}",
            zone=f"z{number % self.zones}",
            incarnation=incarnation,
            port=SimulatedPort(self.endpoints),
            shares=(Share("desk", 1.0),),
            documents=listed_endpoints,
        )

    @property
    def now(self):
        return asyncio.get_running_loop().time()

    async def load(self, per_s, seconds, entries=None):
        """Send requests at random moments to random entries for some seconds."""
        until = self.now + seconds
        while self.now < until:
            await asyncio.sleep(self._rng.expovariate(per_s))
            entry = self._rng.choice(entries or self.entries)
            if not entry.process.killed:
                entry.process.spawn(self._ask(entry))

    async def _ask(self, entry):
        call = entry.plain_call(f"id-{next(self._ids)}")
        reply = await entry.core.run(call)
        self.replies.append((self.now, call, reply))

    def limit(self, per_s, *names):
        """Make endpoints state a limit from now on; return the time."""
        for name in names:
            self.endpoints[name].limit_per_s = per_s
        return self.now

    def most(self, name, since):
        return most_in_window(self.endpoints[name].arrivals, since + STABLE_S)

    def sent(self, name, since):
        return sum(time >= since for time in self.endpoints[name].arrivals)
