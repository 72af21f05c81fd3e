"""What callers and operators do, by name and weight."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice

from ebonyglade.config.view import digest
from ebonyglade_lab.fuzz.ledger import BOOKING, MODEL, READ, CallerKey, Operation
from ebonyglade_lab.fuzz.run import TEAMS, Run
from ebonyglade_lab.virtual.endpoints import POISON
from ebonyglade_lab.virtual.world import MODEL_POOL, SERVICE_POOL, ZONES

MOST_OPEN = 16  # requests under way
REMEMBERED = 30  # operations that a caller may send again
LONG_PROMPT_CHARS = 12_000
LONGEST_STOP_S = 30.0
LEAVE_S = 3.0  # between the notice of a planned stop and its begin
STOP_POLL_S = 0.1


@dataclass(frozen=True, slots=True)
class Rule:
    """Something that happens; `apply` does nothing where it can't."""

    weight: float
    apply: Callable[[Run], None]


def _entry(run: Run) -> str | None:
    serving = [name for name in run.entries if name not in run.busy]
    return run.rng.choice(serving) if serving else None


def _send_new(run: Run, operation: Operation) -> None:
    entry = _entry(run)
    if entry is None or len(run.oracle.ledger.waiting) >= MOST_OPEN:
        return
    run.oracle.ledger.operations[operation.text] = operation
    valid = [key for key in run.keys if key.withdrawn is None]
    keys = run.keys if run.rng.random() < 0.1 else valid
    run.send(operation, run.rng.choice(keys), entry)


def _ask(run: Run) -> None:
    text = run.next_name("prompt")
    if run.rng.random() < 0.15:
        text += "x" * LONG_PROMPT_CHARS
    _send_new(run, Operation(text, MODEL, max_tokens=run.rng.randint(1, 24)))


def _ask_poison(run: Run) -> None:
    _send_new(run, Operation(run.next_name(POISON), MODEL, max_tokens=8))


def _book(run: Run) -> None:
    operation = Operation(run.next_name("booking"), BOOKING)
    if run.rng.random() < 0.3:
        _send_new(run, operation)
    else:
        run.spawn(_book_with_ticket(run, operation))


async def _book_with_ticket(run: Run, operation: Operation) -> None:
    """Book under a ticket, which a workspace's key is needed for too."""
    entry = _entry(run)
    valid = [key for key in run.keys if key.withdrawn is None]
    if entry is None or len(run.oracle.ledger.waiting) >= MOST_OPEN:
        return
    key = run.rng.choice(valid)
    call = run.world.service_call(key.text, "POST", "/tickets/bookings", b"")
    sent = run.world.submit(entry, call)
    await asyncio.wait([sent.task])
    if not sent.outcome.whole or (entry := _entry(run)) is None:
        return
    operation.idempotency_key = json.loads(sent.outcome.body)["ticket"]
    run.send(operation, key, entry)


def _read(run: Run) -> None:
    _send_new(run, Operation(run.next_name("read"), READ))


def _repeat(run: Run) -> None:
    """A caller that lost its answer sends again, perhaps to another entry."""
    entry = _entry(run)
    newest = reversed(run.oracle.ledger.operations.values())
    recent = islice(newest, REMEMBERED)
    known = [op for op in recent if op.idempotency_key or POISON in op.text]
    if entry is None or not known:
        return
    operation = run.rng.choice(known)
    run.send(operation, operation.sends[0].key, entry)


def _cancel(run: Run) -> None:
    waiting = [
        send
        for _, send in run.oracle.ledger.waiting
        if send.open and send.entry not in run.busy
    ]
    if not waiting:
        return
    send = run.rng.choice(waiting)
    send.cancelled = True
    run.note(f"{send.name} is cancelled by its caller")
    send.sent.task.cancel()


def _withdraw_key(run: Run) -> None:
    valid = [key for key in run.keys if key.withdrawn is None]
    if len(valid) <= 2:
        return
    key = run.rng.choice(valid)
    key.withdrawn = run.now
    run.note(f"{key.text} is withdrawn")
    if run.rng.random() < 0.5:
        run.world.platform.remove(key.path)
    else:
        _republish_withdrawn(run, key)
    run.published()


def _republish_withdrawn(run: Run, key: CallerKey) -> None:
    run.world.platform.publish(
        key.path,
        digest=digest(key.text),
        workspace=key.workspace.split("/")[1],
        withdrawn=True,
    )


def _issue_key(run: Run) -> None:
    old = [key for key in run.keys if key.withdrawn is not None]
    if len(run.keys) > 12 and old:
        run.keys.remove(old[0])
    team = run.rng.choice(list(TEAMS))
    run.issue_key(f"{team}/{run.rng.choice(TEAMS[team])}")


def _invalid_change(run: Run) -> None:
    run.world.platform.publish("teams/aula/workspaces/broken", rate=-1.0, burst=1.0)
    run.published()


def _list(run: Run, agent: str, state: str) -> None:
    engine = run.world.engines.get(agent)
    stage = agent.split("-")[0] if engine is not None else "service"
    pool = MODEL_POOL if engine is not None else SERVICE_POOL
    run.world.list_instance(agent, "agent", ZONES[0], pool, stage, state)
    run.published()


def _leave(run: Run) -> None:
    """The platform lists an endpoint as leaving, for a while."""
    if run.oracle.leaving:
        return
    agent = run.rng.choice(run.agents)
    run.note(f"{agent} is listed as leaving")
    _list(run, agent, "leaving")
    run.oracle.leaving[agent] = run.now

    def back() -> None:
        run.oracle.leaving.pop(agent)
        run.note(f"{agent} is listed as live")
        _list(run, agent, "live")

    run.later(run.rng.uniform(2.0, 15.0), back)


def _planned_stop(run: Run) -> None:
    """A process is stopped as an operator does it and replaced."""
    stopping = [*run.entries, *run.agents]
    name = run.rng.choice(stopping)
    if name in run.busy or any(other in run.busy for other in stopping):
        return
    run.busy.add(name)
    run.note(f"{name} is asked to stop")
    run.spawn(_stop(run, name))


async def _stop(run: Run, name: str) -> None:
    node = run.world.nodes[name]
    if name in run.agents:
        node.core.drain()
    await asyncio.sleep(LEAVE_S)
    limit = run.now + LONGEST_STOP_S
    while run.now < limit and _unfinished(run, name):
        await asyncio.sleep(STOP_POLL_S)
    run.note(f"{name} stops")
    run.world.kill(name)
    await asyncio.sleep(STOP_POLL_S)
    run.world.start(name)
    run.busy.discard(name)


def _unfinished(run: Run, name: str) -> bool:
    if name in run.agents:
        return run.world.nodes[name].core.worker.busy > 0
    return any(send.entry == name for _, send in run.oracle.ledger.waiting)


LOAD = {
    "ask": Rule(10, _ask),
    "book": Rule(5, _book),
    "read": Rule(3, _read),
    "repeat": Rule(3, _repeat),
    "cancel": Rule(2, _cancel),
    "withdraw_key": Rule(0.4, _withdraw_key),
    "issue_key": Rule(0.4, _issue_key),
    "invalid_change": Rule(0.1, _invalid_change),
    "leave": Rule(0.3, _leave),
    "planned_stop": Rule(0.3, _planned_stop),
}
POISON_RULES = {"ask_poison": Rule(0.3, _ask_poison)}
