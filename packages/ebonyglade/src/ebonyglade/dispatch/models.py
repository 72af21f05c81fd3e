"""Runs model requests, with retries, until the answer is complete."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

from result import Err, Ok

from ebonyglade.calls import Call, Reply, StreamFailed, TokenStream
from ebonyglade.dispatch.attempts import AnswerProgress, PairAttempts
from ebonyglade.ports import Clock
from ebonyglade.quarantine.guard import QuarantineGuard
from ebonyglade.retry.retries import Retries, RetryState
from ebonyglade.retry.table import Delivered, FailureStep, RequestKind, Sent, refusal_at
from ebonyglade.verdict import Refusal, Verdict, combine_verdicts


@dataclass(slots=True)
class ModelDispatcher:
    """Runs model requests and continues at another pair of agents after a failure."""

    attempts: PairAttempts
    retries: Retries
    quarantine: QuarantineGuard
    clock: Clock

    async def run(self, call: Call) -> Reply:
        """Start a request; return Ok once the first tokens have arrived."""
        progress = AnswerProgress()
        stream = self._stream(call, progress)
        try:
            first = await anext(stream)
        except StopAsyncIteration:
            return Ok(TokenStream(_empty_stream(), progress.prompt_tokens))
        except StreamFailed as failure:
            return Err(failure.refusal)
        return Ok(TokenStream(_prepend(first, stream), progress.prompt_tokens))

    async def _stream(
        self, call: Call, progress: AnswerProgress
    ) -> AsyncIterator[list[str]]:
        """Yield the answer, continuing at another endpoint after a failure."""
        state = self.retries.begin(call.route.route, RequestKind.MODEL, call.deadline)
        progress.excluded |= self.retries.ejected()
        ignore_exclusions = False
        while True:
            if self.clock() >= call.deadline:
                refusal = refusal_at(FailureStep.DEADLINE, Sent.NOTHING)
                raise StreamFailed(self._final_refusal(state, refusal, progress))
            refusal = self.quarantine.refusal(call)
            if refusal is not None:
                raise StreamFailed(self._final_refusal(state, refusal, progress))
            if not ignore_exclusions:
                progress.excluded |= self.quarantine.endpoints_to_avoid(call)
            self.retries.record_attempt(state)
            excluded_before = set(progress.excluded)
            try:
                async for tokens in self.attempts.run(call, progress):
                    progress.tokens.extend(tokens)
                    self.retries.ejections.record_success(progress.pair)
                    yield tokens
                self.quarantine.finished(call)
                return
            except StreamFailed as failure:
                refusal = failure.refusal
            failed_agents = progress.excluded - excluded_before
            if (
                refusal.code == "no_endpoint"
                and progress.excluded
                and not ignore_exclusions
            ):
                # No endpoint is left besides the excluded ones (ejected, failed for
                # this request, or ruled out by quarantine). Rather than refuse, clear
                # the exclusions, and do not add those of quarantine for one attempt.
                ignore_exclusions = True
                progress.excluded.clear()
                self.retries.undo_attempt(state)
                continue
            ignore_exclusions = False
            reached = Delivered.PART if progress.tokens else Delivered.NOTHING
            if not await self.retries.wait_to_retry(
                state, refusal, failed_agents, reached
            ):
                raise StreamFailed(self._final_refusal(state, refusal, progress))

    def _final_refusal(
        self, state: RetryState, refusal: Refusal, progress: AnswerProgress
    ) -> Refusal:
        """Return a refusal whose verdict covers all attempts."""
        if progress.tokens:
            return refusal.with_changes(verdict=Verdict.RAN)
        if progress.prompt_tokens:
            # At least one prefill completed, so the request may have run.
            state.verdict = combine_verdicts(state.verdict, Verdict.MAY_HAVE_RUN)
        return self.retries.final_refusal(state, refusal)


async def _prepend(
    first: list[str], rest: AsyncIterator[list[str]]
) -> AsyncIterator[list[str]]:
    try:
        yield first
        async for tokens in rest:
            yield tokens
    finally:
        await rest.aclose()


async def _empty_stream() -> AsyncIterator[list[str]]:
    return
    yield
