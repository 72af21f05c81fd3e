"""An entry is started again while the others are gone, cut off, or standing still."""

import asyncio

import pytest

from ebonyglade_lab.virtual.loop import run
from helpers.presence_fleet import ALLOWED, PresenceFleet

CALM_S = 12.0
DOWN_S = 1.3
RECOVERY_S = 12.0
AFTER_S = 60.0  # longer than silent members are remembered
STILL_S = 20.0
PER_S = 10.0  # asked of each entry; the published rate of all together
WHOLE_SHARE = 0.8


def never_were(fleet):
    """Leave the others out; only the settings name them."""


def gone(fleet):
    fleet.kill(*fleet.others)


def back(fleet):
    fleet.kill(*fleet.others)
    asyncio.get_running_loop().call_later(DOWN_S, fleet.start, *fleet.others)


def cut_both_ways(fleet):
    fleet.cut(["e1"], fleet.others)


def not_heard(fleet):
    fleet.cut(fleet.others, ["e1"], both_ways=False)


def not_reached(fleet):
    fleet.cut(["e1"], fleet.others, both_ways=False)


def cut_off_with_agents(fleet):
    fleet.cut(["e1", *fleet.agent_names], fleet.others)


def cut_off_without_agents(fleet):
    fleet.cut(["e1"], [*fleet.others, *fleet.agent_names])


def started_apart(fleet):
    for name in fleet.names:
        fleet.cut([name], [item for item in fleet.names if item != name])
    back(fleet)


def standing_still(fleet):
    fleet.pause(*fleet.others)
    asyncio.get_running_loop().call_later(STILL_S, fleet.resume, *fleet.others)


# State of the others, and the least share of the published rate that all entries
# together admit from `RECOVERY_S` after the start on.
STATES = {
    never_were: WHOLE_SHARE,
    gone: WHOLE_SHARE,
    back: WHOLE_SHARE,
    cut_both_ways: WHOLE_SHARE,
    not_heard: WHOLE_SHARE,
    not_reached: WHOLE_SHARE,
    cut_off_with_agents: WHOLE_SHARE,
    cut_off_without_agents: 0.5,  # the others' part of two entries
    started_apart: WHOLE_SHARE,
    standing_still: WHOLE_SHARE,
}


async def start_again(fleet, disturb, agents_too=True):
    """Let a fleet run, then start its first entry again while others are disturbed.

    Returns:
        When the entry was started.
    """
    never = disturb is never_were
    fleet.start(*fleet.agent_names, *(["e1"] if never else fleet.names))
    await asyncio.sleep(CALM_S)
    await fleet.press(2.0, PER_S)
    restarted = ["e1", *fleet.agent_names] if agents_too else ["e1"]
    disturb(fleet)
    fleet.kill(*restarted)
    await fleet.press(DOWN_S, PER_S)
    fleet.start(*restarted)
    started_at = fleet.now
    await fleet.press(AFTER_S, PER_S)
    return started_at


# RECOVER and QUOTA: an entry whose seeds were gone added no tokens for 30 s, and one
# that was cut off added them as if it were the only one after that.
@pytest.mark.parametrize("agents_too", [True, False])
@pytest.mark.parametrize("count", [2, 3, 8])
@pytest.mark.parametrize("state", STATES, ids=lambda item: item.__name__)
def test_an_entry_that_starts_serves_its_share_and_no_more(state, count, agents_too):
    async def scenario():
        fleet = PresenceFleet(count)
        return fleet, await start_again(fleet, state, agents_too)

    fleet, started_at = run(scenario())
    after = started_at + RECOVERY_S
    assert fleet.most_in_window() <= ALLOWED
    assert fleet.served_share(after, after + 12.0) >= STATES[state]


async def start_alone(fleet):
    """Start the first entry again after all other processes have ended."""
    await start_again(fleet, gone)
    since = fleet.now
    await fleet.press(12.0, PER_S)
    return fleet.served_share(since, fleet.now)


# Nothing but the settings tells whether the others are gone where most agents are.
@pytest.mark.parametrize(("agents", "endpoints"), [(0, 0), (1, 3)])
def test_without_most_agents_only_the_settings_tell_that_others_are_gone(
    agents, endpoints
):
    async def scenario():
        fleet = PresenceFleet(3, agents=agents, endpoints=endpoints)
        unknown = await start_alone(fleet)
        fleet.nodes["e1"].core.members.set_seeds(("e1",))
        since = fleet.now + 2.0
        await fleet.press(14.0, PER_S)
        return fleet, unknown, fleet.served_share(since, fleet.now)

    fleet, unknown, known = run(scenario())
    assert unknown == 0
    assert known >= WHOLE_SHARE
    assert fleet.most_in_window() <= ALLOWED


# An entry that lost most agents may be the one that is cut off.
def test_an_entry_that_loses_most_agents_leaves_the_rate_to_others():
    async def scenario():
        fleet = PresenceFleet(3)
        before = await start_alone(fleet)
        fleet.cut(["e1"], fleet.agent_names[:2])
        since = fleet.now + 4.0
        await fleet.press(16.0, PER_S)
        return before, fleet.served_share(since, fleet.now)

    before, after = run(scenario())
    assert before >= WHOLE_SHARE
    assert after <= 0.1


# An announced shutdown leaves its part to the others at once.
def test_an_entry_that_announced_its_shutdown_is_not_reckoned_with():
    async def scenario():
        fleet = PresenceFleet(2, agents=0, endpoints=0)
        fleet.start(*fleet.names)
        await asyncio.sleep(CALM_S)
        fleet.nodes["e2"].core.members.announce_shutdown()
        await asyncio.sleep(0.1)
        fleet.kill("e2")
        since = fleet.now + 4.0
        await fleet.press(16.0, PER_S)
        return fleet.served_share(since, fleet.now)

    assert run(scenario()) >= WHOLE_SHARE
