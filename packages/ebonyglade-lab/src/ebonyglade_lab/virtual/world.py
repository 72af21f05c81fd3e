"""A virtual fleet: entries, agents, endpoints and a platform."""

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from result import Err

from ebonyglade.agent import AgentCore, EndpointLimits
from ebonyglade.calls import Call, CompleteAnswer, Prompt, StreamFailed
from ebonyglade.config.view import hash_key
from ebonyglade.context import Context, Identity
from ebonyglade.entry import EntryCore
from ebonyglade.invariants import Invariants
from ebonyglade.ownership.lease_times import LeaseTimes
from ebonyglade.verdict import Refusal
from ebonyglade_lab.virtual.endpoints import (
    FleetObserver,
    VirtualEngine,
    VirtualEngineState,
    VirtualService,
    VirtualServiceState,
)
from ebonyglade_lab.virtual.network import Network, VirtualTransport, open_frame
from ebonyglade_lab.virtual.platform import VirtualPlatform
from ebonyglade_lab.virtual.process import Process, track_tasks
from ebonyglade_lab.virtual.store_reader import VirtualStoreReader

MIN_SLEEP_S = 0.05  # least time between two steps of a process
MAX_SLEEP_S = 0.25
ZONES = ("zone-a", "zone-b", "zone-c")
MODEL_POOL = "abstracts"
SERVICE_POOL = "rooms"
# With a removal time of 0 the fleet starts at once. This is safe, as a virtual fleet
# removes no instance that still runs.
QUICK_LEASE_TIMES = LeaseTimes(lease_s=0.4, removal_s=0.0, seal_s=1.0, groups=16)


@dataclass(slots=True)
class VirtualNode:
    """A process with its context, transport and core."""

    process: Process
    context: Context
    transport: VirtualTransport
    core: EntryCore | AgentCore
    inbox: list[bytes] = field(default_factory=list)


@dataclass(slots=True)
class Outcome:
    """The outcome of a request, as the caller sees it.

    Attributes:
        tokens: tokens of a model answer.
        complete: whether the answer is complete.
        status: HTTP status of a service's answer.
        body: body of a service's answer.
        refusal: why there is no complete answer.
        sent_at: virtual seconds at which the request was sent.
        first_token_at: virtual seconds of the first token; zero if there was none.
        ended_at: virtual seconds at which the request ended; zero before.
    """

    tokens: list[str] = field(default_factory=list)
    complete: bool = False
    status: int = 0
    body: bytes = b""
    refusal: Refusal | None = None
    sent_at: float = 0.0
    first_token_at: float = 0.0
    ended_at: float = 0.0


@dataclass(slots=True)
class PendingRequest:
    """A pending request: its task in the entry, and its outcome so far."""

    task: asyncio.Task
    outcome: Outcome


class World:
    """A small fleet of simulated processes; use it inside a virtual loop."""

    def __init__(
        self,
        seed: int,
        strict: bool = True,
        lease_times: LeaseTimes = QUICK_LEASE_TIMES,
        observer: FleetObserver | None = None,
    ) -> None:
        self.lease_times = lease_times
        self.observer = observer or FleetObserver()
        self.rng = random.Random(seed)
        self.network = Network(random.Random(seed + 1))
        self.platform = VirtualPlatform()
        self.engines: dict[str, VirtualEngineState] = {}
        self.services: dict[str, VirtualServiceState] = {}
        self.nodes: dict[str, VirtualNode] = {}
        self._core_factories: dict[
            str, Callable[[Context, Process], EntryCore | AgentCore]
        ] = {}
        self._strict = strict
        self._start_count = 0
        track_tasks(asyncio.get_running_loop())

    def now(self) -> float:
        """Return the current virtual seconds."""
        return asyncio.get_running_loop().time()

    def add_entry(self, name: str, zone: str = ZONES[0]) -> VirtualNode:
        """List an entry on the platform and start it."""
        self._core_factories[name] = lambda context, process: EntryCore(
            context, self.lease_times
        )
        self.list_instance(name, "entry", zone)
        return self.start(name)

    def add_engine(
        self,
        name: str,
        stage: str,
        zone: str = ZONES[0],
        limits: EndpointLimits | None = None,
    ) -> VirtualNode:
        """List an agent with a model engine on the platform and start it."""
        limits = limits or EndpointLimits()
        state = VirtualEngineState(
            name, limits.slots, limits.pieces, observer=self.observer
        )
        self.engines[name] = state

        def create_core(context: Context, process: Process) -> AgentCore:
            engine = VirtualEngine(state, process, self.engines)
            return AgentCore(
                context, limits, engine=engine, lease_times=self.lease_times
            )

        self._core_factories[name] = create_core
        self.list_instance(name, "agent", zone, MODEL_POOL, stage)
        return self.start(name)

    def add_service(
        self,
        name: str,
        zone: str = ZONES[0],
        limits: EndpointLimits | None = None,
    ) -> VirtualNode:
        """List an agent with a plain service on the platform and start it."""
        state = VirtualServiceState(name, observer=self.observer)
        self.services[name] = state

        def create_core(context: Context, process: Process) -> AgentCore:
            service = VirtualService(state, process)
            return AgentCore(
                context,
                limits or EndpointLimits(),
                service=service,
                lease_times=self.lease_times,
            )

        self._core_factories[name] = create_core
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
        """Publish an instance on the platform's list of instances."""
        return self.platform.publish(
            f"platform/instances/{name}",
            role=role,
            address=name,
            zone=zone,
            pool=pool,
            stage=stage,
            state=state,
        )

    def start(self, name: str) -> VirtualNode:
        """Start a new process of an instance, also after a kill."""
        self._start_count += 1
        process = Process(name, f"{name}#{self._start_count}")
        transport = VirtualTransport(process, self.network)
        loop = asyncio.get_running_loop()
        context = Context(
            identity=Identity(name, process.incarnation),
            transport=transport,
            clock=process.clock,
            wall_clock=loop.time,
            rng=random.Random(self.rng.getrandbits(64)),
            invariants=Invariants(
                strict=self._strict,
                count=lambda counter, by: self.observer.invariant_violated(
                    name, counter
                ),
            ),
        )
        core = self._core_factories[name](context, process)
        self.observer.process_started(core)
        node = VirtualNode(process, context, transport, core)
        self.nodes[name] = node
        self.network.attach(name, lambda frame: self._receive(node, frame))
        process.spawn(self._run(node))
        return node

    def kill(self, name: str) -> None:
        """Kill the process of an instance."""
        self.network.detach(name)
        self.network.close_connections(name)
        self.nodes[name].process.kill()

    def pause(self, name: str) -> None:
        """Pause the process of an instance."""
        self.nodes[name].process.pause()

    def resume(self, name: str) -> None:
        """Resume the process; it sends and receives what was buffered meanwhile."""
        node = self.nodes[name]
        node.process.resume()
        node.transport.send_buffered()
        buffered, node.inbox = node.inbox, []
        for frame in buffered:
            self._receive(node, frame)

    async def call(self, entry: str, call: Call) -> Outcome:
        """Send a request to an entry and return its outcome."""
        sent = self.submit(entry, call)
        await asyncio.wait([sent.task])
        if not sent.task.cancelled() and sent.task.exception() is not None:
            raise sent.task.exception()
        return sent.outcome

    def submit(self, entry: str, call: Call) -> PendingRequest:
        """Send a request to an entry without waiting for its outcome."""
        outcome = Outcome(sent_at=self.now())
        node = self.nodes[entry]
        task = node.process.spawn(self._collect(node, call, outcome))
        sent = PendingRequest(task, outcome)
        task.add_done_callback(lambda task: self._record_end(outcome))
        return sent

    def model_call(self, key: str, prompt: str, max_tokens: int = 64) -> Call:
        """Return a model request as the HTTP server of an entry creates it."""
        call = self._call(key, "POST", "/v1/completions", b"")
        tokens = -(-len(prompt) // 4)
        call.prompt = Prompt("abstracts", prompt, tokens, max_tokens)
        return call

    def service_call(
        self, key: str, method: str, path: str, body: bytes, idempotency_key: str = ""
    ) -> Call:
        """Return a service request as the HTTP server of an entry creates it."""
        call = self._call(key, method, path, body)
        call.idempotency_key = idempotency_key
        return call

    def publish_team(
        self, team: str, workspaces: Iterable[str], rate: float, burst: float
    ) -> None:
        """Publish workspaces, a key for each one, and routes.

        The key of a workspace is "<team>/<workspace>".
        """
        for workspace in workspaces:
            path = f"teams/{team}/workspaces/{workspace}"
            self.platform.publish(path, rate=rate, burst=burst)
            path = f"teams/{team}/keys/{workspace}"
            self.platform.publish(
                path, digest=hash_key(f"{team}/{workspace}"), workspace=workspace
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
            arrived_at=self.now(),
            view=None,
            method=method,
            path=path,
            headers=[],
            body=body,
            key=key,
        )

    def _record_end(self, outcome: Outcome) -> None:
        outcome.ended_at = self.now()

    async def _collect(self, node: VirtualNode, call: Call, outcome: Outcome) -> None:
        call.view = node.core.config.view
        reply = await node.core.run(call)
        await node.process.wait_until_running()
        if isinstance(reply, Err):
            outcome.refusal = reply.err_value
            return
        answer = reply.ok_value
        if isinstance(answer, CompleteAnswer):
            self.observer.tokens_delivered(call.workspace, call.route.route.cost)
            outcome.status, outcome.body, outcome.complete = (
                answer.status,
                answer.body,
                True,
            )
            return
        self.observer.tokens_delivered(call.workspace, call.prompt.tokens)
        try:
            async for tokens in answer.tokens:
                self.observer.tokens_delivered(call.workspace, len(tokens))
                outcome.first_token_at = outcome.first_token_at or self.now()
                outcome.tokens.extend(tokens)
        except StreamFailed as failed:
            outcome.refusal = failed.refusal
            return
        outcome.complete = True

    async def _run(self, node: VirtualNode) -> None:
        """Run the timers, pause checks and platform reads of a process."""
        reader = VirtualStoreReader(node.core, self.platform, node.process)
        while True:
            await node.process.wait_until_running()
            now = self.now()
            node.context.pauses.check()
            reader.step(now)
            node.context.timers.run_due(now)
            due = min(reader.due - now, node.context.timers.delay(now, MAX_SLEEP_S))
            await asyncio.sleep(max(MIN_SLEEP_S, due))

    def _receive(self, node: VirtualNode, frame: bytes) -> None:
        if node.process.killed:
            return
        if node.process.paused:
            node.inbox.append(frame)
            return
        sender, message = open_frame(frame)
        node.process.call(self._handle, node, sender, message)

    def _handle(self, node: VirtualNode, sender: object, message: object) -> None:
        self.observer.message_received(node.process.instance, sender, message)
        node.core.peers.on_message_received(sender)
        node.context.deliver(sender, message)
