"""Backend servers of several software versions, whose streams do not fit together."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

import anyio
import httpx
import pytest

from fleet import Fleet, request_headers
from godwitmast.platform.daemon import Node
from godwitmast.platform.store import OWN_TABLE
from godwitmast.platform.wire import DRAINING, READY
from godwitmast.standins.replica import ReplicaStandin
from mixed_fleet import MixedFleet
from running import running

pytestmark = pytest.mark.anyio

WHOLE = "".join(f"id: {n}\ndata: event {n}\n\n" for n in range(1, 6))


def stream_rows(fleet: Fleet) -> list[str]:
    return [key for _, key in fleet.store.rows if key.startswith("stream/")]


@pytest.fixture
async def fleet() -> AsyncIterator[MixedFleet]:
    async with running(MixedFleet()) as started:
        yield started


async def test_stream_goes_on_at_the_version_that_began_it(
    fleet: MixedFleet, http: httpx.AsyncClient
) -> None:
    """Guards against streams whose parts two versions of the software wrote."""
    for number in range(8):
        for engine in fleet.engines:
            engine.served.clear()
            engine.faults.cut_after = 2 + number % 2
        async with http.stream(
            "GET", f"{fleet.url}/chat/{number}", headers=fleet.headers(f"s{number}")
        ) as answer:
            with pytest.raises(httpx.RemoteProtocolError):
                async for _ in answer.aiter_raw():
                    pass
        versions = {engine.version for engine in fleet.streams()}
        assert len(versions) == 1


async def test_stream_ends_broken_where_no_server_of_its_version_is_left(
    fleet: MixedFleet, http: httpx.AsyncClient
) -> None:
    """Guards against streams that go on at another version for want of their own."""
    await fleet.leave("v1")
    only, other = fleet.engines_of("v2")
    other.publish_row(DRAINING)
    await fleet.wait_until(
        lambda: fleet.node.driver.listed_backends[other.server_id].leaving
    )
    only.faults.cut_after = 2
    spare = fleet.engines_of("v1")[0]
    stream = http.stream("GET", fleet.url + "/chat/1", headers=fleet.headers("a1"))
    async with stream as answer:
        events = answer.aiter_raw()
        await anext(events)
        spare.publish_row(READY)
        with pytest.raises(httpx.RemoteProtocolError):
            async for _ in events:
                pass
    assert not spare.served


@pytest.mark.parametrize("vm", [0, 1])
async def test_client_takes_its_stream_up_at_the_version_that_began_it(
    fleet: MixedFleet, http: httpx.AsyncClient, vm: int
) -> None:
    """Guards against a client's own resumption that another version answers."""
    version, last_id = await fleet.break_stream(http)
    for _ in range(4):
        answer = await fleet.resume(http, fleet.nodes[vm], last_id)
        assert answer.status_code == 200
        assert {engine.version for engine in fleet.streams()} == {version}


@pytest.mark.parametrize("vm", [0, 1])
async def test_client_is_refused_where_no_server_of_its_streams_version_is_left(
    fleet: MixedFleet, http: httpx.AsyncClient, vm: int
) -> None:
    """Guards against a client's own resumption that another version answers."""
    version, last_id = await fleet.break_stream(http)
    await fleet.leave(version)
    answer = await fleet.resume(http, fleet.nodes[vm], last_id)
    assert answer.status_code == 503
    assert not fleet.streams()


@pytest.mark.parametrize("vm", [0, 1])
async def test_client_that_takes_an_unknown_stream_up_is_refused_as_not_run(
    fleet: MixedFleet, http: httpx.AsyncClient, vm: int
) -> None:
    """Guards against guesses where a VM cannot learn the version of a stream."""
    answer = await fleet.resume(http, fleet.nodes[vm], "2", "never-seen")
    assert answer.status_code == 503
    assert not fleet.streams()


async def test_resumption_of_a_resumption_stays_at_the_first_version(
    fleet: MixedFleet, http: httpx.AsyncClient
) -> None:
    """Guards against a chain of resumptions that forgets where it began."""
    version, last_id = await fleet.break_stream(http)
    for node in (fleet.nodes[1], fleet.nodes[0], fleet.nodes[1]):
        answer = await fleet.resume(http, node, last_id)
        assert answer.status_code == 200
        assert {engine.version for engine in fleet.streams()} == {version}


async def test_client_is_refused_while_the_version_cannot_be_read(
    fleet: MixedFleet, http: httpx.AsyncClient
) -> None:
    """Guards against guesses of a VM that is cut off from the platform's table."""
    _, last_id = await fleet.break_stream(http)
    fleet.store.faults.refusal_status = 503
    answer = await fleet.resume(http, fleet.nodes[1], last_id)
    assert answer.status_code == 503
    assert answer.headers["retry-after"]
    assert not fleet.streams()


async def test_server_that_started_again_under_its_id_makes_its_last_streams_unknown(
    fleet: MixedFleet, http: httpx.AsyncClient
) -> None:
    """Guards against a stream that began under the successor, before its row was read."""
    _, last_id = await fleet.break_stream(http)
    [begun] = fleet.streams()
    begun.version = "v3"
    begun.publish_row(READY, born=7)
    await fleet.wait_until(
        lambda: fleet.node.driver.listed_backends[begun.server_id].version == "v3"
    )
    answer = await fleet.resume(http, fleet.node, last_id)
    assert answer.status_code == 503


@pytest.mark.parametrize("vm", [0, 1])
async def test_stream_is_taken_up_soon_after_it_began_at_another_vm(
    http: httpx.AsyncClient, vm: int
) -> None:
    """Guards against rows of streams that wait in a relay for rows of usage."""
    async with running(MixedFleet({"windowS": 5})) as fleet:
        await fleet.wait_until(
            lambda: all(node.relay.batches_writes for node in fleet.nodes)
        )
        begins, other = fleet.nodes[vm], fleet.nodes[1 - vm]
        for number in range(5):
            for engine in fleet.engines:
                engine.served.clear()
                engine.event_s = 0.02
            attempt = f"s{number}"
            url = begins.caller_server.url + "/chat/1"
            headers = fleet.headers(attempt)
            async with http.stream("GET", url, headers=headers) as answer:
                await anext(answer.aiter_raw())
            [begun] = fleet.streams()
            answer = await fleet.resume(http, other, "1", attempt)
            assert answer.status_code == 200
            assert {engine.version for engine in fleet.streams()} == {begun.version}


async def test_rows_of_streams_are_removed_once_they_cannot_be_taken_up(
    fleet: MixedFleet, http: httpx.AsyncClient, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a table that grows with every stream."""
    monkeypatch.setattr("godwitmast.entry.stream_versions.KEEP_S", 0.5)
    await fleet.break_stream(http)
    await fleet.wait_until(lambda: stream_rows(fleet))
    await fleet.wait_until(lambda: not stream_rows(fleet))


async def test_nothing_is_written_or_refused_while_all_servers_have_one_version(
    http: httpx.AsyncClient,
) -> None:
    """Guards against costs and refusals where there is only one version."""
    async with running(Fleet()) as fleet:
        other = await fleet.add_vm("front-2")
        for engine in fleet.engines:
            engine.event_s = 0.05
        async with http.stream(
            "GET", fleet.url + "/chat/1", headers=request_headers("a1")
        ) as answer:
            await anext(answer.aiter_raw())
        headers = request_headers("a2", **{"Last-Event-Id": "1"})
        answer = await http.get(other.caller_server.url + "/chat/1", headers=headers)
        assert answer.status_code == 200
        await fleet.wait_until(lambda: not fleet.node.stream_versions.pending)
        assert not stream_rows(fleet)


@dataclass
class ReleasedFleet(Fleet):
    """Engines of one version, whose streams break off, and of a newer one."""

    async def begin_streams(self, http: httpx.AsyncClient, count: int) -> list[str]:
        """Begin streams that their clients break off; return their attempts."""
        for engine in self.engines:
            engine.event_s = 0.05
        attempts = [f"s{number}" for number in range(count)]
        for attempt in attempts:
            stream = http.stream(
                "GET", self.url + "/chat/1", headers=request_headers(attempt)
            )
            async with stream as answer:
                await anext(answer.aiter_raw())
        return attempts

    async def release(self, *nodes: Node) -> None:
        """Replace all engines by those of a newer version."""
        for number in (3, 4):
            engine = ReplicaStandin(self.store, f"e{number}", "lm", streams=True)
            engine.version = "v2"
            self.engines.append(engine)
            await engine.start(self.tasks)
        for engine in self.engines[:2]:
            self.store.remove_server(engine.server_id)
        await self.wait_until(
            lambda: all(
                {"e3", "e4"} == set(node.driver.listed_backends) - {"p1", "p2"}
                for node in nodes
            )
        )

    async def take_up(
        self, http: httpx.AsyncClient, node: Node, attempt: str
    ) -> httpx.Response:
        for engine in self.engines:
            engine.served.clear()
        more = {"Last-Event-Id": "1", "Resumes": attempt}
        headers = request_headers(f"{attempt}-again", **more)
        return await http.get(node.caller_server.url + "/chat/1", headers=headers)


@pytest.fixture
async def released() -> AsyncIterator[ReleasedFleet]:
    async with running(ReleasedFleet()) as started:
        yield started


@pytest.mark.parametrize("delay_s", [0.1, 1.5])
@pytest.mark.parametrize("rows_written", [False, True])
async def test_vm_that_starts_after_a_release_joins_no_streams_of_two_versions(
    released: ReleasedFleet, http: httpx.AsyncClient, delay_s: float, rows_written: bool
) -> None:
    """Guards against streams of a version that left before the VM started."""
    attempts = await released.begin_streams(http, 20)
    await released.release(released.node)
    if rows_written:
        await released.wait_until(lambda: not released.node.stream_versions.pending)
    await anyio.sleep(delay_s)
    new = await released.add_vm("front-2")
    for attempt in attempts:
        answer = await released.take_up(http, new, attempt)
        assert answer.status_code == 503
        assert not [engine for engine in released.engines if engine.served]


async def test_vm_that_starts_without_its_fleet_joins_no_streams_of_two_versions(
    released: ReleasedFleet, http: httpx.AsyncClient
) -> None:
    """Guards against the same where all VMs ended before the newer version was listed."""
    attempts = await released.begin_streams(http, 5)
    await released.wait_until(lambda: released.node.pool_versions.known_from)
    await released.node.pool_versions.close()
    await released.node.stream_versions.close()
    await released.release(released.node)
    new = await released.add_vm("front-2")
    for attempt in attempts:
        answer = await released.take_up(http, new, attempt)
        assert answer.status_code == 503
        assert not [engine for engine in released.engines if engine.served]


@pytest.mark.parametrize("status", [503, 429])
async def test_vm_that_cannot_learn_a_pools_past_refuses_to_take_streams_up(
    released: ReleasedFleet, http: httpx.AsyncClient, status: int
) -> None:
    """Guards against what a VM cannot read that it takes for a single version."""
    [attempt] = await released.begin_streams(http, 1)
    await released.release(released.node)
    new = await released.add_vm("front-2")
    new.pool_versions.known_from.clear()
    released.store.faults.refusal_status = status
    answer = await released.take_up(http, new, attempt)
    assert answer.status_code == 503
    assert not [engine for engine in released.engines if engine.served]


@pytest.mark.parametrize(
    "value",
    [b"[]", b'"x"', b"[" * 4000, b'{"versions": 1}', b'{"versions": {"v2": "x"}}'],
)
async def test_vm_that_cannot_decode_a_pools_past_refuses_to_take_streams_up(
    released: ReleasedFleet, http: httpx.AsyncClient, value: bytes
) -> None:
    """Guards against a row of another writer that is taken for a single version."""
    [attempt] = await released.begin_streams(http, 1)
    await released.wait_until(lambda: pool_rows(released))
    await released.release(released.node)
    for key in pool_rows(released):
        released.store.put(OWN_TABLE, key, value)
    new = await released.add_vm("front-2")
    answer = await released.take_up(http, new, attempt)
    assert answer.status_code == 503
    assert not [engine for engine in released.engines if engine.served]


async def test_streams_of_one_version_are_taken_up_at_a_vm_that_has_just_started(
    released: ReleasedFleet, http: httpx.AsyncClient, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against refusals, and calls for each stream, where there is one version."""
    attempts = await released.begin_streams(http, 10)
    new = await released.add_vm("front-2")
    await released.wait_until(lambda: new.pool_versions.known_from)
    assert len(pool_rows(released)) == 2
    monkeypatch.setattr(new.stream_versions, "read", None)
    for attempt in attempts:
        answer = await released.take_up(http, new, attempt)
        assert answer.status_code == 200
    assert not stream_rows(released)


async def test_open_streams_are_written_when_a_newer_version_is_listed(
    released: ReleasedFleet, http: httpx.AsyncClient
) -> None:
    """Guards against streams that no VM can take up as they began before a release."""
    attempts = await released.begin_streams(http, 3)
    newer = ReplicaStandin(released.store, "e3", "lm", streams=True, version="v2")
    released.engines.append(newer)
    await newer.start(released.tasks)
    await released.wait_until(lambda: len(stream_rows(released)) == len(attempts))
    new = await released.add_vm("front-2")
    for attempt in attempts:
        answer = await released.take_up(http, new, attempt)
        assert answer.status_code == 200
        assert not newer.served


async def test_version_that_left_long_ago_no_longer_counts(
    released: ReleasedFleet, http: httpx.AsyncClient, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a pool that stays one of several versions for ever."""
    monkeypatch.setattr("godwitmast.entry.pool_versions.MIXED_S", 0.6)
    await released.begin_streams(http, 1)
    await released.release(released.node)
    await anyio.sleep(0.8)
    new = await released.add_vm("front-2")
    await released.wait_until(lambda: new.pool_versions.only_version("lm") == "v2")


def pool_rows(fleet: Fleet) -> list[str]:
    return [key for _, key in fleet.store.rows if key.startswith("versions/")]
