"""Rules for what callers and operators do, by name."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice

from ebonyglade.config.view import hash_key
from ebonyglade_lab.fuzz import checks
from ebonyglade_lab.fuzz.operations import BOOKING, MODEL, READ, CallerKey, Operation
from ebonyglade_lab.fuzz.run import TEAMS, Run
from ebonyglade_lab.virtual.endpoints import POISON
from ebonyglade_lab.virtual.world import MODEL_POOL, SERVICE_POOL, ZONES

MAX_OPEN_REQUESTS = 16
MAX_REPEATABLE = 30  # newest operations, of which a caller may repeat one
LONG_PROMPT_CHARS = 12_000
MAX_STOP_S = 30.0  # longest wait for the unfinished work of a process that stops
TICKET_CREATED = 201  # HTTP status of the answer with a new ticket
# From the start of draining until the process may be stopped. An entry only gets no
# new requests meanwhile.
STOP_NOTICE_S = 3.0
STOP_POLL_S = 0.1


@dataclass(frozen=True, slots=True)
class Rule:
    """One kind of action with its weight in the random choice.

    `apply` does nothing where the state of the run does not allow the action.
    """

    weight: float
    apply: Callable[[Run], None]


def _random_entry(run: Run) -> str | None:
    serving = [name for name in run.entries if name not in run.unavailable]
    return run.rng.choice(serving) if serving else None


def _send_operation(run: Run, operation: Operation) -> None:
    entry = _random_entry(run)
    if entry is None or len(run.oracle.registry.open_requests) >= MAX_OPEN_REQUESTS:
        return
    run.oracle.registry.operations[operation.text] = operation
    valid = [key for key in run.keys if key.withdrawn is None]
    keys = run.keys if run.rng.random() < 0.1 else valid
    run.send(operation, run.rng.choice(keys), entry)


def _send_prompt(run: Run) -> None:
    text = run.next_name("prompt")
    if run.rng.random() < 0.15:
        text += "x" * LONG_PROMPT_CHARS
    _send_operation(run, Operation(text, MODEL, max_tokens=run.rng.randint(1, 24)))


def _send_poison_prompt(run: Run) -> None:
    _send_operation(run, Operation(run.next_name(POISON), MODEL, max_tokens=8))


def _book(run: Run) -> None:
    entry = _random_entry(run)
    valid = [key for key in run.keys if key.withdrawn is None]
    if run.rng.random() < 0.3:
        _send_operation(run, Operation(run.next_name("booking"), BOOKING))
    elif not checks.CHECK_REPEATED_BOOKINGS:
        text, idempotency_key = run.next_name("booking"), run.next_name("once")
        _send_operation(run, Operation(text, BOOKING, idempotency_key=idempotency_key))
    elif entry is not None:
        run.spawn(_book_with_ticket(run, entry, run.rng.choice(valid)))


async def _book_with_ticket(run: Run, entry: str, key: CallerKey) -> None:
    """Ask for an idempotency ticket and book with it, maybe at another entry."""
    call = run.world.service_call(key.text, "POST", "/tickets/bookings", b"")
    outcome = await run.world.call(entry, call)
    entry = _random_entry(run)
    if outcome.status != TICKET_CREATED or entry is None:
        return
    ticket = json.loads(outcome.body)["ticket"]
    text = run.next_name("booking")
    run.send(Operation(text, BOOKING, idempotency_key=ticket), key, entry)


def _read(run: Run) -> None:
    _send_operation(run, Operation(run.next_name("read"), READ))


def _repeat(run: Run) -> None:
    """Send an operation again, maybe to another entry, as after a lost answer."""
    entry = _random_entry(run)
    newest = reversed(run.oracle.registry.operations.values())
    recent = islice(newest, MAX_REPEATABLE)
    repeatable = [op for op in recent if op.idempotency_key or POISON in op.text]
    if entry is None or not repeatable:
        return
    operation = run.rng.choice(repeatable)
    run.send(operation, operation.requests[0].key, entry)


def _cancel(run: Run) -> None:
    cancellable = [
        request
        for _, request in run.oracle.registry.open_requests
        if request.open and request.entry not in run.unavailable
    ]
    if not cancellable:
        return
    request = run.rng.choice(cancellable)
    request.cancelled = True
    run.trace_event(f"{request.name} is cancelled by its caller")
    request.pending.task.cancel()


def _withdraw_key(run: Run) -> None:
    valid = [key for key in run.keys if key.withdrawn is None]
    if len(valid) <= 2:
        return
    key = run.rng.choice(valid)
    key.withdrawn = run.now
    run.trace_event(f"{key.text} is withdrawn")
    if run.rng.random() < 0.5:
        run.world.platform.remove(key.path)
    else:
        _republish_withdrawn(run, key)
    run.record_publication()


def _republish_withdrawn(run: Run, key: CallerKey) -> None:
    run.world.platform.publish(
        key.path,
        digest=hash_key(key.text),
        workspace=key.workspace.split("/")[1],
        withdrawn=True,
    )


def _issue_key(run: Run) -> None:
    withdrawn_keys = [key for key in run.keys if key.withdrawn is not None]
    if len(run.keys) > 12 and withdrawn_keys:
        run.keys.remove(withdrawn_keys[0])
    team = run.rng.choice(list(TEAMS))
    run.issue_key(f"{team}/{run.rng.choice(TEAMS[team])}")


def _invalid_change(run: Run) -> None:
    run.world.platform.publish("teams/aula/workspaces/broken", rate=-1.0, burst=1.0)
    run.record_publication()


def _list_agent(run: Run, agent: str, state: str) -> None:
    engine = run.world.engines.get(agent)
    stage = agent.split("-")[0] if engine is not None else "service"
    pool = MODEL_POOL if engine is not None else SERVICE_POOL
    run.world.list_instance(agent, "agent", ZONES[0], pool, stage, state)
    run.record_publication()


def _mark_leaving(run: Run) -> None:
    """Let the platform list an endpoint as leaving for some time."""
    if run.oracle.leaving_since:
        return
    agent = run.rng.choice(run.agents)
    run.trace_event(f"{agent} is listed as leaving")
    _list_agent(run, agent, "leaving")
    run.oracle.leaving_since[agent] = run.now

    def mark_live() -> None:
        run.oracle.leaving_since.pop(agent)
        run.trace_event(f"{agent} is listed as live")
        _list_agent(run, agent, "live")

    run.call_later(run.rng.uniform(2.0, 15.0), mark_live)


def _planned_stop(run: Run) -> None:
    """Stop a process gracefully, as an operator does, and replace it."""
    instances = [*run.entries, *run.agents]
    name = run.rng.choice(instances)
    if name in run.unavailable or any(other in run.unavailable for other in instances):
        return
    run.unavailable.add(name)
    run.trace_event(f"{name} is asked to stop")
    run.spawn(_stop_and_replace(run, name))


async def _stop_and_replace(run: Run, name: str) -> None:
    node = run.world.nodes[name]
    if name in run.agents:
        node.core.drain()
    await asyncio.sleep(STOP_NOTICE_S)
    give_up_at = run.now + MAX_STOP_S
    while run.now < give_up_at and _has_unfinished_work(run, name):
        await asyncio.sleep(STOP_POLL_S)
    run.trace_event(f"{name} stops")
    run.world.kill(name)
    await asyncio.sleep(STOP_POLL_S)
    run.world.start(name)
    run.unavailable.discard(name)


def _has_unfinished_work(run: Run, name: str) -> bool:
    if name in run.agents:
        return run.world.nodes[name].core.worker.unfinished > 0
    return any(
        request.entry == name for _, request in run.oracle.registry.open_requests
    )


LOAD_RULES = {
    "ask": Rule(10, _send_prompt),
    "book": Rule(5, _book),
    "read": Rule(3, _read),
    "repeat": Rule(3, _repeat),
    "cancel": Rule(2, _cancel),
    "withdraw_key": Rule(0.4, _withdraw_key),
    "issue_key": Rule(0.4, _issue_key),
    "invalid_change": Rule(0.1, _invalid_change),
    "leave": Rule(0.3, _mark_leaving),
    "planned_stop": Rule(0.3, _planned_stop),
}
POISON_RULES = {"ask_poison": Rule(0.3, _send_poison_prompt)}
