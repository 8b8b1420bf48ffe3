"""Numbers that servers state in the headers of their answers, and ids of their events."""

import random
import time
from collections.abc import AsyncIterator

import anyio
import httpx
import pytest

from fleet import Fleet
from godwitmast.backends.client import MAX_RATE_PER_S, MAX_REST_S, EngineHeaderParser
from godwitmast.decoding import parse_number
from godwitmast.dispatch.messages import ServerStatement
from godwitmast.dispatch.turns import Turns
from godwitmast.entry.events import EventIdReader
from godwitmast.platform.frontend import ReplicaHeaderParser
from running import running

pytestmark = pytest.mark.anyio

NUMBERS = [
    "1e308",
    "1.7e308",
    "9" * 308,
    "9" * 5000,
    "1e400",
    "inf",
    "nan",
    "-1",
    "1e-320",
    "0",
    "-0.0",
    "1_0",
    "\u0663",
    "",
    "x",
]
LOADS = [
    "999999999,999999999,999999999,999999999",
    "9999999999,0,8",
    "9" * 5000 + ",0,8",
    "-1,0,8",
    "1,0",
    ",",
    "\u0663,0,8",
    "0,0,0,0",
]


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    async with running(Fleet()) as started:
        yield started


@pytest.mark.parametrize("name", ["rate_limit", "rejection_limit"])
@pytest.mark.parametrize("value", ["1.7e308", "9" * 308, "1e-320"])
async def test_vm_that_is_suspended_is_not_ended_by_the_rate_of_a_server(
    fleet: Fleet, http: httpx.AsyncClient, name: str, value: str
) -> None:
    """Guards against a rate in an answer's header that overflows in the next tick."""
    for replica in fleet.plain:
        setattr(replica.faults, name, value)
    await fleet.request(http, "/peek/1")
    await anyio.sleep(1.2)
    time.sleep(4.0)
    await anyio.sleep(0.5)
    for replica in fleet.plain:
        setattr(replica.faults, name, None)
    answer = await fleet.request(http, "/peek/1")
    assert answer.status_code == 200


def test_turns_of_any_period_advance() -> None:
    """Guards against a period so short that its number of turns overflows."""
    for period_s in (5e-324, 1e-300, 1e-9, 1.0, 1e300, float("inf")):
        turns = Turns(1.0)
        for now in (0.0, 0.1, 5.0, 1e6):
            turns.advance(period_s, now, random.Random(1))
            turns.is_open(now)


@pytest.mark.parametrize("parser", [EngineHeaderParser(), ReplicaHeaderParser()])
@pytest.mark.parametrize("value", NUMBERS)
def test_statement_of_a_server_is_in_range(
    parser: EngineHeaderParser | ReplicaHeaderParser, value: str
) -> None:
    """Guards against numbers in headers that poison a router's state."""
    names = ("server-limit", "server-brittle", "retry-after")
    names += ("engine-rate-limit", "engine-rejection-limit", "engine-not-run")
    headers = [(name.encode(), value.encode()) for name in names]
    answer = httpx.Response(503, headers=headers)
    statement = parser.parse_statement(answer)
    for number, most in (
        (statement.requests_per_s, MAX_RATE_PER_S),
        (statement.rejections_per_s, MAX_RATE_PER_S),
        (statement.rest_s, MAX_REST_S),
    ):
        assert number is None or 0 <= number <= most


@pytest.mark.parametrize("value", LOADS)
def test_load_in_a_header_is_in_range(value: str) -> None:
    """Guards against a load that no server can have."""
    headers = [(b"server-load", value.encode())]
    statement = ReplicaHeaderParser().parse_statement(
        httpx.Response(200, headers=headers)
    )
    assert isinstance(statement, ServerStatement)
    load = statement.load
    assert load is None or 0 <= load.running + load.waiting < 200_000


@pytest.mark.parametrize(
    ("text", "number"),
    [
        (None, None),
        ("3", 3.0),
        (" 2.5 ", 2.5),
        ("0", 0.0),
        ("1e1", 10.0),
        ("1e308", 100.0),
        ("inf", None),
        ("nan", None),
        ("-1", None),
        ("1_0", None),
        ("\u0663", None),
        ("9" * 5000, None),
    ],
)
def test_number_is_bounded(text: str | None, number: float | None) -> None:
    """Guards against numbers by which sums and quotients overflow."""
    assert parse_number(text, 100.0) == number


@pytest.mark.parametrize(
    "event_id",
    [b"9" * 5000, b"", b"\x00", b"\xff\xfe", "\u0661".encode(), b"x" * 100_000, b"-1"],
)
def test_event_id_is_kept_as_it_is(event_id: bytes) -> None:
    """Guards against ids of events that end the request that reads them."""
    reader = EventIdReader()
    event = b"id: " + event_id + b"\ndata: x\n\n"
    assert reader.feed(event) == event
    assert reader.last_id is not None
    assert reader.last_id.encode("latin-1") == event_id
