"""What the product asks of the adapter to a platform.

An adapter is a module with these names. It translates and decides nothing. Its
decoders raise `ValueError` for what can't be read.
"""

from collections.abc import Iterable, Mapping
from importlib import import_module
from typing import Protocol

from ebonyglade.errors import UserError
from ebonyglade.forward.types import (
    AnswerFacts,
    ControlCall,
    Endpoint,
    EngineReport,
    Headers,
    Outgoing,
    Page,
    Prefilled,
    Published,
    RequestFacts,
    Stage,
)


class Adapter(Protocol):
    """Names, formats and calls of one platform.

    Attributes:
        CONFIGURATION: path of the operator's configuration in the store.
        ENDPOINTS: start of the paths of the endpoints' entries.
        READY_PATH: where the balancer asks whether an entry is ready.
        REQUEST_ID: header that carries the id of a request, and of the answer to it.
    """

    CONFIGURATION: str
    ENDPOINTS: str
    READY_PATH: str
    REQUEST_ID: str

    def range_call(self, prefix: str, after: str = "") -> ControlCall:
        """Return the call that reads a page of the store."""
        ...

    def watch_call(self, prefix: str, after: int, wait_s: float) -> ControlCall:
        """Return the call that waits for changes of the store."""
        ...

    def decode_page(self, body: bytes) -> Page:
        """Return a page of the store."""
        ...

    def decode_watch(self, body: bytes) -> Page:
        """Return changes of the store."""
        ...

    def decode_published(self, value: bytes) -> Published:
        """Return the configuration in a document."""
        ...

    def decode_endpoint(self, endpoint: str, value: bytes) -> Endpoint:
        """Return the endpoint in a document."""
        ...

    def read_request(self, headers: Mapping[str, str]) -> RequestFacts:
        """Return what a caller's headers say."""
        ...

    def request_headers(
        self, headers: Iterable[tuple[str, str]], out: Outgoing
    ) -> Headers:
        """Return the headers for an endpoint."""
        ...

    def read_answer(self, status: int, headers: Mapping[str, str]) -> AnswerFacts:
        """Return what an endpoint's headers say."""
        ...

    def response_headers(self, headers: Iterable[tuple[str, str]]) -> Headers:
        """Return the headers for a caller."""
        ...

    def hold_call(self, tokens: int, seconds: float) -> ControlCall:
        """Return the call that reserves a slot and memory."""
        ...

    def decode_hold(self, body: bytes) -> str:
        """Return the name of a reservation."""
        ...

    def drop_hold_call(self, hold: str) -> ControlCall:
        """Return the call that gives a reservation back."""
        ...

    def decode_prefilled(self, body: bytes) -> Prefilled:
        """Return what a prefill left behind."""
        ...

    def free_call(self, handle: str) -> ControlCall:
        """Return the call that frees a prefilled prompt."""
        ...

    def report_call(self) -> ControlCall:
        """Return the call for a model endpoint's state."""
        ...

    def decode_report(self, body: bytes) -> EngineReport:
        """Return a model endpoint's state."""
        ...

    def stage_call(
        self, stage: Stage, holder: str, fence: int, orders: int
    ) -> ControlCall:
        """Return the order that changes a model endpoint's stage."""
        ...


def load_adapter(module: str) -> Adapter:
    """Return the adapter that the settings name.

    Raises:
        UserError: there is no such module.
    """
    try:
        return import_module(module)
    except ImportError as error:
        raise UserError(f"adapter {module}: {error}") from error
