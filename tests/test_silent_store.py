"""How soon VMs learn of changes after an outage of the platform's store."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import pytest

from godwitmast.errors import PlatformOutcomeUnknown
from godwitmast.platform.daemon import CONFIRM_SHARE, FRESH_SHARE
from godwitmast.platform.store import CALL_TIMEOUT_S
from godwitmast.platform_api.feed import (
    ANSWER_MARGIN_S,
    MAX_WAIT_S,
    FeedFollower,
    long_poll_s,
)
from godwitmast.platform_api.port import Changes, FeedRow, Snapshot
from godwitmast.relay.feed import SharedFeed
from godwitmast.relay.table_copy import Sharing
from virtual_time import run_virtually

TABLE = "op"
BOUND_S = 2.0
"""Time in which a change must be in force; the shortest of all deployments."""

IN_TOUCH_S = 3.0
"""This long after an outage ends, changes must be in force within the bound again."""

WAIT_S = long_poll_s(IN_TOUCH_S)
SHARING = Sharing(BOUND_S * CONFIRM_SHARE, BOUND_S * FRESH_SHARE, WAIT_S)
ANSWER_S = 0.008
LINK_S = 0.002
WRITE_EVERY_S = 1.0


class LoopClock:
    """The platform's clock and the VM's, both of which are the event loop's here."""

    updated_at: float | None = 0.0

    def now(self) -> float:
        return anyio.current_time()

    def wall(self) -> float:
        return anyio.current_time()

    def update_store_time(self, store_s: float) -> None:
        return

    def store_now(self) -> float:
        return anyio.current_time()


@dataclass
class SilentStore:
    """A store that never answers a call that is open at any moment of its outage."""

    begin: float
    end: float
    rows: dict[str, bytes] = field(default_factory=dict)
    version: int = 1
    changed: anyio.Event = field(default_factory=anyio.Event)
    calls: int = 0

    def put(self, key: str) -> None:
        self.version += 1
        self.rows[key] = b"%d" % self.version
        self.changed.set()
        self.changed = anyio.Event()

    def is_silent(self, since: float) -> bool:
        return since < self.end and self.now() >= self.begin

    async def answer(self, wait_s: float, until: Callable[[], bool]) -> None:
        """Return when a call is answered, or raise after the client's time-out."""
        self.calls += 1
        since = self.now()
        deadline = since + wait_s
        while self.now() < deadline and not (self.is_silent(since) or until()):
            next_at = self.begin if self.now() < self.begin else deadline
            with anyio.move_on_after(min(next_at, deadline) - self.now()):
                await self.changed.wait()
        await anyio.sleep(ANSWER_S)
        if self.is_silent(since):
            margin_s = ANSWER_MARGIN_S if wait_s else CALL_TIMEOUT_S
            await anyio.sleep(max(0.0, deadline + margin_s - self.now()))
            raise PlatformOutcomeUnknown("no answer")

    def now(self) -> float:
        return anyio.current_time()

    async def snapshot(self, table: str) -> Snapshot:
        await self.answer(0.0, lambda: True)
        return Snapshot([FeedRow(*item) for item in self.rows.items()], self.version)

    async def changes(self, table: str, after: int, wait_s: float) -> Changes:
        await self.answer(wait_s, lambda: self.version > after)
        rows = [
            FeedRow(key, content)
            for key, content in self.rows.items()
            if int(content) > after
        ]
        return Changes(rows, self.version)

    async def write(self) -> None:
        """Answer a call that does not wait for changes."""
        await self.answer(0.0, lambda: True)


@dataclass
class Vm:
    """One VM that follows the table, and also makes other calls to the store."""

    store: SilentStore
    followers: int = 0
    doubts: bool = True
    wait_s: float = WAIT_S

    def __post_init__(self) -> None:
        self.feed = SharedFeed(self.store, LoopClock(), SHARING)
        self.feed.followers = lambda: self.followers
        self.seen: dict[str, float] = {}
        self.follower = FeedFollower(
            self.feed, LoopClock(), TABLE, self.take, self.wait_s
        )

    def take(self, rows: dict[str, bytes]) -> None:
        for key in rows:
            self.seen.setdefault(key, anyio.current_time())

    async def run_writes(self, phase_s: float) -> None:
        await anyio.sleep(phase_s)
        while True:
            try:
                await self.store.write()
            except PlatformOutcomeUnknown:
                if self.doubts:
                    self.follower.reissue_wait()
            await anyio.sleep(WRITE_EVERY_S)

    async def hear(self, relay: "Vm") -> None:
        """Apply the frames of a relay."""
        sent: int | None = None
        while True:
            changed = relay.feed.changed
            if TABLE in relay.feed.known_tables():
                frame = relay.feed.frame_for(TABLE, sent)
                sent = frame.version
                await anyio.sleep(LINK_S)
                self.feed.apply_frame(frame)
            await changed.wait()


def play(
    seed: int, through_relay: bool, doubts: bool = True, wait_s: float = WAIT_S
) -> float:
    """Return by how many seconds a change after an outage was late."""
    draw = random.Random(seed)
    begin = draw.uniform(8.0, 20.0)
    end = begin + draw.uniform(1.5, 20.0)
    change_at = end + draw.uniform(0.0, 3.0)
    late_s = 0.0

    async def work() -> None:
        nonlocal late_s
        store = SilentStore(begin, end)
        store.put("before")
        watched = Vm(store, doubts=doubts, wait_s=wait_s)
        async with anyio.create_task_group() as tasks:
            await watched.follower.start(tasks)
            if through_relay:
                relay = Vm(store, followers=100)
                await relay.follower.start(tasks)
                tasks.start_soon(relay.run_writes, draw.random())
                tasks.start_soon(watched.hear, relay)
            else:
                tasks.start_soon(watched.run_writes, draw.random())
            await anyio.sleep(change_at)
            store.put("after")
            await anyio.sleep(30.0)
            tasks.cancel_scope.cancel()
        bound = max(end + IN_TOUCH_S, change_at + BOUND_S)
        late_s = watched.seen.get("after", float("inf")) - bound

    random.seed(seed)
    run_virtually(work)
    return late_s


@pytest.mark.parametrize("through_relay", [False, True])
def test_change_after_a_silence_of_the_store_is_known_in_time(
    through_relay: bool,
) -> None:
    """A long poll that the store never answers times out only after ten seconds.

    Configurations that were acknowledged after the outage were therefore not in force.
    """
    late = {seed: play(seed, through_relay) for seed in range(60)}
    assert {seed: late_s for seed, late_s in late.items() if late_s > 0} == {}


def test_check_finds_a_follower_that_only_waits() -> None:
    late = (play(seed, False, doubts=False, wait_s=MAX_WAIT_S) for seed in range(60))
    assert any(late_s > 0 for late_s in late)
