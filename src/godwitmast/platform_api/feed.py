"""Follows a table of somebody else's that tells its changes."""

import random
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from godwitmast.background import Background
from godwitmast.clock import Clock
from godwitmast.errors import PlatformError
from godwitmast.logs import log_event
from godwitmast.platform_api.port import Changes, Feed, FeedRow, HistoryLost, Snapshot

WAIT_S = 10.0
"""How long one call waits for a change. Keep-alive finds a connection that is silent. A
call that the platform itself has swallowed is found when another one fails, or else only
once its time is over; until then no change arrives."""

RETRY_S = (0.2, 0.6)
"""First and longest pause after a failed call, each drawn at random below one and a half
times it. A change has to be in force within two seconds of the platform's return."""

RETURN_GRACE_S = 2.0
"""Rows that expired while the platform was away are written again within two seconds
of its return by those that live."""

LAPSED_SHARE = 0.5
"""From this part of the rows on, a loss is taken for an outage of the store, in which
every row expires that outlasts it, and not for servers that left meanwhile. The others
can do without fewer than that for two seconds."""


@dataclass
class FeedView:
    """A table's rows as far as they are known, without I/O.

    Load pattern: the platform's store is away for longer than the rows of backend
    servers last without a heartbeat. When it returns, its first answers say that every
    server is gone, though all of them serve. Taken at its word, a whole fleet would
    leave at once and every request be refused until the heartbeats come. So where a
    good part of the rows was removed during an outage, they stay for `RETURN_GRACE_S`
    after it. A few that are removed go at once, as does any that is removed later: it is
    this process that was turned away, and their servers leave. Held for as long, they
    got requests after they had left, while the others served.
    """

    rows: dict[str, bytes] = field(default_factory=dict)
    version: int | None = None
    away_since: float | None = None
    returned_at: float = float("-inf")
    missing: set[str] = field(default_factory=set)

    def failed(self, now: float) -> None:
        """Note that the platform gave no answer."""
        if self.away_since is None:
            self.away_since = now

    def answered(self, now: float) -> bool:
        """Note that it gave one; return whether it had been away."""
        was_away = self.away_since is not None
        if was_away:
            self.away_since = None
            self.returned_at = now
        return was_away

    def replace(self, snapshot: Snapshot, now: float) -> None:
        """Take all rows at once."""
        was_away = self.answered(now)
        self.version = snapshot.version
        self.put(snapshot.rows)
        self.drop(self.rows.keys() - {row.key for row in snapshot.rows}, was_away)

    def change(self, changes: Changes, now: float) -> bool:
        """Take changed rows; return whether there were any."""
        was_away = self.answered(now)
        self.version = changes.version
        self.put(changes.rows)
        last = {row.key: row.content for row in changes.rows}
        self.drop({key for key, content in last.items() if content is None}, was_away)
        return bool(changes.rows)

    def put(self, rows: Iterable[FeedRow]) -> None:
        for row in rows:
            if row.content is not None:
                self.rows[row.key] = row.content
                self.missing.discard(row.key)

    def drop(self, keys: Collection[str], was_away: bool) -> None:
        """Take out rows, at once or when their time to come back is over."""
        known = {key for key in keys if key in self.rows}
        if was_away and len(known) >= LAPSED_SHARE * len(self.rows):
            self.missing |= known
            return
        for key in keys:
            self.rows.pop(key, None)
            self.missing.discard(key)

    def expire(self, now: float) -> bool:
        """Take out what did not come back in time; return whether anything was."""
        if not self.missing or now < self.returned_at + RETURN_GRACE_S:
            return False
        for key in self.missing:
            self.rows.pop(key, None)
        self.missing.clear()
        return True


class FeedFollower:
    """One task that follows one table, and tells a listener of each change."""

    def __init__(
        self,
        feed: Feed,
        clock: Clock,
        table: str,
        listener: Callable[[dict[str, bytes]], None],
        gather_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.feed = feed
        self.clock = clock
        self.table = table
        self.listener = listener
        self.gather_s = gather_s
        self.view = FeedView()
        self.pause_s = RETRY_S[0]
        self.paid = True
        self.lapsed = anyio.Event()
        self.waiting: anyio.CancelScope | None = None
        self.background = Background(self.run, self.run_expiry)

    async def start(self, tasks: TaskGroup) -> None:
        await self.background.start(tasks)

    async def close(self) -> None:
        await self.background.close()

    async def run(self) -> None:
        while True:
            try:
                changed = await self.ask()
            except PlatformError as error:
                await self.wait_out(error)
                continue
            if self.pause_s > RETRY_S[0]:
                log_event("feed_regained", table=self.table, version=self.view.version)
                self.pause_s = RETRY_S[0]
            if self.view.missing:
                self.lapsed.set()
            if changed:
                self.tell()
                # Changes come in groups. One call for each of them would be as many
                # calls from every VM as there are changes.
                await anyio.sleep(self.gather_s() if self.paid else 0.0)

    async def ask(self) -> bool:
        """Read on once; return whether anything changed."""
        if self.view.version is None:
            self.view.replace(await self.feed.snapshot(self.table), self.clock.now())
            return True
        # After an outage the first answer has to come at once: it tells when the
        # outage ended, and apart what was removed meanwhile from what is later.
        wait_s = WAIT_S if self.view.away_since is None else 0.0
        match await self.wait_for_changes(self.view.version, wait_s):
            case Changes() as changes:
                self.paid = not changes.shared
                return self.view.change(changes, self.clock.now())
            case HistoryLost():
                log_event("feed_history_lost", table=self.table)
                self.view.version = None
            case None:
                log_event("feed_doubted", table=self.table)
                self.view.failed(self.clock.now())
        return False

    async def wait_for_changes(
        self, version: int, wait_s: float
    ) -> Changes | HistoryLost | None:
        """Return what changed after a version; None if that came into doubt."""
        with anyio.CancelScope() as scope:
            self.waiting = scope if wait_s else None
            try:
                return await self.feed.changes(self.table, version, wait_s)
            finally:
                self.waiting = None
        return None

    def doubt(self) -> None:
        """Reissue the call that waits for changes, after another call failed.

        A platform that is silent swallows both.
        """
        if self.waiting is not None:
            self.waiting.cancel()

    async def wait_out(self, error: PlatformError) -> None:
        if self.view.away_since is None:
            log_event("feed_lost", level="WARNING", table=self.table, error=str(error))
        self.view.failed(self.clock.now())
        await anyio.sleep(random.uniform(0.5, 1.5) * self.pause_s)
        self.pause_s = min(RETRY_S[1], self.pause_s * 2)

    async def run_expiry(self) -> None:
        while True:
            await self.lapsed.wait()
            self.lapsed = anyio.Event()
            while self.view.missing:
                await anyio.sleep(RETURN_GRACE_S / 10)
                if self.view.expire(self.clock.now()):
                    self.tell()

    def tell(self) -> None:
        self.listener(self.view.rows)
