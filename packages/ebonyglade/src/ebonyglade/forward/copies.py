"""Members hand each other what they know of the store.

A member that can't reach the store goes on with its neighbours' copies. A copy
is as old as it was at the neighbour when it answered, and what it answered was
known at the earliest when it was asked.
"""

from dataclasses import dataclass, field

from ebonyglade.context import Context
from ebonyglade.forward.belief import Belief
from ebonyglade.forward.members import Member
from ebonyglade.forward.types import Document
from ebonyglade.ports import Sender
from ebonyglade.wire.fleet import (
    Beat,
    CopyAnswer,
    CopyAsk,
    CopyDocument,
    StoreState,
)

ASK_S = 0.3  # between two asks, so that a slow answer is not asked for twice


@dataclass(slots=True)
class Copies:
    """Keeps a belief as new as the newest that any live member has."""

    context: Context
    belief: Belief
    _asked: dict[str, float] = field(default_factory=dict)

    def start(self) -> None:
        """Answer members' asks."""
        self.context.handle({CopyAsk: self._on_ask, CopyAnswer: self._on_answer})

    def state(self) -> StoreState:
        """Return how far this process' copy goes."""
        age = self.belief.age(self.context.clock())
        known = self.belief.as_of > 0 and age < float("inf")
        return StoreState(self.belief.as_of, age if known else -1.0)

    def on_beat(self, member: Member, beat: Beat) -> None:
        """Take a member's word on how new its copy is."""
        state = beat.store
        if state.age_s < 0:
            return
        if state.as_of > self.belief.as_of:
            self._ask(member)
        elif beat.echo >= 0:
            # Everything up to the member's newest confirmation is in the copy.
            self.belief.confirm(beat.echo - state.age_s)

    def _ask(self, member: Member) -> None:
        now = self.context.clock()
        if now - self._asked.get(member.address, float("-inf")) < ASK_S:
            return
        self._asked[member.address] = now
        self.context.send(member.address, CopyAsk(self.belief.as_of, now))

    def _on_ask(self, sender: Sender, ask: CopyAsk) -> None:
        belief = self.belief
        state = self.state()
        if state.age_s < 0:
            return
        answer = CopyAnswer(
            ask.sent_at,
            state.as_of,
            state.age_s,
            [item.path for item in belief.documents()],
            [
                CopyDocument(item.path, item.value, item.revision)
                for item in belief.documents()
                if item.revision > ask.after
            ],
        )
        self.context.transport.learn(sender.instance, sender.address)
        self.context.send(sender.instance, answer)

    def _on_answer(self, sender: Sender, answer: CopyAnswer) -> None:
        belief = self.belief
        if answer.as_of < belief.as_of:
            return
        changed = [
            Document(item.path, item.value, item.revision) for item in answer.changed
        ]
        kept = set(answer.paths)
        gone = [
            Document(item.path, None, answer.as_of)
            for item in belief.documents()
            if item.path not in kept and item.revision <= answer.as_of
        ]
        belief.apply([*changed, *gone], answer.as_of)
        belief.confirm(answer.sent_at - answer.age_s)
