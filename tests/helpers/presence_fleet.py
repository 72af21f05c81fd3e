"""Entries and agents of which an entry is started again, and what then runs."""

import asyncio
import random
from dataclasses import dataclass, field

from ebonyglade.audit import AuditTrail
from ebonyglade.forward.agent import ForwardAgent
from ebonyglade.forward.rates.tolerance import RateTolerance
from ebonyglade.forward.types import EngineReport, Stage, Workspace
from ebonyglade_lab.virtual.adapter import plain_adapter
from ebonyglade_lab.virtual.network import Network, open_frame
from ebonyglade_lab.virtual.process import Process
from helpers.entries import Entry
from helpers.forwarding import at, configuration, decode, listed
from helpers.members import member_context

REPORT_S = 0.2
TOLERANCE = RateTolerance(overage=0.25, slack=20.0)
WORKSPACE = Workspace("w", ("key",), rate=10.0, burst=20.0, counts_tokens=False)
WINDOW_S = 8.0
ALLOWED = (WORKSPACE.rate * WINDOW_S + WORKSPACE.burst) * (1 + TOLERANCE.overage)
ALLOWED += TOLERANCE.slack
SEEDS = 3


class Agent:
    """An agent beside a decode endpoint that the store lists."""

    def __init__(self, network, name, incarnation, seeds, documents):
        self.process = Process(name, incarnation)
        context = member_context(self.process, network)
        self.core = ForwardAgent(
            context,
            plain_adapter,
            address_beside(name),
            seeds,
            AuditTrail(context.clock),
        )
        self.core.start()
        self.core.replica.apply([configuration(1, 2), *documents], at(50))
        attach(network, name, self.process, context)
        self.process.spawn(self._run(context))

    async def _run(self, context):
        while True:
            context.timers.run_due(context.clock())
            self.core.replica.confirm_current_at(context.clock())
            report = EngineReport(Stage.DECODE, False, 0, 0, 0, 0, 80_000)
            self.core.on_report(report)
            await asyncio.sleep(REPORT_S)


def address_beside(agent):
    return f"10.1.0.{agent[1:]}:80"


def attach(network, name, process, context):
    """Deliver frames to a process while it runs."""

    def receive(frame):
        if not process.killed and not process.paused:
            context.deliver(*open_frame(frame))

    network.attach(name, receive)


@dataclass
class PresenceFleet:
    """A fleet whose first entry is the one under test.

    Attributes:
        count: number of entries.
        agents: number of agents, each beside one of the listed endpoints.
        endpoints: number of listed endpoints.
        admitted: time and entry of each request that was admitted.
    """

    count: int
    agents: int = 3
    endpoints: int = 3
    seed: int = 1
    admitted: list = field(default_factory=list)
    nodes: dict = field(default_factory=dict)

    def __post_init__(self):
        self.rng = random.Random(self.seed)
        self.network = Network(random.Random(self.seed + 1))
        self.names = [f"e{n + 1}" for n in range(self.count)]
        self.agent_names = [f"a{n + 1}" for n in range(self.agents)]
        self.seeds = tuple(self.names[:SEEDS])
        items = [
            decode(f"d{n + 1}", address=address_beside(f"a{n + 1}"))
            for n in range(self.endpoints)
        ]
        self._documents = [listed(item, 10 + n) for n, item in enumerate(items)]
        self._starts = 0

    @property
    def now(self):
        return asyncio.get_running_loop().time()

    @property
    def others(self):
        """The entries that are not under test."""
        return self.names[1:]

    def start(self, *names):
        """Start processes, each in place of the one of its name."""
        for name in names:
            self._starts += 1
            incarnation = f"i{self._starts}"
            if name.startswith("a"):
                self.nodes[name] = Agent(
                    self.network, name, incarnation, self.seeds, self._documents
                )
                continue
            entry = Entry(
                self.network,
                name,
                TOLERANCE,
                incarnation=incarnation,
                documents=self._documents,
                workspace=WORKSPACE,
                seeds=self.seeds,
            )
            attach(self.network, name, entry.process, entry.core.context)
            self.nodes[name] = entry

    def kill(self, *names):
        for name in names:
            if name in self.nodes:
                self.network.detach(name)
                self.nodes.pop(name).process.kill()

    def cut(self, one_side, other_side, both_ways=True):
        """Cut processes off from others; one way from the first ones to the others."""
        pairs = {(one, other) for one in one_side for other in other_side}
        if both_ways:
            self.network.faults.partitioned |= {frozenset(pair) for pair in pairs}
        else:
            self.network.faults.cut_one_way |= pairs

    def pause(self, *names):
        for name in names:
            self.nodes[name].process.pause()

    def resume(self, *names):
        for name in names:
            self.nodes[name].process.resume()

    async def press(self, seconds, per_s):
        """Ask each entry that runs for requests, each at the same rate."""
        until, number = self.now + seconds, 0
        while self.now < until:
            for name in self.names:
                node = self.nodes.get(name)
                if node is None or node.process.paused:
                    continue
                number += 1
                call = node.plain_call(f"{name}-{self.now}-{number}")
                if node.core.admit(call) is None:
                    self.admitted.append((self.now, name))
            await asyncio.sleep(self.rng.expovariate(per_s))

    def most_in_window(self):
        """Return the most requests that were admitted in any window."""
        times = sorted(at_s for at_s, _ in self.admitted)
        return max(
            (
                sum(t < start + WINDOW_S for t in times[n:])
                for n, start in enumerate(times)
            ),
            default=0,
        )

    def served_share(self, since, until):
        """Return what was admitted in a time, as a share of the published rate."""
        count = sum(since <= at_s < until for at_s, _ in self.admitted)
        return count / (WORKSPACE.rate * (until - since))
