"""The software version of the server that began each stream, for callers that take their
streams up again, at this VM or at another one.

Servers of several versions may serve side by side, and a stream can only go on at the
version that began it. A caller names the attempt that brought the first event. While a
pool has several versions (see `pool_versions`), the VM that began a stream writes its
version to the platform's table, where any VM finds it though that one has ended. That a
pool has one version holds only for what was heard of its servers: a VM may have stood
still, or its relay or the platform. So the platform confirms the list of servers first,
after the caller has asked. A VM that cannot learn the version refuses the request as not
run.
"""

import math
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass
from typing import NamedTuple

import anyio
import xxhash
from anyio.abc import TaskGroup
from prometheus_client import CollectorRegistry, Counter

from godwitmast.background import BackgroundTasks
from godwitmast.clock import Clock
from godwitmast.dispatch.messages import UNKNOWN_VERSION
from godwitmast.entry.pool_versions import PoolVersions
from godwitmast.errors import PlatformError
from godwitmast.logs import log_event
from godwitmast.loop_time import fail_after_loop_time
from godwitmast.platform_api.confirmation import Confirmation
from godwitmast.platform_api.messages import Written
from godwitmast.platform_api.port import Table
from godwitmast.types import BackendId, Json, PoolName

STREAM_PREFIX = "stream/"
"""Start of the keys of all rows."""

KEEP_S = 60.0
"""How long a stream's version is kept after it began."""

WRITE_INTERVAL_S = 0.2
"""Streams that began within this time are written together. Those of a VM that ends
before are lost."""

MAX_ROWS = 30
"""Rows that one write checks and adds, and as many that it removes, of the hundred entries
of a transaction."""

MAX_KNOWN = 20_000

ROW_LAG_S = 5.0
"""How long after its start the row of a server may still be that of the start before."""

FIND_S = 0.8
FIND_INTERVAL_S = 0.3
"""For how long, and how often, a stream's row is looked for. One that has just begun at
another VM is written by then."""

OWN_CONFIRM_S = 0.4
"""For how long a stream that began here waits for the list to be confirmed: a call and
the time until it may be made, with a store that is slow."""


class StreamIdentity(NamedTuple):
    """A caller's attempt at a stream, and the attempt that began it, if it takes one up."""

    attempt_id: str
    resumes: str | None = None


class KnownStream(NamedTuple):
    """The version of a stream, and the server and the time at which it began."""

    version: str
    backend_id: BackendId
    began_at: float
    pool: PoolName


class ListedServer(NamedTuple):
    """What versions depend on of a server in the list."""

    pools: frozenset[str]
    version: str
    incarnation: int


class FoundVersion(NamedTuple):
    """The version of a stream, and where it was found."""

    version: str
    source: str


@dataclass
class ListCheck:
    """Whether the list of servers was confirmed after a caller's request."""

    confirmed: bool = False
    took_s: float = 0.0


class StreamVersions:
    """Records the versions of streams that begin here, and finds those of others."""

    def __init__(
        self,
        clock: Clock,
        table: Table,
        reader: Table,
        pools: PoolVersions,
        registry: CollectorRegistry,
        confirmation: Confirmation | None = None,
    ) -> None:
        self.clock = clock
        self.confirmation = confirmation
        """Without one, nothing confirms that a pool has one version only."""
        self.pools = pools
        self.table = table
        self.reader = reader
        self.servers: dict[BackendId, ListedServer] = {}
        self.known: dict[str, KnownStream] = {}
        self.pending: dict[str, str] = {}
        self.written: dict[str, float] = {}
        self.row_versions: dict[str, int] = {}
        """Versions of the rows in the table, where they are known; else there is none."""
        self.changed = anyio.Event()
        self.background = BackgroundTasks(self.run)
        self.lookups = Counter(
            "godwit_stream_version_lookups_total",
            "Streams that callers take up, by where their version was found.",
            ["source"],
            registry=registry,
        )

    async def start(self, tasks: TaskGroup) -> None:
        if self.confirmation is not None:
            await self.confirmation.start(tasks)
        await self.background.start(tasks)

    async def close(self) -> None:
        if self.confirmation is not None:
            await self.confirmation.close()
        await self.background.close()

    def update_servers(self, servers: dict[BackendId, ListedServer]) -> None:
        """Record the listed servers; streams of one that started again are in doubt."""
        for backend_id, server in servers.items():
            last = self.servers.get(backend_id)
            if last is not None and last.incarnation != server.incarnation:
                self.doubt_recent(backend_id)
        self.servers = servers
        mixed_before = self.mixed_pools()
        listed: dict[PoolName, set[str]] = {}
        for server in servers.values():
            for pool in server.pools:
                listed.setdefault(PoolName(pool), set()).add(server.version)
        self.pools.update({pool: frozenset(found) for pool, found in listed.items()})
        self.write_open(self.mixed_pools() - mixed_before)

    def record_replaced(self, servers: Iterable[ListedServer]) -> None:
        """Record what servers were before rows that arrived together with theirs."""
        mixed_before = self.mixed_pools()
        for server in servers:
            for pool in server.pools:
                self.pools.record_replaced(PoolName(pool), server.version)
        self.write_open(self.mixed_pools() - mixed_before)

    @property
    def list_confirmed_at(self) -> float:
        """Return the time up to which the list has all changes."""
        return self.confirmation.confirmed_at if self.confirmation else -math.inf

    def mixed_pools(self) -> set[PoolName]:
        return {pool for pool in self.pools.listed if self.pools.is_mixed(pool)}

    def write_open(self, pools: set[PoolName]) -> None:
        """Write the streams that began in pools before these had several versions."""
        oldest = self.clock.now() - KEEP_S
        for key, stream in self.known.items():
            if stream.pool in pools and stream.began_at > oldest:
                self.pending[key] = stream.version
                self.changed.set()

    def doubt_recent(self, backend_id: BackendId) -> None:
        """Make streams unknown that either of two starts of a server may have begun.

        The server may have started again at any time since the list was confirmed.
        """
        now = self.clock.now()
        oldest = min(now, self.list_confirmed_at) - ROW_LAG_S
        for key, stream in self.known.items():
            if stream.backend_id == backend_id and stream.began_at > oldest:
                self.known[key] = stream._replace(version=UNKNOWN_VERSION)
                self.pending[key] = UNKNOWN_VERSION
                self.changed.set()

    def record_begin(
        self, team: str, attempt_id: str, pool: PoolName, backend_id: BackendId
    ) -> None:
        """Record that a server began a stream for an attempt of a caller."""
        server = self.servers.get(backend_id)
        if server is None:
            log_event("stream_begun_unlisted", backend=backend_id, attempt=attempt_id)
            return
        now = self.clock.now()
        key = stream_key(team, attempt_id)
        stream = KnownStream(server.version, backend_id, now, pool)
        self.record(key, stream)

    def record_resumed(
        self, team: str, attempt_id: str, pool: PoolName, version: str
    ) -> None:
        """Record the version of a stream that a caller took up."""
        key = stream_key(team, attempt_id)
        stream = KnownStream(version, BackendId(""), self.clock.now(), pool)
        self.record(key, stream)

    def record(self, key: str, stream: KnownStream) -> None:
        self.known.pop(key, None)
        self.known[key] = stream
        while len(self.known) > MAX_KNOWN:
            del self.known[next(iter(self.known))]
        if self.pools.is_mixed(stream.pool):
            self.pending[key] = stream.version
            self.changed.set()

    async def find(self, team: str, attempt_id: str, pool: PoolName) -> str | None:
        """Return the version of the stream that an attempt began, None if unknown."""
        key = stream_key(team, attempt_id)
        check = ListCheck()
        found: FoundVersion | None = None
        with suppress(TimeoutError), fail_after_loop_time(FIND_S):
            while (found := await self.look_up(key, pool, check)) is None:
                await anyio.sleep(FIND_INTERVAL_S)
        self.lookups.labels(found.source if found else "unknown").inc()
        age_s = self.clock.now() - self.list_confirmed_at
        log_event(
            "stream_taken_up",
            attempt=attempt_id,
            source=found.source if found else "unknown",
            version=found.version if found else None,
            list_age_s=round(age_s, 3),
            confirmed=check.confirmed,
            confirm_s=round(check.took_s, 3),
        )
        if found is not None:
            return found.version
        log_event(
            "stream_version_unknown",
            attempt=attempt_id,
            team=team,
            versions=",".join(sorted(self.pools.versions(pool))),
            past_known=self.pools.is_known(pool),
        )
        return None

    async def look_up(
        self, key: str, pool: PoolName, check: ListCheck
    ) -> FoundVersion | None:
        """Return the version of a stream that is known here, or to the table."""
        if key in self.known:
            await self.confirm_overdue_list(check)
        if key in self.known:
            return FoundVersion(self.known[key].version, "own")
        # The list tells of one version only, or at which servers a version goes on.
        if not await self.confirm_list(check):
            return None
        only = self.pools.only_version(pool)
        if only is not None:
            return FoundVersion(only, "only")
        version = await self.read(key)
        return FoundVersion(version, "table") if version is not None else None

    async def confirm_overdue_list(self, check: ListCheck) -> None:
        """Try to have a list confirmed that should have been confirmed long ago.

        A stream that began here goes on also where that fails: only servers that started
        again under their ids with another version make a difference to it.
        """
        if self.confirmation is not None and self.confirmation.is_overdue:
            with suppress(TimeoutError), fail_after_loop_time(OWN_CONFIRM_S):
                await self.confirm_list(check)

    async def confirm_list(self, check: ListCheck) -> bool:
        """Have the platform confirm the list of servers, once for each request."""
        if check.confirmed or self.confirmation is None:
            return check.confirmed
        began_at = self.clock.now()
        try:
            check.confirmed = await self.confirmation.up_to_now()
        finally:
            check.took_s += self.clock.now() - began_at
        return check.confirmed

    async def read(self, key: str) -> str | None:
        """Return the version in a stream's row, None without one."""
        try:
            rows = await self.reader.read([key])
        except PlatformError as error:
            log_event("stream_version_not_read", level="WARNING", error=str(error))
            return None
        match rows.get(key):
            case row if row is not None and isinstance(row.value, str):
                return row.value
        return None

    async def run(self) -> None:
        """Write the streams that began, and remove old ones."""
        while True:
            with anyio.move_on_after(KEEP_S if self.written else math.inf):
                await self.changed.wait()
            self.changed = anyio.Event()
            await anyio.sleep(WRITE_INTERVAL_S)
            while self.pending or self.outdated():
                await self.write()
                await anyio.sleep(WRITE_INTERVAL_S)

    def table_restored(self) -> None:
        """Write the latest streams again, as the table was restored without them."""
        for key in self.written:
            if key in self.known:
                self.pending[key] = self.known[key].version
        self.changed.set()

    def outdated(self) -> list[str]:
        """Return written streams that began too long ago to be taken up."""
        oldest = self.clock.now() - KEEP_S
        return [key for key, at in self.written.items() if at < oldest]

    def drop_outdated(self) -> None:
        """Drop pending streams that the table did not take in time."""
        oldest = self.clock.now() - KEEP_S
        self.pending = {
            key: version
            for key, version in self.pending.items()
            if key in self.known and self.known[key].began_at > oldest
        }
        used = self.pending.keys() | self.written.keys()
        self.row_versions = {k: v for k, v in self.row_versions.items() if k in used}

    async def write(self) -> None:
        """Write the oldest pending streams; after a failure they stay pending.

        Their rows are checked: an earlier write without an answer could otherwise take
        effect after this one, and undo that a stream's version is in doubt.
        """
        self.drop_outdated()
        now = self.clock.now()
        added = dict(list(self.pending.items())[:MAX_ROWS])
        removed = self.outdated()[:MAX_ROWS]
        writes: dict[str, Json] = dict.fromkeys(removed)
        writes.update(added)
        checks = {key: self.row_versions.get(key, 0) for key in added}
        try:
            outcome = await self.table.transact(checks, writes)
        except PlatformError as error:
            log_event("stream_versions_not_written", error=str(error))
            return
        self.row_versions.update(outcome.versions)
        if not isinstance(outcome, Written):
            return
        for key, version in added.items():
            if self.pending.get(key) == version:
                del self.pending[key]
            self.written[key] = now
        for key in removed:
            self.written.pop(key, None)
            self.row_versions.pop(key, None)


def stream_key(team: str, attempt_id: str) -> str:
    """Return the key of a stream's row; a caller's id may be long."""
    digest = xxhash.xxh3_128_hexdigest(f"{team}\0{attempt_id}".encode())
    return STREAM_PREFIX + digest
