"""The platform's table as one VM uses it: through its zone's relay, or by itself."""

from collections.abc import Callable
from typing import Protocol

import anyio
import msgspec

from godwitmast.clock import Clock
from godwitmast.errors import PlatformError, PlatformUnavailable
from godwitmast.platform_api.group_commit import GroupCommit
from godwitmast.platform_api.messages import Row, TransactOutcome
from godwitmast.platform_api.port import Table
from godwitmast.relay.links import RelayLink
from godwitmast.relay.machine import RelayMachine
from godwitmast.types import Json

MAX_BYTES = 8 * 1024
"""Of one transaction that a relay carries. A larger one may be more than a row can hold,
and would fail every other one that goes with it."""

ANSWER_S = 1.5
"""What a relay may take to answer, beyond the time for which it gathers."""

ALONE_S = 3.0
"""For how long a VM writes by itself after its relay could not."""


class SharedReads:
    """Rows that many VMs ask for, read once in a while."""

    def __init__(self, store: Table, clock: Clock, age_s: float) -> None:
        self.store = store
        self.clock = clock
        self.age_s = age_s
        self.reading = anyio.Lock()
        self.known: dict[tuple[str, ...], tuple[float, dict[str, Row]]] = {}

    async def read(self, keys: list[str]) -> dict[str, Row]:
        """Return rows that are `age_s` old at most."""
        name = tuple(keys)
        async with self.reading:
            now = self.clock.now()
            limit = now - self.age_s
            self.known = {k: v for k, v in self.known.items() if v[0] > limit}
            if name not in self.known:
                self.known[name] = (now, await self.store.read(keys))
            return self.known[name][1]


class OwnRelay(Protocol):
    """What this VM knows of its zone, and its link to the relay."""

    machine: RelayMachine
    link: RelayLink
    group: GroupCommit
    shared: SharedReads


class RelayTable:
    """A `Table` that writes together with the other VMs of the zone.

    Reads are answered by the platform itself, as they settle what became of a write.
    """

    def __init__(
        self, store: Table, clock: Clock, relay: OwnRelay, gather_s: float
    ) -> None:
        self.store = store
        self.clock = clock
        self.relay = relay
        self.timeout_s = gather_s + ANSWER_S
        self.alone_until = 0.0
        self.on_answer: Callable[[], None] = lambda: None
        self.on_failure: Callable[[], None] = lambda: None
        """Called when the relay could not write."""

    @property
    def through_link(self) -> bool:
        return self.relay.machine.linked and self.clock.now() >= self.alone_until

    async def transact(
        self, checks: dict[str, int], writes: dict[str, Json]
    ) -> TransactOutcome:
        """Write through the relay if there is one, which waits for others' writes."""
        if len(msgspec.json.encode(writes)) > MAX_BYTES:
            return await self.transact_alone(checks, writes)
        if self.relay.machine.serving:
            return await self.relay.group.transact(checks, writes)
        if not self.through_link:
            return await self.transact_alone(checks, writes)
        try:
            return await self.relay.link.transact(checks, writes, self.timeout_s)
        except PlatformUnavailable:
            self.note_failure()
        except PlatformError:
            self.note_failure()
            raise
        return await self.transact_alone(checks, writes)

    def note_failure(self) -> None:
        self.alone_until = self.clock.now() + ALONE_S
        self.on_failure()

    async def transact_alone(
        self, checks: dict[str, int], writes: dict[str, Json]
    ) -> TransactOutcome:
        outcome = await self.store.transact(checks, writes)
        self.on_answer()
        return outcome

    async def read(self, keys: list[str]) -> dict[str, Row]:
        return await self.store.read(keys)

    async def read_recent(self, keys: list[str]) -> dict[str, Row]:
        """Return rows that may be a few seconds old, read once for the zone."""
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
