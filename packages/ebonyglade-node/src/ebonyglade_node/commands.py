"""Sub-commands that both daemons have."""

import asyncio
import json
import signal
import sys
import urllib.error
import urllib.request
from collections.abc import Awaitable, Callable
from urllib.parse import quote

import fire
from mode import Service

from ebonyglade.errors import EXIT_OK, EXIT_USER_ERROR, UserError
from ebonyglade_node import logs
from ebonyglade_node.settings import NodeSettings, load

STATUS_TIMEOUT_S = 5.0


class NodeCommands:
    """Sub-commands shared by both daemons."""

    _settings_model: type[NodeSettings]
    _service: Callable[[NodeSettings], Service]

    def run(self, settings: str) -> None:
        """Run the daemon until SIGTERM or SIGINT, then stop gracefully.

        Args:
            settings: path of the TOML settings file.
        """
        loaded = load(settings, self._settings_model)
        logs.configure(loaded.logs, loaded.instance.id)
        asyncio.run(serve(type(self)._service(loaded)))

    def check(self, settings: str) -> str:
        """Check a settings file without starting anything.

        Args:
            settings: path of the TOML settings file.
        """
        loaded = load(settings, self._settings_model)
        return f"{settings}: valid settings of {loaded.instance.id}"

    def explain(self, settings: str, path: str = "") -> str:
        """Show what is in force under a path, with revision and author.

        Args:
            settings: settings file of the running daemon.
            path: start of the configuration paths to show.
        """
        document = self._ask(settings, f"/explain?path={quote(path)}")
        lines = [f"configuration revision {document['revision']}"]
        for row in document["documents"]:
            lines += _explained(row)
        return "\n".join(lines)

    def audit(self, settings: str, path: str = "") -> str:
        """Show the changes that the daemon saw, and why any was rejected.

        Args:
            settings: settings file of the running daemon.
            path: start of the configuration paths to show.
        """
        rows = self._ask(settings, f"/audit?path={quote(path)}")
        return "\n".join(_audited(row) for row in rows) or "no changes seen"

    def _ask(self, settings: str, target: str) -> dict | list:
        section = load(settings, self._settings_model).status
        url = f"http://{section.host}:{section.port}{target}"
        try:
            with urllib.request.urlopen(url, timeout=STATUS_TIMEOUT_S) as answer:
                return json.load(answer)
        except (urllib.error.URLError, TimeoutError, ValueError) as error:
            raise UserError(f"no running daemon answers at {url}: {error}") from error


async def serve(service: Service) -> None:
    """Run a service until a signal, drain it and stop it.

    A second signal ends the drain; answers still under way are cut off then.
    """
    signals: asyncio.Queue[None] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, signals.put_nowait, None)
    await service.start()
    await signals.get()
    await drain_until(service, signals.get())
    await service.stop()


async def drain_until(service: Service, enough: Awaitable[None]) -> None:
    """Drain a service, but no longer than until `enough` is done."""
    drain = asyncio.ensure_future(service.drain())
    hurry = asyncio.ensure_future(enough)
    await asyncio.wait([drain, hurry], return_when=asyncio.FIRST_COMPLETED)
    for task in (drain, hurry):
        task.cancel()
    await asyncio.gather(drain, hurry, return_exceptions=True)
    if not drain.cancelled():
        drain.result()


def run_program(name: str, commands: type[NodeCommands]) -> None:
    """Run a command line; a user's mistake is one line and exit code 2."""
    try:
        fire.Fire(commands, name=name)
    except UserError as error:
        print(f"{name}: {error}", file=sys.stderr)
        sys.exit(EXIT_USER_ERROR)
    sys.exit(EXIT_OK)


def _explained(row: dict) -> list[str]:
    author = row["author"] or "unknown"
    lines = [f"{row['path']}  revision {row['revision']}  author {author}"]
    if row["newest_revision"] > row["revision"]:
        lines.append(f"  revision {row['newest_revision']} was rejected; see audit")
    lines += [f"  {line}" for line in row["in_force"].strip().splitlines()]
    return lines


def _audited(row: dict) -> str:
    reason = f"  {row['reason']}" if row["reason"] else ""
    author = f"  author {row['author']}" if row["author"] else ""
    return (
        f"revision {row['revision']}  {row['outcome']}  {row['path']}{author}{reason}"
    )
