"""The stand-in platform's table, without I/O."""

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from sortedcontainers import SortedDict


class Row(NamedTuple):
    """A value and the version of its last write."""

    value: Any
    version: int


@dataclass
class Table:
    """Rows by key, written in transactions that compare versions and set values."""

    rows: SortedDict = field(default_factory=SortedDict)
    writes: int = 0

    def read(self, keys: list[str]) -> dict[str, Row]:
        return {key: self.rows[key] for key in keys if key in self.rows}

    def scan(self, prefix: str, after: str, limit: int) -> list[tuple[str, Row]]:
        """Return up to `limit` rows whose keys start with `prefix`, past `after`."""
        found = []
        for key in self.rows.irange(minimum=max(prefix, after)):
            if not key.startswith(prefix):
                break
            if key == after:
                continue
            found.append((key, self.rows[key]))
            if len(found) == limit:
                break
        return found

    def transact(
        self, checks: dict[str, int], writes: dict[str, Any]
    ) -> tuple[bool, dict[str, int]]:
        """Write all rows or none; a version of 0 in `checks` means no such row.

        Return whether they were written, and the new versions of the rows or else the
        present versions of those that fail their check.
        """
        current = {key: self.version(key) for key in checks}
        conflicts = {key: seen for key, seen in current.items() if seen != checks[key]}
        if conflicts:
            return False, conflicts
        versions = {}
        for key, value in writes.items():
            self.writes += 1
            if value is None:
                self.rows.pop(key, None)
                versions[key] = 0
            else:
                # Versions come from one counter, so a row that was deleted and created
                # again never has a version that a client has seen before.
                self.rows[key] = Row(value, self.writes)
                versions[key] = self.writes
        return True, versions

    def version(self, key: str) -> int:
        row = self.rows.get(key)
        return row.version if row else 0
