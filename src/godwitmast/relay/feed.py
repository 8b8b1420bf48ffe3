"""The platform's tables as one VM follows them, through its relay or by long polls."""

import math
from collections.abc import Callable
from typing import NamedTuple, Protocol

import anyio

from godwitmast.errors import PeerError, PlatformError
from godwitmast.platform_api.port import Changes, Feed, FeedRow, HistoryLost, Snapshot
from godwitmast.relay.messages import TableChanged, TableTold
from godwitmast.relay.table_copy import Sharing, TableCopy

MAX_CLOCK_AHEAD_S = 3600.0
"""Frames from further ahead are refused, as usage is counted by this clock. It is
longer than a VM stays suspended and then resumes."""


class StoreClock(Protocol):
    """The platform's clock as estimated by this VM."""

    updated_at: float | None

    def update_store_time(self, store_s: float) -> None: ...

    def store_now(self) -> float: ...


class DirectFeed(NamedTuple):
    """A `Feed` that asks the platform also while a relay's frames are fresh."""

    shared: "SharedFeed"

    async def snapshot(self, table: str) -> Snapshot:
        return await self.shared.read_platform(table)

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> Changes | HistoryLost:
        return await self.shared.poll_platform(table, after, wait_s)


class SharedFeed:
    """A `Feed` that is answered from a relay's frames as long as they are fresh.

    Ages are by the platform's own clock, which comes with its answers. So a delayed
    frame does not count as fresh, and neither does one from before a VM's suspension.
    """

    def __init__(self, store: Feed, clock: StoreClock, sharing: Sharing) -> None:
        self.store = store
        self.clock = clock
        self.sharing = sharing
        self.copies: dict[str, TableCopy] = {}
        self.changed = anyio.Event()
        self.followers: Callable[[], int] = lambda: 0

    @property
    def direct(self) -> DirectFeed:
        return DirectFeed(self)

    def copy_of(self, table: str) -> TableCopy:
        return self.copies.setdefault(table, TableCopy())

    def fresh_left_s(self, copy: TableCopy) -> float:
        """Return for how many seconds a relay's copy is still fresh; negative if not."""
        if self.clock.updated_at is None:
            return 0.0
        return copy.relay_confirmed_at + self.sharing.fresh_s - self.clock.store_now()

    def age_s(self, table: str) -> float:
        """Return the seconds since the platform last confirmed this VM's copy."""
        copy = self.copy_of(table)
        confirmed_at = max(copy.own_confirmed_at, copy.relay_confirmed_at)
        if self.clock.updated_at is None or math.isinf(confirmed_at):
            return math.inf
        return max(0.0, self.clock.store_now() - confirmed_at)

    async def snapshot(self, table: str) -> Snapshot:
        copy = self.copy_of(table)
        # What a relay was sent before it became one may be what has no history now.
        if not self.serves_followers and self.fresh_left_s(copy) > 0:
            return copy.snapshot
        return await self.read_platform(table)

    async def read_platform(self, table: str) -> Snapshot:
        """Return all rows from the platform itself."""
        copy = self.copy_of(table)
        snapshot = await self.store.snapshot(table)
        if copy.apply_snapshot(snapshot):
            self.record_answer(copy)
        return snapshot

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> Changes | HistoryLost:
        """Return the changes after a version, from the relay's copy if it is fresh."""
        if self.serves_followers:
            return await self.poll_platform(table, after, wait_s)
        copy = self.copy_of(table)
        with anyio.move_on_after(wait_s):
            await self.wait_for_relayed_change(copy, after)
        # A change may also arrive in the turn of the event loop that ends the wait.
        if self.fresh_left_s(copy) > 0 and copy.version >= after:
            return relayed_changes(copy, after)
        return await self.ask_or_await_relay(table, after, wait_s)

    async def ask_or_await_relay(
        self, table: str, after: int, wait_s: float
    ) -> Changes | HistoryLost:
        """Poll the platform, but return as soon as the relay's copy is fresh again.

        Otherwise a poll that the platform never answers would delay what the relay
        sends.
        """
        copy = self.copy_of(table)
        if self.is_relay_recent(copy):
            # Relay and platform may both have stopped answering; a long poll would
            # delay its detection.
            wait_s = min(wait_s, self.sharing.fresh_s)
        answer: Changes | HistoryLost | PlatformError | None = None

        async def poll() -> None:
            nonlocal answer
            try:
                answer = await self.poll_platform(table, after, wait_s)
            except PlatformError as error:
                answer = error
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(poll)
            await self.wait_until_fresh(copy, after)
            tasks.cancel_scope.cancel()
        if isinstance(answer, PlatformError):
            raise answer
        return relayed_changes(copy, after) if answer is None else answer

    def is_relay_recent(self, copy: TableCopy) -> bool:
        if math.isinf(copy.relay_confirmed_at):
            return False
        return self.clock.store_now() - copy.relay_confirmed_at < self.sharing.wait_s

    async def wait_until_fresh(self, copy: TableCopy, after: int) -> None:
        """Wait until the relay's copy is fresh and has reached a version."""
        while self.fresh_left_s(copy) <= 0 or copy.version < after:
            await self.changed.wait()

    async def wait_for_relayed_change(self, copy: TableCopy, after: int) -> None:
        """Wait until rows of the copy change, or until it is no longer fresh."""
        while (left_s := self.fresh_left_s(copy)) > 0:
            if copy.has_changes_since(after):
                return
            changed = self.changed
            with anyio.move_on_after(left_s):
                await changed.wait()

    async def poll_platform(
        self, table: str, after: int, wait_s: float
    ) -> Changes | HistoryLost:
        """Poll the platform; a relay's poll is shorter, to keep its followers fresh."""
        copy = self.copy_of(table)
        if self.serves_followers and self.clock.updated_at is not None:
            since_s = self.clock.store_now() - copy.own_confirmed_at
            wait_s = min(wait_s, max(0.0, self.sharing.confirm_s - since_s))
        answer = await self.store.changes(table, after, wait_s)
        if isinstance(answer, Changes) and copy.apply_changes(after, answer):
            self.record_answer(copy)
        return answer

    def record_answer(self, copy: TableCopy) -> None:
        if self.clock.updated_at is not None:
            copy.own_confirmed_at = self.clock.store_now()
        self.notify_waiters()

    def gather_s(self, alone_s: float) -> float:
        """Return the seconds to gather changes; fewer in a relay, for its followers."""
        return (
            min(alone_s, self.sharing.confirm_s) if self.serves_followers else alone_s
        )

    @property
    def serves_followers(self) -> bool:
        """Return whether this VM follows the tables for its followers too."""
        return self.sharing.saves_calls(self.followers())

    def notify_waiters(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    # Frames.

    def known_tables(self) -> list[str]:
        """Return the tables that the platform has confirmed to this VM."""
        return [
            table
            for table, copy in self.copies.items()
            if math.isfinite(copy.own_confirmed_at)
        ]

    def frame_for(self, table: str, sent: int | None) -> TableTold | TableChanged:
        """Return the frame that brings a follower from version `sent` up to date."""
        copy = self.copies[table]
        changes = None if sent is None else copy.changes_since(sent)
        if sent is None or changes is None:
            rows: list[tuple[str, bytes | None]] = list(copy.rows.items())
            return TableTold(table, copy.version, rows, copy.own_confirmed_at)
        changed_rows = [(row.key, row.content) for row in changes.rows]
        return TableChanged(
            table, sent, copy.version, changed_rows, copy.own_confirmed_at
        )

    def apply_frame(self, frame: TableTold | TableChanged) -> None:
        """Apply a relay's frame, and its time to the clock.

        The time may be ahead of this VM's clock, as after a suspension. PeerError is
        raised if it is missing or over `MAX_CLOCK_AHEAD_S` ahead.
        """
        if not math.isfinite(frame.confirmed_at):
            raise PeerError("table frame without a time")
        if self.clock.updated_at is not None:
            ahead_s = frame.confirmed_at - self.clock.store_now()
            if ahead_s > MAX_CLOCK_AHEAD_S:
                raise PeerError(f"table frame's time is {ahead_s:.0f} s ahead")
        self.clock.update_store_time(frame.confirmed_at)
        copy = self.copy_of(frame.table)
        rows = [FeedRow(key, content) for key, content in frame.rows]
        match frame:
            case TableTold():
                applied = copy.apply_snapshot(Snapshot(rows, frame.version))
            case TableChanged():
                applied = copy.apply_changes(frame.after, Changes(rows, frame.version))
        if applied:
            copy.relay_confirmed_at = max(copy.relay_confirmed_at, frame.confirmed_at)
        self.notify_waiters()


def relayed_changes(copy: TableCopy, after: int) -> Changes | HistoryLost:
    """Return all rows that changed in a copy since a version, with its own version.

    What a follower is not given here it does not get later, as it asks for the changes
    after that version.
    """
    changes = copy.changes_since(after)
    return HistoryLost() if changes is None else changes
