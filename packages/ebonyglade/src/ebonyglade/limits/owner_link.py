"""Selects the instance that an entry asks for the rate tokens of a group."""

from dataclasses import dataclass, field

from ebonyglade.ownership.ownership import Ownership

ANSWER_TIMEOUT_S = 0.4
SILENT_BACKOFF_S = 2.0
# An older ask says nothing about the present state of the owner. Callers that obey
# `retry_after`, which is one lease duration, come back within this time.
ASK_EXPIRY_S = 6.0
CANDIDATES_TRIED = 4  # entries of the rendezvous order tried when the owner is silent


@dataclass(slots=True)
class OwnerLink:
    """State of the exchange with the owner of one group.

    Attributes:
        group: the group.
        epoch: lease under which the tokens held now were granted.
        epoch_seq: sequence number of the newest message applied from its owner.
        target: instance to ask; empty if none is chosen.
        unanswered_since: when the first ask without an answer was sent.
        no_grant_since: when the first ask without a grant was sent; redirects to
            another instance do not clear it.
        last_asked: when the newest ask was sent.
        silent_until: for each silent instance, the time until which it is not asked.
    """

    group: int
    epoch: str = ""
    epoch_seq: int = 0
    target: str = ""
    unanswered_since: float | None = None
    no_grant_since: float | None = None
    last_asked: float = float("-inf")
    silent_until: dict[str, float] = field(default_factory=dict)

    def choose_target(self, ownership: Ownership, now: float) -> str | None:
        """Return the instance to ask: the known target or the next candidate."""
        self.silent_until = {
            name: at for name, at in self.silent_until.items() if at > now
        }
        if ownership.current_lease(self.group, now) is not None:
            # This process holds the lease; others may still name a former owner.
            self.target = ownership.me
        if self.target and self.target not in self.silent_until:
            return self.target
        guess = ownership.likely_owner(self.group)
        candidates = ownership.ranked_entries(self.group, CANDIDATES_TRIED)
        names = [
            name
            for name in (guess, *candidates)
            if name and name not in self.silent_until
        ]
        self.target = names[0] if names else ""
        return self.target or None

    def note_ask(self, now: float) -> None:
        """Record that an ask was sent."""
        if self.unanswered_since is None:
            self.unanswered_since = now
        if self.no_grant_since is None or now - self.last_asked > ASK_EXPIRY_S:
            self.no_grant_since = now
        self.last_asked = now

    def note_grant(self) -> None:
        """Record an answer of the owner."""
        self.note_answer()
        self.no_grant_since = None

    def note_answer(self) -> None:
        """Record an answer of any kind."""
        self.unanswered_since = None

    def redirect(self, holder: str) -> None:
        """Ask the named holder from now on, or the next candidate if it is silent."""
        self.note_answer()
        self.target = "" if holder in self.silent_until else holder

    def drop_silent_target(self, now: float) -> bool:
        """Stop asking a silent target for a while; return whether it was silent."""
        if (
            self.unanswered_since is None
            or now < self.unanswered_since + ANSWER_TIMEOUT_S
        ):
            return False
        self.silent_until[self.target] = now + SILENT_BACKOFF_S
        self.target = ""
        self.unanswered_since = None
        return True
