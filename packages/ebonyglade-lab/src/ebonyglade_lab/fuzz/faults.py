"""What fails, by name and weight; each fault ends by itself."""

from ebonyglade_lab.fuzz import checks
from ebonyglade_lab.fuzz.rules import POISON_RULES, Rule
from ebonyglade_lab.fuzz.run import Run

LONGEST_FAULT_S = 12.0
LOSSES = (0.02, 0.1, 0.4)


def _seconds(run: Run) -> float:
    """Return a length, short ones as likely as long ones."""
    return 0.1 * (LONGEST_FAULT_S / 0.1) ** run.rng.random()


def _free(run: Run) -> list[str]:
    return [name for name in (*run.entries, *run.agents) if name not in run.busy]


def _cut_off(run: Run, entry: str) -> None:
    for _, send in run.oracle.ledger.waiting:
        send.cut |= send.entry == entry


def _end_process(run: Run, name: str) -> None:
    _cut_off(run, name)
    run.world.kill(name)


def _kill(run: Run) -> None:
    free = _free(run)
    if not free:
        return
    name = run.rng.choice(free)
    run.busy.add(name)
    _end_process(run, name)

    def undo() -> None:
        run.busy.discard(name)
        run.world.start(name)

    run.begin("death", [name], _seconds(run), undo)


def _pause(run: Run) -> None:
    free = _free(run)
    if not free:
        return
    name = run.rng.choice(free)
    run.busy.add(name)
    run.world.pause(name)

    def undo() -> None:
        run.busy.discard(name)
        run.oracle.woken[name] = run.now
        run.world.wake(name)

    run.begin("pause", [name], _seconds(run), undo)


def _replace_all(run: Run) -> None:
    """Every instance is replaced at once by a new process."""
    names = _free(run)
    for name in names:
        _end_process(run, name)
    for name in names:
        run.world.start(name)
    run.begin("replacement", names, 0.1, lambda: None)


def _partition(run: Run) -> None:
    names = [*run.entries, *run.agents]
    some = set(run.rng.sample(names, run.rng.randint(1, len(names) // 2)))
    pairs = {
        frozenset((left, right))
        for left in names
        for right in names
        if left in some and right not in some
    }
    fresh = pairs - run.world.network.faults.cut
    run.world.network.faults.cut |= fresh

    def undo() -> None:
        run.world.network.faults.cut -= fresh

    run.begin("partition", [n for n in names if n in some], _seconds(run), undo)


def _silence(run: Run) -> None:
    """A connection goes silent for good; only a new one works."""
    entry, agent = run.rng.choice(run.entries), run.rng.choice(run.agents)
    ends = [entry, agent]
    run.rng.shuffle(ends)
    run.world.network.faults.silent.add((ends[0], ends[1]))
    if not checks.ONE_WAY_SILENCE:
        run.world.network.faults.silent.add((ends[1], ends[0]))
    run.begin("silent", ends, LONGEST_FAULT_S, lambda: None)


def _network(attribute: str) -> Rule:
    def apply(run: Run) -> None:
        faults = run.world.network.faults
        if getattr(faults, attribute):
            return
        setattr(faults, attribute, run.rng.choice(LOSSES))
        names = [*run.entries, *run.agents]
        run.begin(
            attribute, names, _seconds(run), lambda: setattr(faults, attribute, 0.0)
        )

    return Rule(1, apply)


def _readers(run: Run) -> list[str]:
    names = [*run.entries, *run.agents]
    if run.rng.random() < 0.3:
        return names
    return run.rng.sample(names, run.rng.randint(1, len(names)))


def _platform_silent(run: Run) -> None:
    platform = run.world.platform
    readers = [name for name in _readers(run) if name not in platform.silent]
    platform.silent.update(readers)
    run.begin(
        "platform_silent",
        readers,
        _seconds(run),
        lambda: platform.silent.difference_update(readers),
    )


def _platform_stale(run: Run) -> None:
    """Readers go on to see the present copy, each for its own time."""
    platform = run.world.platform
    readers = [name for name in _readers(run) if name not in platform.stale]
    for reader in readers:
        platform.freeze(reader)

        def undo(reader: str = reader) -> None:
            platform.stale.pop(reader)

        run.begin("platform_stale", [reader], _seconds(run), undo)


def _engine(attribute: str) -> Rule:
    def apply(run: Run) -> None:
        engine = run.rng.choice(list(run.world.engines.values()))
        if getattr(engine, attribute):
            return
        setattr(engine, attribute, True)
        run.begin(
            attribute,
            [engine.name],
            _seconds(run),
            lambda: setattr(engine, attribute, False),
        )

    return Rule(1, apply)


def _engine_crash(run: Run) -> None:
    engine = run.rng.choice(list(run.world.engines.values()))
    if engine.down:
        return
    engine.crash("fault")
    run.begin("crash", [engine.name], 2.5, lambda: None)


def _service(attribute: str) -> Rule:
    def apply(run: Run) -> None:
        service = run.rng.choice(list(run.world.services.values()))
        if getattr(service, attribute):
            return
        setattr(service, attribute, True)
        run.begin(
            attribute,
            [service.name],
            _seconds(run),
            lambda: setattr(service, attribute, False),
        )

    return Rule(1, apply)


FAULTS = {
    "kill": Rule(2, _kill),
    "pause": Rule(2, _pause),
    "replace_all": Rule(0.2, _replace_all),
    "partition": Rule(1, _partition),
    "silence": Rule(1, _silence),
    "lose": _network("lose"),
    "repeat_messages": _network("repeat"),
    "late": _network("late"),
    "platform_silent": Rule(1, _platform_silent),
    "platform_stale": Rule(1, _platform_stale),
    "stalled": _engine("stalled"),
    "unreachable": _engine("unreachable"),
    "engine_crash": Rule(0.5, _engine_crash),
    "service_down": _service("down"),
    "answer_lost": _service("answer_lost"),
    **POISON_RULES,
}
