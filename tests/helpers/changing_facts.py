"""Facts that change while a request waits, in an entry's sender without network.

`FACTS` changes each fact that the gate asks for, and `WAITS` names each wait of a model
request at which it does. Whatever is added to either is tested with all of the other.
"""

import asyncio
from dataclasses import dataclass, field

from result import Err, Ok

from ebonyglade.bodies import Body
from ebonyglade.completeness import Framing
from ebonyglade.forward.call import AttemptFailure, EndpointResponse, FailureKind
from ebonyglade.forward.gate.send_gate import Obstacle
from ebonyglade.forward.generation import GenerationDispatcher
from ebonyglade.forward.types import (
    ControlResponse,
    ResponseMetadata,
    RetryMode,
    Stage,
    Workspace,
)
from ebonyglade.quarantine.evidence import BrokenRun
from helpers.forwarding import (
    MODEL,
    PLAIN_SERVICE,
    at,
    attempt_sender,
    configuration,
    decode,
    endpoint,
    evacuation,
    forward_call,
    listed,
    prompt,
    removed,
    route,
)

WORKSPACE = Workspace("w", ("key",))
CHANGED_AT = 200  # revision of the change
DECODING = ("d", "e")


@dataclass
class Sender:
    """An entry's sender before simulated endpoints, at which a fact changes once.

    The first prefill is lost, the first lease is refused, and for "retry" the first
    decode too, so that a request goes through all waits.

    Attributes:
        fact: name of the fact that changes.
        wait: name of the wait within which it does.
        changed: the decode endpoint that the change is about; None before it.
        reached: decode endpoints that requests reached, in order.
        reached_after: those since the change.
        prefills: how many prefills were sent.
    """

    fact: Obstacle
    wait: str
    changed: object = None
    reached: list = field(default_factory=list)
    reached_after: list = field(default_factory=list)
    prefills: int = 0

    def __post_init__(self):
        self.clock = asyncio.get_running_loop().time
        prefilling = [endpoint(f"p{n}", "model", stage=Stage.PREFILL) for n in "12"]
        if self.wait == "lease":
            prefilling = []
        self.decoding = {name: decode(name, software="v1") for name in DECODING}
        self.attempts = attempt_sender(
            self, self.clock, *prefilling, *self.decoding.values()
        )
        self.attempts.replica.apply([configuration(1, 60)], at(60))
        self.dispatcher = GenerationDispatcher(self.attempts, Agents(self))
        self.call = forward_call(self.clock, MODEL, RetryMode.STREAM, prompt())
        self.call.workspace, self.call.software = WORKSPACE, "v1"
        self.call.may_send = lambda item: self.attempts.gate.permits(self.call, item)

    async def run(self):
        reply = await self.dispatcher.run(self.call)
        if isinstance(reply, Ok):
            async for _ in reply.ok_value.chunks:
                pass
        return reply

    async def within(self, wait, name):
        """Let a wait pass; change the fact within it if it is the right one."""
        await asyncio.sleep(0.01)
        if wait == self.wait and self.changed is None:
            self.changed = self.decoding[name]
            FACTS[self.fact](self, self.changed)
        await asyncio.sleep(0.01)

    def apply(self, document):
        self.attempts.replica.apply([document], at(CHANGED_AT))

    async def send(self, call, target, instructions, timeout_s):
        if instructions.prefill_only:
            self.prefills += 1
            number = ("first prefill", "second prefill")[min(self.prefills, 2) - 1]
            await self.within(number, self.reserved)
            if self.prefills == 1:
                return Err(AttemptFailure(FailureKind.LATE, "lost"))
            return answer(b"handle")
        await self.within("connect", target.id)
        if not call.may_send(target):
            return Err(AttemptFailure(FailureKind.NOT_SENT, "aborted"))
        self.reached.append(target.id)
        if self.changed is not None:
            self.reached_after.append(target.id)
        if self.wait == "retry" and len(self.reached) == 1:
            other = next(name for name in DECODING if name != target.id)
            await self.within("retry", other)
            return Err(AttemptFailure(FailureKind.REJECTED, "status 503"))
        return answer(b"data: x\n\n")

    async def control(self, target, call, timeout_s):
        if call.method == "POST":
            self.reserved = target.id
            await self.within("hold", target.id)
        return Ok(ControlResponse(200, {}, b"hold-1"))


@dataclass
class Agents:
    """Agents that have no memory to grant; a prefill lease is refused once."""

    sender: Sender
    refused: bool = False

    def has_agent(self, name):
        return False

    def release_memory(self, name, request):
        pass

    def release_prefill_lease(self, name, request):
        pass

    async def acquire_prefill_lease(self, name, request):
        await self.sender.within("lease", name)
        self.refused, granted = True, self.refused
        return granted


def answer(*parts):
    async def chunks():
        for part in parts:
            yield part

    metadata = ResponseMetadata("id-1", True, True)
    body = Body(Framing.CHUNKS, chunks())
    return Ok(EndpointResponse(200, [], metadata, body, lambda: None))


def crash(sender, target):
    for number in range(3):
        run = BrokenRun(f"i{number}@1", sender.call.fingerprint, (), False)
        sender.attempts.crashes.record_run(run, sender.clock(), sender.clock())


def relist(sender, target, **changes):
    fields = {"software": "v1", "address": target.address, **changes}
    sender.apply(listed(decode(target.id, **fields), CHANGED_AT))


def change_stage(sender, target):
    changed = endpoint(
        target.id,
        "model",
        slots=12,
        stage=Stage.PREFILL,
        software="v1",
        address=target.address,
    )
    sender.apply(listed(changed, CHANGED_AT))


# Where the whole request may not be sent any more, no endpoint may get it.
FACTS = {
    Obstacle.NOT_LISTED: lambda s, item: s.apply(removed(item.id, CHANGED_AT)),
    Obstacle.LEAVING: lambda s, item: relist(s, item, leaving=True),
    Obstacle.EVACUATED_ZONE: lambda s, item: s.apply(evacuation("z", CHANGED_AT)),
    Obstacle.HOME_REGIONS: lambda s, item: s.apply(
        configuration(
            2,
            CHANGED_AT,
            routes=[route(home_regions=("elsewhere",))],
            workspaces=[Workspace("w", ("key",), home_regions=("elsewhere",))],
        )
    ),
    Obstacle.OTHER_STAGE: change_stage,
    Obstacle.OTHER_SOFTWARE: lambda s, item: relist(s, item, software="v2"),
    Obstacle.BACKOFF: lambda s, item: s.attempts.loads.back_off(
        item.id, s.clock() + 60.0
    ),
    Obstacle.NO_SERVICE: lambda s, item: s.apply(
        configuration(2, CHANGED_AT, services=(PLAIN_SERVICE,))
    ),
    Obstacle.CRASHES: crash,
    Obstacle.KEY: lambda s, item: s.apply(
        configuration(2, CHANGED_AT, workspaces=[Workspace("w", ("other",))])
    ),
    Obstacle.DEADLINE: lambda s, item: setattr(s.call, "deadline", s.clock()),
}
FOR_ALL_ENDPOINTS = {
    Obstacle.EVACUATED_ZONE,
    Obstacle.HOME_REGIONS,
    Obstacle.NO_SERVICE,
    Obstacle.CRASHES,
    Obstacle.KEY,
    Obstacle.DEADLINE,
}
WAITS = ("hold", "first prefill", "second prefill", "lease", "connect", "retry")
