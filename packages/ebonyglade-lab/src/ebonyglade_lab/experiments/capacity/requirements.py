"""Requirements on the capacity page: need, figure, budget and mechanism."""

from collections.abc import Iterator
from dataclasses import dataclass

from ebonyglade.entry import RENEWAL_INTERVAL_S
from ebonyglade.members.peers import (
    BUSY_PEER_PING_ROUNDS,
    HEARTBEAT_S,
    UNUSED_PEER_TIMEOUT_S,
)
from ebonyglade.members.topology import READERS_PER_ZONE
from ebonyglade.ownership.lease_times import LeaseTimes
from ebonyglade.ownership.ownership import RENEWALS_PER_LEASE
from ebonyglade.ownership.quorum import VOTERS_PER_ZONE, VOTING_ZONES
from ebonyglade.placement.subset import COVERING_ENTRIES, SUBSET_ENDPOINTS
from ebonyglade.worker.reports import IDLE_ENTRY_S, REPORT_INTERVAL_S
from ebonyglade_lab.experiments.capacity import target
from ebonyglade_lab.experiments.capacity.linear_fit import LinearFit


@dataclass(frozen=True, slots=True)
class Requirement:
    """One need of one role at the two-year size.

    Attributes:
        role: "entry", "agent" or "fleet".
        need: resource that is needed.
        source: measurements that the figure is computed from.
        figure: amount that is needed.
        budget: amount that is available; None where there is no budget.
        unit: unit of figure and budget.
        mechanism: mechanism that has to keep the figure within the budget.
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
        """Figure divided by budget; zero without a budget."""
        return self.figure / self.budget if self.budget else 0.0

    @property
    def verdict(self) -> str:
        """Verdict for the table; without a budget nothing is compared."""
        if not self.budget:
            return "carried"
        return "carried" if self.ratio <= 1 else "NOT carried"


@dataclass(frozen=True, slots=True)
class Measurements:
    """All measured slopes and message costs.

    Attributes:
        slopes: fitted line, by name.
        messages: bytes and microseconds, by name of the message.
        tokens_per_request: mean tokens of an answer in the load experiment.
    """

    slopes: dict[str, LinearFit]
    messages: dict[str, tuple[int, float]]
    tokens_per_request: float


def requirements(measured: Measurements) -> Iterator[Requirement]:
    """Yield all requirements in the order of the page."""
    for role in ("entry", "agent"):
        yield from _state(measured, role)
        yield from _idle(measured, role)
    yield from _control_of_entry(measured)
    yield from _control_of_agent(measured)
    yield from _data_path(measured)
    yield from _fleet()


def _state(measured: Measurements, role: str) -> Iterator[Requirement]:
    by_workspaces = measured.slopes[f"state of an {role}, by workspaces with a key"]
    by_instances = measured.slopes[f"state of an {role}, by listed instances"]
    idle = measured.slopes[f"memory of an idle {role}"]
    state = (
        by_workspaces.slope * target.WORKSPACES + by_instances.slope * target.INSTANCES
    )
    yield Requirement(
        role,
        "memory: program, configuration and list",
        "idle process + bytes a workspace + bytes an instance",
        (idle.intercept + state) / 1e6,
        target.MEMORY_BUDGET / 1e6,
        "MB",
        "every process keeps the whole tree in memory",
    )


def _idle(measured: Measurements, role: str) -> Iterator[Requirement]:
    for name, budget, unit in (
        ("processor time", target.CPU_BUDGET, "% of a core"),
        ("bytes sent", target.BYTES_BUDGET, "B/s"),
        ("bytes received", target.BYTES_BUDGET, "B/s"),
    ):
        slope = measured.slopes[f"{name} of an idle {role}"]
        biggest = max(slope.sizes)
        yield Requirement(
            role,
            f"{name}, idle, at the largest fleet measured ({biggest:.0f})",
            "idle fleets",
            slope.values[slope.sizes.index(biggest)],
            budget,
            unit,
            "relay tree of bounded degree; leases renewed in batches",
        )


def _control_of_entry(measured: Measurements) -> Iterator[Requirement]:
    changes = target.CHANGES_PER_DAY / target.DAY_S
    change = measured.slopes["a change of a workspace, at an entry"]
    yield Requirement(
        "entry",
        "processor time for configuration changes",
        "microseconds a change at 4,700 workspaces x changes a second",
        change.value_at(target.WORKSPACES) * 1e-6 * changes * 100,
        target.CPU_BUDGET,
        "% of a core",
        "changes are indexed one by one; only deltas are sent",
    )
    subset = SUBSET_ENDPOINTS + round(
        COVERING_ENTRIES * target.AGENTS / 2 / target.MODELS / target.ENTRIES
    )
    pinged_agents = target.agents_used(subset, UNUSED_PEER_TIMEOUT_S)
    reporting_agents = target.agents_used(subset, IDLE_ENTRY_S)
    busy_agents = target.agents_used(subset, target.REQUEST_DURATION_S)
    ping = measured.messages["Ping"][0]
    load = measured.messages["Load"][0]
    yield Requirement(
        "entry",
        "bytes of heartbeats, both ways",
        f"{pinged_agents:.0f} agents used in {UNUSED_PEER_TIMEOUT_S:.0f} s, "
        f"a round in {BUSY_PEER_PING_ROUNDS}",
        2 * pinged_agents * ping / HEARTBEAT_S / BUSY_PEER_PING_ROUNDS,
        target.BYTES_BUDGET,
        "B/s",
        f"heartbeats only with agents in use; subsets of {subset} a model and stage",
    )
    yield Requirement(
        "entry",
        "bytes of load reports",
        f"{reporting_agents:.0f} agents asked in {IDLE_ENTRY_S:.0f} s, "
        f"one each {REPORT_INTERVAL_S:g} s",
        reporting_agents * load / REPORT_INTERVAL_S,
        target.BYTES_BUDGET,
        "B/s",
        "today a report a second; answers must carry it instead",
    )
    open_requests = target.REQUESTS_PER_ENTRY_S * target.REQUEST_DURATION_S
    header_bytes, renew_20_bytes = (
        measured.messages["Ping"][0],
        measured.messages["Renew of 20"][0],
    )
    renewals = (
        busy_agents * header_bytes
        + open_requests * (renew_20_bytes - header_bytes) / 20
    )
    yield Requirement(
        "entry",
        "bytes of renewed leases on slots",
        f"{open_requests:.0f} requests under way at {busy_agents:.0f} agents, "
        f"each {RENEWAL_INTERVAL_S:g} s",
        renewals / RENEWAL_INTERVAL_S,
        target.BYTES_BUDGET,
        "B/s",
        "today one message an agent; one lease a pair of processes must follow",
    )
    messages_us = (pinged_agents + reporting_agents / REPORT_INTERVAL_S) * _codec_us(
        measured, "Load"
    )
    yield Requirement(
        "entry",
        "processor time to encode and decode these",
        "microseconds of codec a message; handling not counted",
        (
            messages_us
            + busy_agents / RENEWAL_INTERVAL_S * _codec_us(measured, "Renew of 20")
        )
        * 1e-6
        * 100,
        target.CPU_BUDGET,
        "% of a core",
        "msgpack structs",
    )
    yield from _leases()


def _codec_us(measured: Measurements, name: str) -> float:
    return measured.messages[name][1]


def _leases() -> Iterator[Requirement]:
    lease_times = LeaseTimes()
    vote_requests_per_s = (
        lease_times.groups
        * VOTING_ZONES
        * VOTERS_PER_ZONE
        * RENEWALS_PER_LEASE
        / lease_times.lease_s
    )
    yield Requirement(
        "entry",
        "messages of leases on groups, both ways",
        f"{lease_times.groups} groups, "
        f"up to {VOTING_ZONES * VOTERS_PER_ZONE} voters, each "
        f"{lease_times.lease_s / RENEWALS_PER_LEASE:g} s",
        2 * vote_requests_per_s / target.ENTRIES,
        None,
        "messages/s",
        "majority leases on hash groups; work shrinks with more entries",
    )


def _control_of_agent(measured: Measurements) -> Iterator[Requirement]:
    subset = SUBSET_ENDPOINTS + COVERING_ENTRIES
    asking_entries = (
        target.ENTRIES * target.agents_used(subset, IDLE_ENTRY_S) / target.AGENTS
    )
    yield Requirement(
        "agent",
        "bytes of load reports and heartbeats",
        f"{asking_entries:.0f} entries use an agent in {IDLE_ENTRY_S:.0f} s",
        asking_entries
        * (
            measured.messages["Load"][0] / REPORT_INTERVAL_S
            + measured.messages["Ping"][0]
        ),
        target.BYTES_BUDGET,
        "B/s",
        "reports go to entries that asked lately",
    )


def _data_path(measured: Measurements) -> Iterator[Requirement]:
    for role, tokens in (
        ("entry", target.TOKENS_PER_ENTRY_S),
        ("agent", target.TOKENS_PER_AGENT_S),
    ):
        slope = measured.slopes[f"processor time of all {role} processes, by requests"]
        cpu_per_token = slope.slope / measured.tokens_per_request
        yield Requirement(
            role,
            "processor time to pass tokens on",
            f"{cpu_per_token:.4f}% of a core for a token/s x {tokens:,.0f} tokens/s; "
            "all work of a request is laid on its tokens",
            cpu_per_token * tokens,
            target.DATA_PATH_CPU_BUDGET,
            "% of a core",
            "one message and one event a token today; batches of tokens must follow",
        )


def _fleet() -> Iterator[Requirement]:
    readers = READERS_PER_ZONE * target.ZONES
    changes = target.CHANGES_PER_DAY / target.DAY_S
    yield Requirement(
        "fleet",
        "calls of the platform",
        f"{readers} waiting watches and up to that many reads a change",
        readers + readers * changes,
        target.PLATFORM_CALLS_PER_S,
        "calls/s",
        f"{READERS_PER_ZONE} readers an availability zone; "
        "everybody else follows neighbours",
    )
    yield Requirement(
        "fleet",
        "KV cache through the system",
        "engines import from each other",
        0.0,
        None,
        "B/s",
        "the system only names source and handle",
    )
