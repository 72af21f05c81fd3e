"""Dispatch of requests to plain services, with retries where they are allowed."""

import logging
from dataclasses import dataclass

from result import Err, Ok, Result

from ebonyglade.forward.attempts import AttemptSender
from ebonyglade.forward.call import AttemptFailure, CompleteResponse, ForwardCall, Reply
from ebonyglade.forward.gate.send_gate import MIN_REMAINING_S
from ebonyglade.forward.types import Endpoint
from ebonyglade.verdict import Verdict

logger = logging.getLogger(__name__)

# Most endpoints that are tried for one request, even if its route allows more.
MAX_ENDPOINTS_TRIED = 3
# An attempt that a retry may follow gets this share of the remaining time, or the
# route's target time if that is longer.
RETRYABLE_ATTEMPT_SHARE = 0.5


@dataclass(slots=True)
class PlainDispatcher:
    """Dispatches requests of plain services."""

    attempts: AttemptSender

    async def run(self, call: ForwardCall) -> Reply:
        """Return the endpoint's response, or a refusal with the right verdict."""
        attempts = self.attempts
        excluded: set[str] = set()
        failure: AttemptFailure | None = None
        possible_runs = tried = 0
        while tried < MAX_ENDPOINTS_TRIED:
            endpoint = await attempts.acquire(call, excluded)
            if endpoint is None or attempts.remaining_s(call) <= MIN_REMAINING_S:
                break
            if attempts.gate.refusal(call) is not None:
                break
            if not await attempts.take_retries(call):
                break
            excluded.add(endpoint.id)
            may_retry = call.repeatable and possible_runs + 1 < call.route.max_attempts
            reply = await self._attempt(call, endpoint, may_retry)
            if isinstance(reply, Ok):
                return reply
            failure = reply.err_value
            tried += failure.was_tried
            possible_runs += failure.verdict is not Verdict.NOT_RUN
            if possible_runs and not (
                call.repeatable and possible_runs < call.route.max_attempts
            ):
                break
        return Err(attempts.final_refusal(call, failure))

    async def _attempt(
        self, call: ForwardCall, endpoint: Endpoint, may_retry: bool
    ) -> Result[CompleteResponse, AttemptFailure]:
        """Send a request once and read its response to the end.

        Args:
            call: the request.
            endpoint: endpoint to send it to.
            may_retry: whether another endpoint may run it after this one.
        """
        attempts = self.attempts
        timeout_s = attempts.remaining_s(call)
        if may_retry:
            timeout_s = max(
                timeout_s * RETRYABLE_ATTEMPT_SHARE, min(timeout_s, call.route.target_s)
            )
        until = attempts.clock() + timeout_s
        started = attempts.request_started(call, endpoint)
        try:
            instructions = attempts.instructions_for(call, endpoint)
            sent = await attempts.send(call, endpoint, instructions, timeout_s)
            if isinstance(sent, Err):
                started.record_failure(sent.err_value)
                return sent
            response = sent.ok_value
            body = await attempts.read_document(
                call, endpoint, response, until - attempts.clock()
            )
            if isinstance(body, Err):
                return body
            if response.metadata.encoded:
                return Err(attempts.record_encoded_response(call, endpoint))
            started.record_response(response.status)
            attempts.record_answer(call, response.status)
            headers = attempts.adapter.response_headers(response.headers)
            return Ok(CompleteResponse(response.status, headers, body.ok_value))
        finally:
            attempts.request_ended(started)
