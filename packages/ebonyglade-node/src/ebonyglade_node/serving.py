"""Runs a service until a signal, and reports user errors in one line."""

import asyncio
import gc
import logging
import signal
import sys
from collections.abc import Awaitable, Callable

import zmq
from mode import Service

from ebonyglade.errors import EXIT_FAILURE, EXIT_OK, EXIT_USER_ERROR, UserError

logger = logging.getLogger(__name__)


def run_and_exit(name: str, action: Callable[[], object]) -> None:
    """Run a program and exit the process.

    A `UserError` is printed to standard error in one line, with exit code 2.

    Args:
        name: name of the program.
        action: body of the program.
    """
    try:
        action()
    except UserError as error:
        print(f"{name}: {error}", file=sys.stderr)
        sys.exit(EXIT_USER_ERROR)
    sys.exit(EXIT_OK)


async def serve(service: Service) -> None:
    """Run a service until SIGTERM or SIGINT, then drain it and stop it.

    SIGHUP calls the service's `reload`, if it has one. A SIGINT during the drain aborts
    it and with it the active requests. Another SIGTERM does not: who sends it also
    sends SIGKILL when the grace period is over.

    Raises:
        UserError: an address of the settings can't be used.
    """
    stop, abort = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    reload = getattr(service, "reload", _ignore_reload)
    loop.add_signal_handler(signal.SIGHUP, reload)
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, _on_interrupt, stop, abort)
    try:
        await service.start()
    except (OSError, zmq.ZMQError) as error:
        await service.stop()
        raise UserError(f"could not start: {error}") from error
    # What exists now stays. Without it, later collections are cheap and come soon, so
    # that closed connections, whose objects refer to each other, are released.
    gc.freeze()
    await service.wait(stop)
    if service.crashed:
        logger.error("crashed", exc_info=service.crash_reason)
        await service.stop()
        sys.exit(EXIT_FAILURE)
    await drain_or_abort(service, abort.wait())
    await service.stop()


def _ignore_reload() -> None:
    logger.info(
        "SIGHUP ignored: settings are read only at the start; restart to change them"
    )


def _on_interrupt(stop: asyncio.Event, abort: asyncio.Event) -> None:
    (abort if stop.is_set() else stop).set()


async def drain_or_abort(service: Service, abort: Awaitable[None]) -> None:
    """Drain a service until the drain ends or `abort` is done."""
    drain_task = asyncio.ensure_future(service.drain())
    abort_task = asyncio.ensure_future(abort)
    await asyncio.wait([drain_task, abort_task], return_when=asyncio.FIRST_COMPLETED)
    for task in (drain_task, abort_task):
        task.cancel()
    await asyncio.gather(drain_task, abort_task, return_exceptions=True)
    if not drain_task.cancelled():
        drain_task.result()
