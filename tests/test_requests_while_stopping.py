"""Requests that become whole late in the grace of a planned stop."""

import math
from collections.abc import AsyncIterator
from typing import NamedTuple

import anyio
import httpx
import pytest
from anyio.abc import SocketStream

from fleet import HOST, KEY, PROMPT, Fleet, config_of
from running import running

pytestmark = pytest.mark.anyio

GRACE_S = 6
BODY = b"5 TTD"
WARMUPS = 5


class Reply(NamedTuple):
    """What a caller got: 0 for a connection that ended without a whole answer."""

    status: int
    headers: dict[str, str]
    content: bytes


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    fleet = Fleet(bounds={"graceS": GRACE_S})
    async with running(fleet):
        routes = [{**item, "timeoutMs": 9000} for item in config_of(1)["routes"]]
        await fleet.configure(2, routes=routes)
        yield fleet


class LateCaller:
    """A caller whose upload began before the stop, and ends later."""

    def __init__(self, fleet: Fleet, path: str) -> None:
        self.url = httpx.URL(fleet.url)
        lines = [
            f"POST {path} HTTP/1.1",
            f"host: {HOST}",
            f"attempt-id: late{path.replace('/', '-')}",
            "deadline-ms: 9000",
            f"authorization: Bearer {KEY}",
            f"content-length: {len(BODY)}",
            *(f"{name}: {value}" for name, value in PROMPT.items()),
        ]
        self.head = "\r\n".join([*lines, "", ""]).encode()

    async def begin(self) -> SocketStream:
        stream = await anyio.connect_tcp(self.url.host, self.url.port)
        await stream.send(self.head + BODY[:1])
        return stream

    async def end(self, stream: SocketStream) -> Reply:
        """Send the rest, and return the reply."""
        data = b""
        async with stream:
            try:
                await stream.send(BODY[1:])
                async for piece in stream:
                    data += piece
            except anyio.BrokenResourceError:
                pass
        return read_reply(data)


def read_reply(data: bytes) -> Reply:
    head, ended, content = data.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    pairs = (line.split(": ", 1) for line in lines[1:])
    headers = {name.lower(): value for name, value in pairs}
    if "content-length" in headers:
        is_whole = len(content) == int(headers["content-length"])
    else:
        is_whole = content.endswith(b"0\r\n\r\n")
    if not ended or not is_whole:
        return Reply(0, headers, content)
    return Reply(int(lines[0].split()[1]), headers, content)


async def serve_some(fleet: Fleet, http: httpx.AsyncClient, path: str) -> None:
    """Have the VM learn how long such work takes."""
    async with anyio.create_task_group() as tasks:
        for _ in range(WARMUPS):
            tasks.start_soon(fleet.request, http, path, "POST", BODY)


async def play(fleet: Fleet, path: str, late_s: float) -> Reply:
    """Stop the VM, and end an upload so long after that."""
    caller = LateCaller(fleet, path)
    stream = await caller.begin()
    replies = []

    async def end_upload() -> None:
        await anyio.sleep(late_s)
        replies.append(await caller.end(stream))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(fleet.node.close)
        tasks.start_soon(end_upload)
    return replies[0]


def served_late(fleet: Fleet) -> int:
    ids = [
        request.headers["attempt-id"] for r in fleet.replicas for request in r.served
    ]
    return sum(attempt.startswith("late") for attempt in ids)


@pytest.mark.parametrize("path", ["/pay/1", "/peek/1"])
@pytest.mark.parametrize("work_s", [0.1, 1.0, 2.5])
@pytest.mark.parametrize("late_s", [1.0, 2.8, 3.4, 4.0, 4.6, 5.1])
async def test_late_request_is_answered_or_refused_as_not_run(
    fleet: Fleet, http: httpx.AsyncClient, path: str, work_s: float, late_s: float
) -> None:
    """Guards against requests that are passed on late in the grace, and cut at its end."""
    for replica in fleet.plain:
        replica.work_s = work_s
    await serve_some(fleet, http, path)
    reply = await play(fleet, path, late_s)
    if reply.status == 200:
        assert reply.content == b"answer of app"
    else:
        assert reply.status == 503 and reply.headers["godwit-not-run"] == "true"
        assert float(reply.headers["retry-after"]) < 0.5
        assert served_late(fleet) == 0
    ends_s = GRACE_S * 0.875
    if late_s + work_s < ends_s - 1.0:
        assert reply.status == 200, "there was time enough"
    assert reply.headers.get("connection") == "close"


@pytest.mark.parametrize("path", ["/pay/1", "/digest/1"])
async def test_late_request_of_unknown_length_is_refused_as_not_run(
    fleet: Fleet, path: str
) -> None:
    """Guards against work that nothing is known of, passed on at the end of the grace."""
    for replica in fleet.plain:
        replica.work_s = 2.0
    for replica in fleet.engines:
        replica.event_s = 1.0
    reply = await play(fleet, path, 4.0)
    assert (reply.status, reply.headers["godwit-not-run"]) == (503, "true")
    assert served_late(fleet) == 0


async def test_payment_that_outlasts_the_grace_is_not_called_unrun(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    """Guards against a bare 500 at the end of the grace, for a payment that may run."""
    await serve_some(fleet, http, "/pay/1")
    for replica in fleet.plain:
        replica.work_s = 30.0
    reply = await play(fleet, "/pay/1", 1.0)
    assert (reply.status, reply.headers["godwit-not-run"]) == (502, "unknown")
    assert "server-seal" not in reply.headers and "retry-after" not in reply.headers


async def test_request_that_waits_at_the_end_of_the_grace_is_refused_as_not_run(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    """Guards against requests in the queue that are cut without a word."""
    for replica in fleet.plain:
        replica.places = 1
        replica.publish_row("ready")
    states = fleet.node.driver.router.backends.states
    await fleet.wait_until(
        lambda: [s.limit.value for s in states.values()].count(1.0) == 2
    )
    await serve_some(fleet, http, "/pay/1")
    for replica in fleet.plain:
        replica.work_s = 30.0
    async with anyio.create_task_group() as tasks:
        for _ in range(2):
            stream = await LateCaller(fleet, "/pay/1").begin()
            tasks.start_soon(LateCaller(fleet, "/pay/1").end, stream)
        await fleet.wait_until(lambda: sum(r.running for r in fleet.plain) == 2)
        reply = await play(fleet, "/pay/2", 0.5)
    assert (reply.status, reply.headers["godwit-not-run"]) == (503, "true")
    assert math.isfinite(float(reply.headers["retry-after"]))
