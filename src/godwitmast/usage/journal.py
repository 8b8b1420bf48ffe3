"""An entry's usage until it is frozen into windows, without I/O.

The row in the table is cumulative within each window, so a write that is lost, late
or repeated changes no figure. Every write is a compare-and-set: whoever freezes
windows may seal the row of an entry that has gone silent, and an entry that was only
paused then finds out, and goes on under a new incarnation with what is left.
"""

import secrets
from collections.abc import Callable
from enum import Enum
from functools import partial
from typing import Any

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
"""Windows kept apart during an outage; past that the oldest unsent ones are added up.

With it the journal holds at most teams x classes x pools x 64 sums, however long the
table is away.
"""


class Flushed(Enum):
    """What became of writing the journal's row."""

    WRITTEN = "written"
    NOT_DONE = "not_done"
    UNSURE = "unsure"
    """The same row is sent again until it is known to be there."""
    SEALED = "sealed"
    """The row was closed by another; the rest goes under a new incarnation."""


class Journal:
    """The usage of one entry that no frozen window holds yet."""

    def __init__(
        self,
        node: str,
        zone: str,
        window_s: int,
        new_id: Callable[[], str] = partial(secrets.token_hex, 6),
    ) -> None:
        self.new_id = new_id
        self.node = node
        self.zone = zone
        self.window_s = window_s
        self.window = 0
        self.segments: dict[int, Sums] = {}
        self.merged = 0
        self.begin()

    def begin(self) -> None:
        """Take a new incarnation, whose row does not exist yet."""
        self.incarnation = f"{self.node}.{self.new_id()}"
        self.sequence = 0
        self.version = 0
        self.offered = -1
        self.pending: NodeRow | None = None
        self.unsure = False
        self.last: NodeRow | None = None

    @property
    def key(self) -> str:
        return node_key(self.incarnation)

    def add(self, key: UsageKey, increment: UsageSum, wall: float) -> None:
        """Count an increment in the window of `wall`."""
        self.enter_window(wall)
        sums = self.segments.setdefault(self.window, {})
        sums[key] = sums.get(key, UsageSum()).plus(increment)

    def enter_window(self, wall: float) -> None:
        """Move to the window of `wall`; a clock that went back does not go back."""
        self.window = max(self.window, int(wall // self.window_s) * self.window_s)
        self.merge_oldest()

    def merge_oldest(self) -> None:
        """Bound the number of windows that an outage keeps here.

        Only windows that were never offered to the table are added up. One that was
        may be frozen already, and would be billed again under the other's name.
        """
        while len(self.segments) > MAX_SEGMENTS:
            offered = self.offered
            if self.pending is not None:
                offered = max([offered, *self.pending.segments])
            unsent = sorted(label for label in self.segments if label > offered)
            if len(unsent) < 2:
                return
            add_sums(self.segments[unsent[1]], self.segments.pop(unsent[0]))
            self.merged += 1

    def make_row(self, wall: float, config: int, load: Any, ended: bool) -> NodeRow:
        """Return the row to write, or the earlier one whose outcome is not known."""
        if self.pending is not None:
            return self.pending
        self.enter_window(wall)
        self.sequence += 1
        segments = {label: dict(sums) for label, sums in self.segments.items()}
        window = self.window
        if self.version == 0:
            # A run's first write only makes its row. If its answer is lost, and the
            # row is sealed, taken and dropped before this process looks again, then
            # the same write would make the row anew, and its figures count twice.
            # It says no window final whose figures only the next write brings.
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
        beside: dict[str, Any] | None = None,
    ) -> Steps[Flushed]:
        """Write everything that is not frozen yet to this incarnation's row.

        The rows of `beside` go into the same transaction, as a node makes one write
        for all that it has to say.
        """
        row = self.make_row(wall, config, load or {}, ended)
        writes = {self.key: dump_node(row), **(beside or {})}
        result = yield Transact({self.key: self.version}, writes)
        match result:
            case Written():
                self.written(result.versions[self.key])
                return Flushed.WRITTEN
            case Failure.NOT_DONE:
                if not self.unsure:
                    self.pending = None
                return Flushed.NOT_DONE
            case Failure.UNKNOWN:
                self.unsure = True
                self.offered = max([self.offered, *row.segments])
            case Conflict():
                pass
        return (yield from self.settle())

    def written(self, version: int) -> None:
        assert self.pending is not None, "what was written was pending"
        self.version = version
        self.offered = max([self.offered, *self.pending.segments])
        self.last, self.pending, self.unsure = self.pending, None, False

    def settle(self) -> Steps[Flushed]:
        """Find out by reading what became of the pending row."""
        found = yield Read([self.key])
        if not isinstance(found, Rows):
            self.unsure = True
            return Flushed.UNSURE
        if self.key not in found.rows:
            if self.version == 0:
                return Flushed.UNSURE
            # Sealed, taken and cleaned up while this process was away. Whether the
            # pending row was the one taken is no longer known; that it was is
            # assumed, since billing it again would be the worse error.
            self.go_on_after(self.pending or self.last)
            return Flushed.SEALED
        row = load_node(found.value(self.key))
        if row.sealed:
            self.go_on_after(row)
            return Flushed.SEALED
        assert self.pending is not None, "a row is settled while it is pending"
        if row.sequence == self.pending.sequence:
            self.written(found.version(self.key))
            return Flushed.WRITTEN
        self.version = found.version(self.key)
        return Flushed.UNSURE

    def go_on_after(self, taken: NodeRow | None) -> None:
        """Keep what `taken` does not hold, under a new incarnation."""
        for label, sums in (taken.segments if taken else {}).items():
            if label in self.segments:
                left = subtract_sums(self.segments.pop(label), sums)
                if left:
                    self.segments[label] = left
        self.begin()

    @property
    def holds_all(self) -> bool:
        """Return whether the table holds all that this journal does."""
        if self.pending is not None or self.last is None:
            return not self.segments
        return self.last.segments == self.segments

    def forget(self, head: UsageHead) -> None:
        """Drop the windows that are frozen."""
        mark = head.marks.get(self.incarnation, -1)
        for label in [label for label in self.segments if label <= mark]:
            del self.segments[label]

    def closed_before(self, wall: float, age_s: float) -> bool:
        """Return whether a window is held that ended longer than `age_s` ago."""
        limit = wall - self.window_s - age_s
        return any(label < limit for label in self.segments)


def read_marks() -> Steps[UsageHead | None]:
    """Return how far the windows are frozen, or None if that cannot be read."""
    found = yield Read([HEAD_KEY])
    if not isinstance(found, Rows) or found.value(HEAD_KEY) is None:
        return None
    return UsageHead(**found.value(HEAD_KEY))
