"""Model of the lease protocol under lost, delayed and repeated messages, pauses and
restarts, with calls that arrive late at a platform that doesn't check fencing tokens."""

import math
from collections import defaultdict
from dataclasses import dataclass, replace
from enum import Enum
from itertools import count

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from fakes import FakePlatform, Fate, RestoredPlatform
from godwitmast.lease.call_log import CallLog
from godwitmast.lease.machine import NO_HOLDER, LeaseMachine, LeaseTiming
from godwitmast.platform_api.messages import Written
from godwitmast.platform_api.steps import Read, Result, Rows, Step, Transact
from models import BROKEN_EXAMPLES, EXPLORED, explore

TIMING = LeaseTiming(ttl_s=8.0, guard_s=3.0, renew_s=2.0, watch_s=1.0, late_s=8.0)
LATE_STEPS = 20
"""Steps of an example in the search for late calls, each of which needs few rules."""

FROZEN_KEY = "usage/frozen"
MARKED_KEY = "usage/marked"

PROCESSES = st.integers(0, 2)
FATES = st.sampled_from([Fate.ANSWERED] * 4 + list(Fate))


@dataclass
class Contender:
    """A process with its own clocks and at most one step in flight."""

    machine: LeaseMachine
    rate: float
    wall_offset: float = 0.0
    sent: Step | None = None
    answer: Result | None = None


class Kind(Enum):
    """What a call is for; the platform compares the tokens of calls of one kind."""

    ORDER = "order"
    REPORT = "report"


KINDS = st.sampled_from(Kind)


class Fault(Enum):
    """What befalls the holder around a call."""

    NONE = "none"
    PAUSED = "paused"
    PAUSED_BEFORE_WRITE = "paused_before_write"
    STOPPED = "stopped"
    KILLED = "killed"


@dataclass
class Call:
    """A call of one machine; `window` and its mark's version are those of a report."""

    machine: LeaseMachine
    fence: int
    kind: Kind
    window: int = 0
    mark_version: int = 0
    written_at: float | None = None
    open: bool = True
    arrived: bool = False


class LeaseModel(RuleBasedStateMachine):
    """Three contenders, their table, and a platform that obeys whoever calls.

    A process that no rule picks is paused: time passes for it as for the rest.
    """

    machine_type: type[LeaseMachine] = LeaseMachine
    rates = (0.9, 1.0, 1.1)
    checks_at_write = True
    marks_only_settled = True
    """Whether a mark tells that an earlier report of its holder may still arrive."""

    @initialize()
    def begin(self) -> None:
        self.platform = FakePlatform()
        self.time = 1000.0
        self.names = count()
        self.calls: list[Call] = []
        self.highest_fences: defaultdict[Kind, int] = defaultdict(int)
        self.senders: dict[int, str] = {}
        self.frozen_by: dict[tuple[int, int], str] = {}
        self.contenders = [Contender(self.fresh(), rate) for rate in self.rates]
        # Within `late_s` of the slowest clocks of a holder and the fastest of the next:
        # both times of a lapse count from one renewal.
        ttl_s, late_s = TIMING.ttl_s, TIMING.late_s
        self.arrives_s = (ttl_s + late_s) / max(self.rates) - ttl_s / min(self.rates)

    def fresh(self) -> LeaseMachine:
        return self.machine_type("spend", f"holder-{next(self.names)}", TIMING)

    def clocks(self, contender: Contender) -> tuple[float, float]:
        now = self.time * contender.rate
        return now, now + contender.wall_offset

    def count(self) -> None:
        EXPLORED[type(self).__name__] += 1

    @rule(seconds=st.sampled_from([0.5, 1.0, 2.0, 3.0, 12.0, 14.0]))
    def pass_time(self, seconds: float) -> None:
        self.count()
        self.time += seconds
        self.calls = [
            call
            for call in self.calls
            if call.open or (not call.arrived and self.may_arrive(call))
        ]

    def may_arrive(self, call: Call) -> bool:
        written_at = call.written_at
        return written_at is not None and self.time < written_at + self.arrives_s

    @rule(rounds=st.integers(1, 16), paused=st.sets(PROCESSES, max_size=2))
    def run(self, rounds: int, paused: set[int]) -> None:
        """Let all but the paused ones work for a while, as they mostly do."""
        for _ in range(rounds):
            self.pass_time(1.0)
            for who in {0, 1, 2} - paused:
                if self.holds(who):
                    self.call_is_answered(who, Kind.ORDER)
                    self.call_is_answered(who, Kind.REPORT)
                self.take_a_step(who, Fate.ANSWERED)

    def holds(self, who: int) -> bool:
        contender = self.contenders[who]
        return contender.machine.fence_if_held(*self.clocks(contender)) is not None

    @rule(
        kind=KINDS,
        stale=st.integers(0, 8),
        fault=st.sampled_from(Fault),
        again=st.booleans(),
        rounds=st.integers(0, 16),
    )
    def call_arrives_late(
        self, kind: Kind, stale: int, fault: Fault, again: bool, rounds: int
    ) -> None:
        """Have the holder call some time after a renewal, and others work meanwhile."""
        self.late_call(kind, stale, fault, again, rounds)

    def late_call(
        self, kind: Kind, stale: int, fault: Fault, again: bool, rounds: int
    ) -> None:
        holder = self.some_holder()
        if holder is None:
            return
        self.run(stale, {holder})
        call = self.try_call(holder, kind)
        if call is None:
            return
        if fault is not Fault.PAUSED_BEFORE_WRITE:
            self.write(call)
            if call.open:
                self.end(call, settled=False)
        if again:
            self.call_is_answered(holder, kind)
        match fault:
            case Fault.STOPPED:
                self.leave(holder, cancels=True)
                self.take_a_step(holder, Fate.ANSWERED)
            case Fault.KILLED:
                self.restart_empty(holder)
        paused = fault in (Fault.PAUSED, Fault.PAUSED_BEFORE_WRITE)
        self.work_meanwhile(rounds, {holder} if paused else set())
        if call.open and call.written_at is None:
            self.write(call)
        if not call.arrived and self.may_arrive(call):
            self.arrive(call, answered=False)

    def some_holder(self) -> int | None:
        """Replace the processes that have stopped, and return one that holds the lease."""
        self.platform.away = False
        for who, contender in enumerate(self.contenders):
            if contender.machine.calls_stopped:
                self.restart_empty(who)
        if not any(map(self.holds, range(3))):
            self.run(13, set())
        return next(filter(self.holds, range(3)), None)

    def work_meanwhile(self, rounds: int, paused: set[int]) -> None:
        self.run(rounds, paused)

    @rule(who=PROCESSES, fate=FATES)
    def take_a_step(self, who: int, fate: Fate) -> None:
        """Send what is due and learn the result at once."""
        self.send(who)
        self.reach_table(who, fate)
        self.learn(who)

    @rule(who=PROCESSES)
    def send(self, who: int) -> None:
        self.count()
        contender = self.contenders[who]
        if contender.sent is None and contender.answer is None:
            contender.sent = contender.machine.step(*self.clocks(contender))

    @rule(who=PROCESSES, fate=FATES)
    def reach_table(self, who: int, fate: Fate) -> None:
        self.count()
        contender = self.contenders[who]
        if contender.sent is not None:
            contender.answer = self.platform.take(contender.sent, fate)
            contender.sent = None

    @rule(who=PROCESSES)
    def learn(self, who: int) -> None:
        self.count()
        contender = self.contenders[who]
        if contender.answer is not None:
            contender.machine.took(contender.answer, self.clocks(contender)[0])
            contender.answer = None

    @rule(who=PROCESSES, rounds=st.integers(1, 16))
    def answer_comes_late(self, who: int, rounds: int) -> None:
        """The step takes effect, but its process is paused before it learns that."""
        self.send(who)
        self.reach_table(who, Fate.ANSWERED)
        self.run(rounds, {who})
        self.learn(who)

    @rule(index=st.integers(0, 5))
    def late_write_arrives(self, index: int) -> None:
        self.count()
        if self.platform.late:
            self.platform.arrive(index)

    @rule(who=PROCESSES, kind=KINDS)
    def begin_call(self, who: int, kind: Kind) -> None:
        """Begin a call, which is written later or never."""
        self.try_call(who, kind)

    def try_call(self, who: int, kind: Kind) -> Call | None:
        """Begin a call and return it, None if it may not begin."""
        self.count()
        contender = self.contenders[who]
        machine = contender.machine
        call = Call(machine, 0, kind)
        settled = kind is Kind.REPORT and self.freeze(who, call)
        if kind is Kind.REPORT and not call.window:
            return None
        fence = machine.begin_call(*self.clocks(contender), settled)
        if fence is None:
            return None
        call.fence = fence
        self.calls.append(call)
        return call

    def freeze(self, who: int, call: Call) -> bool:
        """Set the window to report, after freezing one if all are marked.

        Return whether the first window that isn't marked shows that no report of the
        last holder is on the way. A process reports one window at a time.
        """
        contender = self.contenders[who]
        machine = contender.machine
        reporting = any(
            c.machine is machine and c.window and c.open for c in self.calls
        )
        fence = machine.fence_if_held(*self.clocks(contender))
        rows = self.take_usage(who, Read([FROZEN_KEY, MARKED_KEY]))
        if reporting or fence is None or not isinstance(rows, Rows):
            return False
        frozen = rows.value(FROZEN_KEY) or 0
        mark = rows.value(MARKED_KEY) or {"window": 0, "settled": True}
        if frozen == mark["window"]:
            checks = {**machine.checks, FROZEN_KEY: rows.version(FROZEN_KEY)}
            step = Transact(checks, {FROZEN_KEY: frozen + 1})
            if not isinstance(self.take_usage(who, step), Written):
                return False
            self.frozen_by[fence, frozen + 1] = machine.holder
        call.window, call.mark_version = mark["window"] + 1, rows.version(MARKED_KEY)
        return (fence, call.window) in self.frozen_by and mark["settled"]

    def mark(self, who: int, call: Call) -> None:
        """Record that a report was answered."""
        now = self.clocks(self.contenders[who])[0]
        settled = call.machine.calls_settled(now)
        row = {
            "window": call.window,
            "settled": settled or not self.marks_only_settled,
        }
        checks = {**call.machine.checks, MARKED_KEY: call.mark_version}
        self.take_usage(who, Transact(checks, {MARKED_KEY: row}))

    def take_usage(self, who: int, step: Step) -> Result:
        return self.platform.take(step)

    @rule(index=st.integers(0, 5))
    def write_call(self, index: int) -> None:
        """Write a call if the lease is still held; its process may have been paused."""
        self.count()
        calls = [c for c in self.calls if c.open and c.written_at is None]
        if calls:
            self.write(calls[index % len(calls)])

    def write(self, call: Call) -> None:
        contender = self.contenders[self.owner(call)]
        fence = call.machine.fence_if_held(*self.clocks(contender))
        if fence == call.fence or not self.checks_at_write:
            call.written_at = self.time
        else:
            self.end(call, settled=True)

    @rule(index=st.integers(0, 5), answered=st.booleans())
    def call_arrives(self, index: int, answered: bool) -> None:
        self.count()
        calls = [c for c in self.calls if not c.arrived and self.may_arrive(c)]
        if calls:
            self.arrive(calls[index % len(calls)], answered)

    def arrive(self, call: Call, answered: bool) -> None:
        """Perform a call at the platform, whose answer arrives if its caller waits."""
        call.arrived = True
        fence, kind = call.fence, call.kind
        holder = self.senders.setdefault(fence, call.machine.holder)
        assert holder == call.machine.holder, f"two processes sent {fence}"
        assert fence >= self.highest_fences[kind], "a deposed holder was obeyed"
        self.highest_fences[kind] = fence
        if answered and call.open:
            self.end(call, settled=True)

    @rule(index=st.integers(0, 5))
    def call_fails(self, index: int) -> None:
        """Time out or cancel a call, which is settled only if it wasn't written."""
        self.count()
        calls = [c for c in self.calls if c.open]
        if calls:
            call = calls[index % len(calls)]
            self.end(call, settled=call.written_at is None)

    def owner(self, call: Call) -> int:
        return next(
            n for n, c in enumerate(self.contenders) if c.machine is call.machine
        )

    def end(self, call: Call, settled: bool) -> None:
        call.open = False
        who = self.owner(call)
        now = self.clocks(self.contenders[who])[0]
        call.machine.end_call(call.fence, settled, now)
        if settled and call.arrived and call.window:
            self.mark(who, call)

    @rule(who=PROCESSES, kind=KINDS)
    def call_is_not_answered(self, who: int, kind: Kind) -> None:
        """Write a call that is cancelled at once and may arrive late."""
        call = self.try_call(who, kind)
        if call is not None:
            self.write(call)
            if call.open:
                self.end(call, settled=False)

    @rule(who=PROCESSES, kind=KINDS)
    def call_is_answered(self, who: int, kind: Kind) -> None:
        call = self.try_call(who, kind)
        if call is not None:
            self.write(call)
            if call.open:
                self.arrive(call, answered=True)

    @rule(who=PROCESSES)
    def restart_empty(self, who: int) -> None:
        self.count()
        old = self.contenders[who]
        if old.sent is not None:
            self.platform.late.append(old.sent)
        for call in self.calls:
            call.open = call.open and call.machine is not old.machine
        self.contenders[who] = replace(
            old, machine=self.fresh(), sent=None, answer=None
        )

    @rule(who=PROCESSES, seconds=st.sampled_from([-3600.0, -5.0, 5.0, 3600.0]))
    def wall_clock_jumps(self, who: int, seconds: float) -> None:
        self.count()
        self.contenders[who].wall_offset += seconds

    @rule(who=st.integers(0, 8))
    def stop_calls(self, who: int) -> None:
        """Begin no more calls; the lease is released once those that are open ended."""
        self.count()
        if who < len(self.contenders):
            self.contenders[who].machine.stop_calls()

    @rule(who=st.integers(0, 8), cancels=st.booleans())
    def leave(self, who: int, cancels: bool) -> None:
        """Give the lease up without an open call; cancel them if they take too long."""
        self.stop_calls(who)
        if who >= len(self.contenders):
            return
        machine = self.contenders[who].machine
        if cancels:
            for call in [c for c in self.calls if c.open and c.machine is machine]:
                self.end(call, settled=call.written_at is None)
        if not machine.calls.open_count:
            machine.give_up()

    @rule(away=st.sampled_from([False, False, True]))
    def table_goes_or_comes(self, away: bool) -> None:
        self.count()
        self.platform.away = away

    @invariant()
    def one_holder(self) -> None:
        holders = [
            contender.machine.holder
            for contender in getattr(self, "contenders", [])
            if contender.machine.fence_if_held(*self.clocks(contender)) is not None
        ]
        assert len(holders) <= 1, f"{holders} all believe they are in charge"


class RestoredLeaseModel(LeaseModel):
    """The same, with a table that is restored now and then.

    The first processes know that they belong to the first start of the system, and that
    the epoch is 1. Others know no epoch before the table's first answer.
    """

    @initialize()
    def begin(self) -> None:
        super().begin()
        for contender in self.contenders:
            contender.machine.first_start = True
        self.platform = RestoredPlatform()
        self.backups = [self.platform.backup()]
        self.known = [1, 1, 1]
        self.restored = [False, False, False]
        self.sent_epochs = [1, 1, 1]
        self.answer_epochs = [1, 1, 1]
        self.holders_of_fences: dict[int, str] = {}
        self.restore_next: tuple[int, int] | None = None

    @rule(seconds=st.sampled_from([0.5, 1.0, 2.0, 3.0, 12.0, 14.0]))
    def pass_time(self, seconds: float) -> None:
        super().pass_time(seconds)
        self.backups = [*self.backups[-11:], self.platform.backup()]

    @rule(back=st.integers(1, 12))
    def restore(self, back: int) -> None:
        self.count()
        self.platform.restore(self.backups[-min(back, len(self.backups))])
        self.backups = self.backups[: -min(back, len(self.backups))]
        self.backups = self.backups or [self.platform.backup()]

    @rule(who=PROCESSES)
    def send(self, who: int) -> None:
        contender = self.contenders[who]
        if contender.sent is None and contender.answer is None:
            self.observe(who, self.known[who])
            self.sent_epochs[who] = self.known[who]
        super().send(who)

    @rule(who=PROCESSES, fate=FATES)
    def reach_table(self, who: int, fate: Fate) -> None:
        self.count()
        contender = self.contenders[who]
        if contender.sent is None:
            return
        sent, contender.sent = contender.sent, None
        sent_epoch = self.sent_epochs[who]
        contender.answer = self.platform.take_of(sent, sent_epoch, fate)
        answered = fate is Fate.ANSWERED and not self.platform.away
        self.answer_epochs[who] = self.platform.epoch if answered else sent_epoch

    @rule(
        kind=KINDS,
        stale=st.integers(0, 8),
        fault=st.sampled_from(Fault),
        again=st.booleans(),
        rounds=st.integers(0, 16),
        back=st.integers(1, 12),
        rounds_after=st.integers(1, 8),
    )
    def call_arrives_after_a_restore(
        self,
        kind: Kind,
        stale: int,
        fault: Fault,
        again: bool,
        rounds: int,
        back: int,
        rounds_after: int,
    ) -> None:
        self.restore_next = (back, rounds_after)
        self.late_call(kind, stale, fault, again, rounds)
        self.restore_next = None

    def work_meanwhile(self, rounds: int, paused: set[int]) -> None:
        super().work_meanwhile(rounds, paused)
        if self.restore_next is not None:
            back, rounds_after = self.restore_next
            self.restore(back)
            self.run(rounds_after, paused)

    def take_usage(self, who: int, step: Step) -> Result:
        result = self.platform.take_of(step, self.known[who], Fate.ANSWERED)
        self.observe(who, self.platform.epoch if not self.platform.away else 0)
        return result

    @rule(who=PROCESSES)
    def learn(self, who: int) -> None:
        if self.contenders[who].answer is not None:
            self.observe(who, self.answer_epochs[who])
        super().learn(who)

    def observe(self, who: int, epoch: int) -> None:
        """Let a process know an epoch, and whether it saw it rise."""
        contender = self.contenders[who]
        if epoch > self.known[who]:
            self.restored[who] = self.known[who] > 0
            self.known[who] = epoch
        clocks = self.clocks(contender)
        contender.machine.observe_epoch(self.known[who], self.restored[who], *clocks)

    @rule(who=PROCESSES)
    def restart_empty(self, who: int) -> None:
        if self.contenders[who].sent is not None:
            self.platform.late_epochs.append(self.sent_epochs[who])
        super().restart_empty(who)
        self.known[who], self.restored[who] = 0, False

    @rule(who=PROCESSES)
    def starts_after_a_restore_to_the_start(self, who: int) -> None:
        """Lose all rows, and start a process that takes its first steps then."""
        self.platform.away = False
        self.restore(len(self.backups))
        self.restart_empty(who)
        for _ in range(3):
            self.take_a_step(who, Fate.ANSWERED)

    @invariant()
    def fences_have_one_holder(self) -> None:
        for contender in getattr(self, "contenders", []):
            fence = contender.machine.fence_if_held(*self.clocks(contender))
            if fence is not None:
                holder = self.holders_of_fences.setdefault(
                    fence, contender.machine.holder
                )
                assert holder == contender.machine.holder, f"two holders of {fence}"


class LeaseLookedAtSeldom(LeaseMachine):
    """Never is a candidate, as when all candidates have failed."""

    @property
    def is_candidate(self) -> bool:
        return False


class LeaseWithoutLastStepCheck(LeaseMachine):
    """Trusts its last renewal without checking the clocks before an order."""

    def fence_if_held(self, now: float, wall: float) -> int | None:
        return self.held_lease.fence if self.held_lease else None


class LeaseCountedFromTheAnswer(LeaseMachine):
    """Counts its time from the answer to the renewal, not from when it was sent."""

    def took(self, result: Result, now: float) -> None:
        if self.pending_renewal is not None:
            late = now - self.pending_renewal.sent_now
            wall = self.pending_renewal.sent_wall + late
            self.pending_renewal = replace(
                self.pending_renewal, sent_now=now, sent_wall=wall
            )
        super().took(result, now)


class LeaseVacantAfterRestore(LeaseMachine):
    """Takes a lease that the rows of a restored table show as released."""

    def is_vacant(self, observed) -> bool:
        return observed.holder == NO_HOLDER


class LeaseWithoutLostRows(LeaseMachine):
    """Takes a missing row for a lease that nobody held unless it saw the restore."""

    @property
    def missing_row(self):
        epoch = None if self.restored else self.epoch
        return {**super().missing_row, "epoch": epoch}


class LeaseReclaimedAnyTime(LeaseMachine):
    """Claims its lease after a restore however long its time has been over."""

    def may_reclaim(self, held_lease, now: float, wall: float) -> bool:
        return True


class LeaseWithoutEpochs(LeaseMachine):
    """Goes by its rows whatever the epoch."""

    def observe_epoch(self, epoch, restored, now: float, wall: float) -> None:
        pass


class LeaseTakenAtOnce(LeaseMachine):
    """Takes over after half the lease time, without the guard."""

    def may_take_over(self, observed, now: float) -> bool:
        return now >= self.observed_since + self.timing.ttl_s / 2


class LeaseSilentAboutCalls(LeaseMachine):
    """Cancels its calls and releases at once without telling that they may arrive."""

    def calls_arrive_for_s(self, now: float) -> float:
        return 0.0


class LeaseWithoutWaitAfterLapse(LeaseMachine):
    """Begins calls as soon as it takes a lease that lapsed."""

    def wait_for_calls_of(self, observed) -> None:
        super().wait_for_calls_of(observed)
        self.calls_from_after_lapse = -math.inf


class LeaseIgnoringOwnCalls(LeaseMachine):
    """Calls at once under a higher token, though its own earlier calls may arrive."""

    def fence_for_call(self, now, wall, predecessor_settled=False) -> int | None:
        log, self.calls = self.calls, CallLog(self.timing.late_s)
        fence = super().fence_for_call(now, wall, predecessor_settled)
        self.calls = log
        return fence


class EqualRatesModel(LeaseModel):
    """Calls arrive up to `late_s` after they were written, by clocks of one rate."""

    rates = (1.0, 1.0, 1.0)


class EqualRatesRestoredModel(RestoredLeaseModel):
    """The same, with a table that is restored now and then."""

    rates = (1.0, 1.0, 1.0)


class UncheckedWriteModel(EqualRatesModel):
    """Writes a call without checking the lease again."""

    checks_at_write = False


class SecondReportModel(EqualRatesModel):
    """Marks a window whose first report, without an answer, may still arrive."""

    marks_only_settled = False

    def late_call(self, kind, stale, fault, again, rounds) -> None:
        super().late_call(Kind.REPORT, stale, fault, True, rounds)


class OneTokenForAllKindsModel(EqualRatesModel):
    """A platform that compares the tokens of reports with those of orders."""

    def late_call(self, kind, stale, fault, again, rounds) -> None:
        super().late_call(Kind.ORDER, stale, fault, False, rounds)

    def arrive(self, call: Call, answered: bool) -> None:
        self.highest_fences[call.kind] = max(self.highest_fences.values(), default=0)
        super().arrive(call, answered)


def test_lease_has_one_holder_at_a_time_whatever_fails() -> None:
    explore(LeaseModel)


def test_lease_has_one_holder_at_a_time_over_restores() -> None:
    explore(RestoredLeaseModel)


def test_lease_has_one_holder_at_a_time_without_candidates() -> None:
    explore(type("SeldomModel", (LeaseModel,), {"machine_type": LeaseLookedAtSeldom}))


@pytest.mark.parametrize(
    "broken", [LeaseWithoutLastStepCheck, LeaseCountedFromTheAnswer, LeaseTakenAtOnce]
)
def test_model_finds_the_fault_of_a_broken_lease(broken: type[LeaseMachine]) -> None:
    model = type(f"{broken.__name__}Model", (LeaseModel,), {"machine_type": broken})
    with pytest.raises(AssertionError):
        explore(model, examples=BROKEN_EXAMPLES)


@pytest.mark.parametrize(
    "broken",
    [
        LeaseVacantAfterRestore,
        LeaseReclaimedAnyTime,
        LeaseWithoutEpochs,
        LeaseWithoutLostRows,
    ],
)
def test_model_finds_the_fault_of_a_lease_over_restores(
    broken: type[LeaseMachine],
) -> None:
    model = type(
        f"{broken.__name__}Model", (RestoredLeaseModel,), {"machine_type": broken}
    )
    with pytest.raises(AssertionError):
        explore(model, examples=BROKEN_EXAMPLES)


@pytest.mark.parametrize("model", [EqualRatesModel])
def test_late_calls_are_safe_up_to_the_bound(model: type[LeaseModel]) -> None:
    """Guards against a wait that is shorter than the time in which a call may arrive."""
    explore(model, examples=60)


@pytest.mark.parametrize(
    "broken",
    [LeaseSilentAboutCalls, LeaseWithoutWaitAfterLapse],
)
def test_model_finds_late_calls(broken: type[LeaseMachine]) -> None:
    """Guards against a model that can't show the fault of which it clears the lease."""
    model = type(
        f"{broken.__name__}Model", (EqualRatesModel,), {"machine_type": broken}
    )
    with pytest.raises(AssertionError, match="a deposed holder was obeyed"):
        explore(model, examples=BROKEN_EXAMPLES, steps=LATE_STEPS)


@pytest.mark.parametrize(
    "model", [UncheckedWriteModel, SecondReportModel, OneTokenForAllKindsModel]
)
def test_model_finds_late_calls_of_a_driver(model: type[LeaseModel]) -> None:
    """Guards against a model that misses the faults of work under a lease."""
    with pytest.raises(AssertionError, match="a deposed holder was obeyed"):
        explore(model, examples=BROKEN_EXAMPLES, steps=LATE_STEPS)


def test_model_finds_own_late_calls_over_restores() -> None:
    """Guards against a model that misses a holder's calls under its earlier token."""
    model = type(
        "IgnoringOwnCallsModel",
        (EqualRatesRestoredModel,),
        {"machine_type": LeaseIgnoringOwnCalls},
    )
    with pytest.raises(AssertionError, match="a deposed holder was obeyed"):
        explore(model, examples=BROKEN_EXAMPLES, steps=LATE_STEPS)
