"""Callers that come back after a refusal, over all entries.

The pattern is an overload of some seconds: callers wait for different times, are
refused, and come back through another entry.
"""

import asyncio
import random

from ebonyglade.context import Context, Identity
from ebonyglade.forward.budget import BudgetTerms
from ebonyglade.forward.call import ForwardCall
from ebonyglade.forward.entry import ForwardEntry, ForwardTerms
from ebonyglade.forward.rates import RateTerms
from ebonyglade.forward.returns import REMEMBERED_S, Returns
from ebonyglade.forward.types import Repeat, RequestFacts, Share
from ebonyglade_lab.virtual.adapter import plain_adapter
from ebonyglade_lab.virtual.loop import run
from ebonyglade_lab.virtual.network import Network, VirtualTransport, open_frame
from ebonyglade_lab.virtual.process import Process
from helpers.forwarding import configuration, prompt, route

TERMS = ForwardTerms(None, BudgetTerms(0.2, 10.0, 50.0), RateTerms())


class Entry:
    """An entry on the fake network; no model endpoint is listed."""

    def __init__(self, network, name):
        self.process = Process(name, "1")
        clock = self.process.clock
        context = Context(
            me=Identity(name, "1", "z"),
            transport=VirtualTransport(self.process, network),
            clock=clock,
            wall=clock,
            rng=random.Random(name),
        )
        self.core = ForwardEntry(context, plain_adapter, None, TERMS, ("e0",))
        network.attach(name, lambda frame: context.deliver(*open_frame(frame)))
        self.core.start()
        shares = (Share("model", 1.0),)
        routes = [route(Repeat.STREAM, shares=shares, target_s=1.0, timeout_s=14.0)]
        self.core.belief.apply([configuration(1, 2, routes=routes)], 50)
        self.core.belief.confirm(clock())
        self.process.spawn(self._run())

    async def _run(self):
        while True:
            self.core.context.timers.fire(self.core.context.clock())
            await asyncio.sleep(0.05)

    def call(self, request, waits, body=b"one"):
        facts = RequestFacts(request, waits, "key", prompt())
        now = self.core.context.clock()
        return ForwardCall(facts, "POST", "/a/b", "h.example", [], body, now)

    def on_time_until(self, call):
        assert self.core.admit(call) is None
        return self.core.generation.reserver.on_time_until(call) - call.arrived


def overload(scenario):
    async def steps():
        network = Network(random.Random(1))
        entries = [Entry(network, f"e{n}") for n in range(3)]
        await asyncio.sleep(1.0)
        return await scenario(entries)

    return run(steps())


def test_callers_that_wait_for_different_times_are_on_time_alike():
    async def scenario(entries):
        one = entries[0]
        patient = one.on_time_until(one.call("a", 14.0))
        hasty = one.on_time_until(one.call("b", 12.0, b"two"))
        return patient, hasty

    patient, hasty = overload(scenario)
    assert patient == hasty > 0


def test_a_refused_caller_is_late_when_it_comes_back_through_another_entry():
    async def scenario(entries):
        reply = await entries[0].core.run(entries[0].call("a", 14.0))
        assert reply.is_err() and reply.err_value.retry_after
        await asyncio.sleep(1.0)
        back = entries[1].call("a2", 10.0)
        other = entries[1].call("b", 10.0, b"two")
        return [entries[1].on_time_until(item) for item in (back, other)]

    back, other = overload(scenario)
    assert back < 0 < other


def test_a_first_attempt_is_forgotten_after_the_longest_wait_of_callers():
    returns = Returns()
    returns.refused("f", 10.0)
    assert returns.first("f", 12.0) == 10.0
    assert returns.first("f", 10.0 + REMEMBERED_S) == 10.0 + REMEMBERED_S
    assert returns.first("other", 12.0) == 12.0
