"""A process's watch of the fake platform."""

from dataclasses import dataclass

from ebonyglade.agent import AgentCore
from ebonyglade.entry import EntryCore
from ebonyglade_lab.virtual.platform import VirtualPlatform
from ebonyglade_lab.virtual.process import Process

WATCH_WAIT_S = 30.0  # that one watch waits for a change
RETRY_S = 0.5  # before a failed read is tried again
LOOK_S = 0.2  # in which a watch learns of a change


@dataclass(slots=True)
class VirtualWatcher:
    """Watches the revision and reads all documents when it is this one's turn.

    Attributes:
        core: whose configuration it feeds.
        platform: what it reads.
        process: the process that it belongs to.
    """

    core: EntryCore | AgentCore
    platform: VirtualPlatform
    process: Process
    _seen: int = -1
    _waits_until: float = 0.0
    _read_at: float | None = None
    _look_at: float = 0.0

    @property
    def due(self) -> float:
        """Virtual seconds of the next step."""
        return self._look_at if self._read_at is None else self._read_at

    def step(self, now: float) -> None:
        """Do what is due at `now`, virtual seconds."""
        self._look_at = now + LOOK_S
        if not self.core.relay.reads:
            self._seen, self._waits_until, self._read_at = -1, 0.0, None
            return
        self._watch(now)
        if self._read_at is not None and now >= self._read_at:
            self._read_at = None
            self._read()
            if self.core.config.store.revision < self._seen:
                # The read failed, or an older copy answered: look again soon.
                self._seen = -1
                self._look_at = now + RETRY_S

    def _watch(self, now: float) -> None:
        revision = self.platform.newest(self.process.instance)
        if revision == self._seen and now < self._waits_until:
            return
        if revision is None:
            return
        self.platform.calls += 1
        self._waits_until = now + WATCH_WAIT_S
        if revision != self._seen:
            self._seen = revision
            self._read_at = now + self.core.relay.read_delay(revision)

    def _read(self) -> None:
        if self.core.config.store.revision >= self._seen:
            return
        copy = self.platform.read(self.process.instance)
        if copy is not None:
            self.core.config.take_snapshot(*copy)
