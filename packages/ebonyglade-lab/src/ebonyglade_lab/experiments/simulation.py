"""Runs a load against a virtual fleet with simulated engines."""

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ebonyglade.agent import AgentCore, EndpointLimits
from ebonyglade.calls import Call, Prompt
from ebonyglade.context import Context
from ebonyglade.entry import EntryCore
from ebonyglade.worker.fair_queue import FairQueue
from ebonyglade_lab.experiments.arrivals import MAX_OUTPUT_TOKENS, Arrival
from ebonyglade_lab.experiments.simulated_engines import (
    EngineParameters,
    FleetState,
    SimulatedEngine,
    SimulatedEngineState,
)
from ebonyglade_lab.virtual.network import DELAY_S
from ebonyglade_lab.virtual.process import Process
from ebonyglade_lab.virtual.world import MODEL_POOL, ZONES, Outcome, World

TEAM = "aula"
FIRST_TOKEN_TARGET_S = 0.64
TOKEN_INTERVAL_TARGET_S = 0.048
SETTLE_S = 10.0  # time for entries to acquire the rates of their workspaces
SAMPLE_INTERVAL_S = 0.05
MEMORY_PIECES = 400
NO_LIMIT = (1e9, 1e9)  # tokens a second, tokens


@dataclass(frozen=True, slots=True)
class SimulationSize:
    """Number of processes of each kind, and decode slots of each engine."""

    entries: int = 4
    prefill: int = 4
    decode: int = 4
    slots: int = 20


@dataclass(slots=True)
class PlacementSimulation:
    """A virtual fleet with simulated engines, whose delays `parameters` sets.

    Attributes:
        size: number of processes and slots.
        seed: seed of all random number generators.
        workspace_weights: weight in the fair queue, by workspace.
        deadline_s: deadline of both routes, the interactive and the patient one.
        parameters: delays and limits of all engines.
        change_entry: modifies each entry's core, to turn it into a baseline.
        new_queue: class of each agent's queue.
        rate_limits: rate and burst by workspace; a missing one is not limited.
        delay_s: one-way delay between instances.
        fleet: state of all engines; set by `start`.
        world: virtual processes and network; set by `start`.
        occupancy: mean share of decode slots in use in the measured interval.
    """

    size: SimulationSize
    seed: int
    workspace_weights: dict[str, float]
    deadline_s: float = 30.0
    parameters: EngineParameters = field(default_factory=EngineParameters)
    change_entry: Callable[[EntryCore], None] = lambda core: None
    new_queue: type[FairQueue] = FairQueue
    rate_limits: dict[str, tuple[float, float]] = field(default_factory=dict)
    delay_s: float = DELAY_S
    fleet: FleetState = field(init=False)
    world: World = field(init=False)
    occupancy: float = 0.0

    def start(self, arrivals: Iterable[Arrival]) -> None:
        """Build the fleet; needs a running virtual loop."""
        answer_tokens = {arrival.prompt: arrival.answer_tokens for arrival in arrivals}
        self.fleet = FleetState(
            self.parameters, answer_tokens, random.Random(self.seed)
        )
        self.world = World(self.seed)
        self.world.network.delay_s = self.delay_s
        self._publish()
        for index in range(self.size.prefill):
            self._add_engine(f"prefill-{index}", "prefill", index)
        for index in range(self.size.decode):
            self._add_engine(f"decode-{index}", "decode", index)
        for index in range(self.size.entries):
            self._add_entry(f"entry-{index}", index)

    async def run(
        self, arrivals: list[Arrival], warm_up_s: float, until_s: float
    ) -> list[Outcome]:
        """Send a load through random entries and return the outcomes.

        Args:
            arrivals: requests of the load, in order of time.
            warm_up_s: seconds after which the occupancy is measured.
            until_s: seconds at which that measurement ends.
        """
        self.start(arrivals)
        await asyncio.sleep(SETTLE_S)
        rng = random.Random(self.seed + 2)
        begin = self.world.now()
        occupancy_task = asyncio.ensure_future(
            self._measure_occupancy(begin + warm_up_s, begin + until_s)
        )
        tasks = []
        for arrival in arrivals:
            await asyncio.sleep(begin + arrival.at - self.world.now())
            entry = f"entry-{rng.randrange(self.size.entries)}"
            call = self._call(arrival)
            tasks.append(asyncio.ensure_future(self.world.call(entry, call)))
        outcomes = list(await asyncio.gather(*tasks))
        await occupancy_task
        return outcomes

    async def _measure_occupancy(self, start: float, end: float) -> None:
        """Sample the share of decode slots in use and store its mean."""
        await asyncio.sleep(start - self.world.now())
        decode = [self.fleet.engines[f"decode-{n}"] for n in range(self.size.decode)]
        slots = self.size.decode * self.size.slots
        shares = []
        while self.world.now() < end:
            shares.append(sum(len(engine.jobs) for engine in decode) / slots)
            await asyncio.sleep(SAMPLE_INTERVAL_S)
        self.occupancy = sum(shares) / max(1, len(shares))

    def _call(self, arrival: Arrival) -> Call:
        model = "notes" if arrival.patient else "abstracts"
        call = self.world.service_call(
            f"{TEAM}/{arrival.workspace}", "POST", "/v1/completions", b""
        )
        call.prompt = Prompt(model, arrival.prompt, arrival.prompt_tokens, None)
        return call

    def _publish(self) -> None:
        self.world.publish_team(TEAM, self.workspace_weights, rate=1e9, burst=1e9)
        publish = self.world.platform.publish
        for name, weight in self.workspace_weights.items():
            path = f"teams/{TEAM}/workspaces/{name}"
            rate, burst = self.rate_limits.get(name, NO_LIMIT)
            publish(path, rate=rate, burst=burst, weight=weight)
        for model, patient in (("abstracts", False), ("notes", True)):
            publish(
                f"teams/{TEAM}/routes/{model}",
                kind="model",
                model=model,
                pool=MODEL_POOL,
                deadline_s=self.deadline_s,
                patient=patient,
                first_token_s=FIRST_TOKEN_TARGET_S,
                max_output_tokens=MAX_OUTPUT_TOKENS,
            )

    def _add_engine(self, name: str, stage: str, index: int) -> None:
        self.fleet.engines[name] = SimulatedEngineState(self.size.slots)
        limits = EndpointLimits(slots=self.size.slots, pieces=MEMORY_PIECES)

        def new_core(context: Context, process: Process) -> AgentCore:
            engine = SimulatedEngine(name, self.fleet, process)
            core = AgentCore(
                context,
                limits,
                engine,
                lease_times=self.world.lease_times,
                new_queue=self.new_queue,
            )
            engine.listener = core.reports.cache_event
            return core

        self.world._core_factories[name] = new_core
        zone = ZONES[index % len(ZONES)]
        self.world.list_instance(name, "agent", zone, MODEL_POOL, stage)
        self.world.start(name)

    def _add_entry(self, name: str, index: int) -> None:
        def new_core(context: Context, process: Process) -> EntryCore:
            core = EntryCore(context, self.world.lease_times)
            self.change_entry(core)
            return core

        self.world._core_factories[name] = new_core
        self.world.list_instance(name, "entry", ZONES[index % len(ZONES)])
        self.world.start(name)


def is_on_time(outcome: Outcome) -> bool:
    """Return whether an answer was complete and met both latency targets."""
    if (
        not outcome.complete
        or outcome.first_token_at - outcome.sent_at > FIRST_TOKEN_TARGET_S
    ):
        return False
    gaps = max(1, len(outcome.tokens) - 1)
    return (outcome.ended_at - outcome.first_token_at) / gaps <= TOKEN_INTERVAL_TARGET_S
