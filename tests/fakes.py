"""An in-memory platform on which each step can be lost, delayed or left unanswered."""

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from sortedcontainers import SortedDict

from godwitmast.platform_api.epoch import epoch_of, make_version, number_of
from godwitmast.platform_api.messages import Conflict, Row, Written
from godwitmast.platform_api.steps import (
    Failure,
    GetObject,
    ObjectPut,
    ObjectRead,
    PutObject,
    Read,
    Result,
    Rows,
    Scan,
    Step,
    Steps,
    Transact,
)
from godwitmast.standins.table import Table

ORDERS_LEASE = "lease/orders"


class Fate(Enum):
    """The fault, if any, that a test injects into one step."""

    ANSWERED = "answered"
    REFUSED = "refused"
    LOST = "lost"
    ANSWER_LOST = "answer_lost"
    DELAYED = "delayed"
    """There is no answer, and a write takes effect at some later moment."""


@dataclass
class FakePlatform:
    """Table and objects; `late` holds the writes that are still in flight."""

    table: Table = field(default_factory=Table)
    objects: dict[str, bytes] = field(default_factory=dict)
    late: list[Step] = field(default_factory=list)
    away: bool = False
    steps: int = 0

    def take(self, step: Step, fate: Fate = Fate.ANSWERED) -> Result:
        """Execute a step, and return the result that its process sees."""
        self.steps += 1
        if self.away or fate is Fate.REFUSED:
            return Failure.NOT_DONE
        if fate is Fate.LOST:
            return Failure.UNKNOWN
        if fate is Fate.DELAYED:
            self.late.append(step)
            return Failure.UNKNOWN
        result = self.apply(step)
        return Failure.UNKNOWN if fate is Fate.ANSWER_LOST else result

    def arrive(self, index: int) -> None:
        """Apply a delayed write now."""
        self.apply(self.late.pop(index % len(self.late)))

    def apply(self, step: Step) -> Result:
        match step:
            case Read():
                found = self.table.read(step.keys).items()
            case Scan():
                found = self.table.scan(step.prefix, step.after, 10**6)
            case Transact():
                written, versions = self.table.transact(step.checks, step.writes)
                return Written(versions) if written else Conflict(versions)
            case GetObject():
                return ObjectRead(self.objects.get(step.name))
            case PutObject():
                self.objects[step.name] = step.content
                return ObjectPut()
        return Rows({key: Row(row.value, row.version) for key, row in found})

    def run(self, steps: Steps) -> object:
        """Run a protocol without faults, and return its outcome."""
        try:
            step = next(steps)
            while True:
                step = steps.send(self.take(step))
        except StopIteration as stop:
            return stop.value


class Backup(NamedTuple):
    """The platform's content as of one moment."""

    table: Table
    objects: dict[str, bytes]


@dataclass
class RestoredPlatform(FakePlatform):
    """A platform that can be restored; its versions include the epoch.

    Each step is of the epoch that its process knew when it was sent, as the platform's
    client sends it.
    """

    epoch: int = 1
    recorded: bool = False
    """Whether a transaction of this epoch was written, after which none of an earlier
    one can be."""
    late_epochs: list[int] = field(default_factory=list)

    def backup(self) -> Backup:
        table = Table(SortedDict(self.table.rows), self.table.writes)
        return Backup(table, dict(self.objects))

    def restore(self, backup: Backup) -> None:
        self.table = Table(SortedDict(backup.table.rows), backup.table.writes)
        self.objects = dict(backup.objects)
        self.epoch += 1
        self.recorded = False

    def take_of(self, step: Step, known_epoch: int, fate: Fate) -> Result:
        """Execute a step that a process of some epoch sent."""
        if fate is Fate.DELAYED and not self.away:
            self.late_epochs.append(known_epoch)
        self.known_epoch = known_epoch
        return self.take(step, fate)

    def arrive(self, index: int) -> None:
        self.known_epoch = self.late_epochs.pop(index % len(self.late))
        super().arrive(index)

    def apply(self, step: Step) -> Result:
        if not isinstance(step, Transact):
            result = super().apply(step)
            if not isinstance(result, Rows):
                return result
            return Rows(
                {
                    key: Row(row.value, make_version(self.epoch, row.version))
                    for key, row in result.rows.items()
                }
            )
        if any(v and epoch_of(v) != self.known_epoch for v in step.checks.values()):
            return Conflict({})
        if self.known_epoch != self.epoch and self.recorded:
            return Conflict({})
        checks = {key: number_of(version) for key, version in step.checks.items()}
        result = super().apply(Transact(checks, step.writes))
        if self.known_epoch != self.epoch:
            return Failure.UNKNOWN
        self.recorded = True
        versions = {k: make_version(self.epoch, v) for k, v in result.versions.items()}
        return type(result)(versions)


@dataclass
class KnowingPlatform(RestoredPlatform):
    """A platform whose processes all know its epoch."""

    def take(self, step: Step, fate: Fate = Fate.ANSWERED) -> Result:
        self.known_epoch = self.epoch
        if fate is Fate.DELAYED and not self.away:
            self.late_epochs.append(self.epoch)
        return super().take(step, fate)


@dataclass
class FakeGuard:
    """A lease guard whose fence the test sets; None if the lease is not held."""

    version: int
    fence: int | None = 1
    reclaimed: bool = False
    held_lease: None = None

    def fence_if_held(self, now: float, wall: float) -> int | None:
        return self.fence

    def fence_for_call(
        self, now: float, wall: float, predecessor_settled: bool = False
    ) -> int | None:
        return self.fence

    def begin_call(
        self, now: float, wall: float, predecessor_settled: bool = False
    ) -> int | None:
        return self.fence

    def end_call(self, fence: int, settled: bool, now: float) -> None:
        pass

    def calls_settled(self, now: float) -> bool:
        return True

    @property
    def checks(self) -> dict[str, int]:
        return {ORDERS_LEASE: self.version}
