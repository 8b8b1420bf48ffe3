"""Local copy of a platform table, with its latest changes and its age, without I/O."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from godwitmast.platform_api.port import Changes, FeedRow, Snapshot

KEPT_CHANGES = 64
"""Groups of changes that a copy keeps; a follower further behind gets all rows."""


class Sharing(NamedTuple):
    """Time constants by which a relay shares the tables that it follows.

    Load pattern: hundreds of VMs follow the same tables, and each change of a row
    ends the long poll of each: VMs times changes calls. Through a relay, a change costs
    one call a zone.

    A relay polls the platform at least every `confirm_s`, and its followers use what it
    sent for `fresh_s` after the platform's answer. Then they poll for themselves, so
    that a relay that is paused, partitioned or slow delays a change by no more.
    """

    confirm_s: float
    fresh_s: float
    wait_s: float
    """How long one long poll of a VM without a relay waits for a change."""

    def saves_calls(self, followers: int) -> bool:
        """Return whether a relay makes fewer calls than it saves its followers."""
        return followers * self.confirm_s >= self.wait_s


class ChangedRows(NamedTuple):
    """Rows that changed with one answer of the platform, up to `version`."""

    version: int
    rows: Sequence[FeedRow]


@dataclass
class TableCopy:
    """A table as of `version`; its times are by the platform's clock."""

    version: int = -1
    rows: dict[str, bytes] = field(default_factory=dict)
    own_confirmed_at: float = float("-inf")
    """When the platform last confirmed the table to this VM."""
    relay_confirmed_at: float = float("-inf")
    """When the platform last confirmed the table to the relay that sent it here."""
    changes: deque[ChangedRows] = field(default_factory=deque)
    oldest_base: int = -1
    """Version before the oldest change that is kept."""

    def apply_snapshot(self, snapshot: Snapshot) -> bool:
        """Replace all rows unless these are older; return whether they were."""
        if snapshot.version < self.version:
            return False
        self.rows = {
            row.key: row.content for row in snapshot.rows if row.content is not None
        }
        self.changes.clear()
        self.version = self.oldest_base = snapshot.version
        return True

    def apply_changes(self, after: int, changes: Changes) -> bool:
        """Apply the rows that changed since `after`; return whether the copy is as new.

        Rows arrive in order with their present content, so that applying some of them
        twice is harmless. After a gap nothing is applied.
        """
        if self.version < after or changes.version < self.version:
            return False
        if changes.version > self.version:
            self.append_changes(changes)
        return True

    def append_changes(self, changes: Changes) -> None:
        for row in changes.rows:
            if row.content is None:
                self.rows.pop(row.key, None)
            else:
                self.rows[row.key] = row.content
        self.version = changes.version
        if changes.rows:
            self.changes.append(ChangedRows(changes.version, changes.rows))
        while len(self.changes) > KEPT_CHANGES:
            self.oldest_base = self.changes.popleft().version

    def has_changes_since(self, after: int) -> bool:
        """Return whether rows changed after version `after`, or may have."""
        changes = self.changes_since(after)
        return changes is None or bool(changes.rows)

    def changes_since(self, after: int) -> Changes | None:
        """Return the changes after version `after`, or None if they are not kept."""
        if after < self.oldest_base:
            return None
        rows = [
            row for group in self.changes if group.version > after for row in group.rows
        ]
        return Changes(rows, self.version, shared=True)

    @property
    def snapshot(self) -> Snapshot:
        rows = [FeedRow(key, content) for key, content in self.rows.items()]
        return Snapshot(rows, self.version)
