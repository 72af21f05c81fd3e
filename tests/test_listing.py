"""The list of models, as standard client libraries request it."""

import json

import pytest
from result import Err

from ebonyglade.calls import Call
from ebonyglade.config.documents import Route
from ebonyglade.config.view import ConfigView, KeyOwner, RouteEntry
from ebonyglade.dispatch.listing import list_models
from ebonyglade.verdict import refuse
from ebonyglade_lab.virtual.loop import run
from helpers.fleets import fetch, small_fleet

AULA = KeyOwner("aula/physics", "aula", withdrawn=False)


def entry(team, model, **fields):
    route = Route(kind="model", pool="p", model=model, **fields)
    return RouteEntry(f"{team}/{model}", team, route)


VIEW = ConfigView(
    models={
        "drafts": [entry("aula", "drafts")],
        "notes": [entry("pham", "notes")],
        "shared": [entry("pham", "shared", shared_with=frozenset({"aula"}))],
        "open": [entry("pham", "open", open=True)],
    }
)


async def _passed_on(call):
    return Err(refuse("route_unknown"))


def listed(owner, view=VIEW, method="GET", path="/v1/models"):
    call = Call("id", 0.0, view, method, path, [], owner=owner)
    return run(list_models(call, _passed_on))


def names(reply):
    return [item["id"] for item in json.loads(reply.ok_value.body)["data"]]


def test_callers_see_only_the_models_that_they_may_use():
    assert names(listed(AULA)) == ["drafts", "open", "shared"]
    assert names(listed(None)) == ["open"]


def test_a_caller_without_a_key_is_refused_if_no_model_is_open():
    closed = ConfigView(models={"drafts": [entry("aula", "drafts")]})
    assert listed(None, closed).err_value.code == "key_missing"
    assert names(listed(KeyOwner("pham/x", "pham", False), closed)) == []


@pytest.mark.parametrize(("method", "path"), [("POST", "/v1/models"), ("GET", "/v1/m")])
def test_other_requests_are_passed_on(method, path):
    assert listed(AULA, method=method, path=path).err_value.code == "route_unknown"


def test_a_published_route_takes_precedence_over_the_list():
    route = Route(kind="service", pool="p", path="/v1/models")
    view = ConfigView(models=VIEW.models, services=[RouteEntry("a/r", "a", route)])
    assert listed(AULA, view).err_value.code == "route_unknown"


async def test_the_list_is_answered_over_http():
    async with small_fleet() as fleet:
        status, headers, body = await fetch(
            fleet.urls()[0] + "/v1/models", method="GET"
        )
    assert status == 200
    assert headers["Content-Type"] == "application/json"
    assert json.loads(body)["object"] == "list"
    assert json.loads(body)["data"]
