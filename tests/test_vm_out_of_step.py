"""Streams that are taken up at a VM that heard nothing of the servers for a while."""

from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import anyio
import httpx
import pytest
from anyio.abc import TaskGroup

from fleet import Fleet, request_headers, settings_of
from godwitmast.entry.refusals import NOT_RUN_HEADER
from godwitmast.platform.daemon import Node
from godwitmast.platform.wire import READY
from godwitmast.platform_api import confirmation
from godwitmast.platform_api.confirmation import Confirmation
from godwitmast.platform_api.port import Changes, HistoryLost
from godwitmast.standins.replica import SEAL_HEADER, ReplicaStandin
from processes import Process, Processes, free_port, toml_of
from running import running
from silent_front import Silence, SilentFront

pytestmark = pytest.mark.anyio

STREAMS = 10
MOST = 9
"""Streams of `STREAMS` that have to go on where nothing keeps them from it."""

OLD, NEW = "v1", "v2"
REFUSED = "refused"


@dataclass
class OutOfStepFleet(Fleet):
    """Two VMs, the second of which reaches the store through a front."""

    async def start(self, tasks: TaskGroup) -> None:
        await super().start(tasks)
        self.store_front = SilentFront(self.store.server.port)
        await self.store_front.start(tasks)
        for engine in self.engines:
            prepare(engine)
        store = f"127.0.0.1:{self.store_front.port}"
        self.late = await self.add_vm(
            "front-2",
            zone="z2",
            platform={"address": store, "writesPerS": 400},
            cloudApi={"address": store, "duties": ["usage"]},
        )
        for node in self.nodes:
            await self.wait_until_past_is_known(node)

    async def wait_until_past_is_known(self, node: Node) -> None:
        await self.wait_until(lambda: node.pool_versions.known_from)

    async def begin(
        self, http: httpx.AsyncClient, url: str, prefix: str, count: int = STREAMS
    ) -> list[str]:
        """Begin streams that their clients break off; return their attempts."""
        attempts = [f"{prefix}{number}" for number in range(count)]

        async def begin_one(attempt: str) -> None:
            stream = http.stream(
                "GET", url + "/chat/1", headers=request_headers(attempt)
            )
            async with stream as answer:
                await anext(answer.aiter_raw())

        await in_parallel(begin_one, attempts)
        return attempts

    async def add_engines(self, version: str, *names: str) -> None:
        for name in names:
            engine = ReplicaStandin(self.store, name, "lm", streams=True)
            engine.version = version
            prepare(engine, publishes=False)
            self.engines.append(engine)
            await engine.start(self.tasks)

    async def release(self) -> None:
        """Replace all engines by those of a newer version, for all but the late VM."""
        await self.add_engines(NEW, "e3", "e4")
        for engine in self.engines[:2]:
            self.store.remove_server(engine.server_id)
        await self.wait_until(lambda: engines_of(self.node) == {"e3", "e4"})

    async def take_up(
        self, http: httpx.AsyncClient, url: str, attempts: list[str]
    ) -> Counter[str]:
        """Take streams up together; return by which version they went on, or none."""
        version_of = {engine.server_id: engine.version for engine in self.engines}
        outcomes: Counter[str] = Counter()

        async def take_up_one(attempt: str) -> None:
            more = {"Last-Event-Id": "1", "Resumes": attempt}
            headers = request_headers(f"{attempt}-again", **more)
            answer = await http.get(url + "/chat/1", headers=headers)
            if answer.status_code == 200:
                outcomes[version_of[answer.headers[SEAL_HEADER.decode()]]] += 1
            else:
                assert answer.status_code == 503
                assert answer.headers[NOT_RUN_HEADER.decode()] == "true"
                assert answer.headers["retry-after"]
                outcomes[REFUSED] += 1

        await in_parallel(take_up_one, attempts)
        return outcomes


def prepare(engine: ReplicaStandin, publishes: bool = True) -> None:
    """Give an engine room for all streams, which last a while."""
    engine.event_s, engine.places = 0.05, 8 * STREAMS
    if publishes:
        engine.publish_row(READY)


async def in_parallel(
    function: Callable[[str], Awaitable[None]], items: list[str]
) -> None:
    async with anyio.create_task_group() as tasks:
        for item in items:
            tasks.start_soon(function, item)


def engines_of(node: Node) -> set[str]:
    return {name for name in node.driver.listed_backends if name.startswith("e")}


def url_of(node: Node) -> str:
    return node.caller_server.url


@pytest.fixture
async def fleet() -> AsyncIterator[OutOfStepFleet]:
    async with running(OutOfStepFleet()) as started:
        yield started
        started.store_front.be_silent(None)


@pytest.mark.parametrize("silence", list(Silence))
async def test_vm_that_hears_nothing_of_a_release_joins_no_versions(
    fleet: OutOfStepFleet, http: httpx.AsyncClient, silence: Silence
) -> None:
    """Guards against "one version only" from a list that is out of date."""
    fleet.store_front.be_silent(silence)
    await fleet.release()
    attempts = await fleet.begin(http, fleet.url, "new")
    outcomes = await fleet.take_up(http, url_of(fleet.late), attempts)
    assert outcomes == {REFUSED: STREAMS}


@pytest.mark.parametrize("silent_s", [0.5, 3.0])
@pytest.mark.parametrize("silence", list(Silence))
async def test_vm_that_hears_again_joins_no_versions(
    fleet: OutOfStepFleet, http: httpx.AsyncClient, silence: Silence, silent_s: float
) -> None:
    """Guards against take-ups that are decided before the changes of a silence."""
    fleet.store_front.be_silent(silence)
    await fleet.release()
    attempts = await fleet.begin(http, fleet.url, "new")
    await anyio.sleep(silent_s)
    fleet.store_front.be_silent(None)
    outcomes = await fleet.take_up(http, url_of(fleet.late), attempts)
    assert not outcomes[OLD]
    await fleet.wait_until(lambda: engines_of(fleet.late) == {"e3", "e4"})
    later = await fleet.take_up(http, url_of(fleet.late), attempts)
    assert later[NEW] >= MOST


async def test_streams_of_one_version_go_on_before_a_silence_and_after_it(
    fleet: OutOfStepFleet, http: httpx.AsyncClient
) -> None:
    """Guards against a silence that costs more streams than those taken up in it."""
    before = await fleet.begin(http, fleet.url, "before")
    outcomes = await fleet.take_up(http, url_of(fleet.late), before)
    assert outcomes[OLD] >= MOST
    fleet.store_front.be_silent(Silence.BOTH_WAYS)
    await anyio.sleep(2.5)
    fleet.store_front.be_silent(None)
    after = await fleet.begin(http, fleet.url, "after")
    await anyio.sleep(1.0)
    outcomes = await fleet.take_up(http, url_of(fleet.late), after)
    assert outcomes[OLD] >= MOST


async def test_vm_whose_feed_stands_still_joins_no_versions(
    fleet: OutOfStepFleet, http: httpx.AsyncClient
) -> None:
    """Guards against the same where only the task that follows the servers hangs."""
    for follower in fleet.late.followers:
        await follower.close()
    await fleet.release()
    attempts = await fleet.begin(http, fleet.url, "new")
    outcomes = await fleet.take_up(http, url_of(fleet.late), attempts)
    assert not outcomes[OLD]
    assert outcomes[NEW] >= MOST


@pytest.mark.parametrize("history_lost", [False, True])
async def test_version_that_came_and_went_in_a_silence_is_joined_with_no_other(
    fleet: OutOfStepFleet, http: httpx.AsyncClient, history_lost: bool
) -> None:
    """Guards against versions that the list never showed, as they left again."""
    fleet.store_front.be_silent(Silence.BOTH_WAYS)
    await fleet.release()
    attempts = await fleet.begin(http, fleet.url, "new")
    for engine in fleet.engines[:2]:
        engine.publish_row(READY)
    for engine in fleet.engines[2:]:
        fleet.store.remove_server(engine.server_id)
    await fleet.wait_until(lambda: engines_of(fleet.node) == {"e1", "e2"})
    await anyio.sleep(3.0)
    if history_lost:
        fleet.store.compact_history()
    fleet.store_front.be_silent(None)
    for _ in range(3):
        outcomes = await fleet.take_up(http, url_of(fleet.late), attempts)
        assert outcomes == {REFUSED: STREAMS}


async def test_streams_go_on_after_a_silence_that_outlasts_the_history(
    fleet: OutOfStepFleet, http: httpx.AsyncClient
) -> None:
    """Guards against a lost history that makes streams of one version unknown."""
    fleet.store_front.be_silent(Silence.BOTH_WAYS)
    await anyio.sleep(2.5)
    fleet.engines[0].publish_row(READY)
    fleet.store.compact_history()
    fleet.store_front.be_silent(None)
    attempts = await fleet.begin(http, fleet.url, "one")
    await anyio.sleep(1.0)
    outcomes = await fleet.take_up(http, url_of(fleet.late), attempts)
    assert outcomes[OLD] >= MOST


async def test_server_that_starts_again_in_a_silence_makes_its_streams_unknown(
    fleet: OutOfStepFleet, http: httpx.AsyncClient, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against streams of its successor that count as its own, as their VM heard
    of the new start long after it."""
    monkeypatch.setattr("godwitmast.entry.stream_versions.ROW_LAG_S", 0.2)
    first, other = fleet.engines
    fleet.store_front.be_silent(Silence.BOTH_WAYS)
    first.version = NEW
    first.publish_row(READY, born=7)
    await fleet.begin(http, url_of(fleet.late), "s", 2 * STREAMS)
    attempts = [request.headers["attempt-id"] for request in first.served]
    assert attempts
    await anyio.sleep(1.0)
    fleet.store_front.be_silent(None)
    listed = fleet.late.driver
    await fleet.wait_until(lambda: listed.listed_backends["e1"].version == NEW)
    outcomes = await fleet.take_up(http, url_of(fleet.late), attempts)
    assert not outcomes[OLD]


async def test_server_that_started_again_unheard_goes_on_with_no_older_stream(
    fleet: OutOfStepFleet, http: httpx.AsyncClient
) -> None:
    """Guards against a version that is known, and servers that are not of it any more."""
    first, other = fleet.engines
    await fleet.add_engines(NEW, "e3")
    await fleet.wait_until(lambda: all("e3" in engines_of(n) for n in fleet.nodes))
    await fleet.begin(http, fleet.url, "s", 3 * STREAMS)
    attempts = [request.headers["attempt-id"] for request in other.served]
    assert attempts
    await fleet.wait_until(lambda: not fleet.node.stream_versions.pending)
    for follower in fleet.late.followers:
        await follower.close()
    first.version = NEW
    first.publish_row(READY, born=7)
    listed = fleet.node.driver
    await fleet.wait_until(lambda: listed.listed_backends["e1"].version == NEW)
    outcomes = await fleet.take_up(http, url_of(fleet.late), attempts)
    assert not outcomes[NEW]
    assert outcomes[OLD] >= 0.9 * len(attempts)


async def test_vm_that_stood_still_knows_the_servers_of_its_own_streams(
    fleet: OutOfStepFleet, http: httpx.AsyncClient
) -> None:
    """Guards against own streams that go on at a server that started again meanwhile."""
    first, other = fleet.engines
    for follower in fleet.late.followers:
        await follower.close()
    await fleet.begin(http, url_of(fleet.late), "s", 3 * STREAMS)
    attempts = [request.headers["attempt-id"] for request in other.served]
    assert attempts
    first.version = NEW
    first.publish_row(READY, born=7)
    [servers] = (f for f in fleet.late.followers if f.table == "servers")
    await anyio.sleep(2 * servers.wait_s + 1.5)
    outcomes = await fleet.take_up(http, url_of(fleet.late), attempts)
    assert not outcomes[NEW]
    assert outcomes[OLD] >= 0.9 * len(attempts)


async def test_own_streams_go_on_while_the_store_is_silent(
    fleet: OutOfStepFleet, http: httpx.AsyncClient
) -> None:
    """Guards against a silence that costs the streams that a VM began itself."""
    fleet.store_front.be_silent(Silence.BOTH_WAYS)
    await anyio.sleep(5.0)
    attempts = await fleet.begin(http, url_of(fleet.late), "own")
    outcomes = await fleet.take_up(http, url_of(fleet.late), attempts)
    assert outcomes[OLD] >= MOST


async def test_version_that_a_restore_of_the_store_lost_is_joined_with_no_other(
    fleet: OutOfStepFleet, http: httpx.AsyncClient
) -> None:
    """Guards against a pool's row from a backup, which lacks what came and went since."""
    fleet.store.epoch = 1
    fleet.engines[0].publish_row(READY, coldLeftMs=1)
    await fleet.wait_until(lambda: all(n.store.epoch.known for n in fleet.nodes))
    await anyio.sleep(1.0)
    backup = fleet.store.backup()
    fleet.store_front.be_silent(Silence.BOTH_WAYS)
    await fleet.release()
    attempts = await fleet.begin(http, fleet.url, "new")
    for engine in fleet.engines[:2]:
        engine.publish_row(READY)
    for engine in fleet.engines[2:]:
        fleet.store.remove_server(engine.server_id)
    await fleet.wait_until(lambda: engines_of(fleet.node) == {"e1", "e2"})
    fleet.store.restore(backup)
    await anyio.sleep(3.0)
    fleet.store_front.be_silent(None)
    for _ in range(3):
        outcomes = await fleet.take_up(http, url_of(fleet.late), attempts)
        assert not outcomes[OLD]


async def test_vm_whose_relay_hears_nothing_joins_no_versions(
    fleet: OutOfStepFleet, http: httpx.AsyncClient
) -> None:
    """Guards against a relay's list that still counts as fresh."""
    relay = fleet.late
    await fleet.wait_until(lambda: relay.relay.machine.serving)
    follower = await fleet.add_vm("front-3", zone="z2")
    await fleet.wait_until_past_is_known(follower)
    await fleet.wait_until(lambda: relay.relay.links)
    relay.feed.followers = lambda: 100
    copy = follower.feed.copy_of("servers")
    await fleet.wait_until(lambda: follower.feed.fresh_left_s(copy) > 0.5)
    fleet.store_front.be_silent(Silence.BOTH_WAYS)
    await fleet.release()
    attempts = await fleet.begin(http, fleet.url, "new")
    outcomes = await fleet.take_up(http, url_of(follower), attempts)
    assert not outcomes[OLD]
    assert outcomes[NEW] >= MOST


async def test_streams_that_are_taken_up_together_share_a_call(
    fleet: OutOfStepFleet, http: httpx.AsyncClient, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a call for each stream."""
    late = fleet.late
    waits: list[float] = []
    changes = late.store.changes

    async def count(table: str, after: int, wait_s: float) -> Changes | HistoryLost:
        waits.append(wait_s)
        return await changes(table, after, wait_s)

    monkeypatch.setattr(late.store, "changes", count)
    # Whether the list is overdue, and whether requests that are sent together arrive
    # together, else depends on how busy the machine is.
    monkeypatch.setattr(Confirmation, "is_overdue", False)
    monkeypatch.setattr(confirmation, "GATHER_S", 0.3)
    attempts = await fleet.begin(http, fleet.url, "theirs", 2 * STREAMS)
    own = await fleet.begin(http, url_of(late), "own", 2 * STREAMS)
    outcomes = await fleet.take_up(http, url_of(late), own)
    assert outcomes[OLD] >= 2 * MOST
    assert waits.count(0.0) == 0
    outcomes = await fleet.take_up(http, url_of(late), attempts)
    assert outcomes[OLD] >= 2 * MOST
    assert waits.count(0.0) <= 2


def spawn_vm(processes: Processes, folder: Path, store_port: int) -> Process:
    """Start a VM in a process of its own, with an address of its own."""
    port = free_port()
    address = f"127.{port >> 8}.{port & 255}.1"
    settings = settings_of(store_port) | {"node": "front-9", "ip": address}
    path = folder / "vm.toml"
    path.write_text("\n".join(f"{k} = {toml_of(v)}" for k, v in settings.items()))
    return processes.spawn_plain("vm", "godwitmast.platform", "--settings", str(path))


async def test_process_that_was_suspended_joins_no_versions(
    fleet: OutOfStepFleet,
    http: httpx.AsyncClient,
    processes: Processes,
    tmp_path: Path,
) -> None:
    """Guards against what a process knew before it was suspended."""
    vm = spawn_vm(processes, tmp_path, fleet.store.server.port)
    _, caller_url, ready_url, _ = await anyio.to_thread.run_sync(vm.urls, 4)
    one = await fleet.begin(http, fleet.url, "one")

    async def goes_on() -> bool:
        outcomes = await fleet.take_up(http, caller_url, one[:1])
        return outcomes[OLD] == 1

    with anyio.fail_after(10):
        while not await goes_on():
            await anyio.sleep(0.1)
    vm.pause()
    try:
        await fleet.release()
        attempts = await fleet.begin(http, fleet.url, "new")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(resume_later, vm)
            outcomes = await fleet.take_up(http, caller_url, attempts)
    finally:
        vm.resume()
    assert not outcomes[OLD]
    assert outcomes[NEW] >= MOST


async def resume_later(vm: Process) -> None:
    await anyio.sleep(0.5)
    vm.resume()
