"""The platform's tables as one VM follows them: through its relay, or by itself."""

import math
from collections.abc import Callable
from typing import Protocol

import anyio

from godwitmast.errors import PeerError, PlatformError
from godwitmast.platform_api.port import Changes, Feed, FeedRow, HistoryLost, Snapshot
from godwitmast.relay.copies import Sharing, TableCopy
from godwitmast.relay.messages import TableChanged, TableTold

MAX_AHEAD_S = 3600.0
"""Longer than a VM is suspended and goes on; usage is counted by this clock."""


class StoreClock(Protocol):
    """The platform's clock as this VM knows it."""

    heard_at: float | None

    def heard(self, store_s: float) -> None: ...

    def store_now(self) -> float: ...


class SharedFeed:
    """A `Feed` that a relay's frames answer as long as they are fresh.

    Ages go by the platform's own clock, which comes with its answers: a frame that was
    held up on the way is as old as it is, and a VM that was suspended notices.
    """

    def __init__(self, store: Feed, clock: StoreClock, sharing: Sharing) -> None:
        self.store = store
        self.clock = clock
        self.sharing = sharing
        self.copies: dict[str, TableCopy] = {}
        self.changed = anyio.Event()
        self.followers: Callable[[], int] = lambda: 0

    def copy_of(self, table: str) -> TableCopy:
        return self.copies.setdefault(table, TableCopy())

    def fresh_for(self, copy: TableCopy) -> float:
        """Return for how many seconds what the relay told may still be gone by."""
        if self.clock.heard_at is None:
            return 0.0
        return copy.told_at + self.sharing.fresh_s - self.clock.store_now()

    def age_s(self, table: str) -> float:
        """Return since when nothing has confirmed what this VM goes by."""
        copy = self.copy_of(table)
        confirmed_at = max(copy.asked_at, copy.told_at)
        if self.clock.heard_at is None or math.isinf(confirmed_at):
            return math.inf
        return max(0.0, self.clock.store_now() - confirmed_at)

    async def snapshot(self, table: str) -> Snapshot:
        copy = self.copy_of(table)
        if self.fresh_for(copy) > 0:
            return copy.snapshot
        snapshot = await self.store.snapshot(table)
        if copy.replace(snapshot):
            self.note_answer(copy)
        return snapshot

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> Changes | HistoryLost:
        """Return what changed after a version, as told by the relay if that is fresh."""
        copy = self.copy_of(table)
        if not self.shares:
            with anyio.move_on_after(wait_s):
                answer = await self.told_change(copy, after)
                if answer is not None:
                    return answer
            if self.fresh_for(copy) > 0 and copy.version >= after:
                return Changes((), copy.version, shared=True)
            return await self.ask_or_hear(table, after, wait_s)
        return await self.ask(table, after, wait_s)

    async def ask_or_hear(
        self, table: str, after: int, wait_s: float
    ) -> Changes | HistoryLost:
        """Ask the platform, unless the relay tells again before it has answered.

        A call that a silent platform has swallowed would hide what the relay tells.
        """
        copy = self.copy_of(table)
        if self.was_told_lately(copy):
            # Relay and platform may both have gone silent; a long wait would hide it.
            wait_s = min(wait_s, self.sharing.fresh_s)
        answer: Changes | HistoryLost | PlatformError | None = None

        async def ask() -> None:
            nonlocal answer
            try:
                answer = await self.ask(table, after, wait_s)
            except PlatformError as error:
                answer = error
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask)
            await self.fresh_again(copy, after)
            tasks.cancel_scope.cancel()
        if isinstance(answer, PlatformError):
            raise answer
        if answer is None:
            return copy.since(after) or HistoryLost()
        return answer

    def was_told_lately(self, copy: TableCopy) -> bool:
        if math.isinf(copy.told_at):
            return False
        return self.clock.store_now() - copy.told_at < self.sharing.wait_s

    async def fresh_again(self, copy: TableCopy, after: int) -> None:
        """Wait until the relay has told what the platform has after a version."""
        while self.fresh_for(copy) <= 0 or copy.version < after:
            await self.changed.wait()

    async def told_change(
        self, copy: TableCopy, after: int
    ) -> Changes | HistoryLost | None:
        """Wait for a change in the copy; None once the copy is no longer fresh."""
        while (left_s := self.fresh_for(copy)) > 0:
            if copy.version > after:
                changes = copy.since(after)
                if changes is None:
                    return HistoryLost()
                if changes.rows:
                    return changes
            changed = self.changed
            with anyio.move_on_after(left_s):
                await changed.wait()
        return None

    async def ask(self, table: str, after: int, wait_s: float) -> Changes | HistoryLost:
        """Ask the platform; a relay waits less, so that its followers stay fresh."""
        copy = self.copy_of(table)
        if self.shares and self.clock.heard_at is not None:
            since_s = self.clock.store_now() - copy.asked_at
            wait_s = min(wait_s, max(0.0, self.sharing.confirm_s - since_s))
        answer = await self.store.changes(table, after, wait_s)
        if isinstance(answer, Changes) and copy.change(after, answer):
            self.note_answer(copy)
        return answer

    def note_answer(self, copy: TableCopy) -> None:
        if self.clock.heard_at is not None:
            copy.asked_at = self.clock.store_now()
        self.tell()

    def gather_s(self, alone_s: float) -> float:
        """Return how long changes gather: a relay's followers wait for it as well."""
        return min(alone_s, self.sharing.confirm_s) if self.shares else alone_s

    @property
    def shares(self) -> bool:
        """Return whether this VM follows for others as well."""
        return self.sharing.pays(self.followers())

    def tell(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    # Frames.

    def known_tables(self) -> list[str]:
        """Return the tables of which the platform has told this VM anything."""
        return [
            table for table, copy in self.copies.items() if math.isfinite(copy.asked_at)
        ]

    def frame_for(self, table: str, sent: int | None) -> TableTold | TableChanged:
        """Return what a follower that has version `sent` is to be told of a table."""
        copy = self.copies[table]
        changes = None if sent is None else copy.since(sent)
        if sent is None or changes is None:
            rows: list[tuple[str, bytes | None]] = list(copy.rows.items())
            return TableTold(table, copy.version, rows, copy.asked_at)
        told = [(row.key, row.content) for row in changes.rows]
        return TableChanged(table, sent, copy.version, told, copy.asked_at)

    def take_frame(self, frame: TableTold | TableChanged) -> None:
        """Take what the relay told of a table; one that is far ahead tells nothing.

        A VM that was suspended is behind the relay, and learns the time from it.
        """
        if not math.isfinite(frame.confirmed_at):
            raise PeerError("a frame without a time")
        if self.clock.heard_at is not None:
            ahead_s = frame.confirmed_at - self.clock.store_now()
            if ahead_s > MAX_AHEAD_S:
                raise PeerError(f"a frame from {ahead_s:.0f} s ahead")
        self.clock.heard(frame.confirmed_at)
        copy = self.copy_of(frame.table)
        rows = [FeedRow(key, content) for key, content in frame.rows]
        match frame:
            case TableTold():
                taken = copy.replace(Snapshot(rows, frame.version))
            case TableChanged():
                taken = copy.change(frame.after, Changes(rows, frame.version))
        if taken:
            copy.told_at = max(copy.told_at, frame.confirmed_at)
        self.tell()
