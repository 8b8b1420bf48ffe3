"""Rate limit and non-blocking writes of the log, and what it tells of connections."""

import os
import ssl
from collections.abc import Sequence
from contextlib import suppress
from functools import partial

import anyio
import httpx
import pytest
import trustme
from anyio.abc import ByteStream, Listener, SocketAttribute
from anyio.streams.tls import TLSListener

from fleet import Fleet
from godwitmast.backends.client import BackendClient
from godwitmast.backends.connection_use import DroppedConnection, DropReason
from godwitmast.logs import LineSink
from log_fields import fields_of
from running import running

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
PAUSE_S = 0.02


def test_stalled_reader_drops_lines_and_does_not_block() -> None:
    """The log goes to a pipe that is full because its reader has stalled.

    A blocking write would stop every stream of the process. Lines are dropped instead,
    and the first line after the reader resumes reports how many.
    """
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    sink = LineSink(writing, lines_per_s=1e9, burst=1e9)
    for _ in range(2_000):
        sink("x" * 100 + "\n")
    dropped = sink.dropped
    assert dropped > 0
    os.set_blocking(reading, False)
    try:
        while os.read(reading, 1 << 16):
            pass
    except BlockingIOError:
        pass
    sink("event=back\n")
    assert os.read(reading, 1 << 16) == f"event=back dropped={dropped}\n".encode()
    os.close(reading)
    sink("event=nobody\n")
    assert sink.dropped == 1
    os.close(writing)


def test_lines_are_bounded_each_second() -> None:
    # These times are exact in binary. An interval such as 0.3 s after a reading of the
    # system clock can be rounded down, so that two lines are allowed instead of three.
    sink = LineSink(-1, lines_per_s=12.0, burst=5.0)
    sink.filled_at = start = 100.0
    assert [sink.take_line(start) for _ in range(7)] == [True] * 5 + [False] * 2
    assert [sink.take_line(start + 0.25) for _ in range(4)] == [True] * 3 + [False]


async def send_pieces(pieces: Sequence[bytes], ends: bool, stream: ByteStream) -> None:
    """Answer each request with some pieces, with a pause between each two."""
    with suppress(anyio.BrokenResourceError):
        async for _ in stream:
            for number, piece in enumerate(pieces):
                await anyio.sleep(PAUSE_S if number else 0)
                await stream.send(piece)
            if ends:
                break
        await stream.aclose()


async def find_dropped(
    listener: Listener[ByteStream], pieces: Sequence[bytes], ends: bool, url: str
) -> list[DroppedConnection]:
    """Return the connections that a client drops between two requests."""
    client = BackendClient(tls=ssl._create_unverified_context())
    dropped: list[DroppedConnection] = []
    client.drop_listeners.append(dropped.append)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, partial(send_pieces, pieces, ends))
        for _ in range(2):
            async with client.exchange("GET", url, "/", [], b"") as answer:
                assert await answer.aread() == b"ok"
            await anyio.sleep(3 * PAUSE_S)
        await client.close()
        tasks.cancel_scope.cancel()
    return dropped


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("pieces", "ends", "reason"),
    [
        ([ANSWER + b"extra"], False, DropReason.PARSER),
        ([ANSWER, b"extra"], False, DropReason.SOCKET),
        ([ANSWER], True, DropReason.ENDED),
        ([ANSWER], False, None),
    ],
)
async def test_dropped_connection_is_reported_with_its_reason(
    pieces: list[bytes], ends: bool, reason: DropReason | None, log_lines: list[str]
) -> None:
    """Guards against connections that vanish without a sign of why."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    server = f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
    dropped = await find_dropped(listener, pieces, ends, f"http://{server}")
    assert {item.reason for item in dropped} == ({reason} if reason else set())
    lines = fields_of(log_lines, "connection_dropped")
    if reason in (DropReason.ENDED, None):
        assert not lines
        return
    first = lines[0]
    assert float(first.pop("age_s")) > 0
    assert first == {
        "event": "connection_dropped",
        "server": server,
        "connection": "1",
        "exchanges": "1",
        "reason": reason.value,
    }


@pytest.mark.anyio
async def test_connection_with_extra_bytes_under_tls_is_reported(
    log_lines: list[str],
) -> None:
    """Guards against bytes that only the TLS layer holds and no line mentions."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    trustme.CA().issue_cert("127.0.0.1").configure_cert(context)
    plain = await anyio.create_tcp_listener(local_host="127.0.0.1")
    listener = TLSListener(plain, context, standard_compatible=False)
    url = f"https://127.0.0.1:{plain.extra(SocketAttribute.local_port)}"
    dropped = await find_dropped(listener, [ANSWER, b"extra"], False, url)
    assert dropped
    assert all(item.reason is not DropReason.ENDED for item in dropped)
    assert len(fields_of(log_lines, "connection_dropped")) == len(dropped)


@pytest.mark.anyio
async def test_lines_of_a_request_name_its_connection(
    http: httpx.AsyncClient, log_lines: list[str]
) -> None:
    """Guards against an answer of which nobody can tell on which connection it came."""
    async with running(Fleet()) as fleet:
        for replica in fleet.plain[1:]:
            fleet.store.remove_server(replica.server_id)
        await fleet.wait_until(lambda: len(fleet.node.driver.urls) == 3)
        for attempt in ("a1", "a2"):
            answer = await fleet.request(http, "/peek/1", Attempt_Id=attempt)
            assert answer.status_code == 200
        fleet.plain[0].faults.wrong_id = True
        answer = await fleet.request(http, "/pay/1", "POST", Attempt_Id="a3")
        assert answer.status_code == 502
    ended = fields_of(log_lines, "request_ended")
    assert [line["exchange"] for line in ended] == ["1", "2", "3"]
    assert len({line["connection"] for line in ended}) == 1
    [failed] = fields_of(log_lines, "attempt_failed")
    assert failed["connection"] == ended[0]["connection"]
    assert failed["exchange"] == "3"
    assert failed["answer_id"] == "another"
    assert float(failed["age_s"]) > 0
