"""HTTP responses from answers and refusals."""

import math

from aiohttp import web

from ebonyglade.calls import WholeAnswer
from ebonyglade.verdict import Refusal
from ebonyglade_entry import completions, headers

REQUEST_ID_HEADER = "X-Request-Id"
VERDICT_HEADER = "X-Ebonyglade-Verdict"
NO_BODY_STATUSES = frozenset({204, 304})


def refused(refusal: Refusal, request_id: str) -> web.Response:
    """Return the response of a refusal."""
    document = completions.failure(refusal, request_id)
    response = web.json_response(document, status=refusal.status)
    response.headers[REQUEST_ID_HEADER] = request_id
    response.headers[VERDICT_HEADER] = refusal.verdict.value
    if refusal.retry_after is not None:
        response.headers["Retry-After"] = str(math.ceil(refusal.retry_after))
    if refusal.status == 401:
        response.headers["WWW-Authenticate"] = "Bearer"
    return response


def passed_through(answer: WholeAnswer, request_id: str) -> web.Response:
    """Return an endpoint's answer with body, status and headers intact."""
    body = None if answer.status in NO_BODY_STATUSES else answer.body
    response = web.Response(status=answer.status, body=body)
    # An endpoint's own Content-Type replaces the default, repeated ones stay.
    response.headers.popall("Content-Type", None)
    for name, value in headers.passed_back(answer.headers):
        response.headers.add(name, value)
    response.headers[REQUEST_ID_HEADER] = request_id
    return response


def event_stream(request_id: str) -> web.StreamResponse:
    """Return the head of a stream of server-sent events."""
    return web.StreamResponse(
        headers={
            "Content-Type": "text/event-stream",
            "Cache-Control": "no-store",
            REQUEST_ID_HEADER: request_id,
        }
    )
