"""Writes docs/CAPACITY.md from measured slopes."""

import statistics
from collections.abc import Iterable
from pathlib import Path

from ebonyglade.dispatch.attempts import CHUNK_TIMEOUT_S
from ebonyglade.members.health import LOST_AFTER_S, SUSPECT_AFTER_S
from ebonyglade.ownership.terms import Terms
from ebonyglade_lab.experiments.capacity import inside, outside, target
from ebonyglade_lab.experiments.capacity.fit import Slope
from ebonyglade_lab.experiments.capacity.rows import Measured, Row, rows
from ebonyglade_lab.experiments.readings import Rates

PAGE = Path("docs/CAPACITY.md")
RACK = 8  # assumed instances in a rack

INTRODUCTION = f"""# Capacity

The size to design for in two years: {target.ENTRIES} entries before
{target.AGENTS:,} agents, {target.REQUESTS_S:,} requests/s and
{target.TOKENS_S:,} tokens/s, {target.WORKSPACES:,} workspaces, {target.MODELS}
models, {target.ZONES} availability zones in 3 regions, {target.CHANGES_DAY:,}
changes of configuration a day in force within {target.IN_FORCE_S:g} s,
{target.PLATFORM_CALLS_S:,} calls/s of the platform over all readers. For control
a node may spend {target.CPU_BUDGET}% of a core, {target.MEMORY_BUDGET / 1e6:.0f} MB
and {target.BYTES_BUDGET / 1000:g} KB/s.

    python -m ebonyglade_lab capacity

writes this page again: it measures slopes on one machine, over loopback and on
small stand-ins, fits a line through each, and works the figures out from them
and from the numbers above. A figure at the two-year size is an extrapolation and
no measurement. Bytes are those of encoded messages, before encryption. What the
programs cost on the users' platform, where they run in another way, is in
[measurements/users-platform.md](measurements/users-platform.md): an entry used 3.95 %
of a core at 13 requests a second and 2.23 % at 0.1, so that more than half is control.
"""

LIMITS = f"""## What the figures leave out

- Real engines, real networks and encryption's processor time on other hardware.
- Memory of open connections beyond the largest fleet measured.
- The assumption that a request is under way for {target.HOLD_S:g} s.
- A rack is taken to be {RACK} instances.
"""


def write() -> str:
    """Measure everything, write the page and return it."""
    slopes = inside.slopes()
    messages = inside.message_costs()
    idle_slopes, idle_rows = outside.idle()
    load_slopes, load_rows = outside.load()
    slopes += [*idle_slopes, *load_slopes]
    per_request = statistics.fmean(
        tokens / requests for requests, tokens, _, _ in load_rows if requests
    )
    found = Measured(
        {slope.name: slope for slope in slopes},
        {name: (size, cost) for name, size, cost in messages},
        per_request,
    )
    table = list(rows(found))
    parts = [
        INTRODUCTION,
        _needs(table),
        _breaks(table),
        _failures(),
        LIMITS,
        _slopes(slopes),
        _messages(messages),
        _readings("Idle fleets", "instances", idle_rows),
        _readings(
            "Fleets under load (2 entries, 6 model agents)",
            "requests/s",
            [(round(rate, 1), role, item) for rate, _, role, item in load_rows],
        ),
        f"An answer had {per_request:.1f} tokens on average.\n",
    ]
    PAGE.write_text("\n".join(parts))
    return PAGE.read_text()


def _needs(table: Iterable[Row]) -> str:
    lines = ["## Needs by role at the two-year size", ""]
    lines += _head("role", "need", "worked out from", "figure", "budget", "ratio")
    lines[-2] += " mechanism | verdict |"
    lines[-1] += " --- | --- |"
    for row in table:
        budget = f"{row.budget:,.4g}" if row.budget else "none named"
        ratio = f"{row.ratio:.2f}" if row.budget else "-"
        lines.append(
            f"| {row.role} | {row.need} | {row.source} | {row.figure:,.4g} {row.unit} "
            f"| {budget} | {ratio} | {row.mechanism} | {row.verdict} |"
        )
    return "\n".join(lines) + "\n"


def _breaks(table: list[Row]) -> str:
    """Return what breaks first, in order, and at what share of the size."""
    lines = ["## What breaks first", ""]
    over = sorted((row for row in table if row.ratio > 1), key=lambda row: -row.ratio)
    if not over:
        return "\n".join([*lines, "Nothing in the table exceeds its budget.", ""])
    lines += ["In order; the share is of the two-year load of one process.", ""]
    for place, row in enumerate(over, 1):
        lines.append(
            f"{place}. {row.role}: {row.need}, at {100 / row.ratio:.0f}% of the size. "
            f"{row.mechanism[0].upper()}{row.mechanism[1:]}."
        )
    return "\n".join(lines) + "\n"


def _failures() -> str:
    terms = Terms()
    groups = terms.groups / target.ENTRIES
    takeover = terms.lease_s + terms.lease_s / 2
    zone_entries = target.ENTRIES / target.ZONES
    zone_agents = target.AGENTS / target.ZONES
    under_way = target.REQUESTS_ENTRY_S * target.HOLD_S
    at_agent = target.REQUESTS_S * target.HOLD_S / target.AGENTS * 2
    lines = ["## Failure days", "", "Worked out, not measured, from the constants.", ""]
    lines += _head("event", "how often", "what it costs", "time to recover")
    lines += [
        f"| an entry dies | part of {target.FAILURES_DAY} a day | about "
        f"{under_way:.0f} requests under way lose their connection; the rights of "
        f"{groups:.2f} groups on average are held by nobody and their buckets start "
        "empty | a new holder after at most one lease and a back-off, about "
        f"{takeover:.1f} s; requests wait meanwhile within their deadlines |",
        f"| an agent dies | part of {target.FAILURES_DAY} a day | about "
        f"{at_agent:.0f} jobs end; streams go on at another endpoint, bookings under "
        f"way end with `may_have_run` | suspected after {SUSPECT_AFTER_S:g} s of "
        f"silence, given up after {LOST_AFTER_S:g} s; a silent stream moves after "
        f"{CHUNK_TIMEOUT_S:g} s |",
        f"| an instance is replaced | {target.REPLACEMENTS_DAY} a day | one whole tree "
        "from a neighbour, a new place in the relay, a changed subset at some entries "
        "| none for requests: the old one drains first |",
        f"| a rack of {RACK} is lost | every month or two | as {RACK} deaths at once; "
        "voters of a group are spread over availability zones, so a rack takes at "
        "most one zone's vote | as above |",
        f"| an availability zone is lost | a few times a year | {zone_entries:.0f} "
        f"entries and {zone_agents:.0f} agents; {zone_entries * groups:.0f} groups "
        f"change hands | as above; one of {target.ZONES} zones never is a majority of "
        "a group's zones |",
        "| regions lose each other for an hour | now and then | a group's holder needs "
        "a majority of its voters' zones: workspaces whose majority lies on the other "
        "side are not served on this side and are refused with `rate_unknown` after "
        "waiting; configuration of the cut-off side stays as it was | within a lease "
        "term of the link's return |",
    ]
    return "\n".join(lines) + "\n"


def _slopes(slopes: list[Slope]) -> str:
    lines = ["## Measured slopes", ""]
    lines += _head("measured", "unit", "sizes", "values", "slope", "base")
    for slope in slopes:
        sizes = ", ".join(f"{size:,.4g}" for size in slope.sizes)
        values = ", ".join(f"{value:,.4g}" for value in slope.values)
        lines.append(
            f"| {slope.name} | {slope.unit} | {sizes} | {values} "
            f"| {slope.slope:,.4g} a {slope.per} | {slope.base:,.4g} |"
        )
    return "\n".join(lines) + "\n"


def _messages(messages: list[tuple[str, int, float]]) -> str:
    lines = ["## Messages", ""]
    lines += _head("message", "bytes", "microseconds to encode and decode")
    lines += [f"| {name} | {size} | {cost:.2f} |" for name, size, cost in messages]
    return "\n".join(lines) + "\n"


def _readings(title: str, size: str, found: Iterable[tuple[float, str, Rates]]) -> str:
    lines = [f"## {title}", "", "Averages of the processes of a role.", ""]
    lines += _head(
        size, "role", "CPU % of a core", "memory MB", "sent B/s", "received B/s"
    )
    for count, role, item in found:
        lines.append(
            f"| {count} | {role} | {item.cpu:.2f} | {item.resident / 1e6:.1f} "
            f"| {item.sent:,.0f} | {item.received:,.0f} |"
        )
    return "\n".join(lines) + "\n"


def _head(*names: str) -> list[str]:
    return ["| " + " | ".join(names) + " |", "| --- " * len(names) + "|"]
