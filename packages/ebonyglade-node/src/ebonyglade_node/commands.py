"""Sub-commands that both daemons have."""

import asyncio
import json
import logging
import signal
import sys
import urllib.error
import urllib.request
from collections.abc import Awaitable, Callable
from urllib.parse import quote

import fire
import zmq
from mode import Service

from ebonyglade.errors import EXIT_FAILURE, EXIT_OK, EXIT_USER_ERROR, UserError
from ebonyglade_node import logs
from ebonyglade_node.settings import NodeSettings, load

logger = logging.getLogger(__name__)

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

    def explain(
        self,
        settings: str,
        path: str = "",
        workspace: str = "",
        route: str = "",
    ) -> str:
        """Show what is in force, and which revision and author put it there.

        Args:
            settings: settings file of the running daemon.
            path: start of the configuration paths to show; all if empty.
            workspace: a workspace as TEAM/NAME, in place of a path.
            route: a route as TEAM/NAME, in place of a path.
        """
        chosen = path or _path_of(workspace, "workspaces") or _path_of(route, "routes")
        document = self._ask(settings, f"/explain?path={quote(chosen)}")
        lines = [f"configuration revision {document['revision']}"]
        for row in document["documents"]:
            lines += _explained(row)
        if not document["documents"]:
            lines.append(f"nothing is in force under {chosen or 'any path'}")
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

    SIGHUP calls the service's `reload`, where it has one.

    A second signal ends the drain; answers still under way are cut off then.

    Raises:
        UserError: an address of the settings can't be used.
    """
    stop, again = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    reload = getattr(service, "reload", _ignore_reload)
    loop.add_signal_handler(signal.SIGHUP, reload)
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, _note_signal, stop, again)
    try:
        await service.start()
    except (OSError, zmq.ZMQError) as error:
        await service.stop()
        raise UserError(f"could not start: {error}") from error
    await service.wait(stop)
    if service.crashed:
        logger.error("crashed", exc_info=service.crash_reason)
        await service.stop()
        sys.exit(EXIT_FAILURE)
    await drain_until(service, again.wait())
    await service.stop()


def _ignore_reload() -> None:
    logger.info("settings are read at the start only; restart to change them")


def _note_signal(stop: asyncio.Event, again: asyncio.Event) -> None:
    (again if stop.is_set() else stop).set()


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
        fire.Fire(commands(), name=name)
    except UserError as error:
        print(f"{name}: {error}", file=sys.stderr)
        sys.exit(EXIT_USER_ERROR)
    sys.exit(EXIT_OK)


def _path_of(name: str, kind: str) -> str:
    """Return the path of a document that is named TEAM/NAME; "" if it is not."""
    if not name:
        return ""
    team, slash, rest = name.partition("/")
    if not slash or not rest:
        raise UserError(f"{name}: must look like TEAM/NAME")
    return f"teams/{team}/{kind}/{rest}"


def _explained(row: dict) -> list[str]:
    author = row["author"] or "unknown"
    lines = [f"{row['path']}  revision {row['revision']}  author {author}"]
    if row["newest_revision"] > row["revision"]:
        lines.append(f"  revision {row['newest_revision']} was rejected; see audit")
    for name, value in row["in_force"].items():
        origin = "" if name in row["published"] else "  (default)"
        lines.append(f"  {name} = {json.dumps(value)}{origin}")
    return lines


def _audited(row: dict) -> str:
    reason = f"  {row['reason']}" if row["reason"] else ""
    author = f"  author {row['author']}" if row["author"] else ""
    return (
        f"revision {row['revision']}  {row['outcome']}  {row['path']}{author}{reason}"
    )
