"""Prefill of prompts by prefill endpoints, or by the decode endpoint itself."""

import asyncio
import logging
from dataclasses import dataclass, replace

from result import Err

from ebonyglade.forward.attempts import AttemptSender
from ebonyglade.forward.call import ForwardCall
from ebonyglade.forward.memory.agent_client import AgentClient
from ebonyglade.forward.types import Endpoint, Prefilled, Stage

logger = logging.getLogger(__name__)

PREFILL_TIMEOUT_S = 1.5  # limit for the whole response of a prefill
# After these attempts the decode endpoint prefills the prompt itself.
MAX_PREFILL_ATTEMPTS = 2
# With this share of failures a prompt is prefilled apart only if the budget has a retry
# for the run that follows a failure.
MAX_UNCOVERED_FAILED_SHARE = 0.15
SHARE_WEIGHT = 0.1  # of the latest prefill
MAX_LEASE_WAIT_S = 1.4  # the memory reservation must not expire meanwhile
LEASE_POLL_S = 0.04  # between two requests for the prefill lease


@dataclass(frozen=True, slots=True)
class PrefillSource:
    """A prefilled prompt and the endpoint that holds its KV cache."""

    endpoint: Endpoint
    prefilled: Prefilled

    @property
    def address(self) -> str:
        """Address from which a decode endpoint fetches the KV cache."""
        return f"{self.endpoint.address}/{self.prefilled.handle}"


@dataclass(slots=True)
class Prefiller:
    """Has prompts prefilled.

    Attributes:
        attempts: sends attempts to endpoints.
        agent_client: acquires the prefill leases of decode endpoints.
        failed_share: share of the latest prefills that failed.
    """

    attempts: AttemptSender
    agent_client: AgentClient
    failed_share: float = 0.0

    async def prefill(self, call: ForwardCall) -> PrefillSource | None:
        """Have a prefill endpoint prefill the prompt; None if that failed."""
        excluded: set[str] = set()
        for _ in range(MAX_PREFILL_ATTEMPTS):
            endpoint = await self.attempts.acquire(call, excluded, Stage.PREFILL)
            if endpoint is None or self.attempts.gate.refusal(call) is not None:
                return None
            likely = self.failed_share > MAX_UNCOVERED_FAILED_SHARE
            if not await self.attempts.take_retries(
                call, prefill=True, rejection_likely=likely
            ):
                return None
            excluded.add(endpoint.id)
            source = await self._prefill_at(call, endpoint)
            self.failed_share += SHARE_WEIGHT * (
                float(source is None) - self.failed_share
            )
            if source is not None:
                # Other requests may need what was taken for the case of a rejection.
                kept = call.arrivals.needed(prefill=False)
                self.attempts.return_retries(call, kept)
                return source
        return None

    async def await_local_lease(self, call: ForwardCall, endpoint: Endpoint) -> None:
        """Wait for the lease to prefill the prompt at the decode endpoint itself.

        The request goes on without the lease after `MAX_LEASE_WAIT_S`, or once it may
        no longer be sent to the endpoint.
        """
        until = self.attempts.clock() + MAX_LEASE_WAIT_S
        while not await self.agent_client.acquire_prefill_lease(endpoint.id, call.id):
            if not self.attempts.gate.permits(call, endpoint):
                return
            if self.attempts.clock() >= until:
                logger.info(
                    "no prefill lease in time; going on without it",
                    extra={"request": call.id},
                )
                return
            await asyncio.sleep(LEASE_POLL_S)

    def release_local_lease(self, call: ForwardCall, endpoint: Endpoint) -> None:
        """Release the lease after a decode endpoint has prefilled a prompt itself."""
        self.agent_client.release_prefill_lease(endpoint.id, call.id)

    def free_prefilled(self, source: PrefillSource) -> None:
        """Free the KV cache of a prefilled prompt that is not used."""
        call = self.attempts.adapter.free_call(source.prefilled.handle)
        self.attempts.send_in_background(source.endpoint, call)

    async def _prefill_at(
        self, call: ForwardCall, endpoint: Endpoint
    ) -> PrefillSource | None:
        attempts = self.attempts
        timeout_s = min(PREFILL_TIMEOUT_S, attempts.remaining_s(call))
        until = attempts.clock() + timeout_s
        instructions = replace(
            attempts.instructions_for(call, endpoint), prefill_only=True
        )
        started = attempts.request_started(call, endpoint)
        try:
            sent = await attempts.send(
                call, endpoint, instructions, timeout_s, runs_request=False
            )
            if isinstance(sent, Err):
                started.record_failure(sent.err_value)
                return None
            response = sent.ok_value
            body = await attempts.read_document(
                call, endpoint, response, until - attempts.clock(), runs_request=False
            )
            if isinstance(body, Err):
                return None
            started.record_response(response.status)
            if response.status != 200:
                logger.info(
                    "prefill failed",
                    extra={
                        "request": call.id,
                        "endpoint": endpoint.id,
                        "status": response.status,
                    },
                )
                return None
            return PrefillSource(
                endpoint, attempts.adapter.decode_prefilled(body.ok_value)
            )
        except ValueError as error:
            logger.warning("invalid prefill response", extra={"reason": str(error)})
            return None
        finally:
            call.buffers.release()
            attempts.request_ended(started)
