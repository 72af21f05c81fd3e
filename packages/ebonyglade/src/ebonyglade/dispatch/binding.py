"""Late binding of a request to one of a few agents.

Load reports lag, so the agent that looked best may have a queue. A request that
has to wait there also takes places at other agents, and goes to the first that
promises a slot, as in Sparrow (Ousterhout et al., 2013). A place that was not
used is given up at once and costs its workspace nothing.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from ebonyglade.dispatch.exchange import Attempt, Exchange
from ebonyglade.dispatch.reservation import answer_to, promise_of, starts
from ebonyglade.placement.choice import Pair
from ebonyglade.ports import Clock
from ebonyglade.verdict import Refusal, refuse
from ebonyglade.wire.work import Reserve, Reserved

PLACES = 3  # agents at which one request waits at the same time

Waited = Result[Reserved, Refusal]


@dataclass(frozen=True, slots=True)
class Candidate:
    """A pair of agents, and the reservation at its decode agent."""

    pair: Pair
    attempt: Attempt
    request: Reserve


@dataclass(frozen=True, slots=True)
class Binder:
    """Finds the first of a few agents that promises a slot.

    Attributes:
        exchange: sends reservations.
        clock: monotonic seconds.
        propose: returns the next candidate; None if there is no other agent.
        give_up: frees a candidate's place; told why if it failed.
        waits: told of a candidate without a free slot, and its predicted wait.
        places: agents at which the request waits at the same time.
    """

    exchange: Exchange
    clock: Clock
    propose: Callable[[set[str]], Candidate | None]
    give_up: Callable[[Candidate, Refusal | None], None]
    waits: Callable[[Candidate, float], None]
    places: int = PLACES

    async def bind(self) -> Result[Candidate, Refusal]:
        """Return the candidate whose slot is promised; the others are freed."""
        first = self.propose(set())
        if first is None:
            return Err(refuse("no_endpoint"))
        try:
            answer = await answer_to(self.exchange, first.attempt, first.request)
        except BaseException:
            self.give_up(first, None)
            raise
        if isinstance(answer, Err):
            self.give_up(first, answer.err_value)
            return answer
        if starts(answer.ok_value, first.request.lead):
            return Ok(first)
        self.waits(first, answer.ok_value.ready_in)
        return await self._wait_at_several(first)

    async def _wait_at_several(self, first: Candidate) -> Result[Candidate, Refusal]:
        waits = {self._wait(first, asked=True): first}
        self._ask_more(waits)
        refusal = refuse("overloaded")
        try:
            while waits:
                done, _ = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    candidate = waits.pop(task)
                    answer = task.result()
                    if isinstance(answer, Ok):
                        return Ok(candidate)
                    refusal = answer.err_value
                    self.give_up(candidate, refusal)
            return Err(refusal)
        finally:
            self._leave(waits)

    def _ask_more(self, waits: dict[asyncio.Task, Candidate]) -> None:
        asked = {candidate.pair.decode for candidate in waits.values()}
        while len(asked) < self.places:
            candidate = self.propose(asked)
            if candidate is None or candidate.pair.decode in asked:
                return
            asked.add(candidate.pair.decode)
            waits[self._wait(candidate, asked=False)] = candidate

    def _wait(self, candidate: Candidate, asked: bool) -> asyncio.Task:
        return asyncio.ensure_future(self._promise(candidate, asked))

    async def _promise(self, candidate: Candidate, asked: bool) -> Waited:
        attempt, request = candidate.attempt, candidate.request
        if not asked:
            answer = await answer_to(self.exchange, attempt, request)
            if isinstance(answer, Err) or starts(answer.ok_value, request.lead):
                return answer
            self.waits(candidate, answer.ok_value.ready_in)
        return await promise_of(attempt, request, self.clock)

    def _leave(self, waits: dict[asyncio.Task, Candidate]) -> None:
        """Give up the places that were not used."""
        for task, candidate in waits.items():
            task.cancel()
            self.give_up(candidate, None)
        waits.clear()
