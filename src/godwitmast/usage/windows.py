"""Usage windows: frozen once by compare-and-set, reported with the frozen figures.

Every write here checks the lease, so a holder that has lost it can neither freeze a
window nor mark one as reported. A window's figures are those in its stored object and
are never computed again.
"""

import hashlib
import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from godwitmast.errors import Undecodable
from godwitmast.logs import log_event
from godwitmast.platform_api.epoch import epoch_of
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
    object_name,
    window_key,
)

Checks = dict[str, int]


SETTLE_FLUSH_INTERVALS = 1.5
"""More than one interval, since writes are jittered and take a moment to arrive."""

CHECKS_PER_SETTLE_TIME = 3

MAX_AWAITED_WINDOWS = 1
"""Number of windows that wait for an entry whose row was sealed. After that it counts
as dead: freezing late risks never freezing in time, since the table or the holder of
the duty can fail meanwhile."""

SEALED_GRACE_FRACTION = 0.6
"""Fraction of the grace for which such an entry is awaited; shorter than for others,
since it has more likely stopped for good."""

RECOVERY_FLUSH_INTERVALS = 2.0
"""More than one interval, since a write may still be waiting for its time-out when the
table recovers."""


class UsageTiming(NamedTuple):
    """The timing of the usage journal and of usage reports.

    A window is frozen as soon as every entry has written past its end, and at the
    latest `grace_s` after its end. The row of an entry that has not written since a
    window ended is sealed `seal_s` after that end. The row of a run that has ended is
    removed after `keep_s`. A stopping entry retries its last write for up to `stop_s`.
    """

    window_s: int = 60
    flush_s: float = 5.0
    grace_s: float = 15.0
    seal_s: float = 45.0
    keep_s: float = 3600.0
    stop_s: float = 20.0

    @property
    def settle_s(self) -> float:
        """Return the seconds after a window's end by which every entry should have written."""
        return min(self.grace_s, SETTLE_FLUSH_INTERVALS * self.flush_s)

    @property
    def recheck_s(self) -> float:
        """Return the seconds between checks of a window that waits for entries."""
        return self.settle_s / CHECKS_PER_SETTLE_TIME

    @property
    def recovery_s(self) -> float:
        """Return the seconds that entries need after an outage to write buffered usage."""
        return RECOVERY_FLUSH_INTERVALS * self.flush_s


@dataclass(frozen=True, slots=True)
class Frozen:
    """A window was frozen; `late` says whether it includes usage of earlier ones.

    `runs` counts the segments that the window includes, so that a run with several
    counts several times. `sealed_runs` are the runs whose rows were sealed for it. `window` and `digest` are the
    content of its object, so that it can be reported while the table is unreachable.
    `head` is the head row as written.
    """

    start: int
    runs: int
    late: bool
    sealed_runs: tuple[str, ...] = ()
    window: FrozenWindow | None = field(default=None, compare=False)
    digest: str = field(default="", compare=False)
    head: UsageHead | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class NotDue:
    """No window can be frozen before `wait_s` seconds have passed."""

    wait_s: float
    head: UsageHead | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class NotWritten:
    """The table is unreachable, the lease is lost, or the outcome is unknown."""


@dataclass(frozen=True, slots=True)
class HeadOutdated:
    """The head row is missing, or was written before the table was restored."""


FreezeOutcome = Frozen | NotDue | NotWritten | HeadOutdated


class CollectedWindow(NamedTuple):
    """A window's figures, and for each run the last window collected from its journal.

    `runs` counts the segments that were added up, not the runs.
    """

    window: FrozenWindow
    marks: dict[str, int]
    runs: int


def collect_window(
    rows: Iterable[NodeRow], marks: dict[str, int], start: int, window_s: int
) -> CollectedWindow:
    """Add up the final segments up to this window that no earlier window includes."""
    figures: Sums = {}
    late: Sums = {}
    marks = dict(marks)
    runs = 0
    for row in rows:
        last_collected = marks.get(row.incarnation, -1)
        for window_start, sums in row.segments.items():
            if last_collected < window_start <= start and row.is_final(window_start):
                add_sums(figures, sums)
                if window_start < start:
                    add_sums(late, sums)
                runs += 1
        # From a journal that is still in this window, only earlier ones are final.
        last = start if row.is_final(start) else min(start, row.window - 1)
        marks[row.incarnation] = max(last_collected, last)
    window = FrozenWindow(start, start + window_s, dump_sums(figures), dump_sums(late))
    return CollectedWindow(window, marks, runs)


def freeze_next(
    lease: Checks,
    wall: float,
    timing: UsageTiming,
    may_seal: bool = True,
    may_create: bool = True,
    restored_at: float = -math.inf,
) -> Steps[FreezeOutcome]:
    """Freeze the next window if every entry has written past it or its grace is over.

    Load pattern: entries, and the holder of this duty too, crash, are suspended, or are
    refused by the table for seconds. Freezing as early as possible avoids depending on
    one holder at a late moment. Waiting for entries includes usage that an entry could
    write only seconds after the window's end.

    Rows of entries that have stopped writing may be sealed only if `may_seal`: just
    after an outage of the table, entries are still writing the usage that they buffered.
    A missing head row is created only if `may_create`. `restored_at` is when the table
    was last restored, if it was.
    """
    found = yield Read([HEAD_KEY])
    if not isinstance(found, Rows):
        return NotWritten()
    width = timing.window_s
    head_version = found.version(HEAD_KEY)
    if found.value(HEAD_KEY) is None:
        if not may_create:
            return HeadOutdated()
        yield from create_head(lease, wall, width)
        return NotWritten()
    head = UsageHead(**found.value(HEAD_KEY))
    if head.epoch is not None and head.epoch != epoch_of(head_version):
        return HeadOutdated()
    start = head.frozen + width
    end = start + width
    if wall < end + timing.settle_s:
        return NotDue(end + timing.settle_s - wall, head)
    nodes = yield Scan(NODE_PREFIX)
    if not isinstance(nodes, Rows):
        return NotWritten()
    rows = {key: load_node(row.value) for key, row in nodes.rows.items()}
    unfinished = [key for key, row in rows.items() if not row.is_final(start)]
    sealable = [
        key
        for key in unfinished
        if is_superseded(rows[key], rows.values())
        or (may_seal and is_silent(rows[key], wall, timing, restored_at))
    ]
    some_alive = len(sealable) < len(unfinished)
    late_s = wall - end
    if some_alive and (late_s < timing.grace_s or not may_seal):
        return NotDue(timing.recheck_s, head)
    if late_s < SEALED_GRACE_FRACTION * timing.grace_s and awaits_sealed_entry(
        rows, start, width
    ):
        return NotDue(timing.recheck_s, head)
    for key in sealable:
        collected = head.marks.get(rows[key].incarnation, -1)
        sealed = rows[key]._replace(ended=True, sealed=True, collected=collected)
        if not (yield from seal_row(lease, sealed, nodes.version(key))):
            # The entry wrote meanwhile, or the lease is lost: read the rows again.
            return NotDue(0.0, head)
        rows[key] = sealed
    figures = collect_window(rows.values(), head.marks, start, width)
    checks = {**lease, HEAD_KEY: head_version}
    new_head = UsageHead(start, figures.marks, epoch_of(head_version))
    digest = yield from write_window(checks, figures.window, new_head)
    if digest is None:
        return NotWritten()
    window, runs = figures.window, figures.runs
    sealed_runs = tuple(rows[key].incarnation for key in sealable)
    return Frozen(start, runs, bool(window.late), sealed_runs, window, digest, new_head)


def create_head(lease: Checks, wall: float, width: int) -> Steps[bool]:
    """Create the head row, if there is none, so that the current window is the first.

    Usage from before that window counts as late. Return whether the head row exists, as
    far as is known.
    """
    start = int(wall // width) * width - width
    head = UsageHead(start, {}, max(map(epoch_of, lease.values()), default=0))
    result = yield Transact({**lease, HEAD_KEY: 0}, {HEAD_KEY: head._asdict()})
    return isinstance(result, Written | Conflict)


def awaits_sealed_entry(rows: dict[str, NodeRow], start: int, width: int) -> bool:
    """Return whether an entry whose row was sealed may still add usage to this window.

    An entry that was disconnected for longer than the grace of one window often returns
    within that of the next, which would otherwise lack its figures as well.
    """
    first_awaited = start - MAX_AWAITED_WINDOWS * width
    return any(
        row.sealed
        and first_awaited <= row.window <= start
        and not is_superseded(row, rows.values())
        for row in rows.values()
    )


def is_silent(
    row: NodeRow, wall: float, timing: UsageTiming, restored_at: float = -math.inf
) -> bool:
    """Return whether `seal_s` have passed since the end of the last window of a row.

    After a restore of the table it counts from then on: the row may be one that its
    entry has written again and again since, and a slow entry needs seconds to do so.

    Unless the row is sealed, the entry's last figures stay unbilled: missing from their
    window and too late for the next. An entry that was only paused, disconnected or
    refused by the table finds its row sealed, and continues under a new incarnation
    with the usage that the sealed row lacks.
    """
    return wall >= max(row.window + timing.window_s, restored_at) + timing.seal_s


def is_superseded(row: NodeRow, rows: Iterable[NodeRow]) -> bool:
    """Return whether a newer run of the same entry has written, so this one has ended."""
    return any(o.node == row.node and o.window > row.window for o in rows)


def write_window(
    checks: Checks, window: FrozenWindow, head: UsageHead
) -> Steps[str | None]:
    """Store a window's figures as final, and return their digest.

    Only the first write of a window succeeds. Return None if this one did not, as far
    as is known.
    """
    content = encode_window(window)
    digest = hashlib.sha256(content).hexdigest()
    name = object_name(window.start, digest)
    put = yield PutObject(name, content)
    if isinstance(put, Failure):
        return None
    key = window_key(window.start)
    result = yield Transact(
        {**checks, key: 0},
        {HEAD_KEY: head._asdict(), key: {"object": name, "digest": digest}},
    )
    return digest if isinstance(result, Written) else None


class DueReport(NamedTuple):
    """A frozen window that the usage intake has not confirmed.

    `marked_settled` is false if the window before it was marked when an earlier report
    of it could still arrive.
    """

    window: FrozenWindow
    digest: str
    reported_version: int
    marked_settled: bool = True


def next_report(window_s: int) -> Steps[DueReport | Failure | None]:
    """Return the oldest unreported frozen window, None if there is none, or a failure."""
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
    try:
        window = decode_window(content.content)
    except Undecodable as error:
        name = row["object"]
        log_event("usage_window_bad", level="ERROR", object=name, error=str(error))
        return Failure.NOT_DONE
    # A holder of a version before this field may have left a report.
    settled = reported is None or reported.get("settled") is True
    return DueReport(window, row["digest"], version, settled)


def mark_reported(
    lease: Checks, due: DueReport, settled: bool = True
) -> Steps[int | None]:
    """Record that the intake accepted a window, and return that row's new version.

    `settled` is whether no earlier report of this holder may still arrive.
    None if the write failed or its outcome is unknown: the window is then sent again
    with identical figures.
    """
    row = {"start": due.window.start, "digest": due.digest, "settled": settled}
    result = yield Transact(
        {**lease, REPORTED_KEY: due.reported_version}, {REPORTED_KEY: row}
    )
    return result.versions[REPORTED_KEY] if isinstance(result, Written) else None


def seal_row(lease: Checks, sealed: NodeRow, version: int) -> Steps[bool]:
    """Write the sealed row of an entry that has stopped writing.

    Its last segment could otherwise never be billed. If the entry was only paused or
    disconnected, its next write fails on the changed row, and it continues under a new
    incarnation with the rest.
    """
    key = node_key(sealed.incarnation)
    result = yield Transact({**lease, key: version}, {key: dump_node(sealed)})
    return isinstance(result, Written)


def remove_row(lease: Checks, row: NodeRow, version: int) -> Steps[bool]:
    """Remove the row and the mark of an ended run whose usage is all in frozen windows."""
    found = yield Read([HEAD_KEY])
    if not isinstance(found, Rows) or found.value(HEAD_KEY) is None:
        return False
    head = UsageHead(**found.value(HEAD_KEY))
    if any(
        window_start > head.marks.get(row.incarnation, -1)
        for window_start in row.segments
    ):
        return False
    marks = {k: v for k, v in head.marks.items() if k != row.incarnation}
    key = node_key(row.incarnation)
    result = yield Transact(
        {**lease, HEAD_KEY: found.version(HEAD_KEY), key: version},
        {HEAD_KEY: head._replace(marks=marks)._asdict(), key: None},
    )
    return isinstance(result, Written)
