"""Model of the lease protocol under lost, delayed and repeated messages, pauses and
restarts."""

from dataclasses import dataclass, replace
from itertools import count

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from fakes import FakePlatform, Fate, RestoredPlatform
from godwitmast.lease.machine import NO_HOLDER, LeaseMachine, LeaseTiming
from godwitmast.platform_api.steps import Result, Step
from models import BROKEN_EXAMPLES, EXPLORED, explore

TIMING = LeaseTiming(ttl_s=8.0, guard_s=3.0, renew_s=2.0, watch_s=1.0)
ORDER_TIMEOUT_S = 2.0

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


@dataclass(frozen=True)
class Order:
    """An order in flight to a server that does not check fencing tokens."""

    fence: int
    arrives_by: float


class LeaseModel(RuleBasedStateMachine):
    """Three contenders, their table, and a server that obeys whoever orders.

    A process that no rule picks is paused: time passes for it as for the rest.
    """

    machine_type: type[LeaseMachine] = LeaseMachine

    @initialize()
    def begin(self) -> None:
        self.platform = FakePlatform()
        self.time = 1000.0
        self.names = count()
        self.orders: list[Order] = []
        self.highest_fence = 0
        self.contenders = [Contender(self.fresh(), r) for r in (0.9, 1.0, 1.1)]

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
        self.orders = [o for o in self.orders if o.arrives_by >= self.time]

    @rule(rounds=st.integers(1, 16), paused=st.sets(PROCESSES, max_size=2))
    def run(self, rounds: int, paused: set[int]) -> None:
        """Let all but the paused ones work for a while, as they mostly do."""
        for _ in range(rounds):
            self.pass_time(1.0)
            for who in {0, 1, 2} - paused:
                self.order(who)
                self.take_a_step(who, Fate.ANSWERED)
            while self.orders:
                self.order_arrives(0)

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

    @rule(who=PROCESSES)
    def order(self, who: int) -> None:
        """Give an order after the last-step check."""
        self.count()
        contender = self.contenders[who]
        fence = contender.machine.fence_if_held(*self.clocks(contender))
        if fence is not None:
            self.orders.append(Order(fence, self.time + ORDER_TIMEOUT_S))

    @rule(index=st.integers(0, 5))
    def order_arrives(self, index: int) -> None:
        self.count()
        if self.orders:
            order = self.orders.pop(index % len(self.orders))
            assert order.fence >= self.highest_fence, "a deposed holder was obeyed"
            self.highest_fence = order.fence

    @rule(who=PROCESSES)
    def restart_empty(self, who: int) -> None:
        self.count()
        old = self.contenders[who]
        if old.sent is not None:
            self.platform.late.append(old.sent)
        self.contenders[who] = replace(
            old, machine=self.fresh(), sent=None, answer=None
        )

    @rule(who=PROCESSES, seconds=st.sampled_from([-3600.0, -5.0, 5.0, 3600.0]))
    def wall_clock_jumps(self, who: int, seconds: float) -> None:
        self.count()
        self.contenders[who].wall_offset += seconds

    @rule(who=st.integers(0, 8))
    def leave(self, who: int) -> None:
        """Give the lease up, which is done only with no order under way."""
        self.count()
        if not self.orders and who < len(self.contenders):
            self.contenders[who].machine.give_up()

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
    """The same, with a table that is restored now and then."""

    @initialize()
    def begin(self) -> None:
        super().begin()
        self.platform = RestoredPlatform()
        self.backups = [self.platform.backup()]
        self.known = [1, 1, 1]
        self.sent_epochs = [1, 1, 1]
        self.answer_epochs = [1, 1, 1]
        self.holders_of_fences: dict[int, str] = {}

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

    @rule(who=PROCESSES)
    def learn(self, who: int) -> None:
        if self.contenders[who].answer is not None:
            self.observe(who, self.answer_epochs[who])
        super().learn(who)

    def observe(self, who: int, epoch: int) -> None:
        """Let a process know an epoch."""
        contender = self.contenders[who]
        self.known[who] = max(self.known[who], epoch)
        restored = self.known[who] > 1
        clocks = self.clocks(contender)
        contender.machine.observe_epoch(self.known[who], restored, *clocks)

    @rule(who=PROCESSES)
    def restart_empty(self, who: int) -> None:
        if self.contenders[who].sent is not None:
            self.platform.late_epochs.append(self.sent_epochs[who])
        super().restart_empty(who)

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
    "broken", [LeaseVacantAfterRestore, LeaseReclaimedAnyTime, LeaseWithoutEpochs]
)
def test_model_finds_the_fault_of_a_lease_over_restores(
    broken: type[LeaseMachine],
) -> None:
    model = type(
        f"{broken.__name__}Model", (RestoredLeaseModel,), {"machine_type": broken}
    )
    with pytest.raises(AssertionError):
        explore(model, examples=BROKEN_EXAMPLES)
