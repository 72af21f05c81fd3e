"""One seeded run: a virtual fleet, its callers, its faults and its oracle."""

import asyncio
import gc
import heapq
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

from ebonyglade.agent import EndpointLimits
from ebonyglade.config.view import hash_key
from ebonyglade.ownership.lease_times import LeaseTimes
from ebonyglade_lab.fuzz.fault_history import FaultHistory
from ebonyglade_lab.fuzz.operations import (
    BOOKING,
    MODEL,
    CallerKey,
    CallerRequest,
    Operation,
)
from ebonyglade_lab.fuzz.oracle import Oracle
from ebonyglade_lab.fuzz.rate_checks import RateChecks
from ebonyglade_lab.fuzz.state_checks import StateChecks
from ebonyglade_lab.fuzz.trace import Trace
from ebonyglade_lab.virtual.world import World

ENTRIES = 3
ENGINE_PAIRS = 2  # of a prefill and a decode engine
SERVICES = 2
ENGINE_LIMITS = EndpointLimits(slots=5, pieces=7)
TEAMS = {"aula": ("physics", "history"), "pham": ("stable",)}
WORKSPACE_RATE = 400.0  # tokens a second
WORKSPACE_BURST = 4000.0  # tokens
MAX_EXTRA_SERVICE_S = 0.6  # most seconds by which a service call takes longer
# Few groups of workspaces, so that few messages are about leases and most are about
# requests.
OWNERSHIP_LEASE_TIMES = LeaseTimes(lease_s=1.5, removal_s=0.0, seal_s=1.0, groups=4)
START_S = 1.0
FINAL_FAULT_FREE_S = 40.0  # time without faults at the end of a run
DEADLINES_S = {MODEL: 20.0}
SERVICE_DEADLINE_S = 10.0
GC_INTERVAL_STEPS = 500  # steps between two garbage collections


@dataclass(order=True, slots=True)
class Fault:
    """An active fault, which ends at `ends_at` virtual seconds."""

    ends_at: float
    order: int
    name: str = field(compare=False)
    instances: list[str] = field(compare=False)
    undo: Callable[[], None] = field(compare=False)


class Run:
    """A virtual fleet under faults; use it inside a virtual loop.

    Attributes:
        rng: random generator of the rules.
        trace: the events of the run.
        fault_history: how long instances have been without faults.
        oracle: checks executions and answers.
        world: the processes, endpoints, network and platform.
        state_checks: checks the state of processes and engines between steps.
        keys: callers' keys, valid and withdrawn.
        unavailable: instances that are killed, paused or stopping.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.trace = Trace()
        self.fault_history = FaultHistory()
        self.oracle = Oracle(
            self.trace,
            self.fault_history,
            RateChecks(WORKSPACE_RATE, WORKSPACE_BURST, lambda: self.now),
        )
        self.world = World(
            seed, lease_times=OWNERSHIP_LEASE_TIMES, observer=self.oracle
        )
        self.oracle.world = self.world
        self.state_checks = StateChecks(self.oracle)
        self.keys: list[CallerKey] = []
        self.unavailable: set[str] = set()
        self._tasks: list[asyncio.Task] = []
        self._faults: list[Fault] = []
        self._sequence = 0
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._on_exception)
        self._build()

    @property
    def now(self) -> float:
        """Current virtual seconds."""
        return self.world.now()

    @property
    def active_fault_count(self) -> int:
        """Number of active faults."""
        return len(self._faults)

    @property
    def entries(self) -> list[str]:
        """Instance ids of all entries."""
        return [f"entry-{index}" for index in range(ENTRIES)]

    @property
    def agents(self) -> list[str]:
        """Instance ids of all agents."""
        return [*self.world.engines, *self.world.services]

    def next_name(self, prefix: str) -> str:
        """Return a new unique name, which can be looked up in the trace."""
        self._sequence += 1
        return f"{prefix}-{self._sequence}"

    def trace_event(self, text: str) -> None:
        """Add an event to the trace."""
        self.trace.add(self.now, text)

    def record_publication(self) -> None:
        """Record the time of the newest revision, by which its spread is checked."""
        revision = self.world.platform.revision
        self.trace_event(f"revision {revision} is published")
        self.state_checks.publications.append((self.now, revision))

    def begin_fault(
        self,
        name: str,
        instances: list[str],
        seconds: float,
        undo: Callable[[], None],
    ) -> None:
        """Record a fault that was injected, and undo it after `seconds`."""
        self.trace_event(f"fault {name} on {' '.join(instances)} for {seconds:.2f} s")
        self.fault_history.fault_began(instances)
        fault = Fault(self.now + seconds, self._sequence, name, instances, undo)
        self._sequence += 1
        heapq.heappush(self._faults, fault)

    def call_later(self, seconds: float, action: Callable[[], None]) -> None:
        """Call a function after some virtual time."""
        asyncio.get_running_loop().call_later(seconds, action)

    def spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        """Run a coroutine outside all processes."""
        self._tasks.append(asyncio.ensure_future(coroutine))

    def issue_key(self, workspace: str) -> None:
        """Publish a new key of a workspace."""
        team, workspace_name = workspace.split("/")
        name = self.next_name("key")
        key = CallerKey(f"secret:{name}", workspace, f"teams/{team}/keys/{name}")
        self.keys.append(key)
        self.world.platform.publish(
            key.path, digest=hash_key(key.text), workspace=workspace_name
        )
        self.record_publication()

    def send(self, operation: Operation, key: CallerKey, entry: str) -> None:
        """Send a request for an operation to an entry."""
        name = self.next_name("send")
        # The colon keeps the entry's name from being a word of this event, so that it
        # is not selected for every violation at that entry (`Trace.events_about`).
        self.trace_event(f"{name} of {operation.text} with {key.text} to {entry}:")
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
        deadline = self.now + DEADLINES_S.get(operation.kind, SERVICE_DEADLINE_S)
        # The request is registered before the entry can run anything for it.
        pending = self.world.submit(entry, call)
        request = CallerRequest(
            name, entry, key, deadline, operation.executions, pending
        )
        self.oracle.registry.add(operation, request)

    def end_faults(self, until: float) -> None:
        """Undo the faults whose end is not after `until`, virtual seconds."""
        while self._faults and self._faults[0].ends_at <= until:
            fault = heapq.heappop(self._faults)
            fault.undo()
            self.trace_event(f"end of {fault.name} on {' '.join(fault.instances)}")
            self.fault_history.fault_ended(fault.instances, self.now)

    async def pass_time(self, seconds: float) -> None:
        """Let virtual time pass, end the faults that are over and run the checks."""
        await asyncio.sleep(seconds)
        self.end_faults(self.now)
        self.state_checks.run(self.now)
        self.oracle.raise_failures()

    async def finish(self) -> None:
        """End all faults, let all requests end and check the final state."""
        self.end_faults(float("inf"))
        ends_at = self.now + FINAL_FAULT_FREE_S
        while self.now < ends_at:
            await self.pass_time(0.5)
        self.oracle.raise_failures()
        self.oracle.check_rates()
        held = {e.name: e.held_pieces for e in self.world.engines.values()}
        self.oracle.require(
            not any(held.values()),
            "memory_of_gone_requests_is_free",
            f"at the end {held}",
            {name for name, pieces in held.items() if pieces},
        )
        still_open = {request.name for _, request in self.oracle.registry.open_requests}
        self.oracle.require(
            not still_open, "answered_in_time", f"open: {still_open}", still_open
        )
        for task in self._tasks:
            task.cancel()

    def run_periodic_work(self, step: int) -> None:
        """Check the rates and collect garbage at fixed steps.

        The steps are fixed so that a seed runs the same everywhere.
        """
        if step % GC_INTERVAL_STEPS == 0:
            self.oracle.check_rates()
            gc.collect()

    def _on_exception(self, loop: object, context: dict) -> None:
        """Record an exception of a callback or of a task that nobody awaits."""
        error = context.get("exception") or RuntimeError(context["message"])
        self.oracle.failures.append(error)

    def _build(self) -> None:
        for team, workspaces in TEAMS.items():
            self.world.publish_team(team, workspaces, WORKSPACE_RATE, WORKSPACE_BURST)
        for team, workspaces in TEAMS.items():
            for workspace in workspaces:
                self.issue_key(f"{team}/{workspace}")
        for index in range(ENGINE_PAIRS):
            self.world.add_engine(f"prefill-{index}", "prefill", limits=ENGINE_LIMITS)
            self.world.add_engine(f"decode-{index}", "decode", limits=ENGINE_LIMITS)
        for index in range(SERVICES):
            self.world.add_service(f"rooms-{index}")
            self.world.services[f"rooms-{index}"].max_extra_s = MAX_EXTRA_SERVICE_S
        for name in self.entries:
            self.world.add_entry(name)
        self.record_publication()
