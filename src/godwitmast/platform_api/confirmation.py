"""Confirmation that a followed table is up to date, which waiting tasks share."""

from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from godwitmast.background import BackgroundTasks
from godwitmast.clock import Clock
from godwitmast.platform_api.feed import FeedFollower

GATHER_S = 0.02
"""Time for which a call waits for more tasks: streams that break together are taken up
within some milliseconds."""

CONFIRM_INTERVAL_S = 0.15
CONFIRM_RETRY_S = 0.4
"""Shortest time between the starts of two calls, however many tasks wait, after one that
was answered and after one that failed."""


@dataclass
class Round:
    """One call, for all that waited when it began."""

    ended: anyio.Event = field(default_factory=anyio.Event)
    confirmed: bool = False


class Confirmation:
    """Confirms for tasks that a table has all changes up to when they asked.

    What is known of a table is of the past, by as much as the platform, a relay or this
    process stood still. Only an answer to a call that began later than a task's question
    covers it; so one that comes while a call is open waits for the next.
    """

    def __init__(self, clock: Clock, follower: FeedFollower) -> None:
        self.clock = clock
        self.follower = follower
        self.next_round = Round()
        self.requested = anyio.Event()
        self.background = BackgroundTasks(self.run)

    async def start(self, tasks: TaskGroup) -> None:
        await self.background.start(tasks)

    async def close(self) -> None:
        await self.background.close()

    @property
    def confirmed_at(self) -> float:
        """Return the time up to which all changes are applied."""
        return self.follower.confirmed_at

    @property
    def is_overdue(self) -> bool:
        """Return whether the follower hears nothing, or stood still."""
        return self.follower.is_overdue

    async def up_to_now(self) -> bool:
        """Return whether all changes up to the time of this call are applied."""
        joined = self.next_round
        self.requested.set()
        await joined.ended.wait()
        return joined.confirmed

    async def run(self) -> None:
        while True:
            await self.requested.wait()
            await anyio.sleep(GATHER_S)
            self.requested = anyio.Event()
            current, self.next_round = self.next_round, Round()
            began_at = self.clock.now()
            current.confirmed = await self.follower.confirm()
            current.ended.set()
            interval_s = CONFIRM_INTERVAL_S if current.confirmed else CONFIRM_RETRY_S
            await anyio.sleep(max(0.0, began_at + interval_s - self.clock.now()))
