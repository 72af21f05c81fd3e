"""Hashes over several parts, which two different splits never share."""

import hashlib
from collections.abc import Iterable


def hexdigest(parts: Iterable[bytes], size: int) -> str:
    """Return the hash of some parts, each with its length before it.

    Args:
        parts: in order.
        size: bytes of the hash, at most 32.
    """
    hashed = hashlib.sha256()
    for part in parts:
        hashed.update(len(part).to_bytes(8, "big"))
        hashed.update(part)
    return hashed.digest()[:size].hex()
