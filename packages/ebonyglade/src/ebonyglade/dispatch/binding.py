"""Late binding of a request to one of a few agents.

Load reports lag, so the agent that looked best may have a queue. A request that
has to wait there also queues at other agents and goes to the first that promises
a slot, as in Sparrow (Ousterhout et al., 2013). Queue places that were not used
are released at once and are not charged to the workspace.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from ebonyglade.dispatch.exchange import Attempt, Exchange
from ebonyglade.dispatch.reservation import may_start, request_slot, wait_for_promise
from ebonyglade.placement.choice import Pair
from ebonyglade.ports import Clock
from ebonyglade.verdict import Refusal, refuse
from ebonyglade.wire.work import Reserve, Reserved

MAX_QUEUED_AGENTS = 3  # agents at which one request queues at the same time

SlotAnswer = Result[Reserved, Refusal]


@dataclass(frozen=True, slots=True)
class Candidate:
    """A pair of agents and the reservation sent to its decode agent."""

    pair: Pair
    attempt: Attempt
    request: Reserve


@dataclass(frozen=True, slots=True)
class Binder:
    """Binds a request to the first of a few agents that promises a slot.

    Attributes:
        exchange: sends reservations.
        clock: monotonic seconds.
        propose: returns a candidate whose decode agent is not in the given set of
            agents already asked; None if there is none.
        release: called for each candidate that is not used, with the refusal if
            it failed; frees its reservation.
        on_queued: called with a candidate that has no free slot and its predicted
            wait in seconds.
        places: agents at which the request queues at the same time.
    """

    exchange: Exchange
    clock: Clock
    propose: Callable[[set[str]], Candidate | None]
    release: Callable[[Candidate, Refusal | None], None]
    on_queued: Callable[[Candidate, float], None]
    places: int = MAX_QUEUED_AGENTS

    async def bind(self) -> Result[Candidate, Refusal]:
        """Return the candidate that promised a slot, and release the others."""
        first = self.propose(set())
        if first is None:
            return Err(refuse("no_endpoint"))
        try:
            answer = await request_slot(self.exchange, first.attempt, first.request)
        except BaseException:
            self.release(first, None)
            raise
        if isinstance(answer, Err):
            self.release(first, answer.err_value)
            return answer
        if may_start(answer.ok_value, first.request.lead):
            return Ok(first)
        self.on_queued(first, answer.ok_value.ready_in)
        return await self._wait_at_several(first)

    async def _wait_at_several(self, first: Candidate) -> Result[Candidate, Refusal]:
        tasks = {self._start_waiting(first, asked=True): first}
        self._queue_at_more(tasks)
        refusal = refuse("overloaded")
        try:
            while tasks:
                done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    candidate = tasks.pop(task)
                    answer = task.result()
                    if isinstance(answer, Ok):
                        return Ok(candidate)
                    refusal = answer.err_value
                    self.release(candidate, refusal)
            return Err(refusal)
        finally:
            self._release_rest(tasks)

    def _queue_at_more(self, tasks: dict[asyncio.Task, Candidate]) -> None:
        asked = {candidate.pair.decode for candidate in tasks.values()}
        while len(asked) < self.places:
            candidate = self.propose(asked)
            if candidate is None or candidate.pair.decode in asked:
                return
            asked.add(candidate.pair.decode)
            tasks[self._start_waiting(candidate, asked=False)] = candidate

    def _start_waiting(self, candidate: Candidate, asked: bool) -> asyncio.Task:
        return asyncio.ensure_future(self._wait_at_agent(candidate, asked))

    async def _wait_at_agent(self, candidate: Candidate, asked: bool) -> SlotAnswer:
        """Wait for a slot; `asked` tells whether its reservation was already sent."""
        attempt, request = candidate.attempt, candidate.request
        if not asked:
            answer = await request_slot(self.exchange, attempt, request)
            if isinstance(answer, Err) or may_start(answer.ok_value, request.lead):
                return answer
            self.on_queued(candidate, answer.ok_value.ready_in)
        return await wait_for_promise(attempt, request, self.clock)

    def _release_rest(self, tasks: dict[asyncio.Task, Candidate]) -> None:
        """Release the queue places that were not used."""
        for task, candidate in tasks.items():
            task.cancel()
            self.release(candidate, None)
        tasks.clear()
