"""The command `where` against a running entry."""

import asyncio
import json
import sys

from ebonyglade_entry.forwarding.where import WhereQuery
from helpers.forwarding_path import forwarding_setup, received

TIMEOUT_S = 30.0  # for the start of the command


def write_settings(path, loaded):
    sections = loaded.model_dump(mode="json", exclude_unset=True)
    lines = []
    for section, values in sections.items():
        lines.append(f"[{section}]")
        lines += [f"{name} = {json.dumps(value)}" for name, value in values.items()]
    path.write_text("\n".join(lines))
    return str(path)


async def command(*arguments):
    started = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "ebonyglade_entry",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env={"PYTHONPATH": ":".join(sys.path), "PATH": "/usr/bin:/bin"},
    )
    async with asyncio.timeout(TIMEOUT_S):
        out, err = await started.communicate()
    return started.returncode, out.decode(), err.decode()


async def test_where_explains_a_request_and_sends_nothing(tmp_path):
    async with forwarding_setup() as setup:
        await setup.move("z2", "plain-2")
        await setup.store.put("op/evacuate/z2", {})
        replica = setup.entry.entry.replica
        await setup.until(lambda: set(replica.evacuations.zones) == {"z2"})
        before = received(setup)
        path = write_settings(tmp_path / "entry.toml", setup.settings)
        code, out, err = await command(
            "where",
            f"--settings={path}",
            "--host=h.example",
            "--path=/open/x",
        )
        after = received(setup)
    assert (code, err) == (0, "")
    assert "plain-2  zone z2  left out: evacuated_zone" in out
    assert "chosen: plain-1" in out
    assert before == after


async def test_where_names_the_refusal_of_an_unknown_route_and_bad_queries():
    async with forwarding_setup() as setup:
        listen = setup.settings.listen
        url = f"http://{listen.metrics_address}/where"
        answers = []
        for query in ({"host": "h.example", "path": "/none"}, {"size": "x"}):
            async with setup.session.get(url, params=query) as response:
                answers.append((response.status, await response.text()))
    (found, text), (invalid, _) = answers
    assert (found, json.loads(text)["refusal"]) == (200, "route_unknown")
    assert invalid == 400


async def test_an_entry_records_nothing_of_an_explained_request():
    """Guards against retries, tokens and random numbers that explanations use up."""
    async with forwarding_setup() as setup:
        core = setup.entry.entry
        query = WhereQuery(host="h.example", path="/read/x", workspace="none")
        opened = WhereQuery(host="h.example", path="/open/x")
        name = next(iter(core.replica.table.workspaces))
        known = query.model_copy(update={"workspace": name})
        before = recorded(core)
        found = [
            core.explain(asked.call(core.context.clock()), asked.workspace)
            for asked in (query, opened, known)
        ]
        after = recorded(core)
    assert before == after
    assert [item.refusal for item in found] == ["key_unknown", "", ""]
    assert [item.workspace for item in found] == ["", "", name]
    assert all(item.chosen for item in found[1:])


def recorded(core):
    """Return what admission and choice of a request would change."""
    own, rates = core.attempts.retries.own, core.rates
    return (
        core.context.rng.getstate(),
        contents(core.loads),
        contents(own),
        contents(core.slack_exchange.slack),
        contents(rates),
    )


def contents(item):
    """Return an object's data, with that of all objects in it, as text."""
    if isinstance(item, dict):
        return [(str(key), contents(value)) for key, value in item.items()]
    if isinstance(item, list | tuple | set):
        return [contents(value) for value in item]
    names = [
        name for kind in type(item).__mro__ for name in getattr(kind, "__slots__", ())
    ]
    names += list(getattr(item, "__dict__", ()))
    if not names:
        return repr(item)
    return [
        (name, contents(getattr(item, name))) for name in names if hasattr(item, name)
    ]
