"""The work of an agent: the only sender to the endpoint beside it."""

import asyncio
from collections.abc import Callable, Coroutine

import msgspec

from ebonyglade.invariants import Invariants
from ebonyglade.once.grants import Use
from ebonyglade.ports import (
    Clock,
    DecodeJob,
    Engine,
    EngineError,
    PrefillJob,
    Sender,
    Transport,
)
from ebonyglade.quarantine.deaths import Deaths
from ebonyglade.verdict import Refusal, Verdict, refuse
from ebonyglade.wire.base import Message
from ebonyglade.wire.control import Load
from ebonyglade.wire.work import (
    Cancel,
    Chunk,
    Credit,
    Decode,
    Done,
    Failed,
    Prefill,
    Prefilled,
    Renew,
    Reserve,
    Reserved,
    Serve,
    Served,
)
from ebonyglade.worker.admission import Admission, Outlets
from ebonyglade.worker.fair import FairQueue, Waiting
from ebonyglade.worker.jobs import FIRST_CREDIT_TOKENS, Job
from ebonyglade.worker.memory import EngineMemory
from ebonyglade.worker.predict import Predictor
from ebonyglade.worker.prefills import PrefillLine, TurnRefused
from ebonyglade.worker.serving import UNUSABLE, Serving
from ebonyglade.worker.slots import SlotTable
from ebonyglade.worker.started import Started

Work = Coroutine[None, None, None]

ISOLATED_RETRY_S = 0.5  # after which an isolated request may find its turn
MAX_WAITING = 128  # reservations or prefills that wait at one agent


class Worker:
    """Handles the messages of entries and runs jobs at the endpoint."""

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
        deaths: Deaths,
        resumes: bool = True,
        new_queue: Callable[[int, Invariants], FairQueue] = FairQueue,
    ) -> None:
        self._engine = engine
        self._transport = transport
        self._clock = clock
        self._slots = slots
        self._deaths = deaths
        self._serving = serving
        self._jobs: dict[str, Job] = {}
        self._started = Started()
        invariants = invariants or Invariants()
        self._memory = EngineMemory(engine, clock, slots.term, invariants)
        self._admission = Admission(
            slots,
            new_queue(MAX_WAITING, invariants),
            Predictor(),
            Outlets(self._promise, self._refuse),
            clock,
        )
        self._prefills = PrefillLine(
            prefill_slots, new_queue(MAX_WAITING, invariants), clock
        )
        self._draining = False
        self.on_waiting: Callable[[], None] = lambda: None
        self._resumes = resumes
        self.handlers: dict[type[Message], Callable[[Sender, Message], None]] = {
            Reserve: self._on_reserve,
            Prefill: self._on_prefill,
            Decode: self._on_decode,
            Serve: self._on_serve,
            Credit: self._on_credit,
            Cancel: self._on_cancel,
            Renew: self._on_renew,
        }

    @property
    def busy(self) -> int:
        """Jobs and reservations that are not finished."""
        return len(self._jobs) + (self._slots.reserved_only(self._jobs))

    @property
    def waiting(self) -> int:
        """Reservations that wait for a slot."""
        return self._admission.waiting

    def drain(self) -> None:
        """Refuse new work; what is under way goes on."""
        self._draining = True

    def tick(self, now: float) -> None:
        """End the jobs whose leases ran out."""
        for attempt in self._slots.overdue(now):
            self._end(attempt)
        self._memory.tick(now, self._slots)
        self._started.forget(now)

    def admit(self, now: float) -> None:
        """Start and refuse waiting work as time goes on."""
        self._admission.tick(now)

    def load(self) -> Load:
        """Return the load as it is told to entries."""
        if self._prefills.running or self._prefills.token_s.value:
            waiting, ready = len(self._prefills.queue), self._prefills.ready_in()
            running, slots = self._prefills.running, self._prefills.slots
        else:
            waiting = self._admission.waiting
            ready = self._admission.ready_in(self._clock())
            running = self._slots.slots - self._slots.free_slots
            slots = self._slots.slots
        predictor = self._admission.predictor
        return Load(
            running,
            waiting,
            slots,
            self._slots.free_pieces,
            self._draining,
            ready,
            predictor.duration / self._slots.slots,
            self._prefills.token_s.value,
            predictor.transfer_token_s.value,
        )

    def _on_reserve(self, sender: Sender, message: Reserve) -> None:
        if self._draining:
            self._fail(sender, message.attempt, "stopping")
            return
        if not self._deaths.admit(message.attempt, message.isolated, self._slots.get):
            refusal = refuse("overloaded", retry_after=ISOLATED_RETRY_S)
            self._refuse(sender, message.attempt, refusal)
            return
        self._admission.reserve(sender, message, self._clock())
        if self.waiting:
            self.on_waiting()

    def _on_prefill(self, sender: Sender, message: Prefill) -> None:
        if message.attempt in self._started:
            return
        if self._draining:
            self._fail(sender, message.attempt, "stopping")
            return
        # Without renewal the prefill of an entry that is gone leaves the line.
        self._slots.add(message.attempt, sender.instance, 0, self._clock())
        self._start(sender, message.attempt, self._prefill(sender, message))

    def _on_decode(self, sender: Sender, message: Decode) -> None:
        if message.attempt in self._started:
            return
        if message.resume and not self._resumes:
            self._fail(sender, message.attempt, "resume_unsupported")
            return
        self._claim(sender, message.attempt, self._decode, message)

    def _on_serve(self, sender: Sender, message: Serve) -> None:
        use = self._serving.use(sender, message)
        if use is Use.REPEATED:
            return
        if use is not Use.START:
            self._fail(sender, message.attempt, *UNUSABLE[use])
        elif self._serving.desk.answers(sender, message):
            self._slots.release(message.attempt)
        else:
            self._claim(sender, message.attempt, self._serve, message)

    def _on_credit(self, sender: Sender, message: Credit) -> None:
        job = self._jobs.get(message.attempt)
        if job is not None and job.holder.instance == sender.instance:
            job.credit = max(job.credit, message.upto)
            job.more.set()

    def _on_cancel(self, sender: Sender, message: Cancel) -> None:
        job = self._jobs.get(message.attempt)
        lease = self._slots.get(message.attempt)
        holders = {job.holder.instance} if job else set()
        holders |= {lease.holder} if lease else set()
        if holders <= {sender.instance}:
            self._end(message.attempt)

    def _on_renew(self, sender: Sender, message: Renew) -> None:
        now = self._clock()
        for attempt in message.attempts:
            self._slots.renew(attempt, sender.instance, now)
        self._admission.renewed(sender, message.attempts)
        self._memory.renewed(message.attempts)

    def _claim(
        self,
        sender: Sender,
        attempt: str,
        work: Callable[[Sender, Message], Work],
        message: Message,
    ) -> None:
        """Start a job once, in the slot that its lease promises."""
        if attempt in self._jobs:
            return

        def start() -> None:
            self._start(sender, attempt, work(sender, message))

        if not self._admission.claim(sender, attempt, start, self._clock()):
            self._fail(sender, attempt, "endpoint_down", "The slot's lease ran out.")

    def _start(self, sender: Sender, attempt: str, work: Work) -> None:
        if attempt in self._jobs:
            work.close()
            return
        self._started.add(attempt, self._clock())
        job = Job(sender)
        self._jobs[attempt] = job
        job.task = asyncio.ensure_future(self._run(sender, attempt, work))
        job.task.add_done_callback(lambda task: self._ended(attempt, work))

    async def _run(self, sender: Sender, attempt: str, work: Work) -> None:
        job = self._jobs[attempt]
        try:
            await work
        except EngineError as error:
            self._deaths.failed(attempt, error)
            verdict = Verdict.MAY_HAVE_RUN if error.ran else Verdict.NOT_RUN
            code = "endpoint_failed" if error.ran else "endpoint_down"
            self._fail(sender, attempt, code, str(error), verdict)
        except TurnRefused as turned:
            self._refuse(sender, attempt, turned.refusal)
        except TimeoutError:
            verdict = Verdict.MAY_HAVE_RUN if job.started else Verdict.NOT_RUN
            self._fail(sender, attempt, "deadline_exceeded", verdict=verdict)

    async def _prefill(self, sender: Sender, message: Prefill) -> None:
        job = self._jobs[message.attempt]
        item = Waiting(
            message.attempt,
            message.workspace,
            max(1, message.tokens),
            message.weight,
            self._clock() + message.within,
        )
        try:
            async with (
                asyncio.timeout(message.within),
                self._prefills.turn(item),
            ):
                job.started = True
                self._memory.began(message.attempt)
                self._deaths.began(message.attempt, message.fingerprint)
                result = await self._engine.prefill(
                    PrefillJob(
                        message.attempt, message.model, message.prompt, message.priority
                    )
                )
                self._prefills.observe(item, result.tokens - result.cached)
        except BaseException as error:
            if job.started:
                self._memory.failed(message.attempt, error)
            raise
        self._memory.exported(message.attempt)
        reply = Prefilled(
            message.attempt, result.source, result.handle, result.tokens, result.cached
        )
        self._transport.send(sender.instance, reply)

    async def _decode(self, sender: Sender, message: Decode) -> None:
        job = self._jobs[message.attempt]
        job.credit = max(job.credit, len(message.resume) + FIRST_CREDIT_TOKENS)
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
        self._memory.began(message.attempt)
        self._deaths.began(message.attempt, message.fingerprint)
        try:
            async with asyncio.timeout(message.within):
                total = await self._relay(sender, job, work)
        except BaseException as error:
            self._memory.failed(message.attempt, error)
            raise
        self._memory.ended(message.attempt)
        self._transport.send(sender.instance, Done(message.attempt, total))

    async def _relay(self, sender: Sender, job: Job, work: DecodeJob) -> int:
        """Pass tokens on as they come and return their number."""
        total = len(work.resume)
        async for token in self._engine.decode(work):
            if token.index != total:
                # What follows would not fit what the caller has.
                raise EngineError("The engine did not go on where it should.")
            chunk = Chunk(work.job, token.index, [token.text])
            self._transport.send(sender.instance, chunk)
            total = token.index + 1
            self._admission.progressed(work.job, total, self._clock())
            while total >= job.credit:
                job.more.clear()
                await job.more.wait()
        return total

    async def _serve(self, sender: Sender, message: Serve) -> None:
        job = self._jobs[message.attempt]
        async with asyncio.timeout(message.within):
            served = await self._serving.call(sender, message, job)
        reply = Served(message.attempt, served.status, served.headers, served.body)
        self._transport.send(sender.instance, reply)

    def _end(self, attempt: str) -> None:
        """Free what an attempt holds; a job's slot once its engine is rid of it."""
        job = self._jobs.get(attempt)
        if job is None:
            self._release(attempt)
        elif job.task is not None and not job.kept:
            job.task.cancel()

    def _ended(self, attempt: str, work: Work) -> None:
        # A task that is cancelled before its first step never enters its work.
        work.close()
        self._deaths.ended(attempt)
        job = self._jobs.pop(attempt)
        self._release(attempt)
        self._serving.desk.fail(job.key, job.started)

    def _release(self, attempt: str) -> None:
        """Free an attempt's slot once the engine is rid of its job."""
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

    def _promise(self, sender: Sender, reserved: Reserved) -> None:
        """Tell of a reservation, with the grant that its request must carry."""
        grant = self._serving.grants.issue(reserved.attempt)
        self._send(sender, msgspec.structs.replace(reserved, grant=grant))

    def _send(self, sender: Sender, message: Message) -> None:
        self._transport.send(sender.instance, message)
