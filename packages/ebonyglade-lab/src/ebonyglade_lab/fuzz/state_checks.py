"""Checks the state of processes and engines between two steps."""

from dataclasses import dataclass, field

from ebonyglade_lab.fuzz import checks
from ebonyglade_lab.fuzz.oracle import Oracle
from ebonyglade_lab.virtual.endpoints import VirtualEngineState
from ebonyglade_lab.virtual.process import Process


@dataclass(slots=True)
class StateChecks:
    """Checks that compare the state after a step with that after the last one.

    Attributes:
        oracle: raises the violations.
        publications: virtual seconds and revision of each configuration change.
        slowest_free: longest time, in seconds, for which an engine held the memory of
            a finished request.
    """

    oracle: Oracle
    publications: list[tuple[float, int]] = field(default_factory=list)
    slowest_free: float = 0.0
    _revisions: dict[Process, int] = field(default_factory=dict)
    _newest_revisions: dict[str, int] = field(default_factory=dict)
    _platform_last_faulty: float = float("-inf")
    _held_since: dict[tuple[str, str], float] = field(default_factory=dict)

    def run(self, now: float) -> None:
        """Run all checks."""
        self.oracle.check_ended()
        self._check_revisions(now)
        self._check_memory(now)
        self._check_deadlines(now)

    def _required_revision(self, now: float) -> int:
        """Return the newest revision that instances without faults must have."""
        while len(self.publications) > 1 and (
            self.publications[1][0] <= now - checks.MAX_PROPAGATION_S
        ):
            self.publications.pop(0)
        first = self.publications[0]
        return first[1] if first[0] <= now - checks.MAX_PROPAGATION_S else 0

    def _platform_is_fault_free(self, now: float) -> bool:
        """Return whether every reader got current answers for long enough.

        Few instances read the platform and pass changes on to the others, so a reader
        without a current answer delays a change for instances that have no fault.
        """
        platform = self.oracle.world.platform
        if platform.unreachable_for or platform.stale_copies:
            self._platform_last_faulty = now
        return now - self._platform_last_faulty >= checks.MAX_PROPAGATION_S

    def _check_revisions(self, now: float) -> None:
        required = self._required_revision(now)
        platform_fault_free = self._platform_is_fault_free(now)
        for name, node in self.oracle.world.nodes.items():
            if node.process.killed:
                self._revisions.pop(node.process, None)
                continue
            revision = node.core.config.view.revision
            previous = self._revisions.get(node.process, 0)
            self.oracle.require(
                revision >= previous,
                "configuration_never_reverts",
                f"{name}: {previous} -> {revision}",
                {name, "published"},
            )
            self._revisions[node.process] = revision
            # Before a peer has confirmed its configuration, a process delays requests;
            # it serves them with that configuration where no peer answers.
            if checks.CHECK_RESTARTED_REVISION and node.core.freshness.confirmed:
                self._check_restarted(name, revision, platform_fault_free)
            fault_free = (
                self.oracle.fault_history.fault_free_s(name, now)
                >= checks.MAX_PROPAGATION_S
            )
            if fault_free and platform_fault_free:
                self.oracle.require(
                    revision >= required,
                    "configuration_in_force_in_time",
                    f"{name} has revision {revision} instead of {required}",
                    {name, "published"},
                )

    def _check_restarted(
        self, name: str, revision: int, platform_fault_free: bool
    ) -> None:
        """Check that a restarted instance does not go back to an older revision.

        This can't be avoided, and is no violation, where all processes that had the
        newer revision have ended and the platform answers with an older copy.
        """
        previous = self._newest_revisions.get(name, 0)
        self.oracle.require(
            revision >= previous
            or not (platform_fault_free or self._is_known_to_any(previous)),
            "restart_never_reverts",
            f"{name}: {previous} -> {revision}",
            {name, "published"},
        )
        self._newest_revisions[name] = revision

    def _is_known_to_any(self, revision: int) -> bool:
        """Return whether any running process has a revision or a newer one."""
        return any(
            not node.process.killed and node.core.config.view.revision >= revision
            for node in self.oracle.world.nodes.values()
        )

    def _check_memory(self, now: float) -> None:
        held: dict[tuple[str, str], float] = {}
        for engine in self.oracle.world.engines.values():
            if not (engine.jobs or engine.exports):
                continue
            for job in (*engine.jobs, *engine.exports):
                if self.oracle.registry.by_job[job].all_ended:
                    self._check_job_memory(engine, job, now, held)
        self._held_since = held

    def _check_job_memory(
        self,
        engine: VirtualEngineState,
        job: str,
        now: float,
        held: dict[tuple[str, str], float],
    ) -> None:
        process = self.oracle.world.nodes[engine.name].process
        if process.killed or process.paused or engine.unreachable or engine.down:
            return
        # For a restarted agent the time limit starts again.
        key = (process.incarnation, job)
        held[key] = self._held_since.get(key, now)
        held_s = now - held[key]
        self.slowest_free = max(self.slowest_free, held_s)
        self.oracle.require(
            held_s <= checks.MEMORY_FREE_S,
            "memory_of_gone_requests_is_free",
            f"{engine.name} holds {job} for {held_s:.2f} s",
            self.oracle.registry.by_job[job].subjects,
        )

    def _check_deadlines(self, now: float) -> None:
        for operation, request in self.oracle.registry.open_requests:
            node = self.oracle.world.nodes[request.entry]
            if node.process.paused:
                continue
            overrun = now - max(
                request.deadline, self.oracle.resumed_at.get(request.entry, 0.0)
            )
            self.oracle.require(
                overrun <= checks.MAX_DEADLINE_OVERRUN_S,
                "answered_in_time",
                f"{request.name} is open {overrun:.2f} s after its deadline",
                operation.subjects,
            )
