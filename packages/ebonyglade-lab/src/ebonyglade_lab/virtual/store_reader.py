"""Reads the configuration of a process from the simulated platform."""

from dataclasses import dataclass

from ebonyglade.agent import AgentCore
from ebonyglade.entry import EntryCore
from ebonyglade_lab.virtual.platform import VirtualPlatform
from ebonyglade_lab.virtual.process import Process

WATCH_TIMEOUT_S = 30.0  # for which one watch waits for a change
RETRY_S = 0.5  # delay before the retry of a failed read
POLL_S = 0.2  # time until a watch notices a change


@dataclass(slots=True)
class VirtualStoreReader:
    """Watches the revision and reads all documents after a change.

    Only the few processes that `core.relay` chooses as readers do so, each after its
    own delay; the others get changes from them.

    Attributes:
        core: core whose configuration is updated.
        platform: the simulated platform.
        process: process of the core.
    """

    core: EntryCore | AgentCore
    platform: VirtualPlatform
    process: Process
    _seen_revision: int = -1
    _watch_expires_at: float = 0.0
    _read_at: float | None = None
    _next_poll_at: float = 0.0

    @property
    def due(self) -> float:
        """Virtual seconds at which `step` is to be called next."""
        return self._next_poll_at if self._read_at is None else self._read_at

    def step(self, now: float) -> None:
        """Watch and read as far as it is due at `now`, virtual seconds."""
        self._next_poll_at = now + POLL_S
        if not self.core.relay.reads_platform:
            self._seen_revision, self._watch_expires_at, self._read_at = -1, 0.0, None
            return
        self._poll_revision(now)
        if self._read_at is not None and now >= self._read_at:
            self._read_at = None
            self._read_documents()
            if self.core.config.store.revision < self._seen_revision:
                # The read failed or returned an older copy: watch again soon.
                self._seen_revision = -1
                self._next_poll_at = now + RETRY_S

    def _poll_revision(self, now: float) -> None:
        revision = self.platform.latest_revision(self.process.instance)
        if revision == self._seen_revision and now < self._watch_expires_at:
            return
        if revision is None:
            return
        self.platform.calls += 1
        self._watch_expires_at = now + WATCH_TIMEOUT_S
        if revision != self._seen_revision:
            self._seen_revision = revision
            self._read_at = now + self.core.relay.read_delay(revision)

    def _read_documents(self) -> None:
        if self.core.config.store.revision >= self._seen_revision:
            return
        snapshot = self.platform.read(self.process.instance)
        if snapshot is not None:
            self.core.config.apply_snapshot(*snapshot)
