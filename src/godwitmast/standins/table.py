"""The stand-in platform's table and objects, without I/O."""

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from sortedcontainers import SortedDict


class Row(NamedTuple):
    """A value with the number of its last write."""

    value: Any
    version: int


@dataclass
class Table:
    """Rows under keys, written in transactions that compare versions first."""

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
        """Write all or nothing; a version of 0 in `checks` means no such row.

        Return whether it was written, with the new versions or the ones in the way.
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
                # Numbers come from one counter, so a row that was deleted and made
                # again never has a version that someone still holds.
                self.rows[key] = Row(value, self.writes)
                versions[key] = self.writes
        return True, versions

    def version(self, key: str) -> int:
        row = self.rows.get(key)
        return row.version if row else 0
