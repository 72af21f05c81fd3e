"""Which request targets are taken; others could mean two things.

An endpoint may resolve dot segments, encoded slashes or doubled slashes in its
own way, and so reach a path that another route guards.
"""

import re

_AMBIGUOUS = re.compile(
    r"(?:^|/)(?:\.|%2e){1,2}(?:/|$)|//|\\|%2f|%5c|%00|[\x00-\x20\x7f]",
    re.IGNORECASE,
)


def is_plain(target: str) -> bool:
    """Return whether a request target's path means the same to everybody."""
    path = target.partition("?")[0]
    return path.startswith("/") and not _AMBIGUOUS.search(path)
