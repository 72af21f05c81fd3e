"""Restarts, cuts and pauses of entries and agents, one over the other."""

import asyncio
import random

import pytest

from ebonyglade_lab.virtual.loop import run
from helpers.presence_fleet import ALLOWED, PresenceFleet

ENTRIES = 5
CALM_S = 12.0
FAULTS_S = 60.0
HEALED_S = 25.0  # after the last fault
STEP_S = 2.0  # mean time between two faults
PER_S = 3.0  # asked of each entry: half more than the rate of all


class Faults:
    """Draws faults of a fleet, and ends them all in the end."""

    def __init__(self, fleet, rng):
        self.fleet, self.rng, self.paused = fleet, rng, []

    async def play(self, seconds):
        until = self.fleet.now + seconds
        kinds = [self.restart, self.restart, self.restart_agents, self.cut]
        kinds += [self.cut_one_way, self.heal, self.pause]
        while self.fleet.now < until:
            await asyncio.sleep(self.rng.expovariate(1 / STEP_S))
            self.resume()
            await self.rng.choice(kinds)()
        self.resume()
        await self.heal()

    def some(self, names, least=1):
        return self.rng.sample(names, self.rng.randint(least, len(names) - 1))

    async def restart(self):
        await self._restart(self.some(self.fleet.names))

    async def restart_agents(self):
        await self._restart(self.rng.sample(self.fleet.agent_names, 2))

    async def _restart(self, names):
        self.fleet.kill(*names)
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        self.fleet.start(*names)

    async def cut(self):
        names = self.some(self.fleet.names) + self.some(self.fleet.agent_names, 0)
        everyone = self.fleet.names + self.fleet.agent_names
        self.fleet.cut(names, [item for item in everyone if item not in names])

    async def cut_one_way(self):
        names = self.some(self.fleet.names)
        rest = [item for item in self.fleet.names if item not in names]
        self.fleet.cut(names, rest, both_ways=False)

    async def heal(self):
        self.fleet.network.faults.partitioned = set()
        self.fleet.network.faults.cut_one_way = set()

    async def pause(self):
        self.paused = [self.fleet.nodes[name] for name in self.some(self.fleet.names)]
        for node in self.paused:
            node.process.pause()

    def resume(self):
        for node in self.paused:
            node.process.resume()
        self.paused = []


# QUOTA: entries that restart, stand still and lose each other use a rate once, and all
# of it again after that. 50 seeds are played by hand.
@pytest.mark.parametrize("seed", range(1, 4))
def test_entries_use_a_rate_once_whatever_faults_overlap(seed):
    async def scenario():
        fleet = PresenceFleet(ENTRIES, seed=seed)
        fleet.start(*fleet.agent_names, *fleet.names)
        await asyncio.sleep(CALM_S)
        faults = Faults(fleet, random.Random(seed))
        playing = asyncio.ensure_future(faults.play(FAULTS_S))
        await fleet.press(FAULTS_S + HEALED_S, PER_S)
        await playing
        return fleet, fleet.served_share(fleet.now - 12.0, fleet.now)

    fleet, share = run(scenario())
    assert fleet.most_in_window() <= ALLOWED
    assert share >= 0.5
