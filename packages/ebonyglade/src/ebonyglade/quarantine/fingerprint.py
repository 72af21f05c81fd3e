"""Fingerprints of requests, which hold nothing of their text."""

import hashlib

from ebonyglade.calls import Call

FINGERPRINT_CHARS = 32


def fingerprint(call: Call) -> str:
    """Return what repeats of a request have in common."""
    hashed = hashlib.sha256()
    for part in _parts(call):
        hashed.update(len(part).to_bytes(8, "big"))
        hashed.update(part)
    return hashed.hexdigest()[:FINGERPRINT_CHARS]


def _parts(call: Call) -> tuple[bytes, ...]:
    workspace = call.workspace.encode()
    if call.prompt is not None:
        return workspace, call.prompt.model.encode(), call.prompt.text.encode()
    return workspace, call.method.encode(), call.path.encode(), call.body
