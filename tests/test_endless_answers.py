"""Servers, other VMs and a store that send bytes without end, over sockets."""

import gzip
from collections.abc import AsyncIterator
from typing import Any

import anyio
import httpcore
import httpx
import pytest
from anyio.lowlevel import checkpoint

from fleet import PROMPT, Fleet
from godwitmast.backends.answer_limits import (
    ALL_BODIES_BYTES,
    BodiesInProgress,
    bound,
)
from godwitmast.backends.transport import (
    HEAD_READ_BYTES,
    HeadCountingNetwork,
    HeadCountingStream,
)
from godwitmast.config.document import BODY_BYTES, AnswerLimits
from godwitmast.config.parsing import parse_document
from godwitmast.entry.refusals import send_response
from godwitmast.errors import ConfigInvalid, PlatformOutcomeUnknown
from godwitmast.http_server import HttpServer
from godwitmast.platform.store import make_http
from godwitmast.platform.wire import READY
from godwitmast.platform_api import http as platform_http
from godwitmast.platform_api.http import PlatformHttp
from godwitmast.settings import Listen, PlatformSettings
from godwitmast.standins.endless import EndlessSender, Flood
from godwitmast.standins.replica import ReplicaStandin
from running import running

pytestmark = pytest.mark.anyio

ROUTES = {"/chat/1": 2, "/digest/1": 1, "/pay/1": 1, "/peek/1": 2}
"""Paths of each kind of route, with the attempts that it allows."""

IN_FLIGHT_BYTES = 8 * 1024 * 1024
"""What the kernel and the event loop take of an answer that is not read any more."""

SLOW_BYTES_PER_S = 50_000
SMALL_LIMITS = AnswerLimits(16 * 1024, 64 * 1024, 64 * 1024)
"""Limits that a slow sender reaches before the deadline of a request."""

LIMIT_OF = {
    Flood.INTERIM: "head",
    Flood.BODY: "body",
    Flood.CHUNKED_BODY: "body",
    Flood.SMALL_CHUNKS: "pieces",
    Flood.DECLARED_BODY: "body",
    Flood.EVENT: "event",
    Flood.CHUNKED_EVENT: "event",
}
"""The limit that a flood exceeds on a streamed route; the rest are no HTTP."""

REACHED_SLOWLY = [what for what in LIMIT_OF if what is not Flood.SMALL_CHUNKS]
"""Floods that reach their limit at 50 kB a second before the deadline."""


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    async with running(Fleet()) as started:
        yield started


async def flood(
    fleet: Fleet, replicas: list[ReplicaStandin], *what: Any
) -> list[EndlessSender]:
    """Have servers send without end, and wait until the VM knows their addresses."""
    senders = []
    for replica in replicas:
        sender = EndlessSender(*what)
        await sender.start(fleet.tasks)
        replica.port = sender.port
        replica.publish_row(READY)
        senders.append(sender)
    ports = {replica.port for replica in fleet.replicas}

    def known() -> bool:
        urls = fleet.node.driver.urls.values()
        return {httpx.URL(url).port for url in urls} == ports

    await fleet.wait_until(known)
    return senders


async def flood_store(fleet: Fleet, sender: EndlessSender) -> None:
    """Have the store's answers get no end, on new connections only."""
    fleet.front.flood(sender)
    await fleet.wait_until(lambda: not fleet.front.relayed)


async def post(http: httpx.AsyncClient, fleet: Fleet, path: str) -> httpx.Response:
    return await fleet.request(http, path, "POST" if path != "/peek/1" else "GET")


def exceeded(fleet: Fleet, sender: str = "server") -> dict[str, float]:
    """Return how often each limit was exceeded."""
    samples = next(iter(fleet.node.app.metrics.long_answers.collect())).samples
    return {s.labels["limit"]: s.value for s in samples if s.labels["sender"] == sender}


@pytest.mark.parametrize("path", ROUTES)
@pytest.mark.parametrize("what", Flood)
async def test_endless_answer_is_a_failed_attempt(
    fleet: Fleet, http: httpx.AsyncClient, what: Flood, path: str
) -> None:
    """Guards against a VM that reads until the deadline or holds what it reads, and
    against a success made of it."""
    senders = await flood(fleet, fleet.replicas, what)
    answer = await post(http, fleet, path)
    assert answer.status_code in (500, 502)
    attempts = sum(sender.requests for sender in senders)
    if what in LIMIT_OF:
        assert answer.status_code == 502
        assert attempts == ROUTES[path]
        streamed = path in ("/chat/1", "/digest/1")
        assert sum(exceeded(fleet).values()) == attempts
        if streamed:
            assert exceeded(fleet) == {LIMIT_OF[what]: attempts}
    await fleet.wait_until(lambda: sum(s.closed for s in senders) == attempts)
    assert sum(s.sent for s in senders) < attempts * (BODY_BYTES + IN_FLIGHT_BYTES)


@pytest.mark.parametrize("path", ROUTES)
@pytest.mark.parametrize("what", REACHED_SLOWLY)
async def test_limits_hold_for_a_slow_sender(
    fleet: Fleet, http: httpx.AsyncClient, what: Flood, path: str
) -> None:
    """Guards against limits that only a fast sender reaches."""
    await flood(fleet, fleet.replicas, what, SLOW_BYTES_PER_S)
    fleet.node.client.set_limits(SMALL_LIMITS)
    answer = await post(http, fleet, path)
    # A second attempt may run into the deadline.
    assert answer.status_code in (502, 504)
    assert sum(exceeded(fleet).values()) >= 1


async def test_request_that_may_run_again_is_served_by_another_server(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    """Guards against one server's flood that fails requests which another can serve."""
    senders = await flood(fleet, [fleet.engines[0], fleet.plain[0]], Flood.BODY)
    for n in range(6):
        for path in ("/chat/1", "/peek/1"):
            answer = await fleet.request(
                http, path, "GET" if "peek" in path else "POST", Attempt_Id=f"{path}{n}"
            )
            assert answer.status_code == 200
    assert all(sender.requests for sender in senders)


async def test_server_that_floods_is_ejected(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    """Guards against floods that don't count for a server's health."""
    (sender,) = await flood(fleet, [fleet.plain[0]], Flood.INTERIM)
    for n in range(20):
        await fleet.request(http, "/peek/1", Attempt_Id=f"a{n}")
    # Three errors in a row eject it; a probe may follow.
    assert 3 <= sender.requests <= 5


async def test_event_within_a_stream_that_has_begun_is_resumed_elsewhere(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    """Guards against an answer that looks complete after an event without end."""
    fleet.node.client.set_limits(SMALL_LIMITS)
    for engine in fleet.engines:
        engine.faults.long_event = 3
    with pytest.raises(httpx.RemoteProtocolError):
        await fleet.request(http, "/chat/1", "POST", **PROMPT)
    served = [s for engine in fleet.engines for s in engine.served]
    assert sorted(str(s.headers.get("last-event-id")) for s in served) == ["2", "None"]
    assert exceeded(fleet) == {"event": 2}


async def test_answer_at_the_limit_is_served(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    """Guards against limits that refuse what operators allow."""
    fleet.node.client.set_limits(SMALL_LIMITS)
    for replica in fleet.plain:
        replica.faults.body_bytes = SMALL_LIMITS.body_bytes
    answer = await fleet.request(http, "/peek/1")
    assert (answer.status_code, len(answer.content)) == (200, SMALL_LIMITS.body_bytes)
    for replica in fleet.plain:
        replica.faults.body_bytes = SMALL_LIMITS.body_bytes + 1
    assert (await fleet.request(http, "/peek/1")).status_code == 502


async def test_head_as_long_as_the_http_library_takes_is_served(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    """Guards against a limit on interim answers that refuses long heads."""
    for replica in fleet.plain:
        replica.faults.rate_limit = "1" * 90 * 1024
    answer = await fleet.request(http, "/peek/1")
    assert answer.status_code == 200


def test_impossible_limits_are_refused() -> None:
    """Guards against an error that does not say which value is wrong, or why."""
    for name, value in (
        ("body_bytes", 1000),
        ("event_bytes", -1),
        ("head_bytes", 2**40),
        ("body_bytes", "many"),
    ):
        with pytest.raises(ConfigInvalid) as caught:
            parse_document({"classes": {}, "teams": {}, "answers": {name: value}})
        text = str(caught.value)
        assert f"answers.{name} = {value!r}: " in text
        assert "should be" in text


def test_limits_of_a_document_replace_the_defaults() -> None:
    raw = {"classes": {}, "teams": {}, "answers": {"body_bytes": 2**20}}
    assert parse_document(raw).answers == AnswerLimits(body_bytes=2**20)


STORE_FLOODS = {
    Flood.INTERIM: "head",
    Flood.BODY: "body",
    Flood.CHUNKED_BODY: "body",
    Flood.SMALL_CHUNKS: "pieces",
    Flood.DECLARED_BODY: "body",
    Flood.ERROR_BODY: "body",
}


class FloodedStream(httpcore.AsyncNetworkStream):
    """A connection that always has as many bytes as are asked for."""

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        return b"x" * max_bytes


async def test_head_is_read_in_small_pieces() -> None:
    """Guards against a flood of informational answers that is parsed while everything else
    on the VM waits."""
    stream = HeadCountingStream(FloodedStream(), HeadCountingNetwork(131_072))
    assert len(await stream.read(65_536)) == HEAD_READ_BYTES
    stream.awaits_head = False
    assert len(await stream.read(65_536)) == 65_536


@pytest.mark.parametrize("what", STORE_FLOODS)
async def test_endless_answers_of_the_store_are_broken_off(
    http: httpx.AsyncClient, what: Flood
) -> None:
    """Guards against a VM that holds what a store sends, or that waits for its end."""
    async with running(Fleet(fronted=True)) as fleet:
        sender = EndlessSender(what)
        await flood_store(fleet, sender)
        # The VM's own calls may have opened the circuit breaker, which this one bypasses.
        with pytest.raises(PlatformOutcomeUnknown, match=STORE_FLOODS[what]):
            await fleet.node.store.snapshot("any")
        assert exceeded(fleet, "store")[STORE_FLOODS[what]] >= 1
        answer = await fleet.request(http, "/peek/1")
        assert answer.status_code == 200
        await fleet.wait_until(lambda: sender.closed >= 1)
        fleet.front.flood(None)
        await fleet.configure(2)


async def test_slow_endless_answer_of_the_store_ends_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a call that lasts as long as bytes keep arriving."""
    monkeypatch.setattr(platform_http, "ANSWER_TIMEOUT_S", 0.5)
    async with running(Fleet(fronted=True)) as fleet:
        await flood_store(fleet, EndlessSender(Flood.BODY, SLOW_BYTES_PER_S))
        with (
            anyio.fail_after(5),
            pytest.raises(PlatformOutcomeUnknown, match="no whole answer in 0.5 s"),
        ):
            await fleet.node.store.get_object("any")
        fleet.front.flood(None)


@pytest.mark.parametrize("encoded", [b"x" * 1000, b"x" * 30_000_000])
async def test_compressed_answer_of_the_store_is_bounded_as_decoded(
    encoded: bytes,
) -> None:
    """Guards against some kB that expand to gigabytes, and against encoded answers
    that are no longer decoded."""
    body = gzip.compress(encoded)

    async def answer(scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "http":
            await send_response(send, 200, [(b"content-encoding", b"gzip")], body)

    server = HttpServer(answer, Listen(), grace_s=0.1)
    settings = PlatformSettings("http://127.0.0.1", 1.5)
    async with running(server):
        http = make_http(Listen("127.0.0.1", server.port), 1.5)
        client = PlatformHttp(settings, http)
        if len(encoded) < platform_http.ANSWER_BYTES:
            assert (await client.send("GET", "/")).content == encoded
        else:
            with pytest.raises(PlatformOutcomeUnknown, match="body over"):
                await client.send("GET", "/")
        await client.close()


async def test_bodies_together_are_bounded_and_none_fails_for_the_others() -> None:
    """Guards against a VM that is out of memory as many servers flood it at once, and
    against legitimate large answers that fail then."""
    bodies = BodiesInProgress()
    size, count = 4 * 1024 * 1024, 12
    most = 0

    async def pieces() -> AsyncIterator[bytes]:
        nonlocal most
        for _ in range(size // 65536):
            await checkpoint()
            yield b"x" * 65536
            most = max(most, bodies.total)

    async def small() -> AsyncIterator[bytes]:
        yield b"y"

    lengths = []

    async def read() -> None:
        lengths.append(len(await bodies.collect(bound(pieces(), size))))

    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            tasks.start_soon(read)
        while bodies.total <= ALL_BODIES_BYTES:
            await checkpoint()
        assert await bodies.collect(bound(small(), size)) == b"y"
        assert not lengths, "a small body has waited"
    assert lengths == [size] * count
    assert most <= ALL_BODIES_BYTES + size + count * 65536
    assert (bodies.total, bodies.bodies) == (0, {})


async def test_body_that_waits_goes_on_when_a_larger_one_is_cancelled() -> None:
    """Guards against answers that wait for a request whose deadline has passed."""
    bodies = BodiesInProgress()
    size = ALL_BODIES_BYTES

    async def stalled() -> AsyncIterator[bytes]:
        yield b"x" * size
        await anyio.sleep_forever()

    async def two_pieces() -> AsyncIterator[bytes]:
        yield b"y" * (size // 2)
        yield b"y"

    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            scope = anyio.CancelScope()

            async def read_stalled() -> None:
                with scope:
                    await bodies.collect(bound(stalled(), 2 * size))

            tasks.start_soon(read_stalled)
            while bodies.total < size:
                await checkpoint()
            tasks.start_soon(bodies.collect, bound(two_pieces(), size))
            while bodies.total < size + size // 2:
                await checkpoint()
            scope.cancel()
    assert bodies.total == 0
