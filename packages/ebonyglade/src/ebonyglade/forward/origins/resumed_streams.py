"""Binds streams that callers take up to the software version that began them."""

import asyncio
import logging
from dataclasses import dataclass

from ebonyglade.forward.call import ForwardCall
from ebonyglade.forward.origins.origin_exchange import Finding, OriginExchange
from ebonyglade.forward.origins.stream_origins import (
    MAX_UNSEEN_S,
    content_key,
    stream_key,
)
from ebonyglade.forward.store.store_replica import StoreReplica
from ebonyglade.forward.types import Endpoint
from ebonyglade.verdict import Refusal, refuse

logger = logging.getLogger(__name__)

# A caller gives up when its route does; this covers the way to the entry and back.
TAKE_UP_MARGIN_S = 2.0
CONFIRMED_POLL_S = 0.05  # between two looks whether the store has confirmed the list


@dataclass(slots=True)
class ResumedStreams:
    """Records which version begins a stream, and binds calls that take one up.

    Attributes:
        replica: local replica of the store with the endpoints.
        exchange: tells other processes of streams, and asks them.
    """

    replica: StoreReplica
    exchange: OriginExchange

    def record_begun(self, call: ForwardCall, endpoint: Endpoint) -> None:
        """Tell others which version began a stream, if callers may take it up.

        A stream that was taken up is logged instead.
        """
        if call.metadata.last_event_id:
            _log_taken_up(call, endpoint)
        elif call.route.resumable:
            stream = stream_key(call.workspace_name, call.id)
            self.exchange.announce(stream, endpoint.software)
            content = content_key(call.fingerprint)
            self.exchange.announce(content, endpoint.software, by_content=True)

    async def bind(self, call: ForwardCall) -> Refusal | None:
        """Bind a call that takes a stream up to the version that began it.

        Returns:
            A refusal if the version is not known or no endpoint runs it any more; None
            also for all other calls.
        """
        if not (call.route.resumable and call.metadata.last_event_id):
            return None
        call.software = await self._find_version(call)
        if call.software is None:
            return refuse("stream_unknown")
        if self.replica.registry.accepting(call.service.name, software=call.software):
            return None
        return refuse("software_gone")

    async def _find_version(self, call: ForwardCall) -> str | None:
        """Return the version that began the stream of a call; None if not known.

        A caller that does not name the attempt that began its stream is known by its
        request, which is the same. A stream that nobody knows began at the only version
        that was listed within the time of a request, if any process saw all of them.
        """
        resumes = call.metadata.resumes
        stream = (
            stream_key(call.workspace_name, resumes)
            if resumes
            else content_key(call.fingerprint)
        )
        finding = await self._find(call, stream)
        # A version that was listed just now is known once the store was asked again.
        if finding.software is None and 0 < finding.uncovered_s <= MAX_UNSEEN_S:
            await self._wait_until_confirmed(call)
            finding = await self._find(call, stream)
        logger.info(
            "version of a stream looked up",
            extra={
                "request": call.id,
                "resumes": resumes,
                "known": finding.software,
                "listed": ",".join(sorted(finding.listed)),
                "uncovered": round(finding.uncovered_s, 3),
            },
        )
        return finding.only_version

    async def _find(self, call: ForwardCall, stream: str) -> Finding:
        """Return what is known of a stream that began before a call arrived."""
        lately_s = call.route.timeout_s + TAKE_UP_MARGIN_S
        until = call.arrived_at
        return await self.exchange.find(
            stream, call.service.name, until - lately_s, until
        )

    async def _wait_until_confirmed(self, call: ForwardCall) -> None:
        """Wait until the list of endpoints is known as it was when a call arrived."""
        clock = self.exchange.context.clock
        give_up_at = min(clock() + MAX_UNSEEN_S, call.deadline)
        while not self.exchange.is_confirmed_since(call.arrived_at):
            if clock() >= give_up_at:
                return
            await asyncio.sleep(CONFIRMED_POLL_S)


def _log_taken_up(call: ForwardCall, endpoint: Endpoint) -> None:
    logger.info(
        "stream taken up",
        extra={
            "request": call.id,
            "resumes": call.metadata.resumes,
            "after_event": call.metadata.last_event_id,
            "endpoint": endpoint.id,
            "software": endpoint.software,
        },
    )
