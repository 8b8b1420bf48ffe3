"""Entries as separate processes, one per zone, each with its own loopback address."""

import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
import httpx
import pytest

from godwitmast.dev.document import dev_document, dev_key
from godwitmast.dev.system import DevSystem
from processes import Process, Processes, free_port
from running import running
from test_stopping import read_word_numbers, streamed

pytestmark = pytest.mark.anyio

ZONES = ("a", "b", "c")
BEARER = {"Authorization": f"Bearer {dev_key('arima')}"}
WAIT_S = 40
"""Long, since test_peers_machine.py asserts the bounds in seconds in virtual time."""

UNREACHABLE = "http://127.0.0.1:9"


@dataclass
class Fleet:
    """The stand-ins in this process, and the entries in processes of their own."""

    processes: Processes
    system: DevSystem
    http: httpx.AsyncClient
    ports: dict[str, int] = field(default_factory=dict)
    entries: dict[str, Process] = field(default_factory=dict)

    def address(self, zone: str) -> str:
        return f"127.0.1.{ZONES.index(zone) + 1}:{self.ports[zone]}"

    def spawn(self, zone: str, platform: str | None = None) -> None:
        """Start the entry of a zone, always at the same address."""
        self.ports.setdefault(zone, free_port())
        host, port = self.address(zone).split(":")
        seeds = json.dumps([self.address(z) for z in self.ports if z != zone])
        url = platform or self.system.platform.server.url
        self.entries[zone] = self.processes.spawn(
            f"entry-{zone}",
            "godwitmast.entry.cli",
            settings=f'node = "n-{zone}"\nzone = "{zone}"\nplatform.url = "{url}"\n'
            f"balancer_wait_s = 1.0\nplatform.timeout_s = 0.5\n"
            f'[peers]\ntls = "off"\nseeds = {seeds}\nfault_hook = true\n'
            f'[peers.listen]\nhost = "{host}"\nport = {port}\n',
        )

    async def status(self, zone: str) -> dict:
        """Return an entry's readiness answer, or an empty one if it does not answer."""
        url = self.entries[zone].known_url
        try:
            answer = await self.http.get(f"{url}/readyz", timeout=1) if url else None
            return {"url": url, **answer.json()} if answer else {}
        except httpx.HTTPError:
            return {}

    async def until(self, done: Callable[[dict[str, dict]], bool]) -> None:
        """Wait until `done` holds for the readiness answers of all entries."""
        seen: dict[str, dict] = {}
        with anyio.move_on_after(WAIT_S):
            while True:
                seen = {zone: await self.status(zone) for zone in self.entries}
                if done(seen):
                    return
                await anyio.sleep(0.1)
        raise AssertionError(f"still {seen}")

    async def until_peers(self, zones: str, of: str) -> None:
        """Wait until the entries of `zones` list exactly the nodes of zones `of`."""
        names = [f"n-{zone}" for zone in of]
        await self.until(lambda s: all(s[z].get("peers") == names for z in zones))

    async def until_config(self, zones: str, number: int) -> None:
        await self.until(lambda s: all(s[z].get("config") == number for z in zones))

    async def cut(self, cuts: dict[str, list[str]]) -> None:
        """Drop frames between a zone and others, at the entry of that zone."""
        for zone, others in cuts.items():
            url = f"{self.entries[zone].url}/_peers/cut"
            assert (await self.http.post(url, json=others)).status_code == 200

    def put_config(self) -> int:
        urls = [engine.server.url for engine in self.system.engines]
        document = dev_document(urls, self.system.service.server.url)
        return self.system.platform.put_config(document)

    async def stream(self, zone: str, length: int = 10) -> None:
        """Send a request to a zone's entry, and assert that its answer is complete."""
        await self.stream_from(self.entries[zone].url, length)

    async def stream_from(self, base: str, length: int) -> None:
        """Send a request to an address, and assert that its answer is complete."""
        url = f"{base}/v1/chat/completions"
        answer = await self.http.post(url, headers=BEARER, json=streamed(length))
        assert answer.status_code == 200, answer.text
        assert read_word_numbers(answer.text) == list(range(1, length + 1))


@asynccontextmanager
async def make_fleet(processes: Processes) -> AsyncIterator[Fleet]:
    system = DevSystem(entries=0)
    async with running(system), httpx.AsyncClient(timeout=30, trust_env=False) as http:
        yield Fleet(processes, system, http)


async def test_partitioned_zone_keeps_serving_and_catches_up(
    processes: Processes,
) -> None:
    """Zone c never reaches the platform, and is then partitioned from the others too.

    It started with the configuration of its peers. During the partition a new one comes
    into force elsewhere, c serves under the old one, and each side declares the other
    dead. After healing all list each other again and c has the new one.
    """
    async with make_fleet(processes) as fleet:
        for zone in "ab":
            fleet.spawn(zone)
        fleet.spawn("c", platform=UNREACHABLE)
        await fleet.until_peers("abc", "abc")
        await fleet.until_config("abc", 1)
        await fleet.cut({"a": ["c"], "b": ["c"], "c": ["a", "b"]})
        assert fleet.put_config() == 2
        await fleet.until_config("ab", 2)
        await fleet.stream("c")
        await fleet.until_peers("ab", "ab")
        await fleet.until_peers("c", "c")
        assert (await fleet.status("c"))["config"] == 1
        await fleet.stream("c")
        await fleet.cut({"a": [], "b": [], "c": []})
        await fleet.until_peers("abc", "abc")
        await fleet.until_config("abc", 2)


async def test_killed_and_paused_entries_are_removed_and_listed_again(
    processes: Processes,
) -> None:
    """One entry is killed and restarted at its address; another one is paused."""
    async with make_fleet(processes) as fleet:
        for zone in ZONES:
            fleet.spawn(zone)
        await fleet.until_peers("abc", "abc")
        fleet.entries["b"].kill()
        await fleet.until_peers("ac", "ac")
        await fleet.stream("a")
        fleet.spawn("b")
        await fleet.until_peers("abc", "abc")
        fleet.entries["c"].pause()
        await fleet.until_peers("ab", "ab")
        fleet.entries["c"].resume()
        await fleet.until_peers("abc", "abc")
        await fleet.stream("c")


@dataclass
class Balancer:
    """Sends each request to an entry that was ready at its last check.

    Entries are identified by address, so that a new entry of a zone does not inherit
    the readiness of its predecessor.
    """

    fleet: Fleet
    ready: list[str]
    sent: int = 0
    whole: int = 0
    failures: list[str] = field(default_factory=list)
    stopping: bool = False

    async def watch(self) -> None:
        while not self.stopping:
            seen = [await self.fleet.status(zone) for zone in ZONES]
            self.ready = [status["url"] for status in seen if status.get("ready")]
            await anyio.sleep(0.1)

    async def send(self, start: int) -> None:
        """Send one streamed request after the other, each over its own connection."""
        turn = start
        while not self.stopping:
            turn += 1
            url = self.ready[turn % len(self.ready)]
            self.sent += 1
            try:
                await self.fleet.stream_from(url, length=60)
                self.whole += 1
            except (AssertionError, httpx.HTTPError) as error:
                self.failures.append(f"{url}: {error!r}")


async def test_rolling_replacement_cuts_no_request(processes: Processes) -> None:
    """Every entry is replaced, one after the other, while callers stream.

    Each gets a signal to stop, keeps serving while the balancer still sends, finishes
    its open requests and exits before a new process starts. No request may fail.
    """
    async with make_fleet(processes) as fleet:
        fleet.http.headers["Connection"] = "close"
        for zone in ZONES:
            fleet.spawn(zone)
        await fleet.until_peers("abc", "abc")
        balancer = Balancer(fleet, [fleet.entries[zone].url for zone in ZONES])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(balancer.watch)
            for number in range(6):
                tasks.start_soon(balancer.send, number)
            for zone in ZONES:
                old = fleet.entries[zone]
                assert await anyio.to_thread.run_sync(old.terminate) == 0
                fleet.spawn(zone)
                await fleet.until(lambda s, z=zone: s[z].get("ready") is True)
                await fleet.until_peers("abc", "abc")
            balancer.stopping = True
        assert not balancer.failures
        assert balancer.whole == balancer.sent
        assert balancer.sent > 20
