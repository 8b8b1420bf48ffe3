"""Claims calls before they are sent, and retries the writes that settle them."""

import hashlib
import secrets
from collections import deque

import anyio
from anyio.abc import TaskGroup

from godwitmast.claims.machine import (
    Answer,
    Call,
    ClaimGranted,
    ClaimOutcome,
    LookupOutcome,
    Settlement,
    TableUnavailable,
    Unclaimed,
    claim,
    look_up,
)
from godwitmast.clock import Clock
from godwitmast.logs import log_event
from godwitmast.memory.budget import Holder, MemoryBudget
from godwitmast.platform_api.client import PlatformClient
from godwitmast.platform_api.runner import run_steps
from godwitmast.supervision import keep_running, record_task_failure

SETTLE_WAIT_S = 1.0
"""How long an answer to the caller waits until it is stored; later, storing goes on in
the background."""

RETRY_EVERY_S = 1.0
CLOSE_TIMEOUT_S = 10.0
MAX_PENDING = 10_000
MAX_PENDING_BYTES = 64 * 1024 * 1024
"""Bounds of the settlements that queue up in an outage of the table. Beyond them the
oldest are dropped and their calls stay claimed: an outcome that is unknown for ever is
safe, and memory stays bounded."""

MAX_PENDING_SHARE = 0.25
"""Share of the memory budget that these settlements may take, if there is one."""


class ClaimedCall:
    """One arrival of a call that may run at most once, from before it is claimed."""

    def __init__(self, keeper: "ClaimKeeper", call: Call) -> None:
        self.keeper = keeper
        self.call = call
        self.unclaimed: Unclaimed | None = None
        self.granted: ClaimGranted | None = None
        self.settled = False

    async def look_up(self) -> LookupOutcome:
        """Return what the table says of the call, before the call queues."""
        outcome = await run_steps(self.keeper.platform, look_up(self.call))
        if isinstance(outcome, Unclaimed):
            self.unclaimed = outcome
        return outcome

    async def claim(self) -> ClaimOutcome:
        """Claim the call; send it only if the outcome is ClaimGranted."""
        assert self.unclaimed is not None, "look_up comes before claim"
        if self.granted is not None:
            return self.granted
        with anyio.CancelScope(shield=True):
            # A claim whose write is cancelled may be in the table and never settled.
            outcome = await run_steps(
                self.keeper.platform, claim(self.call, self.unclaimed)
            )
        if isinstance(outcome, ClaimGranted):
            self.granted = outcome
        elif isinstance(outcome, TableUnavailable) and outcome.may_stand:
            self.keeper.enqueue(Settlement(self.call))
        return outcome

    async def settle(self, ran: bool, answer: Answer | None = None) -> None:
        """Store the answer, or that it is unknown, or that nothing was sent.

        Returns once that is written, or queued because the table is slow or down.
        """
        if self.granted is None or self.settled:
            return
        self.settled = True
        settlement = Settlement(self.call, self.granted, answer, ran)
        written = False
        with anyio.move_on_after(SETTLE_WAIT_S, shield=True):
            written = await run_steps(self.keeper.platform, settlement.steps())
        if not written:
            self.keeper.enqueue(settlement)


class ClaimKeeper:
    """An entry's claims, and the queue of those that are not settled yet."""

    def __init__(
        self,
        platform: PlatformClient,
        clock: Clock,
        node: str,
        budget: MemoryBudget | None = None,
    ) -> None:
        self.budget = budget or MemoryBudget()
        limit = self.budget.limit
        self.max_pending_bytes = MAX_PENDING_BYTES
        if limit is not None:
            share = int(limit * MAX_PENDING_SHARE)
            self.max_pending_bytes = min(MAX_PENDING_BYTES, share)
        self.platform = platform.with_bulk_priority()
        self.clock = clock
        self.node = node
        # Identifies one start of this process.
        self.incarnation = secrets.token_hex(6)
        self.attempts = 0
        self.pending: deque[Settlement] = deque()
        self.pending_bytes = 0
        self.dropped = 0

    async def start(self, tasks: TaskGroup) -> None:
        assert self.platform.group is not None, "a client in bulk has a group"
        await self.platform.group.start(tasks)
        tasks.start_soon(keep_running, "ClaimKeeper.run", self.run)

    async def close(self) -> None:
        """Write the pending settlements, for at most `CLOSE_TIMEOUT_S`."""
        with anyio.move_on_after(CLOSE_TIMEOUT_S):
            while self.pending:
                if not await self.settle_one():
                    await anyio.sleep(RETRY_EVERY_S / 4)
        if self.pending:
            log_event("claims_left", level="ERROR", count=len(self.pending))

    def open_call(
        self, team: str, idempotency_key: str, parts: list[str]
    ) -> ClaimedCall:
        """Return a new arrival of a call, whose content is hashed from `parts`."""
        digest = hashlib.sha256("\0".join(parts).encode())
        self.attempts += 1
        attempt_id = f"{self.node}/{self.incarnation}/{self.attempts}"
        wall = self.clock.wall()
        call = Call(team, idempotency_key, digest.hexdigest(), attempt_id, wall)
        return ClaimedCall(self, call)

    def enqueue(self, settlement: Settlement) -> None:
        """Queue a settlement until it is written; drop the oldest beyond the bounds."""
        self.pending.append(settlement)
        self.pending_bytes += answer_size(settlement)
        self.budget.charge(Holder.CLAIM, answer_size(settlement))
        while (
            len(self.pending) > MAX_PENDING
            or self.pending_bytes > self.max_pending_bytes
        ):
            self.remove_oldest()
            self.dropped += 1

    def remove_oldest(self) -> None:
        size = answer_size(self.pending.popleft())
        self.pending_bytes -= size
        self.budget.release(Holder.CLAIM, size)

    async def run(self) -> None:
        while True:
            await anyio.sleep(RETRY_EVERY_S)
            while self.pending and await self.settle_one():
                pass

    async def settle_one(self) -> bool:
        """Write the oldest settlement; return whether that succeeded.

        One that can't be written goes behind the others: the table may never take it, as
        its answer is too long.
        """
        settlement = self.pending[0]
        try:
            is_written = await run_steps(self.platform, settlement.steps())
        except Exception as error:
            record_task_failure("ClaimKeeper.settle_one", error)
            is_written = False
        is_first = bool(self.pending) and self.pending[0] is settlement
        if is_written and is_first:
            self.remove_oldest()
        elif is_first:
            settlement.tries += 1
            self.pending.rotate(-1)
        return is_written


def answer_size(settlement: Settlement) -> int:
    return len(settlement.answer.body) if settlement.answer else 0
