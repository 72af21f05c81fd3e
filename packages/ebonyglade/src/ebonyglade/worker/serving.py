"""At-most-once sending of calls to the plain service beside an agent."""

from dataclasses import dataclass
from typing import Protocol

from ebonyglade.once.grants import GrantUse, StartGrants
from ebonyglade.once.ticket_handler import TicketHandler
from ebonyglade.ports import Clock, EngineError, Sender, ServiceCaller, ServiceReply
from ebonyglade.verdict import Verdict
from ebonyglade.wire.work import ServiceRequest
from ebonyglade.worker.slots import SlotTable

# Refusals of requests whose grant can't be used: code, message and verdict.
GRANT_REFUSALS = {
    GrantUse.TOO_LATE: ("endpoint_down", "The slot's lease expired.", Verdict.NOT_RUN),
    GrantUse.UNKNOWN: ("agent_lost", "The agent was restarted.", Verdict.MAY_HAVE_RUN),
}


class CallState(Protocol):
    """The part of a job that records whether its call was sent.

    Attributes:
        started: whether the endpoint may have received it.
        ticket: idempotency ticket whose execution has no recorded outcome yet.
    """

    started: bool
    ticket: str


@dataclass(slots=True)
class Serving:
    """Sends each permitted call to the service, at most once.

    Attributes:
        service: the endpoint; None beside a model engine.
        slots: leases of the endpoint.
        tickets: answers calls by their idempotency tickets.
        grants: one-time grants of the reservations.
        clock: monotonic seconds.
    """

    service: ServiceCaller | None
    slots: SlotTable
    tickets: TicketHandler
    grants: StartGrants
    clock: Clock

    def use(self, sender: Sender, message: ServiceRequest) -> GrantUse:
        """Use up the grant that a call carries and return whether it may start."""
        in_force = self.slots.in_force(message.attempt, sender.instance, self.clock())
        return self.grants.use(message.attempt, message.grant, in_force)

    async def call(
        self, sender: Sender, message: ServiceRequest, job: CallState
    ) -> ServiceReply:
        """Send a call and return the answer.

        Raises:
            EngineError: the call failed; the error tells whether it may have run.
        """

        def may_send() -> bool:
            """Check that lease and ticket are still valid, also after a pause."""
            now = self.clock()
            in_force = self.slots.in_force(message.attempt, sender.instance, now)
            job.started = in_force and self.tickets.claim(message)
            job.ticket = message.key if job.started else ""
            return job.started

        try:
            served = await self.service.call(
                message.method, message.path, message.headers, message.body, may_send
            )
        except EngineError as error:
            job.started = error.may_have_run
            raise
        self.tickets.finish(message.key, served)
        job.ticket = ""
        return served
