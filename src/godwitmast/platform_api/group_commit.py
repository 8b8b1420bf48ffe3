"""Group commit: transactions that are submitted together are written in one batch."""

from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from godwitmast.errors import PlatformError, PlatformOutcomeUnknown
from godwitmast.platform_api.messages import Conflict, TransactOutcome, Written
from godwitmast.supervision import keep_running
from godwitmast.types import Json

MAX_ENTRIES = 100
"""Limit of checks plus writes in one transaction."""

Send = Callable[[dict[str, int], dict[str, Json]], Awaitable[TransactOutcome]]


@dataclass
class PendingTransaction:
    """A submitted transaction, and its outcome once that is known."""

    checks: dict[str, int]
    writes: dict[str, Json]
    due_at: float = 0.0
    """When it is sent at the latest, with all that is pending then."""
    outcome: TransactOutcome | PlatformError | None = None
    completed: anyio.Event = field(default_factory=anyio.Event)

    @property
    def keys(self) -> set[str]:
        return self.checks.keys() | self.writes.keys()

    @property
    def entries(self) -> int:
        return len(self.checks) + len(self.writes)

    def complete(self, outcome: TransactOutcome | PlatformError) -> None:
        self.outcome = outcome
        self.completed.set()


class GroupCommit:
    """Sends one batch at a time, made of all pending transactions on distinct rows.

    A conflict in one transaction fails the batch: that one gets the conflict, and the
    others are sent again without it. If the outcome of a batch is unknown, it is
    unknown for each of its transactions. `gather_s` is how long a transaction waits for
    others, unless it asks for less. There is no such wait after a failure, since a
    retried write is already late.
    """

    def __init__(
        self, send: Send, gather_s: float = 0.0, max_entries: int = MAX_ENTRIES
    ) -> None:
        self.max_entries = max_entries
        self.send = send
        self.gather_s = gather_s
        self.queue: deque[PendingTransaction] = deque()
        self.arrived = anyio.Event()
        self.sent = 0
        self.last_failed = False
        self.is_hurried = False

    async def start(self, tasks: TaskGroup) -> None:
        tasks.start_soon(keep_running, "GroupCommit.run", self.run)

    async def transact(
        self,
        checks: dict[str, int],
        writes: dict[str, Json],
        gather_s: float | None = None,
    ) -> TransactOutcome:
        """Write like `PlatformClient.transact`, but in a batch with other transactions."""
        wait_s = self.gather_s if gather_s is None else min(gather_s, self.gather_s)
        pending = PendingTransaction(checks, writes, anyio.current_time() + wait_s)
        self.queue.append(pending)
        self.arrived.set()
        try:
            await pending.completed.wait()
        except BaseException:
            if pending in self.queue:
                self.queue.remove(pending)
            raise
        if isinstance(pending.outcome, PlatformError):
            raise pending.outcome
        assert pending.outcome is not None, "a completed transaction has an outcome"
        return pending.outcome

    def stop_gathering(self) -> None:
        """Send pending and later transactions at once, as the process is about to end."""
        self.is_hurried = True
        self.arrived.set()

    async def run(self) -> None:
        while True:
            await self.arrived.wait()
            self.arrived = anyio.Event()
            if not self.last_failed:
                await self.gather()
            while self.queue:
                await self.commit(self.take_batch())

    async def gather(self) -> None:
        """Wait until a pending transaction is due."""
        while self.queue and not self.is_hurried:
            left_s = min(item.due_at for item in self.queue) - anyio.current_time()
            if left_s <= 0:
                return
            with anyio.move_on_after(left_s):
                await self.arrived.wait()
            self.arrived = anyio.Event()

    def take_batch(self) -> list[PendingTransaction]:
        """Remove and return the first pending transactions that share no row."""
        batch: list[PendingTransaction] = []
        keys: set[str] = set()
        entries = 0
        deferred: list[PendingTransaction] = []
        while self.queue:
            if batch and entries + self.queue[0].entries > self.max_entries:
                break
            pending = self.queue.popleft()
            if keys & pending.keys:
                deferred.append(pending)
                continue
            batch.append(pending)
            keys |= pending.keys
            entries += pending.entries
        self.queue.extendleft(reversed(deferred))
        return batch

    async def commit(self, batch: list[PendingTransaction]) -> None:
        checks = {key: v for item in batch for key, v in item.checks.items()}
        writes = {key: v for item in batch for key, v in item.writes.items()}
        self.sent += 1
        try:
            outcome = await self.send(checks, writes)
        except PlatformError as error:
            self.last_failed = True
            for item in batch:
                item.complete(error)
            return
        except Exception as error:
            # Their writers would wait for good.
            for item in batch:
                item.complete(PlatformOutcomeUnknown(repr(error)))
            raise
        self.last_failed = False
        if isinstance(outcome, Written):
            for item in batch:
                own_versions = {
                    k: v for k, v in outcome.versions.items() if k in item.keys
                }
                item.complete(Written(own_versions))
            return
        self.split(batch, outcome)

    def split(self, batch: list[PendingTransaction], conflict: Conflict) -> None:
        """End those in conflict, and put the others back at the head of the queue."""
        unaffected = []
        for item in batch:
            own = {
                key: version
                for key, version in conflict.versions.items()
                if key in item.checks and item.checks[key] != version
            }
            if own or len(batch) == 1:
                item.complete(Conflict(own))
            else:
                unaffected.append(item)
        if len(unaffected) == len(batch):
            for item in batch:
                item.complete(conflict)
            return
        self.queue.extendleft(reversed(unaffected))
