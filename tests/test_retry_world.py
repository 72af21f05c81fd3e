"""Retries and verdicts in a simulated fleet whose endpoints fail."""

import asyncio

import pytest

from ebonyglade.dispatch import models
from ebonyglade.ports import Token
from ebonyglade.retry import retries
from ebonyglade.retry.budget import RetryBudget
from ebonyglade.verdict import Verdict
from ebonyglade_lab.standins.answers import answer_tokens
from ebonyglade_lab.virtual import endpoints
from helpers.bookings import book, code_and_verdict, executions
from helpers.failing import AttemptCounter, prompt, send_steadily, take_down
from helpers.worlds import KEY, in_world

MAX_ATTEMPTS_PER_REQUEST = 1.1  # with half of the endpoints down
REQUESTS = 600


async def _half_down(world):
    take_down(world, ["prefill-0", "prefill-1", "decode-0", "decode-1"])
    attempts = AttemptCounter(world)
    outcomes = await send_steadily(world, REQUESTS, 0.02, lambda n: prompt(world, n))
    return attempts.total / REQUESTS, outcomes


def test_half_of_the_endpoints_down_cause_no_retry_storm():
    attempts, outcomes = in_world(_half_down, pairs=4)
    assert attempts <= MAX_ATTEMPTS_PER_REQUEST
    for number, outcome in enumerate(outcomes):
        if outcome.refusal is None:
            assert outcome.tokens == answer_tokens(f"prompt {number}", 8)


def test_without_ejection_and_budget_there_is_a_retry_storm(monkeypatch):
    monkeypatch.setattr(
        retries.Ejections, "record_failure", lambda self, name, now: None
    )
    monkeypatch.setattr(RetryBudget, "spend", lambda self, now: True)
    attempts, _ = in_world(_half_down, pairs=4)
    assert attempts > MAX_ATTEMPTS_PER_REQUEST


async def _crash_then_unreachable(world):
    """Make the first decode engine crash as it starts, and the others unreachable."""
    decoders = [world.engines["decode-0"], world.engines["decode-1"]]
    failures = []

    def die(job, prompt, pieces, stage):
        if failures:
            failures.append("refused")
            raise endpoints.EngineError("refused", may_have_run=False, lost=True)
        failures.append("lost")
        raise endpoints.EngineError("lost", may_have_run=True, lost=True)

    for engine in decoders:
        engine.start = die
    outcome = await world.call("entry-0", prompt(world, 1))
    assert failures[0] == "lost"
    assert "refused" in failures
    return outcome


@pytest.fixture
def patchable_engines(monkeypatch):
    """Allow tests to replace methods of an engine, whose class has slots."""
    monkeypatch.setattr(
        endpoints,
        "VirtualEngineState",
        type("Soft", (endpoints.VirtualEngineState,), {}),
    )
    monkeypatch.setattr(
        "ebonyglade_lab.virtual.world.VirtualEngineState", endpoints.VirtualEngineState
    )


def test_final_refusal_tells_that_an_earlier_attempt_may_have_run(patchable_engines):
    outcome = in_world(_crash_then_unreachable)
    assert outcome.refusal.verdict is Verdict.MAY_HAVE_RUN


def test_verdict_of_the_last_attempt_alone_would_be_wrong(
    patchable_engines, monkeypatch
):
    monkeypatch.setattr(
        models.ModelDispatcher,
        "_final_refusal",
        lambda self, state, refusal, progress: refusal,
    )
    outcome = in_world(_crash_then_unreachable)
    assert outcome.refusal.verdict is Verdict.NOT_RUN


def test_deadline_that_passed_before_sending_means_not_run():
    async def scenario(world):
        late = prompt(world, 1)
        late.arrived_at = world.now() - 60.0
        model = await world.call("entry-0", late)
        call = world.service_call(KEY, "POST", "/bookings", b"room")
        call.arrived_at = world.now() - 60.0
        booking = await world.call("entry-0", call)
        return (
            code_and_verdict(model),
            code_and_verdict(booking),
            executions(world, b"room"),
        )

    late = ("deadline_exceeded", "not_run")
    assert in_world(scenario) == (late, late, 0)


def test_refusal_without_any_endpoint_is_immediate():
    async def scenario(world):
        for name in [*world.engines]:
            world.platform.remove(f"platform/instances/{name}")
        await asyncio.sleep(1)
        return await world.call("entry-0", prompt(world, 1))

    outcome = in_world(scenario)
    assert code_and_verdict(outcome) == ("no_endpoint", "not_run")
    assert outcome.ended_at == outcome.sent_at


def test_failed_booking_without_a_ticket_is_not_retried_but_a_listing_is():
    async def scenario(world):
        world.services["rooms-0"].answer_lost = True
        world.services["rooms-1"].answer_lost = True
        booking = await book(world, "entry-0", b"room")
        call = world.service_call(KEY, "GET", "/bookings", b"list")
        listing = await world.call("entry-0", call)
        return (
            code_and_verdict(booking),
            executions(world, b"room"),
            code_and_verdict(listing)[1],
            executions(world, b"list"),
        )

    booking, booked, listing, listed = in_world(scenario)
    assert booking == ("endpoint_failed", "may_have_run")
    assert (booked, listing) == (1, "may_have_run")
    assert listed > 1


def test_booking_goes_to_another_endpoint_if_the_first_is_down():
    async def scenario(world):
        take_down(world, ["rooms-0"])
        bodies = [b"room %d" % number for number in range(10)]
        outcomes = [await book(world, "entry-0", body) for body in bodies]
        counts = [executions(world, body) for body in bodies]
        return [item.status for item in outcomes], counts

    assert in_world(scenario) == ([201] * 10, [1] * 10)


async def _crash_decode_engine(world):
    """Crash the decoding engine after the caller has a part of the answer."""
    call = world.model_call(KEY, "a longer prompt", max_tokens=64)
    task = asyncio.ensure_future(world.call("entry-0", call))
    await asyncio.sleep(0.25)
    for name, engine in world.engines.items():
        if engine.jobs and name.startswith("decode"):
            engine.crash("test")
    return await task


def test_stream_resumes_at_another_engine_without_a_gap():
    outcome = in_world(_crash_decode_engine)
    assert outcome.complete
    assert outcome.tokens == answer_tokens("a longer prompt", 64)


def test_stream_that_no_engine_can_resume_fails_explicitly():
    async def scenario(world):
        for name in world.engines:
            world.nodes[name].core.worker._resumes = False
        return await _crash_decode_engine(world)

    outcome = in_world(scenario)
    assert not outcome.complete
    assert outcome.refusal.verdict is Verdict.RAN
    part = answer_tokens("a longer prompt", 64)[: len(outcome.tokens)]
    assert outcome.tokens == part


def test_tokens_of_an_engine_that_restarts_the_answer_are_not_appended(monkeypatch):
    async def decode_from_start(self, job):
        self.state.start(job.job, job.prompt)
        for index in range(job.max_tokens):
            await asyncio.sleep(endpoints.TOKEN_S)
            self.state.check_running(job.job)
            yield Token(index, f"{self.state.name}:{index} ")

    monkeypatch.setattr(endpoints.VirtualEngine, "decode", decode_from_start)
    outcome = in_world(_crash_decode_engine)
    sources = {token.partition(":")[0] for token in outcome.tokens}
    assert len(sources) == 1
    assert not outcome.complete
    assert outcome.refusal.verdict is Verdict.RAN


def test_patient_request_survives_a_failure_of_all_endpoints():
    async def scenario(world):
        world.platform.publish(
            "teams/aula/routes/abstracts",
            kind="model",
            model="abstracts",
            pool="abstracts",
            deadline_s=20.0,
            patient=True,
        )
        await asyncio.sleep(1)
        take_down(world, world.engines)
        task = asyncio.ensure_future(world.call("entry-0", prompt(world, 1)))
        await asyncio.sleep(6)
        for engine in world.engines.values():
            engine.restart()
        return await task

    assert in_world(scenario).complete
