"""How the process of a daemon ends."""

import asyncio
import os
import signal

import pytest
from mode import Service

from ebonyglade_node.serving import serve


class Child(Service):
    @Service.task
    async def _fail(self):
        await asyncio.sleep(0.01)
        raise ValueError("a bug")


class Daemon(Service):
    drained = False

    async def drain(self):
        self.drained = True


class SlowDaemon(Daemon):
    async def drain(self):
        await asyncio.sleep(0.3)
        self.drained = True


class Failing(Daemon):
    async def on_start(self):
        await self.add_runtime_dependency(Child())


async def test_crash_of_a_child_service_ends_the_process_with_exit_code_1():
    with pytest.raises(SystemExit) as ended:
        async with asyncio.timeout(5):
            await serve(Failing())
    assert ended.value.code == 1


async def test_signal_drains_the_service_before_stopping_it():
    daemon = Daemon()
    asyncio.get_running_loop().call_later(0.05, os.kill, os.getpid(), signal.SIGTERM)
    async with asyncio.timeout(5):
        await serve(daemon)
    assert daemon.drained


# Platforms may send SIGTERM again; SIGKILL ends what takes too long.
@pytest.mark.parametrize(
    ("again", "drained"), [(signal.SIGTERM, True), (signal.SIGINT, False)]
)
async def test_only_an_interrupt_ends_a_drain_that_has_begun(again, drained):
    daemon, loop = SlowDaemon(), asyncio.get_running_loop()
    loop.call_later(0.05, os.kill, os.getpid(), signal.SIGTERM)
    loop.call_later(0.15, os.kill, os.getpid(), again)
    async with asyncio.timeout(5):
        await serve(daemon)
    assert daemon.drained is drained
