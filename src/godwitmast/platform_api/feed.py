"""The follower of an external table that has a change feed."""

import random
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from godwitmast.background import BackgroundTasks
from godwitmast.clock import Clock
from godwitmast.errors import PlatformError
from godwitmast.logs import log_event
from godwitmast.platform_api.port import Changes, Feed, FeedRow, HistoryLost, Snapshot

MAX_WAIT_S = 10.0
"""Longest time for which one long-polling call waits for a change."""

MIN_WAIT_S = 0.5

ANSWER_MARGIN_S = 1.0
"""How much longer than its wait a call that waits for changes may take. Reading a table
takes 4 ms, and with a slow store a quarter of a second."""

REISSUE_S = 0.5
"""Time for the first backoff after a call that was not answered, and for the next call."""

BACKOFF_S = (0.2, 0.6)
"""First and longest backoff after a failed call, each with 50 % jitter. A
change has to be in force within two seconds of the platform's recovery."""

RETURN_GRACE_S = 2.0
"""Within two seconds of the platform's recovery, servers that are up have rewritten their
rows that expired during the outage."""

LAPSED_FRACTION = 0.5
"""Fraction of the rows. If at least this many were removed during an outage, the cause is
taken to be an outage of the store, during which rows expire, and not servers that left.
If fewer are removed wrongly, the other servers can carry the load for two seconds."""


def long_poll_s(recovery_s: float) -> float:
    """Return how long a call may wait for changes, so that one that gets no answer is
    replaced within `recovery_s`.

    The platform may drop a call and leave its connection open. Only the time-out of the
    call shows that, and until then no change arrives.
    """
    wait_s = recovery_s - ANSWER_MARGIN_S - REISSUE_S
    return min(MAX_WAIT_S, max(MIN_WAIT_S, wait_s))


@dataclass
class FeedView:
    """The last known rows of a table, without I/O.

    Load pattern: the platform's store is unreachable for longer than the rows of
    backend servers last without a heartbeat. Its first answers after recovery list
    every row as removed, although all servers are up. Removing them at once would empty
    the whole fleet, and every request would be refused until the heartbeats arrive. So
    if a large fraction of the rows was removed during an outage, they are kept for
    `RETURN_GRACE_S` after it. Fewer are removed at once, as is any row that is removed
    later: then the store refused only this process, and those servers have left. Kept
    as long, their rows would attract requests after they had left, while the other
    servers were available.
    """

    rows: dict[str, bytes] = field(default_factory=dict)
    version: int | None = None
    unreachable_since: float | None = None
    recovered_at: float = float("-inf")
    lapsed_keys: set[str] = field(default_factory=set)

    def record_failure(self, now: float) -> None:
        """Record that the platform gave no answer."""
        if self.unreachable_since is None:
            self.unreachable_since = now

    def record_answer(self, now: float) -> bool:
        """Record an answer; return whether it ends an outage."""
        ended_outage = self.unreachable_since is not None
        if ended_outage:
            self.unreachable_since = None
            self.recovered_at = now
        return ended_outage

    def apply_snapshot(self, snapshot: Snapshot, now: float) -> None:
        """Replace all rows by those of a snapshot."""
        ended_outage = self.record_answer(now)
        self.version = snapshot.version
        self.put_rows(snapshot.rows)
        self.remove_rows(
            self.rows.keys() - {row.key for row in snapshot.rows}, ended_outage
        )

    def apply_changes(self, changes: Changes, now: float) -> bool:
        """Apply changed rows; return whether there were any."""
        ended_outage = self.record_answer(now)
        self.version = changes.version
        self.put_rows(changes.rows)
        last = {row.key: row.content for row in changes.rows}
        self.remove_rows(
            {key for key, content in last.items() if content is None}, ended_outage
        )
        return bool(changes.rows)

    def put_rows(self, rows: Iterable[FeedRow]) -> None:
        for row in rows:
            if row.content is not None:
                self.rows[row.key] = row.content
                self.lapsed_keys.discard(row.key)

    def remove_rows(self, keys: Collection[str], ended_outage: bool) -> None:
        """Remove rows, at once or, after an outage, when the grace is over."""
        known = {key for key in keys if key in self.rows}
        if ended_outage and len(known) >= LAPSED_FRACTION * len(self.rows):
            self.lapsed_keys |= known
            return
        for key in keys:
            self.rows.pop(key, None)
            self.lapsed_keys.discard(key)

    def count_differences(self, rows: Mapping[str, bytes]) -> int:
        """Return in how many rows this view differs from `rows`, but for lapsed ones."""
        differing = {key for key, _ in self.rows.items() ^ rows.items()}
        return len(differing - self.lapsed_keys)

    def remove_expired(self, now: float) -> bool:
        """Remove rows that were missing after an outage and not written again since.

        They have `RETURN_GRACE_S` after the outage. Return whether any were removed.
        """
        if not self.lapsed_keys or now < self.recovered_at + RETURN_GRACE_S:
            return False
        for key in self.lapsed_keys:
            self.rows.pop(key, None)
        self.lapsed_keys.clear()
        return True


class FeedFollower:
    """A background loop that follows one table and passes each change to a listener."""

    def __init__(
        self,
        feed: Feed,
        clock: Clock,
        table: str,
        listener: Callable[[dict[str, bytes]], None],
        wait_s: float = MAX_WAIT_S,
        gather_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.feed = feed
        self.clock = clock
        self.table = table
        self.listener = listener
        self.wait_s = wait_s
        self.gather_s = gather_s
        self.view = FeedView()
        self.pause_s = BACKOFF_S[0]
        self.own_call = True
        self.rows_lapsed = anyio.Event()
        self.wait_scope: anyio.CancelScope | None = None
        self.background = BackgroundTasks(self.run, self.run_expiry)

    async def start(self, tasks: TaskGroup) -> None:
        await self.background.start(tasks)

    async def close(self) -> None:
        await self.background.close()

    async def run(self) -> None:
        while True:
            try:
                changed = await self.fetch_changes()
            except PlatformError as error:
                await self.back_off(error)
                continue
            if self.pause_s > BACKOFF_S[0]:
                log_event("feed_regained", table=self.table, version=self.view.version)
                self.pause_s = BACKOFF_S[0]
            if self.view.lapsed_keys:
                self.rows_lapsed.set()
            if changed:
                self.notify_listener()
                # Changes come in bursts. Without this pause every VM would make as
                # many calls as there are changes.
                await anyio.sleep(self.gather_s() if self.own_call else 0.0)

    async def fetch_changes(self) -> bool:
        """Make one call for the next changes; return whether anything changed."""
        if self.view.version is None:
            self.view.apply_snapshot(
                await self.feed.snapshot(self.table), self.clock.now()
            )
            return True
        # After an outage the first call must not wait for changes: its answer marks
        # the end of the outage, and so separates rows that were removed during it from
        # those that are removed later.
        wait_s = self.wait_s if self.view.unreachable_since is None else 0.0
        match await self.wait_for_changes(self.view.version, wait_s):
            case Changes() as changes:
                self.own_call = not changes.shared
                return self.view.apply_changes(changes, self.clock.now())
            case HistoryLost():
                log_event("feed_history_lost", table=self.table)
                self.view.version = None
            case None:
                log_event("feed_doubted", table=self.table)
                self.view.record_failure(self.clock.now())
        return False

    async def wait_for_changes(
        self, version: int, wait_s: float
    ) -> Changes | HistoryLost | None:
        """Return the changes after a version, or None if the call was cancelled."""
        with anyio.CancelScope() as scope:
            self.wait_scope = scope if wait_s else None
            try:
                return await self.feed.changes(self.table, version, wait_s)
            finally:
                self.wait_scope = None
        return None

    def reissue_wait(self) -> None:
        """Cancel and reissue the call that waits for changes, after another call failed.

        A platform that stops answering drops both.
        """
        if self.wait_scope is not None:
            self.wait_scope.cancel()

    async def back_off(self, error: PlatformError) -> None:
        if self.view.unreachable_since is None:
            log_event("feed_lost", level="WARNING", table=self.table, error=str(error))
        self.view.record_failure(self.clock.now())
        await anyio.sleep(random.uniform(0.5, 1.5) * self.pause_s)
        self.pause_s = min(BACKOFF_S[1], self.pause_s * 2)

    async def run_expiry(self) -> None:
        while True:
            await self.rows_lapsed.wait()
            self.rows_lapsed = anyio.Event()
            while self.view.lapsed_keys:
                await anyio.sleep(RETURN_GRACE_S / 10)
                if self.view.remove_expired(self.clock.now()):
                    self.notify_listener()

    def notify_listener(self) -> None:
        self.listener(self.view.rows)
