"""Mutations of the product's decision code, each of which the oracle must catch."""

import asyncio

import pytest

from ebonyglade.agent import AgentCore
from ebonyglade.config import view
from ebonyglade.config.controller import ConfigController
from ebonyglade.config.store import ConfigStore
from ebonyglade.config.view import ConfigView, KeyOwner
from ebonyglade.dispatch import attempts, filters
from ebonyglade.dispatch.keys import KeyGuard
from ebonyglade.dispatch.models import ModelDispatcher
from ebonyglade.entry import EntryCore
from ebonyglade.limits.rate_limit_filter import RateLimitFilter
from ebonyglade.retry import table
from ebonyglade.verdict import Verdict
from ebonyglade.worker.memory import EngineMemory
from ebonyglade.worker.worker import Worker
from ebonyglade_lab.fuzz import driver
from ebonyglade_lab.fuzz.driver import run_seed
from ebonyglade_lab.fuzz.rules import LOAD_RULES, Rule
from ebonyglade_lab.virtual.endpoints import VirtualEngine, VirtualService
from ebonyglade_lab.virtual.store_reader import POLL_S, VirtualStoreReader

STEPS = 1000
SEEDS = range(24)


def _duplicate_tokens(patch):
    patch.setattr(attempts, "_new_tokens", lambda chunk, progress: chunk.tokens)


def _accept_any_end(patch):
    patch.setattr(attempts, "_check_complete", lambda done, progress: None)
    patch.setattr(attempts, "_new_tokens", lambda chunk, progress: chunk.tokens)


def _refuse_after_tokens(patch):
    patch.setattr(
        ModelDispatcher, "_final_refusal", lambda self, tries, refusal, got: refusal
    )


def _repeat_bookings(patch):
    key = (Verdict.MAY_HAVE_RUN, table.RequestKind.ONCE, table.Delivered.NOTHING)
    patch.setitem(table.ACTIONS, key, table.RetryAction.RETRY)


def _apply_older_snapshots(patch):
    real = ConfigStore.apply_snapshot

    def apply(self, revision, items):
        self._revision = 0
        return real(self, revision, items)

    def step(self, now):
        self._next_poll_at = now + POLL_S
        copy = self.platform.read(self.process.instance)
        if copy is not None:
            self.core.config.apply_snapshot(*copy)

    patch.setattr(ConfigStore, "apply_snapshot", apply)
    # A watch does not read copies that are not newer, so every step reads here.
    patch.setattr(VirtualStoreReader, "step", step)


def _ignore_changes(patch):
    real = ConfigController.apply_snapshot

    def take(self, revision, items):
        if not self.ready:
            real(self, revision, items)

    patch.setattr(ConfigController, "apply_snapshot", take)
    patch.setattr(ConfigController, "on_remote_revision", lambda *args: None)


def _accept_withdrawn_keys(patch):
    real = ConfigView.key_owner

    def key_owner(self, key):
        owner = real(self, key)
        return owner and KeyOwner(owner.workspace, owner.team, withdrawn=False)

    patch.setattr(ConfigView, "key_owner", key_owner)


def _use_leaving_endpoints(patch):
    real = view._group_live_instances

    def index(found):
        listed = dict(found.instances)
        found.instances = {
            name: instance.model_copy(update={"state": "live"})
            for name, instance in listed.items()
        }
        real(found)
        found.instances = listed

    patch.setattr(view, "_group_live_instances", index)
    patch.setattr(EntryCore, "_on_leaving", lambda self, sender, message: None)


def _use_another_workspace(patch):
    real = ConfigView.key_owner

    def key_owner(self, key):
        owner = real(self, key)
        return owner and KeyOwner("aula/history", "aula", owner.withdrawn)

    patch.setattr(ConfigView, "key_owner", key_owner)


def _forward_the_key(patch):
    real = filters.identify

    async def identify(call, proceed):
        call.headers.append(("Authorization", call.key))
        return await real(call, proceed)

    patch.setattr("ebonyglade.entry.identify", identify)


def _stop_under_load(patch):
    patch.setattr(Worker, "unfinished", property(lambda self: 0))
    patch.setattr(AgentCore, "drain", lambda self: None)
    # Retries hide interrupted reads and prompts, so bookings must be running.
    real = VirtualService.call

    async def call(self, *args):
        await asyncio.sleep(0.5)
        return await real(self, *args)

    patch.setattr(VirtualService, "call", call)
    patch.setattr(driver, "FAULT_FREE_EPOCH_SHARE", 1.0)
    patch.setitem(
        LOAD_RULES, "planned_stop", Rule(2.0, LOAD_RULES["planned_stop"].apply)
    )


def _ignore_rates(patch):
    async def admit(self, call, proceed):
        return await proceed(call)

    patch.setattr(RateLimitFilter, "__call__", admit)


def _do_not_free_memory(patch):
    patch.setattr(EngineMemory, "tick", lambda *args: None)


def _finish_streams_of_withdrawn_keys(patch):
    async def passes(self, call, proceed):
        return await proceed(call)

    patch.setattr(KeyGuard, "guard", passes)
    # Answers take longer than a withdrawn key may be used.
    real = VirtualEngine.decode

    async def decode(self, job):
        self.state.token_s = 0.4
        async for token in real(self, job):
            yield token

    patch.setattr(VirtualEngine, "decode", decode)


MUTATIONS = {
    "ignores rates": (_ignore_rates, "never_above_rate_and_burst"),
    "does not free memory": (_do_not_free_memory, "memory_of_gone_requests_is_free"),
    "duplicates tokens": (_duplicate_tokens, "whole_and_own_answer"),
    "accepts any end": (_accept_any_end, "whole_and_own_answer"),
    "refuses after tokens": (_refuse_after_tokens, "refusal_not_run_is_true"),
    "repeats bookings": (_repeat_bookings, "runs_at_most_once"),
    "applies older snapshots": (_apply_older_snapshots, "configuration_never_reverts"),
    "ignores changes": (_ignore_changes, "configuration_in_force_in_time"),
    "accepts withdrawn keys": (_accept_withdrawn_keys, "withdrawn_key_stops_working"),
    "uses leaving endpoints": (
        _use_leaving_endpoints,
        "leaving_endpoint_gets_nothing_new",
    ),
    "uses another workspace": (_use_another_workspace, "runs_only_for_its_workspace"),
    "forwards the key": (_forward_the_key, "no_endpoint_sees_the_key"),
    "finishes streams of withdrawn keys": (
        _finish_streams_of_withdrawn_keys,
        "withdrawn_key_stops_working",
    ),
    "stops under load": (_stop_under_load, "planned_stop_cuts_off_nothing"),
}


def first_violation(invariant):
    """Return the first run that violates the invariant."""
    results = (run_seed(seed, STEPS) for seed in SEEDS)
    return next((item for item in results if invariant in item.violation), None)


@pytest.mark.parametrize("name", MUTATIONS)
def test_mutation_is_caught(name, monkeypatch):
    mutate, invariant = MUTATIONS[name]
    mutate(monkeypatch)
    caught = first_violation(invariant)
    assert caught is not None
    assert caught.trace
