"""Models of the documents that operators publish.

Each path holds one TOML document. The first parts of the path choose the model:

    teams/<team>/workspaces/<workspace>
    teams/<team>/keys/<key>
    teams/<team>/routes/<route>
    platform/instances/<instance>
"""

import re
import tomllib
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator
from result import Err, Ok, Result

MAX_VALUE_BYTES = 1024 * 1024
MAX_REPORTED_ERRORS = 5  # validation errors of one document
# More than eight dotted parts in a row, in a key or anywhere else in the text,
# e.g. in a string. Such a text is rejected before parsing, as the time of the TOML
# parser grows with the square of the number of parts of a key.
_MANY_DOTTED_PARTS = re.compile(
    r"""(?<![\w"'-])(?:(?:[\w-]+|"[^"\n]*"|'[^'\n]*')[ \t]*\.[ \t]*){8}"""
)
DEFAULT_DEADLINE_S = 60.0
DEFAULT_FIRST_TOKEN_S = 0.64
DEFAULT_BETWEEN_TOKENS_S = 0.048


class Document(BaseModel):
    """Fields that all documents have: the author of the last change, and a note.

    Attributes:
        author: who made the last change; shown by `explain` and `audit`.
        note: free text.
    """

    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)

    author: str = ""
    note: str = ""


class Workspace(Document):
    """A workspace: its rate and burst in tokens, and its fair-share weight.

    Attributes:
        rate: tokens a second over the whole fleet.
        burst: most tokens at once over the whole fleet.
        weight: share under overload relative to other workspaces.
    """

    rate: float = Field(gt=0)
    burst: float = Field(gt=0)
    weight: float = Field(default=1.0, gt=0)


class Key(Document):
    """A caller's key, which belongs to one workspace of its team.

    Attributes:
        digest: SHA-256 digest of the key's text, in hexadecimal.
        workspace: the workspace, without its team.
        withdrawn: whether the key no longer works.
    """

    digest: str
    workspace: str
    withdrawn: bool = False

    @field_validator("digest")
    @classmethod
    def _is_digest(cls, value: str) -> str:
        if not re.fullmatch(r"[0-9a-f]{64}", value):
            raise ValueError("must be 64 lower-case hexadecimal digits")
        return value


class Route(Document):
    """A route to a pool of endpoints.

    Attributes:
        kind: "model" for prefill and decode, "service" for plain HTTP.
        pool: pool of endpoints that serves the route.
        model: name that callers use for a model route.
        path: path prefix of a service route.
        methods: methods that a service route takes.
        repeatable: methods that may run more than once.
        open: whether the route needs no key.
        shared_with: other teams whose workspaces may use the route.
        patient: whether callers accept waiting rather than a refusal.
        priority: smaller is sooner.
        deadline_s: seconds in which a request must be answered.
        first_token_s: target for the first token, seconds.
        between_tokens_s: target between tokens, seconds.
        max_prompt_tokens: longest prompt.
        max_output_tokens: longest answer, and the default of a request.
        cost: tokens that one call of a service route is charged.
    """

    kind: Literal["model", "service"]
    pool: str
    model: str = ""
    path: str = ""
    methods: frozenset[str] = frozenset({"GET"})
    repeatable: frozenset[str] = frozenset({"GET", "HEAD", "OPTIONS"})
    open: bool = False
    shared_with: frozenset[str] = frozenset()
    patient: bool = False
    priority: int = 0
    deadline_s: float = Field(default=DEFAULT_DEADLINE_S, gt=0)
    first_token_s: float = Field(default=DEFAULT_FIRST_TOKEN_S, gt=0)
    between_tokens_s: float = Field(default=DEFAULT_BETWEEN_TOKENS_S, gt=0)
    max_prompt_tokens: int = Field(default=32768, gt=0)
    max_output_tokens: int = Field(default=1024, gt=0)
    cost: float = Field(default=1.0, ge=0)


class Instance(Document):
    """One entry or agent as the platform lists it.

    Attributes:
        role: "entry" or "agent".
        address: where the instance takes messages from other instances.
        zone: availability zone.
        region: region of the zone.
        state: "live", or "leaving" once it takes no new work.
        pool: pool that an agent's endpoint belongs to.
        stage: what an agent's endpoint does.
        slots: most jobs that an agent's endpoint takes at once.
    """

    role: Literal["entry", "agent"]
    address: str
    zone: str
    region: str = ""
    state: Literal["live", "leaving"] = "live"
    pool: str = ""
    stage: Literal["", "prefill", "decode", "service"] = ""
    slots: int = Field(default=20, gt=0)


_DOCUMENT_TYPES: tuple[tuple[re.Pattern[str], type[Document]], ...] = (
    (re.compile(r"teams/[^/]+/workspaces/[^/]+"), Workspace),
    (re.compile(r"teams/[^/]+/keys/[^/]+"), Key),
    (re.compile(r"teams/[^/]+/routes/[^/]+"), Route),
    (re.compile(r"platform/instances/[^/]+"), Instance),
)


def document_types() -> list[tuple[str, type[Document]]]:
    """Return the pattern of each kind of path with the model of its documents."""
    described = [(pattern.pattern, model) for pattern, model in _DOCUMENT_TYPES]
    return [(text.replace("[^/]+", "NAME"), model) for text, model in described]


def parse_document(path: str, text: str) -> Result[Document, str]:
    """Return the document at a path, or why and on which line it is invalid.

    Never raises an error, whatever the text is, since a published value must never
    crash the process.
    """
    model = _model_of(path)
    if model is None:
        return Err("no document type has a path of this form")
    if len(text) > MAX_VALUE_BYTES or len(text.encode()) > MAX_VALUE_BYTES:
        return Err(f"the document is larger than {MAX_VALUE_BYTES} bytes")
    if _MANY_DOTTED_PARTS.search(text):
        return Err("more than 8 dotted parts in a row, as in a key")
    try:
        return Ok(model.model_validate(tomllib.loads(text)))
    except tomllib.TOMLDecodeError as error:
        return Err(f"not valid TOML: {error}")
    except ValidationError as error:
        return Err(
            "; ".join(
                _describe_error(item, text)
                for item in error.errors()[:MAX_REPORTED_ERRORS]
            )
        )
    except RecursionError:
        return Err("the document is nested too deeply")
    except (ValueError, OverflowError) as error:
        # Raised for numbers with thousands of digits.
        return Err(f"a number is too large: {error}")


def _model_of(path: str) -> type[Document] | None:
    for pattern, model in _DOCUMENT_TYPES:
        if pattern.fullmatch(path):
            return model
    return None


def _describe_error(item: dict, text: str) -> str:
    name = ".".join(str(part) for part in item["loc"])
    line = line_of(name, text)
    place = f"line {line}: " if line else ""
    return f"{place}{name}: {item['msg']}"


def line_of(name: str, text: str) -> int:
    """Return the number of the line that sets a field in a TOML text, or zero."""
    first = name.split(".")[0]
    for number, line in enumerate(text.splitlines(), 1):
        if line.strip().startswith(first):
            return number
    return 0
