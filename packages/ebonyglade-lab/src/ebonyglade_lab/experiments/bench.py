"""A virtual fleet with the engines of the experiments."""

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ebonyglade.agent import AgentCore, EndpointLimits
from ebonyglade.calls import Call, Prompt
from ebonyglade.context import Context
from ebonyglade.entry import EntryCore
from ebonyglade.worker.fair import FairQueue
from ebonyglade_lab.experiments.engines import (
    BenchEngine,
    EngineState,
    FleetState,
    Speeds,
)
from ebonyglade_lab.experiments.loads import MAX_OUTPUT_TOKENS, Arrival
from ebonyglade_lab.virtual.process import Process
from ebonyglade_lab.virtual.world import MODEL_POOL, ZONES, Outcome, World

TEAM = "aula"
FIRST_TOKEN_S = 0.64
BETWEEN_TOKENS_S = 0.048
SETTLE_S = 1.0
SAMPLE_S = 0.05
PIECES = 400


@dataclass(frozen=True, slots=True)
class Size:
    """How many of each process, and how many slots an engine has."""

    entries: int = 4
    prefill: int = 4
    decode: int = 4
    slots: int = 20


@dataclass(slots=True)
class Bench:
    """A world whose engines behave as placement expects of real ones.

    Attributes:
        size: how many of each process.
        seed: of everything random.
        workspaces: weight by name.
        deadline_s: of both routes.
        speeds: of all engines.
        change_entry: changes each entry, to make it a baseline.
        new_queue: queue of each agent.
        occupancy: mean share of decode slots in use while measured.
    """

    size: Size
    seed: int
    workspaces: dict[str, float]
    deadline_s: float = 30.0
    speeds: Speeds = field(default_factory=Speeds)
    change_entry: Callable[[EntryCore], None] = lambda core: None
    new_queue: type[FairQueue] = FairQueue
    fleet: FleetState = field(init=False)
    world: World = field(init=False)
    occupancy: float = 0.0

    def start(self, arrivals: Iterable[Arrival]) -> None:
        """Build the world inside a running virtual loop."""
        lengths = {arrival.prompt: arrival.length for arrival in arrivals}
        self.fleet = FleetState(self.speeds, lengths, random.Random(self.seed))
        self.world = World(self.seed)
        self._publish()
        for index in range(self.size.prefill):
            self._add_engine(f"prefill-{index}", "prefill", index)
        for index in range(self.size.decode):
            self._add_engine(f"decode-{index}", "decode", index)
        for index in range(self.size.entries):
            self._add_entry(f"entry-{index}", index)

    async def run(
        self, arrivals: list[Arrival], warm_s: float, until_s: float
    ) -> list[Outcome]:
        """Send a load, evenly over the entries, and return what callers got.

        Args:
            arrivals: the load.
            warm_s: seconds before the decode slots in use are measured.
            until_s: seconds at which that measurement ends.
        """
        self.start(arrivals)
        await asyncio.sleep(SETTLE_S)
        rng = random.Random(self.seed + 2)
        begin = self.world.now()
        watch = asyncio.ensure_future(self._watch(begin + warm_s, begin + until_s))
        tasks = []
        for arrival in arrivals:
            await asyncio.sleep(begin + arrival.at - self.world.now())
            entry = f"entry-{rng.randrange(self.size.entries)}"
            call = self._call(arrival)
            tasks.append(asyncio.ensure_future(self.world.call(entry, call)))
        outcomes = list(await asyncio.gather(*tasks))
        await watch
        return outcomes

    async def _watch(self, start: float, end: float) -> None:
        """Measure the mean share of decode slots in use."""
        await asyncio.sleep(start - self.world.now())
        decode = [self.fleet.engines[f"decode-{n}"] for n in range(self.size.decode)]
        slots = self.size.decode * self.size.slots
        shares = []
        while self.world.now() < end:
            shares.append(sum(len(engine.jobs) for engine in decode) / slots)
            await asyncio.sleep(SAMPLE_S)
        self.occupancy = sum(shares) / max(1, len(shares))

    def _call(self, arrival: Arrival) -> Call:
        model = "notes" if arrival.patient else "abstracts"
        call = self.world.service_call(
            f"{TEAM}/{arrival.workspace}", "POST", "/v1/completions", b""
        )
        call.prompt = Prompt(model, arrival.prompt, arrival.tokens, None)
        return call

    def _publish(self) -> None:
        self.world.publish_team(TEAM, self.workspaces, rate=1e9, burst=1e9)
        publish = self.world.platform.publish
        for name, weight in self.workspaces.items():
            path = f"teams/{TEAM}/workspaces/{name}"
            publish(path, rate=1e9, burst=1e9, weight=weight)
        for model, patient in (("abstracts", False), ("notes", True)):
            publish(
                f"teams/{TEAM}/routes/{model}",
                kind="model",
                model=model,
                pool=MODEL_POOL,
                deadline_s=self.deadline_s,
                patient=patient,
                first_token_s=FIRST_TOKEN_S,
                max_output_tokens=MAX_OUTPUT_TOKENS,
            )

    def _add_engine(self, name: str, stage: str, index: int) -> None:
        self.fleet.engines[name] = EngineState(self.size.slots)
        limits = EndpointLimits(slots=self.size.slots, pieces=PIECES)

        def make(context: Context, process: Process) -> AgentCore:
            engine = BenchEngine(name, self.fleet, process)
            core = AgentCore(context, limits, engine, new_queue=self.new_queue)
            engine.listener = core.reports.cache_event
            return core

        self.world._makers[name] = make
        zone = ZONES[index % len(ZONES)]
        self.world.list_instance(name, "agent", zone, MODEL_POOL, stage)
        self.world.start(name)

    def _add_entry(self, name: str, index: int) -> None:
        def make(context: Context, process: Process) -> EntryCore:
            core = EntryCore(context)
            self.change_entry(core)
            return core

        self.world._makers[name] = make
        self.world.list_instance(name, "entry", ZONES[index % len(ZONES)])
        self.world.start(name)


def on_time(outcome: Outcome) -> bool:
    """Return whether an answer was whole and met both latency targets."""
    if not outcome.whole or outcome.first - outcome.started > FIRST_TOKEN_S:
        return False
    gaps = max(1, len(outcome.tokens) - 1)
    return (outcome.ended - outcome.first) / gaps <= BETWEEN_TOKENS_S
