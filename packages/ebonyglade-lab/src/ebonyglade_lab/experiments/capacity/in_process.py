"""Slopes measured in one process: bytes of state and processor time."""

import gc
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from ebonyglade.wire import work
from ebonyglade.wire.base import Message
from ebonyglade.wire.codec import decode, encode
from ebonyglade.wire.control import ConfigItem, ConfigUpdate, LoadReport, Ping
from ebonyglade_lab.experiments.capacity import standalone_cores as cores
from ebonyglade_lab.experiments.capacity.linear_fit import LinearFit, measure_fit

WORKSPACES = (500, 1500, 4700)
INSTANCES = (300, 1000, 3290)
CHANGES = 60
REPEATS = 2000


def slopes() -> list[LinearFit]:
    """Return all slopes that are measured in one process."""
    return [
        measure_fit(
            "state of an entry, by workspaces with a key",
            "bytes",
            "workspace",
            WORKSPACES,
            lambda size: _state_bytes(cores.new_entry, lambda: cores.workspaces(size)),
        ),
        measure_fit(
            "state of an entry, by listed instances",
            "bytes",
            "instance",
            INSTANCES,
            lambda size: _state_bytes(cores.new_entry, lambda: cores.instances(size)),
        ),
        measure_fit(
            "state of an agent, by workspaces with a key",
            "bytes",
            "workspace",
            WORKSPACES,
            lambda size: _state_bytes(cores.new_agent, lambda: cores.workspaces(size)),
        ),
        measure_fit(
            "state of an agent, by listed instances",
            "bytes",
            "instance",
            INSTANCES,
            lambda size: _state_bytes(cores.new_agent, lambda: cores.instances(size)),
        ),
        measure_fit(
            "a change of a workspace, at an entry",
            "microseconds",
            "workspace",
            WORKSPACES,
            lambda size: cores.run_on_loop(lambda: _workspace_change_us(size)),
        ),
        measure_fit(
            "a change of the list, at an entry",
            "microseconds",
            "instance",
            INSTANCES,
            lambda size: cores.run_on_loop(lambda: _instance_change_us(size)),
        ),
        measure_fit(
            "first tree of an entry, by workspaces with a key",
            "microseconds",
            "workspace",
            WORKSPACES,
            lambda size: cores.run_on_loop(lambda: _first_tree_us(size)),
        ),
    ]


def message_costs() -> list[tuple[str, int, float]]:
    """Return name, bytes and microseconds of each common message.

    The time is that of encoding and decoding together.
    """
    tokens = [" abcd"] * 8
    item = ConfigItem("teams/team-1/workspaces/w-1", 9, "rate = 1.0\nburst = 2.0\n")
    samples = [
        Ping(1000, 100_000),
        LoadReport(19, 3, 20, 120),
        work.Reserve("a" * 24, "team-1/w-1", 2, 10.0),
        work.Prefill("a" * 24, "team-1/w-1", "model-1", "x" * 8000, 10.0),
        work.Decode("a" * 24, "w", "m", "x" * 8000, "http://10.0.0.1:1", "h", 256, 9.0),
        work.Chunk("a" * 24, 10, tokens[:1]),
        work.Chunk("a" * 24, 10, tokens),
        work.Renew(["a" * 24] * 20),
        ConfigUpdate(1, 2, [item]),
    ]
    names = ["Ping", "Load", "Reserve", "Prefill of 8 kB", "Decode of 8 kB"]
    names += ["Chunk of 1 token", "Chunk of 8 tokens", "Renew of 20", "ConfigPush of 1"]
    return [
        (name, len(_frame(message)), _codec_us(message))
        for name, message in zip(names, samples, strict=True)
    ]


def _frame(message: Message) -> bytes:
    return encode("entry-123", "0123456789abcdef", "tcp://10.0.0.1:7000", message)


def _codec_us(message: Message) -> float:
    frame = _frame(message)
    started = time.process_time()
    for _ in range(REPEATS):
        _frame(message)
        decode(frame)
    return (time.process_time() - started) / REPEATS * 1e6


def _state_bytes(new_core: Callable, items_of: Callable) -> float:
    """Return the bytes that a core retains for a configuration tree."""

    def measure_bytes() -> float:
        core = new_core()
        # The items are decoded as from the wire and share no objects with `items_of`.
        raw = msgspec.msgpack.encode(list(items_of()))
        gc.collect()
        tracemalloc.start()
        items = msgspec.msgpack.decode(raw, type=list[ConfigItem])
        cores.apply_configuration(core, items)
        del items
        gc.collect()
        retained = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        return float(retained)

    return cores.run_on_loop(measure_bytes)


def _workspace_change_us(size: int) -> float:
    core = cores.new_entry()
    items = list(cores.workspaces(size))
    cores.apply_configuration(core, items)
    return _change_us(core, [items[2 * n] for n in range(0, CHANGES)])


def _instance_change_us(size: int) -> float:
    core = cores.new_entry()
    items = list(cores.instances(size))
    cores.apply_configuration(core, items)
    return _change_us(core, items[:CHANGES])


def _change_us(core: object, items: list[ConfigItem]) -> float:
    """Return the microseconds of processor time for a change of one document."""
    revision = core.config.store.revision
    started = time.process_time()
    for number, item in enumerate(items):
        text = item.value + f'note = "{number}"\n'
        cores.apply_change(core, ConfigItem(item.path, revision + number + 1, text))
    return (time.process_time() - started) / len(items) * 1e6


def _first_tree_us(size: int) -> float:
    core = cores.new_entry()
    items = list(cores.workspaces(size))
    started = time.process_time()
    cores.apply_configuration(core, items)
    return (time.process_time() - started) * 1e6
