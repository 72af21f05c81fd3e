"""Sends requests to endpoints over HTTP; the port of the dispatchers."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp
from result import Err, Ok, Result

from ebonyglade.forward.adapter import Adapter
from ebonyglade.forward.call import (
    Answer,
    BrokenOff,
    Failure,
    ForwardCall,
    Trouble,
)
from ebonyglade.forward.types import ControlCall, Endpoint, Outgoing
from ebonyglade_node.endpoint_client import EndpointClient, NotSent, Sending

NOT_CONNECTED = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError, NotSent)


@dataclass(slots=True)
class HttpEndpointPort:
    """Speaks HTTP with endpoints, in the adapter's words."""

    adapter: Adapter
    client: EndpointClient

    async def send(
        self, call: ForwardCall, endpoint: Endpoint, out: Outgoing, within: float
    ) -> Result[Answer, Failure]:
        """Send a request once and return the head of its answer."""
        sending = Sending(call.id, call.may_send)
        headers = self.adapter.request_headers(call.headers, out)
        try:
            async with asyncio.timeout(max(0.0, within)):
                response = await self.client.request(
                    endpoint.address,
                    call.method,
                    call.target,
                    headers,
                    call.body,
                    sending,
                )
        except NOT_CONNECTED as error:
            return Err(Failure(Trouble.NOT_SENT, _reason(error)))
        except TimeoutError as error:
            trouble = Trouble.LATE if sending.sent else Trouble.NOT_SENT
            return Err(Failure(trouble, _reason(error)))
        except (aiohttp.ClientError, OSError) as error:
            trouble = Trouble.LOST if sending.sent else Trouble.NOT_SENT
            return Err(Failure(trouble, _reason(error)))
        return self._judged(response)

    async def control(
        self, endpoint: Endpoint, call: ControlCall, within: float
    ) -> Result[tuple[int, bytes], Failure]:
        """Make a call that runs no request."""
        try:
            return Ok(await self.client.call(endpoint.address, call, within))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Err(Failure(Trouble.LOST, _reason(error)))

    def _judged(self, response: aiohttp.ClientResponse) -> Result[Answer, Failure]:
        facts = self.adapter.read_answer(response.status, response.headers)
        if not facts.ran:
            # Its body says nothing more; a short one leaves the connection usable.
            response.release()
            return Err(Failure(Trouble.REJECTED, f"status {response.status}"))
        headers = [(str(name), str(value)) for name, value in response.headers.items()]
        return Ok(
            Answer(
                response.status,
                headers,
                facts,
                response.content_length,
                _chunks(response),
                response.close,
            )
        )


async def _chunks(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    try:
        async for chunk in response.content.iter_any():
            yield chunk
    except (aiohttp.ClientError, OSError) as error:
        raise BrokenOff(_reason(error)) from error
    response.release()


def _reason(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"[:200]
