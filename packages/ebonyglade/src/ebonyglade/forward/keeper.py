"""The agent's decisions beside a model endpoint that entries call directly.

It alone orders its endpoint, and tells entries how much memory is free there.
"""

import logging
from dataclasses import dataclass

from ebonyglade.audit import AuditTrail
from ebonyglade.context import Context
from ebonyglade.forward.adapter import Adapter
from ebonyglade.forward.belief import Belief
from ebonyglade.forward.copies import Copies
from ebonyglade.forward.members import Member, Members
from ebonyglade.forward.room import Rank, ReadingTurns, RoomBook
from ebonyglade.forward.stages import MISSING_S, SETTLED_S, Wanted, wanted_change
from ebonyglade.forward.types import Endpoint, EngineReport, Stage
from ebonyglade.ports import Sender
from ebonyglade.wire.fleet import (
    Beat,
    EngineState,
    RoomAnswer,
    RoomAsk,
    RoomDrop,
    TurnAsk,
    TurnDone,
)

logger = logging.getLogger(__name__)

# An order rests on a list that was confirmed within this time.
LIST_AGE_S = 2.5
CHANGE_AGE_S = 1.5  # what an agent told of its endpoint's change holds so long
REPORT_AGE_S = 1.0  # room is given on a report that is younger
WAIT_S = {Stage.DECODE: SETTLED_S, Stage.PREFILL: MISSING_S}


@dataclass(frozen=True, slots=True)
class Order:
    """An order to the endpoint beside this agent.

    Attributes:
        stage: what it is to do.
        fence: fencing number; the store's revision, which never falls and
            outlives restarts of this process.
        expected: orders that the endpoint has accepted so far.
    """

    stage: Stage
    fence: int
    expected: int


class Keeper:
    """Decides what the endpoint beside an agent is to do."""

    def __init__(
        self,
        context: Context,
        adapter: Adapter,
        address: str,
        seeds: tuple[str, ...],
        audit: AuditTrail,
    ) -> None:
        self.context = context
        self.belief = Belief(adapter, context.clock, audit)
        self.copies = Copies(context, self.belief)
        self.members = Members(context, seeds, self._compose)
        self._address = address
        self._report: EngineReport | None = None
        self._reported_at = 0.0
        self._wanted: Wanted | None = None
        self._wanted_since = 0.0
        self._changes: dict[str, float] = {}
        self._room = RoomBook()
        self._turns = ReadingTurns()

    def start(self) -> None:
        """Join the fleet."""
        self.copies.start()
        self.members.on_beat += [self.copies.on_beat, self._on_beat]
        self.members.start()
        self.context.handle(
            {
                RoomAsk: self._on_ask,
                RoomDrop: self._on_drop,
                TurnAsk: self._on_turn_ask,
                TurnDone: self._on_turn_done,
            }
        )

    @property
    def endpoint(self) -> Endpoint | None:
        """The endpoint beside this agent, as the store lists it."""
        listed = self.belief.roster.endpoints.values()
        return next((item for item in listed if item.address == self._address), None)

    def reported(self, report: EngineReport) -> Order | None:
        """Take the endpoint's state; return the order to give now, if any."""
        now = self.context.clock()
        if self._report is not None and report.born_ms != self._report.born_ms:
            self._room.clear()
        self._report, self._reported_at = report, now
        self._room.reported(report.runs, report.memory_used, report.memory_total, now)
        mine = self.endpoint
        if mine is None or mine.leaving or self.belief.age(now) > LIST_AGE_S:
            return None
        serving = self.belief.roster.of(mine.service)
        wanted = wanted_change(serving, self._changing(now))
        if wanted != self._wanted:
            self._wanted, self._wanted_since = wanted, now
        if wanted is None or wanted.endpoint != mine.id or report.busy:
            return None
        if report.born_ms != mine.born_ms:
            # The list does not show the process that runs there now.
            return None
        if report.stage is wanted.stage:
            return None
        if now - self._wanted_since < WAIT_S[wanted.stage]:
            return None
        return Order(wanted.stage, self.belief.as_of, report.orders)

    def _on_beat(self, member: Member, beat: Beat) -> None:
        """Note whose endpoint changes its stage."""
        if beat.engine is None:
            return
        if beat.engine.changing:
            self._changes[beat.engine.endpoint] = self.context.clock()
        else:
            self._changes.pop(beat.engine.endpoint, None)

    def _changing(self, now: float) -> set[str]:
        """Return the endpoints that change their stage."""
        old = [name for name, at in self._changes.items() if now - at > CHANGE_AGE_S]
        for name in old:
            del self._changes[name]
        return set(self._changes)

    def _compose(self) -> Beat:
        now = self.context.clock()
        return Beat(
            sent_at=now,
            zone=self.context.me.zone,
            members=self.members.known(now),
            store=self.copies.state(),
            engine=self._state(now),
        )

    def _state(self, now: float) -> EngineState | None:
        report, mine = self._report, self.endpoint
        if report is None or mine is None:
            return None
        age = round(now - self._reported_at, 3)
        return EngineState(
            mine.id,
            self._room.free(),
            report.running,
            report.waiting,
            age,
            # The list shows the new stage when the change is made.
            report.busy and report.stage is mine.stage,
        )

    def _on_ask(self, sender: Sender, ask: RoomAsk) -> None:
        now = self.context.clock()
        mine = self.endpoint
        granted = False
        if self._serves(mine, ask.endpoint, now):
            self._room.slots = mine.slots
            rank = Rank(ask.priority, ask.late, -ask.waited_s)
            granted = self._room.ask(
                ask.request, ask.prompt_tokens, ask.answer_tokens, rank, now
            )
        self.context.count("rooms_granted" if granted else "rooms_refused")
        self._answer(sender, RoomAnswer(ask.ask, granted))

    def _answer(self, sender: Sender, answer: RoomAnswer) -> None:
        self.context.transport.learn(sender.instance, sender.address)
        self.context.send(sender.instance, answer)

    def _on_turn_ask(self, sender: Sender, ask: TurnAsk) -> None:
        granted = self._turns.ask(ask.request, self.context.clock())
        self._answer(sender, RoomAnswer(ask.ask, granted))

    def _on_turn_done(self, sender: Sender, done: TurnDone) -> None:
        self._turns.done(done.request, self.context.clock())

    def _serves(self, mine: Endpoint | None, asked: str, now: float) -> bool:
        report = self._report
        return (
            mine is not None
            and mine.id == asked
            and not mine.leaving
            and report is not None
            and report.stage is Stage.DECODE
            and not report.busy
            and now - self._reported_at < REPORT_AGE_S
        )

    def _on_drop(self, sender: Sender, drop: RoomDrop) -> None:
        self._room.drop(drop.request)
