"""Runs a service of the programs that forward requests, from its settings file."""

import asyncio
from collections.abc import Callable

from mode import Service

from ebonyglade_node import logs
from ebonyglade_node.forward_settings import ForwardNodeSettings
from ebonyglade_node.serving import serve
from ebonyglade_node.settings import load


def run_service(
    path: str,
    model: type[ForwardNodeSettings],
    service: Callable[[ForwardNodeSettings, str], Service],
) -> None:
    """Run a service until a signal.

    Args:
        path: of the TOML settings file.
        model: what the file must hold.
        service: made from the settings and their path, which it reads again.

    Raises:
        UserError: the settings are wrong, or an address can't be used.
    """
    settings = load(path, model)
    logs.configure(settings.logs, settings.instance.name)
    asyncio.run(serve(service(settings, path)))
