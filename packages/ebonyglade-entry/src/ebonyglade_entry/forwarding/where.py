"""Query and answer of `GET /where`, which explains where a request would be sent."""

from collections.abc import Mapping

from pydantic import BaseModel, ConfigDict, Field

from ebonyglade.forward.call import ForwardCall
from ebonyglade.forward.types import PromptSize, RequestMetadata


class WhereQuery(BaseModel):
    """A request that is to be explained.

    Attributes:
        host: value of its Host header.
        path: its path and query.
        workspace: name of its workspace; "" for none.
        method: HTTP method.
        body_bytes: size of its body.
        prompt_tokens: tokens of its prompt; 0 for a plain request.
        answer_tokens: expected tokens of its answer.
    """

    model_config = ConfigDict(extra="forbid")

    host: str
    path: str = "/"
    workspace: str = ""
    method: str = "GET"
    body_bytes: int = Field(default=0, ge=0)
    prompt_tokens: int = Field(default=0, ge=0)
    answer_tokens: int = Field(default=0, ge=0)

    def call(self, now: float) -> ForwardCall:
        """Return the request as if it had arrived now."""
        prompt = None
        if self.prompt_tokens:
            tokens = self.answer_tokens
            prompt = PromptSize("", self.prompt_tokens, tokens, tokens or None)
        return ForwardCall(
            metadata=RequestMetadata("", None, "", prompt),
            method=self.method,
            target=self.path,
            host=self.host,
            headers=[],
            body=bytes(self.body_bytes),
            arrived_at=now,
        )


def format_explanation(document: Mapping) -> str:
    """Return the answer of `GET /where` as text, one line for each endpoint."""
    if document["refusal"]:
        return f"refused: {document['refusal']}"
    regions = document["home_regions"]
    age_s = document["store_age_s"]
    lines = [
        f"route {document['route']}  workspace {document['workspace'] or 'none'}  "
        f"service {document['service']}  stage {document['stage'] or 'none'}  "
        f"home regions {'any' if regions is None else ','.join(regions) or 'none'}  "
        f"store age {_seconds(age_s)}"
    ]
    lines += [_format_endpoint(row) for row in document["endpoints"]]
    if document["stage"]:
        lines.append("the decode endpoint depends on reserved memory; not explained")
    lines.append(f"chosen: {document['chosen'] or 'none'}")
    return "\n".join(lines)


def _format_endpoint(row: Mapping) -> str:
    parts = [f"{row['id']}  zone {row['zone']}"]
    if row["left_out"]:
        parts.append(f"left out: {row['left_out']}")
    if row["usable_in_s"]:
        parts.append(f"usable in {_seconds(row['usable_in_s'])}")
    if row["cold_left_s"]:
        parts.append(f"cold for {_seconds(row['cold_left_s'])}")
    if row["limit_per_s"] is not None:
        parts.append(f"limit {row['limit_per_s']:.1f}/s")
    if row["figures"]:
        parts.append(_format_figures(row["figures"]))
    return "  ".join(parts)


def _format_figures(figures: Mapping) -> str:
    stated = figures["stated_slowness"]
    stated_text = "never" if stated is None else f"{stated:.2f}"
    return (
        f"in flight {figures['in_flight']} (work {figures['work']:.2f})  "
        f"others {figures['others']:.2f} (age {_seconds(figures['others_age_s'])})  "
        f"slowness {figures['slowness']:.2f} (stated {stated_text}, "
        f"age {_seconds(figures['stated_slowness_age_s'])}; "
        f"learned {figures['learned_slowness']:.2f}, "
        f"age {_seconds(figures['learned_slowness_age_s'])})  "
        f"expected wait {_seconds(figures['expected_wait_s'])}  "
        f"failure rate {figures['failure_rate']:.2f} "
        f"(age {_seconds(figures['failure_rate_age_s'])})"
    )


def _seconds(value: float | None) -> str:
    return "unknown" if value is None else f"{value:.3f} s"
