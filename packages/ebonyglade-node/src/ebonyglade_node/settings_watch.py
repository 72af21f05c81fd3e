"""Notices changes of the settings file, which may come without a signal."""

import asyncio
from collections.abc import Callable
from pathlib import Path

from mode import Service

POLL_S = 0.5  # between two looks at the file


class SettingsWatch(Service):
    """Calls `reload` when the file has changed and is no longer being written."""

    def __init__(self, path: str, reload: Callable[[], None]) -> None:
        """Create the watch.

        Args:
            path: path of the settings file; "" if there is none.
            reload: applies the file as it is now. It is also called once after the
                start, as the file may have changed since it was read.
        """
        super().__init__()
        self._path = path
        self._reload = reload
        self._applied: str | None = None
        self._seen: str | None = None

    @Service.task
    async def _poll(self) -> None:
        while self._path and not self.should_stop:
            await asyncio.sleep(POLL_S)
            self.check()

    def check(self) -> None:
        """Reload the file if it is the same as at the last look, and a new one."""
        text = self._read()
        if text == self._seen and text != self._applied:
            self._applied = text
            self._reload()
        self._seen = text

    def _read(self) -> str:
        """Return the text of the file; "" if it can't be read, which `reload` logs."""
        try:
            return Path(self._path).read_text(errors="replace")
        except OSError:
            return ""
