"""Configurations of thousands of routes in a fleet with slow links.

The pattern: some members have links on which one copy of the configuration takes a
second or more. Nothing else is impaired.
"""

import asyncio
import random

import pytest

from ebonyglade.forward.members import LIVENESS_TIMEOUT_S
from ebonyglade.forward.types import Share
from ebonyglade_lab.virtual.loop import run
from ebonyglade_lab.virtual.network import Network
from helpers.entries import WORKSPACE, Entry
from helpers.forwarding import configuration, route

IN_FORCE_S = 3.0  # the platform's bound on the time until a change is in force
JOIN_S = 2.5
ROUTES = 4200  # about 0.9 MB
ZONES = 4
WIDE_MBPS, SLOW_MBPS = 1000.0, 5.0


def large_configuration(version, revision, count=ROUTES):
    rng = random.Random(version)
    routes = [
        route(
            name=f"r-{rng.getrandbits(40):x}",
            prefix=f"/{rng.getrandbits(40):x}/",
            shares=(Share("model", 1.0),),
        )
        for _ in range(count)
    ]
    return configuration(version, revision, routes=routes, workspaces=(WORKSPACE,))


def start_fleet(wide, slow):
    """Start entries with wide and with slow links in each zone."""
    network = Network(random.Random(1))
    links = [WIDE_MBPS] * wide * ZONES + [SLOW_MBPS] * slow * ZONES
    entries = [
        Entry(network, f"e{n}", zone=f"z{n % ZONES}", link_mbps=link)
        for n, link in enumerate(links)
    ]
    return network, entries


def read_store(entries, published):
    """Let entries with wide links read a document from the store."""
    for entry in entries:
        if entry.core.members.capacity == WIDE_MBPS:
            entry.core.replica.apply([published], published.version)
            entry.core.replica.record_read(entry.now)


async def publish(entries, version, revision, seconds):
    """Write a configuration; return the versions in force at each member later."""
    published = large_configuration(version, revision)
    for _ in range(round(seconds / 0.2)):
        read_store(entries, published)
        await asyncio.sleep(0.2)
    return [entry.core.replica.configuration_version for entry in entries]


@pytest.mark.known_red
def test_two_large_configurations_in_a_row_are_in_force_everywhere_in_time():
    """Guards against copies of one configuration that crowd each other out."""

    async def scenario():
        _, entries = start_fleet(wide=2, slow=5)
        await asyncio.sleep(JOIN_S)
        await publish(entries, 2, 60, 2.0)
        return await publish(entries, 3, 70, IN_FORCE_S)

    assert set(run(scenario())) == {3}


@pytest.mark.known_red
def test_members_with_slow_links_are_heard_while_they_get_a_configuration():
    """Guards against heartbeats that queue up behind copies of a configuration."""

    async def scenario():
        _, entries = start_fleet(wide=2, slow=5)
        await asyncio.sleep(JOIN_S)
        published = large_configuration(2, 60)
        silent = []
        for _ in range(20):
            read_store(entries, published)
            await asyncio.sleep(0.2)
            silent += [
                now - member.last_heard
                for entry in entries
                for now in [entry.now]
                for member in entry.core.members.all()
                if member.zone == entry.core.members.zone
            ]
        return max(silent)

    assert run(scenario()) < LIVENESS_TIMEOUT_S


def count_bytes_to(network, instance):
    """Return a list that gets the size of each frame to an instance from now on."""
    sizes = []
    send = network.send

    def record(source, target, frame):
        if target == instance:
            sizes.append(len(frame))
        send(source, target, frame)

    network.send = record
    return sizes


@pytest.mark.known_red
def test_a_slow_link_carries_a_configuration_once():
    """Guards against requests of a replica that is on its way already."""

    async def scenario():
        network, entries = start_fleet(wide=2, slow=5)
        await asyncio.sleep(JOIN_S)
        sizes = count_bytes_to(network, entries[-1].process.instance)
        await publish(entries, 2, 60, 4.0)
        return sum(sizes), len(large_configuration(2, 60).value)

    received, size = run(scenario())
    assert received < 1.5 * size


def test_a_lone_member_with_a_slow_link_gets_the_configuration_from_another_one():
    """Guards against a transfer that is repeated before it can end."""

    async def scenario():
        _, entries = start_fleet(wide=1, slow=1)
        await asyncio.sleep(JOIN_S)
        return await publish(entries, 2, 60, IN_FORCE_S)

    assert set(run(scenario())) == {2}
