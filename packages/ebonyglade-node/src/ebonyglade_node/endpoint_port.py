"""Sends requests of the dispatchers to endpoints over HTTP."""

import asyncio
from dataclasses import dataclass
from functools import partial

import aiohttp
from result import Err, Ok, Result

from ebonyglade.forward.adapter import Adapter
from ebonyglade.forward.call import (
    AttemptFailure,
    EndpointResponse,
    FailureKind,
    ForwardCall,
)
from ebonyglade.forward.types import (
    ControlCall,
    ControlResponse,
    Endpoint,
    EndpointInstructions,
)
from ebonyglade_node.endpoint_client import (
    CALL_ERRORS,
    READ_AHEAD_BYTES,
    STREAM_READ_AHEAD_BYTES,
    EndpointClient,
    NotSent,
    SendAttempt,
)
from ebonyglade_node.http_bodies import body_of, describe

NOT_CONNECTED_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    NotSent,
)


@dataclass(slots=True)
class HttpEndpointPort:
    """Implements `EndpointPort` over HTTP; the adapter translates the headers."""

    adapter: Adapter
    client: EndpointClient

    async def send(
        self,
        call: ForwardCall,
        endpoint: Endpoint,
        instructions: EndpointInstructions,
        timeout_s: float,
    ) -> Result[EndpointResponse, AttemptFailure]:
        """Send a request once; return its response once the headers have arrived."""
        # The decode that follows a prefill has the same id; without an id, any response
        # without one would match.
        reuse = bool(call.id) and not instructions.prefill_only
        streams = call.metadata.prompt is not None and not instructions.prefill_only
        attempt = SendAttempt(
            call.id,
            partial(call.may_send, endpoint),
            reuse,
            STREAM_READ_AHEAD_BYTES if streams else READ_AHEAD_BYTES,
        )
        headers = self.adapter.request_headers(call.headers, instructions)
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                response = await self.client.request(
                    endpoint.address,
                    call.method,
                    call.target,
                    headers,
                    call.body,
                    attempt,
                )
        except NOT_CONNECTED_ERRORS as error:
            return Err(AttemptFailure(FailureKind.NOT_SENT, describe(error)))
        except TimeoutError as error:
            kind = FailureKind.LATE if attempt.sent else FailureKind.NOT_SENT
            return Err(AttemptFailure(kind, describe(error)))
        except (aiohttp.ClientError, OSError) as error:
            kind = FailureKind.LOST if attempt.sent else FailureKind.NOT_SENT
            return Err(AttemptFailure(kind, describe(error)))
        return self._to_result(response)

    async def control(
        self, endpoint: Endpoint, call: ControlCall, timeout_s: float
    ) -> Result[ControlResponse, AttemptFailure]:
        """Make a control call, which runs no request."""
        try:
            return Ok(await self.client.call(endpoint.address, call, timeout_s))
        except CALL_ERRORS as error:
            return Err(AttemptFailure(FailureKind.LOST, describe(error)))

    def _to_result(
        self, response: aiohttp.ClientResponse
    ) -> Result[EndpointResponse, AttemptFailure]:
        metadata = self.adapter.read_answer(response.status, response.headers)
        if not metadata.ran:
            # The body has no more information. After a short one the connection can
            # be reused.
            response.release()
            reason = f"status {response.status}"
            return Err(AttemptFailure(FailureKind.REJECTED, reason, metadata))
        headers = [(str(name), str(value)) for name, value in response.headers.items()]
        return Ok(
            EndpointResponse(
                response.status,
                headers,
                metadata,
                body_of(response),
                response.close,
            )
        )
