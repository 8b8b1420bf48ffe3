"""Stand-ins of the users' platform in one process: its store and backend servers."""

from dataclasses import dataclass
from pathlib import Path

import msgspec
from anyio.abc import TaskGroup

from godwitmast.standins.replica import ReplicaStandin
from godwitmast.standins.settings import FleetSettings
from godwitmast.standins.store import StoreStandin


@dataclass
class FleetStandin:
    """A store that holds a configuration, and the backend servers listed in it.

    The store starts to listen first and the servers follow in order, so that their
    addresses can be told apart in the log.
    """

    settings: FleetSettings

    def __post_init__(self) -> None:
        settings = self.settings
        self.config = msgspec.json.decode(Path(settings.config).read_bytes())
        service_names = [service["name"] for service in self.config["services"]]
        self.store = StoreStandin(settings.listen)
        self.servers = [
            self.make_server(f"engine-{n}", service_names[0], streams=True)
            for n in range(settings.engines)
        ] + [
            self.make_server(f"plain-{n}", service_names[1], streams=False)
            for n in range(settings.plain)
        ]

    def make_server(self, name: str, service: str, streams: bool) -> ReplicaStandin:
        settings = self.settings
        server = ReplicaStandin(
            self.store,
            name,
            service,
            streams,
            settings.zone,
            settings.events,
            settings.event_s,
            places=64,
        )
        if not streams:
            server.faults.answer_bytes = settings.answer_bytes
        return server

    async def start(self, tasks: TaskGroup) -> None:
        await self.store.start(tasks)
        for server in self.servers:
            await server.start(tasks)
        self.store.put_config(self.config)

    async def close(self) -> None:
        for server in self.servers:
            await server.close()
        await self.store.close()
