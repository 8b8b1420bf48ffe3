"""Decoders of what other programs send: any bytes become a message or nothing."""

from collections.abc import AsyncIterator

import httpx
import pytest

from fleet import Fleet
from godwitmast.backends.client import BackendClient, LoadDocument
from godwitmast.decoding import convert, decode_json, parse_whole_number
from godwitmast.dispatch.part_crashes import KEY_PREFIX, decode_group
from godwitmast.entry.crash_reports import read_report
from godwitmast.entry.events import read_usage
from godwitmast.entry.refusals import ErrorAnswer
from godwitmast.entry.request_parsing import read_model_call
from godwitmast.errors import Undecodable
from running import running
from test_foreign_rows import UNREADABLE

pytestmark = pytest.mark.anyio

BODIES = pytest.mark.parametrize("body", UNREADABLE.values(), ids=UNREADABLE.keys())


@BODIES
def test_unreadable_bytes_are_one_kind_of_error(body: bytes) -> None:
    """Guards against errors of the library that callers of a decoder do not know."""
    with pytest.raises(Undecodable):
        decode_json(body, LoadDocument)


def test_deeply_nested_value_is_one_kind_of_error() -> None:
    """Guards against values of peers' frames that end a process."""
    value: object = 1
    for _ in range(100_000):
        value = [value]
    nested = list[int]
    for _ in range(50):
        nested = list[nested]  # type: ignore[valid-type, misc]
    with pytest.raises(Undecodable):
        convert(value, nested)


@BODIES
def test_unreadable_bytes_are_no_message(body: bytes) -> None:
    """Guards against bytes of others that end a request or a process."""
    assert read_report("crash/x", body) is None
    assert read_usage(body) is None
    assert isinstance(read_model_call(body, chat=True), ErrorAnswer)
    text = KEY_PREFIX + body.decode("latin-1")
    assert decode_group(text) is None


@pytest.fixture
async def client() -> AsyncIterator[BackendClient]:
    client = BackendClient()
    yield client
    await client.close()


@pytest.mark.parametrize(
    "body",
    [
        *UNREADABLE.values(),
        b'{"running": 1e400, "waiting": 0}',
        b'{"running": Infinity, "waiting": 0}',
        b'{"running": -1, "waiting": 0}',
        b'{"running": "' + b"9" * 5000 + b'", "waiting": 0}',
    ],
)
async def test_unreadable_load_of_a_server_is_no_report(
    client: BackendClient, body: bytes
) -> None:
    """Guards against a server's load that ends the process that polls it."""
    transport = httpx.MockTransport(lambda request: httpx.Response(200, content=body))
    await client.http.aclose()
    client.http = httpx.AsyncClient(transport=transport)
    assert await client.get_json("http://server/load", LoadDocument, 1.0) is None


@pytest.mark.parametrize(
    ("text", "number"),
    [
        ("17", 17),
        (" 17 ", 17),
        ("0", 0),
        ("9" * 9, 999_999_999),
        ("9" * 10, None),
        ("9" * 5000, None),
        ("", None),
        ("-1", None),
        ("+1", None),
        ("1.0", None),
        ("1_0", None),
        ("\u0661", None),
        ("\u00b2", None),
    ],
)
def test_number_in_a_header_has_few_ascii_digits(text: str, number: int | None) -> None:
    """Guards against digits that `int` does not take, or takes for another number."""
    assert parse_whole_number(text) == number


@pytest.mark.parametrize("digits", [5, 3500])
async def test_request_with_a_number_of_thousands_of_digits_is_served(
    http: httpx.AsyncClient, digits: int
) -> None:
    """Guards against an error of a VM for a number that its caller sent."""
    async with running(Fleet()) as fleet:
        tokens = "9" * digits
        headers = {"Token-Usage": f"{tokens},80", "Prompt-Prefix": f"5c1e07a2:{tokens}"}
        for name, value in headers.items():
            answer = await fleet.request(http, "/digest/1", "POST", **{name: value})
            assert answer.status_code == 200
