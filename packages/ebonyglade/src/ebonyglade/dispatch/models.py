"""Model requests: attempts at pairs of endpoints until the answer is whole."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

from result import Err, Ok

from ebonyglade.calls import Call, Reply, StreamFailed, TokenStream
from ebonyglade.dispatch.attempts import PairAttempts, Progress
from ebonyglade.ports import Clock
from ebonyglade.quarantine.guard import Guard
from ebonyglade.retry.retries import Retries, Tries
from ebonyglade.retry.table import Kind, Reached, Sent, Where, failed
from ebonyglade.verdict import Refusal, Verdict, worst


@dataclass(slots=True)
class ModelDispatcher:
    """Runs model requests; goes on at another pair after a failure."""

    attempts: PairAttempts
    retries: Retries
    guard: Guard
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
        tries = self.retries.begin(call.route.route, Kind.MODEL, call.deadline)
        progress.excluded |= self.retries.ejected()
        lenient = False
        while True:
            if self.clock() >= call.deadline:
                refusal = failed(Where.DEADLINE, Sent.NOTHING)
                raise StreamFailed(self._final(tries, refusal, progress))
            refusal = self.guard.refusal(call)
            if refusal is not None:
                raise StreamFailed(self._final(tries, refusal, progress))
            if not lenient:
                progress.excluded |= self.guard.kept_apart(call)
            self.retries.attempt(tries)
            before = set(progress.excluded)
            try:
                async for tokens in self.attempts.run(call, progress):
                    progress.tokens.extend(tokens)
                    self.retries.ejections.worked(progress.pair)
                    yield tokens
                self.guard.finished(call)
                return
            except StreamFailed as failure:
                refusal = failure.refusal
            names = progress.excluded - before
            if refusal.code == "no_endpoint" and progress.excluded and not lenient:
                # Better an endpoint that failed lately than none.
                lenient = True
                progress.excluded.clear()
                self.retries.unsent(tries)
                continue
            lenient = False
            reached = Reached.PART if progress.tokens else Reached.NOTHING
            if not await self.retries.again(tries, refusal, names, reached):
                raise StreamFailed(self._final(tries, refusal, progress))

    def _final(self, tries: Tries, refusal: Refusal, progress: Progress) -> Refusal:
        """Return a refusal that is true over all attempts."""
        if progress.tokens:
            return refusal.because(verdict=Verdict.RAN)
        if progress.prompt_tokens:
            # A prefill ended, whatever became of the answer.
            tries.verdict = worst(tries.verdict, Verdict.MAY_HAVE_RUN)
        return self.retries.final(tries, refusal)


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
