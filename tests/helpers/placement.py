"""Configuration views and placement inputs for the tests of placement."""

from ebonyglade.config.documents import Instance
from ebonyglade.config.view import ConfigView, _group_live_instances
from ebonyglade.placement.choice import PlacementSnapshot
from ebonyglade.placement.loads import AgentLoads
from ebonyglade.placement.prefixes import PrefixIndex
from ebonyglade.placement.subset import Subsets

POOL = "abstracts"
ZONES = ("zone-a", "zone-b", "zone-c")


def view_of(entries: int, prefill: int, decode: int) -> ConfigView:
    """Return a view with the given numbers of entries, prefill and decode agents."""
    view = ConfigView()
    for index in range(entries):
        view.instances[f"entry-{index}"] = _instance("entry", index)
    for stage, count in (("prefill", prefill), ("decode", decode)):
        for index in range(count):
            name = f"{stage}-{index}"
            view.instances[name] = _instance("agent", index, stage)
    _group_live_instances(view)
    return view


def snapshot_of(view: ConfigView, entry: str = "entry-0") -> PlacementSnapshot:
    """Return what an entry knows when it chooses endpoints: no loads, no prefixes."""
    subsets = Subsets(entry)
    return PlacementSnapshot(
        view, subsets, AgentLoads(), PrefixIndex(), view.zone_of(entry)
    )


def _instance(role: str, index: int, stage: str = "") -> Instance:
    zone = ZONES[index % len(ZONES)]
    pool = POOL if stage else ""
    return Instance(role=role, address="", zone=zone, pool=pool, stage=stage)
