"""Rows of the server list and the configuration that other programs wrote, as any bytes."""

import json
from collections.abc import AsyncIterator
from typing import Any

import httpx
import pytest

from fleet import Fleet
from godwitmast.platform.daemon import Node
from godwitmast.platform.wire import OPERATOR_TABLE, SERVERS_TABLE
from running import running

pytestmark = pytest.mark.anyio

DEPTH = 4000
"""More nested lists than the JSON library can decode."""

ROW: dict[str, Any] = {
    "service": "app",
    "address": "127.0.0.1:9",
    "zone": "z1",
    "version": "v1",
    "batchSlots": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "sequence": 1,
    "born": 7,
}

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

NEEDED = ("service", "address", "zone", "version", "batchSlots")
NEEDED += ("state", "coldLeftMs", "sequence")

WRONG_FIELDS: dict[str, dict[str, Any]] = {
    "port out of range": {"address": "127.0.0.1:99999"},
    "port 0": {"address": "127.0.0.1:0"},
    "port of 5,000 digits": {"address": "127.0.0.1:" + "9" * 5000},
    "port in Arabic digits": {"address": "127.0.0.1:\u0668\u0660"},
    "port after a space": {"address": "127.0.0.1: 80"},
    "no port": {"address": "127.0.0.1"},
    "no host": {"address": ":80"},
    "a name": {"address": "server.example:80"},
    "a NUL": {"address": "127.0.0.1\x00:80"},
    "an open bracket": {"address": "[::1:80"},
    "a path": {"address": "127.0.0.1/x:80"},
    "a line break": {"address": "127.0.0.1\r\nx:80"},
    "slots of 400 digits": {"batchSlots": 10**400},
    "no slots": {"batchSlots": 0},
    "slots as text": {"batchSlots": "8"},
    "sequence as text": {"sequence": "1"},
    "sequence null": {"sequence": None},
    "version as number": {"version": 1},
    "service null": {"service": None},
    "zone as list": {"zone": ["z1"]},
    "unknown state": {"state": "r" * 30_000},
    "cold as text": {"coldLeftMs": "0"},
    "start as text": {"born": "then"},
    "start of 400 digits": {"born": 10**400},
    "spot as text": {"spot": "yes"},
}

FOREIGN = {
    **UNREADABLE,
    **{
        f"without {name}": json.dumps(
            {k: v for k, v in ROW.items() if k != name}
        ).encode()
        for name in NEEDED
    },
    **{
        name: json.dumps(ROW | fields).encode() for name, fields in WRONG_FIELDS.items()
    },
}


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    async with running(Fleet()) as started:
        yield started


async def assert_serves(fleet: Fleet, http: httpx.AsyncClient, node: Node) -> None:
    for path in ("/peek/1", "/digest/1"):
        answer = await fleet.request(http, path, node=node)
        assert answer.status_code == 200


@pytest.mark.parametrize("content", FOREIGN.values(), ids=FOREIGN.keys())
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


@pytest.mark.parametrize("key", ["a\r\nb", "\u00e9", " a", "a\x00"])
async def test_server_whose_id_no_header_can_carry_is_not_used(
    fleet: Fleet, http: httpx.AsyncClient, key: str
) -> None:
    """Guards against requests that fail as their server's id cannot be sent."""
    fleet.store.put(SERVERS_TABLE, key, json.dumps(ROW).encode())
    fleet.plain[0].publish_row("ready", zone="z9")
    await fleet.wait_until(lambda: fleet.node.driver.listed_backends["p1"].zone == "z9")
    assert key not in fleet.node.driver.listed_backends
    await assert_serves(fleet, http, fleet.node)


@pytest.mark.parametrize(
    "more",
    [{"labels": [[[{}]]]}, {"unheardOf": None}, {"sequence": 0}, {"stage": 7}],
    ids=["lists", "null", "first write", "stage"],
)
async def test_server_row_with_odd_fields_beside_its_own_names_a_server(
    fleet: Fleet, more: dict[str, Any]
) -> None:
    """Guards against servers that are lost for fields that VMs do not know."""
    row = {name: value for name, value in (ROW | more).items() if name != "born"}
    fleet.store.put(SERVERS_TABLE, "new", json.dumps(row).encode())
    await fleet.wait_until(lambda: "new" in fleet.node.driver.listed_backends)


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
