"""Table of the requests that were running when endpoints crashed."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

SUSPICION_S = 120.0
QUARANTINE_S = 600.0
MAX_FINGERPRINTS = 8192
MAX_REMEMBERED_CRASHES = 256


class Suspicion(Enum):
    """How strongly a request is suspected of crashing endpoints."""

    FREE = "free"
    SUSPECT = "suspect"  # ran during one crash; all its copies go to one endpoint
    ISOLATED = "isolated"  # ran during several; never beside another isolated one
    QUARANTINED = "quarantined"


@dataclass(slots=True)
class _Record:
    at: float
    crashes: int = 0
    quarantined: bool = False

    def suspicion(self, now: float) -> Suspicion:
        age = now - self.at
        if self.quarantined:
            return Suspicion.QUARANTINED if age < QUARANTINE_S else Suspicion.FREE
        if age >= SUSPICION_S:
            return Suspicion.FREE
        return Suspicion.SUSPECT if self.crashes == 1 else Suspicion.ISOLATED


@dataclass(slots=True)
class Quarantine:
    """Finds the request that crashes endpoints among those that ran beside it.

    All requests that ran during a crash are suspected. If a single one of them has
    the highest count of earlier crashes at a later crash, it is quarantined. All
    others that ran during more than one crash are isolated, at most one at an
    endpoint, so that the next crash identifies one of them.
    """

    _records: OrderedDict[str, _Record] = field(default_factory=OrderedDict)
    _crashes: OrderedDict[str, None] = field(default_factory=OrderedDict)

    def record_crash(self, crash: str, fingerprints: Iterable[str], now: float) -> None:
        """Record the crash of an endpoint and the requests that ran there.

        Repeated reports of one crash are ignored.
        """
        if crash in self._crashes:
            return
        self._crashes[crash] = None
        records = {item: self._active_record(item, now) for item in fingerprints}
        highest = max((record.crashes for record in records.values()), default=0)
        top = [record for record in records.values() if record.crashes == highest]
        if highest and len(top) == 1:
            top[0].quarantined = True
        for item, record in records.items():
            record.crashes += 1
            record.at = now
            self._records.move_to_end(item)
        _trim(self._records, MAX_FINGERPRINTS)
        _trim(self._crashes, MAX_REMEMBERED_CRASHES)

    def clear_suspicion(self, fingerprint: str) -> None:
        """Clear a suspicion; a quarantined request stays so until that expires."""
        record = self._records.get(fingerprint)
        if record is not None and not record.quarantined:
            del self._records[fingerprint]

    def suspicion(self, fingerprint: str, now: float) -> Suspicion:
        """Return the suspicion against a request."""
        record = self._records.get(fingerprint)
        return Suspicion.FREE if record is None else record.suspicion(now)

    def quarantine_left(self, fingerprint: str, now: float) -> float:
        """Return the seconds for which a quarantined request is still refused."""
        return max(0.0, self._records[fingerprint].at + QUARANTINE_S - now)

    def _active_record(self, fingerprint: str, now: float) -> _Record:
        """Return the record of a fingerprint; replace it if it has expired."""
        if self.suspicion(fingerprint, now) is Suspicion.FREE:
            self._records[fingerprint] = _Record(now)
        return self._records[fingerprint]


def _trim(entries: OrderedDict, max_size: int) -> None:
    while len(entries) > max_size:
        entries.popitem(last=False)
