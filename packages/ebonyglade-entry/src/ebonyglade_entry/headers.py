"""Headers between callers and services: what passes and what stays."""

from collections.abc import Iterable

from ebonyglade.calls import Headers

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
PRIVATE = frozenset({"authorization"})
FRAMING = frozenset({"content-length", "host", "expect"})


def passed_on(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return a caller's headers that an endpoint may see."""
    return _without(headers, HOP_BY_HOP | PRIVATE | FRAMING)


def passed_back(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return an endpoint's headers that a caller may see."""
    return _without(headers, HOP_BY_HOP | FRAMING)


def bearer(value: str) -> str:
    """Return the key in an `Authorization` header; "" if there is none."""
    scheme, _, key = value.strip().partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _without(headers: Iterable[tuple[str, str]], dropped: frozenset[str]) -> Headers:
    # The HTTP library's own string types are not known to the codec.
    pairs = [(str(key), str(value)) for key, value in headers]
    named = {
        name.strip().lower()
        for key, value in pairs
        if key.lower() == "connection"
        for name in value.split(",")
    }
    return [(key, value) for key, value in pairs if key.lower() not in dropped | named]
