"""The one sending of a call to the plain service beside an agent."""

from dataclasses import dataclass
from typing import Protocol

from ebonyglade.once.desk import TicketDesk
from ebonyglade.once.grants import Grants, Use
from ebonyglade.ports import Clock, EngineError, Sender, ServiceCaller, ServiceReply
from ebonyglade.verdict import Verdict
from ebonyglade.wire.work import Serve
from ebonyglade.worker.slots import SlotTable

# How a request with a grant that can't be used is refused.
UNUSABLE = {
    Use.TOO_LATE: ("endpoint_down", "The slot's lease ran out.", Verdict.NOT_RUN),
    Use.UNKNOWN: ("agent_lost", "The agent was restarted.", Verdict.MAY_HAVE_RUN),
}


class Sending(Protocol):
    """What a job notes about its sending.

    Attributes:
        started: whether the endpoint may have seen it.
        key: idempotency ticket whose execution has not been settled.
    """

    started: bool
    key: str


@dataclass(slots=True)
class Serving:
    """Sends each call that may be sent to the service, once.

    Attributes:
        service: the endpoint; None beside a model engine.
        slots: leases of the endpoint.
        desk: answers about tickets.
        grants: one-time rights of the reservations.
        clock: monotonic seconds.
    """

    service: ServiceCaller | None
    slots: SlotTable
    desk: TicketDesk
    grants: Grants
    clock: Clock

    def use(self, sender: Sender, message: Serve) -> Use:
        """Spend the grant that a call carries."""
        in_force = self.slots.holds(message.attempt, sender.instance, self.clock())
        return self.grants.use(message.attempt, message.grant, in_force)

    async def call(self, sender: Sender, message: Serve, job: Sending) -> ServiceReply:
        """Send a call and return the answer.

        Raises:
            EngineError: it failed; tells whether it may have run.
        """

        def may_send() -> bool:
            """Check that what was decided still stands, as after a pause."""
            now = self.clock()
            holds = self.slots.holds(message.attempt, sender.instance, now)
            job.started = holds and self.desk.claim(message)
            job.key = message.key if job.started else ""
            return job.started

        try:
            served = await self.service.call(
                message.method, message.path, message.headers, message.body, may_send
            )
        except EngineError as error:
            job.started = error.ran
            raise
        self.desk.finish(message.key, served)
        job.key = ""
        return served
