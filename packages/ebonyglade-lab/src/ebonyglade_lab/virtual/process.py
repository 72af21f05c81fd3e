"""One process on the virtual clock: it can be killed, paused and woken."""

import asyncio
import contextvars
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

_current: contextvars.ContextVar["Process | None"] = contextvars.ContextVar(
    "process", default=None
)


@dataclass(eq=False, slots=True)
class Process:
    """A process and its tasks.

    Attributes:
        instance: instance id.
        incarnation: new at each start.
        dead: whether it was killed.
    """

    instance: str
    incarnation: str
    dead: bool = False
    _stood_since: float | None = None
    # A dict keeps the order in which tasks are cancelled the same in every run.
    _tasks: dict[asyncio.Task, None] = field(default_factory=dict)
    _awake: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self._awake.set()

    @property
    def paused(self) -> bool:
        """Whether the process stands still."""
        return not self._awake.is_set()

    def clock(self) -> float:
        """Return monotonic seconds as the process sees them."""
        if self._stood_since is not None:
            return self._stood_since
        return asyncio.get_running_loop().time()

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Run a coroutine, and all tasks that it starts, in this process."""
        context = contextvars.copy_context()
        context.run(_current.set, self)
        return asyncio.get_running_loop().create_task(work, context=context)

    def enter(self, function: Callable[..., None], *args: object) -> None:
        """Call a plain function so that its tasks belong to this process."""
        context = contextvars.copy_context()
        context.run(_current.set, self)
        context.run(function, *args)

    def pause(self) -> None:
        """Stand still: nothing is sent, taken or started until `wake`."""
        self._stood_since = self.clock()
        self._awake.clear()

    def wake(self) -> None:
        """Go on, with everything decided before still in hand."""
        self._stood_since = None
        self._awake.set()

    def _forget(self, task: asyncio.Task) -> None:
        self._tasks.pop(task, None)

    async def awake(self) -> None:
        """Wait while the process stands still; a dead one never goes on."""
        await self._awake.wait()
        if self.dead:
            raise asyncio.CancelledError

    def kill(self) -> None:
        """End at once: nothing that the tasks do afterwards has an effect."""
        self.dead = True
        self._awake.set()
        for task in list(self._tasks):
            task.cancel()


def track_tasks(loop: asyncio.AbstractEventLoop) -> None:
    """Make each new task of a loop belong to the process that starts it."""

    def factory(
        loop: asyncio.AbstractEventLoop, work: Coroutine, **options: object
    ) -> asyncio.Task:
        task = asyncio.Task(work, loop=loop, **options)
        context = options.get("context")
        process = context[_current] if context else _current.get()
        if process is not None:
            process._tasks[task] = None
            task.add_done_callback(process._forget)
        return task

    loop.set_task_factory(factory)
