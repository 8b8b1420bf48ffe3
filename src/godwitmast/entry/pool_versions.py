"""The software versions that served each pool lately, which all VMs record in the table.

A stream can only go on at the version that began it. A VM that has just started lists the
servers of now; which versions may have begun the open streams is told by the pool's row.
A pool whose past is not known counts as one of several versions.
"""

import math
import random
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple, TypedDict

import anyio
import xxhash
from anyio.abc import TaskGroup

from godwitmast.background import BackgroundTasks
from godwitmast.decoding import convert
from godwitmast.errors import PlatformError, Undecodable
from godwitmast.logs import RowLog, log_event
from godwitmast.platform_api.messages import Conflict, Row, Written
from godwitmast.platform_api.port import Table
from godwitmast.platform_api.time_agreement import AgreedClock
from godwitmast.types import Json, PoolName
from godwitmast.usage.rows import NODE_PREFIX

POOL_PREFIX = "versions/"
"""Start of the keys of all rows, one for each pool."""

MIXED_S = 120.0
"""How long a version counts after its last server was listed: longer than any stream
lasts."""

RETRY_S = 0.5
CONFLICT_WAIT_S = (0.02, 0.1)

SPREAD_PER_VM_S = 0.02
MAX_SPREAD_S = 1.0
"""VMs that list a new version at the same time look at the row one after the other, so
that few of them write it."""

MAX_ROWS = 30
"""Rows that one transaction checks and writes, of the hundred entries it may have."""


class PoolHistory(NamedTuple):
    """A pool's row; times are of the table's clock.

    `versions` holds when the last server of each version was gone, None while it is
    listed. Streams that began before `since` may be of other versions; None if the row
    covers all.
    """

    versions: dict[str, float | None]
    since: float | None = None


class StoredHistory(TypedDict):
    """A `PoolHistory` as its row has it."""

    versions: dict[str, float | None]
    since: float | None


class PoolVersions:
    """Records which versions serve each pool, and knows which ones did."""

    def __init__(
        self,
        clock: AgreedClock,
        table: Table,
        vm_count: Callable[[], int],
        may_lack_rows: Callable[[], bool],
        first_start: bool,
        own_key: Callable[[], str],
    ) -> None:
        self.clock = clock
        self.table = table
        self.vm_count = vm_count
        self.may_lack_rows = may_lack_rows
        self.first_start = first_start
        self.own_key = own_key
        """Returns the key of this VM's own row of usage."""
        self.listed: dict[PoolName, frozenset[str]] = {}
        self.counted_until: dict[PoolName, dict[str, float]] = {}
        self.known_from: dict[PoolName, float] = {}
        """From when on the past of a pool is known, by this VM's clock."""
        self.gaps = 0
        self.gaps_covered = 0
        """Gaps in what was heard of the servers, and those before the rows were read."""
        self.row_log = RowLog("pool_versions_bad")
        self.changed = anyio.Event()
        self.background = BackgroundTasks(self.run)

    async def start(self, tasks: TaskGroup) -> None:
        await self.background.start(tasks)

    async def close(self) -> None:
        await self.background.close()

    def update(self, listed: dict[PoolName, frozenset[str]]) -> None:
        """Record the versions of the listed servers."""
        # A pool without any server tells nothing of its versions.
        current = self.listed | listed
        if current != self.listed:
            self.record_listed()
            self.listed = current
            self.changed.set()
        self.record_listed()

    def record_replaced(self, pool: PoolName, version: str) -> None:
        """Record a version whose row was replaced before it was listed here."""
        until = self.clock.now() + MIXED_S
        self.counted_until.setdefault(pool, {})[version] = until

    def record_gap(self) -> None:
        """Read the rows again, as versions may have come and gone unheard."""
        self.gaps += 1
        self.changed.set()

    def record_listed(self) -> None:
        """Extend the time for which the versions of listed servers count."""
        until = self.clock.now() + MIXED_S
        for pool, versions in self.listed.items():
            self.counted_until.setdefault(pool, {}).update(
                dict.fromkeys(versions, until)
            )

    def versions(self, pool: PoolName) -> set[str]:
        """Return the known versions that may have begun a pool's open streams."""
        self.record_listed()
        now = self.clock.now()
        counted = self.counted_until.get(pool, {})
        return {version for version, until in counted.items() if until > now}

    def is_known(self, pool: PoolName) -> bool:
        """Return whether no other version may have begun a pool's open streams."""
        if self.gaps_covered < self.gaps:
            return False
        return self.clock.now() >= self.known_from.get(pool, math.inf)

    def is_mixed(self, pool: PoolName) -> bool:
        """Return whether several versions serve a pool, or may have a while ago."""
        return not self.is_known(pool) or len(self.versions(pool)) > 1

    def only_version(self, pool: PoolName) -> str | None:
        """Return the version of all open streams of a pool; None if they may differ."""
        versions = self.versions(pool)
        return min(versions) if self.is_known(pool) and len(versions) == 1 else None

    def table_restored(self) -> None:
        """Write the rows again, as the table was restored without the latest."""
        self.changed.set()

    async def run(self) -> None:
        """Read the rows, and write what they lack, after each change of the list."""
        while True:
            await self.changed.wait()
            self.changed = anyio.Event()
            spread_s = min(MAX_SPREAD_S, SPREAD_PER_VM_S * self.vm_count())
            if self.known_from and self.gaps_covered == self.gaps:
                await anyio.sleep(random.uniform(0, spread_s))
            while not await self.synchronise():
                await anyio.sleep(random.uniform(0.5, 1.5) * RETRY_S)

    async def synchronise(self) -> bool:
        """Learn from the rows, and write those that lack something; return whether the
        table holds all that is known here."""
        try:
            # Another VM that was first has mostly written the same.
            while not await self.learn_and_write():
                await anyio.sleep(random.uniform(*CONFLICT_WAIT_S))
        except PlatformError as error:
            log_event("pool_versions_not_stored", level="WARNING", error=str(error))
            return False
        return True

    async def learn_and_write(self) -> bool:
        """Return whether the rows held, or hold now, all that is known here."""
        listed = dict(self.listed)
        gaps = self.gaps
        rows = await self.table.scan(POOL_PREFIX)
        others_ran = self.is_row_missing(rows, listed) and await self.others_ran()
        histories = {
            pool_key(pool): new
            for pool, versions in listed.items()
            if (new := self.merge(pool, versions, rows, others_ran)) is not None
        }
        self.gaps_covered = gaps
        return await self.write(rows, histories)

    def is_row_missing(
        self, rows: Mapping[str, Row], pools: Iterable[PoolName]
    ) -> bool:
        return any(pool_key(pool) not in rows for pool in pools)

    async def others_ran(self) -> bool:
        """Return whether VMs were there that may have begun streams without a row."""
        if self.may_lack_rows():
            return True
        if self.first_start:
            return False
        return bool((await self.table.scan(NODE_PREFIX)).keys() - {self.own_key()})

    def merge(
        self,
        pool: PoolName,
        listed: frozenset[str],
        rows: Mapping[str, Row],
        others_ran: bool,
    ) -> PoolHistory | None:
        """Learn from a pool's row; return the one to write, None if it is up to date."""
        now, at = self.clock.store_now(), self.clock.now()
        row = rows.get(pool_key(pool))
        stored = read_history(pool_key(pool), row, self.row_log)
        history = stored
        if history is None:
            is_new = row is None and not others_ran
            history = PoolHistory({}, None if is_new else now)
        counted = self.counted_until.setdefault(pool, {})
        for version, gone_at in history.versions.items():
            age_s = 0.0 if gone_at is None else max(0.0, now - gone_at)
            counted[version] = max(counted.get(version, 0.0), at + MIXED_S - age_s)
        if history.since is None:
            self.known_from[pool] = -math.inf
        elif pool not in self.known_from:
            self.known_from[pool] = at + MIXED_S - max(0.0, now - history.since)
        versions = {
            version: now if gone_at is None else gone_at
            for version, gone_at in history.versions.items()
            if gone_at is None or now < gone_at + MIXED_S
        }
        # After a restore, the row may lack versions that are gone but still count.
        missing = {
            version: now - (at + MIXED_S - until)
            for version, until in counted.items()
            if version not in history.versions and at < until
        }
        new = history._replace(versions=missing | versions | dict.fromkeys(listed))
        return None if new.versions == history.versions and stored else new

    async def write(
        self, rows: Mapping[str, Row], histories: dict[str, PoolHistory]
    ) -> bool:
        """Write rows in place of those that were read; return whether all were written."""
        keys = list(histories)
        for first in range(0, len(keys), MAX_ROWS):
            part = keys[first : first + MAX_ROWS]
            checks = {key: rows[key].version if key in rows else 0 for key in part}
            writes: dict[str, Json] = {key: histories[key]._asdict() for key in part}
            outcome = await self.table.transact(checks, writes)
            match outcome:
                case Conflict():
                    return False
                case Written():
                    log_event("pool_versions_stored", rows=len(part))
        return True


def read_history(key: str, row: Row | None, log: RowLog) -> PoolHistory | None:
    """Return what a row holds, None without one or if it cannot be read."""
    if row is None:
        return None
    try:
        fields = convert(row.value, StoredHistory)
        return PoolHistory(fields["versions"], fields["since"])
    except Undecodable as error:
        log.record(key, row.version, error)
        return None


def pool_key(pool: PoolName) -> str:
    """Return the key of a pool's row; the pool's name may be long."""
    return POOL_PREFIX + xxhash.xxh3_128_hexdigest(pool.encode())
