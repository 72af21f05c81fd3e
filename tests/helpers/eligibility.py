"""A sender of requests before simulated endpoints in several zones."""

import asyncio
from dataclasses import dataclass, field

from result import Err, Ok

from ebonyglade.bodies import Body
from ebonyglade.completeness import Framing
from ebonyglade.forward.call import AttemptFailure, EndpointResponse, FailureKind
from ebonyglade.forward.generation import GenerationDispatcher
from ebonyglade.forward.memory.agent_client import AgentClient
from ebonyglade.forward.plain import PlainDispatcher
from ebonyglade.forward.retries.retry_budget import RetryBudgetLimits
from ebonyglade.forward.types import (
    ControlResponse,
    ResponseMetadata,
    RetryMode,
    Stage,
)
from helpers.forwarding import (
    MODEL,
    Clock,
    at,
    attempt_sender,
    context,
    endpoint,
    evacuation,
    forward_call,
    listed,
    local_retries,
    prompt,
)

REVISION = 100
AT_ONCE_S = 0.1  # far below the time for which a request waits for memory
UNSENT = AttemptFailure(FailureKind.NOT_SENT, "aborted")
NOT_RUN = AttemptFailure(FailureKind.REJECTED, "status 503")


@dataclass
class Port:
    """Answers requests and reservations, and records what endpoints get.

    Attributes:
        full: ids of endpoints that reserve no memory.
        failing: ids of endpoints that reject requests.
        unsent: whether connections do not open.
        before: called with the endpoint's id before a request is answered.
        sent: endpoint and instructions of each request, in order.
        controls: endpoint, method and target of each control call, in order.
    """

    full: set = field(default_factory=set)
    failing: set = field(default_factory=set)
    unsent: bool = False
    before: object = field(default=lambda name: None)
    sent: list = field(default_factory=list)
    controls: list = field(default_factory=list)

    async def send(self, call, endpoint, instructions, timeout_s):
        self.sent.append((endpoint.id, instructions))
        self.before(endpoint.id)
        await asyncio.sleep(0.05)
        if self.unsent:
            return Err(UNSENT)
        if endpoint.id in self.failing:
            return Err(NOT_RUN)
        metadata = ResponseMetadata("id-1", True, True)
        body = Body(Framing.CHUNKS, _parts(b"data: x\n\n"))
        return Ok(EndpointResponse(200, [], metadata, body, lambda: None))

    async def control(self, endpoint, call, timeout_s):
        self.controls.append((endpoint.id, call.method, call.target))
        refused = call.target == "/hold" and endpoint.id in self.full
        return Ok(ControlResponse(503 if refused else 200, {}, b"hold-1"))

    def reached(self):
        return [name for name, _ in self.sent]

    def asked(self):
        return {name for name, _, _ in self.controls}


async def _parts(*parts):
    for part in parts:
        yield part


class _Transport:
    def send(self, instance, message):
        return True


class Sender:
    """An entry's sender of requests, whose zones tests evacuate.

    `changes` of a request are of its route, except for its workspace.

    Attributes:
        port: the endpoints.
        attempts: the sender.
    """

    def __init__(self, *endpoints, regions=None):
        self.clock = asyncio.get_running_loop().time
        self.port = Port()
        self.attempts = attempt_sender(
            self.port, self.clock, *endpoints, regions=regions
        )
        agent_client = AgentClient(context(self.clock, _Transport()))
        self.generation = GenerationDispatcher(self.attempts, agent_client)
        self._revision = REVISION

    def add(self, item):
        self._revision += 1
        document = listed(item, self._revision)
        self.attempts.replica.apply([document], at(self._revision))

    def evacuate(self, zone, removed=False):
        self._revision += 1
        change = evacuation(zone, self._revision, removed=removed)
        self.attempts.replica.apply([change], at(self._revision))

    async def ask(self, repeat=RetryMode.ONCE, workspace=None, **changes):
        call = forward_call(self.clock, repeat=repeat, **changes)
        call.workspace = workspace
        return await PlainDispatcher(self.attempts).run(call)

    async def generate(
        self, repeat=RetryMode.STREAM, software=None, workspace=None, **changes
    ):
        call = forward_call(self.clock, MODEL, repeat, prompt(), **changes)
        call.software, call.workspace = software, workspace
        reply = await self.generation.run(call)
        if isinstance(reply, Ok):
            async for _ in reply.ok_value.chunks:
                pass
        return reply


def no_retries():
    return local_retries(RetryBudgetLimits(0.0, 10.0, 0.0), Clock())


def prefill(name, **changes):
    return endpoint(name, "model", stage=Stage.PREFILL, **changes)
