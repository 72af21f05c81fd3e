"""HTTP headers that apply to a single connection only (RFC 9110, 7.6.1)."""

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


def without_headers(
    headers: Iterable[tuple[str, str]], dropped: frozenset[str]
) -> list[tuple[str, str]]:
    """Return headers except the dropped ones and those that `Connection` names.

    Args:
        headers: names and values.
        dropped: names to drop, in lower case.
    """
    # msgspec does not encode the string subclasses of the HTTP library.
    pairs = [(str(name), str(value)) for name, value in headers]
    connection_options = {
        name.strip().lower()
        for key, value in pairs
        if key.lower() == "connection"
        for name in value.split(",")
    }
    return [
        pair for pair in pairs if pair[0].lower() not in dropped | connection_options
    ]
