"""Protocols over the platform as generators of steps, without I/O.

A protocol yields one step at a time and is sent its result. Its code reads
sequentially, and a test can lose, delay or fail any step, or stop the protocol at it.
"""

from collections.abc import Generator
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeVar

from godwitmast.platform_api.messages import Conflict, Row, Written
from godwitmast.types import Json

T = TypeVar("T")


class Failure(Enum):
    """The result of a step that got no answer."""

    NOT_DONE = "not_done"
    """Nothing took effect."""
    UNKNOWN = "unknown"
    """A write may have taken effect, or may still do so; reading again shows which."""


@dataclass(frozen=True, slots=True)
class Read:
    """Read rows in one consistent read."""

    keys: list[str]


@dataclass(frozen=True, slots=True)
class Scan:
    """Read every row whose key starts with `prefix` and sorts after `after`."""

    prefix: str
    after: str = ""


@dataclass(frozen=True, slots=True)
class Transact:
    """Write all or nothing, if each row of `checks` has its version (0: no such row)."""

    checks: dict[str, int]
    writes: dict[str, Json]


@dataclass(frozen=True, slots=True)
class GetObject:
    """Read an object."""

    name: str


@dataclass(frozen=True, slots=True)
class PutObject:
    """Write an object; its name holds a digest or an id, so the write is idempotent."""

    name: str
    content: bytes


@dataclass(frozen=True, slots=True)
class Rows:
    """The rows that a Read or a Scan found."""

    rows: dict[str, Row] = field(default_factory=dict)

    def value(self, key: str) -> Json:
        """Return the value of a row, or None when there is no such row."""
        row = self.rows.get(key)
        return row.value if row else None

    def version(self, key: str) -> int:
        """Return the version of a row, or 0 when there is no such row."""
        row = self.rows.get(key)
        return row.version if row else 0


@dataclass(frozen=True, slots=True)
class ObjectRead:
    """The content of an object, or None when there is no such object."""

    content: bytes | None


@dataclass(frozen=True, slots=True)
class ObjectPut:
    """The object is stored."""


Step = Read | Scan | Transact | GetObject | PutObject
Result = Rows | Written | Conflict | ObjectRead | ObjectPut | Failure
Steps = Generator[Step, Result, T]
