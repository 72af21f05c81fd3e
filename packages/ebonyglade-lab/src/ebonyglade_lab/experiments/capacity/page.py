"""Measures slopes and writes docs/CAPACITY.md from them."""

import statistics
from collections.abc import Iterable
from pathlib import Path

from ebonyglade.dispatch.attempts import CHUNK_TIMEOUT_S
from ebonyglade.members.health import LOST_AFTER_S, SUSPECT_AFTER_S
from ebonyglade.ownership.lease_times import LeaseTimes
from ebonyglade_lab.experiments.capacity import in_process, multi_process, target
from ebonyglade_lab.experiments.capacity.linear_fit import LinearFit
from ebonyglade_lab.experiments.capacity.requirements import (
    Measurements,
    Requirement,
    requirements,
)
from ebonyglade_lab.experiments.resource_usage import ResourceUsage

PAGE_PATH = Path("docs/CAPACITY.md")
INSTANCES_PER_RACK = 8  # assumed

INTRODUCTION = f"""# Capacity

The size to design for in two years: {target.ENTRIES} entries before
{target.AGENTS:,} agents, {target.REQUESTS_PER_S:,} requests/s and
{target.TOKENS_PER_S:,} tokens/s, {target.WORKSPACES:,} workspaces, {target.MODELS}
models, {target.ZONES} availability zones in 3 regions, {target.CHANGES_PER_DAY:,}
changes of configuration a day in force within {target.CHANGE_IN_FORCE_S:g} s,
{target.PLATFORM_CALLS_PER_S:,} calls/s of the platform over all readers. For control
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

LIMITATIONS = f"""## What the figures leave out

- Real engines, real networks and encryption's processor time on other hardware.
- Memory of open connections beyond the largest fleet measured.
- The assumption that a request is under way for {target.REQUEST_DURATION_S:g} s.
- A rack is taken to be {INSTANCES_PER_RACK} instances.
"""


def write() -> str:
    """Measure everything, write the page and return it."""
    slopes = in_process.slopes()
    messages = in_process.message_costs()
    idle_slopes, idle_rows = multi_process.measure_idle()
    load_slopes, load_rows = multi_process.measure_load()
    slopes += [*idle_slopes, *load_slopes]
    per_request = statistics.fmean(
        tokens / requests for requests, tokens, _, _ in load_rows if requests
    )
    measured = Measurements(
        {slope.name: slope for slope in slopes},
        {name: (size, cost) for name, size, cost in messages},
        per_request,
    )
    table = list(requirements(measured))
    parts = [
        INTRODUCTION,
        _requirements_section(table),
        _exceeded_section(table),
        _failures_section(),
        LIMITATIONS,
        _slopes_section(slopes),
        _messages_section(messages),
        _usage_section("Idle fleets", "instances", idle_rows),
        _usage_section(
            "Fleets under load (2 entries, 6 model agents)",
            "requests/s",
            [(round(rate, 1), role, item) for rate, _, role, item in load_rows],
        ),
        f"An answer had {per_request:.1f} tokens on average.\n",
    ]
    PAGE_PATH.write_text("\n".join(parts))
    return PAGE_PATH.read_text()


def _requirements_section(table: Iterable[Requirement]) -> str:
    lines = ["## Needs by role at the two-year size", ""]
    lines += _table_header(
        "role", "need", "worked out from", "figure", "budget", "ratio"
    )
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


def _exceeded_section(table: list[Requirement]) -> str:
    """Return the needs that exceed their budget, worst first."""
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


def _failures_section() -> str:
    lease_times = LeaseTimes()
    groups = lease_times.groups / target.ENTRIES
    takeover = lease_times.lease_s + lease_times.lease_s / 2
    zone_entries = target.ENTRIES / target.ZONES
    zone_agents = target.AGENTS / target.ZONES
    open_requests = target.REQUESTS_PER_ENTRY_S * target.REQUEST_DURATION_S
    at_agent = target.REQUESTS_PER_S * target.REQUEST_DURATION_S / target.AGENTS * 2
    lines = ["## Failure days", "", "Worked out, not measured, from the constants.", ""]
    lines += _table_header("event", "how often", "what it costs", "time to recover")
    lines += [
        f"| an entry dies | part of {target.FAILURES_PER_DAY} a day | about "
        f"{open_requests:.0f} requests under way lose their connection; the rights of "
        f"{groups:.2f} groups on average are held by nobody and their buckets start "
        "empty | a new holder after at most one lease and a back-off, about "
        f"{takeover:.1f} s; requests wait meanwhile within their deadlines |",
        f"| an agent dies | part of {target.FAILURES_PER_DAY} a day | about "
        f"{at_agent:.0f} jobs end; streams go on at another endpoint, bookings under "
        f"way end with `may_have_run` | suspected after {SUSPECT_AFTER_S:g} s of "
        f"silence, given up after {LOST_AFTER_S:g} s; a silent stream moves after "
        f"{CHUNK_TIMEOUT_S:g} s |",
        f"| an instance is replaced | {target.REPLACEMENTS_PER_DAY} a day | one whole "
        "tree from a neighbour, a new place in the relay, a changed subset at some "
        "entries | none for requests: the old one drains first |",
        f"| a rack of {INSTANCES_PER_RACK} is lost | every month or two | as "
        f"{INSTANCES_PER_RACK} deaths at once; "
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


def _slopes_section(slopes: list[LinearFit]) -> str:
    lines = ["## Measured slopes", ""]
    lines += _table_header("measured", "unit", "sizes", "values", "slope", "base")
    for slope in slopes:
        sizes = ", ".join(f"{size:,.4g}" for size in slope.sizes)
        values = ", ".join(f"{value:,.4g}" for value in slope.values)
        lines.append(
            f"| {slope.name} | {slope.unit} | {sizes} | {values} "
            f"| {slope.slope:,.4g} a {slope.size_unit} | {slope.intercept:,.4g} |"
        )
    return "\n".join(lines) + "\n"


def _messages_section(messages: list[tuple[str, int, float]]) -> str:
    lines = ["## Messages", ""]
    lines += _table_header("message", "bytes", "microseconds to encode and decode")
    lines += [f"| {name} | {size} | {cost:.2f} |" for name, size, cost in messages]
    return "\n".join(lines) + "\n"


def _usage_section(
    title: str, size: str, measured: Iterable[tuple[float, str, ResourceUsage]]
) -> str:
    lines = [f"## {title}", "", "Averages of the processes of a role.", ""]
    lines += _table_header(
        size, "role", "CPU % of a core", "memory MB", "sent B/s", "received B/s"
    )
    for count, role, item in measured:
        lines.append(
            f"| {count} | {role} | {item.cpu_percent:.2f} "
            f"| {item.resident_bytes / 1e6:.1f} "
            f"| {item.sent_bytes_per_s:,.0f} | {item.received_bytes_per_s:,.0f} |"
        )
    return "\n".join(lines) + "\n"


def _table_header(*names: str) -> list[str]:
    return ["| " + " | ".join(names) + " |", "| --- " * len(names) + "|"]
