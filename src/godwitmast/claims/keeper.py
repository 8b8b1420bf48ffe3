"""Claims over HTTP: taken before a call is sent, and settled however long it takes."""

import hashlib
import secrets
from collections import deque

import anyio
from anyio.abc import TaskGroup

from godwitmast.claims.machine import (
    Answer,
    Call,
    Free,
    LookOutcome,
    NoTable,
    Settlement,
    TakeOutcome,
    Won,
    look,
    take,
)
from godwitmast.clock import Clock
from godwitmast.logs import log_event
from godwitmast.platform_api.client import PlatformClient
from godwitmast.platform_api.runner import run_steps

SETTLE_WAIT_S = 1.0
"""How long an answer waits for being stored; after that it is stored behind it."""

RETRY_EVERY_S = 1.0
CLOSE_TIMEOUT_S = 10.0
MAX_OWED = 10_000
MAX_OWED_BYTES = 64 * 1024 * 1024
"""What an outage may pile up here. Past it the oldest are left as claimed: their
outcome is then unknown for ever, which is never wrong, and memory stays bounded."""


class ClaimedCall:
    """One arrival of a call that may run at most once."""

    def __init__(self, keeper: "ClaimKeeper", call: Call) -> None:
        self.keeper = keeper
        self.call = call
        self.free: Free | None = None
        self.won: Won | None = None
        self.settled = False

    async def look(self) -> LookOutcome:
        """Return what is known of the call, before it waits for its turn."""
        outcome = await run_steps(self.keeper.platform, look(self.call))
        if isinstance(outcome, Free):
            self.free = outcome
        return outcome

    async def take(self) -> TakeOutcome:
        """Claim the call; send it only if the outcome is Won."""
        assert self.free is not None, "look comes before take"
        if self.won is not None:
            return self.won
        with anyio.CancelScope(shield=True):
            # Cut off half-way, a claim could stand without anybody knowing of it.
            outcome = await run_steps(self.keeper.platform, take(self.call, self.free))
        if isinstance(outcome, Won):
            self.won = outcome
        elif isinstance(outcome, NoTable) and outcome.may_stand:
            self.keeper.owe(Settlement(self.call))
        return outcome

    async def settle(self, ran: bool, answer: Answer | None = None) -> None:
        """Store the answer, or that it is unknown, or that nothing was sent.

        Returns once that is written, or is left to be written later on because the
        table is slow or away.
        """
        if self.won is None or self.settled:
            return
        self.settled = True
        settlement = Settlement(self.call, self.won, answer, ran)
        written = False
        with anyio.move_on_after(SETTLE_WAIT_S, shield=True):
            written = await run_steps(self.keeper.platform, settlement.steps())
        if not written:
            self.keeper.owe(settlement)


class ClaimKeeper:
    """An entry's claims, with those that are still to be settled."""

    def __init__(self, platform: PlatformClient, clock: Clock, node: str) -> None:
        self.platform = platform.in_bulk()
        self.clock = clock
        self.node = node
        self.incarnation = secrets.token_hex(6)
        self.attempts = 0
        self.owed: deque[Settlement] = deque()
        self.owed_bytes = 0
        self.dropped = 0

    async def start(self, tasks: TaskGroup) -> None:
        assert self.platform.group is not None, "a client in bulk has a group"
        await self.platform.group.start(tasks)
        tasks.start_soon(self.run)

    async def close(self) -> None:
        """Write what is owed, as far as the table takes it in time."""
        with anyio.move_on_after(CLOSE_TIMEOUT_S):
            while self.owed:
                if not await self.settle_one():
                    await anyio.sleep(RETRY_EVERY_S / 4)
        if self.owed:
            log_event("claims_left", level="ERROR", count=len(self.owed))

    def open_call(
        self, team: str, idempotency_key: str, parts: list[str]
    ) -> ClaimedCall:
        """Return one arrival of the call that `parts` tell from others."""
        digest = hashlib.sha256("\0".join(parts).encode())
        self.attempts += 1
        attempt_id = f"{self.node}/{self.incarnation}/{self.attempts}"
        wall = self.clock.wall()
        call = Call(team, idempotency_key, digest.hexdigest(), attempt_id, wall)
        return ClaimedCall(self, call)

    def owe(self, settlement: Settlement) -> None:
        """Keep a settlement until the table takes it."""
        self.owed.append(settlement)
        self.owed_bytes += size_of(settlement)
        while len(self.owed) > MAX_OWED or self.owed_bytes > MAX_OWED_BYTES:
            self.owed_bytes -= size_of(self.owed.popleft())
            self.dropped += 1

    async def run(self) -> None:
        while True:
            await anyio.sleep(RETRY_EVERY_S)
            while self.owed and await self.settle_one():
                pass

    async def settle_one(self) -> bool:
        """Try the oldest settlement; return whether it was written."""
        settlement = self.owed[0]
        if not await run_steps(self.platform, settlement.steps()):
            settlement.tries += 1
            return False
        if self.owed and self.owed[0] is settlement:
            self.owed.popleft()
            self.owed_bytes -= size_of(settlement)
        return True


def size_of(settlement: Settlement) -> int:
    return len(settlement.answer.body) if settlement.answer else 0
