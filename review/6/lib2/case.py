"""Plays a case's script: its record, its exit code, and the end of all processes."""

import asyncio
import time


def recorder(file):
    """Return a function that writes a line, with the time since now, into a file."""
    started = time.monotonic()

    def record(text):
        print(f"{time.monotonic() - started:7.2f} {text}", file=file, flush=True)

    return record


async def _play(deployment, play, record):
    try:
        return await play(deployment, record)
    except (OSError, TimeoutError) as error:
        record(f"could not run: {error!r}")
        return 2
    finally:
        await deployment.stop()


def run(file, trouble, deployment, play):
    """Play a case; return 1 if the rule was broken, 0 if not, 2 if it couldn't run.

    Args:
        file: the case's record, open for writing.
        trouble: whether it is played with its disruption.
        deployment: the deployment.
        play: called with the deployment and the record; returns the exit code.
    """
    record = recorder(file)
    record(f"trouble: {trouble}")
    code = asyncio.run(_play(deployment, play, record))
    record(f"exit {code}")
    return code
