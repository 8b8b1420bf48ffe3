"""Decoders of what other programs send: any bytes become a message or nothing."""

from collections.abc import AsyncIterator

import httpx
import pytest

from godwitmast.backends.client import BackendClient, LoadDocument
from godwitmast.decoding import convert, decode_json
from godwitmast.dispatch.part_crashes import KEY_PREFIX, decode_group
from godwitmast.entry.crash_reports import read_report
from godwitmast.entry.events import read_usage
from godwitmast.entry.refusals import ErrorAnswer
from godwitmast.entry.request_parsing import read_model_call
from godwitmast.errors import Undecodable
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
