import subprocess
import sys

import pytest
from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule
from hypothesis.strategies import floats, integers, sampled_from

from ebonyglade_lab.fuzz.command import fuzz
from ebonyglade_lab.fuzz.driver import run_seed
from ebonyglade_lab.fuzz.faults import FAULT_RULES
from ebonyglade_lab.fuzz.rules import LOAD_RULES
from ebonyglade_lab.fuzz.run import START_S, Run
from ebonyglade_lab.fuzz.violation import Violation
from ebonyglade_lab.virtual.loop import VirtualLoop

MAX_ACTIVE_FAULTS = 3


@pytest.mark.parametrize("seed", range(6))
def test_no_check_fails_under_faults(seed):
    result = run_seed(seed, 500)
    assert result.violation == "", "\n".join(result.trace)
    assert result.counts["model whole"] > 20
    assert result.counts["booking whole"] > 10


def test_a_seed_gives_the_same_run_each_time():
    assert run_seed(3, 200) == run_seed(3, 200)


def checksum(hash_seed):
    code = (
        "import logging; logging.disable(50)\n"
        "from ebonyglade_lab.fuzz.driver import run_seed\n"
        "print(run_seed(2, 300).checksum)"
    )
    environment = {"PYTHONPATH": ":".join(sys.path), "PYTHONHASHSEED": hash_seed}
    command = [sys.executable, "-c", code]
    return subprocess.run(command, env=environment, capture_output=True, check=True)


def test_a_seed_gives_the_same_run_in_every_process():
    """The iteration order of sets of strings differs between processes."""
    first, second = checksum("0"), checksum("1")
    assert first.stdout and first.stdout == second.stdout


def faults_of(seed, steps, monkeypatch, jitter_s):
    """Return the faults of a seed with their start times, for one network jitter."""
    begun = []
    begin_fault = Run.begin_fault

    def recording_begin_fault(run, name, instances, seconds, undo):
        begun.append((round(run.now, 6), name, tuple(instances), round(seconds, 6)))
        begin_fault(run, name, instances, seconds, undo)

    with monkeypatch.context() as patch:
        patch.setattr(Run, "begin_fault", recording_begin_fault)
        patch.setattr("ebonyglade_lab.virtual.network.JITTER_S", jitter_s)
        run_seed(seed, steps)
    return begun


def test_the_schedule_of_a_seed_does_not_depend_on_timing(monkeypatch):
    quick = faults_of(4, 600, monkeypatch, 0.0005)
    slow = faults_of(4, 600, monkeypatch, 0.004)
    assert len(quick) > 5
    assert quick == slow


def check_restart(peer_knows, stale):
    """Check an entry that restarts with an older revision than its last process had."""

    async def scenario():
        fuzz_run = Run(1)
        await fuzz_run.pass_time(8.0)
        entry = fuzz_run.world.nodes[fuzz_run.entries[0]]
        newest = entry.core.config.view.revision
        fuzz_run.state_checks._newest_revisions[fuzz_run.entries[0]] = (
            newest if peer_knows else newest + 2
        )
        if stale:
            fuzz_run.world.platform.pin_copy(fuzz_run.entries[0])
        fuzz_run.state_checks._platform_is_fault_free(fuzz_run.now)
        fault_free = fuzz_run.state_checks._platform_is_fault_free(fuzz_run.now)
        fuzz_run.state_checks._check_restarted(
            fuzz_run.entries[0], newest - 2, fault_free
        )

    VirtualLoop().run_until_complete(scenario())


@pytest.mark.parametrize(
    ("peer_knows", "stale"), [(True, True), (True, False), (False, 0)]
)
def test_restart_with_older_revision_is_found_if_newer_one_is_known(peer_knows, stale):
    with pytest.raises(Violation, match="restart_never_reverts"):
        check_restart(peer_knows, stale)


def test_restart_with_older_revision_is_allowed_if_newer_one_is_lost():
    """Seeds 8 and 191: all processes end while the platform returns an old copy."""
    check_restart(peer_knows=False, stale=True)


def test_command_reports_a_violation(monkeypatch, capsys):
    monkeypatch.setattr("ebonyglade_lab.fuzz.checks.MAX_DEADLINE_OVERRUN_S", -1000.0)
    assert not fuzz("1:2", steps=20, jobs=1)
    printed = capsys.readouterr().out
    assert "answered_in_time" in printed
    assert "FAILED seed 1" in printed


class Fleet(RuleBasedStateMachine):
    """Applies the driver's rules in an order that hypothesis chooses."""

    @initialize(seed=integers(0, 1000))
    def start(self, seed):
        self.loop = VirtualLoop()
        self.run_ = self.loop.run_until_complete(self._build(seed))
        self._pass_time(START_S)

    @rule(name=sampled_from(sorted(LOAD_RULES)), seconds=floats(0.0, 0.3))
    def apply_load(self, name, seconds):
        self._apply(LOAD_RULES[name], seconds)

    @precondition(lambda self: self.run_.active_fault_count < MAX_ACTIVE_FAULTS)
    @rule(name=sampled_from(sorted(FAULT_RULES)), seconds=floats(0.0, 0.3))
    def apply_fault(self, name, seconds):
        self._apply(FAULT_RULES[name], seconds)

    @rule(seconds=floats(1.0, 10.0))
    def wait(self, seconds):
        self._pass_time(seconds)

    def teardown(self):
        self.loop.run_until_complete(self.run_.finish())

    async def _build(self, seed):
        return Run(seed)

    def _apply(self, chosen_rule, seconds):
        self.loop.run_until_complete(self._apply_and_wait(chosen_rule, seconds))

    def _pass_time(self, seconds):
        self.loop.run_until_complete(self.run_.pass_time(seconds))

    async def _apply_and_wait(self, chosen_rule, seconds):
        chosen_rule.apply(self.run_)
        await self.run_.pass_time(seconds)


Fleet.TestCase.settings = settings(
    max_examples=8,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
TestFleet = Fleet.TestCase
