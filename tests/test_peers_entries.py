"""Entries that gossip with each other over real sockets."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import anyio
import httpx
import pytest

from godwitmast.admission.service_reports import ServiceKey
from godwitmast.config.document import Backend
from godwitmast.dev.document import MODEL, dev_document, dev_key
from godwitmast.dispatch.messages import LoadReport, Quarantine
from godwitmast.entry.daemon import Entry
from godwitmast.entry.gossip import SEPARATOR
from godwitmast.entry.settings import EntrySettings
from godwitmast.keys.hashing import hash_key
from godwitmast.peers.messages import Topic
from godwitmast.peers.settings import PeerSettings
from godwitmast.settings import Listen, PlatformSettings
from godwitmast.standins.platform import StandinPlatform
from godwitmast.standins.settings import PlatformStandinSettings
from godwitmast.usage.windows import UsageTiming
from running import running

pytestmark = pytest.mark.anyio

UNREACHABLE = PlatformSettings("http://127.0.0.1:9", 0.2)


def put_config(platform: StandinPlatform, number: int) -> None:
    assert platform.put_config(dev_document([], "http://127.0.0.1:9")) == number


def make_entry(name: str, platform: PlatformSettings, seeds: list[str]) -> Entry:
    zone = name.rpartition("-")[0]
    host = f"127.0.1.{sum(name.encode()) % 200 + 1}"
    peers = PeerSettings("off", Listen(host), seeds=seeds)
    settings = EntrySettings(
        name,
        zone,
        platform,
        peers=peers,
        balancer_wait_s=0.0,
        usage=UsageTiming(stop_s=0.2),
    )
    return Entry(settings)


@asynccontextmanager
async def started(*names: str) -> AsyncIterator[tuple[StandinPlatform, list[Entry]]]:
    """Run a platform that only the first entry can reach."""
    async with AsyncExitStack() as stack:
        platform = StandinPlatform(PlatformStandinSettings())
        await stack.enter_async_context(running(platform))
        put_config(platform, 1)
        entries: list[Entry] = []
        for name in names:
            platform_settings = (
                UNREACHABLE if entries else PlatformSettings(platform.server.url)
            )
            seeds = [entry.peering.driver.address for entry in entries[:1]]
            entry = make_entry(name, platform_settings, seeds)
            entries.append(await stack.enter_async_context(running(entry)))
        yield platform, entries


async def test_configuration_reaches_an_entry_that_has_no_platform() -> None:
    """A node that starts without the platform is ready once a peer sent it the config.

    The second entry never reaches the table. It gets the configuration from the first
    when it joins, and the next version as soon as the first has it.
    """
    async with started("a-1", "b-1") as (platform, (first, second)):
        with anyio.fail_after(10):
            await second.follower.ready.wait()
            assert second.app.ready
            put_config(platform, 2)
            while second.follower.current.version < 2:
                await anyio.sleep(0.02)
        assert first.follower.current.version == 2


async def test_soft_state_reaches_the_entries_of_the_zone() -> None:
    """Quarantines, leaving servers and service sums that one entry records reach the
    other, which has served no request of its own."""
    async with started("a-1", "a-2") as (platform, (first, second)):
        with anyio.fail_after(10):
            await second.follower.ready.wait()
            first.driver.router.guard.quarantine("poison", 1e12)
            first.driver.router.guard.updates.append(Quarantine("poison", 600.0))
            first.driver.leaving_backends = lambda: {"backend-x"}
            key = ServiceKey("arima", "question", MODEL)
            served = first.driver.router.admission.service_counter
            served.add(key, 1, 10.0)
            while "a-1" not in second.peering.service.peer_totals:
                await anyio.sleep(0.02)
            served.add(key, 2, 50.0)
            while (
                second.peering.service.peer_totals["a-1"][SEPARATOR.join(key)][1] < 60
            ):
                await anyio.sleep(0.02)
        now = second.clock.now()
        assert second.driver.router.guard.quarantine_left_s("poison", now) > 590
        assert "backend-x" in second.driver.leaving_until


async def test_withdrawn_key_is_refused_before_its_configuration_arrives() -> None:
    async with started("a-1", "b-1") as (platform, (first, second)):
        with anyio.fail_after(10):
            await second.follower.ready.wait()
            digest = hash_key(dev_key("arima"))
            first.peering.driver.publish_record(
                Topic.WITHDRAWN_KEY, digest, None, 60, version=9
            )
            async with httpx.AsyncClient(trust_env=False) as http:
                url = f"{second.server.url}/v1/models"
                headers = {"Authorization": f"Bearer {dev_key('arima')}"}
                while (await http.get(url, headers=headers)).status_code != 401:
                    await anyio.sleep(0.02)
        assert second.follower.version == 1


async def test_each_backend_server_is_polled_by_two_nodes_of_its_zone() -> None:
    async with started("a-1", "a-2", "a-3", "a-4") as (platform, entries):
        for entry in entries:
            with anyio.fail_after(10):
                await entry.follower.ready.wait()
            entry.driver.backends = {
                f"s{n}": Backend("http://127.0.0.1:9", "a", frozenset())
                for n in range(50)
            }
        with anyio.fail_after(10):
            while any(len(entry.peering.listed()) < 4 for entry in entries):
                await anyio.sleep(0.05)
        for number in range(50):
            polls = [e.driver.should_poll(f"s{number}") for e in entries]
            assert sum(polls) == 2


async def test_load_that_one_entry_polls_reaches_the_others() -> None:
    async with started("a-1", "a-2") as (platform, (first, second)):
        backends = {"s1": Backend("http://127.0.0.1:9", "a", frozenset())}
        first.driver.backends = second.driver.backends = backends
        reports = []
        second.driver.record_load = lambda name, report: reports.append((name, report))
        with anyio.fail_after(10):
            while not reports:
                first.peering.load.record_poll("s1", LoadReport(3, 4, 100.0, 0.5))
                first.peering.load.peer_report_at = {}
                await anyio.sleep(0.5)
        name, report = reports[0]
        assert name == "s1"
        assert (report.running, report.waiting, report.tokens_per_s) == (3, 4, 100)
