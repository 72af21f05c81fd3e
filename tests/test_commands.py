"""The command lines of both daemons, with settings files and running daemons."""

import subprocess
import sys
import time

import pytest

from ebonyglade_lab import operator
from ebonyglade_lab.fleet import FleetSize
from ebonyglade_lab.processes import prepare_processes

LOG_TIMEOUT_S = 5.0  # for the line of a request to be written

STOPS = {"http": {"leave_s": 0.1}, "endpoint": {"leave_s": 0.1}}


def command(*arguments):
    """Run a daemon's command line; return exit code, output and errors."""
    program, *rest = arguments
    done = subprocess.run(
        [sys.executable, "-m", program, *rest],
        capture_output=True,
        text=True,
        timeout=60,
        env={"PYTHONPATH": ":".join(sys.path), "PATH": "/usr/bin:/bin"},
    )
    return done.returncode, done.stdout, done.stderr


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    size = FleetSize(entries=1, prefill=1, decode=1, service=1)
    processes = prepare_processes(tmp_path_factory.mktemp("fleet"), size, STOPS)
    try:
        processes.start_all()
        yield processes
    finally:
        processes.stop_all()


def settings(fleet, name):
    return str(fleet.directory / f"{name}.toml")


@pytest.mark.parametrize("program", ["ebonyglade_entry", "ebonyglade_agent"])
def test_help_names_all_commands(program):
    code, out, err = command(program, "--help")
    assert code == 0
    for name in ("run", "check", "explain", "audit"):
        assert name in out + err


def test_check_accepts_valid_settings(fleet):
    code, out, _ = command("ebonyglade_entry", "check", settings(fleet, "entry-1"))
    assert (code, "valid settings of entry-1" in out) == (0, True)


@pytest.mark.parametrize(
    ("change", "problem"),
    [
        (("tcp://127.0.0.1", "tcp://localhost"), "instance.address"),
        (('zone = "zone-a"', 'zone = "zone-a"\nzone2 = 1'), "zone2"),
        (("[instance]", "[instance"), "not TOML"),
        (("port = ", "port = -"), "port"),
    ],
)
def test_check_reports_the_invalid_setting_in_one_line(
    fleet, tmp_path, change, problem
):
    text = (fleet.directory / "entry-1.toml").read_text().replace(*change)
    path = tmp_path / "bad.toml"
    path.write_text(text)
    code, out, err = command("ebonyglade_entry", "check", str(path))
    assert (code, out) == (2, "")
    assert problem in err
    assert len(err.strip().splitlines()) == 1


def test_missing_file_is_a_user_error():
    code, _, err = command("ebonyglade_agent", "run", "--settings", "missing.toml")
    assert code == 2
    assert "missing.toml: No such file" in err


def test_address_in_use_is_a_user_error(fleet):
    code, _, err = command(
        "ebonyglade_agent", "run", "--settings", settings(fleet, "decode-1")
    )
    assert code == 2
    assert "could not start: " in err.splitlines()[-1]
    assert "Traceback" not in err


def test_explain_shows_value_default_revision_and_author(fleet):
    code, out, _ = command(
        "ebonyglade_entry",
        "explain",
        settings(fleet, "entry-1"),
        "--workspace=aula/physics",
    )
    assert code == 0
    assert "teams/aula/workspaces/physics  revision 2  author demo" in out
    assert "rate = 50000.0\n" in out
    assert "weight = 1.0  (default)" in out


def test_explain_of_an_invalid_name_is_a_user_error(fleet):
    arguments = ("explain", settings(fleet, "entry-1"), "--route=abstracts")
    code, _, err = command("ebonyglade_entry", *arguments)
    assert (code, "TEAM/NAME" in err) == (2, True)


def test_audit_shows_a_rejected_change_and_its_reason(fleet):
    path = "teams/aula/workspaces/broken"
    operator.publish(fleet.plan, path, b"rate = 1.0\nburst = 'x'\n")
    for _ in range(50):
        code, out, _ = command(
            "ebonyglade_agent", "audit", settings(fleet, "decode-1"), f"--path={path}"
        )
        if "rejected" in out:
            break
    assert code == 0
    assert "rejected" in out
    assert "line 2: burst" in out


def test_logs_contain_no_api_key_and_no_prompt(fleet):
    key, prompt = "demo-key-of-the-aula-team", "a very private prompt"
    operator.ask(fleet.plan, prompt, key)
    # A separate thread writes the lines; the line of the request is one of the last.
    deadline = time.monotonic() + LOG_TIMEOUT_S
    while "status=" not in fleet.log("entry-1") and time.monotonic() < deadline:
        time.sleep(0.05)
    for item in fleet.plan.instances:
        log = fleet.log(item.name)
        assert key not in log
        assert prompt not in log
    assert "status=" in fleet.log("entry-1")


def test_audit_of_a_stopped_daemon_is_a_user_error(fleet):
    fleet.stop("prefill-1")
    arguments = ("audit", settings(fleet, "prefill-1"))
    code, _, err = command("ebonyglade_agent", *arguments)
    assert (code, "no running daemon" in err) == (2, True)
