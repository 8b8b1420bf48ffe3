"""Frozen windows as their holder knows them, and how it writes them again after a restore.

A restored table lacks the latest frozen windows, though the usage intake has them. They
must not be frozen anew, with other figures. The holder that froze them writes them
again as they were. If it is gone, no other process knows which windows it reported, and
those that it may have reported are held back: they are frozen without figures.
"""

from collections.abc import Mapping
from typing import NamedTuple

from godwitmast.platform_api.epoch import epoch_of
from godwitmast.platform_api.messages import Written
from godwitmast.platform_api.steps import (
    Failure,
    PutObject,
    Read,
    Rows,
    Scan,
    Steps,
    Transact,
)
from godwitmast.types import Json
from godwitmast.usage.rows import (
    HEAD_KEY,
    NODE_PREFIX,
    REPORTED_KEY,
    FrozenWindow,
    NodeRow,
    UsageHead,
    dump_node,
    encode_window,
    load_node,
    node_key,
    object_name,
    window_key,
)

KEPT_S = 60.0
"""How long after its end a window is kept; a restore loses some seconds."""

MIN_KEPT_WINDOWS = 2

MAX_HELD_BACK = 100
"""Latest windows that are counted and logged as held back after a restore."""


class KnownWindow(NamedTuple):
    """A frozen window, and the digest of its object."""

    window: FrozenWindow
    digest: str


class RestoredWindows(NamedTuple):
    """What was written again: windows with their figures, and those held back."""

    frozen_before: int
    frozen: int
    written: list[int]
    held_back: list[int]


class UsageLedger:
    """The latest frozen windows that this process froze or reported.

    `complete` says that no window was frozen since without its knowledge: it has held
    the lease since it last read the head row.
    """

    def __init__(self) -> None:
        self.complete = False
        self.head: UsageHead | None = None
        self.windows: dict[int, KnownWindow] = {}
        self.reported = -1
        self.ended_rows: dict[str, NodeRow] = {}

    def record_head(self, head: UsageHead) -> None:
        """Record the head row as read or written while the lease was held."""
        self.head = head
        self.complete = True

    def record_window(self, window: FrozenWindow, digest: str) -> None:
        """Keep a window; those that ended long before it are dropped."""
        self.windows[window.start] = KnownWindow(window, digest)
        while len(self.windows) > MIN_KEPT_WINDOWS:
            oldest = min(self.windows)
            if self.windows[oldest].window.end + KEPT_S >= window.end:
                return
            del self.windows[oldest]

    def record_reported(self, start: int) -> None:
        self.reported = max(self.reported, start)

    def record_rows(self, rows: Mapping[str, NodeRow]) -> None:
        """Keep the rows of ended runs, which nobody else writes again."""
        self.ended_rows = {key: row for key, row in rows.items() if row.ended}

    def windows_after(self, start: int) -> dict[int, KnownWindow]:
        return {at: known for at, known in self.windows.items() if at > start}


def merge_marks(first: Mapping[str, int], second: Mapping[str, int]) -> dict[str, int]:
    """Return for each run the last window collected by either."""
    runs = first.keys() | second.keys()
    return {run: max(first.get(run, -1), second.get(run, -1)) for run in runs}


def restore_windows(
    lease: dict[str, int], ledger: UsageLedger, width: int, restored_at: float
) -> Steps[RestoredWindows | None]:
    """Write the windows that the table lost, or hold back those that are unknown.

    `restored_at` is not before the restore. Return None if nothing was written, as far
    as is known.
    """
    found = yield Read([HEAD_KEY, REPORTED_KEY])
    if not isinstance(found, Rows):
        return None
    value = found.value(HEAD_KEY)
    if value is None and ledger.head is None:
        return None
    stored = UsageHead(**value) if value is not None else UsageHead(-1, {})
    lost = ledger.windows_after(stored.frozen)
    for start, item in lost.items():
        name = object_name(start, item.digest)
        if isinstance((yield PutObject(name, encode_window(item.window))), Failure):
            return None
    frozen = last_frozen(stored, ledger, width, restored_at)
    marks = merge_marks(stored.marks, ledger.head.marks if ledger.head else {})
    head = UsageHead(frozen, marks, max(map(epoch_of, lease.values())))
    writes = {HEAD_KEY: head._asdict(), **window_rows(lost)}
    writes |= report_row(found.value(REPORTED_KEY), ledger)
    checks = {key: found.version(key) for key in (HEAD_KEY, REPORTED_KEY)}
    result = yield Transact({**lease, **checks}, writes)
    if not isinstance(result, Written):
        return None
    first = (frozen if value is None else stored.frozen) + width
    # The row may be of any age: a list of all windows since then may fill the memory.
    latest = range(first, frozen + width, width)[-MAX_HELD_BACK:]
    held_back = [at for at in latest if at not in lost]
    return RestoredWindows(stored.frozen, frozen, sorted(lost), held_back)


def last_frozen(
    stored: UsageHead, ledger: UsageLedger, width: int, restored_at: float
) -> int:
    """Return the last window that is frozen from now on, also if its figures are unknown."""
    known = ledger.head.frozen if ledger.head else -1
    if ledger.complete:
        return max(stored.frozen, known)
    last_ended = int(restored_at // width) * width - width
    return max(stored.frozen, known, last_ended)


def window_rows(windows: Mapping[int, KnownWindow]) -> dict[str, Json]:
    return {
        window_key(start): {
            "object": object_name(start, item.digest),
            "digest": item.digest,
        }
        for start, item in windows.items()
    }


def report_row(stored: Json, ledger: UsageLedger) -> dict[str, Json]:
    """Return the row of the last reported window, if the stored one is behind."""
    last = ledger.windows.get(ledger.reported)
    if last is None or (stored is not None and stored["start"] >= ledger.reported):
        return {}
    row = {"start": ledger.reported, "digest": last.digest, "settled": False}
    return {REPORTED_KEY: row}


def restore_ended_rows(lease: dict[str, int], ledger: UsageLedger) -> Steps[list[str]]:
    """Write the last rows of ended runs again where the table has older ones.

    Return the runs whose rows were written.
    """
    found = yield Scan(NODE_PREFIX)
    if not isinstance(found, Rows):
        return []
    written = []
    for row in list(ledger.ended_rows.values()):
        key = node_key(row.incarnation)
        stored = found.value(key)
        if stored is not None and is_as_new(load_node(stored), row):
            continue
        check = {**lease, key: found.version(key)}
        result = yield Transact(check, {key: dump_node(row)})
        if isinstance(result, Written):
            written.append(row.incarnation)
    return written


def is_as_new(stored: NodeRow, row: NodeRow) -> bool:
    """Return whether a stored row is as new as an ended one of the same run."""
    if stored.sequence != row.sequence:
        return stored.sequence > row.sequence
    return stored.ended
