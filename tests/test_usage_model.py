"""A model of usage, from meter to intake, under faults of all parts between them.

Hypothesis seeds itself from the source of the model classes. Imports under other names
keep that source, and so the examples, unchanged.
"""

from collections.abc import Iterable
from itertools import count
from typing import Any

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from fakes import FakePlatform, Fate
from godwitmast.platform_api.steps import Steps, Transact
from godwitmast.usage.journal import FlushOutcome as Flushed
from godwitmast.usage.journal import Journal, read_marks
from godwitmast.usage.meter import UsageKey, UsageSum
from godwitmast.usage.rows import (
    HEAD_KEY,
    NODE_PREFIX,
    FrozenWindow,
    UsageHead,
    encode_window,
    load_node,
)
from godwitmast.usage.windows import (
    DueReport,
    Frozen,
    UsageTiming,
    freeze_next,
    mark_reported,
    next_report,
)
from godwitmast.usage.windows import collect_window as gather
from godwitmast.usage.windows import remove_row as drop
from godwitmast.usage.windows import seal_row as seal
from models import BROKEN_EXAMPLES, EXPLORED, explore, without_compare

TIMING = UsageTiming(window_s=10, flush_s=1, grace_s=2, seal_s=5, keep_s=20)
KEY = UsageKey("team", "question", "godwit-lm")
ENTRIES = st.integers(0, 1)
REPORTERS = st.integers(0, 1)
FATES = st.sampled_from([Fate.ANSWERED] * 5 + list(Fate))


def requests(segments: Iterable[dict[UsageKey, UsageSum]]) -> int:
    return sum(value.requests for sums in segments for value in sums.values())


class UsageModel(RuleBasedStateMachine):
    """Two entries, two reporters that may both believe in the lease, one intake."""

    def alter(self, steps: Steps) -> Steps:
        """Return the protocol to run; a broken variant changes its steps."""
        return steps

    def figures_to_send(self, due: DueReport) -> FrozenWindow:
        return due.window

    @initialize()
    def begin(self) -> None:
        self.platform = FakePlatform()
        self.wall = 1000.0
        self.ids = count()
        self.metered = 0
        self.may_miss = 0
        self.intake: dict[int, set[bytes]] = {}
        self.reported: dict[int, FrozenWindow] = {}
        self.journals = [self.fresh(0), self.fresh(1)]
        self.flushes: list[Any] = [None, None]
        self.reporters: list[Any] = [None, None]
        self.leases = [{}, {}]
        self.lease_moves(0)
        self.lease_moves(1)

    def fresh(self, who: int) -> Journal:
        return Journal(f"entry-{who}", "a", TIMING.window_s, self.new_id)

    def new_id(self) -> str:
        return str(next(self.ids))

    def tick(self) -> None:
        EXPLORED[type(self).__name__] += 1

    @rule(seconds=st.sampled_from([1.0, 3.0, 10.0, 25.0]))
    def pass_time(self, seconds: float) -> None:
        self.tick()
        self.wall += seconds

    @rule(who=ENTRIES)
    def request_ends(self, who: int) -> None:
        self.tick()
        self.journals[who].add(KEY, UsageSum(1, 10, 100), self.wall)
        self.metered += 1

    @rule(who=ENTRIES, fate=FATES, times=st.integers(1, 3))
    def flush(self, who: int, fate: Fate, times: int) -> None:
        for _ in range(times):
            self.tick()
            if self.flushes[who] is None:
                steps = self.alter(self.journals[who].flush(self.wall))
                self.flushes[who] = [steps, next(steps)]
            self.advance_flush(who, fate)

    def advance_flush(self, who: int, fate: Fate) -> None:
        steps, step = self.flushes[who]
        journal = self.journals[who]
        key, unsaved = journal.key, self.unsaved(journal)
        gone = not self.platform.table.read([key])
        try:
            self.flushes[who][1] = steps.send(self.platform.take(step, fate))
        except StopIteration as stop:
            self.flushes[who] = None
            if stop.value is Flushed.SEALED and gone:
                self.may_miss += unsaved

    def unsaved(self, journal: Journal) -> int:
        """Return how many requests the table may not hold, as the entry knows."""
        saved = journal.last.segments if journal.last else {}
        held = {k: v for k, v in saved.items() if k in journal.segments}
        return requests(journal.segments.values()) - requests(held.values())

    @rule(who=ENTRIES)
    def entry_learns_what_is_frozen(self, who: int) -> None:
        self.tick()
        head = self.platform.run(read_marks()) if not self.platform.away else None
        if head is not None:
            self.journals[who].forget(head)

    @rule(who=ENTRIES)
    def entry_dies(self, who: int) -> None:
        self.tick()
        self.may_miss += self.unsaved(self.journals[who])
        if self.flushes[who] is not None:
            step = self.flushes[who][1]
            if isinstance(step, Transact):
                self.platform.late.append(step)
        self.journals[who], self.flushes[who] = self.fresh(who), None

    @rule(who=REPORTERS)
    def lease_moves(self, who: int) -> None:
        """Give a reporter the lease; the other does not know that yet."""
        self.tick()
        _, versions = self.platform.table.transact({}, {"lease/usage": who})
        self.leases[who] = {"lease/usage": versions["lease/usage"]}

    @rule(who=REPORTERS, fate=FATES, times=st.integers(1, 6))
    def reporter_works(self, who: int, fate: Fate, times: int) -> None:
        for _ in range(times):
            self.tick()
            if self.reporters[who] is None:
                steps = self.alter(self.duty(who))
                self.reporters[who] = [steps, next(steps)]
            steps, step = self.reporters[who]
            try:
                self.reporters[who][1] = steps.send(self.platform.take(step, fate))
            except StopIteration:
                self.reporters[who] = None

    def duty(self, who: int) -> Steps[None]:
        """Freeze a window if one is due, then send the oldest one."""
        yield from freeze_next(self.leases[who], self.wall, TIMING)
        due = yield from next_report(TIMING.window_s)
        if isinstance(due, DueReport):
            self.send(self.figures_to_send(due))
            yield from mark_reported(self.leases[who], due)

    def send(self, window: FrozenWindow) -> None:
        self.intake.setdefault(window.start, set()).add(encode_window(window))
        self.reported[window.start] = window

    @rule(who=REPORTERS)
    def reporter_restarts(self, who: int) -> None:
        self.tick()
        running = self.reporters[who]
        if running is not None and isinstance(running[1], Transact):
            self.platform.late.append(running[1])
        self.reporters[who] = None

    @rule(who=REPORTERS, index=st.integers(0, 3), remove=st.booleans())
    def row_is_sealed_or_dropped(self, who: int, index: int, remove: bool) -> None:
        """Take any entry for dead, also one that is only slow."""
        self.tick()
        rows = self.platform.table.scan(NODE_PREFIX, "", 100)
        if not rows or self.platform.away:
            return
        _, row = rows[index % len(rows)]
        node = load_node(row.value)
        if remove and node.ended:
            self.platform.run(drop(self.leases[who], node, row.version))
        elif not node.ended:
            self.platform.run(seal(self.leases[who], node, row.version))

    @rule(index=st.integers(0, 5))
    def late_write_arrives(self, index: int) -> None:
        self.tick()
        if self.platform.late:
            self.platform.arrive(index)

    @rule(away=st.sampled_from([False, False, True]))
    def table_goes_or_comes(self, away: bool) -> None:
        self.tick()
        self.platform.away = away

    @invariant()
    def one_set_of_figures_a_window(self) -> None:
        for start, sets in getattr(self, "intake", {}).items():
            assert len(sets) == 1, f"window {start} was reported with other figures"

    @invariant()
    def nothing_is_billed_twice(self) -> None:
        if hasattr(self, "reported"):
            assert self.billed() <= self.metered, "billed more than was metered"

    def billed(self) -> int:
        return sum(row[3] for w in self.reported.values() for row in w.figures)

    def teardown(self) -> None:
        """All comes back and stops cleanly: then nothing but the bound is missing."""
        if not hasattr(self, "platform"):
            return
        self.platform.away = False
        while self.platform.late:
            self.platform.arrive(0)
        for who, journal in enumerate(self.journals):
            while self.flushes[who] is not None:
                self.advance_flush(who, Fate.ANSWERED)
            while not (journal.last and journal.last.ended and journal.holds_all):
                self.flushes[who] = [steps := journal.flush(self.wall, ended=True), 0]
                self.flushes[who][1] = next(steps)
                while self.flushes[who] is not None:
                    self.advance_flush(who, Fate.ANSWERED)
        self.lease_moves(0)
        for node in self.platform.table.scan(NODE_PREFIX, "", 100):
            row = load_node(node[1].value)
            if not row.ended:
                self.platform.run(seal(self.leases[0], row, node[1].version))
        self.wall += 5 * TIMING.window_s
        self.platform.run(freeze_next(self.leases[0], self.wall, TIMING))
        # What an earlier start of the first window left out comes as late usage.
        self.wall += 5 * TIMING.window_s
        while isinstance(
            self.platform.run(freeze_next(self.leases[0], self.wall, TIMING)), Frozen
        ):
            pass
        while self.platform.run(next_report(TIMING.window_s)) is not None:
            self.platform.run(self.duty(0))
        self.one_set_of_figures_a_window()
        self.nothing_is_billed_twice()
        missing = self.metered - self.billed()
        assert missing <= self.may_miss, f"{missing} lost, bound {self.may_miss}"


class WithoutFreeze(UsageModel):
    """Adds a window up again each time that it is sent."""

    def figures_to_send(self, due: DueReport) -> FrozenWindow:
        rows = self.platform.table.scan(NODE_PREFIX, "", 100)
        nodes = [load_node(row.value) for _, row in rows]
        head = UsageHead(**self.platform.table.read([HEAD_KEY])[HEAD_KEY].value)
        marks = dict.fromkeys(head.marks, due.window.start - TIMING.window_s)
        return gather(nodes, marks, due.window.start, TIMING.window_s).window


class WithoutCompare(UsageModel):
    """Freezes and seals without looking whether another did first."""

    def alter(self, steps: Steps) -> Steps:
        return without_compare(steps)


def test_usage_is_reported_once_with_one_set_of_figures() -> None:
    explore(UsageModel, examples=250)


@pytest.mark.parametrize("broken", [WithoutFreeze, WithoutCompare])
def test_the_same_model_catches_broken_windows(broken: type[UsageModel]) -> None:
    with pytest.raises(AssertionError):
        explore(broken, examples=BROKEN_EXAMPLES)
