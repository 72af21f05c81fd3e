"""One seeded run: a world, its callers, its faults and its oracle."""

import asyncio
import gc
import heapq
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

from ebonyglade.agent import EndpointLimits
from ebonyglade.config.view import digest
from ebonyglade.ownership.terms import Terms
from ebonyglade_lab.fuzz.calm import Calm
from ebonyglade_lab.fuzz.ledger import BOOKING, MODEL, CallerKey, Operation, Send
from ebonyglade_lab.fuzz.oracle import Oracle
from ebonyglade_lab.fuzz.spending import Spending
from ebonyglade_lab.fuzz.sweeps import Sweeps
from ebonyglade_lab.fuzz.trace import Trace
from ebonyglade_lab.virtual.world import World

ENTRIES = 3
PAIRS = 2
SERVICES = 2
ENGINE = EndpointLimits(slots=5, pieces=7)
TEAMS = {"aula": ("physics", "history"), "pham": ("stable",)}
RATE = 400.0  # tokens a second of each workspace
BURST = 4000.0  # tokens
SLOW_SERVICE_S = 0.6  # most seconds of a booking
# Few owners of limits, so that most messages are about requests.
TERMS = Terms(lease_s=1.5, removal_s=0.0, seal_s=1.0, groups=4)
START_S = 1.0
QUIET_S = 40.0  # seconds without faults at the end of a run
DEADLINES = {MODEL: 20.0}
SERVICE_DEADLINE_S = 10.0
GC_STEPS = 500  # steps between two collections of garbage


@dataclass(order=True, slots=True)
class Fault:
    """A fault under way, until `ends`."""

    ends: float
    order: int
    name: str = field(compare=False)
    instances: list[str] = field(compare=False)
    undo: Callable[[], None] = field(compare=False)


class Run:
    """A world under faults; use it inside a virtual loop.

    Attributes:
        rng: chooses rules and their arguments.
        world: the processes, endpoints, network and platform.
        oracle: judges executions and answers.
        sweeps: judges state between steps.
        keys: callers' keys, valid and withdrawn.
        busy: instances that are dead, paused or stopping.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.trace = Trace()
        self.calm = Calm()
        self.oracle = Oracle(
            self.trace, self.calm, Spending(RATE, BURST, lambda: self.now)
        )
        self.world = World(seed, terms=TERMS, watcher=self.oracle)
        self.oracle.world = self.world
        self.sweeps = Sweeps(self.oracle)
        self.keys: list[CallerKey] = []
        self.busy: set[str] = set()
        self._tasks: list[asyncio.Task] = []
        self._faults: list[Fault] = []
        self._count = 0
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._on_exception)
        self._build()

    @property
    def now(self) -> float:
        """Virtual seconds."""
        return self.world.now()

    @property
    def faults(self) -> int:
        """Faults under way."""
        return len(self._faults)

    @property
    def entries(self) -> list[str]:
        """All entries."""
        return [f"entry-{index}" for index in range(ENTRIES)]

    @property
    def agents(self) -> list[str]:
        """All agents."""
        return [*self.world.engines, *self.world.services]

    def next_name(self, prefix: str) -> str:
        """Return a new word for the trace."""
        self._count += 1
        return f"{prefix}-{self._count}"

    def note(self, text: str) -> None:
        """Add to the trace."""
        self.trace.add(self.now, text)

    def published(self) -> None:
        """Note that the platform's newest revision is due everywhere soon."""
        revision = self.world.platform.revision
        self.note(f"revision {revision} is published")
        self.sweeps.published.append((self.now, revision))

    def begin(
        self,
        name: str,
        instances: list[str],
        seconds: float,
        undo: Callable[[], None],
    ) -> None:
        """Note a fault that was caused, and when to undo it."""
        self.note(f"fault {name} on {' '.join(instances)} for {seconds:.2f} s")
        self.calm.disturb(instances)
        fault = Fault(self.now + seconds, self._count, name, instances, undo)
        self._count += 1
        heapq.heappush(self._faults, fault)

    def later(self, seconds: float, action: Callable[[], None]) -> None:
        """Act after some virtual time."""
        asyncio.get_running_loop().call_later(seconds, action)

    def spawn(self, work: Coroutine[None, None, None]) -> None:
        """Run a coroutine outside all processes."""
        self._tasks.append(asyncio.ensure_future(work))

    def issue_key(self, workspace: str) -> None:
        """Publish a new key of a workspace."""
        team, short = workspace.split("/")
        name = self.next_name("key")
        key = CallerKey(f"secret:{name}", workspace, f"teams/{team}/keys/{name}")
        self.keys.append(key)
        self.world.platform.publish(key.path, digest=digest(key.text), workspace=short)
        self.published()

    def send(self, operation: Operation, key: CallerKey, entry: str) -> None:
        """Send an operation to an entry."""
        name = self.next_name("send")
        self.note(f"{name} of {operation.text} with {key.text} to {entry}:")
        if operation.kind == MODEL:
            call = self.world.model_call(key.text, operation.text, operation.max_tokens)
        else:
            method = "POST" if operation.kind == BOOKING else "GET"
            call = self.world.service_call(
                key.text,
                method,
                "/bookings",
                operation.text.encode(),
                operation.idempotency_key,
            )
        deadline = self.now + DEADLINES.get(operation.kind, SERVICE_DEADLINE_S)
        # The operation is known before anything can run for it.
        sent = self.world.submit(entry, call)
        send = Send(name, entry, key, deadline, operation.executions, sent)
        self.oracle.ledger.add(operation, send)

    def heal(self, until: float) -> None:
        """Undo the faults that end by then."""
        while self._faults and self._faults[0].ends <= until:
            fault = heapq.heappop(self._faults)
            fault.undo()
            self.note(f"end of {fault.name} on {' '.join(fault.instances)}")
            self.calm.settle(fault.instances, self.now)

    async def pass_time(self, seconds: float) -> None:
        """Let virtual time pass, undo what is over and judge."""
        await asyncio.sleep(seconds)
        self.heal(self.now)
        self.sweeps.run(self.now)
        self.oracle.raise_failures()

    async def finish(self) -> None:
        """End all faults, let all requests end and judge what is left."""
        self.heal(float("inf"))
        ends = self.now + QUIET_S
        while self.now < ends:
            await self.pass_time(0.5)
        self.oracle.raise_failures()
        self.oracle.judge_rates()
        held = {e.name: e.held_pieces for e in self.world.engines.values()}
        self.oracle.require(
            not any(held.values()),
            "memory_of_gone_requests_is_free",
            f"at the end {held}",
            {name for name, pieces in held.items() if pieces},
        )
        open_sends = {send.name for _, send in self.oracle.ledger.waiting}
        self.oracle.require(
            not open_sends, "answered_in_time", f"open: {open_sends}", open_sends
        )
        for task in self._tasks:
            task.cancel()

    def collect_garbage(self, step: int) -> None:
        """Collect at fixed steps, so that runs are the same in every process."""
        if step % GC_STEPS == 0:
            self.oracle.judge_rates()
            gc.collect()

    def _on_exception(self, loop: object, context: dict) -> None:
        """Keep what a callback or an unwatched task of a process raised."""
        error = context.get("exception") or RuntimeError(context["message"])
        self.oracle.failures.append(error)

    def _build(self) -> None:
        for team, workspaces in TEAMS.items():
            self.world.publish_team(team, workspaces, RATE, BURST)
        for team, workspaces in TEAMS.items():
            for workspace in workspaces:
                self.issue_key(f"{team}/{workspace}")
        for index in range(PAIRS):
            self.world.add_engine(f"prefill-{index}", "prefill", limits=ENGINE)
            self.world.add_engine(f"decode-{index}", "decode", limits=ENGINE)
        for index in range(SERVICES):
            self.world.add_service(f"rooms-{index}")
            self.world.services[f"rooms-{index}"].slow_s = SLOW_SERVICE_S
        for name in self.entries:
            self.world.add_entry(name)
        self.published()
