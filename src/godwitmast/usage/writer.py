"""Writes an entry's row: heartbeat, configuration, load and journal in one."""

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
from godwitmast.usage.journal import Flushed, Journal, read_marks
from godwitmast.usage.meter import UsageKey, UsageSum
from godwitmast.usage.rows import HEAD_KEY, UsageHead
from godwitmast.usage.windows import UsageTiming

FORGET_WINDOWS = 3
"""How often frozen windows are asked after, in windows. Those that stand in the row
until then cost bytes, a thousandth of what a call costs."""

ROW_WRITES_PER_S = 40.0
"""Of all entries together: a fifth of what one part of a table takes, or less."""

RETRY_SHARE = 0.4
"""A write that failed is tried again after this part of the time between two writes: a
table that turned this entry away may take it again just before a window is closed."""

EARLIEST_S = 2.0
"""Least time between two writes, also when the configuration changes often."""


class NodeWriter:
    """Flushes one entry's journal every few seconds, and when it stops."""

    def __init__(
        self,
        platform: Table,
        clock: Clock,
        journal: Journal,
        timing: UsageTiming,
        version: Callable[[], int],
        load: Callable[[], dict[str, Any]],
        beside: Callable[[], dict[str, Any]] = dict,
        crowd: Callable[[], int] = lambda: 1,
        recent: Callable[[list[str]], Awaitable[dict[str, Row]]] | None = None,
    ) -> None:
        self.platform = platform
        self.clock = clock
        self.journal = journal
        self.timing = timing
        self.version = version
        self.load = load
        self.beside = beside
        self.crowd = crowd
        self.recent = recent
        self.flush_early = anyio.Event()
        self.writing = anyio.Lock()
        self.closing = False
        self.unsaved_s = 0.0
        self.saved_at = clock.now()
        self.marks_at = 0.0

    def count(self, key: UsageKey, increment: UsageSum) -> None:
        """Take an increment from the meter."""
        self.journal.add(key, increment, self.clock.wall())

    def config_changed(self, config: object) -> None:
        """Say soon which configuration is in force here: an operator may wait."""
        self.flush_early.set()

    async def start(self, tasks: TaskGroup) -> None:
        tasks.start_soon(self.run)

    async def run(self) -> None:
        while not self.closing:
            # Before the flush, so that a change which comes during it is not missed.
            self.flush_early = anyio.Event()
            outcome = await self.flush()
            first = outcome is Flushed.WRITTEN and self.journal.sequence == 1
            if first or outcome is Flushed.SEALED:
                # What it has counted so far is not in the table yet.
                continue
            if outcome is not Flushed.WRITTEN:
                await anyio.sleep(RETRY_SHARE * self.timing.flush_s)
                continue
            interval_s = self.interval_s() * random.uniform(0.9, 1.1)
            earliest_s = min(EARLIEST_S, interval_s)
            await anyio.sleep(earliest_s)
            with anyio.move_on_after(interval_s - earliest_s):
                await self.flush_early.wait()

    def interval_s(self) -> float:
        """Return the time between two writes: longer, up to a bound, among many."""
        timing = self.timing
        shared_s = min(self.crowd() / ROW_WRITES_PER_S, timing.window_s / 2)
        return max(timing.flush_s, shared_s)

    async def flush(self, ended: bool = False) -> Flushed:
        """Write the row once, and drop what is frozen."""
        journal = self.journal
        async with self.writing:
            steps = journal.flush(
                self.clock.wall(), self.version(), self.load(), ended, self.beside()
            )
            outcome = await run_steps(self.platform, steps)
        now = self.clock.now()
        if outcome is Flushed.WRITTEN:
            self.saved_at = now
        elif outcome is Flushed.SEALED:
            log_event("usage_row_sealed", level="WARNING", new=journal.incarnation)
        else:
            log_event("usage_not_written", level="WARNING", outcome=outcome.value)
        self.unsaved_s = now - self.saved_at
        await self.forget_frozen(now)
        return outcome

    async def forget_frozen(self, now: float) -> None:
        """Read how far the windows are frozen, when some should be by now."""
        timing = self.timing
        if now < self.marks_at + FORGET_WINDOWS * timing.window_s:
            return
        if self.journal.closed_before(self.clock.wall(), 2 * timing.grace_s):
            self.marks_at = now
            head = await self.read_head()
            if head is not None:
                self.journal.forget(head)

    async def read_head(self) -> UsageHead | None:
        """Return how far windows are frozen; marks that are old are only behind."""
        if self.recent is None:
            return await run_steps(self.platform, read_marks())
        try:
            rows = await self.recent([HEAD_KEY])
        except PlatformError:
            return None
        row = rows.get(HEAD_KEY)
        return UsageHead(**row.value) if row else None

    async def close(self) -> None:
        """Write the last of the usage, once no request runs any more."""
        self.closing = True
        with anyio.move_on_after(self.timing.stop_s):
            while not await self.flush_last():
                await anyio.sleep(0.1)
            return
        held = sum(len(sums) for sums in self.journal.segments.values())
        log_event("usage_left", level="ERROR", sums=held)

    async def flush_last(self) -> bool:
        """Return whether the row in the table is the final one."""
        await self.flush(ended=True)
        last = self.journal.last
        return last is not None and last.ended and self.journal.holds_all
