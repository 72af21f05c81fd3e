"""Modules that programs import at their start, which delays callers' requests."""

import subprocess
import sys

import pytest

# Modules that the programs for the users' platform do not need.
UNNEEDED = (
    "fire",
    "ebonyglade.entry",
    "ebonyglade.agent",
    "ebonyglade_entry.server",
    "ebonyglade_node.commands",
)


@pytest.mark.parametrize(
    "module",
    ["ebonyglade_entry.forwarding.program", "ebonyglade_agent.staging.program"],
)
def test_a_program_imports_no_modules_of_other_programs(module):
    code = f"import sys, {module}; print(*sys.modules)"
    run = [sys.executable, "-c", code]
    loaded = subprocess.run(run, capture_output=True, text=True, check=True)
    assert not set(UNNEEDED) & set(loaded.stdout.split())


def test_the_agent_does_not_import_the_forwarding_entry():
    code = "import sys, ebonyglade_agent.staging.program; print(*sys.modules)"
    run = [sys.executable, "-c", code]
    loaded = subprocess.run(run, capture_output=True, text=True, check=True)
    assert "ebonyglade.forward.entry" not in loaded.stdout.split()
