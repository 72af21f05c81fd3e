"""Sends the messages of attempts and routes agents' answers back to them."""

import asyncio
from dataclasses import dataclass, field

from ebonyglade.ports import Sender, Transport
from ebonyglade.verdict import Verdict, refuse
from ebonyglade.wire.base import Message
from ebonyglade.wire.work import Cancel, Failed


@dataclass(slots=True)
class Attempt:
    """One attempt of a request at one agent.

    Attributes:
        id: unique in the fleet and never reused.
        instance: the agent.
        inbox: answers in order of arrival.
        incarnation: process that answered first; answers of others are dropped.
        ended: whether the agent has nothing left to free for this attempt.
    """

    id: str
    instance: str
    inbox: asyncio.Queue = field(default_factory=asyncio.Queue)
    incarnation: str = ""
    ended: bool = False


class Exchange:
    """Sends messages for attempts and puts each answer into its attempt's inbox.

    An answer is dropped and counted if its attempt is closed, or if it comes from
    another agent than the one asked or from another process of that agent.
    """

    def __init__(self, transport: Transport) -> None:
        self._transport = transport
        self._attempts: dict[str, Attempt] = {}
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Number of answers that matched no open attempt."""
        return self._dropped

    @property
    def open_attempts(self) -> dict[str, Attempt]:
        """Attempts that wait for answers, by id."""
        return self._attempts

    def open(self, attempt_id: str, instance: str) -> Attempt:
        """Create an attempt that accepts answers."""
        attempt = Attempt(attempt_id, instance)
        self._attempts[attempt_id] = attempt
        return attempt

    def send(self, attempt: Attempt, message: Message) -> bool:
        """Send a message to the attempt's agent."""
        return self._transport.send(attempt.instance, message)

    def close(self, attempt: Attempt) -> None:
        """Stop accepting answers, and cancel the attempt at the agent if needed."""
        if self._attempts.pop(attempt.id, None) is None:
            return
        if not attempt.ended:
            self._transport.send(attempt.instance, Cancel(attempt.id))

    def deliver(self, sender: Sender, message: Message) -> None:
        """Put an agent's answer into its attempt's inbox."""
        attempt = self._attempts.get(message.attempt)
        if attempt is None or attempt.instance != sender.instance:
            self._dropped += 1
            return
        attempt.incarnation = attempt.incarnation or sender.incarnation
        if attempt.incarnation != sender.incarnation:
            self._dropped += 1
            return
        attempt.inbox.put_nowait(message)

    def peer_lost(self, instance: str, incarnation: str = "") -> None:
        """Fail the attempts at an agent that died or restarted.

        Args:
            instance: the agent.
            incarnation: the process that runs there now; its attempts and those without
                an answer continue. Empty if there is none.
        """
        for attempt in list(self._attempts.values()):
            if attempt.instance != instance:
                continue
            if incarnation and attempt.incarnation in ("", incarnation):
                continue
            attempt.inbox.put_nowait(agent_lost_failure(attempt.id))


def agent_lost_failure(attempt_id: str) -> Failed:
    """Return the failure message for an attempt whose agent died."""
    refusal = refuse("agent_lost")
    return Failed(attempt_id, refusal.code, Verdict.MAY_HAVE_RUN.value, refusal.message)
