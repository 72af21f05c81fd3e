"""Exchange of crash evidence between the processes of a fleet.

A process tells others at once what it observed itself. What has led to a block is
repeated from time to time by every process that knows it, so that those which were
started since, or missed it, learn of it.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ebonyglade.forward.members import COMPLETE_EVERY, HEARTBEAT_S
from ebonyglade.hashing import hexdigest
from ebonyglade.quarantine.evidence import (
    MAX_CRASHES,
    BrokenRun,
    CrashEvidence,
    KnownRun,
    Source,
)
from ebonyglade.quarantine.guilty_parts import CERTAIN_CRASHES
from ebonyglade.wire.fleet import AnswerRecord, BrokenRunRecord, EvidenceRecords

SPREAD_S = 1.0  # time for which new evidence is in each message
# What blocks requests is repeated once in this time, by each process at another moment,
# so that its messages stay small while something is blocked.
REPEAT_S = 10.0
REPEAT_WINDOW_S = COMPLETE_EVERY * HEARTBEAT_S  # holds about one complete heartbeat
MAX_RECORDS = 64  # of a kind in one message, the newest
PHASE_BYTES = 4
REPEATED_PART_RUNS = 2 * CERTAIN_CRASHES  # of blamed parts
REPEATED_RUNS = MAX_CRASHES + 1  # of a blocked request; one of them may be voided


@dataclass(slots=True)
class EvidenceExchange:
    """Composes and merges the records that messages carry.

    Attributes:
        evidence: what this process knows.
        process: name of this process; decides when it repeats evidence.
    """

    evidence: CrashEvidence
    process: str

    def repeats_at(self, now: float) -> bool:
        """Return whether complete heartbeats repeat what blocks requests."""
        digest = hexdigest((self.process.encode(),), PHASE_BYTES)
        phase_s = REPEAT_S * int(digest, 16) / 256**PHASE_BYTES
        return (now + phase_s) % REPEAT_S < REPEAT_WINDOW_S

    def compose(
        self, now: float, repeat: bool, source: Source = Source.OWN
    ) -> EvidenceRecords | None:
        """Return the records for a message; None if there are none.

        Args:
            now: the time.
            repeat: whether to repeat the evidence that blocks requests.
            source: the furthest source of which new evidence is told.
        """
        runs = [
            known
            for known in self.evidence.runs()
            if known.source <= source and now - known.learned_at < SPREAD_S
        ]
        if repeat:
            runs += self._runs_of_blocked(now, runs)
        answers = [
            AnswerRecord(known.subject, _age(known.at, now))
            for known in self.evidence.answers()
            if known.source <= source and now - known.learned_at < SPREAD_S
        ]
        if not runs and not answers:
            return None
        runs.sort(key=lambda known: -known.at)
        return EvidenceRecords(
            [_run_record(known, now) for known in runs[:MAX_RECORDS]],
            answers[:MAX_RECORDS],
        )

    def merge(self, records: EvidenceRecords, at: float, source: Source) -> None:
        """Merge records of a message that was composed at a time."""
        for run in records.runs:
            known = BrokenRun(run.endpoint, run.request, tuple(run.parts), run.prefill)
            self.evidence.record_run(known, at - run.age_s, at, source)
        for answer in records.answers:
            self.evidence.record_answer(answer.subject, at - answer.age_s, at, source)

    def _runs_of_blocked(
        self, now: float, told: Iterable[KnownRun]
    ) -> Iterable[KnownRun]:
        evidence = self.evidence
        found = [
            evidence.runs_of(request)[:REPEATED_RUNS]
            for request in evidence.blocked(now)
        ]
        found += [
            evidence.runs_with(blamed.parts)[:REPEATED_PART_RUNS]
            for blamed in evidence.blamed_parts(now)
        ]
        told_ids = {id(known) for known in told}
        repeated = {id(known): known for runs in found for known in runs}
        return [known for key, known in repeated.items() if key not in told_ids]


def _run_record(known: KnownRun, now: float) -> BrokenRunRecord:
    run = known.run
    return BrokenRunRecord(
        run.endpoint, run.request, _age(known.at, now), list(run.parts), run.prefill
    )


def _age(at: float, now: float) -> float:
    return round(now - at, 3)
