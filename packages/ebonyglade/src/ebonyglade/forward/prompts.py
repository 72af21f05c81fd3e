"""Prompts of model requests: read by a prefill endpoint, if one can be had."""

import asyncio
import logging
from dataclasses import dataclass, replace

from result import Err

from ebonyglade.forward.call import ForwardCall
from ebonyglade.forward.desk import Desk, read_whole
from ebonyglade.forward.rooms import Rooms
from ebonyglade.forward.types import Endpoint, Prefilled, Stage

logger = logging.getLogger(__name__)

PREFILL_S = 1.5  # a prefill that takes longer is given up
PROMPT_ATTEMPTS = 2  # prefills before the decode endpoint reads the prompt itself
TURN_WAIT_S = 1.4  # a reservation must not lapse while its request waits
TURN_ASK_S = 0.04  # between two asks for the turn to have a prompt read


@dataclass(frozen=True, slots=True)
class Source:
    """A prefilled prompt and where it lies."""

    endpoint: Endpoint
    prefilled: Prefilled

    @property
    def address(self) -> str:
        """Where a decode endpoint fetches it."""
        return f"{self.endpoint.address}/{self.prefilled.handle}"


@dataclass(slots=True)
class PromptReader:
    """Has prompts read.

    Attributes:
        desk: how endpoints are reached.
        rooms: gives turns where decode endpoints read prompts themselves.
    """

    desk: Desk
    rooms: Rooms

    async def read(self, call: ForwardCall) -> Source | None:
        """Have a prefill endpoint read the prompt; None if none did."""
        excluded: set[str] = set()
        for attempt in range(PROMPT_ATTEMPTS):
            endpoint = self.desk.choose(call, excluded, Stage.PREFILL)
            if endpoint is None:
                return None
            if attempt and not self.desk.repeat(call):
                return None
            excluded.add(endpoint.id)
            source = await self._prefill_at(call, endpoint)
            if source is not None:
                return source
        return None

    async def await_turn(self, call: ForwardCall, endpoint: Endpoint) -> None:
        """Wait until the decode endpoint may read the prompt itself."""
        until = self.desk.clock() + TURN_WAIT_S
        while not await self.rooms.turn(endpoint.id, call.id):
            if self.desk.clock() >= until:
                logger.info("no turn in time", extra={"request": call.id})
                return
            await asyncio.sleep(TURN_ASK_S)

    def turn_done(self, call: ForwardCall, endpoint: Endpoint) -> None:
        """Tell that a decode endpoint has read a prompt."""
        self.rooms.turn_done(endpoint.id, call.id)

    def free(self, source: Source) -> None:
        """Free a prefilled prompt that is not used."""
        call = self.desk.adapter.free_call(source.prefilled.handle)
        self.desk.later(source.endpoint, call)

    async def _prefill_at(self, call: ForwardCall, endpoint: Endpoint) -> Source | None:
        desk = self.desk
        within = min(PREFILL_S, desk.left(call))
        out = replace(desk.outgoing(call, endpoint), prefill_only=True)
        desk.loads.begun(endpoint.id)
        try:
            sent = await desk.send(call, endpoint, out, within, runs=False)
            if isinstance(sent, Err):
                return None
            answer = sent.ok_value
            body = await read_whole(answer)
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
            return Source(endpoint, desk.adapter.decode_prefilled(body.ok_value))
        except ValueError as error:
            logger.warning("prefill not understood", extra={"reason": str(error)})
            return None
        finally:
            desk.loads.ended(endpoint.id)
