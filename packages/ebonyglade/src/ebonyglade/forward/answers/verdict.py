"""Verdict on an endpoint's response: whose answer it is, and what it claims.

A faulty endpoint may send bytes that look like a response. The table is on the page
docs/design/answers.md.
"""

from enum import Enum

from ebonyglade.forward.types import ResponseMetadata


class AnswerVerdict(Enum):
    """What the headers of a response prove; the values are for logs and counters."""

    ANSWER = "answer"  # it is passed on
    NOT_SIGNED = "not_signed"  # a success that no endpoint has signed


def judge_answer(status: int, metadata: ResponseMetadata) -> AnswerVerdict:
    """Judge the response to a request that an endpoint was to run.

    Args:
        status: HTTP status of the response.
        metadata: its parsed headers.
    """
    if 200 <= status < 300 and not metadata.signed:
        return AnswerVerdict.NOT_SIGNED
    return AnswerVerdict.ANSWER
