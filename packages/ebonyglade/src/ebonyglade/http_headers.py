"""Which HTTP headers concern one connection only (RFC 9110, 7.6.1)."""

from collections.abc import Iterable

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


def without(
    headers: Iterable[tuple[str, str]], dropped: frozenset[str]
) -> list[tuple[str, str]]:
    """Return headers without some, and without those that `Connection` names.

    Args:
        headers: names and values.
        dropped: names in lower case.
    """
    # The HTTP library's own string types are not known to the codec.
    pairs = [(str(name), str(value)) for name, value in headers]
    named = {
        name.strip().lower()
        for key, value in pairs
        if key.lower() == "connection"
        for name in value.split(",")
    }
    return [pair for pair in pairs if pair[0].lower() not in dropped | named]
