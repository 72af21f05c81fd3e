"""Judges the state of processes and engines between two steps."""

from dataclasses import dataclass, field

from ebonyglade_lab.fuzz import checks
from ebonyglade_lab.fuzz.oracle import Oracle
from ebonyglade_lab.virtual.endpoints import EngineState
from ebonyglade_lab.virtual.process import Process


@dataclass(slots=True)
class Sweeps:
    """Checks that compare one step with the one before.

    Attributes:
        oracle: raises the violations.
        published: virtual seconds and revision of each change.
        slowest_free: most seconds for which memory was held by requests gone.
    """

    oracle: Oracle
    published: list[tuple[float, int]] = field(default_factory=list)
    slowest_free: float = 0.0
    _revisions: dict[Process, int] = field(default_factory=dict)
    _newest: dict[str, int] = field(default_factory=dict)
    _platform_trouble: float = float("-inf")
    _held_since: dict[tuple[str, str], float] = field(default_factory=dict)

    def run(self, now: float) -> None:
        """Run all checks."""
        self.oracle.judge_ended()
        self._check_revisions(now)
        self._check_memory(now)
        self._check_open(now)

    def _due_revision(self, now: float) -> int:
        """Return the newest revision that must be in force at calm processes."""
        while len(self.published) > 1 and (
            self.published[1][0] <= now - checks.IN_FORCE_S
        ):
            self.published.pop(0)
        first = self.published[0]
        return first[1] if first[0] <= now - checks.IN_FORCE_S else 0

    def _platform_calm(self, now: float) -> bool:
        """Return whether every reader has been answered in full for long enough.

        Few instances read the platform, so a reader in trouble may hold a change
        back from those that could have read it.
        """
        platform = self.oracle.world.platform
        if platform.silent or platform.stale:
            self._platform_trouble = now
        return now - self._platform_trouble >= checks.IN_FORCE_S

    def _check_revisions(self, now: float) -> None:
        due = self._due_revision(now)
        platform_calm = self._platform_calm(now)
        for name, node in self.oracle.world.nodes.items():
            if node.process.dead:
                self._revisions.pop(node.process, None)
                continue
            revision = node.core.config.view.revision
            before = self._revisions.get(node.process, 0)
            self.oracle.require(
                revision >= before,
                "configuration_never_reverts",
                f"{name}: {before} -> {revision}",
                {name, "published"},
            )
            self._revisions[node.process] = revision
            # Until a neighbour has confirmed its view, a process holds requests
            # back, or serves on where no neighbour answers.
            if checks.CHECK_RESTARTED_REVISION and node.core.freshness.confirmed:
                self._check_restarted(name, revision, platform_calm)
            calm = self.oracle.calm.seconds(name, now) >= checks.IN_FORCE_S
            if calm and platform_calm:
                self.oracle.require(
                    revision >= due,
                    "configuration_in_force_in_time",
                    f"{name} has {revision}, due is {due}",
                    {name, "published"},
                )

    def _check_restarted(self, name: str, revision: int, platform_calm: bool) -> None:
        """An instance's next process starts from what the last one had.

        Where all processes that knew it have ended and the platform answers with an
        older copy, nothing is left that could tell.
        """
        before = self._newest.get(name, 0)
        self.oracle.require(
            revision >= before or not (platform_calm or self._is_known(before)),
            "restart_never_reverts",
            f"{name}: {before} -> {revision}",
            {name, "published"},
        )
        self._newest[name] = revision

    def _is_known(self, revision: int) -> bool:
        """Return whether any process that runs knows a revision."""
        return any(
            not node.process.dead and node.core.config.view.revision >= revision
            for node in self.oracle.world.nodes.values()
        )

    def _check_memory(self, now: float) -> None:
        held: dict[tuple[str, str], float] = {}
        for engine in self.oracle.world.engines.values():
            if not (engine.jobs or engine.exports):
                continue
            for job in (*engine.jobs, *engine.exports):
                if self.oracle.ledger.by_job[job].gone:
                    self._judge_job(engine, job, now, held)
        self._held_since = held

    def _judge_job(
        self,
        engine: EngineState,
        job: str,
        now: float,
        held: dict[tuple[str, str], float],
    ) -> None:
        process = self.oracle.world.nodes[engine.name].process
        if process.dead or process.paused or engine.unreachable or engine.down:
            return
        # A restarted agent has the whole time again.
        key = (process.incarnation, job)
        held[key] = self._held_since.get(key, now)
        seconds = now - held[key]
        self.slowest_free = max(self.slowest_free, seconds)
        self.oracle.require(
            seconds <= checks.MEMORY_FREE_S,
            "memory_of_gone_requests_is_free",
            f"{engine.name} holds {job} for {seconds:.2f} s",
            self.oracle.ledger.by_job[job].words,
        )

    def _check_open(self, now: float) -> None:
        for operation, send in self.oracle.ledger.waiting:
            node = self.oracle.world.nodes[send.entry]
            if node.process.paused:
                continue
            over = now - max(send.deadline, self.oracle.woken.get(send.entry, 0.0))
            self.oracle.require(
                over <= checks.LATE_ANSWER_S,
                "answered_in_time",
                f"{send.name} is open {over:.2f} s after its deadline",
                operation.words,
            )
