"""The layout of usage in the platform's table and objects."""

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

from godwitmast.bounds import Sum, UnixSeconds
from godwitmast.decoding import decode_json
from godwitmast.errors import Undecodable
from godwitmast.types import Json
from godwitmast.usage.meter import Sums, UsageKey, UsageSum

NODE_PREFIX = "node/"
"""One row per run of an entry: its heartbeat, config version, load and journal."""

HEAD_KEY = "usage/head"
"""The row with the last frozen window, and how far each journal is in windows."""

REPORTED_KEY = "usage/reported"
"""The row with the last window that the intake accepted."""

WINDOW_PREFIX = "usage/window/"
WINDOW_DIGITS = 12


class NodeRow(NamedTuple):
    """The row that an entry writes about itself every few seconds.

    `segments` holds its usage by the start of the window, in seconds since the epoch.
    `window` is the window that the entry still adds to; all earlier ones are final. If
    `ended`, all are final, because the entry stopped or its row was sealed. A sealed row
    also holds the last window that was collected from the run before: the row itself may
    be an old one that a restore of the table brought back.
    """

    node: str
    zone: str
    incarnation: str
    sequence: int
    config: int
    window: int
    segments: dict[int, Sums]
    load: dict[str, Any]
    ended: bool = False
    sealed: bool = False
    collected: int = -1

    def is_final(self, window_start: int) -> bool:
        """Return whether the segment of a window can no longer grow."""
        return self.ended or window_start < self.window


class UsageHead(NamedTuple):
    """The last frozen window; `marks` holds the last window collected from each run.

    `epoch` is that of the table when the row was written, None in rows of processes
    that did not know of epochs.
    """

    frozen: int
    marks: dict[str, int]
    epoch: int | None = None


def node_key(incarnation: str) -> str:
    return f"{NODE_PREFIX}{incarnation}"


def window_key(start: int) -> str:
    return f"{WINDOW_PREFIX}{start:0{WINDOW_DIGITS}}"


def object_name(start: int, digest: str) -> str:
    """Return the name of the object that holds a window."""
    return f"{window_key(start)}/{digest}"


def dump_sums(sums: Sums) -> list[list[Any]]:
    """Return sums in JSON form: sorted, one list for each key."""
    return [[*key, *value] for key, value in sorted(sums.items())]


def load_sums(rows: list[list[Any]]) -> Sums:
    return {UsageKey(*row[:3]): UsageSum(*row[3:]) for row in rows}


def dump_node(row: NodeRow) -> Json:
    segments = {str(start): dump_sums(sums) for start, sums in row.segments.items()}
    value = row._replace(segments=segments)._asdict()  # type: ignore[arg-type]
    if not row.sealed:
        del value["collected"]
    return value


def load_node(value: Json) -> NodeRow:
    row = NodeRow(**value)
    segments = {int(start): load_sums(s) for start, s in row.segments.items()}  # type: ignore[arg-type]
    return row._replace(segments=segments)


def latest_runs(rows: Iterable[tuple[NodeRow, int]]) -> list[NodeRow]:
    """Return the row that each entry wrote last, from rows and their versions.

    The rows of runs that were killed stay for a while beside that of the present one.
    Once they are sealed, their last version is not the entry's own.
    """
    latest: dict[str, tuple[NodeRow, int]] = {}
    for row, version in rows:
        if row.sealed:
            continue
        known = latest.get(row.node)
        if known is None or known[1] < version:
            latest[row.node] = row, version
    return [row for row, _ in latest.values()]


class FrozenWindow(NamedTuple):
    """The final figures of a window.

    `late` is the part of `figures` that belongs to earlier windows and arrived after
    they were frozen.
    """

    start: int
    end: int
    figures: list[list[Any]]
    late: list[list[Any]]


def encode_window(window: FrozenWindow) -> bytes:
    return msgspec.json.encode(window)


class StoredWindow(NamedTuple):
    """A `FrozenWindow` as its object has it."""

    start: UnixSeconds
    end: UnixSeconds
    figures: list[tuple[str, str, str, Sum, Sum, Sum]]
    late: list[tuple[str, str, str, Sum, Sum, Sum]]


def decode_window(content: bytes) -> FrozenWindow:
    """Return the window in an object; raise Undecodable if it is not valid."""
    stored = decode_json(content, StoredWindow)
    if stored.end <= stored.start:
        raise Undecodable(f"a window from {stored.start} to {stored.end}")
    return decode_json(content, FrozenWindow)
