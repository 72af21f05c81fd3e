"""One attempt of a model request at one pair of endpoints."""

import random
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from result import Err, Result

from ebonyglade.calls import Call, StreamFailed
from ebonyglade.dispatch.choice import Inflight, choose
from ebonyglade.dispatch.exchange import Attempt, Exchange
from ebonyglade.dispatch.waiting import wait_for
from ebonyglade.ports import Clock
from ebonyglade.verdict import Refusal, refuse
from ebonyglade.wire.base import Message
from ebonyglade.wire.work import (
    Chunk,
    Credit,
    Decode,
    Done,
    Prefill,
    Prefilled,
    Reserve,
    Reserved,
)

PIECE_TOKENS = 2048  # tokens in one piece of engine memory
CREDIT_TOKENS = 256  # tokens that an agent may send ahead of the caller
RESERVE_TIMEOUT_S = 1.0
CHUNK_TIMEOUT_S = 5.0


@dataclass(slots=True)
class Progress:
    """What the caller has of an answer, and what was tried.

    Attributes:
        tokens: tokens that the caller has.
        prompt_tokens: tokens of the prompt as an engine counted them.
        excluded: agents that failed this request.
        attempts: attempts so far.
    """

    tokens: list[str] = field(default_factory=list)
    prompt_tokens: int = 0
    excluded: set[str] = field(default_factory=set)
    attempts: int = 0


@dataclass(slots=True)
class PairAttempts:
    """Runs attempts: reserve a decode slot, prefill, decode."""

    exchange: Exchange
    inflight: Inflight
    clock: Clock
    rng: random.Random
    new_id: Callable[[], str]

    async def run(self, call: Call, progress: Progress) -> AsyncIterator[list[str]]:
        """Yield the rest of an answer from one pair of endpoints.

        Raises:
            StreamFailed: the attempt ended before the answer was whole.
        """
        pool = call.route.route.pool
        decode_name = self._choose(call, pool, "decode", progress)
        prefill_name = self._choose(call, pool, "prefill", progress)
        decode = self._open(decode_name)
        try:
            await self._reserve(call, progress, decode)
            source = await self._prefill(call, progress, prefill_name)
            async for tokens in self._decode(call, progress, decode, source):
                yield tokens
        finally:
            self._close(decode)

    def _choose(self, call: Call, pool: str, stage: str, progress: Progress) -> str:
        name = choose(
            call.view, pool, stage, self.inflight, progress.excluded, self.rng
        )
        if name is None:
            raise StreamFailed(refuse("no_endpoint"))
        return name

    def _open(self, instance: str) -> Attempt:
        self.inflight.counts[instance] += 1
        return self.exchange.open(self.new_id(), instance)

    def _close(self, attempt: Attempt) -> None:
        self.inflight.counts[attempt.instance] -= 1
        self.exchange.close(attempt)

    async def _reserve(self, call: Call, progress: Progress, decode: Attempt) -> None:
        """Hold a decode slot before any prefill is spent."""
        tokens = call.prompt.tokens + call.max_tokens
        within = min(RESERVE_TIMEOUT_S, self._left(call))
        request = Reserve(
            decode.id,
            call.workspace,
            -(-tokens // PIECE_TOKENS),
            within,
            priority=call.route.route.priority,
        )
        # Nothing runs before the slot is held, so a lost answer is still NOT_RUN.
        silent = refuse("endpoint_down")
        await self._ask(decode, request, within, silent, Reserved, progress)

    async def _prefill(self, call: Call, progress: Progress, name: str) -> Prefilled:
        attempt = self._open(name)
        try:
            within = self._left(call)
            request = Prefill(
                attempt.id, call.workspace, call.prompt.model, call.prompt.text, within
            )
            silent = refuse("deadline_exceeded")
            answer = await self._ask(
                attempt, request, within, silent, Prefilled, progress
            )
            progress.prompt_tokens = answer.tokens
            # The export lives on in the engine until it is imported or evicted.
            attempt.ended = True
            return answer
        finally:
            self._close(attempt)

    async def _ask(
        self,
        attempt: Attempt,
        request: Message,
        within: float,
        silent: Refusal,
        expected: type[Message],
        progress: Progress,
    ) -> Message:
        if not self.exchange.send(attempt, request):
            progress.excluded.add(attempt.instance)
            raise StreamFailed(refuse("endpoint_down"))
        answer = await wait_for(attempt, within, silent)
        return self._expect(answer, expected, attempt, progress)

    def _expect(
        self,
        answer: Result[Message, Refusal],
        expected: type[Message] | tuple[type[Message], ...],
        attempt: Attempt,
        progress: Progress,
    ) -> Message:
        if isinstance(answer, Err):
            progress.excluded.add(attempt.instance)
            raise StreamFailed(answer.err_value)
        if not isinstance(answer.ok_value, expected):
            raise StreamFailed(refuse("internal", message="Unexpected answer."))
        return answer.ok_value

    async def _decode(
        self, call: Call, progress: Progress, decode: Attempt, source: Prefilled
    ) -> AsyncIterator[list[str]]:
        request = Decode(
            decode.id,
            call.workspace,
            call.prompt.model,
            call.prompt.text,
            source.source,
            source.handle,
            call.max_tokens,
            self._left(call),
            resume=list(progress.tokens),
            priority=call.route.route.priority,
        )
        self.exchange.send(decode, request)
        while True:
            within = min(CHUNK_TIMEOUT_S, self._left(call))
            answer = await wait_for(decode, within, self._silence(call))
            message = self._expect(answer, (Chunk, Done), decode, progress)
            if isinstance(message, Done):
                decode.ended = True
                _check_whole(message, progress)
                return
            tokens = _fresh(message, progress)
            if tokens:
                yield tokens
                upto = len(progress.tokens) + CREDIT_TOKENS
                self.exchange.send(decode, Credit(decode.id, upto))

    def _silence(self, call: Call) -> Refusal:
        if self._left(call) <= CHUNK_TIMEOUT_S:
            return refuse("deadline_exceeded")
        return refuse("agent_lost")

    def _left(self, call: Call) -> float:
        left = call.deadline - self.clock()
        if left <= 0:
            raise StreamFailed(refuse("deadline_exceeded"))
        return left


def _fresh(chunk: Chunk, progress: Progress) -> list[str]:
    """Return the tokens of a chunk that the caller does not have yet."""
    have = len(progress.tokens)
    if chunk.index > have:
        raise StreamFailed(refuse("agent_lost", message="Tokens were lost."))
    return chunk.tokens[have - chunk.index :]


def _check_whole(done: Done, progress: Progress) -> None:
    if done.total != len(progress.tokens):
        raise StreamFailed(refuse("agent_lost", message="Tokens were lost."))
