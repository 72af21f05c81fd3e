"""Runs the daemons of a deployment where entries call endpoints directly."""

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
    """Run a service until a signal stops it.

    Args:
        path: path of the TOML settings file.
        model: model that the file is validated against.
        service: creates the service from the settings and their path, from which
                it reloads them.

    Raises:
        UserError: the settings are invalid, or an address can't be used.
    """
    settings = load(path, model)
    logs.configure(settings.logs, settings.instance.name)
    asyncio.run(serve(service(settings, path)))
