"""Verdicts on whether a failed request may have run, and the table of refusals."""

from dataclasses import dataclass, replace
from enum import Enum


class Verdict(Enum):
    """What is known about the execution of a request that failed.

    Only the component that controls the last step before execution may report
    `NOT_RUN`; in any doubt the verdict is `MAY_HAVE_RUN`.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


_BY_SEVERITY = tuple(Verdict)


def combine_verdicts(first: Verdict, second: Verdict) -> Verdict:
    """Return the more severe verdict: `RAN` over `MAY_HAVE_RUN` over `NOT_RUN`."""
    return max(first, second, key=_BY_SEVERITY.index)


@dataclass(frozen=True, slots=True)
class Refusal:
    """A typed failure of one request.

    Attributes:
        code: stable, documented name of the failure.
        status: HTTP status for the caller.
        verdict: whether the request may have run.
        message: one sentence for the caller.
        retry_after: seconds after which a retry makes sense; None if never.
    """

    code: str
    status: int
    verdict: Verdict
    message: str
    retry_after: float | None = None

    def with_changes(
        self,
        message: str | None = None,
        verdict: Verdict | None = None,
        retry_after: float | None = None,
    ) -> "Refusal":
        """Return a copy with a more exact message, verdict or `retry_after`."""
        return replace(
            self,
            message=message or self.message,
            verdict=verdict or self.verdict,
            retry_after=self.retry_after if retry_after is None else retry_after,
        )


def _row(
    code: str,
    status: int,
    message: str,
    retry_after: float | None = None,
    verdict: Verdict = Verdict.NOT_RUN,
) -> tuple[str, Refusal]:
    return code, Refusal(code, status, verdict, message, retry_after)


_MAYBE = Verdict.MAY_HAVE_RUN

# One row for each failure that a caller can receive, as in
# docs/operators/refusals.md.
REFUSALS: dict[str, Refusal] = dict(
    [
        _row("key_missing", 401, "The request has no key."),
        _row("key_unknown", 401, "The key is not known."),
        _row("key_withdrawn", 401, "The key was withdrawn."),
        _row("route_unknown", 404, "No route serves this method, path or model."),
        _row("method_not_allowed", 405, "The route does not take this method."),
        _row("body_invalid", 400, "The body could not be understood."),
        _row("body_too_large", 413, "The body is larger than the limit."),
        _row("headers_too_large", 431, "The headers are larger than the limit."),
        _row("read_timeout", 408, "The body did not arrive in time.", 1.0),
        _row(
            "path_invalid",
            400,
            "The path does not start with '/', or it contains a dot segment, '//', a "
            "backslash, an encoded slash, backslash or NUL, a blank or a control "
            "character.",
        ),
        _row("prompt_too_long", 400, "Prompt and answer exceed the route's limit."),
        _row("rate_exceeded", 429, "The workspace's rate is used up.", 1.0),
        _row("rate_unknown", 503, "The workspace's rate could not be checked.", 1.0),
        _row("rate_impossible", 400, "The request costs more than the burst."),
        _row("overloaded", 503, "All endpoints are full.", 1.0),
        _row("no_endpoint", 503, "No endpoint serves this route now.", 2.0),
        _row(
            "zone_evacuated",
            503,
            "All endpoints that serve this route are in evacuated zones.",
            2.0,
        ),
        _row(
            "no_endpoint_in_region",
            503,
            "No endpoint serves this route in its home regions.",
            2.0,
        ),
        _row(
            "stream_unknown",
            503,
            "It is not known which software version began this stream.",
            1.0,
        ),
        _row(
            "software_gone",
            503,
            "No endpoint runs the software version that began this stream.",
            2.0,
        ),
        _row("endpoint_down", 503, "The endpoint could not be reached.", 1.0),
        _row("endpoint_failed", 502, "The endpoint failed.", None, _MAYBE),
        _row("resume_unsupported", 502, "The engine can't resume an answer."),
        _row(
            "agent_lost", 502, "The endpoint's agent stopped answering.", None, _MAYBE
        ),
        _row("deadline_exceeded", 504, "The deadline passed.", None, _MAYBE),
        _row("deadline_infeasible", 503, "The deadline could not be met.", 1.0),
        _row("not_started", 503, "No endpoint could start the request in time.", 1.0),
        _row(
            "configuration_old",
            503,
            "The entry could not confirm that its configuration is current.",
            1.0,
        ),
        _row(
            "crashes_endpoints",
            503,
            "Earlier runs of this request crashed endpoints.",
            60.0,
        ),
        _row(
            "prompt_part_crashes_endpoints",
            503,
            "Requests with a part of this prompt crashed endpoints.",
            60.0,
        ),
        _row("answer_broken", 502, "The endpoint gave no whole answer.", None, _MAYBE),
        _row("stopping", 503, "This instance is stopping.", 0.0),
        _row("starting", 503, "This instance has no configuration yet.", 1.0),
        _row("quarantined", 422, "Earlier runs of this request crashed endpoints."),
        _row(
            "ticket_required",
            428,
            "Ask for a ticket with POST /tickets/<path> and send it as the "
            "Idempotency-Key header.",
        ),
        _row("ticket_invalid", 400, "The ticket was not issued for this request."),
        _row("ticket_void", 409, "The ticket was closed before anything ran."),
        _row(
            "outcome_unknown",
            409,
            "The answer of the first attempt is lost.",
            None,
            _MAYBE,
        ),
        _row(
            "answer_forgotten",
            409,
            "The request ran; its answer is no longer stored.",
            None,
            Verdict.RAN,
        ),
        _row(
            "ticket_lost",
            409,
            "The process that issued the ticket has ended; the outcome is unknown.",
            None,
            _MAYBE,
        ),
        _row(
            "in_progress",
            409,
            "A request with this idempotency key is still in progress.",
            1.0,
            _MAYBE,
        ),
        _row("key_reused", 422, "The idempotency key was used for another request."),
        _row("cancelled", 499, "The caller disconnected.", None, _MAYBE),
        _row("internal", 500, "An internal error occurred.", None, _MAYBE),
    ]
)


def refuse(code: str, **changes: object) -> Refusal:
    """Return the refusal with this code, changed as by `Refusal.with_changes`.

    Raises:
        KeyError: the code is not in the table; this is a bug.
    """
    return REFUSALS[code].with_changes(**changes)  # type: ignore[arg-type]
