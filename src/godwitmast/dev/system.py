"""The whole system in one process: stand-ins, an entry and a control."""

from typing import Any

import anyio
from anyio.abc import TaskGroup

from godwitmast.control.daemon import Control
from godwitmast.control.settings import ControlSettings
from godwitmast.dev.document import MODEL, dev_document
from godwitmast.entry.daemon import Entry
from godwitmast.entry.settings import EntrySettings
from godwitmast.program import Daemon
from godwitmast.settings import PlatformSettings
from godwitmast.standins.engine import StandinEngine
from godwitmast.standins.platform import StandinPlatform
from godwitmast.standins.service import StandinService
from godwitmast.standins.settings import (
    EngineSettings,
    PlatformStandinSettings,
    ServiceSettings,
)


class DevSystem:
    """The system of `godwit-dev` and the tests, on ports that the OS assigns."""

    def __init__(self, engines: int = 3, entries: int = 1) -> None:
        self.platform = StandinPlatform(PlatformStandinSettings())
        self.engines = [
            StandinEngine(EngineSettings(name=f"engine-{n}", models=[MODEL]))
            for n in range(1, engines + 1)
        ]
        self.service = StandinService(ServiceSettings())
        self.entry_count = entries
        self.entries: list[Entry] = []
        self.controls: list[Control] = []

    async def start(self, tasks: TaskGroup) -> None:
        """Start the stand-ins, store a configuration, then start the daemons."""
        for standin in self.standins:
            await standin.start(tasks)
        urls = [engine.server.url for engine in self.engines]
        self.put_config(dev_document(urls, self.service.server.url))
        platform = PlatformSettings(self.platform.server.url)
        self.entries = [
            Entry(EntrySettings(f"dev-{n}", "dev", platform, balancer_wait_s=0.0))
            for n in range(1, self.entry_count + 1)
        ]
        self.controls = [Control(ControlSettings("dev-1", "dev", platform))]
        for daemon in self.daemons:
            await daemon.start(tasks)
        for entry in self.entries:
            await entry.follower.ready.wait()

    def put_config(self, document: dict[str, Any]) -> None:
        """Store a whole configuration, as the platform's operators would."""
        self.platform.put_config(document)

    @property
    def standins(self) -> list[Daemon]:
        return [self.platform, self.service, *self.engines]

    @property
    def daemons(self) -> list[Daemon]:
        return [*self.entries, *self.controls]

    async def close(self) -> None:
        """Close the daemons first, since real external systems outlive them."""
        await close_all(self.daemons)
        await close_all(self.standins)


async def close_all(daemons: list[Daemon]) -> None:
    async with anyio.create_task_group() as tasks:
        for daemon in daemons:
            tasks.start_soon(daemon.close)
