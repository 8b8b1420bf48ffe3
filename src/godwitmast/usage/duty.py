"""The duty that freezes and reports usage windows, under a lease."""

import math
from dataclasses import dataclass
from typing import Any, NamedTuple

import anyio
from prometheus_client import CollectorRegistry, Counter, Gauge

from godwitmast.clock import Clock
from godwitmast.errors import PlatformError
from godwitmast.lease.calls import DutyCall
from godwitmast.lease.machine import Guard
from godwitmast.logs import log_event
from godwitmast.platform_api.epoch import TableEpoch
from godwitmast.platform_api.port import Reporting
from godwitmast.platform_api.runner import run_steps
from godwitmast.platform_api.steps import Failure, Rows, Scan, Steps
from godwitmast.usage.ledger import UsageLedger, restore_ended_rows, restore_windows
from godwitmast.usage.rows import NODE_PREFIX, NodeRow, latest_runs, load_node
from godwitmast.usage.windows import (
    DueReport,
    Frozen,
    HeadOutdated,
    NotDue,
    UsageTiming,
    create_head,
    freeze_next,
    mark_reported,
    next_report,
    remove_row,
)

CHECK_INTERVAL_S = 2.0
MIN_WAIT_S = 0.25
"""Between two checks for entries that have not written past a window yet."""

REPORT_TIMEOUT_S = 2.0
"""Shorter than the guard time of any lease, for which a process that stops waits for its
calls. A report that is given up may still arrive; `LeaseMachine` allows for that."""


@dataclass
class WatchedRow:
    """An entry's row, and since when it is unchanged by this process's clock."""

    row: NodeRow
    version: int
    since: float


class LastReported(NamedTuple):
    """The last window that the table records as reported, and that row's version."""

    start: int
    version: int


class UsageDuty:
    """Freezes usage windows and reports them to the intake, while it holds the lease."""

    name = "usage"

    def __init__(
        self,
        platform: Reporting,
        clock: Clock,
        timing: UsageTiming = UsageTiming(),
        registry: CollectorRegistry | None = None,
        report_timeout_s: float = REPORT_TIMEOUT_S,
        true_time: Clock | None = None,
        epoch: TableEpoch | None = None,
    ) -> None:
        self.epoch = epoch or TableEpoch(clock)
        self.ledger = UsageLedger()
        self.platform = platform
        self.clock = clock
        self.timing = timing
        self.report_timeout_s = report_timeout_s
        # Windows follow the time of day that all processes agree on. Whether the lease
        # is held is checked by the clocks that it was acquired by, which show a
        # suspension of the process.
        self.true_time = true_time or clock
        self.watched_rows: dict[str, WatchedRow] = {}
        self.table_recovered_at = 0.0
        self.freeze_from = 0.0
        self.table_unreachable = False
        self.wait_s = 0.0
        self.report_pending = True
        self.unreported: dict[int, DueReport] = {}
        self.last_reported: LastReported | None = None
        self.predecessor_settled = False
        # The window whose report waits until calls of earlier holders have arrived.
        self.waiting_report: DueReport | None = None
        self.answered_start: int | None = None
        self.answered_fence: int | None = None
        self.late_windows = Counter(
            "godwit_usage_late_windows",
            "Windows that hold usage of earlier ones.",
            registry=registry,
        )
        self.held_back = Counter(
            "godwit_usage_held_back_windows",
            "Windows that are not reported, as a process that is gone may have done it.",
            registry=registry,
        )
        self.lag = Gauge(
            "godwit_usage_report_lag_seconds",
            "From the end of the last reported window to its report.",
            registry=registry,
        )

    async def run(self, guard: Guard) -> None:
        """Freeze the windows that are due, and report the frozen ones.

        A new holder at first seals no entry's row, as after an outage: the lease may
        have expired in one, and entries are writing what they buffered during it.
        """
        self.watched_rows.clear()
        self.unreported.clear()
        self.last_reported = None
        self.predecessor_settled = False
        self.waiting_report = None
        # The duty may have been cancelled and begun again under the same token.
        if guard.held_lease is None or guard.held_lease.fence != self.answered_fence:
            self.answered_start = None
        self.report_pending = True
        self.table_recovered_at = self.clock.now()
        if not guard.reclaimed:
            self.ledger.complete = False
        if self.ledger.head is None:
            wall, width = self.true_time.wall(), self.timing.window_s
            await run_steps(self.platform, create_head(guard.checks, wall, width))
        watch_at = 0.0
        while True:
            if await self.freeze(guard):
                await self.report(guard)
            now = self.clock.now()
            if now >= watch_at:
                watch_at = now + self.watch_s
                await self.watch_rows(guard)
            await anyio.sleep(self.next_wait())

    def next_wait(self) -> float:
        """Return the seconds to sleep: until a window is due, less if work is pending."""
        check_s = min(CHECK_INTERVAL_S, self.watch_s)
        if self.table_unreachable or self.report_pending:
            return check_s
        return max(MIN_WAIT_S, min(self.wait_s, self.watch_s))

    @property
    def watch_s(self) -> float:
        """Return the seconds between reads of the entries' rows, for their loads."""
        return self.timing.window_s / 4

    async def freeze(self, guard: Guard) -> bool:
        """Freeze every window that is due; return whether the table answered.

        Just after a restore, rows of entries may be missing that they create again.
        """
        while True:
            if self.clock.now() < self.freeze_from:
                self.wait_s = self.freeze_from - self.clock.now()
                return True
            since_recovery_s = self.clock.now() - self.table_recovered_at
            steps = freeze_next(
                guard.checks,
                self.true_time.wall(),
                self.timing,
                may_seal=since_recovery_s >= self.timing.recovery_s,
                may_create=self.ledger.head is None,
                restored_at=self.restored_at() if self.epoch.restored else -math.inf,
            )
            match await run_steps(self.platform, steps):
                case Frozen() as frozen:
                    self.record_frozen(frozen)
                case NotDue(wait_s, head):
                    if head is not None:
                        self.ledger.record_head(head)
                    self.record_table_contact(True)
                    self.wait_s = wait_s
                    return True
                case HeadOutdated():
                    if not await self.restore(guard):
                        self.record_table_contact(False)
                        return False
                case _:
                    # The window may be frozen all the same, unknown to this process.
                    self.report_pending = True
                    self.record_table_contact(False)
                    return False

    async def restore(self, guard: Guard) -> bool:
        """Write again what a restore of the table has lost; return whether that is done."""
        if not self.epoch.known:
            return False
        steps = restore_windows(
            guard.checks, self.ledger, self.timing.window_s, self.restored_at()
        )
        restored = await run_steps(self.platform, steps)
        if restored is None:
            return False
        self.unreported.clear()
        self.last_reported = None
        self.waiting_report = None
        self.report_pending = True
        # Entries write their rows again, as after an outage.
        self.table_recovered_at = self.clock.now()
        self.freeze_from = self.table_recovered_at + self.timing.recovery_s
        self.held_back.inc(len(restored.held_back))
        steps_of_rows = restore_ended_rows(guard.checks, self.ledger)
        runs = await run_steps(self.platform, steps_of_rows)
        log_event(
            "usage_restored",
            level="WARNING",
            complete=self.ledger.complete,
            ended_runs=len(runs),
            **restored._asdict(),
        )
        return True

    def restored_at(self) -> float:
        """Return a time of day that is not before the table was restored."""
        since_s = self.clock.now() - self.epoch.known_since
        return self.true_time.wall() - since_s

    def record_frozen(self, frozen: Frozen) -> None:
        """Keep a window until it is reported, in case the table becomes unreachable."""
        for run in frozen.sealed_runs:
            log_event("usage_sealed", level="WARNING", run=run)
        start, late = frozen.start, frozen.late
        log_event("usage_frozen", window=start, runs=frozen.runs, late=late)
        self.late_windows.inc(int(late))
        if frozen.head is not None:
            self.ledger.record_head(frozen.head)
        if frozen.window is not None:
            self.ledger.record_window(frozen.window, frozen.digest)
            self.unreported[start] = DueReport(frozen.window, frozen.digest, 0)
        self.report_pending = True
        self.record_table_contact(True)

    def loads(self) -> list[dict[str, Any]]:
        """Return the last reported load of each running entry; empty if unknown."""
        rows = latest_runs((w.row, w.version) for w in self.watched_rows.values())
        return [row.load for row in rows if not row.ended]

    def record_table_contact(self, answered: bool) -> None:
        if answered and self.table_unreachable:
            self.table_recovered_at = self.clock.now()
        self.table_unreachable = not answered

    async def report(self, guard: Guard) -> None:
        """Send every frozen window that the intake has not confirmed, oldest first."""
        while self.report_pending:
            due: DueReport | Failure | None = (
                self.waiting_report or self.next_unreported()
            )
            if due is None:
                due = await run_steps(self.platform, next_report(self.timing.window_s))
                self.observe_first_report(guard, due)
            if not isinstance(due, DueReport):
                # None means that all windows are reported; a failure is retried.
                self.report_pending = due is not None
                return
            # A report that was answered is not sent again if its mark was not written: the
            # mark may be written late, and then tells nothing of a second report.
            is_answered = due.window.start == self.answered_start
            if not is_answered and not await self.send(guard, due):
                return
            self.unreported.pop(due.window.start, None)
            self.ledger.record_reported(due.window.start)
            settled = guard.calls_settled(self.clock.now())
            mark = mark_reported(guard.checks, due, settled)
            version = await run_steps(self.platform, mark)
            if version is None:
                self.last_reported = None
                return
            self.last_reported = LastReported(due.window.start, version)
            self.report_pending = bool(self.unreported)
            self.lag.set(self.true_time.wall() - due.window.end)

    def observe_first_report(
        self, guard: Guard, due: DueReport | Failure | None
    ) -> None:
        """Learn from the first window to report whether the last holder left a report.

        It marked each window that it froze after the answer to its report. So if the
        first one that is not marked was frozen by this process, none is on the way,
        unless the mark tells of an earlier report without an answer, or the table was
        restored since the lease was taken.
        """
        lease = guard.held_lease
        if lease is None or lease.epoch != self.epoch.current:
            return
        if isinstance(due, DueReport) and due.window.start in self.unreported:
            self.predecessor_settled = due.marked_settled

    def next_unreported(self) -> DueReport | None:
        """Return the window after the last reported one, if this process froze it.

        It can be reported without reading the table, which would cost three calls and
        may have become unreachable since.
        """
        if self.last_reported is None:
            return None
        due = self.unreported.get(self.last_reported.start + self.timing.window_s)
        return (
            due._replace(reported_version=self.last_reported.version) if due else None
        )

    async def send(self, guard: Guard, due: DueReport) -> bool:
        """Send one window's frozen figures; return whether the intake accepted them."""
        self.ledger.record_window(due.window, due.digest)
        call = DutyCall.begin(guard, self.clock, self.predecessor_settled)
        # A report that must wait is kept, so that no check reads the table again.
        self.waiting_report = due if call is None else None
        if call is None:
            return False
        error: str | None = "cancelled"
        try:
            error = await self.send_call(due, call)
        finally:
            log_event(
                "usage_report_failed" if error else "usage_reported",
                level="WARNING" if error else "INFO",
                window=due.window.start,
                digest=due.digest[:12],
                requests=sum(requests for _, _, _, requests, *_ in due.window.figures),
                error=error,
                **call.log_fields(),
            )
        if not error:
            self.answered_start, self.answered_fence = due.window.start, call.fence
        return not error

    async def send_call(self, due: DueReport, call: DutyCall) -> str | None:
        """Send one window's figures; return the error, None if they were accepted."""
        report = {**due.window._asdict(), "digest": due.digest, "fence": call.fence}
        try:
            with call.settling(), anyio.fail_after(self.report_timeout_s):
                await self.platform.report_usage(report, call.before_write)
        except (PlatformError, TimeoutError) as error:
            return repr(error)
        return None

    async def watch_rows(self, guard: Guard) -> None:
        """Read the entries' rows for their loads, and remove those of ended runs.

        A row's age counts by this process's clock, from when the row was first read
        with its current version. While the table is unreachable nothing is known of
        the entries, so all ages start again after it.
        """
        found = await run_steps(self.platform, scan_nodes())
        if found is None or self.table_unreachable:
            self.watched_rows.clear()
            return
        now = self.clock.now()
        rows = {
            key: WatchedRow(load_node(r.value), r.version, now)
            for key, r in found.rows.items()
        }
        for key, seen in rows.items():
            old = self.watched_rows.get(key)
            if old is not None and old.version == seen.version:
                seen.since = old.since
        self.watched_rows = rows
        self.ledger.record_rows({key: seen.row for key, seen in rows.items()})
        for seen in list(rows.values()):
            unchanged_s = now - seen.since
            if seen.row.ended and unchanged_s >= self.timing.keep_s:
                await run_steps(
                    self.platform, remove_row(guard.checks, seen.row, seen.version)
                )


def scan_nodes() -> Steps[Rows | None]:
    """Return the rows of all entries, or None if the table does not answer."""
    found = yield Scan(NODE_PREFIX)
    return found if isinstance(found, Rows) else None
