"""Freezes and reports usage windows under a lease."""

from dataclasses import dataclass
from typing import Any, NamedTuple

import anyio
from prometheus_client import CollectorRegistry, Counter, Gauge

from godwitmast.clock import Clock
from godwitmast.errors import PlatformError
from godwitmast.lease.machine import Guard
from godwitmast.logs import log_event
from godwitmast.platform_api.port import Reporting
from godwitmast.platform_api.runner import run_steps
from godwitmast.platform_api.steps import Failure, Rows, Scan, Steps
from godwitmast.usage.rows import NODE_PREFIX, NodeRow, load_node
from godwitmast.usage.windows import (
    DueReport,
    Frozen,
    NotDue,
    UsageTiming,
    begin_windows,
    drop,
    freeze_next,
    mark_reported,
    next_report,
)

CHECK_EVERY_S = 2.0
SHORTEST_WAIT_S = 0.25
"""Between two looks at entries that have not written past a window yet."""

REPORT_TIMEOUT_S = 2.0
"""Shorter than any lease's guard: a report that is out when the lease lapses has
arrived or failed before the next holder sends one."""


@dataclass
class Watched:
    """A journal's row and since when it has stood still, on this process's clock."""

    row: NodeRow
    version: int
    since: float


class Marked(NamedTuple):
    """The last window that the table has as reported, and the version of that row."""

    start: int
    version: int


class UsageDuty:
    """The one reporter of usage."""

    name = "usage"

    def __init__(
        self,
        platform: Reporting,
        clock: Clock,
        timing: UsageTiming = UsageTiming(),
        registry: CollectorRegistry | None = None,
        report_timeout_s: float = REPORT_TIMEOUT_S,
        true_time: Clock | None = None,
    ) -> None:
        self.platform = platform
        self.clock = clock
        self.timing = timing
        self.report_timeout_s = report_timeout_s
        # Windows go by the time that all processes agree on; whether the lease is held
        # is asked by the clocks that the lease was taken by, which notice a suspension.
        self.true_time = true_time or clock
        self.watched: dict[str, Watched] = {}
        self.table_back_at = 0.0
        self.table_away = False
        self.wait_s = 0.0
        self.owes_report = True
        self.fresh: dict[int, DueReport] = {}
        self.marked: Marked | None = None
        self.late_windows = Counter(
            "godwit_usage_late_windows",
            "Windows that hold usage of earlier ones.",
            registry=registry,
        )
        self.lag = Gauge(
            "godwit_usage_report_lag_seconds",
            "From the end of the last reported window to its report.",
            registry=registry,
        )

    async def run(self, guard: Guard) -> None:
        """Freeze what is due, and report what is frozen.

        A new holder at first closes no entry's row, as after an outage: the lease may
        have lapsed in one, and what the entries kept during it is written now.
        """
        self.watched.clear()
        self.fresh.clear()
        self.marked = None
        self.owes_report = True
        self.table_back_at = self.clock.now()
        steps = begin_windows(guard.checks, self.true_time.wall(), self.timing.window_s)
        await run_steps(self.platform, steps)
        watch_at = 0.0
        while True:
            if await self.freeze(guard):
                await self.report(guard)
            now = self.clock.now()
            if now >= watch_at:
                watch_at = now + self.watch_s
                await self.watch(guard)
            await anyio.sleep(self.next_wait())

    def next_wait(self) -> float:
        """Return how long to sleep: till a window is due, unless something is owed."""
        often = min(CHECK_EVERY_S, self.watch_s)
        if self.table_away or self.owes_report:
            return often
        return max(SHORTEST_WAIT_S, min(self.wait_s, self.watch_s))

    @property
    def watch_s(self) -> float:
        """Return how often the entries' rows are looked at for their loads."""
        return self.timing.window_s / 4

    async def freeze(self, guard: Guard) -> bool:
        """Freeze every window that is due; return whether the table answered."""
        while True:
            back_s = self.clock.now() - self.table_back_at
            steps = freeze_next(
                guard.checks,
                self.true_time.wall(),
                self.timing,
                may_close=back_s >= self.timing.back_s,
            )
            match await run_steps(self.platform, steps):
                case Frozen() as frozen:
                    self.note_frozen(frozen)
                case NotDue(wait_s):
                    self.note_table(True)
                    self.wait_s = wait_s
                    return True
                case _:
                    # It may be frozen all the same, and is then not known here.
                    self.owes_report = True
                    self.note_table(False)
                    return False

    def note_frozen(self, frozen: Frozen) -> None:
        """Keep a window until it is reported: the table may be away by then."""
        for run in frozen.closed:
            log_event("usage_sealed", level="WARNING", run=run)
        start, late = frozen.start, frozen.late
        log_event("usage_frozen", window=start, runs=frozen.runs, late=late)
        self.late_windows.inc(int(late))
        if frozen.window is not None:
            self.fresh[start] = DueReport(frozen.window, frozen.digest, 0)
        self.owes_report = True
        self.note_table(True)

    def loads(self) -> list[dict[str, Any]]:
        """Return what each entry that runs said of its load; empty if not known."""
        return [w.row.load for w in self.watched.values() if not w.row.ended]

    def note_table(self, answered: bool) -> None:
        if answered and self.table_away:
            self.table_back_at = self.clock.now()
        self.table_away = not answered

    async def report(self, guard: Guard) -> None:
        """Send every window that is frozen and not confirmed, oldest first."""
        while self.owes_report:
            due: DueReport | Failure | None = self.next_fresh()
            if due is None:
                due = await run_steps(self.platform, next_report(self.timing.window_s))
            if not isinstance(due, DueReport):
                # None says that all is reported; after a failure it is asked again.
                self.owes_report = due is not None
                return
            if not await self.send(guard, due):
                return
            self.fresh.pop(due.window.start, None)
            version = await run_steps(self.platform, mark_reported(guard.checks, due))
            if version is None:
                self.marked = None
                return
            self.marked = Marked(due.window.start, version)
            self.owes_report = bool(self.fresh)
            self.lag.set(self.true_time.wall() - due.window.end)

    def next_fresh(self) -> DueReport | None:
        """Return the window after the last one reported, if it was frozen here.

        It is reported without a look at the table, which would cost three calls and may
        have gone away since.
        """
        if self.marked is None:
            return None
        due = self.fresh.get(self.marked.start + self.timing.window_s)
        return due._replace(reported_version=self.marked.version) if due else None

    async def send(self, guard: Guard, due: DueReport) -> bool:
        """Send one window's frozen figures; return whether the intake has them."""
        report = {**due.window._asdict(), "digest": due.digest}
        fence = guard.fence_if_held(self.clock.now(), self.clock.wall())
        if fence is None:
            return False
        try:
            with anyio.fail_after(self.report_timeout_s):
                await self.platform.report_usage({**report, "fence": fence})
        except (PlatformError, TimeoutError) as error:
            log_event("usage_report_failed", level="WARNING", error=repr(error))
            return False
        log_event("usage_reported", window=due.window.start, digest=due.digest[:12])
        return True

    async def watch(self, guard: Guard) -> None:
        """Take the entries' loads, and drop the rows of ended ones in the end.

        Only this clock counts, from when the row was first seen as it is; while the
        table is away nothing can be told of an entry, so every watch starts anew.
        """
        found = await run_steps(self.platform, scan_nodes())
        if found is None or self.table_away:
            self.watched.clear()
            return
        now = self.clock.now()
        rows = {
            key: Watched(load_node(r.value), r.version, now)
            for key, r in found.rows.items()
        }
        for key, seen in rows.items():
            old = self.watched.get(key)
            if old is not None and old.version == seen.version:
                seen.since = old.since
        self.watched = rows
        for seen in list(rows.values()):
            still = now - seen.since
            if seen.row.ended and still >= self.timing.keep_s:
                await run_steps(
                    self.platform, drop(guard.checks, seen.row, seen.version)
                )


def scan_nodes() -> Steps[Rows | None]:
    """Return the rows of all entries, or None if the table does not answer."""
    found = yield Scan(NODE_PREFIX)
    return found if isinstance(found, Rows) else None
