"""Builders of routes, endpoints, store documents and calls for forwarding tests."""

import random

from ebonyglade.audit import AuditTrail
from ebonyglade.context import Context, Identity
from ebonyglade.forward.attempts import AttemptSender
from ebonyglade.forward.balancing.endpoint_loads import EndpointLoads
from ebonyglade.forward.call import ForwardCall
from ebonyglade.forward.retries.fleet_retries import FleetRetries
from ebonyglade.forward.retries.retry_budget import OwnRetries, RetryBudgetLimits
from ebonyglade.forward.retries.slack import RetrySlack
from ebonyglade.forward.store.store_replica import StoreReplica
from ebonyglade.forward.types import (
    Endpoint,
    EngineProfile,
    PromptSize,
    PublishedConfiguration,
    RequestMetadata,
    RetryMode,
    Route,
    Service,
    Share,
    Stage,
    StoreDocument,
    StoreVersion,
    Workspace,
)
from ebonyglade.quarantine.evidence import CrashEvidence
from ebonyglade_lab.virtual.adapter import encode_document, plain_adapter as adapter

ENGINE = EngineProfile(12, 80_000, 0.5, 6.0, 2.0)
MODEL = Service("model", 100, ENGINE)
PLAIN_SERVICE = Service("desk", 100)


def route(repeat=RetryMode.IDEMPOTENT, **changes):
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


def published_configuration(
    version=1, routes=None, workspaces=None, services=(MODEL, PLAIN_SERVICE)
):
    if workspaces is None:
        workspaces = (Workspace("w", ("key",)),)
    return PublishedConfiguration(
        version, tuple(routes or [route()]), tuple(services), workspaces
    )


def endpoint(name, service="desk", **changes):
    fields = {
        "address": f"10.0.0.1:{8000 + len(name)}{name[-1:]}",
        "zone": "z",
        "leaving": False,
        "slots": 4,
    }
    return Endpoint(id=name, service=service, **{**fields, **changes})


def at(revision, era=0):
    """Return a version of the store."""
    return StoreVersion(era, revision)


def configuration(version, revision, era=0, **changes):
    """Return the store's document of a configuration."""
    value = encode_document(published_configuration(version, **changes))
    return StoreDocument(adapter.CONFIGURATION, value, at(revision, era))


def listed(item, revision, era=0):
    """Return the store's document of an endpoint."""
    path = adapter.ENDPOINTS + item.id
    return StoreDocument(path, encode_document(item), at(revision, era))


def removed(name, revision, era=0):
    """Return the store's document of an endpoint that was removed."""
    return StoreDocument(adapter.ENDPOINTS + name, None, at(revision, era))


def evacuation(zone, revision, era=0, removed=False):
    """Return the store's document that evacuates a zone, or of its removal."""
    value = None if removed else b"{}"
    return StoreDocument(adapter.EVACUATIONS + zone, value, at(revision, era))


class Clock:
    """A clock that tests set by hand."""

    def __init__(self, now=100.0):
        self.now = now

    def __call__(self):
        return self.now


def store_replica(clock):
    """Return an empty local replica of the store."""
    return StoreReplica(adapter, clock, AuditTrail(clock))


def local_retries(limits, clock):
    """Return the retries of a fleet of one entry that starts for the first time."""
    slack = RetrySlack(limits, first_start=True)
    slack.set_share(1.0, clock())

    async def take(service):
        return slack.take(service, clock())

    return FleetRetries(OwnRetries(limits), take, slack.give_back, lambda: 1, clock)


def attempt_sender(port, clock, *endpoints, regions=None):
    """Return a `AttemptSender` whose replica of the store lists the given endpoints."""
    replica = store_replica(clock)
    replica.apply([listed(item, 2 + n) for n, item in enumerate(endpoints)], at(50))
    replica.confirm_current_at(clock())
    return AttemptSender(
        adapter=adapter,
        port=port,
        replica=replica,
        loads=EndpointLoads(),
        retries=local_retries(RetryBudgetLimits(0.2, 10.0, 50.0), clock),
        crashes=CrashEvidence(),
        clock=clock,
        rng=random.Random(3),
        zone="z",
        count=lambda name, by=1: None,
        regions=regions or {},
    )


def forward_call(
    clock, service=PLAIN_SERVICE, repeat=RetryMode.IDEMPOTENT, prompt=None, **changes
):
    matched_route = route(repeat, **changes)
    facts = RequestMetadata("id-1", 5.0, "key", prompt)
    new_call = ForwardCall(facts, "POST", "/a/b", "h.example", [], b"x", clock())
    new_call.route, new_call.service = matched_route, service
    new_call.deadline = clock() + 5.0
    new_call.fingerprint = "f"
    return new_call


def prompt(tokens=5000, most=12_000, expected=6000):
    return PromptSize("m", tokens, most, expected)


def context(clock, transport, name="tcp://10.0.0.1:1"):
    return Context(
        identity=Identity(name, "i1", "z"),
        transport=transport,
        clock=clock,
        wall_clock=clock,
        rng=random.Random(5),
    )


def decode(name, **changes):
    """Return a decode endpoint of the model service."""
    return endpoint(name, "model", slots=12, stage=Stage.DECODE, **changes)
