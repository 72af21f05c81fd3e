"""Runs a case's script: the record, the exit code, and the end of all processes."""

import asyncio
import sys
import time
from pathlib import Path


class Record:
    """Lines with the time since the start, in a case's `record.txt`."""

    def __init__(self, folder):
        """Open the record.

        Args:
            folder: folder of the case.
        """
        self._file = (Path(folder) / "record.txt").open("w")
        self._started = time.monotonic()

    def __call__(self, text):
        """Write a line."""
        seconds = time.monotonic() - self._started
        print(f"{seconds:7.2f} {text}", file=self._file, flush=True)

    def close(self):
        """Close the record."""
        self._file.close()


async def _play(deployment, play, record):
    try:
        return await play(deployment, record)
    except (OSError, TimeoutError) as error:
        record(f"could not run: {error!r}")
        return 2
    finally:
        await deployment.stop()


def run(script, trouble, deployment, play):
    """Play a case and exit: 1 if the rule was broken, 0 if not, 2 if it couldn't run.

    Args:
        script: path of the case's script.
        trouble: whether it is played with its disruption.
        deployment: the deployment.
        play: called with the deployment and the record; returns the exit code.
    """
    record = Record(Path(script).resolve().parent)
    record(f"trouble: {trouble}")
    code = asyncio.run(_play(deployment, play, record))
    record(f"exit {code}")
    record.close()
    sys.exit(code)
