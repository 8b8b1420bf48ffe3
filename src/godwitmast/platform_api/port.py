"""The interfaces that a platform has to provide."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from godwitmast.platform_api.messages import Row, TransactOutcome
from godwitmast.types import Json

WriteHook = Callable[[], None]
"""Called right before bytes of a call are written to its connection, head and body."""


class Table(Protocol):
    """A table with transactions, and an object store; calls raise PlatformError."""

    async def read(self, keys: list[str]) -> dict[str, Row]: ...

    async def scan(self, prefix: str, after: str = "") -> dict[str, Row]: ...

    async def transact(
        self, checks: dict[str, int], writes: dict[str, Json]
    ) -> TransactOutcome: ...

    async def get_object(self, name: str) -> bytes | None: ...

    async def put_object(self, name: str, content: bytes) -> None: ...


class UsageIntake(Protocol):
    """Receives the figures of frozen windows; the same report may be sent twice."""

    async def report_usage(self, report: Json, before_write: WriteHook) -> None: ...


class Reporting(Table, UsageIntake, Protocol):
    """The interfaces that the usage duty needs."""


class FeedRow(NamedTuple):
    """A row of an external table as raw bytes; None if it was removed."""

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

    `shared` says that they were received without a call by this process.
    """

    rows: Sequence[FeedRow]
    version: int
    shared: bool = False


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The changes since the requested version are no longer available."""


class Feed(Protocol):
    """A table with a change feed; calls raise PlatformError."""

    async def snapshot(self, table: str) -> Snapshot: ...

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> Changes | HistoryLost: ...
