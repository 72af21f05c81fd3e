"""Mailboxes of the attempts that wait for answers from agents."""

import asyncio
from dataclasses import dataclass, field

from ebonyglade.ports import Sender, Transport
from ebonyglade.verdict import Verdict, refuse
from ebonyglade.wire.base import Message
from ebonyglade.wire.work import Cancel, Failed


@dataclass(slots=True)
class Attempt:
    """One try of a request at one agent.

    Attributes:
        id: unique over the fleet and time.
        instance: the agent.
        inbox: answers in order of arrival.
        incarnation: process that answered first; answers of others are dropped.
        ended: whether the agent holds nothing for this attempt any more.
    """

    id: str
    instance: str
    inbox: asyncio.Queue = field(default_factory=asyncio.Queue)
    incarnation: str = ""
    ended: bool = False


class Exchange:
    """Sends the messages of attempts and hands each answer to its attempt.

    An answer of an attempt that was closed, of another agent than the one
    asked, or of a restarted agent is dropped and counted.
    """

    def __init__(self, transport: Transport) -> None:
        self._transport = transport
        self._attempts: dict[str, Attempt] = {}
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Answers that belonged to no open attempt."""
        return self._dropped

    @property
    def open_attempts(self) -> dict[str, Attempt]:
        """Attempts that wait for answers, by id."""
        return self._attempts

    def open(self, attempt_id: str, instance: str) -> Attempt:
        """Start to take answers for an attempt."""
        attempt = Attempt(attempt_id, instance)
        self._attempts[attempt_id] = attempt
        return attempt

    def send(self, attempt: Attempt, message: Message) -> bool:
        """Send a message to the attempt's agent."""
        return self._transport.send(attempt.instance, message)

    def close(self, attempt: Attempt) -> None:
        """Stop taking answers; tell the agent to free what it still holds."""
        if self._attempts.pop(attempt.id, None) is None:
            return
        if not attempt.ended:
            self._transport.send(attempt.instance, Cancel(attempt.id))

    def deliver(self, sender: Sender, message: Message) -> None:
        """Hand an agent's answer to its attempt."""
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
        """Fail the attempts at an agent that is gone.

        Args:
            instance: the agent.
            incarnation: the process that runs there now, whose attempts go on.
        """
        for attempt in list(self._attempts.values()):
            if attempt.instance != instance:
                continue
            if incarnation and attempt.incarnation in ("", incarnation):
                continue
            attempt.inbox.put_nowait(lost(attempt.id))


def lost(attempt_id: str) -> Failed:
    """Return the failure of an attempt whose agent is gone."""
    refusal = refuse("agent_lost")
    return Failed(attempt_id, refusal.code, Verdict.MAY_HAVE_RUN.value, refusal.message)
