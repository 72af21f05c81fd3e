"""Rejects request paths that an endpoint could interpret in another way.

An endpoint may normalize dot segments, encoded slashes or doubled slashes itself.
A request could then reach a path that belongs to another route and bypass that
route's checks.
"""

import re

_AMBIGUOUS = re.compile(
    r"(?:^|/)(?:\.|%2e){1,2}(?:/|$)|//|\\|%2f|%5c|%00|[\x00-\x20\x7f]",
    re.IGNORECASE,
)


def is_unambiguous(target: str) -> bool:
    """Return whether the path of a request target has only one interpretation."""
    path = target.partition("?")[0]
    return path.startswith("/") and not _AMBIGUOUS.search(path)
