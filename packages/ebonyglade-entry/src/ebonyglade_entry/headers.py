"""Selects the headers that are passed between callers and endpoints."""

from collections.abc import Iterable

from ebonyglade.calls import Headers
from ebonyglade.http_headers import HOP_BY_HOP, without_headers

CREDENTIALS = frozenset({"authorization"})
FRAMING = frozenset({"content-length", "host", "expect"})


def for_endpoint(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return those of a caller's headers that are sent to an endpoint."""
    return without_headers(headers, HOP_BY_HOP | CREDENTIALS | FRAMING)


def for_caller(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return those of an endpoint's headers that are sent to a caller."""
    return without_headers(headers, HOP_BY_HOP | FRAMING)


def bearer_token(value: str) -> str:
    """Return the bearer token of an `Authorization` header; "" if there is none."""
    scheme, _, token = value.strip().partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""
