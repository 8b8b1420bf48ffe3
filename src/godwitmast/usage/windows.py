"""Windows: frozen once by compare-and-set, reported with the frozen figures.

Every write here checks the lease, so that a deposed holder can neither freeze nor
mark as reported; and a window's figures are what its object holds, never computed
again.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from godwitmast.platform_api.messages import Conflict, Written
from godwitmast.platform_api.steps import (
    Failure,
    GetObject,
    ObjectRead,
    PutObject,
    Read,
    Rows,
    Scan,
    Steps,
    Transact,
)
from godwitmast.usage.meter import Sums, add_sums
from godwitmast.usage.rows import (
    HEAD_KEY,
    NODE_PREFIX,
    REPORTED_KEY,
    WINDOW_PREFIX,
    FrozenWindow,
    NodeRow,
    UsageHead,
    decode_window,
    dump_node,
    dump_sums,
    encode_window,
    load_node,
    node_key,
    window_key,
)

Checks = dict[str, int]


SETTLE_FLUSHES = 1.5
"""Writes are jittered, and take a moment to arrive."""

LOOKS_A_SETTLE = 3

MISSED_WINDOWS = 1
"""For how many windows an entry whose row was closed is waited for. After that it is
taken for dead: a window that is frozen late may be late for good, as the table or the
holder can go away meanwhile."""

MISSED_SHARE = 0.6
"""The part of the grace for which it is waited: more likely it is gone for good."""

BACK_FLUSHES = 2.0
"""One write may still wait out its time-out as the table comes back."""


class UsageTiming(NamedTuple):
    """How usage is journalled and reported.

    A window is frozen as soon as every entry has written past its end, and at the
    latest `grace_s` after it. The row of an entry that has not written since a window
    ended is sealed `seal_s` after that end. A stopping entry tries for `stop_s` to
    write its last row.
    """

    window_s: int = 60
    flush_s: float = 5.0
    grace_s: float = 15.0
    seal_s: float = 45.0
    keep_s: float = 3600.0
    stop_s: float = 20.0

    @property
    def settle_s(self) -> float:
        """Return how long after a window's end each entry should have written again."""
        return min(self.grace_s, SETTLE_FLUSHES * self.flush_s)

    @property
    def look_s(self) -> float:
        """Return how often a window is looked at that waits for entries."""
        return self.settle_s / LOOKS_A_SETTLE

    @property
    def back_s(self) -> float:
        """Return how long entries need after an outage to write what they kept."""
        return BACK_FLUSHES * self.flush_s


@dataclass(frozen=True, slots=True)
class Frozen:
    """A window was frozen; `late` says whether it holds usage of earlier ones.

    `closed` are the runs whose rows were closed for it. `window` and `digest` are what
    its object holds, so that it can be reported while the table is away.
    """

    start: int
    runs: int
    late: bool
    closed: tuple[str, ...] = ()
    window: FrozenWindow | None = field(default=None, compare=False)
    digest: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class NotDue:
    """No window is ready to be frozen before `wait_s` has passed."""

    wait_s: float


@dataclass(frozen=True, slots=True)
class NotWritten:
    """The table is away, the lease is gone, or the outcome is to be read again."""


FreezeOutcome = Frozen | NotDue | NotWritten


class Gathered(NamedTuple):
    """What a window takes from the journals, and how far each is then taken."""

    window: FrozenWindow
    marks: dict[str, int]
    runs: int


def gather(
    rows: Iterable[NodeRow], marks: dict[str, int], start: int, window_s: int
) -> Gathered:
    """Add up every final segment up to this window that no window has taken."""
    figures: Sums = {}
    late: Sums = {}
    marks = dict(marks)
    runs = 0
    for row in rows:
        taken = marks.get(row.incarnation, -1)
        for label, sums in row.segments.items():
            if taken < label <= start and row.final(label):
                add_sums(figures, sums)
                if label < start:
                    add_sums(late, sums)
                runs += 1
        # Of a journal that has not moved past this window, all before is taken.
        last = start if row.final(start) else min(start, row.window - 1)
        marks[row.incarnation] = max(taken, last)
    window = FrozenWindow(start, start + window_s, dump_sums(figures), dump_sums(late))
    return Gathered(window, marks, runs)


def freeze_next(
    lease: Checks, wall: float, timing: UsageTiming, may_close: bool = True
) -> Steps[FreezeOutcome]:
    """Freeze the next window if every entry is past it, or its time is up.

    Load pattern: entries die, freeze, or are turned away by the table for seconds, and
    so does the holder of this duty. Frozen early, a window does not depend on who holds
    the duty at one late moment; waited for, it holds what an entry could write only
    seconds after its end.

    Entries that are silent may only be closed if `may_close`: just after an outage of
    the table they write what they kept.
    """
    found = yield Read([HEAD_KEY])
    if not isinstance(found, Rows):
        return NotWritten()
    width = timing.window_s
    if found.value(HEAD_KEY) is None:
        yield from begin_windows(lease, wall, width)
        return NotWritten()
    head = UsageHead(**found.value(HEAD_KEY))
    start = head.frozen + width
    end = start + width
    if wall < end + timing.settle_s:
        return NotDue(end + timing.settle_s - wall)
    nodes = yield Scan(NODE_PREFIX)
    if not isinstance(nodes, Rows):
        return NotWritten()
    rows = {key: load_node(row.value) for key, row in nodes.rows.items()}
    behind = [key for key, row in rows.items() if not row.final(start)]
    gone = [
        key
        for key in behind
        if is_followed(rows[key], rows.values())
        or (may_close and is_silent(rows[key], wall, timing))
    ]
    lives = len(gone) < len(behind)
    late_s = wall - end
    if lives and (late_s < timing.grace_s or not may_close):
        return NotDue(timing.look_s)
    if late_s < MISSED_SHARE * timing.grace_s and misses_entry(rows, start, width):
        return NotDue(timing.look_s)
    for key in gone:
        if not (yield from seal(lease, rows[key], nodes.version(key))):
            # It lives after all, or the lease is gone: the next look tells.
            return NotDue(0.0)
        rows[key] = rows[key]._replace(ended=True, sealed=True)
    gathered = gather(rows.values(), head.marks, start, width)
    checks = {**lease, HEAD_KEY: found.version(HEAD_KEY)}
    digest = yield from write_window(checks, gathered)
    if digest is None:
        return NotWritten()
    window, runs = gathered.window, gathered.runs
    closed = tuple(rows[key].incarnation for key in gone)
    return Frozen(start, runs, bool(window.late), closed, window, digest)


def begin_windows(lease: Checks, wall: float, width: int) -> Steps[bool]:
    """Let the first window ever end now, if none has; what came before counts as late.

    Returns whether the table has a beginning, as far as is known.
    """
    start = int(wall // width) * width - width
    head = UsageHead(start, {})
    result = yield Transact({**lease, HEAD_KEY: 0}, {HEAD_KEY: head._asdict()})
    return isinstance(result, Written | Conflict)


def misses_entry(rows: dict[str, NodeRow], start: int, width: int) -> bool:
    """Return whether an entry whose row was closed may yet bring figures of a window.

    One that was cut off for longer than the grace of one window is often back within
    that of the next, which would lack its figures as well.
    """
    oldest = start - MISSED_WINDOWS * width
    return any(
        row.sealed
        and oldest <= row.window <= start
        and not is_followed(row, rows.values())
        for row in rows.values()
    )


def is_silent(row: NodeRow, wall: float, timing: UsageTiming) -> bool:
    """Return whether an entry has not written since long after its row's window.

    Its last figures could otherwise never be taken: they would be missing in their
    window and come too late in the next. An entry that was only paused, cut off or
    turned away finds its row sealed, and goes on under a new one with what the sealed
    row does not hold.
    """
    return wall >= row.window + timing.window_s + timing.seal_s


def is_followed(row: NodeRow, rows: Iterable[NodeRow]) -> bool:
    """Return whether a newer run of the same entry writes, so that this one is over."""
    return any(o.node == row.node and o.window > row.window for o in rows)


def write_window(checks: Checks, gathered: Gathered) -> Steps[str | None]:
    """Make a window's figures final, and return their digest.

    Only the first write of a window can; None for one that did not, as far as is known.
    """
    window = gathered.window
    content = encode_window(window)
    digest = hashlib.sha256(content).hexdigest()
    name = f"{window_key(window.start)}/{digest}"
    put = yield PutObject(name, content)
    if isinstance(put, Failure):
        return None
    key = window_key(window.start)
    head = UsageHead(window.start, gathered.marks)
    result = yield Transact(
        {**checks, key: 0},
        {HEAD_KEY: head._asdict(), key: {"object": name, "digest": digest}},
    )
    return digest if isinstance(result, Written) else None


class DueReport(NamedTuple):
    """A frozen window that the intake has not confirmed."""

    window: FrozenWindow
    digest: str
    reported_version: int


def next_report(window_s: int) -> Steps[DueReport | Failure | None]:
    """Return the oldest frozen window that is to be sent, if one is; or a failure."""
    found = yield Read([HEAD_KEY, REPORTED_KEY])
    if not isinstance(found, Rows):
        return Failure.NOT_DONE
    if found.value(HEAD_KEY) is None:
        return None
    frozen = found.value(HEAD_KEY)["frozen"]
    reported = found.value(REPORTED_KEY)
    version = found.version(REPORTED_KEY)
    if reported is not None and reported["start"] >= frozen:
        return None
    if reported is None:
        rows = yield Scan(WINDOW_PREFIX)
    else:
        rows = yield Scan(WINDOW_PREFIX, window_key(reported["start"]))
    if not isinstance(rows, Rows):
        return Failure.NOT_DONE
    if not rows.rows:
        return None
    row = rows.rows[min(rows.rows)].value
    content = yield GetObject(row["object"])
    if not isinstance(content, ObjectRead) or content.content is None:
        return Failure.NOT_DONE
    return DueReport(decode_window(content.content), row["digest"], version)


def mark_reported(lease: Checks, due: DueReport) -> Steps[int | None]:
    """Note that the intake took a window, and return the version of that note.

    None if it was not noted as far as is known: the window is sent again then, alike.
    """
    result = yield Transact(
        {**lease, REPORTED_KEY: due.reported_version},
        {REPORTED_KEY: {"start": due.window.start, "digest": due.digest}},
    )
    return result.versions[REPORTED_KEY] if isinstance(result, Written) else None


def seal(lease: Checks, row: NodeRow, version: int) -> Steps[bool]:
    """Close the journal of an entry that has gone silent.

    Its last segment could otherwise never be taken. If the entry was only paused or
    cut off, its next write fails on the changed row, and it goes on with the rest.
    """
    key = node_key(row.incarnation)
    closed = row._replace(ended=True, sealed=True)
    result = yield Transact({**lease, key: version}, {key: dump_node(closed)})
    return isinstance(result, Written)


def drop(lease: Checks, row: NodeRow, version: int) -> Steps[bool]:
    """Remove the row and the mark of a run that ended and was taken whole."""
    found = yield Read([HEAD_KEY])
    if not isinstance(found, Rows) or found.value(HEAD_KEY) is None:
        return False
    head = UsageHead(**found.value(HEAD_KEY))
    if any(label > head.marks.get(row.incarnation, -1) for label in row.segments):
        return False
    marks = {k: v for k, v in head.marks.items() if k != row.incarnation}
    key = node_key(row.incarnation)
    result = yield Transact(
        {**lease, HEAD_KEY: found.version(HEAD_KEY), key: version},
        {HEAD_KEY: head._replace(marks=marks)._asdict(), key: None},
    )
    return isinstance(result, Written)
