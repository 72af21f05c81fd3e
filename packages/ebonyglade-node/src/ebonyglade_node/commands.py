"""Sub-commands shared by both daemons."""

import asyncio
import json
import urllib.error
import urllib.request
from collections.abc import Callable
from urllib.parse import quote

import fire
from mode import Service

from ebonyglade.errors import UserError
from ebonyglade_node import logs
from ebonyglade_node.serving import run_and_exit, serve
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

    def explain(
        self,
        settings: str,
        path: str = "",
        workspace: str = "",
        route: str = "",
    ) -> str:
        """Show the configuration documents in force, with their revisions and authors.

        Args:
            settings: settings file of the running daemon.
            path: prefix of the configuration paths to show; all if empty.
            workspace: a workspace as TEAM/NAME, in place of a path.
            route: a route as TEAM/NAME, in place of a path.
        """
        prefix = (
            path
            or _document_path(workspace, "workspaces")
            or _document_path(route, "routes")
        )
        document = self._query_daemon(settings, f"/explain?path={quote(prefix)}")
        lines = [f"configuration revision {document['revision']}"]
        for row in document["documents"]:
            lines += _format_document(row)
        if not document["documents"]:
            lines.append(f"nothing is in force under {prefix or 'any path'}")
        return "\n".join(lines)

    def audit(self, settings: str, path: str = "") -> str:
        """Show the configuration changes that the daemon saw, and why any was rejected.

        Args:
            settings: settings file of the running daemon.
            path: prefix of the configuration paths to show.
        """
        rows = self._query_daemon(settings, f"/audit?path={quote(path)}")
        return "\n".join(_format_record(row) for row in rows) or "no changes seen"

    def _query_daemon(self, settings: str, target: str) -> dict | list:
        section = load(settings, self._settings_model).status
        url = f"http://{section.host}:{section.port}{target}"
        try:
            with urllib.request.urlopen(url, timeout=STATUS_TIMEOUT_S) as response:
                return json.load(response)
        except (urllib.error.URLError, TimeoutError, ValueError) as error:
            raise UserError(f"no running daemon answers at {url}: {error}") from error


def run_program(name: str, commands: type[NodeCommands]) -> None:
    """Run a command line; print a `UserError` in one line and exit with code 2."""
    run_and_exit(name, lambda: fire.Fire(commands(), name=name))


def _document_path(name: str, kind: str) -> str:
    """Return the path of the document named TEAM/NAME; "" for an empty name."""
    if not name:
        return ""
    team, slash, rest = name.partition("/")
    if not slash or not rest:
        raise UserError(f"{name}: must look like TEAM/NAME")
    return f"teams/{team}/{kind}/{rest}"


def _format_document(row: dict) -> list[str]:
    author = row["author"] or "unknown"
    lines = [f"{row['path']}  revision {row['revision']}  author {author}"]
    if row["newest_revision"] > row["revision"]:
        lines.append(f"  revision {row['newest_revision']} was rejected; see audit")
    for name, value in row["in_force"].items():
        origin = "" if name in row["published"] else "  (default)"
        lines.append(f"  {name} = {json.dumps(value)}{origin}")
    return lines


def _format_record(row: dict) -> str:
    reason = f"  {row['reason']}" if row["reason"] else ""
    author = f"  author {row['author']}" if row["author"] else ""
    return (
        f"revision {row['revision']}  {row['outcome']}  {row['path']}{author}{reason}"
    )
