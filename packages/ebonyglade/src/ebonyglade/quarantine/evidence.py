"""Evidence of requests that crash endpoints, joined from all processes of a fleet.

A run that broke off is evidence against its request and against the parts of its
prompt that others may share. Evidence of one endpoint and request counts once, whoever
observed it and however often it is reported, so that it can be passed on freely and
outlives the process that observed it. A whole answer to a request voids earlier
evidence against it and its parts, and so does proof that the endpoint still lived after
the run broke off: then its connection was reset, or its answer was spoiled.
"""

import logging
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import IntEnum

from ebonyglade.hashing import hexdigest
from ebonyglade.quarantine.guilty_parts import (
    BlamedParts,
    SuspectRun,
    find_guilty_parts,
)

logger = logging.getLogger(__name__)

MAX_CRASHES = 3  # endpoints that may end under a request before it is blocked
SUSPICION_S = 120.0  # crashes further apart than this do not count together
BLOCKED_S = 600.0  # since the last crash
MAX_RUNS = 4096  # remembered in all
# Left when there are more: the oldest are forgotten many at a time, since to find them
# takes as long as for one.
RUNS_KEPT = 3584
DIGEST_BYTES = 12
PART_DIGEST_BYTES = 8
MAX_SUSPECT_RUNS = 512  # the newest, among which guilty parts are searched
SEARCH_INTERVAL_S = 0.2  # between two searches for guilty parts
# Reports of one event from different processes seem apart by the delays of their
# messages.
MAX_DELAY_S = 1.0
# An endpoint that responds so soon after a run broke off is not one that was started
# again, and no response was on its way so long.
RESPONSE_DELAY_S = 0.2
RESTART_S = 1.0
# Answers are kept so long though no run of theirs is known to have broken off: the news
# of it may be on its way.
UNRELATED_S = 2.0


def fingerprint(workspace: str, method: str, target: str, body: bytes) -> str:
    """Return a hash that a request and its retries share."""
    parts = (workspace.encode(), method.encode(), target.encode(), body)
    return hexdigest(parts, DIGEST_BYTES)


def part_key(workspace: str, model: str, part: str) -> str:
    """Return a hash of a prompt's part; parts of different workspaces differ."""
    parts = (workspace.encode(), model.encode(), part.encode())
    return hexdigest(parts, PART_DIGEST_BYTES)


def prefilled(request: str) -> str:
    """Return the subject of answers to a request whose prompt was prefilled apart."""
    return f"{request} prefilled"


class Source(IntEnum):
    """The closest process that reported a piece of evidence."""

    OWN = 0
    ZONE = 1  # another process of the availability zone, or of an undivided fleet
    ELSEWHERE = 2


@dataclass(frozen=True, slots=True)
class BrokenRun:
    """A run that broke off, perhaps because its endpoint crashed.

    Attributes:
        endpoint: the endpoint's incarnation.
        request: fingerprint of the request.
        parts: keys of the parts of its prompt that other requests may share.
        prefill: whether the endpoint only prefilled the prompt.
    """

    endpoint: str
    request: str
    parts: tuple[str, ...] = ()
    prefill: bool = False

    @property
    def cleared_by(self) -> str:
        """Subject whose whole answers show that the request can run without a crash.

        A decode endpoint may have prefilled the prompt of an answer itself, which says
        nothing of prefill endpoints.
        """
        return prefilled(self.request) if self.prefill else self.request


@dataclass(slots=True)
class KnownRun:
    """A broken run as it is known here; times are in seconds of the own clock."""

    run: BrokenRun
    at: float
    learned_at: float
    source: Source


@dataclass(slots=True)
class KnownAnswer:
    """The last whole answer to a request, or to one with a part.

    Attributes:
        subject: fingerprint of the request, or key of the part.
        at: when the last answer was complete.
        learned_at: when it last became news for other processes; negative infinity if
            it is none, as for a subject without broken runs.
        source: the closest process that reported it.
        told_at: time of the answer that was news then.
    """

    subject: str
    at: float
    learned_at: float
    source: Source
    told_at: float = float("-inf")

    def become_news(self, now: float) -> None:
        """Have the last answer told to other processes."""
        self.learned_at, self.told_at = now, self.at


@dataclass(slots=True)
class CrashEvidence:
    """All evidence that this process knows of."""

    _runs: dict[str, dict[str, KnownRun]] = field(default_factory=dict)
    _count: int = 0
    _answers: dict[str, KnownAnswer] = field(default_factory=dict)
    _broke_off_at: dict[str, float] = field(default_factory=dict)
    _alive_until: dict[str, float] = field(default_factory=dict)
    _subject_broke_off_at: dict[str, float] = field(default_factory=dict)
    _blamed: list[BlamedParts] = field(default_factory=list)
    _searched_at: float = float("-inf")
    _changed: bool = False

    def record_run(
        self, run: BrokenRun, at: float, now: float, source: Source = Source.OWN
    ) -> bool:
        """Record a run that broke off; return whether it was not known yet."""
        runs = self._runs.setdefault(run.request, {})
        known = runs.get(run.endpoint)
        if known is not None:
            if at < known.at:
                known.at = at
                self._tell_answers_after(run, at, now)
            if source < known.source:
                known.source, known.learned_at = source, now
            return False
        runs[run.endpoint] = KnownRun(run, at, now, source)
        _keep_latest(self._broke_off_at, run.endpoint, at)
        for subject in (run.cleared_by, *run.parts):
            _keep_latest(self._subject_broke_off_at, subject, at)
        self._tell_answers_after(run, at, now)
        self._changed = True
        self._count += 1
        if self._count > MAX_RUNS:
            self._forget_oldest()
        self._log_if_blocked(run.request, now)
        return True

    def _tell_answers_after(self, run: BrokenRun, at: float, now: float) -> None:
        """Have answers told that void a run which was heard of after them."""
        for subject in (run.cleared_by, *run.parts):
            answer = self._answers.get(subject)
            if answer is not None and answer.told_at < at <= answer.at:
                answer.become_news(now)

    def record_answer(
        self, subject: str, at: float, now: float, source: Source = Source.OWN
    ) -> bool:
        """Record a whole answer; return whether it voids evidence known so far.

        Args:
            subject: fingerprint of the request, or key of a part of its prompt.
            at: when the answer was complete.
            now: the time.
            source: the closest process that reported it.
        """
        known = self._answers.get(subject)
        if known is None:
            known = self._answers[subject] = KnownAnswer(
                subject, float("-inf"), float("-inf"), source
            )
        if at <= known.told_at + MAX_DELAY_S and source < known.source:
            known.source, known.learned_at = source, now
        if at <= known.at:
            return False
        broke_off_at = self._subject_broke_off_at.get(subject, float("-inf"))
        if broke_off_at > known.at:
            self._changed = True
        known.at = at
        # Answers that follow each other void nothing more, but for the first one after
        # a run that broke off; one a second is told to those that missed it.
        is_news = known.told_at < broke_off_at or at >= known.told_at + MAX_DELAY_S
        if subject not in self._subject_broke_off_at or not is_news:
            return False
        known.source = source
        known.become_news(now)
        return True

    def record_report(self, endpoint: str, at: float) -> None:
        """Record that an endpoint's incarnation reported its state."""
        self._record_alive(endpoint, at - MAX_DELAY_S)

    def record_response(self, endpoint: str, now: float) -> None:
        """Record that an endpoint responded to some request."""
        since = now - self._broke_off_at.get(endpoint, float("-inf"))
        if RESPONSE_DELAY_S < since < RESTART_S:
            self._record_alive(endpoint, now - RESPONSE_DELAY_S)

    def crashes(self, request: str, now: float) -> int:
        """Return the number of endpoints that crashed under a request lately."""
        times = self._crash_times(request)
        if not times or now - times[-1] >= SUSPICION_S:
            return 0
        return _count_together(times)

    def blocked_for(self, request: str, now: float) -> float:
        """Return the seconds for which a request must not be sent; 0 if it may be."""
        if len(self._runs.get(request, ())) < MAX_CRASHES:
            return 0.0
        times = self._crash_times(request)
        if _count_together(times) < MAX_CRASHES:
            return 0.0
        return max(0.0, times[-1] + BLOCKED_S - now)

    def parts_blocked_for(self, parts: Iterable[str], now: float) -> float:
        """Return the seconds for which requests with these parts must not be sent.

        The result is 0 if they may be sent.
        """
        blocking = [
            blamed.blocked_until - now
            for blamed in self.blamed_parts(now)
            if blamed.parts.issubset(parts)
        ]
        return max([0.0, *blocking])

    def blamed_parts(self, now: float) -> list[BlamedParts]:
        """Return the parts that crash endpoints."""
        if self._changed and now - self._searched_at >= SEARCH_INTERVAL_S:
            self._changed, self._searched_at = False, now
            self._blame(find_guilty_parts(self._suspect_runs(now)), now)
        return self._blamed

    def blocked(self, now: float) -> list[str]:
        """Return the fingerprints of the requests that must not be sent."""
        return [request for request in self._runs if self.blocked_for(request, now)]

    def runs_with(self, parts: frozenset[str]) -> list[KnownRun]:
        """Return the broken runs with all of some parts, the newest first."""
        found = [known for known in self.runs() if parts.issubset(known.run.parts)]
        return sorted(found, key=lambda known: -known.at)

    def runs(self) -> Iterator[KnownRun]:
        """Iterate over all broken runs that are known."""
        for runs in self._runs.values():
            yield from runs.values()

    def runs_of(self, request: str) -> list[KnownRun]:
        """Return the broken runs of a request, the newest first."""
        runs = self._runs.get(request, {}).values()
        return sorted(runs, key=lambda known: -known.at)

    def answers(self) -> Iterator[KnownAnswer]:
        """Iterate over the whole answers that are known."""
        yield from self._answers.values()

    def forget(self, now: float) -> None:
        """Forget what is too old to count."""
        for request, runs in list(self._runs.items()):
            if all(now - known.at >= BLOCKED_S for known in runs.values()):
                self._forget_request(request)
        for times in (
            self._broke_off_at,
            self._subject_broke_off_at,
            self._alive_until,
        ):
            for name, at in list(times.items()):
                if now - at >= BLOCKED_S:
                    del times[name]
        for subject, answer in list(self._answers.items()):
            is_suspect = subject in self._subject_broke_off_at
            if now - answer.at >= (BLOCKED_S if is_suspect else UNRELATED_S):
                del self._answers[subject]

    def _suspect_runs(self, now: float) -> list[SuspectRun]:
        """Return the newest runs that no request of their own explains."""
        explained = {
            endpoint
            for request in self.blocked(now)
            for endpoint in self._runs[request]
        }
        runs = [
            known
            for known in self.runs()
            if known.run.endpoint not in explained and not self._lived_on(known)
        ]
        runs.sort(key=lambda known: -known.at)
        return [
            SuspectRun(
                known.run.endpoint,
                known.run.request,
                self._standing(known),
                known.at,
                bool(known.run.parts),
            )
            for known in runs[:MAX_SUSPECT_RUNS]
        ]

    def _standing(self, known: KnownRun) -> frozenset[str]:
        """Return the parts of a run that no later answer clears."""
        return frozenset(
            part for part in known.run.parts if self._answered_at(part) < known.at
        )

    def _answered_at(self, subject: str) -> float:
        answer = self._answers.get(subject)
        return answer.at if answer else float("-inf")

    def _blame(self, blamed: list[BlamedParts], now: float) -> None:
        """Replace the blamed parts, and log which are new or cleared."""
        before = {item.parts for item in self._blamed}
        after = {item.parts for item in blamed}
        self._blamed = blamed
        for item in blamed:
            if item.parts not in before:
                logger.info(
                    "prompt parts blocked that crash endpoints",
                    extra={
                        "parts": ",".join(sorted(item.parts)),
                        "crashes": item.crashes,
                        "last_crash_s_ago": round(now - item.last_at, 3),
                    },
                )
        for parts in before - after:
            logger.info(
                "prompt parts not blocked any more",
                extra={"parts": ",".join(sorted(parts))},
            )

    def _log_if_blocked(self, request: str, now: float) -> None:
        """Log that a request is blocked, with its last crash as the first to do so."""
        times = self._crash_times(request)
        if times and _count_together(times) == MAX_CRASHES:
            endpoints = [known.run.endpoint for known in self.runs_of(request)]
            logger.info(
                "request blocked that crashes endpoints",
                extra={
                    "fingerprint": request,
                    "endpoints": ",".join(endpoints),
                    "last_crash_s_ago": round(now - times[-1], 3),
                },
            )

    def _crash_times(self, request: str) -> list[float]:
        """Return the times of the crashes that count, in order."""
        return sorted(
            known.at
            for known in self._runs.get(request, {}).values()
            if known.at > self._answered_at(known.run.cleared_by)
            and not self._lived_on(known)
        )

    def _lived_on(self, known: KnownRun) -> bool:
        alive_until = self._alive_until.get(known.run.endpoint, float("-inf"))
        return alive_until > known.at

    def _record_alive(self, endpoint: str, until: float) -> None:
        known = self._alive_until.get(endpoint, float("-inf"))
        _keep_latest(self._alive_until, endpoint, until)
        if known < self._broke_off_at.get(endpoint, float("-inf")) < until:
            self._changed = True

    def _forget_oldest(self) -> None:
        """Forget the requests whose last evidence is the oldest."""
        newest = {
            request: max(known.at for known in runs.values())
            for request, runs in self._runs.items()
        }
        for request in sorted(newest, key=newest.get):
            if self._count <= RUNS_KEPT:
                return
            self._forget_request(request)

    def _forget_request(self, request: str) -> None:
        self._count -= len(self._runs.pop(request))
        self._answers.pop(request, None)
        self._answers.pop(prefilled(request), None)
        self._changed = True


def _keep_latest(times: dict[str, float], name: str, at: float) -> None:
    times[name] = max(at, times.get(name, at))


def _count_together(times: list[float]) -> int:
    """Return how many of the times, in order, lie close enough before the last."""
    return sum(times[-1] - at < SUSPICION_S for at in times)
