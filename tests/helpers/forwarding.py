"""Builders of what forwarded requests are decided on."""

import random

from ebonyglade.audit import AuditTrail
from ebonyglade.context import Context, Identity
from ebonyglade.forward.belief import Belief
from ebonyglade.forward.budget import BudgetTerms, FleetBudget
from ebonyglade.forward.call import ForwardCall
from ebonyglade.forward.crashes import Crashes
from ebonyglade.forward.desk import Desk
from ebonyglade.forward.loads import Loads
from ebonyglade.forward.types import (
    Document,
    Endpoint,
    EngineTraits,
    PromptSize,
    Published,
    Repeat,
    RequestFacts,
    Route,
    Service,
    Share,
    Stage,
    Workspace,
)
from ebonyglade_lab.virtual.adapter import encode_document, plain_adapter as adapter

ENGINE = EngineTraits(12, 80_000, 0.5, 6.0, 2.0)
MODEL = Service("model", 100, ENGINE)
DESK = Service("desk", 100)


def route(repeat=Repeat.IDEMPOTENT, **changes):
    fields = {
        "name": "r",
        "host": "h.example",
        "prefix": "/a/",
        "repeat": repeat,
        "timeout_s": 5.0,
        "target_s": 0.5,
        "priority": 1,
        "shares": (Share("desk", 1.0),),
        "max_attempts": 2,
    }
    return Route(**{**fields, **changes})


def published(version=1, routes=None, workspaces=None):
    if workspaces is None:
        workspaces = (Workspace("w", ("key",)),)
    return Published(version, tuple(routes or [route()]), (MODEL, DESK), workspaces)


def endpoint(name, service="desk", **changes):
    fields = {
        "address": f"10.0.0.1:{8000 + len(name)}{name[-1:]}",
        "zone": "z",
        "leaving": False,
        "slots": 4,
    }
    return Endpoint(id=name, service=service, **{**fields, **changes})


def configuration(version, revision, **changes):
    value = encode_document(published(version, **changes))
    return Document(adapter.CONFIGURATION, value, revision)


def listed(item, revision):
    return Document(adapter.ENDPOINTS + item.id, encode_document(item), revision)


def removed(name, revision):
    return Document(adapter.ENDPOINTS + name, None, revision)


class Clock:
    def __init__(self, now=100.0):
        self.now = now

    def __call__(self):
        return self.now


def belief(clock):
    return Belief(adapter, clock, AuditTrail(clock))


def desk(port, clock, *endpoints):
    believed = belief(clock)
    believed.apply([listed(item, 2 + n) for n, item in enumerate(endpoints)], 50)
    believed.confirm(clock())
    return Desk(
        adapter=adapter,
        port=port,
        belief=believed,
        loads=Loads(),
        budget=FleetBudget(BudgetTerms(0.2, 10.0, 50.0)),
        crashes=Crashes(),
        clock=clock,
        rng=random.Random(3),
        zone="z",
        entries=lambda: 1,
        count=lambda name, by=1: None,
    )


def call(clock, service=DESK, repeat=Repeat.IDEMPOTENT, prompt=None, **changes):
    found = route(repeat, **changes)
    facts = RequestFacts("id-1", 5.0, "key", prompt)
    made = ForwardCall(facts, "POST", "/a/b", "h.example", [], b"x", clock())
    made.route, made.service = found, service
    made.deadline = clock() + 5.0
    made.fingerprint = "f"
    return made


def prompt(tokens=5000, most=12_000, expected=6000):
    return PromptSize("m", tokens, most, expected)


def context(clock, transport, name="tcp://10.0.0.1:1"):
    return Context(
        me=Identity(name, "i1", "z"),
        transport=transport,
        clock=clock,
        wall=clock,
        rng=random.Random(5),
    )


def decode(name, **changes):
    return endpoint(name, "model", slots=12, stage=Stage.DECODE, **changes)
