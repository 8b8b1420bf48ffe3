"""What the product asks of whatever platform it runs on."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from godwitmast.platform_api.messages import Row, TransactOutcome
from godwitmast.types import Json


class Table(Protocol):
    """A table with transactions, and objects beside it; calls raise PlatformError."""

    async def read(self, keys: list[str]) -> dict[str, Row]: ...

    async def scan(self, prefix: str, after: str = "") -> dict[str, Row]: ...

    async def transact(
        self, checks: dict[str, int], writes: dict[str, Json]
    ) -> TransactOutcome: ...

    async def get_object(self, name: str) -> bytes | None: ...

    async def put_object(self, name: str, content: bytes) -> None: ...


class UsageIntake(Protocol):
    """Where a frozen window's figures are reported; the same report may come twice."""

    async def report_usage(self, report: Json) -> None: ...


class Reporting(Table, UsageIntake, Protocol):
    """What the usage duty needs."""


class FeedRow(NamedTuple):
    """A row of somebody else's table, as its bytes; None if it was removed."""

    key: str
    content: bytes | None


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All rows of a table as of `version`."""

    rows: Sequence[FeedRow]
    version: int


@dataclass(frozen=True, slots=True)
class Changes:
    """The rows that changed up to `version`, in order; there may be none.

    `shared` says that they came without a call of this process's own.
    """

    rows: Sequence[FeedRow] = field(default_factory=tuple)
    version: int = 0
    shared: bool = False


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The changes since the version that was asked for are no longer told."""


class Feed(Protocol):
    """A table that tells its changes; calls raise PlatformError."""

    async def snapshot(self, table: str) -> Snapshot: ...

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> Changes | HistoryLost: ...
