"""Interface of the adapter to a platform.

An adapter is a module with the names of `Adapter`. It only translates and makes no
decisions. Its decoders raise `ValueError` for invalid input.
"""

from collections.abc import Iterable, Mapping
from importlib import import_module
from typing import Protocol

from ebonyglade.errors import UserError
from ebonyglade.forward.types import (
    ControlCall,
    ControlResponse,
    Endpoint,
    EndpointInstructions,
    EngineReport,
    Headers,
    Prefilled,
    PublishedConfiguration,
    RequestMetadata,
    ResponseMetadata,
    Stage,
    StorePage,
)


class Adapter(Protocol):
    """Names, formats and calls of one platform.

    Attributes:
        CONFIGURATION: path of the operator's configuration in the store.
        ENDPOINTS: path prefix of the endpoints' documents.
        EVACUATIONS: path prefix of the documents that evacuate a zone; the rest of the
            path is the zone.
        READY_PATH: path of the load balancer's readiness check.
        REQUEST_ID: header that carries the id of a request and of its response.
    """

    CONFIGURATION: str
    ENDPOINTS: str
    EVACUATIONS: str
    READY_PATH: str
    REQUEST_ID: str

    def range_call(self, prefix: str, after: str = "") -> ControlCall:
        """Return the call that reads a page of the store."""
        ...

    def watch_call(self, prefix: str, after: int, wait_s: float) -> ControlCall:
        """Return the call that waits for changes in the store."""
        ...

    def decode_page(self, response: ControlResponse) -> StorePage:
        """Return the page of the store in a response."""
        ...

    def decode_watch(self, response: ControlResponse) -> StorePage:
        """Return the store's changes in a response."""
        ...

    def decode_published(self, value: bytes) -> PublishedConfiguration:
        """Return the configuration in a document."""
        ...

    def decode_endpoint(self, endpoint: str, value: bytes) -> Endpoint:
        """Return the endpoint in a document."""
        ...

    def read_request(self, headers: Mapping[str, str]) -> RequestMetadata:
        """Return the parsed headers of a caller's request."""
        ...

    def request_headers(
        self, headers: Iterable[tuple[str, str]], instructions: EndpointInstructions
    ) -> Headers:
        """Return the headers to send to an endpoint."""
        ...

    def read_answer(self, status: int, headers: Mapping[str, str]) -> ResponseMetadata:
        """Return the parsed headers of an endpoint's response."""
        ...

    def response_headers(self, headers: Iterable[tuple[str, str]]) -> Headers:
        """Return the headers to send to a caller."""
        ...

    def hold_call(self, tokens: int, seconds: float) -> ControlCall:
        """Return the call that reserves a slot and memory."""
        ...

    def decode_hold(self, body: bytes) -> str:
        """Return the id of the reservation in a response body."""
        ...

    def drop_hold_call(self, hold: str) -> ControlCall:
        """Return the call that releases a reservation."""
        ...

    def decode_prefilled(self, body: bytes) -> Prefilled:
        """Return the prefilled prompt in a response body."""
        ...

    def free_call(self, handle: str) -> ControlCall:
        """Return the call that frees a prefilled prompt."""
        ...

    def report_call(self) -> ControlCall:
        """Return the call that asks a model endpoint for its report."""
        ...

    def decode_report(self, body: bytes) -> EngineReport:
        """Return a model endpoint's report in a response body."""
        ...

    def stage_call(
        self, stage: Stage, holder: str, fence: int, orders: int
    ) -> ControlCall:
        """Return the call that orders a model endpoint to change its stage."""
        ...


def load_adapter(module: str) -> Adapter:
    """Import the adapter module that the settings name.

    Raises:
        UserError: the module can't be imported.
    """
    try:
        return import_module(module)
    except ImportError as error:
        raise UserError(f"adapter {module}: {error}") from error
