"""The operators' command line against a running system."""

import json
from functools import partial
from pathlib import Path

import anyio
import httpx
import pytest
from anyio.to_thread import run_sync
from typer.testing import CliRunner, Result

from godwitmast.ctl.cli import app
from godwitmast.dev.document import SERVICE, dev_document, dev_key
from godwitmast.dev.system import DevSystem
from godwitmast.usage.rows import NodeRow, dump_node, node_key
from running import running

pytestmark = pytest.mark.anyio


async def ctl(system: DevSystem, *args: str, text: str | None = None) -> Result:
    """Run godwitctl in a thread, since it runs an event loop of its own."""
    command = [*args, "--platform", system.platform.server.url]
    return await run_sync(partial(CliRunner().invoke, app, command, input=text))


async def test_stale_patch_gets_a_conflict_that_shows_what_others_changed(
    system: DevSystem,
) -> None:
    """Two operators read version 1; the second write must not overwrite the first."""
    async with running(system):
        one = json.dumps({"teams": {"arima": {"weight": 2.0}}})
        two = json.dumps({"teams": {"arima": {"weight": 3.0}, "couva": {"weight": 4}}})
        first = await ctl(system, "patch", "-", "--against", "1", "--wait", text=one)
        assert first.exit_code == 0, first.output
        assert "accepted as version 2" in first.output
        assert "in force on 1 entries" in first.output
        second = await ctl(system, "patch", "-", "--against", "1", text=two)
        assert second.exit_code == 3
        assert "version 2 is in force" in second.output
        assert "paths that both change: teams.arima.weight" in second.output
        shown = await ctl(system, "show", "teams.arima.weight")
        assert json.loads(shown.output) == {"version": 2, "document": 2.0}
        diff = await ctl(system, "diff", "1", "2")
        assert diff.output == "teams.arima.weight: null -> 2.0\n"
        assert len((await ctl(system, "history")).output.splitlines()) == 2
        assert "config=2" in (await ctl(system, "status")).output


async def test_patch_sent_again_with_its_id_counts_once(system: DevSystem) -> None:
    async with running(system):
        body = json.dumps({"teams": {"arima": {"weight": 2.0}}})
        command = ["patch", "-", "--against", "1", "--id", "mine"]
        for _ in range(2):
            done = await ctl(system, *command, text=body)
            assert "accepted as version 2" in done.output


async def test_invalid_patch_is_refused_with_its_problem(system: DevSystem) -> None:
    async with running(system):
        body = json.dumps({"teams": {"arima": {"classes": ["no-such"]}}})
        refused = await ctl(system, "patch", "-", "--against", "1", text=body)
        assert refused.exit_code == 2
        assert "'no-such' is not configured" in refused.output


async def test_granted_key_works_until_it_is_withdrawn(
    system: DevSystem, http: httpx.AsyncClient
) -> None:
    async with running(system):
        done = await ctl(system, "grant", "arima", "--class", "question", "--wait")
        assert done.exit_code == 0, done.output
        key = done.output.split()[1]
        assert key not in json.dumps(system.platform.table.rows.values(), default=str)
        url = f"{system.entries[0].server.url}/services/{SERVICE}/gifts"
        headers = {"Authorization": f"Bearer {key}"}
        assert (await http.get(url, headers=headers)).status_code == 200
        done = await ctl(system, "withdraw", key, "--wait")
        assert done.exit_code == 0, done.output
        assert (await http.get(url, headers=headers)).status_code == 401
        other = {"Authorization": f"Bearer {dev_key('arima')}"}
        assert (await http.get(url, headers=other)).status_code == 200
        done = await ctl(system, "drain", "engine-1")
        assert done.exit_code == 0
        shown = await ctl(system, "show", "backends.engine-1.leaving")
        assert json.loads(shown.output)["document"] is True


async def test_evacuated_zone_gets_no_request_until_it_is_restored(
    system: DevSystem, http: httpx.AsyncClient
) -> None:
    async with running(system):
        url = f"{system.entries[0].server.url}/services/{SERVICE}/gifts"
        headers = {"Authorization": f"Bearer {dev_key('arima')}"}
        shown = await ctl(system, "show", "backends")
        document = json.loads(shown.output)["document"]
        zones = {item["zone"] for item in document.values()}
        for zone in zones:
            done = await ctl(system, "evacuate", zone, "--wait")
            assert done.exit_code == 0, done.output
        assert (await http.get(url, headers=headers)).status_code == 503
        for zone in zones:
            done = await ctl(system, "restore", zone, "--wait")
            assert done.exit_code == 0, done.output
        assert (await http.get(url, headers=headers)).status_code == 200


async def test_evacuation_of_an_unknown_zone_is_refused(system: DevSystem) -> None:
    async with running(system):
        refused = await ctl(system, "evacuate", "nowhere")
        assert refused.exit_code == 1
        assert "there is no zone 'nowhere'" in refused.output
        refused = await ctl(system, "restore", "nowhere")
        assert refused.exit_code == 1
        assert "'nowhere' is not evacuated" in refused.output


async def test_wait_names_the_entry_that_is_behind(system: DevSystem) -> None:
    """An entry hangs: the change is accepted, but not in force everywhere."""
    async with running(system):
        entry = system.entries[0]
        with anyio.fail_after(10):
            while entry.journal.last is None or entry.journal.last.config < 1:
                await anyio.sleep(0.02)
        entry.node_writer.closing = True
        body = json.dumps({"teams": {"arima": {"weight": 2.0}}})
        args = ["patch", "-", "--against", "1", "--wait", "--timeout", "1"]
        done = await ctl(system, *args, text=body)
        assert done.exit_code == 4
        assert "straggler: dev-1 in dev has 1, silent" in done.output


async def test_killed_run_of_an_entry_is_no_straggler(system: DevSystem) -> None:
    """Guards against a change that counts as not in force everywhere, as an entry was
    killed with the version before and started again."""
    old = NodeRow("dev-1", "dev", "dev-1.0", 1, 1, 0, {}, {})
    async with running(system):
        [entry] = system.entries
        system.platform.table.transact({}, {node_key("dev-1.0"): dump_node(old)})
        body = json.dumps({"teams": {"arima": {"weight": 2.0}}})
        args = ["patch", "-", "--against", "1", "--wait", "--timeout", "5"]
        done = await ctl(system, *args, text=body)
        assert done.exit_code == 0, done.output
        assert "in force on 1 entries" in done.output
        assert not entry.journal.key.endswith(".0")


def test_check_names_every_problem(tmp_path: Path) -> None:
    document = dev_document([], "http://127.0.0.1:9")
    path = tmp_path / "config.json"
    path.write_text(json.dumps(document))
    assert CliRunner().invoke(app, ["check", str(path)]).exit_code == 0
    document["teams"]["arima"] = {"models": ["gone"]}
    path.write_text(json.dumps(document))
    refused = CliRunner().invoke(app, ["check", str(path)])
    assert refused.exit_code == 2
    assert "teams.arima.models: 'gone' is not configured" in refused.output
