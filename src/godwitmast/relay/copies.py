"""A copy of somebody else's table, with its last changes and its age, without I/O."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from godwitmast.platform_api.port import Changes, FeedRow, Snapshot

KEPT_CHANGES = 64
"""Groups of changes that a copy still tells; who is further behind gets all rows."""


class Sharing(NamedTuple):
    """How a relay shares what it follows.

    Load pattern: hundreds of VMs follow the same two tables, and each change of a row
    wakes them all: VMs times changes calls. Shared, each change costs one call a zone.

    A relay asks again each `confirm_s` at the latest, and its followers go by what it
    told for `fresh_s` after the platform's answer. Then they ask for themselves, so that
    a relay that is frozen, cut off or slow delays a change by no more than that.
    """

    confirm_s: float
    fresh_s: float
    wait_s: float
    """How long one call of a VM that follows by itself waits for a change."""

    def pays(self, followers: int) -> bool:
        """Return whether a relay's calls are fewer than the ones that they replace."""
        return followers * self.confirm_s >= self.wait_s


class ChangedRows(NamedTuple):
    """The rows that one answer changed, up to `version`."""

    version: int
    rows: Sequence[FeedRow]


@dataclass
class TableCopy:
    """A table as of `version`; times are on the platform's clock, which all VMs know."""

    version: int = -1
    rows: dict[str, bytes] = field(default_factory=dict)
    asked_at: float = float("-inf")
    """When the platform last confirmed it to this VM."""
    told_at: float = float("-inf")
    """When the platform last confirmed it to the relay that told this VM."""
    changes: deque[ChangedRows] = field(default_factory=deque)
    base: int = -1
    """The version that the oldest kept change follows."""

    def replace(self, snapshot: Snapshot) -> bool:
        """Take all rows, unless newer ones are known; return whether they were taken."""
        if snapshot.version < self.version:
            return False
        self.rows = {
            row.key: row.content for row in snapshot.rows if row.content is not None
        }
        self.changes.clear()
        self.version = self.base = snapshot.version
        return True

    def change(self, after: int, changes: Changes) -> bool:
        """Take the rows that changed since `after`; return whether the copy is as new.

        Rows come in order and say how they are now, so that some of them may be taken
        twice; after a gap nothing is taken.
        """
        if self.version < after or changes.version < self.version:
            return False
        if changes.version > self.version:
            self.put(changes)
        return True

    def put(self, changes: Changes) -> None:
        for row in changes.rows:
            if row.content is None:
                self.rows.pop(row.key, None)
            else:
                self.rows[row.key] = row.content
        self.version = changes.version
        if changes.rows:
            self.changes.append(ChangedRows(changes.version, changes.rows))
        while len(self.changes) > KEPT_CHANGES:
            self.base = self.changes.popleft().version

    def since(self, after: int) -> Changes | None:
        """Return what changed after a version, or None if that is not kept."""
        if after < self.base:
            return None
        rows = [
            row for group in self.changes if group.version > after for row in group.rows
        ]
        return Changes(rows, self.version, shared=True)

    @property
    def snapshot(self) -> Snapshot:
        rows = [FeedRow(key, content) for key, content in self.rows.items()]
        return Snapshot(rows, self.version)
