"""Detection of requests that crash endpoints, across their retries.

An endpoint that closes a connection without a response may have crashed under the
request. A request that did this three times, counting its retries, is refused.
Entries exchange their counts.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from ebonyglade.hashing import hexdigest

MAX_CRASHES = 3  # crashes after which a request is not sent any more
CRASH_TTL_S = 120.0
MAX_FINGERPRINTS = 4096
DIGEST_BYTES = 12


def fingerprint(workspace: str, method: str, target: str, body: bytes) -> str:
    """Return a hash that a request and its retries share."""
    parts = (workspace.encode(), method.encode(), target.encode(), body)
    return hexdigest(parts, DIGEST_BYTES)


@dataclass(slots=True)
class _CrashCount:
    at: float
    count: int = 0


@dataclass(slots=True)
class CrashCounts:
    """Crash counts by fingerprint, of this entry and of others."""

    _own: OrderedDict[str, _CrashCount] = field(default_factory=OrderedDict)
    _by_entry: dict[str, dict[str, int]] = field(default_factory=dict)

    def record_crash(self, key: str, now: float) -> None:
        """Record that an endpoint may have crashed under a request."""
        seen = self._own.setdefault(key, _CrashCount(now))
        if now - seen.at > CRASH_TTL_S:
            seen.count = 0
        seen.count += 1
        seen.at = now
        self._own.move_to_end(key)
        while len(self._own) > MAX_FINGERPRINTS:
            self._own.popitem(last=False)

    def record_success(self, key: str) -> None:
        """Forget the crashes of a request that an endpoint answered."""
        self._own.pop(key, None)

    def is_blocked(self, key: str, now: float) -> bool:
        """Return whether a request must not be sent any more."""
        return self.count(key, now) >= MAX_CRASHES

    def count(self, key: str, now: float) -> int:
        """Return the number of crashes under a request that are known here."""
        seen = self._own.get(key)
        own = seen.count if seen and now - seen.at < CRASH_TTL_S else 0
        others = sum(counts.get(key, 0) for counts in self._by_entry.values())
        return own + others

    def own_counts(self, now: float) -> dict[str, int]:
        """Return this entry's counts, to be sent to other entries."""
        return {
            key: seen.count
            for key, seen in self._own.items()
            if now - seen.at < CRASH_TTL_S
        }

    def update_from(self, entry: str, counts: dict[str, int]) -> None:
        """Replace the counts of another entry."""
        if counts:
            self._by_entry[entry] = counts
        else:
            self._by_entry.pop(entry, None)

    def retain_entries(self, entries: set[str]) -> None:
        """Forget the counts of all others that are not among `entries`."""
        for entry in set(self._by_entry) - entries:
            del self._by_entry[entry]

    def remove_entry(self, entry: str) -> None:
        """Forget the counts of an entry that has ended."""
        self._by_entry.pop(entry, None)
