"""Retries of callers after a refusal, over all entries.

In an overload of some seconds callers with different deadlines are refused and retry
through another entry.
"""

import asyncio
import random

from ebonyglade.forward.first_attempts import FIRST_ATTEMPT_TTL_S, FirstAttempts
from ebonyglade_lab.virtual.loop import run
from ebonyglade_lab.virtual.network import Network
from helpers.entries import Entry


def overload(scenario):
    async def steps():
        network = Network(random.Random(1))
        entries = [Entry(network, f"e{n}") for n in range(3)]
        await asyncio.sleep(1.0)
        return await scenario(entries)

    return run(steps())


def test_the_time_to_reserve_by_does_not_depend_on_the_callers_deadline():
    async def scenario(entries):
        one = entries[0]
        patient = one.reserve_by(one.call("a", 14.0))
        hasty = one.reserve_by(one.call("b", 12.0, b"two"))
        return patient, hasty

    patient, hasty = overload(scenario)
    assert patient == hasty > 0


def test_a_refused_caller_is_late_when_it_retries_through_another_entry():
    async def scenario(entries):
        reply = await entries[0].core.run(entries[0].call("a", 14.0))
        assert reply.is_err() and reply.err_value.retry_after
        await asyncio.sleep(1.0)
        back = entries[1].call("a2", 10.0)
        other = entries[1].call("b", 10.0, b"two")
        return [entries[1].reserve_by(item) for item in (back, other)]

    back, other = overload(scenario)
    assert back < 0 < other


def test_a_first_attempt_is_forgotten_after_the_longest_wait_of_callers():
    first_attempts = FirstAttempts()
    first_attempts.record("f", 10.0)
    assert first_attempts.first_attempt_at("f", 12.0) == 10.0
    assert (
        first_attempts.first_attempt_at("f", 10.0 + FIRST_ATTEMPT_TTL_S)
        == 10.0 + FIRST_ATTEMPT_TTL_S
    )
    assert first_attempts.first_attempt_at("other", 12.0) == 12.0
