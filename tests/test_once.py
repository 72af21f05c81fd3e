import random

import pytest
from result import Ok

from ebonyglade.context import Identity
from ebonyglade.once import ticket as ticket_module, ticket_store
from ebonyglade.once.grants import GrantUse, StartGrants
from ebonyglade.once.ticket_store import (
    RECORD_RETENTION_S,
    TICKET_LIFETIME_S,
    TicketStore,
)
from ebonyglade.ports import ServiceReply

ROUTE, WORKSPACE = "aula/bookings", "aula/physics"
ANSWER = ServiceReply(201, [], b"booked")


def new_store(incarnation="one", **options):
    me = Identity("rooms-0", incarnation)
    return TicketStore(me, random.Random(1).randbytes, **options)


def code(outcome):
    return outcome.err_value.code


def test_ticket_is_decoded_and_a_modified_one_is_refused():
    store = new_store()
    ticket = store.issue(ROUTE, WORKSPACE, 0.0)
    assert ticket_module.decode_ticket(ticket).route == ROUTE
    prefix, payload, mac = ticket.split(".")
    other = new_store().issue("aula/other", WORKSPACE, 0.0).split(".")[1]
    for forged in (f"{prefix}.{other}.{mac}", f"{prefix}.{payload}.AAAA", "egt1.x.y"):
        assert code(store.lookup(forged, WORKSPACE, "d", 0.0)) == "ticket_invalid"


@pytest.mark.parametrize(
    "text", ["", "egt1", "egt1..", "egt1.é.é", "egt1.AA.AA", "a.b.c"]
)
def test_malformed_ticket_is_refused(text):
    assert ticket_module.decode_ticket(text) is None
    assert code(new_store().lookup(text, WORKSPACE, "d", 0.0)) == "ticket_invalid"


def test_ticket_runs_once_and_its_answer_is_kept_until_the_record_expires():
    store = new_store()
    ticket = store.issue(ROUTE, WORKSPACE, 0.0)
    assert store.claim(ticket, WORKSPACE, "d", 0.0) == Ok(None)
    assert code(store.claim(ticket, WORKSPACE, "d", 0.0)) == "in_progress"
    store.finish(ticket, ANSWER)
    last = TICKET_LIFETIME_S + RECORD_RETENTION_S
    store.expire(last - 1.0)
    assert store.claim(ticket, WORKSPACE, "d", last - 1.0) == Ok(ANSWER)
    store.expire(last)
    assert store.records == 0
    assert code(store.claim(ticket, WORKSPACE, "d", last)) == "ticket_lost"


def test_record_is_kept_while_the_execution_runs():
    store = new_store()
    ticket = store.issue(ROUTE, WORKSPACE, 0.0)
    store.claim(ticket, WORKSPACE, "d", TICKET_LIFETIME_S - 1.0)
    store.expire(10 * (TICKET_LIFETIME_S + RECORD_RETENTION_S))
    assert code(store.lookup(ticket, WORKSPACE, "d", 1e6)) == "in_progress"


def test_nothing_starts_under_an_expired_ticket():
    store = new_store()
    ticket = store.issue(ROUTE, WORKSPACE, 0.0)
    assert code(store.claim(ticket, WORKSPACE, "d", TICKET_LIFETIME_S)) == "ticket_lost"


def test_execution_may_start_again_only_if_it_did_not_run():
    store = new_store()
    ticket = store.issue(ROUTE, WORKSPACE, 0.0)
    store.claim(ticket, WORKSPACE, "d", 0.0)
    store.fail(ticket, ran=False)
    assert store.claim(ticket, WORKSPACE, "d", 0.0) == Ok(None)
    store.fail(ticket, ran=True)
    assert code(store.claim(ticket, WORKSPACE, "d", 0.0)) == "outcome_unknown"


def test_full_store_starts_nothing_and_keeps_its_records():
    store = new_store(max_records=1)
    first, second = (store.issue(ROUTE, WORKSPACE, 0.0) for _ in range(2))
    store.claim(first, WORKSPACE, "d", 0.0)
    assert code(store.claim(second, WORKSPACE, "d", 0.0)) == "overloaded"
    assert code(store.claim(first, WORKSPACE, "d", 0.0)) == "in_progress"


def test_answers_are_dropped_before_their_records(monkeypatch):
    monkeypatch.setattr(ticket_store, "MAX_TOTAL_BYTES", len(ANSWER.body))
    store = new_store()
    tickets = [store.issue(ROUTE, WORKSPACE, 0.0) for _ in range(2)]
    for text in tickets:
        store.claim(text, WORKSPACE, "d", 0.0)
        store.finish(text, ANSWER)
    forgotten = store.lookup(tickets[0], WORKSPACE, "d", 0.0)
    assert (code(forgotten), forgotten.err_value.verdict.value) == (
        "answer_forgotten",
        "ran",
    )
    assert store.lookup(tickets[1], WORKSPACE, "d", 0.0) == Ok(ANSWER)


def test_grant_starts_one_request_and_may_be_evicted():
    ids = iter(range(100))
    grants = StartGrants(lambda: str(next(ids)), capacity=2)
    grant = grants.issue("a")
    assert grants.issue("a") == grant
    assert grants.use("a", grant, in_force=True) is GrantUse.START
    assert grants.use("a", grant, in_force=True) is GrantUse.REPEATED
    assert grants.issue("a") != grant
    assert grants.use("b", grants.issue("b"), in_force=False) is GrantUse.TOO_LATE
    assert grants.use("a", grant, in_force=True) is GrantUse.UNKNOWN
