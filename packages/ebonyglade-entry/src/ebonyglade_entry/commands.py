"""Command line of the entry daemon."""

import json
import urllib.error
import urllib.request
from urllib.parse import urlencode

from ebonyglade.errors import UserError
from ebonyglade_entry.forwarding import program
from ebonyglade_entry.forwarding.settings import ForwardSettings
from ebonyglade_entry.forwarding.where import format_explanation
from ebonyglade_entry.service import Entry
from ebonyglade_entry.settings import EntrySettings
from ebonyglade_node.commands import STATUS_TIMEOUT_S, NodeCommands, run_program
from ebonyglade_node.settings import load


class Commands(NodeCommands):
    """ebonyglade-entry serves callers and sends their requests to agents."""

    _settings_model = EntrySettings
    _service = Entry

    def forward(self, settings: str) -> None:
        """Run an entry that sends requests directly to endpoints, not through agents.

        Args:
            settings: path of the TOML settings file.
        """
        program.forward(settings)

    def where(
        self,
        settings: str,
        host: str,
        path: str = "/",
        workspace: str = "",
        method: str = "GET",
        body_bytes: int = 0,
        prompt_tokens: int = 0,
        answer_tokens: int = 0,
    ) -> str:
        """Show where a forwarding entry would send a request now, and why.

        Nothing is sent to an endpoint.

        Args:
            settings: settings file of the running entry, with a metrics port.
            host: value of the request's Host header.
            path: its path and query.
            workspace: name of its workspace.
            method: HTTP method.
            body_bytes: size of its body.
            prompt_tokens: tokens of its prompt; 0 for a plain request.
            answer_tokens: expected tokens of its answer.
        """
        query = {
            "host": host,
            "path": path,
            "workspace": workspace,
            "method": method,
            "body_bytes": body_bytes,
            "prompt_tokens": prompt_tokens,
            "answer_tokens": answer_tokens,
        }
        return format_explanation(_query_entry(settings, urlencode(query)))


def _query_entry(settings: str, query: str) -> dict:
    section = load(settings, ForwardSettings).listen
    if not section.metrics_port:
        raise UserError(f"{settings}: listen.metrics_port is not set")
    url = f"http://{section.metrics_address}/where?{query}"
    try:
        with urllib.request.urlopen(url, timeout=STATUS_TIMEOUT_S) as response:
            return json.load(response)
    except (urllib.error.URLError, TimeoutError, ValueError) as error:
        raise UserError(f"no running entry answers at {url}: {error}") from error


def main() -> None:
    """Run the command line."""
    run_program("ebonyglade-entry", Commands)
