"""Entries before endpoints in several zones, with a store, faults and an operator."""

import asyncio
import random
from dataclasses import dataclass, replace
from itertools import count

from result import Err, Ok

from ebonyglade.bodies import Body
from ebonyglade.completeness import Framing
from ebonyglade.forward.call import (
    AttemptFailure,
    EndpointResponse,
    FailureKind,
    StreamedResponse,
)
from ebonyglade.forward.store import start_check
from ebonyglade.forward.types import (
    ControlResponse,
    Endpoint,
    ResponseMetadata,
    Share,
    Stage,
    StoreDocument,
    Workspace,
)
from ebonyglade_lab.virtual.network import Network
from helpers.entries import Entry
from helpers.forwarding import adapter, at, decode, endpoint, evacuation, listed

REGIONS = {"z0": "north", "z1": "north", "z2": "south", "z3": "south", "z4": "east"}
ZONES = (*REGIONS, "z5")  # the region of "z5" is not known
HOMES = ("north", "south")
HOME_ZONES = ("z0", "z1", "z2", "z3")
EVACUATE_S = 5.0  # the platform's bound
CONNECTED_S = 4.0  # time without a disturbance after which an entry is connected
WRITE_AGAIN_S = 1.5  # for the operator to restore its keys after the store's return
COPIES = 20  # kept by the store
READ_INTERVAL_S = 0.2
RUN_S = 0.02  # time that a request runs
KINDS = {"plain": None, "prefill": Stage.PREFILL, "decode": Stage.DECODE}


@dataclass
class Arrival:
    """A request or reservation that reached an endpoint.

    Attributes:
        time: virtual seconds.
        entry: entry that sent it.
        endpoint: the endpoint.
        connected: whether the entry was connected, see `CONNECTED_S`.
        source: endpoint that holds the prefilled prompt; None if there is none.
    """

    time: float
    entry: str
    endpoint: Endpoint
    connected: bool
    source: Endpoint | None = None


def zoned_endpoints():
    """Return a plain, a prefill and a decode endpoint in each zone."""
    found = []
    for number, (kind, stage) in enumerate(KINDS.items()):
        for zone in ZONES:
            address = f"10.0.{number}.1:80{zone[1:]}"
            name = f"{kind}-{zone}"
            if stage is None:
                found.append(endpoint(name, zone=zone, address=address))
            else:
                item = decode(name, zone=zone, address=address)
                found.append(replace(item, stage=stage))
    return found


class ZonedStore:
    """The store: its documents, also removed ones, by path, and copies of them."""

    def __init__(self, items):
        self.era, self.revision = 0, 50
        self.items = {item.path: item for item in items}
        self._copies = []

    def put(self, zone, removed=False):
        self.revision += 1
        item = evacuation(zone, self.revision, self.era, removed)
        self.items[item.path] = item

    def lists(self, zone):
        item = self.items.get(adapter.EVACUATIONS + zone)
        return item is not None and item.value is not None

    def copy(self):
        self._copies = [*self._copies, (self.revision, dict(self.items))][-COPIES:]

    def restore(self, rng):
        """Come back from an older copy, if there is one."""
        if not self._copies:
            return
        self.revision, items = rng.choice(self._copies)
        self.era += 1
        self.items = {
            path: StoreDocument(path, item.value, at(item.version.revision, self.era))
            for path, item in items.items()
        }

    def read(self, replica):
        """Bring a replica up to date as a reader of the store does."""
        as_of = at(self.revision, self.era)
        if replica.as_of.era == self.era:
            after = replica.as_of.revision
            changes = [i for i in self.items.values() if i.version.revision > after]
            replica.apply(sorted(changes, key=lambda item: item.version), as_of)
        else:
            replica.replace([i for i in self.items.values() if i.value], as_of)
        replica.record_read(replica.clock())


class ZonedPort:
    """Sends one entry's requests to the endpoints, and records what they get."""

    def __init__(self, fleet, name):
        self._fleet, self._name = fleet, name

    async def send(self, call, endpoint, instructions, timeout_s):
        await asyncio.sleep(self._fleet.rng.random() * RUN_S)
        if not call.may_send(endpoint):
            return Err(AttemptFailure(FailureKind.NOT_SENT, "aborted"))
        self._record(endpoint, instructions.cache_source)
        await asyncio.sleep(RUN_S)
        metadata = ResponseMetadata("", True, True)
        body = Body(Framing.CHUNKS, _parts(b"data: x\n\n"))
        return Ok(EndpointResponse(200, [], metadata, body, lambda: None))

    async def control(self, endpoint, call, timeout_s):
        self._record(endpoint)
        await asyncio.sleep(RUN_S)
        full = call.method == "POST" and self._fleet.rng.random() < 0.5
        return Ok(ControlResponse(503 if full else 200, {}, b"hold"))

    def _record(self, endpoint, source=""):
        fleet, name = self._fleet, self._name
        holder = fleet.by_address.get(source.partition("/")[0])
        connected = fleet.is_connected(name)
        fleet.arrivals.append(Arrival(fleet.now, name, endpoint, connected, holder))


async def _parts(*parts):
    for part in parts:
        yield part


class ZonedFleet:
    """A fleet under seeded faults, and what an operator and callers do with it.

    Attributes:
        arrivals: what reached endpoints.
        evacuated: zones that the operator has evacuated now, with the time of each.
        intervals: zone, beginning and end of each evacuation that has ended.
        disturbed: time of the last disturbance of each entry.
        replies: what callers got, except the refusals in the two lists below.
        refused_at_start: refusals `starting` to callers that asked within the time in
            which an entry that has started compares its configuration with others.
        refused_unjoined: refusals `rate_exceeded` of entries that have heard no other
            entry since they started, and so may use no rate.
    """

    def __init__(self, seed, entries=6):
        self.rng = random.Random(seed)
        self.network = Network(random.Random(seed + 1))
        self.network.faults.lose = 0.02
        self.network.faults.late = 0.02
        self.endpoints = zoned_endpoints()
        self.by_address = {item.address: item for item in self.endpoints}
        documents = [listed(item, 10 + n) for n, item in enumerate(self.endpoints)]
        self.store = ZonedStore(documents)
        self.arrivals, self.intervals, self.replies = [], [], []
        self.refused_at_start, self._started_at = [], {}
        self.refused_unjoined = []
        self.evacuated, self.disturbed = {}, {}
        self.turned_away, self.cut_off = set(), set()
        self._documents = documents
        self._ids = count(1)
        self.entries = {f"e{n}": self.start(f"e{n}", "1") for n in range(entries)}

    @property
    def now(self):
        return asyncio.get_running_loop().time()

    def start(self, name, incarnation):
        self.disturbed[name] = self.now
        entry = Entry(
            self.network,
            name,
            zone=HOME_ZONES[int(name[1:]) % len(HOME_ZONES)],
            incarnation=incarnation,
            port=ZonedPort(self, name),
            shares=(Share("model", 1.0), Share("desk", 1.0)),
            documents=self._documents,
            workspace=Workspace("w", ("key",), rate=1e6, burst=1e6, home_regions=HOMES),
            regions=REGIONS,
        )
        self._started_at[entry] = self.now
        entry.process.spawn(self._read_store(name, entry))
        return entry

    async def _read_store(self, name, entry):
        while True:
            if name not in self.turned_away | self.cut_off:
                self.store.read(entry.core.replica)
            await asyncio.sleep(READ_INTERVAL_S)

    def evacuate(self, zone):
        self.store.put(zone)
        self.evacuated.setdefault(zone, self.now)

    def end(self, zone):
        self.store.put(zone, removed=True)
        self.intervals.append((zone, self.evacuated.pop(zone), self.now))

    async def restore(self):
        """Let the store come back from a copy, and the operator write again."""
        self.store.restore(self.rng)
        await asyncio.sleep(WRITE_AGAIN_S)
        for zone in ZONES:
            if self.store.lists(zone) is not (zone in self.evacuated):
                self.store.put(zone, removed=zone not in self.evacuated)

    def cut(self, name):
        """Cut an entry off from the store and all others."""
        self.cut_off.add(name)
        self._set_partitions()

    def reconnect(self):
        for name in self.cut_off:
            self.disturbed[name] = self.now
        self.cut_off.clear()
        self._set_partitions()

    def _set_partitions(self):
        self.network.faults.partitioned = {
            frozenset((name, other))
            for name in self.cut_off
            for other in self.entries
            if other != name
        }

    def restart(self, name):
        self.entries[name].process.kill()
        self.entries[name] = self.start(name, f"i{next(self._ids)}")

    async def load(self, per_s, seconds):
        until = self.now + seconds
        while self.now < until:
            await asyncio.sleep(self.rng.expovariate(per_s))
            entry = self.entries[self.rng.choice(sorted(self.entries))]
            entry.process.spawn(self._ask(entry))

    async def _ask(self, entry):
        request_id = f"id-{next(self._ids)}"
        asked_after_s = self.now - self._started_at[entry]
        call = entry.call(request_id, 4.0, request_id.encode())
        if self.rng.random() < 0.3:
            call = entry.plain_call(request_id, 4.0)
        reply = await entry.core.run(call)
        if isinstance(reply, Ok) and isinstance(reply.ok_value, StreamedResponse):
            async for _ in reply.ok_value.chunks:
                pass
        if (
            asked_after_s <= start_check.MAX_WAIT_S
            and isinstance(reply, Err)
            and reply.err_value.code == "starting"
        ):
            self.refused_at_start.append(reply)
        elif (
            entry.core.rates.joined_at is None
            and isinstance(reply, Err)
            and reply.err_value.code == "rate_exceeded"
        ):
            self.refused_unjoined.append(reply)
        else:
            self.replies.append(reply)

    def is_connected(self, name):
        undisturbed_s = self.now - self.disturbed[name]
        return name not in self.cut_off and undisturbed_s > CONNECTED_S
