"""Which instance an entry asks for the rights of each group."""

from dataclasses import dataclass, field

from ebonyglade.ownership.ownership import Ownership

ANSWER_S = 0.4
FAILED_S = 2.0
# An ask that is older says nothing of now. Callers that obey the time to come back,
# a lease, ask within it.
OLD_ASK_S = 6.0
TRIED = 4  # entries in line that are tried when the owner does not answer


@dataclass(slots=True)
class Link:
    """How to reach the owner of one group.

    Attributes:
        group: the group.
        epoch: lease under which the rights at hand were granted.
        epoch_seq: newest message taken from its owner.
        target: whom to ask.
        unanswered: when the first ask without an answer was sent.
        ownerless: when the first ask without a grant was sent; answers that only
            name another instance don't end it.
        asked: when the newest ask was sent.
        failed: until when each silent instance is not asked.
    """

    group: int
    epoch: str = ""
    epoch_seq: int = 0
    target: str = ""
    unanswered: float | None = None
    ownerless: float | None = None
    asked: float = float("-inf")
    failed: dict[str, float] = field(default_factory=dict)

    def choose(self, ownership: Ownership, now: float) -> str | None:
        """Return whom to ask: the known target or the next in line."""
        self.failed = {name: at for name, at in self.failed.items() if at > now}
        if ownership.holds(self.group, now) is not None:
            # Others may still point elsewhere; this process knows best.
            self.target = ownership.me
        if self.target and self.target not in self.failed:
            return self.target
        guess = ownership.owner_of(self.group)
        line = ownership.in_line(self.group, TRIED)
        names = [name for name in (guess, *line) if name and name not in self.failed]
        self.target = names[0] if names else ""
        return self.target or None

    def sent(self, now: float) -> None:
        """Note an ask."""
        if self.unanswered is None:
            self.unanswered = now
        if self.ownerless is None or now - self.asked > OLD_ASK_S:
            self.ownerless = now
        self.asked = now

    def granted(self) -> None:
        """Note an owner's answer."""
        self.answered()
        self.ownerless = None

    def answered(self) -> None:
        """Note an answer."""
        self.unanswered = None

    def redirected(self, holder: str) -> None:
        """Ask the named holder from now on, or whoever is next in line."""
        self.answered()
        self.target = "" if holder in self.failed else holder

    def check(self, now: float) -> bool:
        """Give a silent target up for a while; return whether it was."""
        if self.unanswered is None or now < self.unanswered + ANSWER_S:
            return False
        self.failed[self.target] = now + FAILED_S
        self.target = ""
        self.unanswered = None
        return True
