"""Requests to plain services: sent once, or a few times where they may be."""

import logging
from dataclasses import dataclass

from result import Err, Ok, Result

from ebonyglade.forward.call import Failure, ForwardCall, Reply, Whole
from ebonyglade.forward.desk import LEAST_S, Desk, read_whole
from ebonyglade.forward.types import Endpoint
from ebonyglade.verdict import Verdict

logger = logging.getLogger(__name__)

# Endpoints that are tried while none of them runs the request.
MOST_REJECTIONS = 3
# The first of several attempts gets this part of the time that is left.
FIRST_PART = 0.5


@dataclass(slots=True)
class PlainDispatcher:
    """Sends requests of plain services."""

    desk: Desk

    async def run(self, call: ForwardCall) -> Reply:
        """Return the endpoint's answer or a truthful refusal."""
        desk = self.desk
        excluded: set[str] = set()
        failure: Failure | None = None
        runs = 0
        for attempt in range(MOST_REJECTIONS):
            endpoint = desk.choose(call, excluded)
            if endpoint is None or desk.left(call) <= LEAST_S:
                break
            if attempt and not desk.repeat(call):
                break
            excluded.add(endpoint.id)
            more = call.repeatable and runs + 1 < call.route.max_attempts
            reply = await self._attempt(call, endpoint, more)
            if isinstance(reply, Ok):
                return reply
            failure = reply.err_value
            runs += failure.verdict is not Verdict.NOT_RUN
            if runs and not (call.repeatable and runs < call.route.max_attempts):
                break
        return Err(desk.refusal(call, failure))

    async def _attempt(
        self, call: ForwardCall, endpoint: Endpoint, more: bool
    ) -> Result[Whole, Failure]:
        """Send a request once and read its answer to the end.

        Args:
            call: the request.
            endpoint: where to.
            more: whether another endpoint may run it after this one.
        """
        desk = self.desk
        within = desk.left(call)
        if more:
            within = max(within * FIRST_PART, min(within, call.route.target_s))
        desk.loads.begun(endpoint.id)
        try:
            out = desk.outgoing(call, endpoint)
            sent = await desk.send(call, endpoint, out, within)
            if isinstance(sent, Err):
                return sent
            answer = sent.ok_value
            body = await read_whole(answer)
            if isinstance(body, Err):
                return Err(desk.broke(call, endpoint))
            if answer.facts.encoded:
                return Err(desk.broke(call, endpoint, "encoded body"))
            desk.crashes.worked(call.fingerprint)
            headers = desk.adapter.response_headers(answer.headers)
            return Ok(Whole(answer.status, headers, body.ok_value))
        finally:
            desk.loads.ended(endpoint.id)
