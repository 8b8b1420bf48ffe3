"""The writer of an entry's row: heartbeat, configuration, load and journal in one."""

import random
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup

from godwitmast.clock import Clock
from godwitmast.errors import PlatformError
from godwitmast.logs import log_event
from godwitmast.platform_api.messages import Row
from godwitmast.platform_api.port import Table
from godwitmast.platform_api.runner import run_steps
from godwitmast.supervision import keep_running
from godwitmast.usage.journal import FlushOutcome, Journal, read_marks
from godwitmast.usage.meter import Sums, UsageKey, UsageSum, add_sums
from godwitmast.usage.rows import HEAD_KEY, UsageHead
from godwitmast.usage.windows import UsageTiming

FROZEN_CHECK_WINDOWS = 3
"""Interval, in windows, between reads of how far windows are frozen. Until then frozen
windows in the row cost only bytes, a thousandth of the cost of a call."""

ROW_WRITES_PER_S = 40.0
"""Limit for all entries together: at most a fifth of what one part of a table accepts."""

RETRY_FRACTION = 0.4
"""A failed write is retried after this fraction of the flush interval: a table that
refused this entry may accept it again just before a window is frozen."""

MIN_WRITE_INTERVAL_S = 2.0
"""Shortest time between two writes, also when the configuration changes often."""

MAX_EARLY_SECONDS = 300
"""Bounds the usage that is kept before the start to teams x classes x pools x 300 sums."""


class NodeWriter:
    """Writes one entry's row every few seconds, and a last time when the entry stops.

    `beside` returns the other rows that are written in the same transaction.
    """

    def __init__(
        self,
        platform: Table,
        clock: Clock,
        journal: Journal,
        timing: UsageTiming,
        version: Callable[[], int],
        load: Callable[[], dict[str, Any]],
        beside: Callable[[], dict[str, Any]] = dict,
        entry_count: Callable[[], int] = lambda: 1,
        read_recent: Callable[[list[str]], Awaitable[dict[str, Row]]] | None = None,
    ) -> None:
        self.platform = platform
        self.clock = clock
        self.journal = journal
        self.timing = timing
        self.version = version
        self.load = load
        self.beside = beside
        self.entry_count = entry_count
        self.read_recent = read_recent
        self.flush_requested = anyio.Event()
        self.write_lock = anyio.Lock()
        self.started = False
        self.closing = False
        # Usage from before the start, by the second of the monotonic clock.
        self.early: dict[int, Sums] = {}
        self.unsaved_s = 0.0
        self.saved_at = clock.now()
        self.marks_read_at = 0.0

    def count(self, key: UsageKey, increment: UsageSum) -> None:
        """Add an increment of the meter to the journal.

        Before the start the time of day may be wrong, and the journal never goes back
        from a window: the increment is kept until then.
        """
        if self.started:
            self.journal.add(key, increment, self.clock.wall())
            return
        add_sums(self.early.setdefault(int(self.clock.now()), {}), {key: increment})
        if len(self.early) > MAX_EARLY_SECONDS:
            first, second, *_ = self.early
            add_sums(self.early[second], self.early.pop(first))

    def add_early_usage(self) -> None:
        """Add usage from before the start to its windows, by the present time of day."""
        self.started = True
        now, wall = self.clock.now(), self.clock.wall()
        for second, sums in self.early.items():
            for key, increment in sums.items():
                self.journal.add(key, increment, wall - (now - second))
        self.early.clear()

    def config_changed(self, config: object) -> None:
        """Publish the version in force soon, since an operator may be waiting for it."""
        self.flush_requested.set()

    def flush_requested_now(self) -> None:
        """Write the row soon, as its load has changed."""
        self.flush_requested.set()

    async def start(self, tasks: TaskGroup) -> None:
        self.add_early_usage()
        tasks.start_soon(keep_running, "NodeWriter.run", self.run)

    async def run(self) -> None:
        while not self.closing:
            # Replaced before the flush, so that a change during it is not missed.
            self.flush_requested = anyio.Event()
            is_missing = self.journal.version == 0
            outcome = await self.flush()
            created = outcome is FlushOutcome.WRITTEN and is_missing
            if created or outcome in (FlushOutcome.SEALED, FlushOutcome.LOST):
                # That write only created the row, or failed on one that was sealed or
                # lost: usage counted so far is not in the table yet.
                continue
            if outcome is not FlushOutcome.WRITTEN:
                await anyio.sleep(RETRY_FRACTION * self.timing.flush_s)
                continue
            interval_s = self.interval_s() * random.uniform(0.9, 1.1)
            min_interval_s = min(MIN_WRITE_INTERVAL_S, interval_s)
            await anyio.sleep(min_interval_s)
            with anyio.move_on_after(interval_s - min_interval_s):
                await self.flush_requested.wait()

    def interval_s(self) -> float:
        """Return the seconds between two writes, longer among many entries, but bounded."""
        timing = self.timing
        shared_s = min(self.entry_count() / ROW_WRITES_PER_S, timing.window_s / 2)
        return max(timing.flush_s, shared_s)

    async def flush(self, ended: bool = False) -> FlushOutcome:
        """Write the row once, and drop frozen segments from the journal."""
        journal = self.journal
        async with self.write_lock:
            steps = journal.flush(
                self.clock.wall(), self.version(), self.load(), ended, self.beside()
            )
            outcome = await run_steps(self.platform, steps)
        now = self.clock.now()
        if outcome is FlushOutcome.WRITTEN:
            self.saved_at = now
        elif outcome is FlushOutcome.SEALED:
            log_event("usage_row_sealed", level="WARNING", new=journal.incarnation)
        else:
            log_event("usage_not_written", level="WARNING", outcome=outcome.value)
        self.unsaved_s = now - self.saved_at
        await self.drop_frozen_segments(now)
        return outcome

    async def drop_frozen_segments(self, now: float) -> None:
        """Drop frozen segments, if some should be frozen by now."""
        timing = self.timing
        if now < self.marks_read_at + FROZEN_CHECK_WINDOWS * timing.window_s:
            return
        if self.journal.has_window_older_than(self.clock.wall(), 2 * timing.grace_s):
            self.marks_read_at = now
            head = await self.read_head()
            if head is not None:
                self.journal.forget(head)

    async def read_head(self) -> UsageHead | None:
        """Return how far windows are frozen; an old copy only understates it."""
        if self.read_recent is None:
            return await run_steps(self.platform, read_marks())
        try:
            rows = await self.read_recent([HEAD_KEY])
        except PlatformError:
            return None
        row = rows.get(HEAD_KEY)
        return UsageHead(**row.value) if row else None

    async def close(self, stop_s: float | None = None) -> None:
        """Write the remaining usage, once no request is running any more.

        It is tried for `stop_s`, by default that of the timing.
        """
        self.closing = True
        self.add_early_usage()
        tried_s = self.timing.stop_s if stop_s is None else stop_s
        with anyio.move_on_after(tried_s):
            while not await self.flush_last():
                await anyio.sleep(0.1)
            return
        unwritten = sum(len(sums) for sums in self.journal.segments.values())
        log_event(
            "usage_left", level="ERROR", sums=unwritten, tried_s=round(tried_s, 3)
        )

    async def flush_last(self) -> bool:
        """Write the last row; return whether the table now has it."""
        await self.flush(ended=True)
        last = self.journal.last
        return last is not None and last.ended and self.journal.holds_all
