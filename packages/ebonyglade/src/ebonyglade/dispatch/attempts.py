"""Runs one attempt of a model request at a prefill and a decode agent."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field, replace

from result import Err, Ok, Result

from ebonyglade.calls import Call, StreamFailed
from ebonyglade.dispatch.binding import MAX_QUEUED_AGENTS, Binder, Candidate
from ebonyglade.dispatch.exchange import Attempt, Exchange
from ebonyglade.dispatch.waiting import wait_for_answer
from ebonyglade.placement.choice import (
    Pair,
    PlacementRequest,
    choose_pair,
    choose_prefill,
)
from ebonyglade.placement.prefixes import prompt_blocks
from ebonyglade.placement.state import PlacementState
from ebonyglade.ports import Clock
from ebonyglade.verdict import Refusal, refuse
from ebonyglade.wire.base import Message
from ebonyglade.wire.work import (
    Chunk,
    Decode,
    DecodeDone,
    FlowCredit,
    Prefill,
    Prefilled,
    Reserve,
    Reserved,
)

PIECE_TOKENS = 2048  # tokens in one piece (block) of the KV cache
CREDIT_TOKENS = 256  # flow control: tokens that an agent may send ahead of the caller
CHUNK_TIMEOUT_S = 5.0
REPLAN_AFTER_S = 0.05  # after a longer wait the prefill agent is chosen again
MIN_LEAD_S = 0.001  # zero asks for a slot that is held before anything starts
MIN_SLOT_WAIT_S = 0.1  # applies even if the first token will miss its target
CAPACITY_CODES = frozenset({"overloaded", "deadline_infeasible"})
MIN_PAUSE_S = 0.05  # before a patient request asks for a slot again


@dataclass(slots=True)
class AnswerProgress:
    """State of one model request across its attempts.

    Attributes:
        tokens: tokens that were delivered to the caller.
        prompt_tokens: length of the prompt in tokens, as an engine counted it.
        excluded: agents not to choose: they failed this request, are ejected, or
            are ruled out by quarantine.
        attempts: number of attempts so far.
        pair: prefill and decode agent of the current attempt.
    """

    tokens: list[str] = field(default_factory=list)
    prompt_tokens: int = 0
    excluded: set[str] = field(default_factory=set)
    attempts: int = 0
    pair: tuple[str, ...] = ()


@dataclass(slots=True)
class PairAttempts:
    """Runs attempts: reserves a decode slot, prefills, then decodes."""

    exchange: Exchange
    placement: PlacementState
    clock: Clock
    rng: random.Random
    new_id: Callable[[], str]
    places: int = MAX_QUEUED_AGENTS

    async def run(
        self, call: Call, progress: AnswerProgress
    ) -> AsyncIterator[list[str]]:
        """Yield the rest of an answer from one pair of agents.

        Raises:
            StreamFailed: the attempt ended before the answer was complete.
        """
        ask = self._placement_request(call, progress)
        pair, decode = await self._reserve_pair(call, progress, ask)
        progress.pair = (pair.prefill, pair.decode)
        try:
            source = await self._prefill(call, progress, ask, pair.prefill)
            async for tokens in self._decode(call, progress, decode, source):
                yield tokens
        finally:
            self._close(decode)

    def _placement_request(
        self, call: Call, progress: AnswerProgress
    ) -> PlacementRequest:
        return PlacementRequest(
            call.route.route.pool,
            call.prompt.tokens,
            prompt_blocks(call.prompt.text),
            progress.excluded,
        )

    def _open(self, instance: str, tokens: int) -> Attempt:
        self.placement.loads.begun(instance, tokens)
        return self.exchange.open(self.new_id(), instance)

    def _close(self, attempt: Attempt) -> None:
        self.placement.loads.ended(attempt.instance)
        self.exchange.close(attempt)

    async def _reserve_pair(
        self, call: Call, progress: AnswerProgress, ask: PlacementRequest
    ) -> tuple[Pair, Attempt]:
        """Return a pair whose decode agent promised a slot.

        The slot is predicted to be free when prefill and KV cache transfer end.

        A patient request asks again after a refusal for lack of capacity, until
        its deadline has passed.
        """
        asked_at = self.clock()
        while True:
            bound = await self._binder(call, progress, ask).bind()
            if isinstance(bound, Ok):
                return self._replan(call, ask, bound.ok_value, asked_at)
            if not _should_ask_again(call, bound.err_value):
                raise StreamFailed(bound.err_value)
            pause = max(MIN_PAUSE_S, bound.err_value.retry_after or 0.0)
            pause *= 0.5 + self.rng.random()
            await asyncio.sleep(min(pause, self._time_left(call) / 4))

    def _binder(
        self, call: Call, progress: AnswerProgress, ask: PlacementRequest
    ) -> Binder:
        def propose(asked: set[str]) -> Candidate | None:
            other = replace(ask, excluded=ask.excluded | asked)
            snapshot = self.placement.snapshot()
            pair = choose_pair(snapshot, other, self.rng, self.clock())
            if pair is None:
                return None
            attempt = self._open(pair.decode, call.prompt.tokens)
            return Candidate(pair, attempt, self._reservation(call, pair, attempt))

        def release(candidate: Candidate, refusal: Refusal | None) -> None:
            self._close(candidate.attempt)
            if refusal is not None and refusal.code not in CAPACITY_CODES:
                progress.excluded.add(candidate.pair.decode)

        def on_queued(candidate: Candidate, ready_in: float) -> None:
            loads = self.placement.loads
            loads.found_full(candidate.pair.decode, ready_in, self.clock())

        return Binder(
            self.exchange, self.clock, propose, release, on_queued, self.places
        )

    def _replan(
        self, call: Call, ask: PlacementRequest, bound: Candidate, asked_at: float
    ) -> tuple[Pair, Attempt]:
        """Choose the prefill agent again after a long wait, as loads have changed."""
        pair, now = bound.pair, self.clock()
        if now - asked_at >= REPLAN_AFTER_S:
            snapshot = self.placement.snapshot()
            pair = choose_prefill(snapshot, ask, pair.decode, self.rng, now) or pair
        return pair, bound.attempt

    def _reservation(self, call: Call, pair: Pair, decode: Attempt) -> Reserve:
        route = call.route.route
        tokens = call.prompt.tokens + call.max_tokens
        max_wait = self._time_left(call)
        if not route.patient:
            max_wait = min(max_wait, self._max_slot_wait(call, pair))
        return Reserve(
            decode.id,
            call.workspace,
            -(-tokens // PIECE_TOKENS),
            max_wait,
            call.view.weight_of(call.workspace),
            route.priority,
            tokens,
            call.max_tokens,
            max(pair.lead_s, MIN_LEAD_S),
            route.patient,
            self.places,
            whole=route.patient,
            isolated=call.isolated,
        )

    def _max_slot_wait(self, call: Call, pair: Pair) -> float:
        """Return how long to wait for a slot and still meet the first-token target.

        If the time since arrival, the transfer and one token interval already use
        up the target, the request still waits up to `MIN_SLOT_WAIT_S`.
        """
        route = call.route.route
        passed = self.clock() - call.arrived_at
        after = pair.transfer_s + route.between_tokens_s
        return max(MIN_SLOT_WAIT_S, route.first_token_s - passed - after)

    async def _prefill(
        self, call: Call, progress: AnswerProgress, ask: PlacementRequest, name: str
    ) -> Prefilled:
        attempt = self._open(name, call.prompt.tokens)
        try:
            timeout = self._time_left(call)
            request = Prefill(
                attempt.id,
                call.workspace,
                call.prompt.model,
                call.prompt.text,
                timeout,
                weight=call.view.weight_of(call.workspace),
                tokens=call.prompt.tokens,
                fingerprint=call.fingerprint,
            )
            on_timeout = refuse("deadline_exceeded")
            answer = await self._ask(
                attempt, request, timeout, on_timeout, Prefilled, progress
            )
            progress.prompt_tokens = answer.tokens
            self.placement.prefixes.touch(name, ask.blocks, self.clock())
            # The engine keeps the KV cache until it is imported or evicted, so the
            # attempt must not be cancelled here.
            attempt.ended = True
            return answer
        finally:
            self._close(attempt)

    async def _ask(
        self,
        attempt: Attempt,
        request: Message,
        timeout: float,
        on_timeout: Refusal,
        expected: type[Message],
        progress: AnswerProgress,
    ) -> Message:
        if not self.exchange.send(attempt, request):
            progress.excluded.add(attempt.instance)
            raise StreamFailed(refuse("endpoint_down"))
        answer = await wait_for_answer(attempt, timeout, on_timeout)
        return self._expect(answer, expected, attempt, progress)

    def _expect(
        self,
        answer: Result[Message, Refusal],
        expected: type[Message] | tuple[type[Message], ...],
        attempt: Attempt,
        progress: AnswerProgress,
    ) -> Message:
        if isinstance(answer, Err):
            if answer.err_value.code not in CAPACITY_CODES:
                progress.excluded.add(attempt.instance)
            raise StreamFailed(answer.err_value)
        if not isinstance(answer.ok_value, expected):
            raise StreamFailed(
                refuse("internal", message="The agent sent an unexpected message.")
            )
        return answer.ok_value

    async def _decode(
        self, call: Call, progress: AnswerProgress, decode: Attempt, source: Prefilled
    ) -> AsyncIterator[list[str]]:
        request = Decode(
            decode.id,
            call.workspace,
            call.prompt.model,
            call.prompt.text,
            source.source,
            source.handle,
            call.max_tokens,
            self._time_left(call),
            resume=list(progress.tokens),
            priority=call.route.route.priority,
            fingerprint=call.fingerprint,
        )
        self.exchange.send(decode, request)
        while True:
            timeout = min(CHUNK_TIMEOUT_S, self._time_left(call))
            answer = await wait_for_answer(decode, timeout, self._timeout_refusal(call))
            message = self._expect(
                answer, (Chunk, DecodeDone, Reserved), decode, progress
            )
            if isinstance(message, Reserved):
                continue  # a repeated confirmation of the slot
            if isinstance(message, DecodeDone):
                decode.ended = True
                _check_complete(message, progress)
                return
            tokens = _new_tokens(message, progress)
            if tokens:
                yield tokens
                upto = len(progress.tokens) + CREDIT_TOKENS
                self.exchange.send(decode, FlowCredit(decode.id, upto))

    def _timeout_refusal(self, call: Call) -> Refusal:
        if self._time_left(call) <= CHUNK_TIMEOUT_S:
            return refuse("deadline_exceeded")
        return refuse("agent_lost")

    def _time_left(self, call: Call) -> float:
        left = call.deadline - self.clock()
        if left <= 0:
            raise StreamFailed(refuse("deadline_exceeded"))
        return left


def _should_ask_again(call: Call, refusal: Refusal) -> bool:
    return call.route.route.patient and refusal.code in CAPACITY_CODES


def _new_tokens(chunk: Chunk, progress: AnswerProgress) -> list[str]:
    """Return the tokens of a chunk that were not delivered before."""
    have = len(progress.tokens)
    if chunk.index > have:
        raise StreamFailed(refuse("agent_lost", message="Tokens were lost."))
    return chunk.tokens[have - chunk.index :]


def _check_complete(done: DecodeDone, progress: AnswerProgress) -> None:
    if done.total != len(progress.tokens):
        raise StreamFailed(refuse("agent_lost", message="Tokens were lost."))
