"""Requests under which endpoints crash, told by their repeats.

An endpoint that closes a connection without an answer may have crashed under the
request. A request whose repeats did so three times is refused; its entries tell
each other what they saw.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from ebonyglade.hashing import hexdigest

CRASHES_REFUSED = 3  # crashes after which a request is sent no more
REMEMBERED_S = 120.0
MOST_FINGERPRINTS = 4096
DIGEST_BYTES = 12


def fingerprint(workspace: str, method: str, target: str, body: bytes) -> str:
    """Return what the repeats of a request have in common."""
    parts = (workspace.encode(), method.encode(), target.encode(), body)
    return hexdigest(parts, DIGEST_BYTES)


@dataclass(slots=True)
class _Seen:
    at: float
    count: int = 0


@dataclass(slots=True)
class Crashes:
    """Crashes by fingerprint, seen here and told by other entries."""

    _own: OrderedDict[str, _Seen] = field(default_factory=OrderedDict)
    _told: dict[str, dict[str, int]] = field(default_factory=dict)

    def crashed(self, item: str, now: float) -> None:
        """Note that an endpoint may have crashed under a request."""
        seen = self._own.setdefault(item, _Seen(now))
        if now - seen.at > REMEMBERED_S:
            seen.count = 0
        seen.count += 1
        seen.at = now
        self._own.move_to_end(item)
        while len(self._own) > MOST_FINGERPRINTS:
            self._own.popitem(last=False)

    def worked(self, item: str) -> None:
        """Forget the crashes of a request that an endpoint answered."""
        self._own.pop(item, None)

    def refused(self, item: str, now: float) -> bool:
        """Return whether a request is sent no more."""
        seen = self._own.get(item)
        own = seen.count if seen and now - seen.at < REMEMBERED_S else 0
        told = sum(counts.get(item, 0) for counts in self._told.values())
        return own + told >= CRASHES_REFUSED

    def own(self, now: float) -> dict[str, int]:
        """Return what to tell other entries."""
        return {
            item: seen.count
            for item, seen in self._own.items()
            if now - seen.at < REMEMBERED_S
        }

    def heard(self, entry: str, counts: dict[str, int]) -> None:
        """Take what another entry saw."""
        if counts:
            self._told[entry] = counts
        else:
            self._told.pop(entry, None)

    def gone(self, entry: str) -> None:
        """Forget what an entry saw that ended."""
        self._told.pop(entry, None)
