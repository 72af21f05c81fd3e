"""Entries that run their real decision code on a simulated network."""

import asyncio

from ebonyglade.forward.call import ForwardCall
from ebonyglade.forward.endpoint_limits.cold_endpoints import DEFAULT_COLD_BOUNDS
from ebonyglade.forward.entry import ForwardEntry, ForwardLimits
from ebonyglade.forward.rates.tolerance import RateTolerance
from ebonyglade.forward.retries.retry_budget import RetryBudgetLimits
from ebonyglade.forward.types import RequestMetadata, RetryMode, Share, Workspace
from ebonyglade_lab.virtual.adapter import plain_adapter
from ebonyglade_lab.virtual.network import open_frame
from ebonyglade_lab.virtual.process import Process
from helpers.forwarding import (
    MODEL,
    PLAIN_SERVICE,
    at,
    configuration,
    prompt,
    route,
)
from helpers.members import member_context

WORKSPACE = Workspace("w", ("key",), rate=100_000.0, burst=200_000.0)
BYTES_PER_MBIT = 125_000
MAX_OUTDATED_S = 1.5
PROMPT = prompt()
MODEL_SHARES = (Share("model", 1.0),)
FIRST_START_RATES = RateTolerance(first_start=True)


class Entry:
    """An entry on the simulated network; by default the store lists no endpoints."""

    def __init__(
        self,
        network,
        name,
        rates=FIRST_START_RATES,
        zone="z",
        incarnation="1",
        link_mbps=0.0,
        port=None,
        shares=MODEL_SHARES,
        documents=(),
        workspace=WORKSPACE,
        services=(MODEL, PLAIN_SERVICE),
        cold=DEFAULT_COLD_BOUNDS,
        regions=None,
        seeds=("e0",),
    ):
        self.process = Process(name, incarnation)
        context = member_context(self.process, network, zone)
        limits = ForwardLimits(
            None,
            RetryBudgetLimits(0.2, 10.0, 50.0),
            rates,
            link_mbps,
            MAX_OUTDATED_S,
            cold=cold,
        )
        if link_mbps:
            network.set_link_rate(name, link_mbps * BYTES_PER_MBIT)
        self.core = ForwardEntry(context, plain_adapter, port, limits, seeds, regions)
        network.attach(name, lambda frame: context.deliver(*open_frame(frame)))
        self.core.start()
        routes = [route(RetryMode.STREAM, shares=shares, target_s=1.0, timeout_s=14.0)]
        published = configuration(
            1, 2, routes=routes, workspaces=(workspace,), services=services
        )
        self.core.replica.apply([published, *documents], at(50))
        self.core.replica.confirm_current_at(context.clock())
        self.process.spawn(self._run())

    @property
    def now(self):
        return self.core.context.clock()

    async def _run(self):
        while True:
            self.core.context.timers.run_due(self.core.context.clock())
            await asyncio.sleep(0.05)

    def plain_call(self, request_id, deadline_s=2.0):
        return self.call(request_id, deadline_s, request_id.encode(), None)

    def call(self, request_id, deadline_s, body=b"one", asked=PROMPT):
        metadata = RequestMetadata(request_id, deadline_s, "key", asked)
        now = self.core.context.clock()
        return ForwardCall(metadata, "POST", "/a/b", "h.example", [], body, now)

    def reserve_by(self, call):
        assert self.core.admit(call) is None
        return (
            self.core.generation_dispatcher.reserver.reservations.reserve_by(call)
            - call.arrived_at
        )
