"""Model requests: attempts at pairs of endpoints until the answer is whole."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

from result import Err, Ok

from ebonyglade.calls import Call, Reply, StreamFailed, TokenStream
from ebonyglade.dispatch.attempts import PairAttempts, Progress
from ebonyglade.ports import Clock
from ebonyglade.verdict import Refusal, Verdict

MAX_ATTEMPTS = 4
RETRY_PAUSE_S = 0.02


@dataclass(slots=True)
class ModelDispatcher:
    """Runs model requests; goes on at another pair after a failure."""

    attempts: PairAttempts
    clock: Clock

    async def run(self, call: Call) -> Reply:
        """Start a request; Ok once the first tokens are there."""
        progress = Progress()
        stream = self._stream(call, progress)
        try:
            first = await anext(stream)
        except StopAsyncIteration:
            return Ok(TokenStream(_nothing(), progress.prompt_tokens))
        except StreamFailed as failure:
            return Err(failure.refusal)
        return Ok(TokenStream(_rejoin(first, stream), progress.prompt_tokens))

    async def _stream(self, call: Call, progress: Progress) -> AsyncIterator[list[str]]:
        """Yield the answer, going on at another endpoint after a failure."""
        while True:
            progress.attempts += 1
            try:
                async for tokens in self.attempts.run(call, progress):
                    progress.tokens.extend(tokens)
                    yield tokens
                return
            except StreamFailed as failure:
                if not self._may_retry(call, progress, failure.refusal):
                    raise StreamFailed(_truthful(failure.refusal, progress)) from None
            await asyncio.sleep(RETRY_PAUSE_S * progress.attempts)

    def _may_retry(self, call: Call, progress: Progress, refusal: Refusal) -> bool:
        if progress.attempts >= MAX_ATTEMPTS or self.clock() >= call.deadline:
            return False
        return refusal.status >= 500


def _truthful(refusal: Refusal, progress: Progress) -> Refusal:
    """Return a refusal that says that tokens were already generated."""
    if progress.tokens:
        return refusal.because(verdict=Verdict.RAN)
    return refusal


async def _rejoin(
    first: list[str], rest: AsyncIterator[list[str]]
) -> AsyncIterator[list[str]]:
    try:
        yield first
        async for tokens in rest:
            yield tokens
    finally:
        await rest.aclose()


async def _nothing() -> AsyncIterator[list[str]]:
    return
    yield
