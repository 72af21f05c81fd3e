import asyncio

import pytest

from ebonyglade.agent import EXPIRY_INTERVAL_S, EndpointLimits
from ebonyglade.invariants import Invariants
from ebonyglade.ports import EngineError
from ebonyglade.worker.memory import HELD_POLL_S, EngineMemory
from ebonyglade_lab.experiments.memory import SCENARIOS, seconds_until_free
from ebonyglade_lab.fuzz import checks
from ebonyglade_lab.virtual.loop import run

TERM_S = 3.0
# The documented bound: see docs/design/engine-memory.md.
BOUND_S = EndpointLimits().lease_s + 2 * EXPIRY_INTERVAL_S + 2 * HELD_POLL_S

# Faults after which memory is held beyond the bound if there are no leases.
NEED_LEASES = (
    "entry dies in mid-answer",
    "entry dies, agent restarts",
    "entry dies, agent pauses",
    "partition, caller goes away",
    "transfer stalls, entry dies",
    "prefill cut off, caller goes away",
    "engine out of reach while cancelled",
)


@pytest.mark.parametrize("name", SCENARIOS)
def test_memory_is_free_within_the_bound(name):
    assert seconds_until_free(name) <= BOUND_S


@pytest.mark.parametrize("name", NEED_LEASES)
def test_without_leases_memory_stays_held(name):
    assert seconds_until_free(name, leases=False) > BOUND_S


def test_the_fuzz_oracle_uses_the_documented_bound():
    assert checks.MEMORY_FREE_S == BOUND_S + checks.LATE_MESSAGE_S


class SlowEngine:
    """An engine with slow cancellation that can be made unreachable."""

    def __init__(self):
        self.holding = []
        self.reachable = True
        self.cancels = 0

    async def cancel(self, job):
        self.cancels += 1
        await asyncio.sleep(0.1)
        if not self.reachable:
            raise EngineError("connection refused", may_have_run=False, lost=True)
        if job in self.holding:
            self.holding.remove(job)

    async def held(self):
        if not self.reachable:
            raise EngineError("connection refused", may_have_run=False, lost=True)
        return list(self.holding)


async def drive(memory, seconds, leases=frozenset()):
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        memory.tick(loop.time(), leases)
        await asyncio.sleep(EXPIRY_INTERVAL_S)


def memory_of(engine):
    clock = asyncio.get_running_loop().time
    return EngineMemory(engine, clock, TERM_S, Invariants(strict=True))


def test_a_cancellation_is_retried_until_it_is_confirmed():
    async def scenario():
        engine = SlowEngine()
        engine.holding = ["job"]
        engine.reachable = False
        memory = memory_of(engine)
        freed = []
        memory.job_started("job")
        memory.cancel("job")
        memory.when_free("job", lambda: freed.append("job"))
        await drive(memory, 2.0)
        assert (freed, memory.cancelling) == ([], 1)
        engine.reachable = True
        await drive(memory, 1.0)
        return engine.holding, freed, memory.cancelling

    assert run(scenario()) == ([], ["job"], 0)


def test_jobs_of_an_earlier_process_are_cancelled_unless_they_are_claimed():
    async def scenario():
        engine = SlowEngine()
        engine.holding = ["claimed", "unclaimed"]
        memory = memory_of(engine)
        for _ in range(8):
            await drive(memory, 1.0)
            memory.renew_claims(["claimed"])
        claimed = list(engine.holding)
        await drive(memory, BOUND_S)
        return claimed, engine.holding

    assert run(scenario()) == (["claimed"], [])


def test_running_jobs_are_not_cancelled():
    async def scenario():
        engine = SlowEngine()
        engine.holding = ["job"]
        memory = memory_of(engine)
        memory.job_started("job")
        await drive(memory, 2 * BOUND_S, leases={"job"})
        return engine.holding, engine.cancels

    assert run(scenario()) == (["job"], 0)


def test_a_job_that_the_engine_never_accepted_is_not_cancelled():
    async def scenario():
        engine = SlowEngine()
        memory = memory_of(engine)
        memory.job_started("job")
        memory.job_failed("job", EngineError("full", may_have_run=False))
        await drive(memory, 1.0)
        return engine.cancels

    assert run(scenario()) == 0


def test_a_job_without_a_lease_violates_the_invariant():
    async def scenario():
        memory = memory_of(SlowEngine())
        memory.job_started("job")
        with pytest.raises(AssertionError, match="engine_memory_is_leased"):
            memory.tick(0.0, leases=set())

    run(scenario())
