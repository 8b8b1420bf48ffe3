"""The entry's part among its peers: what it tells them, and what it takes."""

import anyio
from anyio.abc import TaskGroup

from godwitmast.clock import Clock
from godwitmast.config.document import NumberedConfig
from godwitmast.config.follower import ConfigFollower
from godwitmast.entry.app import EntryApp
from godwitmast.entry.settings import EntrySettings
from godwitmast.errors import PlatformError
from godwitmast.peers.driver import PeerDriver
from godwitmast.peers.messages import KnownVm, Record, Topic
from godwitmast.peers.settings import PeerSettings
from godwitmast.platform_api.client import PlatformClient
from godwitmast.types import Json

VMS_EVERY_S = 5.0
WITHDRAWAL_LEFT_S = 120.0
"""Far longer than the configuration that withdraws the key takes to arrive."""


class FollowedConfig:
    """The follower's configuration as peers spread it, always as a whole."""

    def __init__(self, follower: ConfigFollower) -> None:
        self.follower = follower

    @property
    def version(self) -> int:
        return self.follower.current.version if self.follower.current else 0

    def deltas(self, after: int) -> Json | None:
        return None

    def snapshot(self) -> Json | None:
        return self.follower.current.raw if self.follower.current else None

    def adopt_deltas(self, after: int, number: int, payload: Json) -> bool:
        return False

    def adopt_snapshot(self, number: int, payload: Json) -> bool:
        return self.follower.adopt(number, payload)


class Peering:
    """Joins an entry to its peers."""

    def __init__(
        self,
        settings: EntrySettings,
        peer_settings: PeerSettings,
        clock: Clock,
        platform: PlatformClient,
        follower: ConfigFollower,
        app: EntryApp,
    ) -> None:
        self.platform = platform
        self.app = app
        self.key_hashes: frozenset[str] = frozenset()
        self.driver = PeerDriver(
            peer_settings,
            settings.node,
            settings.zone,
            settings.region,
            FollowedConfig(follower),
            clock,
        )
        self.driver.on_record = self.take
        follower.listeners.append(self.config_changed)

    async def start(self, tasks: TaskGroup) -> None:
        await self.driver.start(tasks)
        tasks.start_soon(self.run_vm_list)

    async def close(self) -> None:
        await self.driver.close()

    async def run_vm_list(self) -> None:
        """Take the platform's list of VMs as places to look for peers."""
        while True:
            try:
                vms = await self.platform.vms()
                self.driver.learn([KnownVm(vm.address, vm.node) for vm in vms])
            except PlatformError:
                # The last list and what peers say do for as long as it is away.
                pass
            await anyio.sleep(VMS_EVERY_S)

    def config_changed(self, config: NumberedConfig) -> None:
        """Tell the withdrawn keys first, then push the configuration itself."""
        hashes = frozenset(config.document.keys)
        for key_hash in self.key_hashes - hashes:
            self.driver.tell(
                Topic.WITHDRAWN_KEY, key_hash, None, WITHDRAWAL_LEFT_S, config.version
            )
        self.key_hashes = hashes
        self.driver.config_changed()

    def take(self, record: Record) -> None:
        """Put into effect what a peer told."""
        match record.topic:
            case Topic.WITHDRAWN_KEY:
                self.app.withdraw_key(record.key, record.version)
