"""Answers of engines and services that agents read over HTTP."""

import pytest

from ebonyglade.ports import EngineError
from ebonyglade_agent.engine import HttpService, new_session
from ebonyglade_lab.standins.server import StandIn
from helpers.scripted_answers import ScriptedAnswer, framings


class ScriptedEndpoint(StandIn):
    """Gives one scripted answer to every request."""

    def __init__(self, answer):
        super().__init__()
        self.answer = answer
        self.app.router.add_route("*", "/{path:.*}", self._serve)

    async def _serve(self, request):
        await self.answer.send(request, {})


async def call_service(answer):
    async with ScriptedEndpoint(answer) as endpoint, new_session() as session:
        service = HttpService(endpoint.url, session)
        return await service.call("GET", "/", [], b"", lambda: True)


@framings
async def test_a_whole_answer_of_a_service_is_returned(framing):
    reply = await call_service(ScriptedAnswer(framing, (b"a", b"b")))
    assert (reply.status, reply.body) == (200, b"ab")


# Without a length or chunks, a connection that ends in a reset looks like the end.
@framings
async def test_an_answer_of_a_service_that_is_reset_is_not_whole(framing):
    with pytest.raises(EngineError) as raised:
        await call_service(ScriptedAnswer(framing, (b"a", b"b"), end="reset"))
    assert raised.value.may_have_run
