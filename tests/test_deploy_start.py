"""The start of a program from the files that deploy/build installs."""

import asyncio
import shutil
import signal
import sys
from pathlib import Path

START = Path(__file__).parent.parent / "deploy" / "start.py"
PROGRAM = """
import time
print("importing", flush=True)
time.sleep(0.5)

def main():
    print("running", flush=True)
"""


async def start(folder):
    """Start a program that takes a while to import, as the real ones do."""
    package = folder / "target" / "app" / "ebonyglade_entry" / "forwarding"
    package.mkdir(parents=True)
    for path in (package.parent, package):
        (path / "__init__.py").touch()
    (package / "program.py").write_text(PROGRAM)
    (folder / "deploy").mkdir()
    script = shutil.copy(START, folder / "deploy")
    return await asyncio.create_subprocess_exec(
        sys.executable,
        str(script),
        "entry",
        stdout=asyncio.subprocess.PIPE,
        preexec_fn=_take_default_signals,
    )


def _take_default_signals():
    signal.signal(signal.SIGHUP, signal.SIG_DFL)


# Fault: a SIGHUP during a start ended the process.
async def test_sighup_while_a_program_starts_does_not_end_it(tmp_path):
    process = await start(tmp_path)
    assert await process.stdout.readline() == b"importing\n"
    process.send_signal(signal.SIGHUP)
    assert await process.stdout.readline() == b"running\n"
    assert await process.wait() == 0
