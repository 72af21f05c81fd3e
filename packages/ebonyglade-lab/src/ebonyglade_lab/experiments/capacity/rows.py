"""Rows of the capacity page: need, figure, budget, mechanism."""

from collections.abc import Iterator
from dataclasses import dataclass

from ebonyglade.entry import RENEW_S
from ebonyglade.members.peers import FLOWING_ROUNDS, HEARTBEAT_S, IDLE_S
from ebonyglade.members.topology import READERS
from ebonyglade.ownership.ownership import RENEWALS
from ebonyglade.ownership.quorum import ZONE_VOTERS, ZONES
from ebonyglade.ownership.terms import Terms
from ebonyglade.placement.subset import COVERING_ENTRIES, SUBSET_ENDPOINTS
from ebonyglade.worker.reports import FORGET_S, REPORT_S
from ebonyglade_lab.experiments.capacity import target
from ebonyglade_lab.experiments.capacity.fit import Slope


@dataclass(frozen=True, slots=True)
class Row:
    """One need of one role at the two-year size.

    Attributes:
        role: "entry", "agent" or "fleet".
        need: what is needed.
        source: what the figure was worked out from.
        figure: the figure.
        budget: what there is; None where no budget is named.
        unit: unit of both.
        mechanism: what carries it.
    """

    role: str
    need: str
    source: str
    figure: float
    budget: float | None
    unit: str
    mechanism: str

    @property
    def ratio(self) -> float:
        """Figure by budget; zero without a budget."""
        return self.figure / self.budget if self.budget else 0.0

    @property
    def verdict(self) -> str:
        """Whether the mechanism carries the need."""
        if not self.budget:
            return "carried"
        return "carried" if self.ratio <= 1 else "NOT carried"


@dataclass(frozen=True, slots=True)
class Measured:
    """All measured slopes and message costs.

    Attributes:
        slopes: by name.
        messages: bytes and microseconds by message.
        tokens_request: tokens of an answer in the load experiment.
    """

    slopes: dict[str, Slope]
    messages: dict[str, tuple[int, float]]
    tokens_request: float


def rows(found: Measured) -> Iterator[Row]:
    """Yield all rows."""
    for role in ("entry", "agent"):
        yield from _state(found, role)
        yield from _idle(found, role)
    yield from _control_of_entry(found)
    yield from _control_of_agent(found)
    yield from _data_path(found)
    yield from _fleet()


def _state(found: Measured, role: str) -> Iterator[Row]:
    spaces = found.slopes[f"state of an {role}, by workspaces with a key"]
    listed = found.slopes[f"state of an {role}, by listed instances"]
    idle = found.slopes[f"memory of an idle {role}"]
    state = spaces.slope * target.WORKSPACES + listed.slope * target.INSTANCES
    yield Row(
        role,
        "memory: program, configuration and list",
        "idle process + bytes a workspace + bytes an instance",
        (idle.base + state) / 1e6,
        target.MEMORY_BUDGET / 1e6,
        "MB",
        "every process keeps the whole tree in memory",
    )


def _idle(found: Measured, role: str) -> Iterator[Row]:
    for name, budget, unit in (
        ("processor time", target.CPU_BUDGET, "% of a core"),
        ("bytes sent", target.BYTES_BUDGET, "B/s"),
        ("bytes received", target.BYTES_BUDGET, "B/s"),
    ):
        slope = found.slopes[f"{name} of an idle {role}"]
        biggest = max(slope.sizes)
        yield Row(
            role,
            f"{name}, idle, at the largest fleet measured ({biggest:.0f})",
            "idle fleets",
            slope.values[slope.sizes.index(biggest)],
            budget,
            unit,
            "relay tree of bounded degree; leases renewed in batches",
        )


def _control_of_entry(found: Measured) -> Iterator[Row]:
    changes = target.CHANGES_DAY / target.DAY_S
    change = found.slopes["a change of a workspace, at an entry"]
    yield Row(
        "entry",
        "processor time for configuration changes",
        "microseconds a change at 4,700 workspaces x changes a second",
        change.at(target.WORKSPACES) * 1e-6 * changes * 100,
        target.CPU_BUDGET,
        "% of a core",
        "changes are indexed one by one; only deltas are sent",
    )
    subset = SUBSET_ENDPOINTS + round(
        COVERING_ENTRIES * target.AGENTS / 2 / target.MODELS / target.ENTRIES
    )
    recent = target.partners(subset, IDLE_S)
    reported = target.partners(subset, FORGET_S)
    busy = target.partners(subset, target.HOLD_S)
    ping = found.messages["Ping"][0]
    load = found.messages["Load"][0]
    yield Row(
        "entry",
        "bytes of heartbeats, both ways",
        f"{recent:.0f} agents used in {IDLE_S:.0f} s, a round in {FLOWING_ROUNDS}",
        2 * recent * ping / HEARTBEAT_S / FLOWING_ROUNDS,
        target.BYTES_BUDGET,
        "B/s",
        f"heartbeats only with agents in use; subsets of {subset} a model and stage",
    )
    yield Row(
        "entry",
        "bytes of load reports",
        f"{reported:.0f} agents asked in {FORGET_S:.0f} s, one each {REPORT_S:g} s",
        reported * load / REPORT_S,
        target.BYTES_BUDGET,
        "B/s",
        "today a report a second; answers must carry it instead",
    )
    under_way = target.REQUESTS_ENTRY_S * target.HOLD_S
    head, twenty = found.messages["Ping"][0], found.messages["Renew of 20"][0]
    renewals = busy * head + under_way * (twenty - head) / 20
    yield Row(
        "entry",
        "bytes of renewed leases on slots",
        f"{under_way:.0f} requests under way at {busy:.0f} agents, each {RENEW_S:g} s",
        renewals / RENEW_S,
        target.BYTES_BUDGET,
        "B/s",
        "today one message an agent; one lease a pair of processes must follow",
    )
    handled = (recent + reported / REPORT_S) * _cost(found, "Load")
    yield Row(
        "entry",
        "processor time to encode and decode these",
        "microseconds of codec a message; handling not counted",
        (handled + busy / RENEW_S * _cost(found, "Renew of 20")) * 1e-6 * 100,
        target.CPU_BUDGET,
        "% of a core",
        "msgpack structs",
    )
    yield from _leases()


def _cost(found: Measured, name: str) -> float:
    return found.messages[name][1]


def _leases() -> Iterator[Row]:
    terms = Terms()
    asks = terms.groups * ZONES * ZONE_VOTERS * RENEWALS / terms.lease_s
    yield Row(
        "entry",
        "messages of leases on groups, both ways",
        f"{terms.groups} groups, up to {ZONES * ZONE_VOTERS} voters, each "
        f"{terms.lease_s / RENEWALS:g} s",
        2 * asks / target.ENTRIES,
        None,
        "messages/s",
        "majority leases on hash groups; work shrinks with more entries",
    )


def _control_of_agent(found: Measured) -> Iterator[Row]:
    subset = SUBSET_ENDPOINTS + COVERING_ENTRIES
    askers = target.ENTRIES * target.partners(subset, FORGET_S) / target.AGENTS
    yield Row(
        "agent",
        "bytes of load reports and heartbeats",
        f"{askers:.0f} entries use an agent in {FORGET_S:.0f} s",
        askers * (found.messages["Load"][0] / REPORT_S + found.messages["Ping"][0]),
        target.BYTES_BUDGET,
        "B/s",
        "reports go to entries that asked lately",
    )


def _data_path(found: Measured) -> Iterator[Row]:
    for role, tokens in (
        ("entry", target.TOKENS_ENTRY_S),
        ("agent", target.TOKENS_AGENT_S),
    ):
        slope = found.slopes[f"processor time of all {role} processes, by requests"]
        each = slope.slope / found.tokens_request
        yield Row(
            role,
            "processor time to pass tokens on",
            f"{each:.4f}% of a core for a token/s x {tokens:,.0f} tokens/s; all work "
            "of a request is laid on its tokens",
            each * tokens,
            target.CORE,
            "% of a core",
            "one message and one event a token today; batches of tokens must follow",
        )


def _fleet() -> Iterator[Row]:
    readers = READERS * target.ZONES
    changes = target.CHANGES_DAY / target.DAY_S
    yield Row(
        "fleet",
        "calls of the platform",
        f"{readers} waiting watches and up to that many reads a change",
        readers + readers * changes,
        target.PLATFORM_CALLS_S,
        "calls/s",
        f"{READERS} readers an availability zone; everybody else follows neighbours",
    )
    yield Row(
        "fleet",
        "KV cache through the system",
        "engines import from each other",
        0.0,
        None,
        "B/s",
        "the system only names source and handle",
    )
