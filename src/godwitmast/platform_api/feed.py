"""The follower of an external table that has a change feed."""

import math
import random
import traceback
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup

from godwitmast.background import BackgroundTasks
from godwitmast.clock import Clock
from godwitmast.errors import PlatformError
from godwitmast.logs import log_event
from godwitmast.platform_api.epoch import epoch_of
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

CONFIRM_CALLS = 3
"""Calls that confirm a table; an answer is of no use if others were applied meanwhile."""

RETURN_GRACE_S = 2.0
"""Within two seconds of the platform's recovery, servers that are up have rewritten their
rows that expired during the outage."""

OLDER_GRACE_S = 10.0
"""How long a row is kept after a restore although the table has an older one: operators
and servers write again what was lost, servers with each heartbeat."""

REMOVED_KEPT_S = 60.0
"""How long a removed row is remembered, in case a restore brings it back."""

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


RowOrder = Callable[[str, bytes], tuple[int, ...] | None]
"""Returns what orders the contents of a row by their age, None if nothing does."""


class RemovedRow(NamedTuple):
    """A row's last content, and when it was removed."""

    content: bytes
    at: float


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

    A restored table has older rows: a server is ready again that has said that it
    leaves, or listed again though it has left. Where `order` tells, the newer content is
    kept until the row is written again, for `OLDER_GRACE_S` at most. A row that the
    restored table lacks is kept for `lost_grace_s`.
    """

    rows: dict[str, bytes] = field(default_factory=dict)
    version: int | None = None
    unreachable_since: float | None = None
    recovered_at: float = float("-inf")
    lapsed_keys: set[str] = field(default_factory=set)
    order: RowOrder = lambda key, content: None
    lost_grace_s: float = RETURN_GRACE_S
    epoch: int | None = None
    restored_at: float = float("-inf")
    older: dict[str, bytes] = field(default_factory=dict)
    """Content in the table of rows of which this process knows a newer one."""
    removed: dict[str, RemovedRow] = field(default_factory=dict)

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
        missing = self.rows.keys() - {row.key for row in snapshot.rows}
        if self.record_epoch(epoch_of(snapshot.version), now):
            self.put_rows(self.without_older(snapshot.rows, now, from_backup=True))
            self.lapsed_keys |= missing
            return
        self.put_rows(snapshot.rows)
        self.remove_rows(missing, ended_outage, now)

    def record_epoch(self, epoch: int, now: float) -> bool:
        """Record the epoch of a snapshot; return whether the table was restored."""
        restored = self.epoch is not None and epoch > self.epoch
        self.epoch = epoch
        if restored:
            self.restored_at = self.recovered_at = now
            self.older.clear()
        return restored

    def without_older(
        self, rows: Sequence[FeedRow], now: float, from_backup: bool
    ) -> list[FeedRow]:
        """Return the rows that are not older than what is known of them.

        A removed row that comes back as it was has been written again, unless it is
        `from_backup`.
        """
        accepted = []
        for row in rows:
            if row.content is not None and self.is_older(row, now, from_backup):
                self.older[row.key] = row.content
            else:
                self.older.pop(row.key, None)
                accepted.append(row)
        return accepted

    def is_older(self, row: FeedRow, now: float, from_backup: bool) -> bool:
        held = self.rows.get(row.key)
        gone = self.removed.get(row.key)
        if held is None and (gone is None or now > gone.at + REMOVED_KEPT_S):
            return False
        known = held if held is not None else gone.content if gone else b""
        content = row.content or b""
        if content == known:
            return held is None and from_backup
        offered_order = self.order(row.key, content)
        known_order = self.order(row.key, known)
        if offered_order is None or known_order is None:
            return False
        return offered_order < known_order

    def apply_changes(self, changes: Changes, now: float) -> bool:
        """Apply changed rows; return whether there were any."""
        ended_outage = self.record_answer(now)
        self.version = changes.version
        rows = changes.rows
        if now < self.restored_at + OLDER_GRACE_S:
            rows = self.without_older(rows, now, from_backup=False)
        self.put_rows(rows)
        last = {row.key: row.content for row in rows}
        self.remove_rows(
            {key for key, content in last.items() if content is None},
            ended_outage,
            now,
        )
        return bool(rows)

    def put_rows(self, rows: Iterable[FeedRow]) -> None:
        for row in rows:
            if row.content is not None:
                self.rows[row.key] = row.content
                self.lapsed_keys.discard(row.key)
                self.older.pop(row.key, None)

    def remove_rows(
        self, keys: Collection[str], ended_outage: bool, now: float
    ) -> None:
        """Remove rows, at once or, after an outage, when the grace is over."""
        known = {key for key in keys if key in self.rows}
        if ended_outage and len(known) >= LAPSED_FRACTION * len(self.rows):
            self.lapsed_keys |= known
            return
        for key in keys:
            self.remove_row(key, now)
            self.lapsed_keys.discard(key)
        self.removed = {
            key: row
            for key, row in self.removed.items()
            if now <= row.at + REMOVED_KEPT_S
        }

    def remove_row(self, key: str, now: float) -> None:
        content = self.rows.pop(key, None)
        if content is not None:
            self.removed[key] = RemovedRow(content, now)

    def count_differences(self, rows: Mapping[str, bytes]) -> int:
        """Return in how many rows this view differs from `rows` for no known reason."""
        differing = {key for key, _ in self.rows.items() ^ rows.items()}
        return len(differing - self.lapsed_keys - self.older.keys())

    @property
    def awaits_rows(self) -> bool:
        """Return whether rows are kept until they are written again."""
        return bool(self.lapsed_keys or self.older)

    def remove_expired(self, now: float) -> bool:
        """Give up rows that the table lacks or has older, and that were not written again.

        Missing ones have `RETURN_GRACE_S`, or `lost_grace_s` after a restore, older ones
        `OLDER_GRACE_S`. Return whether any row changed.
        """
        changed = False
        restored = self.recovered_at == self.restored_at
        grace_s = self.lost_grace_s if restored else RETURN_GRACE_S
        if self.lapsed_keys and now >= self.recovered_at + grace_s:
            for key in self.lapsed_keys:
                self.remove_row(key, now)
            self.lapsed_keys.clear()
            changed = True
        if self.older and now >= self.restored_at + OLDER_GRACE_S:
            self.rows |= self.older
            self.older.clear()
            changed = True
        return changed


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
        order: RowOrder = lambda key, content: None,
        lost_grace_s: float = RETURN_GRACE_S,
        direct: Feed | None = None,
        shared_age_s: float = 0.0,
    ) -> None:
        self.feed = feed
        self.direct = direct or feed
        """Answers from the table itself, where `feed` may answer from a relay's copy."""
        self.shared_age_s = shared_age_s
        """Greatest age of what is received without a call by this process."""
        self.clock = clock
        self.table = table
        self.listener = listener
        self.wait_s = wait_s
        self.gather_s = gather_s
        self.view = FeedView(order=order, lost_grace_s=lost_grace_s)
        self.pause_s = BACKOFF_S[0]
        self.own_call = True
        self.rows_lapsed = anyio.Event()
        self.wait_scope: anyio.CancelScope | None = None
        self.confirmed_at = -math.inf
        """All changes up to this time are applied, by this process's clock."""
        self.change_listeners: list[Callable[[Sequence[FeedRow]], None]] = []
        """Get all changed rows, also those that changed again in the same answer."""
        self.gap_listeners: list[Callable[[], None]] = []
        """Called when changes were missed, as the table no longer had their history."""
        self.has_gap = False
        self.background = BackgroundTasks(self.run, self.run_expiry)

    async def start(self, tasks: TaskGroup) -> None:
        await self.background.start(tasks)

    async def close(self) -> None:
        await self.background.close()

    @property
    def is_overdue(self) -> bool:
        """Return whether no call was answered for longer than two of them may take."""
        overdue_s = 2 * self.wait_s + ANSWER_MARGIN_S
        return self.clock.now() > self.confirmed_at + overdue_s

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
            if changed:
                # Changes come in bursts. Without this pause every VM would make as
                # many calls as there are changes.
                await anyio.sleep(self.gather_s() if self.own_call else 0.0)

    async def fetch_changes(self) -> bool:
        """Make one call for the next changes; return whether anything changed."""
        version = self.view.version
        began_at = self.clock.now()
        if version is None:
            snapshot = await self.feed.snapshot(self.table)
            # Relays answer with what they were sent before.
            return self.apply_snapshot(snapshot, began_at - self.shared_age_s)
        # After an outage the first call must not wait for changes: its answer marks
        # the end of the outage, and so separates rows that were removed during it from
        # those that are removed later.
        wait_s = self.wait_s if self.view.unreachable_since is None else 0.0
        match await self.wait_for_changes(version, wait_s):
            case Changes() as changes:
                self.own_call = not changes.shared
                age_s = self.shared_age_s if changes.shared else 0.0
                return self.apply_changes(version, changes, began_at - age_s)
            case HistoryLost():
                self.record_lost_history(version)
            case None:
                log_event("feed_doubted", table=self.table)
                self.view.record_failure(self.clock.now())
        return False

    async def confirm(self) -> bool:
        """Apply all changes up to now, by a call to the table itself that doesn't wait.

        Return whether that succeeded. The loop's own call stays open: whichever of the
        two is answered later is ignored if the other has applied changes meanwhile.
        """
        began_at = self.clock.now()
        try:
            for _ in range(CONFIRM_CALLS):
                if await self.confirm_once(began_at):
                    return True
        except PlatformError as error:
            log_event(
                "feed_not_confirmed",
                level="WARNING",
                table=self.table,
                error=str(error),
            )
        return False

    async def confirm_once(self, began_at: float) -> bool:
        version = self.view.version
        if version is not None:
            match await self.direct.changes(self.table, version, 0.0):
                case Changes() as changes:
                    self.confirm_changes(version, changes, began_at)
                case HistoryLost():
                    self.record_lost_history(version)
        if self.view.version is None:
            snapshot = await self.direct.snapshot(self.table)
            self.apply_snapshot(snapshot, began_at)
        return self.confirmed_at >= began_at

    def confirm_changes(self, after: int, changes: Changes, began_at: float) -> None:
        """Apply the answer to a call that confirms the table.

        Without rows the version stays, so that the loop's open call is still used.
        """
        if changes.rows:
            self.apply_changes(after, changes, began_at)
        elif self.view.version == after:
            self.view.record_answer(self.clock.now())
            self.record_confirmed(began_at)
        else:
            self.record_discarded(changes.version, began_at)

    def apply_changes(self, after: int, changes: Changes, as_of: float) -> bool:
        """Apply the changes after a version, unless others were applied meanwhile.

        Return whether anything changed. `as_of` is a time that the answer covers.
        """
        if self.view.version != after:
            self.record_discarded(changes.version, as_of)
            return False
        self.pass_on(changes.rows)
        changed = self.view.apply_changes(changes, self.clock.now())
        self.record_applied(changed, as_of)
        return changed

    def apply_snapshot(self, snapshot: Snapshot, as_of: float) -> bool:
        """Replace all rows by those of a snapshot, unless newer ones were applied."""
        if self.view.version is not None and self.view.version >= snapshot.version:
            self.record_confirmed(as_of)
            return False
        self.pass_on(snapshot.rows)
        self.view.apply_snapshot(snapshot, self.clock.now())
        if self.has_gap:
            self.has_gap = False
            for listener in self.gap_listeners:
                listener()
        self.record_applied(True, as_of)
        return True

    def record_applied(self, changed: bool, as_of: float) -> None:
        """Notify the listener of a change, and record that all up to a time is applied."""
        if self.view.awaits_rows:
            self.rows_lapsed.set()
        if changed:
            self.notify_listener()
        # The listener may ask up to when the rows of before were confirmed.
        self.record_confirmed(as_of)

    def record_discarded(self, version: int, as_of: float) -> None:
        """Record an answer that came after others; these may cover it."""
        if self.view.version is not None and self.view.version >= version:
            self.record_confirmed(as_of)

    def record_confirmed(self, as_of: float) -> None:
        self.confirmed_at = max(self.confirmed_at, as_of)

    def record_lost_history(self, after: int) -> None:
        """Have all rows read again, unless changes were applied meanwhile."""
        log_event("feed_history_lost", table=self.table)
        if self.view.version == after:
            self.view.version = None
            self.has_gap = True

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
            while self.view.awaits_rows:
                await anyio.sleep(RETURN_GRACE_S / 10)
                if self.view.remove_expired(self.clock.now()):
                    self.notify_listener()

    def notify_listener(self) -> None:
        """Pass the rows on; none of them, whoever wrote it, may end this loop."""
        try:
            self.listener(self.view.rows)
        except Exception as error:
            self.log_not_applied(error)

    def pass_on(self, rows: Sequence[FeedRow]) -> None:
        """Pass changed rows on, before they are applied."""
        try:
            for listener in self.change_listeners:
                listener(rows)
        except Exception as error:
            self.log_not_applied(error)

    def log_not_applied(self, error: Exception) -> None:
        log_event(
            "feed_rows_not_applied",
            level="ERROR",
            table=self.table,
            version=self.view.version,
            rows=len(self.view.rows),
            error=repr(error),
            trace="".join(traceback.format_exception(error)),
        )
