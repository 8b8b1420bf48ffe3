"""Keeps a process on the newest configuration that it has heard of."""

from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from godwitmast.config.document import NumberedConfig, parse_document
from godwitmast.config.rows import HEAD_KEY
from godwitmast.errors import ConfigInvalid, PlatformError
from godwitmast.logs import log_event
from godwitmast.platform_api.client import PlatformClient
from godwitmast.types import Json

PULL_EVERY_S = 1.0

Listener = Callable[[NumberedConfig], None]


class ConfigFollower:
    """Pulls the head row and tells listeners of each higher number."""

    def __init__(self, platform: PlatformClient) -> None:
        self.platform = platform
        self.current: NumberedConfig | None = None
        self.listeners: list[Listener] = []
        self.ready = anyio.Event()

    async def start(self, tasks: TaskGroup) -> None:
        tasks.start_soon(self.run)

    async def run(self) -> None:
        while True:
            await self.pull()
            await anyio.sleep(PULL_EVERY_S)

    async def pull(self) -> None:
        """Read the head row, and adopt it if its number is higher."""
        try:
            rows = await self.platform.read([HEAD_KEY])
        except PlatformError as error:
            log_event("config_pull_failed", level="WARNING", error=error)
            return
        if HEAD_KEY in rows:
            head = rows[HEAD_KEY].value
            self.adopt(head["number"], head["document"])

    def adopt(self, number: int, raw: Json) -> bool:
        """Put a configuration in force, unless one as new is already."""
        if self.current and number <= self.current.version:
            return False
        try:
            document = parse_document(raw)
        except ConfigInvalid as error:
            # Patches are checked before they are accepted, so this is a row that
            # something else wrote. Serving on under the old one loses less.
            log_event("config_rejected", level="ERROR", number=number, error=error)
            return False
        self.current = NumberedConfig(number, document, raw)
        log_event("config_in_force", number=number)
        for listener in self.listeners:
            listener(self.current)
        self.ready.set()
        return True
