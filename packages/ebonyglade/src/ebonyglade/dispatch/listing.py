"""Answers requests for the list of models that a caller may use."""

import json

from result import Err, Ok

from ebonyglade.calls import Call, CompleteAnswer, NextHandler, Reply
from ebonyglade.dispatch.filters import may_use
from ebonyglade.verdict import refuse

MODELS_PATH = "/v1/models"


async def list_models(call: Call, proceed: NextHandler) -> Reply:
    """Answer `GET /v1/models`, which client libraries call before prompting.

    A service route published under that path takes precedence.
    """
    if call.method != "GET" or call.path.partition("?")[0] != MODELS_PATH:
        return await proceed(call)
    if any(entry.route.path == MODELS_PATH for entry in call.view.services):
        return await proceed(call)
    names = sorted(
        name
        for name, routes in call.view.models.items()
        if any(may_use(call.owner, entry) for entry in routes)
    )
    if not names and call.owner is None:
        return Err(refuse("key_missing"))
    models = [{"id": name, "object": "model", "owned_by": ""} for name in names]
    body = json.dumps({"object": "list", "data": models}).encode()
    return Ok(CompleteAnswer(200, [("Content-Type", "application/json")], body))
