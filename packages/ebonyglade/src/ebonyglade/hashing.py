"""Hashes over several parts; different divisions into parts hash differently."""

import hashlib
from collections.abc import Iterable


def hexdigest(parts: Iterable[bytes], size: int) -> str:
    """Return the SHA-256 hash of the parts, each prefixed with its length.

    Args:
        parts: parts in order.
        size: length of the hash in bytes, at most 32.
    """
    hasher = hashlib.sha256()
    for part in parts:
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.digest()[:size].hex()
