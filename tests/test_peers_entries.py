"""Entries as peers of each other, over real sockets."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import anyio
import pytest

from godwitmast.dev.document import dev_document
from godwitmast.entry.daemon import Entry
from godwitmast.entry.settings import EntrySettings
from godwitmast.peers.settings import PeerSettings
from godwitmast.settings import Listen, PlatformSettings
from godwitmast.standins.platform import StandinPlatform
from godwitmast.standins.settings import PlatformStandinSettings
from godwitmast.usage.windows import UsageTiming
from running import running

pytestmark = pytest.mark.anyio

NOWHERE = PlatformSettings("http://127.0.0.1:9", 0.2)


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
    """Run a platform that the first entry can reach, and the others cannot."""
    async with AsyncExitStack() as stack:
        platform = StandinPlatform(PlatformStandinSettings())
        await stack.enter_async_context(running(platform))
        put_config(platform, 1)
        entries: list[Entry] = []
        for name in names:
            where = NOWHERE if entries else PlatformSettings(platform.server.url)
            seeds = [entry.peering.driver.address for entry in entries[:1]]
            entry = make_entry(name, where, seeds)
            entries.append(await stack.enter_async_context(running(entry)))
        yield platform, entries


async def test_configuration_reaches_an_entry_that_has_no_platform() -> None:
    """A node that starts in a cut-off zone is not ready until a peer has told it.

    The second entry never reaches the table. It takes the configuration from the
    first when it joins, and the next one as soon as the first has it.
    """
    async with started("a-1", "b-1") as (platform, (first, second)):
        with anyio.fail_after(10):
            await second.follower.ready.wait()
            assert second.app.ready
            put_config(platform, 2)
            while second.follower.current.version < 2:
                await anyio.sleep(0.02)
        assert first.follower.current.version == 2
