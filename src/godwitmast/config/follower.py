"""The loop that keeps a process on the newest configuration, by polling and by push."""

import random
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from godwitmast.background import BackgroundTasks
from godwitmast.config.document import NumberedConfig
from godwitmast.config.machine import ConfigState, Offered, catch_up
from godwitmast.config.rows import Delta, Snapshot
from godwitmast.logs import log_event
from godwitmast.platform_api.client import PlatformClient
from godwitmast.platform_api.runner import run_steps
from godwitmast.types import Json

PULL_INTERVAL_S = 2.2
"""Interval at which an entry reads the head row. A change is in force within 3 s even
without peers."""

PUSHED_PULL_INTERVAL_S = 3.0
"""Interval while connected to peers, which push each change immediately."""

CONTROL_PULL_INTERVAL_S = 6.0
"""Interval of a control daemon, which serves no callers."""

Listener = Callable[[NumberedConfig], None]


class ConfigFollower:
    """Polls the table, applies what peers push, and notifies listeners.

    Listeners are called in increasing order of versions, at most once for each; when
    several changes arrive together, only for the last.
    """

    def __init__(
        self, platform: PlatformClient, pull_every_s: float = PULL_INTERVAL_S
    ) -> None:
        self.platform = platform
        self.pull_every_s = pull_every_s
        self.state = ConfigState()
        self.listeners: list[Listener] = []
        self.watchers: dict[str, Callable[[Json], None]] = {}
        self.peers_push_changes: Callable[[], bool] = lambda: False
        self.ready = anyio.Event()
        self.notified_version = 0
        self.last_contact: float | None = None
        self.background = BackgroundTasks(self.run)

    @property
    def current(self) -> NumberedConfig | None:
        return self.state.current

    @property
    def version(self) -> int:
        return self.state.version

    async def start(self, tasks: TaskGroup) -> None:
        await self.background.start(tasks)

    async def close(self) -> None:
        """Stop polling the platform, so that its client can be closed."""
        await self.background.close()

    async def run(self) -> None:
        while True:
            await self.pull()
            # Jitter keeps nodes that started together from polling in step.
            every_s = (
                PUSHED_PULL_INTERVAL_S
                if self.peers_push_changes()
                else self.pull_every_s
            )
            await anyio.sleep(every_s * random.uniform(0.8, 1.2))

    async def pull(self) -> None:
        """Read the head row, and the changes or snapshot if its version is newer."""
        if await run_steps(self.platform, catch_up(self.state)):
            self.record_contact()
            self.notify_watchers()
        else:
            log_event("config_pull_failed", level="WARNING")
        self.notify_listeners()

    def watch_row(self, key: str, listener: Callable[[Json], None]) -> None:
        """Read another small row with each poll, and pass its value to `listener`."""
        self.watchers[key] = listener
        self.state.watched[key] = None

    def notify_watchers(self) -> None:
        for key, value in self.state.watched.items():
            if value is not None:
                self.watchers[key](value)

    def record_contact(self) -> None:
        """Record that the platform, or a peer that reaches the platform, was reached."""
        self.last_contact = anyio.current_time()

    def seconds_since_contact(self) -> float:
        """Return the seconds since the last contact, infinite if there was none."""
        if self.last_contact is None:
            return float("inf")
        return anyio.current_time() - self.last_contact

    def adopt(self, number: int, raw: Json) -> bool:
        """Put a whole document in force, unless one at least as new already is."""
        outcome = self.state.adopt(number, raw)
        self.notify_listeners()
        return outcome is Offered.ADOPTED

    def offer_snapshot(self, snapshot: Snapshot) -> bool:
        """Apply a snapshot from a peer; return whether it was put in force."""
        return self.adopt(snapshot.number, snapshot.document)

    def offer_delta(self, delta: Delta) -> Offered:
        """Apply a change from a peer; after a GAP the earlier ones must be requested."""
        outcome = self.state.offer_delta(delta)
        self.notify_listeners()
        return outcome

    def offer_deltas(self, deltas: list[Delta]) -> Offered:
        """Apply changes in increasing order, and notify listeners once at the end."""
        outcome = Offered.OLD
        for delta in deltas:
            outcome = self.state.offer_delta(delta)
            if outcome in (Offered.GAP, Offered.REJECTED):
                break
        self.notify_listeners()
        return outcome

    def deltas_after(self, version: int) -> list[Delta] | None:
        """Return the changes after `version`, or None if the caller needs a snapshot."""
        return self.state.deltas_after(version)

    def snapshot(self) -> Snapshot | None:
        """Return the whole configuration in force, to be sent to a peer."""
        return self.state.snapshot()

    def notify_listeners(self) -> None:
        """Notify listeners of a new version, and log a rejected one."""
        if self.state.rejected is not None:
            log_event("config_rejected", level="ERROR", error=self.state.rejected)
            self.state.rejected = None
        current = self.state.current
        if current is None or current.version <= self.notified_version:
            return
        self.notified_version = current.version
        log_event("config_in_force", number=current.version)
        for listener in self.listeners:
            listener(current)
        self.ready.set()
