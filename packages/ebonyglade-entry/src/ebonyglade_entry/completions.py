"""Completion and chat-completion requests and their responses."""

import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from ebonyglade.calls import Prompt
from ebonyglade.verdict import Refusal, refuse

BYTES_PER_TOKEN = 4  # for the estimate, until an engine has counted the tokens
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
class ApiFormat:
    """Request and response format of one API path.

    Attributes:
        body_model: model that the request body is validated against.
        id_prefix: prefix of response ids.
        full_object: value of `object` in a full response.
        chunk_object: value of `object` in a chunk of a streamed response.
        full_choice: returns the choice of a full response from its text.
        chunk_choice: returns the choice of a chunk from its text.
    """

    body_model: type[CompletionRequest] | type[ChatRequest]
    id_prefix: str
    full_object: str
    chunk_object: str
    full_choice: Callable[[str], dict]
    chunk_choice: Callable[[str], dict]


API_FORMATS = {
    "/v1/completions": ApiFormat(
        CompletionRequest,
        "cmpl-",
        "text_completion",
        "text_completion",
        lambda text: {"text": text},
        lambda text: {"text": text},
    ),
    "/v1/chat/completions": ApiFormat(
        ChatRequest,
        "chatcmpl-",
        "chat.completion",
        "chat.completion.chunk",
        lambda text: {"message": {"role": "assistant", "content": text}},
        lambda text: {"delta": {"content": text}},
    ),
}


@dataclass(frozen=True, slots=True)
class ParsedRequest:
    """The prompt of a request, and whether the response is streamed."""

    prompt: Prompt
    stream: bool


def parse_request(api_format: ApiFormat, body: bytes) -> Result[ParsedRequest, Refusal]:
    """Parse and validate a request body; return a refusal if it is invalid."""
    try:
        request = api_format.body_model.model_validate_json(body)
    except ValidationError as error:
        first = error.errors()[0]
        location = ".".join(str(part) for part in first["loc"]) or "body"
        return Err(refuse("body_invalid", message=f"{location}: {first['msg']}"))
    text = request.text()
    max_tokens = request.max_tokens or getattr(request, "max_completion_tokens", None)
    prompt = Prompt(request.model, text, estimate_tokens(text), max_tokens)
    return Ok(ParsedRequest(prompt, request.stream))


def estimate_tokens(text: str) -> int:
    """Estimate the tokens of a prompt, before an engine has counted them."""
    return -(-len(text.encode()) // BYTES_PER_TOKEN)


@dataclass(slots=True)
class ResponseWriter:
    """Writes one response in its API format."""

    api_format: ApiFormat
    request_id: str
    model: str

    def chunk_event(self, tokens: list[str]) -> bytes:
        """Return the server-sent event for a batch of tokens."""
        choice = {"index": 0, **self.api_format.chunk_choice("".join(tokens))}
        return self._event(choice, None)

    def final_events(self, reason: str) -> bytes:
        """Return the last events of a stream that is complete."""
        choice = {"index": 0, **self.api_format.chunk_choice("")}
        return self._event(choice, reason) + STREAM_END

    def full_response(
        self, text: str, prompt_tokens: int, tokens: int, reason: str
    ) -> dict:
        """Return a full response as a JSON object."""
        choice = {
            "index": 0,
            **self.api_format.full_choice(text),
            "finish_reason": reason,
        }
        usage = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": prompt_tokens + tokens,
        }
        return {
            **self._common_fields(self.api_format.full_object),
            "choices": [choice],
            "usage": usage,
        }

    def _event(self, choice: dict, reason: str | None) -> bytes:
        choice["finish_reason"] = reason
        document = {
            **self._common_fields(self.api_format.chunk_object),
            "choices": [choice],
        }
        return b"data: " + json.dumps(document).encode() + b"\n\n"

    def _common_fields(self, name: str) -> dict:
        return {
            "id": self.api_format.id_prefix + self.request_id,
            "object": name,
            "created": int(time.time()),
            "model": self.model,
        }


def error_body(refusal: Refusal, request_id: str) -> dict:
    """Return the JSON body that describes a refusal."""
    return {
        "error": {
            "code": refusal.code,
            "message": refusal.message,
            "verdict": refusal.verdict.value,
            "request_id": request_id,
        }
    }


def error_event(refusal: Refusal, request_id: str) -> bytes:
    """Return the server-sent event that reports the failure of a stream."""
    document = json.dumps(error_body(refusal, request_id)).encode()
    return b"event: error\ndata: " + document + b"\n\n"
