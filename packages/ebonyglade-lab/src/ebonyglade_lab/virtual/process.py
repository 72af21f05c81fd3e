"""A process on the virtual clock, which can be killed, paused and resumed."""

import asyncio
import contextvars
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

_current_process: contextvars.ContextVar["Process | None"] = contextvars.ContextVar(
    "process", default=None
)


@dataclass(eq=False, slots=True)
class Process:
    """A simulated process and its tasks.

    Attributes:
        instance: instance id.
        incarnation: id that is new at each start.
        killed: whether it was killed.
    """

    instance: str
    incarnation: str
    killed: bool = False
    _paused_since: float | None = None
    # A dict is ordered, so that tasks are cancelled in the same order in every run.
    _tasks: dict[asyncio.Task, None] = field(default_factory=dict)
    _running: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self._running.set()

    @property
    def paused(self) -> bool:
        """Whether the process is paused."""
        return not self._running.is_set()

    def clock(self) -> float:
        """Return monotonic seconds; the clock of a paused process stands still."""
        if self._paused_since is not None:
            return self._paused_since
        return asyncio.get_running_loop().time()

    def spawn(self, coroutine: Coroutine) -> asyncio.Task:
        """Run a coroutine, and all tasks that it starts, in this process."""
        context = contextvars.copy_context()
        context.run(_current_process.set, self)
        return asyncio.get_running_loop().create_task(coroutine, context=context)

    def call(self, function: Callable[..., None], *args: object) -> None:
        """Call a function so that the tasks that it starts belong to this process."""
        context = contextvars.copy_context()
        context.run(_current_process.set, self)
        context.run(function, *args)

    def pause(self) -> None:
        """Pause: nothing is sent, received or started until `resume`."""
        self._paused_since = self.clock()
        self._running.clear()

    def resume(self) -> None:
        """Resume; tasks continue with the state that they had before the pause."""
        self._paused_since = None
        self._running.set()

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.pop(task, None)

    async def wait_until_running(self) -> None:
        """Wait while the process is paused; cancels the task if it was killed."""
        await self._running.wait()
        if self.killed:
            raise asyncio.CancelledError

    def kill(self) -> None:
        """Kill the process; what its tasks do afterwards has no effect."""
        self.killed = True
        self._running.set()
        for task in list(self._tasks):
            task.cancel()


def track_tasks(loop: asyncio.AbstractEventLoop) -> None:
    """Assign each new task of a loop to the process that starts it."""

    def factory(
        loop: asyncio.AbstractEventLoop, coroutine: Coroutine, **options: object
    ) -> asyncio.Task:
        task = asyncio.Task(coroutine, loop=loop, **options)
        context = options.get("context")
        process = context[_current_process] if context else _current_process.get()
        if process is not None:
            process._tasks[task] = None
            task.add_done_callback(process._on_task_done)
        return task

    loop.set_task_factory(factory)
