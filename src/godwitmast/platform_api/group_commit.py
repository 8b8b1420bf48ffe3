"""Transactions that come together are written together."""

from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from godwitmast.errors import PlatformError
from godwitmast.platform_api.messages import Conflict, TransactOutcome, Written
from godwitmast.types import Json

MAX_ENTRIES = 100
"""Checks and writes of one transaction."""

Send = Callable[[dict[str, int], dict[str, Json]], Awaitable[TransactOutcome]]


@dataclass
class Waiting:
    """A transaction, and its outcome once there is one."""

    checks: dict[str, int]
    writes: dict[str, Json]
    outcome: TransactOutcome | PlatformError | None = None
    ended: anyio.Event = field(default_factory=anyio.Event)

    @property
    def keys(self) -> set[str]:
        return self.checks.keys() | self.writes.keys()

    @property
    def entries(self) -> int:
        return len(self.checks) + len(self.writes)

    def end(self, outcome: TransactOutcome | PlatformError) -> None:
        self.outcome = outcome
        self.ended.set()


class GroupCommit:
    """Sends one transaction at a time, made of all that wait and touch other rows.

    A conflict in one of them fails the whole; that one is told, and the rest is sent
    again without it. An outcome that is not known is not known for each of them.
    `gather_s` is how long the first one waits for others, but for one that follows a
    failure: what is written again is late already.
    """

    def __init__(self, send: Send, gather_s: float = 0.0) -> None:
        self.send = send
        self.gather_s = gather_s
        self.queue: deque[Waiting] = deque()
        self.arrived = anyio.Event()
        self.sent = 0
        self.failing = False

    async def start(self, tasks: TaskGroup) -> None:
        tasks.start_soon(self.run)

    async def transact(
        self, checks: dict[str, int], writes: dict[str, Json]
    ) -> TransactOutcome:
        """Write like `PlatformClient.transact`, together with others."""
        waiting = Waiting(checks, writes)
        self.queue.append(waiting)
        self.arrived.set()
        try:
            await waiting.ended.wait()
        except BaseException:
            if waiting in self.queue:
                self.queue.remove(waiting)
            raise
        if isinstance(waiting.outcome, PlatformError):
            raise waiting.outcome
        assert waiting.outcome is not None, "an ended transaction has an outcome"
        return waiting.outcome

    async def run(self) -> None:
        while True:
            await self.arrived.wait()
            if self.gather_s and not self.failing:
                await anyio.sleep(self.gather_s)
            self.arrived = anyio.Event()
            while self.queue:
                await self.commit(self.take_batch())

    def take_batch(self) -> list[Waiting]:
        """Return the first transactions that touch no row twice."""
        batch: list[Waiting] = []
        keys: set[str] = set()
        entries = 0
        later: list[Waiting] = []
        while self.queue:
            if batch and entries + self.queue[0].entries > MAX_ENTRIES:
                break
            waiting = self.queue.popleft()
            if keys & waiting.keys:
                later.append(waiting)
                continue
            batch.append(waiting)
            keys |= waiting.keys
            entries += waiting.entries
        self.queue.extendleft(reversed(later))
        return batch

    async def commit(self, batch: list[Waiting]) -> None:
        checks = {key: v for item in batch for key, v in item.checks.items()}
        writes = {key: v for item in batch for key, v in item.writes.items()}
        self.sent += 1
        try:
            outcome = await self.send(checks, writes)
        except PlatformError as error:
            self.failing = True
            for item in batch:
                item.end(error)
            return
        self.failing = False
        if isinstance(outcome, Written):
            for item in batch:
                kept = {k: v for k, v in outcome.versions.items() if k in item.keys}
                item.end(Written(kept))
            return
        self.split(batch, outcome)

    def split(self, batch: list[Waiting], conflict: Conflict) -> None:
        """Tell those in conflict, and put the others back in front."""
        others = []
        for item in batch:
            mine = {
                key: version
                for key, version in conflict.versions.items()
                if key in item.checks and item.checks[key] != version
            }
            if mine or len(batch) == 1:
                item.end(Conflict(mine))
            else:
                others.append(item)
        if len(others) == len(batch):
            for item in batch:
                item.end(conflict)
            return
        self.queue.extendleft(reversed(others))
