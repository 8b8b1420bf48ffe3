"""Keeps a process on the newest configuration that it has heard of."""

import random
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from godwitmast.background import Background
from godwitmast.config.document import NumberedConfig
from godwitmast.config.machine import ConfigState, Offered, catch_up
from godwitmast.config.rows import Delta, Snapshot
from godwitmast.logs import log_event
from godwitmast.platform_api.client import PlatformClient
from godwitmast.platform_api.runner import run_steps
from godwitmast.types import Json

PULL_EVERY_S = 2.2
"""How often an entry reads the head row, so that even without peers a change is in
force within 3 s."""

PUSHED_PULL_S = 3.0
"""How often it does while it has peers, which push each change at once."""

SLOW_PULL_S = 6.0
"""How often a control does, which answers no caller."""

Listener = Callable[[NumberedConfig], None]


class ConfigFollower:
    """Pulls from the table, takes what peers offer, and tells listeners.

    Listeners are called once for each number that is put in force, in rising order,
    with some left out when several came at once.
    """

    def __init__(
        self, platform: PlatformClient, pull_every_s: float = PULL_EVERY_S
    ) -> None:
        self.platform = platform
        self.pull_every_s = pull_every_s
        self.state = ConfigState()
        self.listeners: list[Listener] = []
        self.watchers: dict[str, Callable[[Json], None]] = {}
        self.is_pushed: Callable[[], bool] = lambda: False
        self.ready = anyio.Event()
        self.told = 0
        self.last_contact: float | None = None
        self.background = Background(self.run)

    @property
    def current(self) -> NumberedConfig | None:
        return self.state.current

    @property
    def version(self) -> int:
        return self.state.version

    async def start(self, tasks: TaskGroup) -> None:
        await self.background.start(tasks)

    async def close(self) -> None:
        """Ask the platform nothing more, so that its client can be closed."""
        await self.background.close()

    async def run(self) -> None:
        while True:
            await self.pull()
            # Jittered, so that nodes which started together do not read together.
            every_s = PUSHED_PULL_S if self.is_pushed() else self.pull_every_s
            await anyio.sleep(every_s * random.uniform(0.8, 1.2))

    async def pull(self) -> None:
        """Read the head row, and what it leads to if its number is higher."""
        if await run_steps(self.platform, catch_up(self.state)):
            self.heard()
            self.tell_watchers()
        else:
            log_event("config_pull_failed", level="WARNING")
        self.tell()

    def watch(self, key: str, listener: Callable[[Json], None]) -> None:
        """Read another small row along with the head, and pass its value on."""
        self.watchers[key] = listener
        self.state.watched[key] = None

    def tell_watchers(self) -> None:
        for key, value in self.state.watched.items():
            if value is not None:
                self.watchers[key](value)

    def heard(self) -> None:
        """Note that the platform, or a peer that is in touch with it, was reached."""
        self.last_contact = anyio.current_time()

    def cut_off_s(self) -> float:
        """Return for how long neither platform nor such a peer was reached."""
        if self.last_contact is None:
            return float("inf")
        return anyio.current_time() - self.last_contact

    def adopt(self, number: int, raw: Json) -> bool:
        """Put a whole configuration in force, unless one as new is already."""
        outcome = self.state.adopt(number, raw)
        self.tell()
        return outcome is Offered.ADOPTED

    def offer_snapshot(self, snapshot: Snapshot) -> bool:
        """Take a snapshot from a peer; return whether it was put in force."""
        return self.adopt(snapshot.number, snapshot.document)

    def offer_delta(self, delta: Delta) -> Offered:
        """Take a change from a peer; after a GAP ask it for more."""
        outcome = self.state.offer_delta(delta)
        self.tell()
        return outcome

    def offer_deltas(self, deltas: list[Delta]) -> Offered:
        """Take changes in rising order, and tell listeners once at their end."""
        outcome = Offered.OLD
        for delta in deltas:
            outcome = self.state.offer_delta(delta)
            if outcome in (Offered.GAP, Offered.REJECTED):
                break
        self.tell()
        return outcome

    def deltas_after(self, version: int) -> list[Delta] | None:
        """Return the changes after `version`, or None if a snapshot is needed."""
        return self.state.deltas_after(version)

    def snapshot(self) -> Snapshot | None:
        """Return the whole configuration in force, for a peer."""
        return self.state.snapshot()

    def tell(self) -> None:
        """Tell listeners of a new number, and operators of a rejected one."""
        if self.state.rejected is not None:
            log_event("config_rejected", level="ERROR", error=self.state.rejected)
            self.state.rejected = None
        current = self.state.current
        if current is None or current.version <= self.told:
            return
        self.told = current.version
        log_event("config_in_force", number=current.version)
        for listener in self.listeners:
            listener(current)
        self.ready.set()
