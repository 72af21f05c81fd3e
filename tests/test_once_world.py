"""At most one execution per ticket in a simulated fleet with faults."""

import asyncio

import pytest

from ebonyglade.once import grants, ticket_store
from ebonyglade.once.grants import GrantUse
from ebonyglade.pause import PauseGuard
from ebonyglade.wire.work import ServiceRequest
from ebonyglade_lab.virtual import endpoints
from helpers.bookings import (
    FrameRecorder,
    book,
    code_and_verdict,
    executions,
    issuing_agent,
    ticket,
    wait_until,
)
from helpers.worlds import KEY, in_world

BODY = b"room 1, nine o'clock"


def make_slow(world, seconds):
    for service in world.services.values():
        service.seconds = seconds


def test_repeat_through_another_entry_gets_the_first_answer():
    async def scenario(world):
        ticket_text = await ticket(world)
        first = await book(world, "entry-0", BODY, ticket_text)
        again = await book(world, "entry-1", BODY, ticket_text)
        return first, again, executions(world, BODY)

    first, again, count = in_world(scenario)
    assert (first.status, first.body) == (again.status, again.body) == (201, BODY)
    assert count == 1


def test_concurrent_repeats_wait_for_the_first_answer():
    async def scenario(world):
        make_slow(world, 3.0)
        ticket_text = await ticket(world)
        tries = [book(world, f"entry-{n % 2}", BODY, ticket_text) for n in range(6)]
        return await asyncio.gather(*tries), executions(world, BODY)

    outcomes, count = in_world(scenario)
    assert [item.status for item in outcomes] == [201] * 6
    assert count == 1


def test_restarted_owner_refuses_the_repeat():
    async def scenario(world):
        ticket_text = await ticket(world)
        await book(world, "entry-0", BODY, ticket_text)
        world.kill(issuing_agent(world, ticket_text))
        world.start(issuing_agent(world, ticket_text))
        await asyncio.sleep(1)
        again = await book(world, "entry-1", BODY, ticket_text)
        return code_and_verdict(again), executions(world, BODY)

    assert in_world(scenario) == (("ticket_lost", "may_have_run"), 1)


def test_repeat_fails_without_another_execution_if_the_owner_is_dead():
    async def scenario(world):
        ticket_text = await ticket(world)
        await book(world, "entry-0", BODY, ticket_text)
        world.kill(issuing_agent(world, ticket_text))
        again = await book(world, "entry-1", BODY, ticket_text)
        return code_and_verdict(again), executions(world, BODY)

    assert in_world(scenario) == (("agent_lost", "may_have_run"), 1)


def test_entries_with_different_instance_lists_use_the_same_owner():
    async def scenario(world):
        ticket_text = await ticket(world)
        world.platform.pin_copy("entry-0")
        world.platform.remove(f"platform/instances/{issuing_agent(world, ticket_text)}")
        await asyncio.sleep(1)
        outcomes = [await book(world, f"entry-{n}", BODY, ticket_text) for n in (1, 0)]
        return [item.status for item in outcomes], executions(world, BODY)

    assert in_world(scenario) == ([201, 201], 1)


def test_partition_during_a_call_leaves_one_execution():
    async def scenario(world):
        make_slow(world, 0.5)
        ticket_text = await ticket(world)
        first = asyncio.ensure_future(book(world, "entry-0", BODY, ticket_text))
        await wait_until(lambda: executions(world, BODY))
        world.network.faults.partitioned.add(
            frozenset(("entry-0", issuing_agent(world, ticket_text)))
        )
        again = await book(world, "entry-1", BODY, ticket_text)
        return code_and_verdict(await first), again.body, executions(world, BODY)

    first, again, count = in_world(scenario)
    assert first[1] == "may_have_run"
    assert (again, count) == (BODY, 1)


def test_caller_that_disconnected_gets_the_answer_later():
    async def scenario(world):
        make_slow(world, 0.5)
        ticket_text = await ticket(world)
        first = asyncio.ensure_future(book(world, "entry-0", BODY, ticket_text))
        await wait_until(lambda: executions(world, BODY))
        for task in list(world.nodes["entry-0"].process._tasks):
            if "_collect" in str(task.get_coro()):
                task.cancel()
        await first
        again = await book(world, "entry-1", BODY, ticket_text)
        unfinished = world.nodes[
            issuing_agent(world, ticket_text)
        ].core.worker.unfinished
        return again.body, executions(world, BODY), unfinished

    assert in_world(scenario) == (BODY, 1, 0)


def test_answer_lost_in_the_network_is_requested_again():
    async def scenario(world):
        make_slow(world, 0.5)
        ticket_text = await ticket(world)
        first = asyncio.ensure_future(book(world, "entry-0", BODY, ticket_text))
        await wait_until(lambda: executions(world, BODY))
        cut = frozenset(("entry-0", issuing_agent(world, ticket_text)))
        world.network.faults.partitioned.add(cut)
        await asyncio.sleep(0.7)
        world.network.faults.partitioned.discard(cut)
        outcome = await first
        return outcome.body, executions(world, BODY)

    assert in_world(scenario) == (BODY, 1)


def lose_answers(world):
    for service in world.services.values():
        service.answer_lost = True


def test_call_with_unknown_outcome_is_never_run_again():
    async def scenario(world):
        ticket_text = await ticket(world)
        lose_answers(world)
        first = await book(world, "entry-0", BODY, ticket_text)
        again = await book(world, "entry-1", BODY, ticket_text)
        return (
            code_and_verdict(first)[1],
            code_and_verdict(again),
            executions(world, BODY),
        )

    expected = ("may_have_run", ("outcome_unknown", "may_have_run"), 1)
    assert in_world(scenario) == expected


def test_ticket_is_closed_as_not_run_if_the_endpoint_is_down():
    async def scenario(world):
        ticket_text = await ticket(world)
        world.services[issuing_agent(world, ticket_text)].down = True
        first = await book(world, "entry-0", BODY, ticket_text)
        world.services[issuing_agent(world, ticket_text)].down = False
        again = await book(world, "entry-1", BODY, ticket_text)
        return (
            code_and_verdict(first)[1],
            code_and_verdict(again),
            executions(world, BODY),
        )

    assert in_world(scenario) == ("not_run", ("ticket_void", "not_run"), 0)


def _pause_after_serve(node):
    handle = node.context.handlers[ServiceRequest]

    def handle_and_pause(sender, message):
        handle(sender, message)
        node.process.pause()

    node.context.handlers[ServiceRequest] = handle_and_pause


async def _pause_before_sending(world):
    """Pause an agent between accepting a call and sending it, until its lease ends."""
    for name in world.services:
        _pause_after_serve(world.nodes[name])
    outcome = await book(world, "entry-0", BODY)
    for name in world.services:
        world.resume(name)
    await asyncio.sleep(5)
    return code_and_verdict(outcome)[1], executions(world, BODY)


def test_paused_agent_does_not_send_a_call_that_it_accepted_before():
    assert in_world(_pause_before_sending) == ("may_have_run", 0)


def test_without_lease_and_pause_checks_a_paused_agent_sends(monkeypatch):
    call = endpoints.VirtualService.call

    async def unchecked(self, method, path, headers, body, may_send):
        return await call(self, method, path, headers, body, lambda: True)

    monkeypatch.setattr(endpoints.VirtualService, "call", unchecked)
    monkeypatch.setattr(PauseGuard, "check", lambda self: False)
    assert in_world(_pause_before_sending) == ("may_have_run", 1)


async def _replay_messages(world):
    """Resend, in order, all messages of entry-0 since the start of a booking."""
    recorder = FrameRecorder(world)
    outcome = await book(world, "entry-0", BODY)
    await asyncio.sleep(20)
    recorder.resend("entry-0")
    await asyncio.sleep(5)
    return outcome.status, executions(world, BODY)


def test_late_duplicates_of_reserve_and_serve_run_nothing():
    assert in_world(_replay_messages) == (201, 1)


def test_without_grants_late_duplicates_run_again(monkeypatch):
    def ignore_grant(self, attempt, grant, in_force):
        return GrantUse.START if in_force else GrantUse.TOO_LATE

    monkeypatch.setattr(grants.StartGrants, "use", ignore_grant)
    assert in_world(_replay_messages) == (201, 2)


def test_without_incarnations_a_restarted_owner_runs_a_call_again(monkeypatch):
    def ignore_incarnation(self, text, workspace, digest, now):
        record = self._records.get(text)
        return (
            ticket_store.Ok(None)
            if record is None
            else ticket_store._recorded_outcome(record, digest)
        )

    monkeypatch.setattr(ticket_store.TicketStore, "lookup", ignore_incarnation)

    async def scenario(world):
        ticket_text = await ticket(world)
        await book(world, "entry-0", BODY, ticket_text)
        world.kill(issuing_agent(world, ticket_text))
        world.start(issuing_agent(world, ticket_text))
        await asyncio.sleep(1)
        await book(world, "entry-1", BODY, ticket_text)
        return executions(world, BODY)

    assert in_world(scenario) == 2


def test_key_that_is_no_ticket_is_refused_with_a_hint():
    async def scenario(world):
        outcome = await book(world, "entry-0", BODY, "my-own-key")
        return (
            code_and_verdict(outcome),
            outcome.refusal.message,
            executions(world, BODY),
        )

    refused, message, count = in_world(scenario)
    assert refused == ("ticket_required", "not_run")
    assert "/tickets/" in message
    assert count == 0


def test_ticket_with_another_body_or_workspace_is_refused():
    async def scenario(world):
        ticket_text = await ticket(world)
        await book(world, "entry-0", BODY, ticket_text)
        other = await book(world, "entry-1", b"room 2", ticket_text)
        foreign = await book(world, "entry-1", BODY, ticket_text, "aula/history")
        return (
            code_and_verdict(other),
            code_and_verdict(foreign),
            executions(world, b"room 2"),
        )

    expected = (("key_reused", "not_run"), ("ticket_invalid", "not_run"), 0)
    assert in_world(scenario) == expected


def test_repeat_with_a_withdrawn_key_is_not_reported_as_not_run():
    async def scenario(world):
        ticket_text = await ticket(world)
        await book(world, "entry-0", BODY, ticket_text)
        view = world.nodes["entry-0"].core.config.view
        digest = next(key for key, own in view.keys.items() if own.workspace == KEY)
        path = "teams/aula/keys/physics"
        world.platform.publish(path, digest=digest, workspace="physics", withdrawn=True)
        await asyncio.sleep(1)
        return code_and_verdict(await book(world, "entry-0", BODY, ticket_text))

    assert in_world(scenario) == ("key_withdrawn", "may_have_run")


@pytest.mark.parametrize("seed", range(6))
def test_lossy_network_and_restarts_execute_a_ticket_once(seed):
    async def scenario(world):
        faults = world.network.faults
        tickets = [await ticket(world) for _ in range(20)]
        faults.lose, faults.repeat, faults.late = 0.1, 0.2, 0.2

        async def persist(number):
            body = b"booking %d" % number
            for attempt in range(4):
                entry = f"entry-{(number + attempt) % 2}"
                outcome = await book(world, entry, body, tickets[number])
                if outcome.complete:
                    break
            return executions(world, body), outcome

        work = asyncio.gather(*(persist(number) for number in range(20)))
        await asyncio.sleep(0.02)
        world.kill("rooms-0")
        await asyncio.sleep(0.5)
        world.start("rooms-0")
        world.pause("rooms-1")
        await asyncio.sleep(4)
        world.resume("rooms-1")
        return await work

    for count, outcome in in_world(scenario, seed=seed):
        assert count <= 1
        if outcome.complete:
            assert count == 1
        elif outcome.refusal.verdict.value == "not_run":
            assert count == 0
