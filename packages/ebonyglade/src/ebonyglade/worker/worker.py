"""Request handling of an agent, the only client of the endpoint beside it."""

import asyncio
from collections.abc import Callable, Coroutine

import msgspec

from ebonyglade.invariants import Invariants
from ebonyglade.once.grants import GrantUse
from ebonyglade.ports import (
    Clock,
    DecodeJob,
    Engine,
    EngineError,
    PrefillJob,
    Sender,
    Transport,
)
from ebonyglade.quarantine.crash_reporter import CrashReporter
from ebonyglade.verdict import Refusal, Verdict, refuse
from ebonyglade.wire.base import Message
from ebonyglade.wire.control import LoadReport
from ebonyglade.wire.work import (
    Cancel,
    Chunk,
    Decode,
    DecodeDone,
    Failed,
    FlowCredit,
    Prefill,
    Prefilled,
    Renew,
    Reserve,
    Reserved,
    ServiceRequest,
    ServiceResponse,
)
from ebonyglade.worker.admission import Admission, AdmissionCallbacks
from ebonyglade.worker.fair_queue import FairQueue, QueueItem
from ebonyglade.worker.jobs import INITIAL_CREDIT_TOKENS, Job
from ebonyglade.worker.memory import EngineMemory
from ebonyglade.worker.predict import Predictor
from ebonyglade.worker.prefill_queue import PrefillQueue, PrefillRefused
from ebonyglade.worker.serving import GRANT_REFUSALS, Serving
from ebonyglade.worker.slots import SlotTable
from ebonyglade.worker.started_attempts import StartedAttempts

JobCoroutine = Coroutine[None, None, None]

ISOLATED_RETRY_S = 0.5  # an isolated request should try again after this time
MAX_WAITING = 128  # reservations, or prefills, that may wait at one agent


class Worker:
    """Handles the messages of entries and runs jobs at the endpoint.

    `resumes` says whether the engine can continue an answer from given tokens; if
    not, a `Decode` with `resume` is refused.
    """

    def __init__(
        self,
        engine: Engine | None,
        serving: Serving,
        transport: Transport,
        clock: Clock,
        slots: SlotTable,
        prefill_slots: int = 1,
        invariants: Invariants | None = None,
        *,
        crash_reporter: CrashReporter,
        resumes: bool = True,
        new_queue: Callable[[int, Invariants], FairQueue] = FairQueue,
    ) -> None:
        self._engine = engine
        self._transport = transport
        self._clock = clock
        self._slots = slots
        self._crash_reporter = crash_reporter
        self._serving = serving
        self._jobs: dict[str, Job] = {}
        self._started = StartedAttempts()
        invariants = invariants or Invariants()
        self._memory = EngineMemory(engine, clock, slots.term, invariants)
        self._admission = Admission(
            slots,
            new_queue(MAX_WAITING, invariants),
            Predictor(),
            AdmissionCallbacks(self._send_reserved, self._refuse),
            clock,
        )
        self._prefills = PrefillQueue(
            prefill_slots, new_queue(MAX_WAITING, invariants), clock
        )
        self._draining = False
        self.on_reservation_queued: Callable[[], None] = lambda: None
        self._resumes = resumes
        self.handlers: dict[type[Message], Callable[[Sender, Message], None]] = {
            Reserve: self._on_reserve,
            Prefill: self._on_prefill,
            Decode: self._on_decode,
            ServiceRequest: self._on_serve,
            FlowCredit: self._on_credit,
            Cancel: self._on_cancel,
            Renew: self._on_renew,
        }

    @property
    def unfinished(self) -> int:
        """Number of jobs and reservations that are not finished."""
        return len(self._jobs) + (self._slots.count_without_job(self._jobs))

    @property
    def waiting(self) -> int:
        """Number of reservations that wait for a slot."""
        return self._admission.waiting

    def drain(self) -> None:
        """Refuse new work; running and reserved work continues."""
        self._draining = True

    def tick(self, now: float) -> None:
        """End the attempts whose leases expired and clean up engine memory."""
        for attempt in self._slots.expired_attempts(now):
            self._cancel_attempt(attempt)
        self._memory.tick(now, self._slots)
        self._started.forget(now)

    def admit(self, now: float) -> None:
        """Start waiting work that may start and refuse work that is too late."""
        self._admission.tick(now)

    def load(self) -> LoadReport:
        """Return the load for the reports to entries."""
        if self._prefills.running or self._prefills.token_s.value:
            waiting, ready_in_s = len(self._prefills.queue), self._prefills.ready_in()
            running, slots = self._prefills.running, self._prefills.slots
        else:
            waiting = self._admission.waiting
            ready_in_s = self._admission.ready_in(self._clock())
            running = self._slots.slots - self._slots.free_slots
            slots = self._slots.slots
        predictor = self._admission.predictor
        return LoadReport(
            running,
            waiting,
            slots,
            self._slots.free_pieces,
            self._draining,
            ready_in_s,
            predictor.mean_duration_s / self._slots.slots,
            self._prefills.token_s.value,
            predictor.transfer_token_s.value,
        )

    def _on_reserve(self, sender: Sender, message: Reserve) -> None:
        if self._draining:
            self._fail(sender, message.attempt, "stopping")
            return
        if not self._crash_reporter.admit(
            message.attempt, message.isolated, self._slots.get
        ):
            refusal = refuse("overloaded", retry_after=ISOLATED_RETRY_S)
            self._refuse(sender, message.attempt, refusal)
            return
        self._admission.reserve(sender, message, self._clock())
        if self.waiting:
            self.on_reservation_queued()

    def _on_prefill(self, sender: Sender, message: Prefill) -> None:
        if message.attempt in self._started:
            return
        if self._draining:
            self._fail(sender, message.attempt, "stopping")
            return
        # If the entry is gone, this lease expires and the prefill leaves the queue.
        self._slots.add(message.attempt, sender.instance, 0, self._clock())
        self._start(sender, message.attempt, self._prefill(sender, message))

    def _on_decode(self, sender: Sender, message: Decode) -> None:
        if message.attempt in self._started:
            return
        if message.resume and not self._resumes:
            self._fail(sender, message.attempt, "resume_unsupported")
            return
        self._claim(sender, message.attempt, self._decode, message)

    def _on_serve(self, sender: Sender, message: ServiceRequest) -> None:
        use = self._serving.use(sender, message)
        if use is GrantUse.REPEATED:
            return
        if use is not GrantUse.START:
            self._fail(sender, message.attempt, *GRANT_REFUSALS[use])
        elif self._serving.tickets.answer_repeat(sender, message):
            self._slots.release(message.attempt)
        else:
            self._claim(sender, message.attempt, self._serve, message)

    def _on_credit(self, sender: Sender, message: FlowCredit) -> None:
        job = self._jobs.get(message.attempt)
        if job is not None and job.holder.instance == sender.instance:
            job.credit = max(job.credit, message.upto)
            job.credit_raised.set()

    def _on_cancel(self, sender: Sender, message: Cancel) -> None:
        job = self._jobs.get(message.attempt)
        lease = self._slots.get(message.attempt)
        holders = {job.holder.instance} if job else set()
        holders |= {lease.holder} if lease else set()
        if holders <= {sender.instance}:
            self._cancel_attempt(message.attempt)

    def _on_renew(self, sender: Sender, message: Renew) -> None:
        now = self._clock()
        for attempt in message.attempts:
            self._slots.renew(attempt, sender.instance, now)
        self._admission.resend_promises(sender, message.attempts)
        self._memory.renew_claims(message.attempts)

    def _claim(
        self,
        sender: Sender,
        attempt: str,
        run: Callable[[Sender, Message], JobCoroutine],
        message: Message,
    ) -> None:
        """Start a job once, in the slot that its lease holds or is promised."""
        if attempt in self._jobs:
            return

        def start() -> None:
            self._start(sender, attempt, run(sender, message))

        if not self._admission.claim(sender, attempt, start, self._clock()):
            self._fail(sender, attempt, "endpoint_down", "The slot's lease expired.")

    def _start(self, sender: Sender, attempt: str, coroutine: JobCoroutine) -> None:
        if attempt in self._jobs:
            coroutine.close()
            return
        self._started.add(attempt, self._clock())
        job = Job(sender)
        self._jobs[attempt] = job
        job.task = asyncio.ensure_future(self._run(sender, attempt, coroutine))
        job.task.add_done_callback(lambda task: self._on_task_done(attempt, coroutine))

    async def _run(self, sender: Sender, attempt: str, coroutine: JobCoroutine) -> None:
        job = self._jobs[attempt]
        try:
            await coroutine
        except EngineError as error:
            self._crash_reporter.failed(attempt, error)
            verdict = Verdict.MAY_HAVE_RUN if error.may_have_run else Verdict.NOT_RUN
            code = "endpoint_failed" if error.may_have_run else "endpoint_down"
            self._fail(sender, attempt, code, str(error), verdict)
        except PrefillRefused as refused:
            self._refuse(sender, attempt, refused.refusal)
        except TimeoutError:
            verdict = Verdict.MAY_HAVE_RUN if job.started else Verdict.NOT_RUN
            self._fail(sender, attempt, "deadline_exceeded", verdict=verdict)

    async def _prefill(self, sender: Sender, message: Prefill) -> None:
        job = self._jobs[message.attempt]
        item = QueueItem(
            message.attempt,
            message.workspace,
            max(1, message.tokens),
            message.weight,
            self._clock() + message.within,
        )
        try:
            async with (
                asyncio.timeout(message.within),
                self._prefills.slot(item),
            ):
                job.started = True
                self._memory.job_started(message.attempt)
                self._crash_reporter.began(message.attempt, message.fingerprint)
                result = await self._engine.prefill(
                    PrefillJob(
                        message.attempt, message.model, message.prompt, message.priority
                    )
                )
                self._prefills.observe(item, result.tokens - result.cached)
        except BaseException as error:
            if job.started:
                self._memory.job_failed(message.attempt, error)
            raise
        self._memory.job_exported(message.attempt)
        reply = Prefilled(
            message.attempt, result.source, result.handle, result.tokens, result.cached
        )
        self._transport.send(sender.instance, reply)

    async def _decode(self, sender: Sender, message: Decode) -> None:
        job = self._jobs[message.attempt]
        job.credit = max(job.credit, len(message.resume) + INITIAL_CREDIT_TOKENS)
        work = DecodeJob(
            message.attempt,
            message.model,
            message.prompt,
            message.source,
            message.handle,
            message.max_tokens,
            tuple(message.resume),
            message.priority,
        )
        job.started = True
        self._memory.job_started(message.attempt)
        self._crash_reporter.began(message.attempt, message.fingerprint)
        try:
            async with asyncio.timeout(message.within):
                total = await self._stream_tokens(sender, job, work)
        except BaseException as error:
            self._memory.job_failed(message.attempt, error)
            raise
        self._memory.job_ended(message.attempt)
        self._transport.send(sender.instance, DecodeDone(message.attempt, total))

    async def _stream_tokens(self, sender: Sender, job: Job, work: DecodeJob) -> int:
        """Send tokens to the entry as they arrive; return the length of the answer."""
        total = len(work.resume)
        async for token in self._engine.decode(work):
            if token.index != total:
                # The caller already has the tokens before `total`; these would not
                # continue them.
                raise EngineError("The engine's answer skips or repeats a token.")
            chunk = Chunk(work.job, token.index, [token.text])
            self._transport.send(sender.instance, chunk)
            total = token.index + 1
            self._admission.record_progress(work.job, total, self._clock())
            while total >= job.credit:
                job.credit_raised.clear()
                await job.credit_raised.wait()
        return total

    async def _serve(self, sender: Sender, message: ServiceRequest) -> None:
        job = self._jobs[message.attempt]
        async with asyncio.timeout(message.within):
            served = await self._serving.call(sender, message, job)
        reply = ServiceResponse(
            message.attempt, served.status, served.headers, served.body
        )
        self._transport.send(sender.instance, reply)

    def _cancel_attempt(self, attempt: str) -> None:
        """Cancel an attempt's job, or release its lease if it has no job.

        A job that outlives its holder, as one with an idempotency ticket does, is
        not cancelled, so that repeats of its ticket can be answered.
        A job's lease is released when the job has ended at the engine.
        """
        job = self._jobs.get(attempt)
        if job is None:
            self._release(attempt)
        elif job.task is not None and not job.outlives_holder:
            job.task.cancel()

    def _on_task_done(self, attempt: str, coroutine: JobCoroutine) -> None:
        # A task cancelled before its first step never runs its coroutine, which
        # must then be closed here.
        coroutine.close()
        self._crash_reporter.ended(attempt)
        job = self._jobs.pop(attempt)
        self._release(attempt)
        self._serving.tickets.fail(job.ticket, job.started)

    def _release(self, attempt: str) -> None:
        """Release an attempt's lease once no cancellation of its job is pending."""
        self._memory.when_free(attempt, lambda: self._slots.release(attempt))

    def _fail(
        self,
        sender: Sender,
        attempt: str,
        code: str,
        reason: str = "",
        verdict: Verdict | None = None,
    ) -> None:
        refusal = refuse(code, message=reason or None, verdict=verdict)
        self._refuse(sender, attempt, refusal)

    def _refuse(self, sender: Sender, attempt: str, refusal: Refusal) -> None:
        failed = Failed(
            attempt,
            refusal.code,
            refusal.verdict.value,
            refusal.message,
            refusal.retry_after,
        )
        self._send(sender, failed)

    def _send_reserved(self, sender: Sender, reserved: Reserved) -> None:
        """Answer a reservation, with the grant that its request must carry."""
        grant = self._serving.grants.issue(reserved.attempt)
        self._send(sender, msgspec.structs.replace(reserved, grant=grant))

    def _send(self, sender: Sender, message: Message) -> None:
        self._transport.send(sender.instance, message)
