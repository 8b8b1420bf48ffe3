"""Rows of the server list and the configuration that other programs wrote, as any bytes."""

from collections.abc import AsyncIterator

import httpx
import pytest

from fleet import Fleet
from godwitmast.platform.daemon import Node
from godwitmast.platform.wire import OPERATOR_TABLE, SERVERS_TABLE
from running import running

pytestmark = pytest.mark.anyio

DEPTH = 4000
"""More nested lists than the JSON library can decode."""

UNREADABLE = {
    "open lists": b'{"labels": ' + b"[" * DEPTH,
    "closed lists": b'{"labels": ' + b"[" * DEPTH + b"]" * DEPTH + b"}",
    "objects": b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    "only lists": b"[" * DEPTH,
    "no bytes": b"",
    "not text": b"\xff\xfe\x00",
    "truncated": b'{"service": "app", "addr',
    "null": b"null",
    "a list": b"[]",
    "a long number": b"9" * 50_000,
}


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    async with running(Fleet()) as started:
        yield started


async def assert_serves(fleet: Fleet, http: httpx.AsyncClient, node: Node) -> None:
    for path in ("/peek/1", "/digest/1"):
        answer = await fleet.request(http, path, node=node)
        assert answer.status_code == 200


@pytest.mark.parametrize("content", UNREADABLE.values(), ids=UNREADABLE.keys())
async def test_unusable_server_row_names_no_server_and_ends_no_vm(
    fleet: Fleet, http: httpx.AsyncClient, content: bytes
) -> None:
    """Guards against rows of another writer that end VMs or get requests."""
    known = set(fleet.node.driver.listed_backends)
    fleet.store.put(SERVERS_TABLE, "other", content)
    fleet.plain[0].publish_row("ready", zone="z9")
    await fleet.wait_until(lambda: fleet.node.driver.listed_backends["p1"].zone == "z9")
    await fleet.add_vm("front-2")
    for node in fleet.nodes:
        assert set(node.driver.listed_backends) == known
        assert "other" not in node.driver.urls
        await assert_serves(fleet, http, node)


@pytest.mark.parametrize("content", UNREADABLE.values(), ids=UNREADABLE.keys())
async def test_unreadable_configuration_changes_nothing(
    fleet: Fleet, http: httpx.AsyncClient, content: bytes
) -> None:
    """Guards against a configuration's bytes that end VMs."""
    fleet.store.put(OPERATOR_TABLE, "config", content)
    fleet.store.put(OPERATOR_TABLE, "evacuate/z9", b"{}")
    await fleet.wait_until(lambda: "z9" in fleet.node.driver.evacuated)
    assert fleet.node.config_version() == 1
    await assert_serves(fleet, http, fleet.node)
    await fleet.configure(2)
