"""Answers of other processes that this process waits for."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from ebonyglade.wire.base import Message


@dataclass(slots=True)
class PendingAnswers:
    """What was asked and not answered yet, by the id that the answer repeats."""

    _pending: dict[str, asyncio.Future] = field(default_factory=dict)

    async def ask(
        self, ask_id: str, send: Callable[[], bool], timeout_s: float
    ) -> Message | None:
        """Send a question and wait for its answer.

        Args:
            ask_id: id of the question.
            send: sends the question; returns whether it was sent.
            timeout_s: seconds within which the answer must arrive.

        Returns:
            The answer, or None if the question could not be sent.

        Raises:
            TimeoutError: no answer came in time.
        """
        future = asyncio.get_running_loop().create_future()
        self._pending[ask_id] = future
        try:
            if not send():
                return None
            async with asyncio.timeout(timeout_s):
                return await future
        finally:
            del self._pending[ask_id]

    def resolve(self, ask_id: str, answer: Message) -> bool:
        """Pass an answer to who waits for it; the first one counts.

        Returns:
            Whether it was waited for.
        """
        future = self._pending.get(ask_id)
        if future is None or future.done():
            return False
        future.set_result(answer)
        return True
