"""Entries whose endpoints reject requests, and the users' rule on repeats."""

import asyncio
import random
from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass, field, replace
from itertools import count

from result import Err, Ok

from ebonyglade.bodies import Body
from ebonyglade.completeness import Framing
from ebonyglade.forward.call import AttemptFailure, EndpointResponse, FailureKind
from ebonyglade.forward.rates.tolerance import RateTolerance
from ebonyglade.forward.types import (
    ControlResponse,
    ResponseMetadata,
    Share,
    Stage,
    Workspace,
)
from ebonyglade_lab.virtual.network import Network
from helpers.entries import PROMPT, Entry
from helpers.forwarding import decode, endpoint, listed

RATIO, WINDOW_S, SLACK = 0.2, 10.0, 50.0  # as the entries of `helpers.entries` have it
ANSWER_S = 0.01


@dataclass
class Arrivals:
    """What reached endpoints, counted as the users' rule counts it.

    Attributes:
        asked: times at which callers sent requests.
        repeats: times of the arrivals beyond the first one of each request.
    """

    asked: list[float] = field(default_factory=list)
    repeats: list[float] = field(default_factory=list)
    _counted: Counter = field(default_factory=Counter)
    _prefilled: set[str] = field(default_factory=set)

    def record(self, request_id, now, prefill, accepted):
        """Record an arrival; the first accepted prefill of a request is free."""
        if prefill and accepted and request_id not in self._prefilled:
            self._prefilled.add(request_id)
            return
        self._counted[request_id] += 1
        if self._counted[request_id] > 1:
            self.repeats.append(now)

    def worst_excess(self):
        """Return the most repeats beyond what is allowed, over all windows."""
        repeats = sorted(self.repeats)
        worst = -SLACK
        for first, start in enumerate(repeats):
            sent = bisect_left(repeats, start + WINDOW_S) - first
            asked = max(self._asked_from(start - back) for back in (0, 5.0, 10.0))
            worst = max(worst, sent - RATIO * asked - SLACK)
        return worst

    def _asked_from(self, start):
        asked = sorted(self.asked)
        return bisect_left(asked, start + WINDOW_S) - bisect_left(asked, start)


class RejectingPort:
    """Endpoints that reject a share of the requests, each way by itself.

    Attributes:
        reject_run: probability that a request that is to run is rejected.
        reject_prefill: probability that a prefill is rejected.
    """

    def __init__(self, arrivals, rng, reject_run=1.0, reject_prefill=1.0):
        self.reject_run, self.reject_prefill = reject_run, reject_prefill
        self._arrivals, self._rng = arrivals, rng

    async def send(self, call, endpoint, instructions, timeout_s):
        prefill = instructions.prefill_only
        share = self.reject_prefill if prefill else self.reject_run
        rejected = self._rng.random() < share
        now = asyncio.get_running_loop().time()
        self._arrivals.record(call.id, now, prefill, not rejected)
        await asyncio.sleep(ANSWER_S)
        if rejected:
            return Err(AttemptFailure(FailureKind.REJECTED, "status 503"))
        part = b'["handle"]' if prefill else b"id: 1\ndata: x\n\n"
        body = Body(Framing.CHUNKS, _parts(part))
        metadata = ResponseMetadata(call.id, True, True)
        return Ok(EndpointResponse(200, [], metadata, body, lambda: None))

    async def control(self, endpoint, call, timeout_s):
        await asyncio.sleep(ANSWER_S)
        return Ok(ControlResponse(200, {}, b"hold"))


async def _parts(*parts):
    for part in parts:
        yield part


class RetryFleet:
    """A fleet whose requests are rejected, under load and faults."""

    def __init__(self, entries, zones=1, seed=1, model=False, **rejections):
        self.rng = random.Random(seed)
        self.network = Network(random.Random(seed + 1))
        self.arrivals = Arrivals()
        self.replies = []
        self._model, self._zones, self._ids = model, zones, count(1)
        self._port = RejectingPort(self.arrivals, self.rng, **rejections)
        plain = [endpoint(f"p{n}", address=f"10.0.1.1:80{n}") for n in range(4)]
        models = [decode(f"d{n}", address=f"10.0.2.1:80{n}") for n in range(4)]
        prefills = [
            replace(decode(f"f{n}", address=f"10.0.3.1:80{n}"), stage=Stage.PREFILL)
            for n in range(3)
        ]
        items = [*plain, *models, *prefills]
        self._documents = [listed(item, 10 + n) for n, item in enumerate(items)]
        self._names = [f"e{n}" for n in range(entries)]
        self.entries = {}
        self.start(self._names, first_start=True)

    @property
    def now(self):
        return asyncio.get_running_loop().time()

    def start(self, names, first_start=False):
        """Start processes, each in place of the one of its name."""
        service = "model" if self._model else "desk"
        for name in names:
            self.entries[name] = Entry(
                self.network,
                name,
                RateTolerance(first_start=first_start),
                zone=f"z{int(name[1:]) % self._zones}",
                incarnation=f"i{next(self._ids)}",
                port=self._port,
                shares=(Share(service, 1.0),),
                documents=self._documents,
                workspace=Workspace("w", ("key",)),
            )

    def kill(self, share):
        """Kill a share of the processes, of those that run; return their names."""
        chosen = self.rng.sample(self._names, round(share * len(self._names)))
        names = [name for name in chosen if name in self.entries]
        for name in names:
            self.network.detach(name)
            self.entries.pop(name).process.kill()
        return names

    async def restart(self, share, down_s):
        """Kill a share of the processes at once, and start them again together."""
        names = self.kill(share)
        await asyncio.sleep(down_s)
        self.start(names)

    def cut_off(self, share):
        """Cut a share of the entries off from each other and all others."""
        names = self.rng.sample(self._names, round(share * len(self._names)))
        self.network.faults.partitioned = {
            frozenset((name, other))
            for name in names
            for other in self._names
            if other != name
        }

    def reconnect(self):
        """End what `cut_off` began."""
        self.network.faults.partitioned = set()

    async def load(self, per_s, seconds):
        """Send requests to random entries that run."""
        until = self.now + seconds
        while self.now < until:
            await asyncio.sleep(self.rng.expovariate(per_s))
            if self.entries:
                entry = self.entries[self.rng.choice(sorted(self.entries))]
                entry.process.spawn(self._ask(entry))

    async def _ask(self, entry):
        request_id = f"id-{next(self._ids)}"
        self.arrivals.asked.append(self.now)
        prompt = PROMPT if self._model else None
        call = entry.call(request_id, 5.0, request_id.encode(), prompt)
        reply = await entry.core.run(call)
        if isinstance(reply, Ok) and hasattr(reply.ok_value, "chunks"):
            async for _ in reply.ok_value.chunks:
                pass
        self.replies.append(reply)
