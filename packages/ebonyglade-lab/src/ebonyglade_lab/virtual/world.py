"""Entries, agents, endpoints and a platform in one virtual world."""

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from result import Err

from ebonyglade.agent import AgentCore, EndpointLimits
from ebonyglade.calls import Call, Prompt, StreamFailed, WholeAnswer
from ebonyglade.config.view import digest
from ebonyglade.context import Context, Identity
from ebonyglade.entry import EntryCore
from ebonyglade.invariants import Invariants
from ebonyglade.ownership.terms import Terms
from ebonyglade.verdict import Refusal
from ebonyglade_lab.virtual.endpoints import (
    EngineState,
    ServiceState,
    VirtualEngine,
    VirtualService,
    Watcher,
)
from ebonyglade_lab.virtual.network import Network, VirtualTransport, open_frame
from ebonyglade_lab.virtual.platform import VirtualPlatform
from ebonyglade_lab.virtual.process import Process, track_tasks
from ebonyglade_lab.virtual.watcher import VirtualWatcher

TICK_S = 0.05
LONGEST_SLEEP_S = 0.25
ZONES = ("zone-a", "zone-b", "zone-c")
MODEL_POOL = "abstracts"
SERVICE_POOL = "rooms"
# A world that starts at once: it removes no instance that still runs.
QUICK_TERMS = Terms(lease_s=0.4, removal_s=0.0, seal_s=1.0, groups=16)


@dataclass(slots=True)
class Node:
    """A running process with its core."""

    process: Process
    context: Context
    transport: VirtualTransport
    core: EntryCore | AgentCore
    inbox: list[bytes] = field(default_factory=list)


@dataclass(slots=True)
class Outcome:
    """What a caller got.

    Attributes:
        tokens: tokens of a model answer.
        whole: whether the answer was complete.
        status: HTTP status of a service's answer.
        body: body of a service's answer.
        refusal: why there is no whole answer.
        started: virtual seconds when the request was sent.
        first: virtual seconds of the first token; zero if there was none.
        ended: virtual seconds when it was over; zero while it is not.
    """

    tokens: list[str] = field(default_factory=list)
    whole: bool = False
    status: int = 0
    body: bytes = b""
    refusal: Refusal | None = None
    started: float = 0.0
    first: float = 0.0
    ended: float = 0.0


@dataclass(slots=True)
class Sent:
    """A request under way: its task in the entry and what the caller has."""

    task: asyncio.Task
    outcome: Outcome


class World:
    """A small fleet; build and use it inside a virtual loop."""

    def __init__(
        self,
        seed: int,
        strict: bool = True,
        terms: Terms = QUICK_TERMS,
        watcher: Watcher | None = None,
    ) -> None:
        self.terms = terms
        self.watcher = watcher or Watcher()
        self.rng = random.Random(seed)
        self.network = Network(random.Random(seed + 1))
        self.platform = VirtualPlatform()
        self.engines: dict[str, EngineState] = {}
        self.services: dict[str, ServiceState] = {}
        self.nodes: dict[str, Node] = {}
        self._makers: dict[
            str, Callable[[Context, Process], EntryCore | AgentCore]
        ] = {}
        self._strict = strict
        self._starts = 0
        track_tasks(asyncio.get_running_loop())

    def now(self) -> float:
        """Return virtual seconds."""
        return asyncio.get_running_loop().time()

    def add_entry(self, name: str, zone: str = ZONES[0]) -> Node:
        """List an entry on the platform and start it."""
        self._makers[name] = lambda context, process: EntryCore(context, self.terms)
        self.list_instance(name, "entry", zone)
        return self.start(name)

    def add_engine(
        self,
        name: str,
        stage: str,
        zone: str = ZONES[0],
        limits: EndpointLimits | None = None,
    ) -> Node:
        """List an agent with a model engine beside it and start it."""
        limits = limits or EndpointLimits()
        state = EngineState(name, limits.slots, limits.pieces, watcher=self.watcher)
        self.engines[name] = state

        def make(context: Context, process: Process) -> AgentCore:
            engine = VirtualEngine(state, process, self.engines)
            return AgentCore(context, limits, engine=engine, terms=self.terms)

        self._makers[name] = make
        self.list_instance(name, "agent", zone, MODEL_POOL, stage)
        return self.start(name)

    def add_service(
        self,
        name: str,
        zone: str = ZONES[0],
        limits: EndpointLimits | None = None,
    ) -> Node:
        """List an agent with a plain service beside it and start it."""
        state = ServiceState(name, watcher=self.watcher)
        self.services[name] = state

        def make(context: Context, process: Process) -> AgentCore:
            service = VirtualService(state, process)
            return AgentCore(
                context,
                limits or EndpointLimits(),
                service=service,
                terms=self.terms,
            )

        self._makers[name] = make
        self.list_instance(name, "agent", zone, SERVICE_POOL, "service")
        return self.start(name)

    def list_instance(
        self,
        name: str,
        role: str,
        zone: str,
        pool: str = "",
        stage: str = "",
        state: str = "live",
    ) -> int:
        """Put an instance on the published list."""
        return self.platform.publish(
            f"platform/instances/{name}",
            role=role,
            address=name,
            zone=zone,
            pool=pool,
            stage=stage,
            state=state,
        )

    def start(self, name: str) -> Node:
        """Start an instance as a new process, also after a kill."""
        self._starts += 1
        process = Process(name, f"{name}#{self._starts}")
        transport = VirtualTransport(process, self.network)
        loop = asyncio.get_running_loop()
        context = Context(
            me=Identity(name, process.incarnation),
            transport=transport,
            clock=process.clock,
            wall=loop.time,
            rng=random.Random(self.rng.getrandbits(64)),
            invariants=Invariants(
                strict=self._strict,
                count=lambda counter, by: self.watcher.violated(name, counter),
            ),
        )
        core = self._makers[name](context, process)
        self.watcher.booted(core)
        node = Node(process, context, transport, core)
        self.nodes[name] = node
        self.network.attach(name, lambda frame: self._receive(node, frame))
        process.spawn(self._run(node))
        return node

    def kill(self, name: str) -> None:
        """End an instance's process at once."""
        self.network.detach(name)
        self.network.close_connections(name)
        self.nodes[name].process.kill()

    def pause(self, name: str) -> None:
        """Let an instance's process stand still."""
        self.nodes[name].process.pause()

    def wake(self, name: str) -> None:
        """Let it go on with what it had decided before."""
        node = self.nodes[name]
        node.process.wake()
        node.transport.release()
        held, node.inbox = node.inbox, []
        for frame in held:
            self._receive(node, frame)

    async def call(self, entry: str, call: Call) -> Outcome:
        """Send a request to an entry and return what the caller gets."""
        sent = self.submit(entry, call)
        await asyncio.wait([sent.task])
        if not sent.task.cancelled() and sent.task.exception() is not None:
            raise sent.task.exception()
        return sent.outcome

    def submit(self, entry: str, call: Call) -> Sent:
        """Send a request to an entry without waiting for its end."""
        outcome = Outcome(started=self.now())
        node = self.nodes[entry]
        task = node.process.spawn(self._collect(node, call, outcome))
        sent = Sent(task, outcome)
        task.add_done_callback(lambda task: self._ended(outcome))
        return sent

    def model_call(self, key: str, prompt: str, max_tokens: int = 64) -> Call:
        """Return a model request as an entry's HTTP server would make it."""
        call = self._call(key, "POST", "/v1/completions", b"")
        tokens = -(-len(prompt) // 4)
        call.prompt = Prompt("abstracts", prompt, tokens, max_tokens)
        return call

    def service_call(
        self, key: str, method: str, path: str, body: bytes, idempotency_key: str = ""
    ) -> Call:
        """Return a service request as an entry's HTTP server would make it."""
        call = self._call(key, method, path, body)
        call.idempotency_key = idempotency_key
        return call

    def publish_team(
        self, team: str, workspaces: Iterable[str], rate: float, burst: float
    ) -> None:
        """Publish workspaces with a key each, named as the workspace, and routes."""
        for workspace in workspaces:
            path = f"teams/{team}/workspaces/{workspace}"
            self.platform.publish(path, rate=rate, burst=burst)
            path = f"teams/{team}/keys/{workspace}"
            self.platform.publish(
                path, digest=digest(f"{team}/{workspace}"), workspace=workspace
            )
        self.platform.publish(
            f"teams/{team}/routes/abstracts",
            kind="model",
            model="abstracts",
            pool=MODEL_POOL,
            deadline_s=20.0,
        )
        self.platform.publish(
            f"teams/{team}/routes/bookings",
            kind="service",
            path="/bookings",
            pool=SERVICE_POOL,
            methods=["GET", "POST"],
            deadline_s=10.0,
        )

    def _call(self, key: str, method: str, path: str, body: bytes) -> Call:
        return Call(
            id=f"{self.rng.getrandbits(64):x}",
            arrived=self.now(),
            view=None,
            method=method,
            path=path,
            headers=[],
            body=body,
            key=key,
        )

    def _ended(self, outcome: Outcome) -> None:
        outcome.ended = self.now()

    async def _collect(self, node: Node, call: Call, outcome: Outcome) -> None:
        call.view = node.core.config.view
        reply = await node.core.run(call)
        await node.process.awake()
        if isinstance(reply, Err):
            outcome.refusal = reply.err_value
            return
        answer = reply.ok_value
        if isinstance(answer, WholeAnswer):
            self.watcher.spent(call.workspace, call.route.route.cost)
            outcome.status, outcome.body, outcome.whole = (
                answer.status,
                answer.body,
                True,
            )
            return
        self.watcher.spent(call.workspace, call.prompt.tokens)
        try:
            async for tokens in answer.tokens:
                self.watcher.spent(call.workspace, len(tokens))
                outcome.first = outcome.first or self.now()
                outcome.tokens.extend(tokens)
        except StreamFailed as failed:
            outcome.refusal = failed.refusal
            return
        outcome.whole = True

    async def _run(self, node: Node) -> None:
        """Drive a process: timers, pauses and reads of the platform."""
        watcher = VirtualWatcher(node.core, self.platform, node.process)
        while True:
            await node.process.awake()
            now = self.now()
            node.context.pauses.check()
            watcher.step(now)
            node.context.timers.fire(now)
            due = min(
                watcher.due - now, node.context.timers.delay(now, LONGEST_SLEEP_S)
            )
            await asyncio.sleep(max(TICK_S, due))

    def _receive(self, node: Node, frame: bytes) -> None:
        if node.process.dead:
            return
        if node.process.paused:
            node.inbox.append(frame)
            return
        sender, message = open_frame(frame)
        node.process.enter(self._handle, node, sender, message)

    def _handle(self, node: Node, sender: object, message: object) -> None:
        self.watcher.heard(node.process.instance, sender, message)
        node.core.peers.heard(sender)
        node.context.deliver(sender, message)
