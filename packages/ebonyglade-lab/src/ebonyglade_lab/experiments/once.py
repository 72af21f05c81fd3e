"""How often a booking is executed that its caller sends repeatedly under faults."""

import asyncio
import hashlib
import json
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok

from ebonyglade.calls import Call, FilterChain, Reply
from ebonyglade.dispatch.filters import check_size, find_route, identify
from ebonyglade.entry import EntryCore
from ebonyglade.once import ticket_store
from ebonyglade.once.ticket import Ticket
from ebonyglade.verdict import refuse
from ebonyglade_lab.experiments.report import Table
from ebonyglade_lab.virtual.loop import run
from ebonyglade_lab.virtual.world import Outcome, VirtualNode, World

WORKSPACE = "aula/physics"
ENTRIES, AGENTS = 3, 4
BOOKINGS = 120
RUN_S = 30.0
SERVICE_S = 0.5  # duration of a booking at its endpoint
FAULTS = 40  # faults in a run
TRIES = 5  # most sends of one booking
REPEAT_PAUSE_S = 0.5
SEEDS = 10


@dataclass(frozen=True, slots=True)
class BookingPolicy:
    """How a caller identifies its booking, and how each process is changed.

    Attributes:
        name: name in the table.
        key: returns a booking's idempotency key; None if there is none yet.
        change: changes a process for this policy.
    """

    name: str
    key: Callable[["BookingSimulation", str], object]
    change: Callable[[VirtualNode], None] = lambda node: None


class BookingSimulation:
    """One run: bookings, their callers and the faults."""

    def __init__(self, seed: int, policy: BookingPolicy) -> None:
        self.world = World(seed)
        self.rng = random.Random(seed)
        self.policy = policy
        self.counts: Counter[str] = Counter()
        self._last_results: dict[int, str] = {}
        self._faulty_agents: set[str] = set()
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
        fault_task = asyncio.ensure_future(self._inject_faults())
        bookings = [self._book(number) for number in range(BOOKINGS)]
        await asyncio.gather(*bookings)
        await fault_task
        await asyncio.sleep(10)
        for number in range(BOOKINGS):
            body = b"booking %d" % number
            services = self.world.services.values()
            executions = sum(service.executions[body] for service in services)
            self.counts["executed"] += executions > 0
            self.counts["executed twice or more"] += executions > 1
            self.counts["ended not_run, yet executed"] += self._wrongly_not_run(
                number, executions
            )
        return self.counts

    def _wrongly_not_run(self, number: int, executions: int) -> bool:
        return executions > 0 and self._last_results[number] == "not_run"

    async def _book(self, number: int) -> None:
        await asyncio.sleep(self.rng.uniform(0, RUN_S))
        key, result = None, "not_run"
        for _ in range(TRIES):
            if result == "not_run":
                # The booking was not executed, so a new ticket is safe.
                key = await self.policy.key(self, f"key-{number}")
            if key is not None:
                outcome = await self._send(b"booking %d" % number, key)
                result = (
                    "answered" if outcome.complete else outcome.refusal.verdict.value
                )
            if result == "answered":
                break
            await asyncio.sleep(REPEAT_PAUSE_S)
        self._last_results[number] = result
        self.counts[result] += 1

    async def _send(self, body: bytes, key: str) -> Outcome:
        call = self.world.service_call(WORKSPACE, "POST", "/bookings", body, key)
        return await self.world.call(f"entry-{self.rng.randrange(ENTRIES)}", call)

    async def ticket(self) -> str | None:
        """Return a new ticket, or None if the request for one failed."""
        call = self.world.service_call(WORKSPACE, "POST", "/tickets/bookings", b"")
        outcome = await self.world.call(f"entry-{self.rng.randrange(ENTRIES)}", call)
        return json.loads(outcome.body)["ticket"] if outcome.complete else None

    async def _inject_faults(self) -> None:
        """Inject faults, several at the same time."""
        async with asyncio.TaskGroup() as faults:
            for step in range(FAULTS):
                await asyncio.sleep(RUN_S / FAULTS)
                faults.create_task(
                    self._inject_fault(_FAULT_KINDS[step % len(_FAULT_KINDS)])
                )

    async def _inject_fault(self, fault: Callable) -> None:
        """Inject one fault at an agent that has none at the moment."""
        healthy = [
            name for name in self.world.services if name not in self._faulty_agents
        ]
        if not healthy:
            return
        agent = self.rng.choice(healthy)
        self._faulty_agents.add(agent)
        await fault(self, agent, f"entry-{self.rng.randrange(ENTRIES)}")
        self._faulty_agents.discard(agent)

    async def restart(self, agent: str, entry: str) -> None:
        """Replace an agent's process."""
        self.world.kill(agent)
        await asyncio.sleep(0.3)
        self.policy.change(self.world.start(agent))

    async def pause(self, agent: str, entry: str) -> None:
        """Pause an agent for longer than a lease."""
        self.world.pause(agent)
        await asyncio.sleep(4.0)
        self.world.resume(agent)

    async def cut(self, agent: str, entry: str) -> None:
        """Cut the link between an entry and an agent."""
        pair = frozenset((agent, entry))
        self.world.network.faults.partitioned.add(pair)
        await asyncio.sleep(3.0)
        self.world.network.faults.partitioned.discard(pair)

    async def unlist(self, agent: str, entry: str) -> None:
        """Remove an agent from the configuration that all entries but one see."""
        platform = self.world.platform
        path = f"platform/instances/{agent}"
        item = platform.items[path]
        platform.pin_copy(entry)
        platform.remove(path)
        await asyncio.sleep(3.0)
        platform.revision += 1
        platform.items[path] = type(item)(path, platform.revision, item.value)
        platform.stale_copies.pop(entry, None)


_FAULT_KINDS = (
    BookingSimulation.restart,
    BookingSimulation.pause,
    BookingSimulation.cut,
    BookingSimulation.unlist,
)


async def _issued_ticket(simulation: BookingSimulation, name: str) -> str | None:
    return await simulation.ticket()


async def _no_key(simulation: BookingSimulation, name: str) -> str:
    return ""


async def _caller_key(simulation: BookingSimulation, name: str) -> str:
    return name


class _LocalKeyStore(ticket_store.TicketStore):
    """Accepts any key and records it in the memory of the process that is asked."""

    def lookup(self, text: str, workspace: str, digest: str, now: float) -> Reply:
        """Return the recorded outcome of a key in this process."""
        record = self._records.get(text)
        return (
            Ok(None)
            if record is None
            else ticket_store._recorded_outcome(record, digest)
        )

    def _add_record(
        self,
        text: str,
        workspace: str,
        digest: str,
        now: float,
        state: ticket_store.State,
    ) -> Reply:
        known = self.lookup(text, workspace, digest, now)
        if known == Ok(None):
            self._records[text] = ticket_store.Record(
                digest, now + ticket_store.RECORD_RETENTION_S, state
            )
        return known


def _own_keys_by_hash(node: VirtualNode) -> None:
    """Replace tickets by keys of the caller.

    An entry sends a key to the agent with the highest hash in its own view, and the
    agent records the key in memory only.
    """
    core = node.core
    if not isinstance(core, EntryCore):
        core.tickets._store = _LocalKeyStore(
            core.context.identity, core.context.token_bytes
        )
        return

    async def dispatch(call: Call) -> Reply:
        pool = call.route.route.pool
        names = call.view.endpoints(pool, "service")
        if not names:
            return Err(refuse("no_endpoint"))
        owner = max(names, key=lambda name: _hash_rank(name, call.idempotency_key))
        call.ticket = Ticket(owner, "", call.route.name, b"", 0.0)
        return await core.tickets.run(call)

    core.run = FilterChain([identify, find_route, check_size]).wrap(dispatch)


def _hash_rank(name: str, key: str) -> bytes:
    return hashlib.sha256(f"{name} {key}".encode()).digest()


POLICIES = (
    BookingPolicy("ticket", _issued_ticket),
    BookingPolicy("key, owner by hash", _caller_key, _own_keys_by_hash),
    BookingPolicy("no key", _no_key),
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
            total += run(_run_seed(seed, policy))
        result.add(policy.name, seeds * BOOKINGS, *(total[key] for key in COLUMNS))
    return result


async def _run_seed(seed: int, policy: BookingPolicy) -> Counter[str]:
    return await BookingSimulation(seed, policy).run()


_NOTE = f"""Each seed has {ENTRIES} entries, {AGENTS} agents and {BOOKINGS} bookings
in {RUN_S:.0f} s; a booking takes {SERVICE_S} s at its endpoint. A caller without an
answer sends again by a random entry, {TRIES} times at most. {FAULTS} faults fall into
that time, several at once: agents restarted, agents paused for 4 s, an entry and an
agent cut off from each other for 3 s, an agent off the list of all entries but one; 1
in 100 messages is lost, 5 arrive twice and 5 late. `answered`, `not_run` and
`may_have_run` are what the caller was told last."""
