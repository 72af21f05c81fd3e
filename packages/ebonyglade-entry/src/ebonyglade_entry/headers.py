"""Headers between callers and services: what passes and what stays."""

from collections.abc import Iterable

from ebonyglade.calls import Headers
from ebonyglade.http_headers import HOP_BY_HOP, without

PRIVATE = frozenset({"authorization"})
FRAMING = frozenset({"content-length", "host", "expect"})


def passed_on(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return a caller's headers that an endpoint may see."""
    return without(headers, HOP_BY_HOP | PRIVATE | FRAMING)


def passed_back(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return an endpoint's headers that a caller may see."""
    return without(headers, HOP_BY_HOP | FRAMING)


def bearer(value: str) -> str:
    """Return the key in an `Authorization` header; "" if there is none."""
    scheme, _, key = value.strip().partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""
