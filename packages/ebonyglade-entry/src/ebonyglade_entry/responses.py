"""Builds HTTP responses from endpoints' responses and from refusals."""

import math

from aiohttp import web

from ebonyglade.calls import CompleteAnswer
from ebonyglade.verdict import Refusal
from ebonyglade_entry import completions, headers

REQUEST_ID_HEADER = "X-Request-Id"
VERDICT_HEADER = "X-Ebonyglade-Verdict"
NO_BODY_STATUSES = frozenset({204, 304})


def refusal_response(refusal: Refusal, request_id: str) -> web.Response:
    """Return the error response for a refusal."""
    document = completions.error_body(refusal, request_id)
    response = web.json_response(document, status=refusal.status)
    response.headers[REQUEST_ID_HEADER] = request_id
    response.headers[VERDICT_HEADER] = refusal.verdict.value
    if refusal.retry_after is not None:
        response.headers["Retry-After"] = str(math.ceil(refusal.retry_after))
    if refusal.status == 401:
        response.headers["WWW-Authenticate"] = "Bearer"
    return response


def endpoint_response(endpoint_answer: CompleteAnswer, request_id: str) -> web.Response:
    """Return an endpoint's response with its body, status and headers."""
    body = None if endpoint_answer.status in NO_BODY_STATUSES else endpoint_answer.body
    response = web.Response(status=endpoint_answer.status, body=body)
    # Drop aiohttp's default, so that the endpoint's own Content-Type counts;
    # add() keeps repeated headers.
    response.headers.popall("Content-Type", None)
    for name, value in headers.for_caller(endpoint_answer.headers):
        response.headers.add(name, value)
    response.headers[REQUEST_ID_HEADER] = request_id
    return response


def event_stream_response(request_id: str) -> web.StreamResponse:
    """Return an unsent response for a stream of server-sent events."""
    return web.StreamResponse(
        headers={
            "Content-Type": "text/event-stream",
            "Cache-Control": "no-store",
            REQUEST_ID_HEADER: request_id,
        }
    )
