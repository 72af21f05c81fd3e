"""Completion and chat-completion requests and their answers."""

import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from ebonyglade.calls import Prompt
from ebonyglade.verdict import Refusal, refuse

BYTES_PER_TOKEN = 4  # for the estimate before an engine has counted
STREAM_END = b"data: [DONE]\n\n"


class _Request(BaseModel):
    model_config = ConfigDict(extra="ignore")

    model: str
    max_tokens: Annotated[int, Field(gt=0)] | None = None
    stream: bool = False


class CompletionRequest(_Request):
    """Body of a completion request."""

    prompt: str

    def text(self) -> str:
        """Return the prompt."""
        return self.prompt


class ChatMessage(BaseModel):
    """One message of a chat."""

    model_config = ConfigDict(extra="ignore")

    role: str
    content: str


class ChatRequest(_Request):
    """Body of a chat-completion request."""

    messages: Annotated[list[ChatMessage], Field(min_length=1)]
    max_completion_tokens: Annotated[int, Field(gt=0)] | None = None

    def text(self) -> str:
        """Return the messages as one prompt, roles included."""
        return "\n".join(f"{item.role}: {item.content}" for item in self.messages)


@dataclass(frozen=True, slots=True)
class Shape:
    """How one kind of request is read and answered.

    Attributes:
        model: what the body must be.
        prefix: prefix of answer ids.
        whole: name of a whole answer's object.
        part: name of a streamed part's object.
        choice: returns the choice of a whole answer from its text.
        delta: returns the choice of a streamed part from its text.
    """

    model: type[CompletionRequest] | type[ChatRequest]
    prefix: str
    whole: str
    part: str
    choice: Callable[[str], dict]
    delta: Callable[[str], dict]


SHAPES = {
    "/v1/completions": Shape(
        CompletionRequest,
        "cmpl-",
        "text_completion",
        "text_completion",
        lambda text: {"text": text},
        lambda text: {"text": text},
    ),
    "/v1/chat/completions": Shape(
        ChatRequest,
        "chatcmpl-",
        "chat.completion",
        "chat.completion.chunk",
        lambda text: {"message": {"role": "assistant", "content": text}},
        lambda text: {"delta": {"content": text}},
    ),
}


@dataclass(frozen=True, slots=True)
class Asked:
    """A request as understood: its prompt, and whether to stream."""

    prompt: Prompt
    stream: bool


def read(shape: Shape, body: bytes) -> Result[Asked, Refusal]:
    """Return what a body asks for, or why it is refused."""
    try:
        request = shape.model.model_validate_json(body)
    except ValidationError as error:
        first = error.errors()[0]
        place = ".".join(str(part) for part in first["loc"]) or "body"
        return Err(refuse("body_invalid", message=f"{place}: {first['msg']}"))
    text = request.text()
    most = request.max_tokens or getattr(request, "max_completion_tokens", None)
    prompt = Prompt(request.model, text, estimate_tokens(text), most)
    return Ok(Asked(prompt, request.stream))


def estimate_tokens(text: str) -> int:
    """Return a prompt's size in tokens before an engine has counted it."""
    return -(-len(text.encode()) // BYTES_PER_TOKEN)


@dataclass(slots=True)
class Writer:
    """Writes one answer in its shape."""

    shape: Shape
    request_id: str
    model: str

    def part(self, tokens: list[str]) -> bytes:
        """Return a server-sent event with some tokens."""
        choice = {"index": 0, **self.shape.delta("".join(tokens))}
        return self._event(choice, None)

    def finish(self, reason: str) -> bytes:
        """Return the last events of a whole stream."""
        choice = {"index": 0, **self.shape.delta("")}
        return self._event(choice, reason) + STREAM_END

    def whole(self, text: str, prompt_tokens: int, tokens: int, reason: str) -> dict:
        """Return a whole answer."""
        choice = {"index": 0, **self.shape.choice(text), "finish_reason": reason}
        usage = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": prompt_tokens + tokens,
        }
        return {**self._head(self.shape.whole), "choices": [choice], "usage": usage}

    def _event(self, choice: dict, reason: str | None) -> bytes:
        choice["finish_reason"] = reason
        document = {**self._head(self.shape.part), "choices": [choice]}
        return b"data: " + json.dumps(document).encode() + b"\n\n"

    def _head(self, name: str) -> dict:
        return {
            "id": self.shape.prefix + self.request_id,
            "object": name,
            "created": int(time.time()),
            "model": self.model,
        }


def failure(refusal: Refusal, request_id: str) -> dict:
    """Return the error body of a refusal."""
    return {
        "error": {
            "code": refusal.code,
            "message": refusal.message,
            "verdict": refusal.verdict.value,
            "request_id": request_id,
        }
    }


def failure_event(refusal: Refusal, request_id: str) -> bytes:
    """Return the server-sent event that marks a stream as failed."""
    document = json.dumps(failure(refusal, request_id)).encode()
    return b"event: error\ndata: " + document + b"\n\n"
