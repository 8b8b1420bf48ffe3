"""Tests of the stand-ins of the users' platform, and of a node that runs on them."""

import asyncio
import json
import time
from pathlib import Path

import anyio
import httpx
import msgspec
import pytest

from fleet import PROMPT, READY_WITHIN_S, config_of, request_headers, settings_of
from godwitmast.platform.daemon import Node
from godwitmast.platform.settings import PlatformFile
from godwitmast.settings import check_settings
from godwitmast.standins.fleet import FleetStandin
from godwitmast.standins.settings import FleetSettings
from godwitmast.standins.store import StoreStandin
from running import running

pytestmark = pytest.mark.anyio


async def test_change_at_the_end_of_a_wait_is_returned_with_its_version() -> None:
    """Guards against a change that followers lose.

    A change at the moment the wait ends could give an answer with the new version but
    without the change, so that the next call asked for later ones only.
    """
    store = StoreStandin()
    store.put("op", "before", b"1")
    query = {"table": "op", "afterRevision": str(store.version), "waitMs": "20"}
    async with anyio.create_task_group() as tasks:
        answers = []

        async def follow() -> None:
            answers.append(await store.follow(query))

        tasks.start_soon(follow)
        await anyio.sleep(0)
        # Both timers are due in the same pass of the event loop, the end of the wait first.
        asyncio.get_running_loop().call_later(0.03, store.put, "op", "after", b"2")
        time.sleep(0.05)
    [(_, content)] = answers
    answer = msgspec.json.decode(content)
    returned_keys = [row["key"] for row in answer["rows"]]
    assert (returned_keys, answer["ver"]) in ((["after"], 2), ([], 1))


async def test_node_serves_streams_and_plain_calls_of_a_standin_fleet(
    http: httpx.AsyncClient, tmp_path: Path
) -> None:
    config = tmp_path / "config.json"
    config.write_text(json.dumps(config_of(1)))
    settings = FleetSettings(str(config), engines=2, plain=1, events=7, event_s=0.001)
    async with running(FleetStandin(settings)) as fleet:
        node_settings = settings_of(fleet.store.server.port)
        node = Node(
            check_settings(node_settings, PlatformFile, "settings"), metrics_port=0
        )
        async with running(node):
            with anyio.fail_after(READY_WITHIN_S):
                while not node.app.ready:
                    await anyio.sleep(0.01)
            url = node.caller_server.url
            stream = await http.post(f"{url}/chat/1", headers=request_headers(**PROMPT))
            assert stream.text.count("data:") == 7
            plain = await http.get(f"{url}/peek/1", headers=request_headers("a2"))
            assert plain.text == "answer of app"
