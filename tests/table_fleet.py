"""VMs that follow a table of the platform's store, in lockstep and with faults."""

import asyncio
import random
from bisect import bisect_right
from collections.abc import Callable
from functools import partial

import anyio

from godwitmast.errors import PlatformOutcomeUnknown
from godwitmast.platform.daemon import feed_sharing
from godwitmast.platform.settings import BoundsTable
from godwitmast.platform_api.feed import ANSWER_MARGIN_S, FeedFollower
from godwitmast.platform_api.port import Changes, FeedRow, Snapshot
from godwitmast.platform_api.time_agreement import AgreedClock
from godwitmast.relay.feed import SharedFeed
from godwitmast.relay.messages import TableChanged, TableTold
from godwitmast.relay.table_copy import Sharing
from lockstep import Process, World

TABLE = "op"
KEY_COUNT = 40
"""So many that a row which is lost is not soon written again."""

LINK_S = 0.002
STORE_S = 0.004


class LoopClock:
    """The time of a process's event loop."""

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        return self.now()


class Store:
    """A table in which each change writes one row, whose content is its version."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.version = 0
        self.changed_at: list[float] = []
        self.waiting: list[tuple[int, Callable[[], None]]] = []

    def change(self) -> None:
        self.version += 1
        self.changed_at.append(self.world.now)
        waiting, self.waiting = self.waiting, []
        for _, answer in waiting:
            answer()

    def rows_after(self, after: int, version: int) -> list[FeedRow]:
        """Return the rows that changed between two versions, as of the second."""
        return [
            FeedRow(str(number % KEY_COUNT), b"%d" % number)
            for number in range(max(after, version - KEY_COUNT) + 1, version + 1)
        ]

    def version_at(self, time: float) -> int:
        return bisect_right(self.changed_at, time)

    def wait(self, after: int, wait_s: float, answer: Callable[[], None]) -> None:
        """Call `answer` at a change after a version, or when the wait is over."""
        if self.version > after or wait_s <= 0:
            answer()
            return
        entry = (after, answer)
        self.waiting.append(entry)
        self.world.at(self.world.now + wait_s, partial(self.end_wait, entry))

    def drop_calls(self) -> None:
        """Never answer the calls that are open."""
        self.waiting.clear()

    def end_wait(self, entry: tuple[int, Callable[[], None]]) -> None:
        if entry in self.waiting:
            self.waiting.remove(entry)
            entry[1]()


class Vm:
    """One VM; its link to the store can lose what it carries for a while."""

    def __init__(self, world: World, store: Store, sharing: Sharing) -> None:
        self.world = world
        self.store = store
        self.process: Process = world.add_process()
        self.clock = AgreedClock(LoopClock())
        self.feed = SharedFeed(self, self.clock, sharing)
        self.feed.followers = lambda: len(self.links)
        self.follower = self.process.create(
            lambda: FeedFollower(
                self.feed, LoopClock(), TABLE, self.take_rows, sharing.wait_s
            )
        )
        self.links: list[Vm] = []
        self.relay: Vm | None = None
        self.frames: asyncio.Queue[TableTold | TableChanged] = asyncio.Queue()
        self.loses_until = 0.0
        self.calls = 0
        self.rows: dict[str, int] = {}
        self.went_back: list[str] = []
        self.process.run(self.follower.run())
        self.process.run(self.read_frames())

    def take_rows(self, rows: dict[str, bytes]) -> None:
        for key, content in rows.items():
            if int(content) < self.rows.get(key, 0):
                self.went_back.append(f"{self.rows[key]} to {int(content)}")
            self.rows[key] = int(content)

    def is_behind(self, version: int) -> bool:
        """Return whether a row of a version of the table, or a later one, is missing."""
        return any(
            self.rows.get(row.key, 0) < int(row.content or 0)
            for row in self.store.rows_after(0, version)
        )

    # Calls of the store.

    @property
    def loses(self) -> bool:
        """Return whether its link to the store loses what it carries."""
        return self.world.now < self.loses_until

    async def snapshot(self, table: str) -> Snapshot:
        version = await self.call(-1, 0.0)
        return Snapshot(self.store.rows_after(0, version), version)

    async def changes(self, table: str, after: int, wait_s: float) -> Changes:
        version = await self.call(after, wait_s)
        return Changes(self.store.rows_after(after, version), version)

    async def call(self, after: int, wait_s: float) -> int:
        """Return the version of the store's answer, after the wait."""
        self.calls += 1
        answered: asyncio.Future[tuple[int, float]] = (
            asyncio.get_running_loop().create_future()
        )

        def answer() -> None:
            if self.loses:
                return
            told = self.store.version, self.world.now
            self.world.send(self.process, STORE_S, partial(resolve, answered, told))

        if not self.loses:
            wait = partial(self.store.wait, after, wait_s, answer)
            self.world.at(self.world.now + STORE_S, wait)
        with anyio.move_on_after(wait_s + ANSWER_MARGIN_S):
            version, store_s = await answered
            self.clock.update_store_time(store_s)
            return version
        raise PlatformOutcomeUnknown("no answer")

    # Links between VMs.

    def link_to(self, relay: "Vm | None") -> None:
        """Follow another relay, or none."""
        if self.relay is not None:
            self.relay.links.remove(self)
        self.relay = relay
        if relay is not None:
            relay.links.append(self)
            relay.process.run(relay.send_frames(self))

    async def send_frames(self, follower: "Vm") -> None:
        sent: int | None = None
        while follower.relay is self:
            changed = self.feed.changed
            if TABLE in self.feed.known_tables():
                frame = self.feed.frame_for(TABLE, sent)
                sent = frame.version
                arrive = partial(follower.frames.put_nowait, frame)
                self.world.send(follower.process, LINK_S, arrive)
            await changed.wait()

    async def read_frames(self) -> None:
        while True:
            self.feed.apply_frame(await self.frames.get())


def resolve(
    answered: "asyncio.Future[tuple[int, float]]", told: tuple[int, float]
) -> None:
    if not answered.done():
        answered.set_result(told)


class Fleet:
    """VMs in zones of at most 24, each zone with a relay."""

    ZONE_VMS = 24

    def __init__(self, world: World, vm_count: int, bounds: BoundsTable) -> None:
        self.world = world
        self.store = Store(world)
        sharing = feed_sharing(bounds)
        self.vms = [Vm(world, self.store, sharing) for _ in range(vm_count)]
        for first in range(0, vm_count, self.ZONE_VMS):
            zone = self.vms[first : first + self.ZONE_VMS]
            for follower in zone[1:]:
                world.at(0.5, partial(follower.link_to, zone[0]))

    def zone_of(self, vm: Vm) -> list[Vm]:
        first = self.vms.index(vm) // self.ZONE_VMS * self.ZONE_VMS
        return self.vms[first : first + self.ZONE_VMS]

    def replace_relay(self, rng: random.Random) -> None:
        """Have another VM of a random zone be its relay."""
        zone = self.zone_of(rng.choice(self.vms))
        relay = rng.choice(zone)
        for vm in zone:
            vm.link_to(None if vm is relay else relay)
