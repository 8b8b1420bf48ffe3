"""Odd rows in all tables that VMs read, over sockets, while requests flow."""

import os
import random
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple

import anyio
import httpx
import msgspec
import pytest
from loguru import logger

from fleet import Fleet, config_of
from godwitmast.entry.crash_reports import Report
from godwitmast.entry.pool_versions import StoredHistory, pool_key
from godwitmast.errors import ConfigInvalid
from godwitmast.platform.catalog import read_config
from godwitmast.platform.own_rows import shape_of
from godwitmast.platform.store import CRASHES_TABLE, OWN_TABLE
from godwitmast.platform.wire import (
    CONFIG_KEY,
    OPERATOR_TABLE,
    SERVERS_TABLE,
    WireConfig,
    WireServer,
)
from godwitmast.types import PoolName
from odd_values import ODD_JSON, Missing, Shape, apply_changes, render
from running import running
from test_drawn_rows import NODE_KNOWN, REPORT_KNOWN
from test_foreign_rows import ROW

pytestmark = pytest.mark.anyio

SEEDS = range(int(os.environ.get("ODD_ROW_SEEDS", "3")))
ROUNDS = 6
FOLLOWED_WITHIN_S = 2.0
MAX_ROW_BYTES = 60_000


class Place(NamedTuple):
    """A row that another program may write, and the shape of a sound one."""

    table: str
    key: str
    shape: Shape


def own(key: str, **known: Any) -> Place:
    return Place(OWN_TABLE, key, Shape(shape_of(key), known))


SERVER = Shape(WireServer, {**ROW, "batch_slots": 8, "service": "unrouted"})
PLACES = [
    Place(SERVERS_TABLE, "other", SERVER),
    Place(OPERATOR_TABLE, CONFIG_KEY, Shape(WireConfig, config_of(2))),
    Place(CRASHES_TABLE, "crash/other/1", Shape(Report, REPORT_KNOWN)),
    Place(OWN_TABLE, pool_key(PoolName("app")), Shape(StoredHistory)),
    Place(OWN_TABLE, "stream/other", Shape(str)),
    own("clock", difference_s=1.0),
    own("lease/duties"),
    own("lease/duties/beat"),
    own("usage/head", frozen=0),
    own("usage/reported"),
    own("usage/window/000000000010"),
    own("node/other", **{**NODE_KNOWN, "incarnation": "other"}),
]


def draw_row(place: Place, rng: random.Random) -> bytes:
    """Return a row with up to three odd values; one in five is also truncated."""
    shape = place.shape
    values = shape.odd_values(ODD_JSON)
    changes = [
        (rng.choice(shape.sites), rng.choice(values)) for _ in range(rng.randint(1, 3))
    ]
    value = apply_changes(shape.example, changes)
    content = render(None if value is Missing else value)[:MAX_ROW_BYTES]
    if rng.random() < 0.2:
        content = content[: rng.randrange(len(content) + 1)]
    return content if place.table != OPERATOR_TABLE else unusable_config(content)


def unusable_config(content: bytes) -> bytes:
    """Return a configuration as it is, or none if it is one that VMs would use."""
    try:
        read_config(content)
    except ConfigInvalid:
        return content
    return b"{}"


@contextmanager
def logged_lines() -> Iterator[list[str]]:
    lines: list[str] = []
    sink = logger.add(lambda line: lines.append(str(line)), format="{level} {message}")
    try:
        yield lines
    finally:
        logger.remove(sink)


async def assert_serves(fleet: Fleet, http: httpx.AsyncClient, zone: str) -> None:
    """Check that all VMs serve, and follow a sound row that was put last."""
    fleet.plain[0].publish_row("ready", zone=zone)
    with anyio.fail_after(FOLLOWED_WITHIN_S):
        for node in fleet.nodes:
            while node.driver.listed_backends["p1"].zone != zone:
                await anyio.sleep(0.01)
    for node in fleet.nodes:
        for path in ("/peek/1", "/digest/1"):
            answer = await fleet.request(http, path, node=node)
            assert answer.status_code == 200


@pytest.mark.parametrize("seed", SEEDS)
async def test_odd_rows_end_no_vm_and_stop_no_list(
    http: httpx.AsyncClient, seed: int
) -> None:
    """Guards against rows of another writer that end VMs, or hold others' rows back."""
    rng = random.Random(seed)
    async with running(Fleet()) as fleet:
        await fleet.request(http, "/peek/1")
        for number in range(ROUNDS):
            if number == ROUNDS // 2:
                # A VM that starts is ready once there is a sound configuration.
                fleet.store.put_config(config_of(1))
                await fleet.add_vm("front-2")
            for place in rng.sample(PLACES, rng.randint(1, len(PLACES))):
                fleet.store.put(place.table, place.key, draw_row(place, rng))
            await assert_serves(fleet, http, f"y{number}")
        await anyio.sleep(0.5)
        assert fleet.node.config_version() == 1
        await fleet.configure(2)
        await fleet.add_vm("front-3")
        await assert_serves(fleet, http, "y")


async def test_odd_server_row_is_logged_once(
    http: httpx.AsyncClient,
) -> None:
    """Guards against a line for an odd row with each change of any other row."""
    content = msgspec.json.encode({**ROW, "address": "127.0.0.1:99999"})
    with logged_lines() as lines:
        async with running(Fleet()) as fleet:
            fleet.store.put(SERVERS_TABLE, "other", content)
            fleet.store.put(OPERATOR_TABLE, CONFIG_KEY, b"[")
            for number in range(5):
                fleet.store.put(OPERATOR_TABLE, f"evacuate/y{number}", b"")
                await assert_serves(fleet, http, f"y{number}x")
                await anyio.sleep(0.1)
            first = [line for line in lines if "server_row_bad" in line]
            rejected = [line for line in lines if "config_rejected" in line]
            assert len(first) == len(rejected) == 1
            assert "row=other" in first[0] and "99999" in first[0]
            fleet.store.put(SERVERS_TABLE, "other", content + b" ")
            await assert_serves(fleet, http, "y")
            assert sum("server_row_bad" in line for line in lines) == 2
