"""Tables that VMs follow through their zone's relay, and the bound of their age."""

from collections.abc import Sequence
from dataclasses import dataclass, field

import anyio
import pytest

from godwitmast.clock import ManualClock
from godwitmast.errors import PeerError, PlatformUnavailable
from godwitmast.platform_api.port import Changes, FeedRow, HistoryLost, Snapshot
from godwitmast.platform_api.time_agreement import AgreedClock
from godwitmast.relay.codec import decode_frame, encode_frame
from godwitmast.relay.feed import SharedFeed
from godwitmast.relay.messages import TableChanged, TableTold
from godwitmast.relay.table_copy import KEPT_CHANGES, Sharing, TableCopy

pytestmark = pytest.mark.anyio

SHARING = Sharing(confirm_s=0.2, fresh_s=1.0, wait_s=5.0)
WITHIN_S = 5.0
TABLE = "servers"


def row(key: str, content: bytes | None = b"{}") -> FeedRow:
    return FeedRow(key, content)


class Clock:
    """The platform's clock, known exactly."""

    updated_at: float | None = 0.0

    def update_store_time(self, store_s: float) -> None:
        return

    def store_now(self) -> float:
        return anyio.current_time()


@dataclass
class Store:
    """The platform's table with its history."""

    rows: dict[str, bytes] = field(default_factory=dict)
    history: list[tuple[int, FeedRow]] = field(default_factory=list)
    version: int = 1
    changed: anyio.Event = field(default_factory=anyio.Event)

    def put(self, key: str, content: bytes | None = b"{}") -> None:
        self.version += 1
        self.history.append((self.version, row(key, content)))
        self.rows.pop(key, None)
        if content is not None:
            self.rows[key] = content
        self.changed.set()
        self.changed = anyio.Event()

    async def snapshot(self, table: str) -> Snapshot:
        return Snapshot([row(*item) for item in self.rows.items()], self.version)

    async def changes(self, table: str, after: int, wait_s: float) -> Changes:
        with anyio.move_on_after(wait_s):
            while not self.since(after):
                await self.changed.wait()
        return Changes(self.since(after), self.version)

    def since(self, after: int) -> Sequence[FeedRow]:
        return [row for version, row in self.history if version > after]


class OwnCalls:
    """The store as one VM reaches it, with the number of its calls."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.calls = 0
        self.away = False

    def count(self) -> None:
        self.calls += 1
        if self.away:
            raise PlatformUnavailable("turned away")

    async def snapshot(self, table: str) -> Snapshot:
        self.count()
        return await self.store.snapshot(table)

    async def changes(self, table: str, after: int, wait_s: float) -> Changes:
        self.count()
        return await self.store.changes(table, after, wait_s)


class Pair:
    """A relay of many VMs, and one of its followers."""

    def __init__(self) -> None:
        self.store = Store()
        self.relay_calls = OwnCalls(self.store)
        self.follower_calls = OwnCalls(self.store)
        self.relay = SharedFeed(self.relay_calls, Clock(), SHARING)
        self.relay.followers = lambda: 100
        self.follower = SharedFeed(self.follower_calls, Clock(), SHARING)
        self.sent: int | None = None
        self.cut = False

    async def follow_as_relay(self) -> None:
        version = (await self.relay.snapshot(TABLE)).version
        while True:
            try:
                answer = await self.relay.changes(TABLE, version, 10.0)
            except PlatformUnavailable:
                await anyio.sleep(0.05)
                continue
            assert isinstance(answer, Changes)
            version = answer.version

    async def carry_frames(self) -> None:
        while True:
            changed = self.relay.changed
            if TABLE in self.relay.copies and not self.cut:
                frame = self.relay.frame_for(TABLE, self.sent)
                self.sent = frame.version
                again = decode_frame(encode_frame(frame))
                assert isinstance(again, TableTold | TableChanged)
                self.follower.apply_frame(again)
            await changed.wait()

    async def wait_until_fresh(self) -> int:
        with anyio.fail_after(WITHIN_S):
            while self.follower.fresh_left_s(self.follower.copy_of(TABLE)) <= 0:
                await anyio.sleep(0.01)
        return (await self.follower.snapshot(TABLE)).version


@pytest.fixture
async def pair():
    pair = Pair()
    pair.store.put("a")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(pair.follow_as_relay)
        tasks.start_soon(pair.carry_frames)
        yield pair
        tasks.cancel_scope.cancel()


async def test_change_reaches_a_follower_without_a_call_of_its_own(pair: Pair) -> None:
    version = await pair.wait_until_fresh()
    pair.store.put("b", b"2")
    pair.store.put("a", None)
    with anyio.fail_after(WITHIN_S):
        seen: dict[str, bytes | None] = {}
        while seen.keys() != {"a", "b"}:
            answer = await pair.follower.changes(TABLE, version, 10.0)
            assert isinstance(answer, Changes)
            assert answer.shared
            seen |= {item.key: item.content for item in answer.rows}
            version = answer.version
    assert seen == {"b": b"2", "a": None}
    assert not pair.follower_calls.calls


async def test_follower_of_a_relay_that_stops_sending_polls_in_time(pair: Pair) -> None:
    """A server is removed just after the relay was paused or partitioned."""
    version = await pair.wait_until_fresh()
    pair.cut = True
    pair.store.put("b")
    with anyio.fail_after(WITHIN_S):
        answer = await pair.follower.changes(TABLE, version, 10.0)
    assert isinstance(answer, Changes)
    assert [item.key for item in answer.rows] == ["b"]
    assert not answer.shared
    assert pair.follower.fresh_left_s(pair.follower.copy_of(TABLE)) <= 0


def feed_confirmed_at(confirmed_at: float, now: float) -> SharedFeed:
    """Return a follower's feed with a frame that was confirmed at `confirmed_at`."""
    clock = Clock()
    clock.store_now = lambda: now  # type: ignore[method-assign]
    feed = SharedFeed(Store(), clock, SHARING)
    feed.apply_frame(TableTold(TABLE, 5, [("a", b"{}")], confirmed_at))
    return feed


def test_delayed_frame_is_as_old_as_the_answer_that_it_carries() -> None:
    """A link that lost packets delivers a relay's frame late.

    If its age were counted from its arrival, it would count as fresh, and a server that
    was removed since would get requests until the next frame.
    """
    feed = feed_confirmed_at(10.0, 10.0 + SHARING.fresh_s + 0.01)
    assert feed.fresh_left_s(feed.copy_of(TABLE)) <= 0
    feed = feed_confirmed_at(10.0, 10.0)
    assert feed.fresh_left_s(feed.copy_of(TABLE)) == pytest.approx(SHARING.fresh_s)


@pytest.mark.parametrize("confirmed_at", [1e9, float("inf"), float("nan")])
def test_frame_from_far_ahead_moves_no_clock(confirmed_at: float) -> None:
    """Usage is counted by the clock that frames set; hours of error would lose some."""
    with pytest.raises(PeerError):
        feed_confirmed_at(confirmed_at, 10.0)


async def test_frame_without_a_time_sets_no_clock() -> None:
    """The frame is the first that a VM without an answer of the platform receives."""
    clock = AgreedClock(ManualClock())
    feed = SharedFeed(Store(), clock, SHARING)
    with pytest.raises(PeerError):
        feed.apply_frame(TableTold(TABLE, 5, [], float("-inf")))
    assert clock.updated_at is None


async def test_table_that_the_platform_has_not_confirmed_is_not_sent() -> None:
    """A relay's metrics are read before the platform's first answer.

    That created a frame without a version, for which each follower closed its link as
    malformed.
    """
    relay = SharedFeed(Store(), Clock(), SHARING)
    relay.age_s(TABLE)
    assert not relay.known_tables()
    await relay.snapshot(TABLE)
    assert relay.known_tables() == [TABLE]


async def test_own_answer_does_not_count_as_a_relays_frame(pair: Pair) -> None:
    """A VM without a relay must have a long poll open all the time."""
    calls = OwnCalls(pair.store)
    alone = SharedFeed(calls, Clock(), SHARING)
    version = (await alone.snapshot(TABLE)).version
    assert alone.fresh_left_s(alone.copy_of(TABLE)) <= 0
    with anyio.move_on_after(0.1):
        await alone.changes(TABLE, version, 10.0)
    assert calls.calls == 2


async def test_relay_that_is_turned_away_sends_nothing_fresh(pair: Pair) -> None:
    """The store turns away the relay and answers its followers."""
    version = await pair.wait_until_fresh()
    pair.relay_calls.away = True
    await anyio.sleep(SHARING.confirm_s)
    pair.store.put("b")
    with anyio.fail_after(WITHIN_S):
        answer = await pair.follower.changes(TABLE, version, 10.0)
    assert isinstance(answer, Changes)
    assert [item.key for item in answer.rows] == ["b"]
    assert pair.follower_calls.calls == 1


async def test_relay_of_few_followers_does_not_share_tables() -> None:
    """The relay's more frequent polls would cost more calls than two followers save."""
    assert not SHARING.saves_calls(2)
    assert SHARING.saves_calls(39)


def test_changes_that_are_no_longer_kept_require_a_snapshot() -> None:
    copy = TableCopy()
    copy.apply_snapshot(Snapshot([row("a")], 1))
    for number in range(KEPT_CHANGES + 5):
        copy.apply_changes(
            copy.version, Changes([row("b", b"%d" % number)], number + 2)
        )
    assert copy.changes_since(1) is None
    kept = copy.changes_since(copy.oldest_base)
    assert kept is not None
    assert len(kept.rows) == KEPT_CHANGES


def test_older_rows_never_replace_newer_ones() -> None:
    """A relay that is behind sends rows older than this VM's."""
    copy = TableCopy()
    copy.apply_snapshot(Snapshot([row("a", b"new")], 9))
    assert not copy.apply_snapshot(Snapshot([row("a", b"old")], 7))
    assert not copy.apply_changes(5, Changes([row("a", b"old")], 8))
    assert copy.rows == {"a": b"new"}


def test_changes_after_a_gap_are_not_applied() -> None:
    copy = TableCopy()
    copy.apply_snapshot(Snapshot([row("a")], 3))
    assert not copy.apply_changes(5, Changes([row("b")], 6))
    assert copy.rows.keys() == {"a"}
    assert copy.version == 3


async def test_follower_that_is_too_far_behind_gets_all_rows(pair: Pair) -> None:
    await pair.wait_until_fresh()
    assert isinstance(await pair.follower.changes(TABLE, 0, 1.0), HistoryLost)
    assert (await pair.follower.snapshot(TABLE)).rows == [row("a")]
