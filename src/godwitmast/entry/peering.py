"""The connection of an entry to its peers: what it publishes, and what it applies."""

from collections.abc import Callable
from functools import partial

import anyio
import msgspec
from anyio.abc import TaskGroup
from prometheus_client import CollectorRegistry, Gauge

from godwitmast.background import BackgroundTasks
from godwitmast.clock import Clock
from godwitmast.config.document import NumberedConfig
from godwitmast.config.follower import ConfigFollower
from godwitmast.config.machine import Offered
from godwitmast.config.rows import Delta, Snapshot
from godwitmast.decoding import convert
from godwitmast.entry.app import EntryApp
from godwitmast.entry.gossip import (
    LeavingGossip,
    LoadGossip,
    PoisonGossip,
    ServiceGossip,
)
from godwitmast.entry.settings import EntrySettings
from godwitmast.errors import PlatformError, Undecodable
from godwitmast.logs import log_event
from godwitmast.peers.driver import PeerDriver
from godwitmast.peers.machine import PeerMachine
from godwitmast.peers.messages import KnownVm, Record, Topic
from godwitmast.peers.settings import PeerSettings
from godwitmast.platform_api.client import PlatformClient
from godwitmast.types import Json

VM_LIST_INTERVAL_S = 5.0
VM_LIST_INTERVAL_LINKED_S = 30.0
PUBLISH_INTERVAL_S = 0.1
"""A quarantine must reach the peers before the caller resends its request."""

WITHDRAWAL_TTL_S = 120.0
"""Far longer than the configuration that withdraws the key takes to arrive."""


def read_machine(driver: PeerDriver, read: Callable[[PeerMachine], float]) -> float:
    return read(driver.machine) if driver.machine else 0.0


def add_peer_gauges(registry: CollectorRegistry, driver: PeerDriver) -> None:
    """Register the gauges of a node's peers, which are read when they are scraped."""
    gauges: dict[str, tuple[str, Callable[[PeerMachine], float]]] = {
        "members": ("Nodes that are listed.", lambda m: len(m.listed())),
        "links": ("Peers linked to.", lambda m: len(m.by_node)),
        "suspicions": ("Suspicions raised here.", lambda m: m.counts.suspicions),
        "deaths": ("Deaths found here.", lambda m: m.counts.deaths),
        "refutations": ("Suspicions refuted.", lambda m: m.counts.refutations),
        "frames": ("Frames sent to peers.", lambda m: m.counts.frames),
        "sent_bytes": ("Bytes sent to peers.", lambda m: driver.bytes_sent),
        "bad_frames": ("Malformed frames.", lambda m: driver.bad_frames),
    }
    for name, (text, read) in gauges.items():
        gauge = Gauge(f"godwit_peer_{name}", text, registry=registry)
        gauge.set_function(partial(read_machine, driver, read))


class FollowerConfigSource:
    """Gives peers the follower's configuration, and offers theirs to the follower."""

    def __init__(self, follower: ConfigFollower) -> None:
        self.follower = follower

    @property
    def version(self) -> int:
        return self.follower.version

    def deltas(self, after: int) -> Json | None:
        kept = self.follower.deltas_after(after)
        return msgspec.to_builtins(kept) if kept else None

    def snapshot(self) -> Json | None:
        whole = self.follower.snapshot()
        return whole.document if whole else None

    def adopt_deltas(self, after: int, number: int, payload: Json) -> bool:
        try:
            deltas = convert(payload, list[Delta])
        except Undecodable as error:
            log_event("peer_deltas_bad", level="WARNING", error=error)
            return False
        return self.follower.offer_deltas(deltas) is Offered.ADOPTED

    def adopt_snapshot(self, number: int, payload: Json) -> bool:
        return self.follower.offer_snapshot(Snapshot(number, payload))


class Peering:
    """Connects an entry to its peers."""

    def __init__(
        self,
        settings: EntrySettings,
        peer_settings: PeerSettings,
        clock: Clock,
        platform: PlatformClient,
        follower: ConfigFollower,
        app: EntryApp,
    ) -> None:
        self.settings = settings
        self.platform = platform
        self.follower = follower
        self.app = app
        self.key_hashes: frozenset[str] = frozenset()
        self.driver = PeerDriver(
            peer_settings,
            settings.node,
            settings.zone,
            settings.region,
            FollowerConfigSource(follower),
            clock,
        )
        self.driver.on_record = self.apply_record
        self.load = LoadGossip(app.driver, self.driver, clock)
        self.service = ServiceGossip(app.driver, self.driver, clock)
        self.poison = PoisonGossip(app.driver, self.driver, clock)
        self.leaving = LeavingGossip(app.driver, self.driver)
        self.background = BackgroundTasks(self.run_vm_list, self.run_publishing)
        follower.listeners.append(self.config_changed)
        follower.peers_push_changes = self.is_linked
        add_peer_gauges(app.metrics.registry, self.driver)
        app.list_peers = self.listed
        if peer_settings.fault_hook:
            app.fault_hook = self.driver.partition_zones

    async def start(self, tasks: TaskGroup) -> None:
        await self.driver.start(tasks)
        await self.background.start(tasks)

    async def close(self) -> None:
        await self.background.close()
        await self.driver.close()

    def is_linked_to_other_zone(self) -> bool:
        """Return whether there is a link to a peer of another zone."""
        machine = self.driver.machine
        links = machine.links.values() if machine else []
        return any(link.node and link.zone != self.driver.zone for link in links)

    def listed(self) -> list[str]:
        """Return the nodes that this one considers live, including itself."""
        machine = self.driver.machine
        return sorted(m.node for m in machine.listed()) if machine else []

    def is_linked(self) -> bool:
        """Return whether this node has a link to any peer."""
        return self.driver.machine is not None and bool(self.driver.machine.links)

    async def run_vm_list(self) -> None:
        """Pass the platform's list of VMs to the driver, as addresses of possible peers."""
        while True:
            try:
                vms = await self.platform.vms()
                self.driver.set_known_vms([KnownVm(vm.address, vm.node) for vm in vms])
            except PlatformError:
                # The last list and the peers suffice while the platform is unavailable.
                pass
            # A linked node learns of new nodes from its peers long before this list.
            await anyio.sleep(
                VM_LIST_INTERVAL_LINKED_S if self.is_linked() else VM_LIST_INTERVAL_S
            )

    async def run_publishing(self) -> None:
        """Publish changed soft state, and refresh what is derived from the peers."""
        while True:
            await anyio.sleep(PUBLISH_INTERVAL_S)
            self.poison.publish()
            self.leaving.publish()
            self.load.publish()
            self.service.publish()
            self.app.driver.expire_leaving()
            if self.driver.machine is not None:
                self.app.driver.set_entry_count(1 + len(self.driver.machine.listed()))
            if self.has_peer_in_other_zone():
                self.follower.record_contact()

    def has_peer_in_other_zone(self) -> bool:
        """Return whether any peer to which there is a link is of another zone."""
        machine = self.driver.machine
        links = machine.by_node.values() if machine else []
        return any(link.zone != self.settings.zone for link in links)

    def config_changed(self, config: NumberedConfig) -> None:
        """Publish the withdrawn keys first, then push the configuration itself."""
        hashes = frozenset(config.document.keys)
        for key_hash in self.key_hashes - hashes:
            self.driver.publish_record(
                Topic.WITHDRAWN_KEY, key_hash, None, WITHDRAWAL_TTL_S, config.version
            )
        self.key_hashes = hashes
        self.driver.config_changed()

    def apply_record(self, record: Record) -> None:
        """Apply a peer's record."""
        match record.topic:
            case Topic.WITHDRAWN_KEY:
                self.app.withdraw_key(record.key, record.version)
            case Topic.LEAVING_BACKEND:
                self.leaving.apply_record(record)
            case Topic.QUARANTINE | Topic.CRASH_SUSPICION:
                self.poison.apply_record(record)
            case Topic.LOAD:
                self.load.apply_record(record)
            case Topic.SERVICE:
                self.service.apply_record(record)
