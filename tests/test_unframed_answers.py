"""Answers of backend servers that have no length and end with their connection."""

from collections.abc import AsyncIterator

import anyio
import httpx
import pytest

from fleet import PROMPT, Fleet
from running import running

pytestmark = pytest.mark.anyio

WHOLE_STREAM = "".join(f"id: {n}\ndata: event {n}\n\n" for n in range(1, 6))


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    async with running(Fleet()) as started:
        yield started


async def remove_framing(fleet: Fleet, resets: bool = False) -> None:
    """Have all servers answer without framing, and wait until the VM knows."""
    for replica in fleet.replicas:
        await replica.remove_framing(fleet.tasks, resets)
    ports = {replica.port for replica in fleet.replicas}

    def known() -> bool:
        urls = fleet.node.driver.urls.values()
        return {httpx.URL(url).port for url in urls} == ports

    await fleet.wait_until(known)


@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
async def test_stream_broken_off_inside_an_event_does_not_look_complete(
    fleet: Fleet, http: httpx.AsyncClient, resets: bool
) -> None:
    """Guards against the end of a connection that is taken for the end of a stream."""
    await remove_framing(fleet, resets)
    for engine in fleet.engines:
        engine.faults.cut_after = 2
    with pytest.raises(httpx.RemoteProtocolError):
        await fleet.request(http, "/digest/1", "POST", **PROMPT)
    assert sum(len(engine.served) for engine in fleet.engines) == 1


async def test_stream_broken_off_inside_an_event_is_resumed(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    """Guards against a broken stream that is passed on instead of being resumed."""
    await remove_framing(fleet)
    first, second = fleet.engines
    first.faults.cut_after = second.faults.cut_after = 2

    async def repair_the_other() -> None:
        await fleet.wait_until(lambda: first.served or second.served)
        (second if first.served else first).faults.cut_after = None

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(repair_the_other)
        answer = await fleet.request(http, "/chat/1", "POST", **PROMPT)
    assert answer.text == WHOLE_STREAM
    served = [s for engine in fleet.engines for s in engine.served]
    resumed = [s.headers.get("last-event-id") for s in served]
    assert sorted(resumed, key=str) == ["2", None]


@pytest.mark.parametrize("path", ["/digest/1", "/chat/1"])
async def test_whole_stream_arrives_whole(
    fleet: Fleet, http: httpx.AsyncClient, path: str
) -> None:
    await remove_framing(fleet)
    answer = await fleet.request(http, path, "POST", **PROMPT)
    assert (answer.status_code, answer.text) == (200, WHOLE_STREAM)
    assert sum(len(engine.served) for engine in fleet.engines) == 1


@pytest.mark.parametrize("path", ["/pay/1", "/peek/1"])
async def test_whole_answer_arrives_with_its_length(
    fleet: Fleet, http: httpx.AsyncClient, path: str
) -> None:
    await remove_framing(fleet)
    answer = await fleet.request(http, path, "POST")
    assert (answer.status_code, answer.content) == (200, b"answer of app")
    assert answer.headers["content-length"] == str(len(answer.content))


async def test_answer_reset_midway_is_not_forwarded(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    """Guards against half a payment's receipt that looks like all of it."""
    await remove_framing(fleet, resets=True)
    for replica in fleet.plain:
        replica.faults.cut_after = 1
    answer = await fleet.request(http, "/pay/1", "POST")
    assert answer.status_code == 502
    assert sum(len(replica.served) for replica in fleet.plain) == 1


async def test_stream_broken_off_in_its_first_event_has_an_error_status(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    await remove_framing(fleet)
    for engine in fleet.engines:
        engine.faults.cut_after = 0
    answer = await fleet.request(http, "/digest/1", "POST", **PROMPT)
    assert answer.status_code == 502


async def test_stream_broken_off_before_its_first_event_has_an_error_status(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    """Guards against an empty stream that looks complete."""
    await remove_framing(fleet)
    for engine in fleet.engines:
        engine.faults.cut_after, engine.faults.cut_between = 0, True
    answer = await fleet.request(http, "/digest/1", "POST", **PROMPT)
    assert answer.status_code == 502


async def test_stream_resumed_without_any_event_does_not_look_complete(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    """Guards against a stream that ends where a second server broke off at once."""
    await remove_framing(fleet)
    first, second = fleet.engines
    first.faults.cut_after = second.faults.cut_after = 2

    async def cut_the_other_earlier() -> None:
        await fleet.wait_until(lambda: first.served or second.served)
        (second if first.served else first).faults.cut_between = True

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(cut_the_other_earlier)
        with pytest.raises(httpx.RemoteProtocolError):
            await fleet.request(http, "/chat/1", "POST", **PROMPT)
    assert sum(len(engine.served) for engine in fleet.engines) == 2


async def test_request_that_ends_streams_of_its_servers_is_suspected(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    """Guards against crashes that count as complete answers, which end a suspicion."""
    await remove_framing(fleet)
    for engine in fleet.engines:
        engine.faults.cut_after = 2
    with pytest.raises(httpx.RemoteProtocolError):
        await fleet.request(http, "/digest/1", "POST", **PROMPT)
    assert len(fleet.node.driver.router.guard.suspects) == 1


async def test_document_that_answers_a_streamed_request_arrives_whole(
    fleet: Fleet, http: httpx.AsyncClient
) -> None:
    """Guards against a document that is taken for an incomplete event."""
    for engine in fleet.engines:
        engine.faults.content_type = "application/json"
    answer = await fleet.request(http, "/digest/1", "POST", **PROMPT)
    assert (answer.status_code, answer.text) == (200, WHOLE_STREAM)
    assert answer.headers["content-length"] == str(len(answer.content))
