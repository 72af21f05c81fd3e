"""Modules that a start imports; a slow start makes callers wait."""

import subprocess
import sys

import pytest

# Modules that the forwarding entry and the staging agent do not need.
UNUSED_MODULES = (
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
def test_start_does_not_import_the_other_programs(module):
    code = f"import sys, {module}; print(*sys.modules)"
    run = [sys.executable, "-c", code]
    loaded = subprocess.run(run, capture_output=True, text=True, check=True)
    assert not set(UNUSED_MODULES) & set(loaded.stdout.split())


def test_staging_agent_does_not_import_request_forwarding():
    code = "import sys, ebonyglade_agent.staging.program; print(*sys.modules)"
    run = [sys.executable, "-c", code]
    loaded = subprocess.run(run, capture_output=True, text=True, check=True)
    assert "ebonyglade.forward.entry" not in loaded.stdout.split()


@pytest.mark.parametrize(
    "module",
    ["ebonyglade_entry.forwarding.program", "ebonyglade_agent.staging.program"],
)
def test_start_needs_no_tls_library(module):
    """deploy/start.py removes the module, whose library takes memory at each start."""
    code = (
        f"import sys; sys.modules['ssl'] = None; import {module}; print(*sys.modules)"
    )
    run = [sys.executable, "-c", code]
    loaded = subprocess.run(run, capture_output=True, text=True, check=True)
    assert "_ssl" not in loaded.stdout.split()
