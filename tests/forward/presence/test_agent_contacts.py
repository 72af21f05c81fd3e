import pytest

from ebonyglade.forward.members import FleetMembers, Member
from ebonyglade.forward.presence.agent_contacts import (
    LEASE_S,
    SETTLE_S,
    AgentContacts,
)
from ebonyglade.wire.fleet import EngineRecord, EngineState, FleetHeartbeat, ZoneReport
from ebonyglade_lab.virtual.loop import run
from ebonyglade_lab.virtual.network import Network
from ebonyglade_lab.virtual.process import Process
from helpers.forwarding import Clock, at, configuration, decode, listed, store_replica
from helpers.members import member_context

STEP_S = 0.2


class Contacts:
    """Contacts with the agents of three endpoints, on a clock set by hand."""

    def __init__(self):
        self.clock = Clock(100.0)
        replica = store_replica(self.clock)
        items = [listed(decode(f"d{n}"), 10 + n) for n in range(3)]
        replica.apply([configuration(1, 2), *items], at(50))
        context = member_context(Process("e1", "1"), Network(None))
        members = FleetMembers(context, (), None)
        self.core = AgentContacts(members, replica)

    def hear(self, *numbers, incarnation="1", reached_s=0.0, seconds=STEP_S):
        """Hear agents for some time, which have heard this process some time before."""
        until = self.clock.now + seconds
        while self.clock.now < until:
            self.clock.now += STEP_S
            for number in numbers:
                member = Member(f"a{number}", incarnation)
                member.reached_at = self.clock.now - reached_s
                state = EngineState(f"d{number}", 0, 0, 0, 0.0)
                self.core.on_heartbeat(member, FleetHeartbeat(0.0, engine=state))

    @property
    def settled(self):
        return self.core.is_settled(self.clock.now)

    @property
    def leased(self):
        return self.clock.now < self.core.lease_until()


@pytest.fixture
def contacts():
    async def scenario():
        return Contacts()

    return run(scenario())


def test_most_agents_count_once_they_were_heard_long_enough(contacts):
    contacts.hear(0, 1, seconds=SETTLE_S - 2 * STEP_S)
    assert contacts.leased
    assert not contacts.settled
    contacts.hear(0, 1, seconds=3 * STEP_S)
    assert contacts.settled


def test_half_of_the_agents_are_not_most(contacts):
    contacts.hear(0, seconds=2 * SETTLE_S)
    assert not contacts.leased
    assert not contacts.settled


# An agent that has started again does not know the entries of before.
def test_an_agent_that_has_started_again_is_not_settled(contacts):
    contacts.hear(0, 1, seconds=2 * SETTLE_S)
    contacts.hear(0, 1, incarnation="2")
    assert not contacts.settled
    assert contacts.leased


# An agent that does not hear this process can't tell others of it.
def test_agents_that_do_not_hear_this_process_do_not_count(contacts):
    contacts.hear(0, 1, reached_s=LEASE_S + 1.0, seconds=2 * SETTLE_S)
    assert not contacts.leased
    assert not contacts.settled


def test_the_lease_ends_after_the_last_contact_with_most_agents(contacts):
    contacts.hear(0, 1, seconds=2 * SETTLE_S)
    contacts.hear(0, seconds=LEASE_S)
    assert not contacts.leased


def test_zone_reports_count_as_contacts(contacts):
    for _ in range(30):
        contacts.clock.now += STEP_S
        engines = [
            EngineRecord(f"a{n}", EngineState(f"d{n}", 0, 0, 0, 0.0)) for n in (0, 1)
        ]
        report = ZoneReport("z2", "a0", "1", 1, 0.0, engines=engines)
        contacts.core.on_zone_report(report, contacts.clock.now)
    assert contacts.settled
