"""The journal of an entry's usage that is not in a frozen window yet, without I/O.

The row in the table is cumulative within each window, so a lost, late or repeated write
changes no figure. Every write is a compare-and-set, since the holder of the usage duty
may seal the row of an entry that has stopped writing. An entry that was only paused
then finds its row sealed, and continues under a new incarnation with the usage that the
sealed row lacks.
"""

import secrets
from collections.abc import Callable
from enum import Enum
from functools import partial
from typing import Any

from godwitmast.platform_api.epoch import epoch_of
from godwitmast.platform_api.messages import Conflict, Written
from godwitmast.platform_api.steps import Failure, Read, Rows, Steps, Transact
from godwitmast.usage.meter import Sums, UsageKey, UsageSum, add_sums, subtract_sums
from godwitmast.usage.rows import (
    HEAD_KEY,
    NodeRow,
    UsageHead,
    dump_node,
    load_node,
    node_key,
)

MAX_SEGMENTS = 64
"""Windows kept apart during an outage; beyond that the oldest unsent ones are merged.

Bounds the journal to teams x classes x pools x 64 sums, however long the table is
unreachable.
"""


KEPT_S = 60.0
"""How long segments of frozen windows are kept aside; a restore loses some seconds."""


class FlushOutcome(Enum):
    """The outcome of writing the journal's row."""

    WRITTEN = "written"
    NOT_DONE = "not_done"
    UNSURE = "unsure"
    """The outcome is unknown; the same row is sent again until it is known to be stored."""
    SEALED = "sealed"
    """The row was sealed by the duty's holder; the rest is written under a new one."""
    LOST = "lost"
    """The row is missing in a restored table; the next write creates it again."""


class Journal:
    """The usage of one entry that no frozen window holds yet."""

    def __init__(
        self,
        node: str,
        zone: str,
        window_s: int,
        new_id: Callable[[], str] = partial(secrets.token_hex, 6),
        epoch: Callable[[], int] = lambda: 0,
    ) -> None:
        self.new_id = new_id
        self.epoch = epoch
        self.node = node
        self.zone = zone
        self.window_s = window_s
        self.window = 0
        self.segments: dict[int, Sums] = {}
        self.frozen_segments: dict[int, Sums] = {}
        self.merged = 0
        self.start_incarnation()

    def start_incarnation(self) -> None:
        """Start a new incarnation, whose row does not exist yet.

        Here an incarnation identifies a row of the journal. One process starts another
        incarnation whenever its row was sealed.
        """
        self.incarnation = f"{self.node}.{self.new_id()}"
        self.sequence = 0
        self.version = 0
        self.highest_sent = -1
        self.pending: NodeRow | None = None
        self.outcome_unknown = False
        self.last: NodeRow | None = None
        self.frozen_segments.clear()

    @property
    def key(self) -> str:
        return node_key(self.incarnation)

    def add(self, key: UsageKey, increment: UsageSum, wall: float) -> None:
        """Add an increment to the window that contains `wall`."""
        self.advance_window(wall)
        sums = self.segments.setdefault(self.window, {})
        sums[key] = sums.get(key, UsageSum()).plus(increment)

    def advance_window(self, wall: float) -> None:
        """Advance to the window that contains `wall`; never go back if the clock does."""
        self.window = max(self.window, int(wall // self.window_s) * self.window_s)
        self.merge_oldest()

    def merge_oldest(self) -> None:
        """Bound the number of windows that are buffered during an outage.

        Only windows that were never sent to the table are merged. One that was sent may
        be frozen already, and would be billed again as part of the other.
        """
        while len(self.segments) > MAX_SEGMENTS:
            highest_sent = self.highest_sent
            if self.pending is not None:
                highest_sent = max([highest_sent, *self.pending.segments])
            unsent = sorted(
                window_start
                for window_start in self.segments
                if window_start > highest_sent
            )
            if len(unsent) < 2:
                return
            add_sums(self.segments[unsent[1]], self.segments.pop(unsent[0]))
            self.merged += 1

    def make_row(self, wall: float, config: int, load: Any, ended: bool) -> NodeRow:
        """Return the row to write, or the earlier one whose outcome is unknown."""
        if self.pending is not None:
            return self.pending
        self.advance_window(wall)
        self.sequence += 1
        segments = {
            window_start: dict(sums) for window_start, sums in self.segments.items()
        }
        window = self.window
        if self.version == 0:
            # A run's first write only creates its row, without figures. If its answer
            # is lost, and the row is sealed, billed and removed before this process
            # reads it, repeating the write would create the row again, and figures
            # in it would count twice. The row must not declare a window final whose
            # figures come only with the next write.
            window = min(segments, default=window)
            segments, ended = {}, False
        self.pending = NodeRow(
            self.node,
            self.zone,
            self.incarnation,
            self.sequence,
            config,
            window,
            segments,
            load,
            ended,
        )
        return self.pending

    def flush(
        self,
        wall: float,
        config: int = 0,
        load: Any = None,
        ended: bool = False,
        extra_rows: dict[str, Any] | None = None,
    ) -> Steps[FlushOutcome]:
        """Write all usage that is not frozen yet to this incarnation's row.

        The rows of `extra_rows` are written in the same transaction, so that a node
        needs one write for everything it publishes.
        """
        row = self.make_row(wall, config, load or {}, ended)
        writes = {self.key: dump_node(row), **(extra_rows or {})}
        result = yield Transact({self.key: self.version}, writes)
        match result:
            case Written():
                self.record_written(result.versions[self.key])
                return FlushOutcome.WRITTEN
            case Failure.NOT_DONE:
                if not self.outcome_unknown:
                    self.pending = None
                return FlushOutcome.NOT_DONE
            case Failure.UNKNOWN:
                self.outcome_unknown = True
                self.highest_sent = max([self.highest_sent, *row.segments])
            case Conflict():
                pass
        return (yield from self.resolve_outcome())

    def record_written(self, version: int) -> None:
        assert self.pending is not None, "only a pending row can be recorded as written"
        self.version = version
        self.highest_sent = max([self.highest_sent, *self.pending.segments])
        self.last, self.pending, self.outcome_unknown = self.pending, None, False

    def resolve_outcome(self) -> Steps[FlushOutcome]:
        """Read the row to find out whether the pending one was written."""
        found = yield Read([self.key])
        if not isinstance(found, Rows):
            self.outcome_unknown = True
            return FlushOutcome.UNSURE
        if self.key not in found.rows:
            if self.version == 0:
                return FlushOutcome.UNSURE
            if epoch_of(self.version) != self.epoch():
                # The restored table is from before this row.
                self.version, self.pending, self.outcome_unknown = 0, None, False
                return FlushOutcome.LOST
            # Sealed, billed and removed while this process was suspended or cut off.
            # Whether the pending row was the one billed is no longer known. Assume
            # that it was, since billing usage twice is worse than losing it.
            self.continue_after(self.pending or self.last)
            return FlushOutcome.SEALED
        row = load_node(found.value(self.key))
        if row.sealed:
            self.continue_after(row)
            return FlushOutcome.SEALED
        assert self.pending is not None, "only the outcome of a pending row is resolved"
        if row.sequence == self.pending.sequence:
            self.record_written(found.version(self.key))
            return FlushOutcome.WRITTEN
        self.version = found.version(self.key)
        return FlushOutcome.UNSURE

    def continue_after(self, billed: NodeRow | None) -> None:
        """Keep the usage that was not billed under this incarnation for a new one.

        A restored table may have sealed an old row of it, after windows were frozen with
        the figures of newer ones.
        """
        collected = billed.collected if billed else -1
        for window_start in [at for at in self.segments if at <= collected]:
            del self.segments[window_start]
        for window_start, sums in (billed.segments if billed else {}).items():
            if window_start in self.segments:
                remaining = subtract_sums(self.segments.pop(window_start), sums)
                if remaining:
                    self.segments[window_start] = remaining
        self.start_incarnation()

    @property
    def holds_all(self) -> bool:
        """Return whether the table holds all usage in this journal."""
        if self.pending is not None or self.last is None:
            return not self.segments
        return self.last.segments == self.segments

    def forget(self, head: UsageHead) -> None:
        """Drop the segments of frozen windows, but keep them aside for a while."""
        mark = head.marks.get(self.incarnation, -1)
        for window_start in [
            window_start for window_start in self.segments if window_start <= mark
        ]:
            self.frozen_segments[window_start] = self.segments.pop(window_start)
        oldest = self.window - KEPT_S
        self.frozen_segments = {
            at: sums for at, sums in self.frozen_segments.items() if at >= oldest
        }

    def reopen_frozen(self) -> None:
        """Take the segments of frozen windows back, as the table was restored.

        The windows may not be frozen there. Those that are, by their mark, are dropped
        again.
        """
        for window_start, sums in self.frozen_segments.items():
            add_sums(self.segments.setdefault(window_start, {}), sums)
        self.frozen_segments.clear()

    def has_window_older_than(self, wall: float, age_s: float) -> bool:
        """Return whether the journal holds a window that ended over `age_s` seconds ago."""
        limit = wall - self.window_s - age_s
        return any(window_start < limit for window_start in self.segments)


def read_marks() -> Steps[UsageHead | None]:
    """Return how far windows are frozen, or None if the head row cannot be read."""
    found = yield Read([HEAD_KEY])
    if not isinstance(found, Rows) or found.value(HEAD_KEY) is None:
        return None
    return UsageHead(**found.value(HEAD_KEY))
