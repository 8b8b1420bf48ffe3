"""The platform's table as one VM uses it, through its zone's relay or directly."""

from collections.abc import Callable
from typing import Protocol

import anyio
import msgspec

from godwitmast.clock import Clock
from godwitmast.errors import PlatformError, PlatformUnavailable
from godwitmast.platform_api.epoch import TableEpoch
from godwitmast.platform_api.group_commit import GroupCommit
from godwitmast.platform_api.messages import Row, TransactOutcome
from godwitmast.platform_api.port import Table
from godwitmast.relay.links import RelayLink
from godwitmast.relay.machine import RelayMachine
from godwitmast.types import Json

MAX_WRITE_BYTES = 8 * 1024
"""Bound of a transaction through the relay. A larger one may exceed the store's row
limit, and would fail all the transactions that are batched with it."""

ANSWER_TIMEOUT_S = 1.5
"""Time for a relay to answer, beyond its gathering of writes."""

DIRECT_WRITE_S = 3.0
"""How long a VM writes directly after its relay failed to."""


class SharedReads:
    """Cache of rows that many VMs read, by the set of keys."""

    def __init__(
        self, store: Table, clock: Clock, age_s: float, epoch: TableEpoch
    ) -> None:
        self.store = store
        self.clock = clock
        self.age_s = age_s
        self.epoch = epoch
        self.recent_epoch = epoch.current
        self.reading = anyio.Lock()
        self.recent: dict[tuple[str, ...], tuple[float, dict[str, Row]]] = {}

    async def read(self, keys: list[str]) -> dict[str, Row]:
        """Return rows that are at most `age_s` old, and not from before a restore."""
        name = tuple(keys)
        async with self.reading:
            if self.recent_epoch != self.epoch.current:
                self.recent.clear()
            now = self.clock.now()
            limit = now - self.age_s
            self.recent = {k: v for k, v in self.recent.items() if v[0] > limit}
            if name not in self.recent:
                self.recent[name] = (now, await self.store.read(keys))
            self.recent_epoch = self.epoch.current
            return self.recent[name][1]


class OwnRelay(Protocol):
    """This VM's role in its zone, and its link to the relay."""

    machine: RelayMachine
    link: RelayLink
    group: GroupCommit
    shared: SharedReads


class RelayTable:
    """A `Table` whose writes are batched with those of the zone's other VMs.

    Reads go to the platform itself, since they determine the outcome of a write.
    """

    def __init__(
        self,
        store: Table,
        clock: Clock,
        relay: OwnRelay,
        gather_s: float | None = None,
    ) -> None:
        self.store = store
        self.clock = clock
        self.relay = relay
        self.gather_s = gather_s
        """Longest time for which the relay gathers other writes; None for its own."""
        longest_s = relay.group.gather_s if gather_s is None else gather_s
        self.timeout_s = longest_s + ANSWER_TIMEOUT_S
        self.direct_until = 0.0
        self.on_answer: Callable[[], None] = lambda: None
        self.on_failure: Callable[[], None] = lambda: None
        """Called when the relay failed to write."""

    @property
    def through_link(self) -> bool:
        return (
            self.relay.machine.relay_available and self.clock.now() >= self.direct_until
        )

    async def transact(
        self, checks: dict[str, int], writes: dict[str, Json]
    ) -> TransactOutcome:
        """Write through the relay if it is available, which gathers others' writes."""
        if len(msgspec.json.encode(writes)) > MAX_WRITE_BYTES:
            return await self.transact_directly(checks, writes)
        if self.relay.machine.serving:
            return await self.relay.group.transact(checks, writes, self.gather_s)
        if not self.through_link:
            return await self.transact_directly(checks, writes)
        try:
            return await self.relay.link.transact(
                checks, writes, self.timeout_s, self.gather_s
            )
        except PlatformUnavailable:
            self.record_failure()
        except PlatformError:
            self.record_failure()
            raise
        return await self.transact_directly(checks, writes)

    def record_failure(self) -> None:
        self.direct_until = self.clock.now() + DIRECT_WRITE_S
        self.on_failure()

    async def transact_directly(
        self, checks: dict[str, int], writes: dict[str, Json]
    ) -> TransactOutcome:
        outcome = await self.store.transact(checks, writes)
        self.on_answer()
        return outcome

    async def read(self, keys: list[str]) -> dict[str, Row]:
        return await self.store.read(keys)

    async def read_recent(self, keys: list[str]) -> dict[str, Row]:
        """Return rows that may be a few seconds old, which the relay reads for all."""
        if self.relay.machine.serving:
            return await self.relay.shared.read(keys)
        if self.through_link:
            return await self.relay.link.read(keys, self.timeout_s)
        return await self.store.read(keys)

    async def scan(self, prefix: str, after: str = "") -> dict[str, Row]:
        return await self.store.scan(prefix, after)

    async def get_object(self, name: str) -> bytes | None:
        return await self.store.get_object(name)

    async def put_object(self, name: str, content: bytes) -> None:
        await self.store.put_object(name, content)
