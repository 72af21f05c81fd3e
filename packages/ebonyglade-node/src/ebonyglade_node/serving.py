"""Runs a service until a signal, and tells a user's mistakes in one line."""

import asyncio
import logging
import signal
import sys
from collections.abc import Awaitable, Callable

import zmq
from mode import Service

from ebonyglade.errors import EXIT_FAILURE, EXIT_OK, EXIT_USER_ERROR, UserError

logger = logging.getLogger(__name__)


def run_reporting(name: str, action: Callable[[], object]) -> None:
    """Run a program's action and end the process.

    A user's mistake is one line on standard error and exit code 2.

    Args:
        name: of the program.
        action: what it does.
    """
    try:
        action()
    except UserError as error:
        print(f"{name}: {error}", file=sys.stderr)
        sys.exit(EXIT_USER_ERROR)
    sys.exit(EXIT_OK)


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
