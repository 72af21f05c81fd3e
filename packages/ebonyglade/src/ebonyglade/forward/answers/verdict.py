"""Verdict on an endpoint's response: whose answer it is, and what it claims.

A faulty endpoint may send bytes that look like a response. The table is on the page
docs/design/answers.md.
"""

from enum import Enum
from http import HTTPStatus

from ebonyglade.forward.types import ResponseMetadata

# A caller that gets one of these may send its request again: it never ran.
PROMISES_NOT_RUN = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)


class AnswerVerdict(Enum):
    """What the headers of a response prove; the values are for logs and counters."""

    ANSWER = "answer"  # it is passed on
    NOT_SIGNED = "not_signed"  # no endpoint has signed it
    NOT_STATED = (
        "not_stated"  # a status that promises "not run", without that statement
    )


def judge_answer(status: int, metadata: ResponseMetadata) -> AnswerVerdict:
    """Judge the response to a request that an endpoint was to run.

    A response that states that the request was not run is not judged here.

    Args:
        status: HTTP status of the response.
        metadata: its parsed headers.
    """
    if status in PROMISES_NOT_RUN:
        return AnswerVerdict.NOT_STATED
    if not metadata.signed:
        return AnswerVerdict.NOT_SIGNED
    return AnswerVerdict.ANSWER
