"""Rules that inject faults, by name; every fault ends after some time."""

from ebonyglade_lab.fuzz import checks
from ebonyglade_lab.fuzz.rules import POISON_RULES, Rule
from ebonyglade_lab.fuzz.run import Run

MAX_FAULT_S = 12.0
PROBABILITIES = (0.02, 0.1, 0.4)  # that a message is affected by a network fault


def _random_duration_s(run: Run) -> float:
    """Return a log-uniformly distributed duration from 0.1 s to `MAX_FAULT_S`."""
    return 0.1 * (MAX_FAULT_S / 0.1) ** run.rng.random()


def _available(run: Run) -> list[str]:
    return [name for name in (*run.entries, *run.agents) if name not in run.unavailable]


def _mark_entry_killed(run: Run, entry: str) -> None:
    for _, request in run.oracle.registry.open_requests:
        request.entry_killed |= request.entry == entry


def _kill_process(run: Run, name: str) -> None:
    _mark_entry_killed(run, name)
    run.world.kill(name)


def _kill(run: Run) -> None:
    available = _available(run)
    if not available:
        return
    name = run.rng.choice(available)
    run.unavailable.add(name)
    _kill_process(run, name)

    def undo() -> None:
        run.unavailable.discard(name)
        run.world.start(name)

    run.begin_fault("death", [name], _random_duration_s(run), undo)


def _pause(run: Run) -> None:
    available = _available(run)
    if not available:
        return
    name = run.rng.choice(available)
    run.unavailable.add(name)
    run.world.pause(name)

    def undo() -> None:
        run.unavailable.discard(name)
        run.oracle.resumed_at[name] = run.now
        run.world.resume(name)

    run.begin_fault("pause", [name], _random_duration_s(run), undo)


def _replace_all(run: Run) -> None:
    """Replace the processes of all available instances at the same time."""
    names = _available(run)
    for name in names:
        _kill_process(run, name)
    for name in names:
        run.world.start(name)
    run.begin_fault("replacement", names, 0.1, lambda: None)


def _partition(run: Run) -> None:
    names = [*run.entries, *run.agents]
    one_side = set(run.rng.sample(names, run.rng.randint(1, len(names) // 2)))
    pairs = {
        frozenset((left, right))
        for left in names
        for right in names
        if left in one_side and right not in one_side
    }
    newly_cut = pairs - run.world.network.faults.partitioned
    run.world.network.faults.partitioned |= newly_cut

    def undo() -> None:
        run.world.network.faults.partitioned -= newly_cut

    run.begin_fault(
        "partition", [n for n in names if n in one_side], _random_duration_s(run), undo
    )


def _silence(run: Run) -> None:
    """Let a connection lose all messages until its sender reconnects."""
    entry, agent = run.rng.choice(run.entries), run.rng.choice(run.agents)
    ends = [entry, agent]
    run.rng.shuffle(ends)
    run.world.network.faults.dead_connections.add((ends[0], ends[1]))
    if not checks.ONE_WAY_CONNECTION_LOSS:
        run.world.network.faults.dead_connections.add((ends[1], ends[0]))
    run.begin_fault("silent", ends, MAX_FAULT_S, lambda: None)


def _network_fault(attribute: str) -> Rule:
    def apply(run: Run) -> None:
        faults = run.world.network.faults
        if getattr(faults, attribute):
            return
        setattr(faults, attribute, run.rng.choice(PROBABILITIES))
        names = [*run.entries, *run.agents]
        run.begin_fault(
            attribute,
            names,
            _random_duration_s(run),
            lambda: setattr(faults, attribute, 0.0),
        )

    return Rule(1, apply)


def _random_readers(run: Run) -> list[str]:
    names = [*run.entries, *run.agents]
    if run.rng.random() < 0.3:
        return names
    return run.rng.sample(names, run.rng.randint(1, len(names)))


def _platform_silent(run: Run) -> None:
    platform = run.world.platform
    readers = [
        name for name in _random_readers(run) if name not in platform.unreachable_for
    ]
    platform.unreachable_for.update(readers)
    run.begin_fault(
        "platform_silent",
        readers,
        _random_duration_s(run),
        lambda: platform.unreachable_for.difference_update(readers),
    )


def _platform_stale(run: Run) -> None:
    """Answer some readers with the present copy, each for a random time."""
    platform = run.world.platform
    readers = [
        name for name in _random_readers(run) if name not in platform.stale_copies
    ]
    for reader in readers:
        platform.pin_copy(reader)

        def undo(reader: str = reader) -> None:
            platform.stale_copies.pop(reader)

        run.begin_fault("platform_stale", [reader], _random_duration_s(run), undo)


def _engine_fault(attribute: str) -> Rule:
    def apply(run: Run) -> None:
        engine = run.rng.choice(list(run.world.engines.values()))
        if getattr(engine, attribute):
            return
        setattr(engine, attribute, True)
        run.begin_fault(
            attribute,
            [engine.name],
            _random_duration_s(run),
            lambda: setattr(engine, attribute, False),
        )

    return Rule(1, apply)


def _engine_crash(run: Run) -> None:
    engine = run.rng.choice(list(run.world.engines.values()))
    if engine.down:
        return
    engine.crash("fault")
    run.begin_fault("crash", [engine.name], 2.5, lambda: None)


def _service_fault(attribute: str) -> Rule:
    def apply(run: Run) -> None:
        service = run.rng.choice(list(run.world.services.values()))
        if getattr(service, attribute):
            return
        setattr(service, attribute, True)
        run.begin_fault(
            attribute,
            [service.name],
            _random_duration_s(run),
            lambda: setattr(service, attribute, False),
        )

    return Rule(1, apply)


FAULT_RULES = {
    "kill": Rule(2, _kill),
    "pause": Rule(2, _pause),
    "replace_all": Rule(0.2, _replace_all),
    "partition": Rule(1, _partition),
    "silence": Rule(1, _silence),
    "lose": _network_fault("lose"),
    "repeat_messages": _network_fault("repeat"),
    "late": _network_fault("late"),
    "platform_silent": Rule(1, _platform_silent),
    "platform_stale": Rule(1, _platform_stale),
    "stalled": _engine_fault("stalled"),
    "unreachable": _engine_fault("unreachable"),
    "engine_crash": Rule(0.5, _engine_crash),
    "service_down": _service_fault("down"),
    "answer_lost": _service_fault("answer_lost"),
    **POISON_RULES,
}
