"""Facts that change between the choice of an endpoint and the sending to it."""

import pytest
from result import Ok

from ebonyglade.forward.gate.send_gate import Obstacle
from ebonyglade.verdict import Verdict
from ebonyglade_lab.virtual.loop import run
from helpers.changing_facts import FACTS, FOR_ALL_ENDPOINTS, WAITS, Sender


def test_each_obstacle_changes_in_the_matrix():
    assert set(FACTS) == set(Obstacle)


# A decode endpoint that left during two prefills got the request up to 2.7 s later.
@pytest.mark.parametrize("wait", WAITS)
@pytest.mark.parametrize("fact", FACTS, ids=lambda item: item.value)
def test_a_fact_that_changes_during_a_wait_holds_when_the_request_is_sent(fact, wait):
    async def scenario():
        sender = Sender(fact, wait)
        return await sender.run(), sender

    reply, sender = run(scenario())
    assert sender.changed is not None
    if fact in FOR_ALL_ENDPOINTS:
        assert sender.reached_after == []
        assert reply.err_value.verdict is Verdict.NOT_RUN
        return
    assert sender.changed.id not in sender.reached_after
    if wait != "retry":
        assert isinstance(reply, Ok)
        assert len(sender.reached_after) == 1
