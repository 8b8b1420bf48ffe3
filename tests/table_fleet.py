"""VMs that follow a table of the platform's store, in lockstep and with faults."""

import asyncio
import random
from bisect import bisect_right
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import anyio

from godwitmast.errors import PlatformOutcomeUnknown
from godwitmast.platform.daemon import feed_sharing
from godwitmast.platform.settings import BoundsTable
from godwitmast.platform_api.epoch import (
    TableEpoch,
    epoch_of,
    make_version,
    number_of,
)
from godwitmast.platform_api.feed import ANSWER_MARGIN_S, FeedFollower
from godwitmast.platform_api.port import Changes, FeedRow, HistoryLost, Snapshot
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


class Answer(NamedTuple):
    """The store's version, the numbers of all changes, and its time."""

    version: int
    numbers: list[int]
    store_s: float


def rows_of(numbers: list[int]) -> list[FeedRow]:
    """Return the rows that changes wrote, as of the last one."""
    latest = {number % KEY_COUNT: number for number in numbers}
    return [FeedRow(str(key), b"%d" % number) for key, number in latest.items()]


class LoopClock:
    """The time of a process's event loop."""

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        return self.now()


class Store:
    """A table in which each change writes one row, whose content is the change's number.

    Numbers are versions until a restore takes versions back.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.epoch = 1
        self.numbers: list[int] = []
        """Number of the change that each version wrote."""
        self.last_number = 0
        self.changed_at: list[float] = []
        self.waiting: list[tuple[int, Callable[[], None]]] = []

    @property
    def version(self) -> int:
        return len(self.numbers)

    def change(self) -> None:
        self.last_number += 1
        self.write(self.last_number)

    def write(self, number: int) -> None:
        self.numbers.append(number)
        self.changed_at.append(self.world.now)
        self.end_waits()

    def restore(self, version: int) -> None:
        """Go back to a version; what was written since is soon written again."""
        lost = self.numbers[version:]
        del self.numbers[version:], self.changed_at[version:]
        self.epoch += 1
        self.end_waits()
        for place, number in enumerate(lost):
            self.world.at(
                self.world.now + 0.1 + place / 10, partial(self.write, number)
            )

    def end_waits(self) -> None:
        waiting, self.waiting = self.waiting, []
        for _, answer in waiting:
            answer()

    def rows_after(self, after: int, version: int) -> list[FeedRow]:
        """Return the rows that changed between two versions, as of the second."""
        return rows_of(self.numbers[after:version])

    def version_at(self, time: float) -> int:
        return bisect_right(self.changed_at, time)

    def wait(self, after: int, wait_s: float, answer: Callable[[], None]) -> None:
        """Call `answer` at a change after a version, or when the wait is over."""
        restored = epoch_of(after) not in (self.epoch, -1)
        if restored or self.version > number_of(after) or wait_s <= 0:
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
        self.epoch = TableEpoch(LoopClock())
        self.follower = self.process.create(
            lambda: FeedFollower(
                self.feed,
                LoopClock(),
                TABLE,
                self.take_rows,
                sharing.wait_s,
                order=lambda key, content: (int(content),),
            )
        )
        self.epoch.listeners.append(self.follower.reissue_wait)
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
        version, numbers = await self.call(-1, 0.0)
        return Snapshot(rows_of(numbers), version)

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> Changes | HistoryLost:
        if not self.epoch.is_current(after):
            return HistoryLost()
        version, numbers = await self.call(after, wait_s)
        if epoch_of(version) != epoch_of(after):
            return HistoryLost()
        return Changes(rows_of(numbers[number_of(after) :]), version)

    async def call(self, after: int, wait_s: float) -> tuple[int, list[int]]:
        """Return the version of the store's answer, after the wait, and its changes."""
        self.calls += 1
        answered: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()

        def answer() -> None:
            if self.loses:
                return
            store = self.store
            version = make_version(store.epoch, store.version)
            told = Answer(version, list(store.numbers), self.world.now)
            self.world.send(self.process, STORE_S, partial(resolve, answered, told))

        if not self.loses:
            wait = partial(self.store.wait, after, wait_s, answer)
            self.world.at(self.world.now + STORE_S, wait)
        with anyio.move_on_after(wait_s + ANSWER_MARGIN_S):
            version, numbers, store_s = await answered
            if epoch_of(version) < self.epoch.current:
                raise PlatformOutcomeUnknown("answered before a restore")
            self.epoch.observe(epoch_of(version))
            self.clock.update_store_time(store_s)
            return version, numbers
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


def resolve(answered: "asyncio.Future[Answer]", told: Answer) -> None:
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
