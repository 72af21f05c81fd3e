"""An entry's memory of the requests that ran when endpoints died."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

SUSPECTED_S = 120.0
QUARANTINED_S = 600.0
MAX_FINGERPRINTS = 8192
DEATHS_REMEMBERED = 256


class Standing(Enum):
    """What is held against a request."""

    FREE = "free"
    SUSPECT = "suspect"  # ran at one death; all its copies run at one endpoint
    ISOLATED = "isolated"  # ran at more; runs where no other isolated one does
    QUARANTINED = "quarantined"


@dataclass(slots=True)
class _Record:
    at: float
    deaths: int = 0
    convicted: bool = False

    def standing(self, now: float) -> Standing:
        age = now - self.at
        if self.convicted:
            return Standing.QUARANTINED if age < QUARANTINED_S else Standing.FREE
        if age >= SUSPECTED_S:
            return Standing.FREE
        return Standing.SUSPECT if self.deaths == 1 else Standing.ISOLATED


@dataclass(slots=True)
class Quarantine:
    """Finds the request that crashes endpoints among those that ran beside it.

    All that ran at a death are suspected. If one of them stands out at a later
    death, as the only one with most deaths before, it is convicted. Where
    several share that place they are isolated, one an endpoint, so that the next
    death convicts one alone.
    """

    _records: OrderedDict[str, _Record] = field(default_factory=OrderedDict)
    _deaths: OrderedDict[str, None] = field(default_factory=OrderedDict)

    def died(self, death: str, fingerprints: Iterable[str], now: float) -> None:
        """Note the death of an endpoint and the requests that ran there."""
        if death in self._deaths:
            return
        self._deaths[death] = None
        found = {item: self._fresh(item, now) for item in fingerprints}
        most = max((record.deaths for record in found.values()), default=0)
        foremost = [record for record in found.values() if record.deaths == most]
        if most and len(foremost) == 1:
            foremost[0].convicted = True
        for item, record in found.items():
            record.deaths += 1
            record.at = now
            self._records.move_to_end(item)
        _trim(self._records, MAX_FINGERPRINTS)
        _trim(self._deaths, DEATHS_REMEMBERED)

    def cleared(self, fingerprint: str) -> None:
        """Drop a suspicion; what was convicted stays so until it expires."""
        record = self._records.get(fingerprint)
        if record is not None and not record.convicted:
            del self._records[fingerprint]

    def standing(self, fingerprint: str, now: float) -> Standing:
        """Return what is held against a request."""
        record = self._records.get(fingerprint)
        return Standing.FREE if record is None else record.standing(now)

    def left(self, fingerprint: str, now: float) -> float:
        """Return the seconds for which a quarantined request is refused."""
        return max(0.0, self._records[fingerprint].at + QUARANTINED_S - now)

    def _fresh(self, fingerprint: str, now: float) -> _Record:
        """Return the record of a fingerprint; one that expired starts anew."""
        if self.standing(fingerprint, now) is Standing.FREE:
            self._records[fingerprint] = _Record(now)
        return self._records[fingerprint]


def _trim(entries: OrderedDict, most: int) -> None:
    while len(entries) > most:
        entries.popitem(last=False)
