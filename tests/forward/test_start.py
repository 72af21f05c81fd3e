"""What a start loads; each start on a machine costs callers what it takes."""

import subprocess
import sys

import pytest

# Modules that the programs of the users' platform have no use for.
USELESS = (
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
def test_a_start_loads_nothing_of_the_other_programs(module):
    code = f"import sys, {module}; print(*sys.modules)"
    run = [sys.executable, "-c", code]
    loaded = subprocess.run(run, capture_output=True, text=True, check=True)
    assert not set(USELESS) & set(loaded.stdout.split())


def test_an_agent_loads_nothing_that_forwards_requests():
    code = "import sys, ebonyglade_agent.staging.program; print(*sys.modules)"
    run = [sys.executable, "-c", code]
    loaded = subprocess.run(run, capture_output=True, text=True, check=True)
    assert "ebonyglade.forward.entry" not in loaded.stdout.split()
