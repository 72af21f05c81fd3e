"""Fingerprints that identify requests without holding their text."""

from ebonyglade.calls import Call
from ebonyglade.hashing import hexdigest

FINGERPRINT_BYTES = 16


def fingerprint(call: Call) -> str:
    """Return a hash that is equal for repeats of a request."""
    return hexdigest(_parts(call), FINGERPRINT_BYTES)


def _parts(call: Call) -> tuple[bytes, ...]:
    workspace = call.workspace.encode()
    if call.prompt is not None:
        return workspace, call.prompt.model.encode(), call.prompt.text.encode()
    return workspace, call.method.encode(), call.path.encode(), call.body
