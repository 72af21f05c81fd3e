"""Prompts of model requests: read by a prefill endpoint, if one can be had."""

import asyncio
import logging
from dataclasses import dataclass, replace

from result import Err

from ebonyglade.forward.agent_client import AgentClient
from ebonyglade.forward.call import ForwardCall
from ebonyglade.forward.desk import Desk, read_body
from ebonyglade.forward.types import Endpoint, Prefilled, Stage

logger = logging.getLogger(__name__)

PREFILL_TIMEOUT_S = 1.5  # a prefill that takes longer is given up
MAX_PREFILL_ATTEMPTS = 2  # prefills before the decode endpoint reads the prompt itself
MAX_LEASE_WAIT_S = 1.4  # a reservation must not lapse while its request waits
LEASE_POLL_S = 0.04  # between two asks for the turn to have a prompt read


@dataclass(frozen=True, slots=True)
class PrefillSource:
    """A prefilled prompt and where it lies."""

    endpoint: Endpoint
    prefilled: Prefilled

    @property
    def address(self) -> str:
        """Where a decode endpoint fetches it."""
        return f"{self.endpoint.address}/{self.prefilled.handle}"


@dataclass(slots=True)
class Prefiller:
    """Has prompts read.

    Attributes:
        desk: how endpoints are reached.
        rooms: gives turns where decode endpoints read prompts themselves.
    """

    desk: Desk
    agent_client: AgentClient

    async def prefill(self, call: ForwardCall) -> PrefillSource | None:
        """Have a prefill endpoint read the prompt; None if none did."""
        excluded: set[str] = set()
        for attempt in range(MAX_PREFILL_ATTEMPTS):
            endpoint = self.desk.choose(call, excluded, Stage.PREFILL)
            if endpoint is None:
                return None
            if attempt and not self.desk.take_retry(call):
                return None
            excluded.add(endpoint.id)
            source = await self._prefill_at(call, endpoint)
            if source is not None:
                return source
        return None

    async def await_local_lease(self, call: ForwardCall, endpoint: Endpoint) -> None:
        """Wait until the decode endpoint may read the prompt itself."""
        until = self.desk.clock() + MAX_LEASE_WAIT_S
        while not await self.agent_client.acquire_prefill_lease(endpoint.id, call.id):
            if self.desk.clock() >= until:
                logger.info("no turn in time", extra={"request": call.id})
                return
            await asyncio.sleep(LEASE_POLL_S)

    def release_local_lease(self, call: ForwardCall, endpoint: Endpoint) -> None:
        """Tell that a decode endpoint has read a prompt."""
        self.agent_client.release_prefill_lease(endpoint.id, call.id)

    def free_prefilled(self, source: PrefillSource) -> None:
        """Free a prefilled prompt that is not used."""
        call = self.desk.adapter.free_call(source.prefilled.handle)
        self.desk.send_in_background(source.endpoint, call)

    async def _prefill_at(
        self, call: ForwardCall, endpoint: Endpoint
    ) -> PrefillSource | None:
        desk = self.desk
        timeout_s = min(PREFILL_TIMEOUT_S, desk.remaining_s(call))
        out = replace(desk.instructions_for(call, endpoint), prefill_only=True)
        desk.loads.request_started(endpoint.id)
        try:
            sent = await desk.send(call, endpoint, out, timeout_s, runs_request=False)
            if isinstance(sent, Err):
                return None
            answer = sent.ok_value
            body = await read_body(answer)
            if isinstance(body, Err) or answer.status != 200:
                logger.info(
                    "prompt not read",
                    extra={
                        "request": call.id,
                        "endpoint": endpoint.id,
                        "status": answer.status,
                    },
                )
                return None
            return PrefillSource(endpoint, desk.adapter.decode_prefilled(body.ok_value))
        except ValueError as error:
            logger.warning("prefill not understood", extra={"reason": str(error)})
            return None
        finally:
            desk.loads.request_ended(endpoint.id)
