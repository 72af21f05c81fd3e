"""How often a booking is executed whose caller repeats it under faults."""

import asyncio
import hashlib
import json
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok

from ebonyglade.calls import Call, Chain, Reply
from ebonyglade.dispatch.filters import check_size, find_route, identify
from ebonyglade.entry import EntryCore
from ebonyglade.once import book as books
from ebonyglade.once.ticket import Ticket
from ebonyglade.verdict import refuse
from ebonyglade_lab.experiments.report import Table
from ebonyglade_lab.virtual.loop import run
from ebonyglade_lab.virtual.world import Node, Outcome, World

KEY = "aula/physics"
ENTRIES, AGENTS = 3, 4
BOOKINGS = 120
SPAN_S = 30.0
SERVICE_S = 0.5
BREAKS = 40
TRIES = 5
REPEAT_PAUSE_S = 0.5
SEEDS = 10


@dataclass(frozen=True, slots=True)
class Policy:
    """How a caller names its booking, and what is changed in each process."""

    name: str
    key: Callable[["Bench", str], object]
    change: Callable[[Node], None] = lambda node: None


class Bench:
    """One seed: bookings, their callers and the faults."""

    def __init__(self, seed: int, policy: Policy) -> None:
        self.world = World(seed)
        self.rng = random.Random(seed)
        self.policy = policy
        self.counts: Counter[str] = Counter()
        self._last: dict[int, str] = {}
        self._broken: set[str] = set()
        world = self.world
        world.publish_team("aula", ["physics"], rate=50_000.0, burst=100_000.0)
        for number in range(AGENTS):
            world.add_service(f"rooms-{number}")
            world.services[f"rooms-{number}"].seconds = SERVICE_S
        for number in range(ENTRIES):
            world.add_entry(f"entry-{number}")
        for node in world.nodes.values():
            policy.change(node)

    async def run(self) -> Counter[str]:
        """Return the counts of one run."""
        await asyncio.sleep(1)
        faults = self.world.network.faults
        faults.lose, faults.repeat, faults.late = 0.01, 0.05, 0.05
        broken = asyncio.ensure_future(self._break())
        bookings = [self._book(number) for number in range(BOOKINGS)]
        await asyncio.gather(*bookings)
        await broken
        await asyncio.sleep(10)
        for number in range(BOOKINGS):
            body = b"booking %d" % number
            services = self.world.services.values()
            times = sum(service.executions[body] for service in services)
            self.counts["executed"] += times > 0
            self.counts["executed twice or more"] += times > 1
            self.counts["ended not_run, yet executed"] += self._untrue(number, times)
        return self.counts

    def _untrue(self, number: int, times: int) -> bool:
        return times > 0 and self._last[number] == "not_run"

    async def _book(self, number: int) -> None:
        await asyncio.sleep(self.rng.uniform(0, SPAN_S))
        key, told = None, "not_run"
        for _ in range(TRIES):
            if told == "not_run":
                # Nothing ran, so that a new ticket is safe.
                key = await self.policy.key(self, f"key-{number}")
            if key is not None:
                outcome = await self._send(b"booking %d" % number, key)
                told = "answered" if outcome.whole else outcome.refusal.verdict.value
            if told == "answered":
                break
            await asyncio.sleep(REPEAT_PAUSE_S)
        self._last[number] = told
        self.counts[told] += 1

    async def _send(self, body: bytes, key: str) -> Outcome:
        call = self.world.service_call(KEY, "POST", "/bookings", body, key)
        return await self.world.call(f"entry-{self.rng.randrange(ENTRIES)}", call)

    async def ticket(self) -> str | None:
        """Return a ticket, or None if none was to be had."""
        call = self.world.service_call(KEY, "POST", "/tickets/bookings", b"")
        outcome = await self.world.call(f"entry-{self.rng.randrange(ENTRIES)}", call)
        return json.loads(outcome.body)["ticket"] if outcome.whole else None

    async def _break(self) -> None:
        """Break things, several at the same time."""
        async with asyncio.TaskGroup() as faults:
            for step in range(BREAKS):
                await asyncio.sleep(SPAN_S / BREAKS)
                faults.create_task(self._fault(_FAULTS[step % len(_FAULTS)]))

    async def _fault(self, fault: Callable) -> None:
        """Break one thing at an agent that is whole so far."""
        whole = [name for name in self.world.services if name not in self._broken]
        if not whole:
            return
        agent = self.rng.choice(whole)
        self._broken.add(agent)
        await fault(self, agent, f"entry-{self.rng.randrange(ENTRIES)}")
        self._broken.discard(agent)

    async def restart(self, agent: str, entry: str) -> None:
        """Replace an agent's process."""
        self.world.kill(agent)
        await asyncio.sleep(0.3)
        self.policy.change(self.world.start(agent))

    async def pause(self, agent: str, entry: str) -> None:
        """Let an agent stand still for longer than a lease."""
        self.world.pause(agent)
        await asyncio.sleep(4.0)
        self.world.wake(agent)

    async def cut(self, agent: str, entry: str) -> None:
        """Let an entry and an agent lose each other."""
        pair = frozenset((agent, entry))
        self.world.network.faults.cut.add(pair)
        await asyncio.sleep(3.0)
        self.world.network.faults.cut.discard(pair)

    async def unlist(self, agent: str, entry: str) -> None:
        """Take an agent off the list that all entries but one see."""
        platform = self.world.platform
        path = f"platform/instances/{agent}"
        item = platform.items[path]
        platform.freeze(entry)
        platform.remove(path)
        await asyncio.sleep(3.0)
        platform.revision += 1
        platform.items[path] = type(item)(path, platform.revision, item.value)
        platform.stale.pop(entry, None)


_FAULTS = (Bench.restart, Bench.pause, Bench.cut, Bench.unlist)


async def _ticket(bench: Bench, name: str) -> str | None:
    return await bench.ticket()


async def _no_key(bench: Bench, name: str) -> str:
    return ""


async def _own_key(bench: Bench, name: str) -> str:
    return name


class _HashedBook(books.TicketBook):
    """Remembers any key in the memory of whichever process is asked."""

    def look(self, text: str, workspace: str, digest: str, now: float) -> Reply:
        """Return what this process knows of a key."""
        record = self._records.get(text)
        return Ok(None) if record is None else books._standing(record, digest)

    def _open(
        self, text: str, workspace: str, digest: str, now: float, state: books.State
    ) -> Reply:
        known = self.look(text, workspace, digest, now)
        if known == Ok(None):
            self._records[text] = books.Record(digest, now + books.KEPT_S, state)
        return known


def _hash_owner(node: Node) -> None:
    """Let the agent chosen by hash over the entry's own list own each key."""
    core = node.core
    if not isinstance(core, EntryCore):
        core.desk._book = _HashedBook(core.context.me, core.context.token_bytes)
        return

    async def dispatch(call: Call) -> Reply:
        pool = call.route.route.pool
        names = call.view.endpoints(pool, "service")
        if not names:
            return Err(refuse("no_endpoint"))
        owner = max(names, key=lambda name: _weight(name, call.idempotency_key))
        call.ticket = Ticket(owner, "", call.route.name, b"", 0.0)
        return await core.tickets.run(call)

    core.run = Chain([identify, find_route, check_size]).around(dispatch)


def _weight(name: str, key: str) -> bytes:
    return hashlib.sha256(f"{name} {key}".encode()).digest()


POLICIES = (
    Policy("ticket", _ticket),
    Policy("key, owner by hash", _own_key, _hash_owner),
    Policy("no key", _no_key),
)
COLUMNS = (
    "executed",
    "executed twice or more",
    "answered",
    "not_run",
    "may_have_run",
    "ended not_run, yet executed",
)


def measure(seeds: int = SEEDS) -> Table:
    """Return a table of executions by policy."""
    result = Table(
        "At most once",
        f"python -m ebonyglade_lab once --seeds {seeds}",
        ["policy", "bookings", *COLUMNS],
        notes=[_NOTE],
    )
    for policy in POLICIES:
        total: Counter[str] = Counter()
        for seed in range(1, seeds + 1):
            total += run(_one(seed, policy))
        result.add(policy.name, seeds * BOOKINGS, *(total[key] for key in COLUMNS))
    return result


async def _one(seed: int, policy: Policy) -> Counter[str]:
    return await Bench(seed, policy).run()


_NOTE = f"""Each seed has {ENTRIES} entries, {AGENTS} agents and {BOOKINGS} bookings
in {SPAN_S:.0f} s; a booking takes {SERVICE_S} s at its endpoint. A caller without an
answer sends again by a random entry, {TRIES} times at most. {BREAKS} faults fall into
that time, several at once: agents restarted, agents paused for 4 s, an entry and an
agent cut off from each other for 3 s, an agent off the list of all entries but one; 1
in 100 messages is lost, 5 arrive twice and 5 late. `answered`, `not_run` and
`may_have_run` are what the caller was told last."""
