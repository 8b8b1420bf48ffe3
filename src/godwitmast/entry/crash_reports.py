"""What entries without links between them observe of crashing requests, as table rows.

Entries that are linked gossip the same updates (`entry.gossip`), and announce where
suspects run besides; through a table that would be too late and cost a write for each.
"""

import random
import secrets
from collections.abc import Iterable, Mapping
from typing import NamedTuple

import anyio
import msgspec
from anyio.abc import TaskGroup

from godwitmast.background import BackgroundTasks
from godwitmast.decoding import convert, decode_json
from godwitmast.dispatch.messages import (
    Clearance,
    Placement,
    PoisonUpdate,
    Quarantine,
    Suspicion,
)
from godwitmast.dispatch.poison import QUARANTINE_S, SUSPICION_S, advance_ages
from godwitmast.entry.driver import RouterDriver
from godwitmast.errors import PlatformError, PlatformUnavailable, Undecodable
from godwitmast.logs import log_event
from godwitmast.platform_api.messages import Written
from godwitmast.platform_api.port import Table
from godwitmast.platform_api.time_agreement import AgreedClock
from godwitmast.types import Json

CRASH_PREFIX = "crash/"
"""Start of the keys of all reports. All entries follow these rows."""

GATHER_S = 0.2
"""By then a crash is confirmed (`router.CRASH_CONFIRM_S`), and one row holds what an entry
observed of it."""

MAX_PROBES_S = 1.5
"""Longest wait for probes: the pause before a round, and two time-outs in it. A request
that crashes servers all the time keeps starting rounds."""

PROBES_CHECK_S = 0.05

RETRY_S = 0.5
"""Mean pause after a failed write, with 50 % jitter."""

MAX_ROW_UPDATES = 200
"""Updates in a row, each of which takes some hundred bytes of the 64 KB."""

MAX_REMOVED_ROWS = 50
"""Expired rows that one write removes, of the hundred entries of a transaction."""

MAX_RESTORED_ROWS = 50
"""Latest own rows that are written again after a restore, in one transaction."""

KINDS: dict[str, type[Suspicion] | type[Quarantine] | type[Clearance]] = {
    "suspicion": Suspicion,
    "quarantine": Quarantine,
    "clearance": Clearance,
}


class Observation(NamedTuple):
    """An update, and when it was made by the platform's clock."""

    update: Suspicion | Quarantine | Clearance
    at: float


class Report(msgspec.Struct):
    """A row: updates with their kinds, when they were made, and when all are outdated.

    Times are by the platform's clock, the only one that all entries can tell.
    """

    updates: list[tuple[str, float, Json]]
    expires_at: float


class CrashReports:
    """Writes this entry's updates on crashing requests, and applies those of others."""

    def __init__(
        self, driver: RouterDriver, table: Table, clock: AgreedClock, node: str
    ) -> None:
        self.driver = driver
        self.table = table
        self.clock = clock
        self.own_prefix = f"{CRASH_PREFIX}{node}/{secrets.token_hex(4)}/"
        self.written = 0
        self.pending: dict[tuple[str, str], Observation] = {}
        self.rows: Mapping[str, bytes] = {}
        self.applied: set[str] = set()
        self.expiry: dict[str, float] = {}
        self.own_rows: dict[str, Report] = {}
        self.restored = anyio.Event()
        self.background = BackgroundTasks(self.run, self.run_restores)

    async def start(self, tasks: TaskGroup) -> None:
        await self.background.start(tasks)

    async def close(self) -> None:
        await self.background.close()

    async def run(self) -> None:
        """Write what this entry observes, until it is written or outdated."""
        while True:
            await self.driver.wait_for_poison_updates()
            await anyio.sleep(GATHER_S)
            await self.wait_for_probes()
            self.collect()
            while self.pending:
                try:
                    await self.write()
                except PlatformError as error:
                    log_event("crash_report_not_written", error=str(error))
                    await anyio.sleep(random.uniform(0.5, 1.5) * RETRY_S)
                self.collect()

    async def wait_for_probes(self) -> None:
        """Wait until probes tell crashes from lost links of this VM, if that is open."""
        with anyio.move_on_after(MAX_PROBES_S):
            while self.driver.connectivity.is_undecided():
                await anyio.sleep(PROBES_CHECK_S)

    def collect(self) -> None:
        """Take the router's updates; of several on one request the last one counts."""
        router = self.driver.router
        if self.clock.updated_at is None or router is None:
            return
        now, router_now = self.clock.store_now(), self.driver.clock.now()
        for popped in self.driver.pop_poison_updates():
            update = router.refresh_poison_update(popped, router_now)
            if update is None or isinstance(update, Placement):
                continue
            kind = type(update).__name__.lower()
            self.pending[kind, update.fingerprint] = Observation(update, now)
        self.pending = {
            key: item for key, item in self.pending.items() if expiry_of(item) > now
        }

    async def write(self) -> None:
        """Write the oldest updates as a row, and remove rows that are outdated."""
        sent = dict(list(self.pending.items())[:MAX_ROW_UPDATES])
        report = Report(
            [
                (kind, item.at, msgspec.to_builtins(item.update))
                for (kind, _), item in sent.items()
            ],
            max(expiry_of(item) for item in sent.values()),
        )
        key = f"{self.own_prefix}{self.written}"
        outdated = self.outdated_rows(self.clock.store_now())
        writes: dict[str, Json] = {key: msgspec.to_builtins(report)}
        writes.update(dict.fromkeys(outdated))
        # A write whose answer is lost may have taken effect, and VMs apply a row once.
        # The next one, which may hold more, has another key.
        self.written += 1
        await self.write_rows(writes)
        self.own_rows[key] = report
        self.drop_outdated_own(self.clock.store_now())
        for name, item in sent.items():
            if self.pending.get(name) == item:
                del self.pending[name]
        for row in outdated:
            self.expiry.pop(row, None)

    async def write_rows(self, writes: dict[str, Json]) -> None:
        """Write or remove rows; raise PlatformUnavailable if the table refused it.

        It does if a restore was recorded of which this entry didn't know yet.
        """
        if not isinstance(await self.table.transact({}, writes), Written):
            raise PlatformUnavailable("refused, as the table was restored")

    def drop_outdated_own(self, now: float) -> None:
        self.own_rows = {
            key: report
            for key, report in self.own_rows.items()
            if report.expires_at > now
        }

    def table_restored(self) -> None:
        """Write this entry's rows again, as the table was restored without the latest."""
        self.restored.set()

    async def run_restores(self) -> None:
        while True:
            await self.restored.wait()
            self.restored = anyio.Event()
            self.drop_outdated_own(self.clock.store_now())
            await self.write_again(list(self.own_rows)[-MAX_RESTORED_ROWS:])

    async def write_again(self, keys: list[str]) -> None:
        writes = {key: msgspec.to_builtins(self.own_rows[key]) for key in keys}
        while writes:
            try:
                await self.write_rows(writes)
            except PlatformError as error:
                log_event("crash_report_not_written", error=str(error))
                await anyio.sleep(random.uniform(0.5, 1.5) * RETRY_S)
            else:
                log_event("crash_reports_written_again", rows=len(writes))
                return

    def outdated_rows(self, now: float) -> list[str]:
        outdated = [key for key, expires_at in self.expiry.items() if expires_at < now]
        return outdated[:MAX_REMOVED_ROWS]

    def apply_rows(self, rows: Mapping[str, bytes]) -> None:
        """Apply the rows of the table that are new here."""
        self.rows = rows
        self.applied &= rows.keys() | self.own_rows.keys()
        self.expiry = {key: at for key, at in self.expiry.items() if key in rows}
        self.apply_new()

    def apply_new(self) -> None:
        """Apply what is not applied yet, once there is a router that can."""
        if self.driver.router is None or self.clock.updated_at is None:
            return
        now = self.clock.store_now()
        updates: list[PoisonUpdate] = []
        for key in self.rows.keys() - self.applied:
            self.applied.add(key)
            report = read_report(key, self.rows[key])
            if report is None:
                self.expiry[key] = now
                continue
            self.expiry[key] = report.expires_at
            if not key.startswith(self.own_prefix):
                updates += read_updates(report, now)
        if updates:
            self.driver.apply_poison_updates(updates)


def expiry_of(item: Observation) -> float:
    """Return when an update is outdated, by the platform's clock."""
    match item.update:
        case Quarantine(_, left_s):
            return item.at + min(left_s, QUARANTINE_S)
        case _:
            return item.at + SUSPICION_S


def read_report(key: str, content: bytes) -> Report | None:
    """Return a row's report, or None if the row cannot be read."""
    try:
        return decode_json(content, Report)
    except Undecodable as error:
        log_event("crash_report_bad", level="WARNING", row=key, error=str(error))
        return None


def read_updates(report: Report, now: float) -> Iterable[PoisonUpdate]:
    """Return a report's updates with their ages as of now; others' kinds are skipped."""
    for kind, at, value in report.updates:
        try:
            update: PoisonUpdate = convert(value, KINDS[kind])
        except (KeyError, Undecodable) as error:
            log_event("crash_report_bad", level="WARNING", error=repr(error))
            continue
        yield advance_ages(update, max(0.0, now - at))
