"""Confirmation that a followed table is up to date, beside the follower's own calls."""

from dataclasses import dataclass, field

import anyio
import pytest
from anyio.abc import TaskGroup

from godwitmast.errors import PlatformUnavailable
from godwitmast.platform_api.confirmation import (
    CONFIRM_INTERVAL_S,
    CONFIRM_RETRY_S,
    GATHER_S,
    Confirmation,
)
from godwitmast.platform_api.feed import FeedFollower
from godwitmast.platform_api.port import Changes, FeedRow, HistoryLost, Snapshot
from virtual_time import run_virtually

TABLE = "servers"
CALL_S = 0.01


class LoopClock:
    def now(self) -> float:
        return anyio.current_time()

    def wall(self) -> float:
        return anyio.current_time()


@dataclass
class Store:
    """A table whose calls take some time, and whose long polls may get no answer."""

    history: list[FeedRow] = field(default_factory=list)
    polls_hang: bool = True
    away: bool = False
    compacted: int = 0
    call_s: float = CALL_S
    calls: list[float] = field(default_factory=list)
    """Times of the calls that don't wait."""
    changed: anyio.Event = field(default_factory=anyio.Event)

    def put(self, key: str, content: bytes | None) -> None:
        self.history.append(FeedRow(key, content))
        self.changed.set()
        self.changed = anyio.Event()

    @property
    def version(self) -> int:
        return len(self.history)

    async def snapshot(self, table: str) -> Snapshot:
        await anyio.sleep(self.call_s)
        last = {row.key: row for row in self.history}
        rows = [row for row in last.values() if row.content is not None]
        return Snapshot(rows, self.version)

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> Changes | HistoryLost:
        if wait_s:
            return await self.poll(after)
        self.calls.append(anyio.current_time())
        if self.away:
            raise PlatformUnavailable("away")
        if after < self.compacted:
            return HistoryLost()
        answer = Changes(self.history[after:], self.version)
        await anyio.sleep(self.call_s)
        return answer

    async def poll(self, after: int) -> Changes:
        while self.polls_hang or self.version == after:
            await self.changed.wait()
        answer = Changes(self.history[after:], self.version)
        await anyio.sleep(self.call_s)
        return answer

    def wake_polls(self) -> None:
        self.polls_hang = False
        self.changed.set()
        self.changed = anyio.Event()


@dataclass
class Play:
    """A follower of a store, and its confirmation."""

    store: Store = field(default_factory=Store)
    seen: list[dict[str, bytes]] = field(default_factory=list)
    gaps: int = 0

    async def start(self, tasks: TaskGroup) -> None:
        self.store.put("a", b"1")
        self.follower = FeedFollower(
            self.store, LoopClock(), TABLE, lambda rows: self.seen.append(dict(rows))
        )
        self.follower.gap_listeners.append(self.record_gap)
        self.confirmation = Confirmation(LoopClock(), self.follower)
        await self.follower.start(tasks)
        await self.confirmation.start(tasks)
        await anyio.sleep(1.0)

    def record_gap(self) -> None:
        self.gaps += 1


def test_answer_that_a_confirmation_overtook_does_not_bring_rows_back() -> None:
    """Guards against an older answer that is applied after a newer one."""
    play = Play()

    async def work() -> None:
        async with anyio.create_task_group() as tasks:
            await play.start(tasks)
            play.store.put("b", b"1")
            play.store.call_s = 1.0
            play.store.wake_polls()
            await anyio.sleep(0.1)
            play.store.put("b", None)
            play.store.call_s = CALL_S
            assert await play.confirmation.up_to_now()
            await anyio.sleep(5.0)
            tasks.cancel_scope.cancel()

    run_virtually(work)
    assert play.seen == [{"a": b"1"}, {"a": b"1"}]


def test_call_that_began_before_a_question_does_not_answer_it() -> None:
    """Guards against a change between a call and a question that shares its answer."""
    play = Play()
    known: list[bool] = []

    async def ask() -> None:
        assert await play.confirmation.up_to_now()
        known.append("b" in play.follower.view.rows)

    async def work() -> None:
        async with anyio.create_task_group() as tasks:
            await play.start(tasks)
            play.store.call_s = 0.1
            tasks.start_soon(ask)
            await anyio.sleep(GATHER_S + 0.05)
            play.store.put("b", b"1")
            await ask()
            tasks.cancel_scope.cancel()

    run_virtually(work)
    assert known == [False, True]


@pytest.mark.parametrize(
    ("away", "interval_s"), [(False, CONFIRM_INTERVAL_S), (True, CONFIRM_RETRY_S)]
)
def test_calls_keep_their_interval_however_many_wait(
    away: bool, interval_s: float
) -> None:
    """Guards against a call for each stream, and more of them while none is answered."""
    play = Play()
    answers: list[bool] = []

    async def ask_often() -> None:
        for _ in range(100):
            answers.append(await play.confirmation.up_to_now())

    async def work() -> None:
        async with anyio.create_task_group() as tasks:
            await play.start(tasks)
            play.store.away = away
            async with anyio.create_task_group() as asking:
                for _ in range(20):
                    asking.start_soon(ask_often)
            tasks.cancel_scope.cancel()

    run_virtually(work)
    calls = play.store.calls
    waits = [later - earlier for earlier, later in zip(calls, calls[1:], strict=False)]
    assert len(answers) == 2000
    assert set(answers) == {not away}
    assert len(calls) <= 101
    assert min(waits) >= interval_s - 1e-6


def test_lost_history_is_a_gap_and_confirmed_by_a_new_snapshot() -> None:
    """Guards against rows that are read again as if nothing had been missed."""
    play = Play()

    async def work() -> None:
        async with anyio.create_task_group() as tasks:
            await play.start(tasks)
            play.store.put("b", b"1")
            play.store.put("b", None)
            play.store.compacted = play.store.version
            asked_at = anyio.current_time()
            assert await play.confirmation.up_to_now()
            assert play.follower.confirmed_at >= asked_at
            tasks.cancel_scope.cancel()

    run_virtually(work)
    assert play.gaps == 1
    assert play.seen == [{"a": b"1"}, {"a": b"1"}]
